"""Availability budgets of pools.

The same check serves the fold, which decides, and the planners, which propose.
"""

from __future__ import annotations

import typing
from collections.abc import Iterable

from clementinespar import codes
from clementinespar.documents import model

if typing.TYPE_CHECKING:
    from clementinespar.pools import messages, state


def check_take_out(
    pool: model.Pool,
    hosts: Iterable[state.HostState],
    candidate: state.HostState,
    reason: messages.OutReason,
) -> codes.ResultCode:
    """Tell whether a host may leave service without breaking its pool's budget.

    Parameters
    ----------
    pool : model.Pool
        The pool in the document in force.
    hosts : iterable of state.HostState
        All hosts that belong to the pool now, the candidate included.
    candidate : state.HostState
        The host to take out.
    reason : {"maintenance", "move"}
        A move also lowers the number of members, which must not go below
        ``pool.min_hosts``.

    Returns
    -------
    codes.ResultCode
        ``OK`` or ``BUDGET_EXCEEDED``.
    """
    member_count = 0
    available_after = 0
    out_in_rack = 1
    out_in_data_centre = 1
    for host in hosts:
        if not is_leaving(host):
            member_count += 1
        if host.host_id == candidate.host_id:
            continue
        if host.is_available:
            available_after += 1
        elif not is_arriving(host):
            same_data_centre = host.data_centre == candidate.data_centre
            out_in_data_centre += same_data_centre
            out_in_rack += same_data_centre and host.rack == candidate.rack
    if available_after < pool.budget.min_available and candidate.is_available:
        return codes.ResultCode.BUDGET_EXCEEDED
    if out_in_rack > pool.budget.max_out_per_rack:
        return codes.ResultCode.BUDGET_EXCEEDED
    if out_in_data_centre > pool.budget.max_out_per_data_centre:
        return codes.ResultCode.BUDGET_EXCEEDED
    if reason == "move" and member_count - 1 < pool.min_hosts:
        return codes.ResultCode.BUDGET_EXCEEDED
    return codes.ResultCode.OK


def is_leaving(host: state.HostState) -> bool:
    """Whether a host is on its way out of the pool that it still belongs to."""
    return host.out is not None and host.out.to_pool is not None and not is_moved(host)


def is_arriving(host: state.HostState) -> bool:
    """Whether a host already belongs to its new pool but is not yet in service."""
    return is_moved(host)


def is_moved(host: state.HostState) -> bool:
    """Whether a host that is out has already changed its pool."""
    return host.out is not None and host.out.is_moved
