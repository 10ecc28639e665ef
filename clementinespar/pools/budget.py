"""Availability budgets of pools.

The same check serves the fold, which decides, and the planners, which propose.
"""

from __future__ import annotations

import collections
import typing
from collections.abc import Collection, Sequence

from clementinespar import codes
from clementinespar.documents import model

if typing.TYPE_CHECKING:
    from clementinespar.pools import messages, state

Survive = typing.Literal["none", "rack", "data_centre"]


def check_take_out(
    pool: model.Pool,
    hosts: Sequence[state.HostState],
    candidate: state.HostState,
    reason: messages.OutReason,
    survive: Survive = "none",
    unavailable_ids: Collection[str] = frozenset(),
) -> codes.ResultCode:
    """Check whether a host may leave service without breaking its pool's budget.

    Parameters
    ----------
    pool : model.Pool
        The pool in the document in force.
    hosts : sequence of state.HostState
        All hosts that belong to the pool now, the candidate included.
    candidate : state.HostState
        The host to take out.
    reason : {"maintenance", "move"}
        A move also lowers the number of members, which must not go below
        ``pool.min_hosts``.
    survive : {"none", "rack", "data_centre"}
        Failure domain whose loss during the operation must also fit in the budget.
    unavailable_ids : collection of str
        Hosts that a planner observes as ejected or missing; the fold passes none.

    Returns
    -------
    codes.ResultCode
        ``OK`` or ``BUDGET_EXCEEDED``.
    """
    members = [host for host in hosts if not is_leaving(host)]
    if reason == "move" and len(members) - 1 < pool.min_hosts:
        return codes.ResultCode.BUDGET_EXCEEDED
    if not is_serving(candidate, unavailable_ids):
        # The host is not in service, so taking it out does not lower availability.
        return codes.ResultCode.OK
    others = [host for host in hosts if host.host_id != candidate.host_id]
    available = [host for host in others if is_serving(host, unavailable_ids)]
    if len(available) < pool.budget.min_available:
        return codes.ResultCode.BUDGET_EXCEEDED
    out_in_rack = 1
    out_in_data_centre = 1
    for host in others:
        if is_serving(host, unavailable_ids) or is_arriving(host):
            continue
        same_data_centre = host.data_centre == candidate.data_centre
        out_in_data_centre += same_data_centre
        out_in_rack += same_data_centre and host.rack == candidate.rack
    if out_in_rack > pool.budget.max_out_per_rack:
        return codes.ResultCode.BUDGET_EXCEEDED
    if out_in_data_centre > pool.budget.max_out_per_data_centre:
        return codes.ResultCode.BUDGET_EXCEEDED
    if not _survives_loss(pool, others, available, survive):
        return codes.ResultCode.BUDGET_EXCEEDED
    return codes.ResultCode.OK


def _survives_loss(
    pool: model.Pool,
    others: Sequence[state.HostState],
    available: Sequence[state.HostState],
    survive: Survive,
) -> bool:
    """Return whether the hosts left in service survive the loss of a failure domain.

    A pool may be too small or too unevenly spread to survive a loss while any one host
    is out. Its hosts still need maintenance, so one host may then be out at a time.
    """
    minimum = pool.budget.min_available
    if available_after_loss(available, survive) >= minimum:
        return True
    full_strength = [host for host in others if not is_leaving(host)]
    if available_after_loss(full_strength, survive) >= minimum:
        return False
    available_ids = {host.host_id for host in available}
    return all(host.host_id in available_ids or is_arriving(host) for host in others)


def available_after_loss(hosts: Sequence[state.HostState], survive: Survive) -> int:
    """Return how many hosts remain after the loss of the largest failure domain."""
    if survive == "none" or not hosts:
        return len(hosts)
    count_by_domain = collections.Counter(
        (host.data_centre, host.rack if survive == "rack" else "") for host in hosts
    )
    return len(hosts) - max(count_by_domain.values())


def is_serving(
    host: state.HostState, unavailable_ids: Collection[str] = frozenset()
) -> bool:
    """Whether a host is in service by the folded state and a planner's observation."""
    return host.is_available and host.host_id not in unavailable_ids


def is_leaving(host: state.HostState) -> bool:
    """Whether a host is out for a move and still belongs to the pool that it leaves."""
    return host.out is not None and host.out.to_pool is not None and not is_moved(host)


def is_arriving(host: state.HostState) -> bool:
    """Whether a host already belongs to its new pool but is not yet in service."""
    return is_moved(host)


def is_moved(host: state.HostState) -> bool:
    """Whether a host that is out has already changed its pool."""
    return host.out is not None and host.out.is_moved
