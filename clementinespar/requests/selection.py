"""Selection of the request that starts next, and of its target."""

import collections
import math
from collections.abc import Sequence

from clementinespar.documents import model as document_model
from clementinespar.requests import in_flight_requests, queueing, target_pool

# A probe puts its request at risk. A request that is not repeatable is used as a probe
# only if the probe has been due for this long.
PROBE_OVERDUE_S = 10.0


def has_free_target(
    service: in_flight_requests.ServiceState,
    usable: Sequence[target_pool.PoolMember],
    now: float,
) -> bool:
    """Whether any target may receive a request now."""
    return any(
        member.free
        and (
            not service.ejections.is_ejected(member.target.host_id)
            or service.ejections.is_probe_due(member.target.host_id, now)
        )
        for member in usable
    )


def select_next(
    service: in_flight_requests.ServiceState,
    usable: Sequence[target_pool.PoolMember],
    slot_counts: queueing.SlotCounts,
    now: float,
) -> tuple[in_flight_requests.InFlightRequest, target_pool.PoolMember] | None:
    """Return the next request to start and its target, or None."""
    for entry in service.queue.candidates(slot_counts, now):
        in_flight = service.requests_by_entry[entry]
        chosen = choose_target(service, usable, in_flight, now)
        if chosen is not None:
            return in_flight, chosen
    return None


def choose_target(
    service: in_flight_requests.ServiceState,
    usable: Sequence[target_pool.PoolMember],
    in_flight: in_flight_requests.InFlightRequest,
    now: float,
) -> target_pool.PoolMember | None:
    """Return the least loaded target, or an ejected one that is due for a probe.

    Lent targets are used only if no target of the service's own pool can be used.
    """
    best: target_pool.PoolMember | None = None
    best_key = (True, math.inf, math.inf)
    for member in usable:
        host_id = member.target.host_id
        if not member.free or host_id in in_flight.tried_host_ids:
            continue
        if service.ejections.is_ejected(host_id):
            # A request that is not repeatable probes only if the probe is overdue.
            probe_at = now if in_flight.is_repeatable else now - PROBE_OVERDUE_S
            if service.ejections.is_probe_due(host_id, probe_at):
                return member
            continue
        apparent_in_use = member.slots.in_use + service.ejections.penalty(host_id, now)
        load = apparent_in_use / member.slots.slots
        key = (member.is_lent, load, member.slots.last_used_at)
        if best is None or key < best_key:
            best, best_key = member, key
    return best


def count_slots(
    service: in_flight_requests.ServiceState,
    usable: Sequence[target_pool.PoolMember],
    document: document_model.Document,
    declared: document_model.Service,
) -> queueing.SlotCounts:
    """Return the slots of a service and their current use."""
    in_use_by_team: dict[str, int] = collections.Counter(
        use.team for use in service.uses if use.team is not None
    )
    return queueing.SlotCounts(
        total=sum(use.is_borrowed for use in service.uses)
        + sum(
            member.free if member.is_lent else member.slots.slots
            for member in usable
            if member.slots.is_status_known
            and not service.ejections.is_ejected(member.target.host_id)
        ),
        short_reserve=declared.short_reserve,
        in_use_long=sum(use.is_long for use in service.uses),
        in_use_by_team=in_use_by_team,
        quota_by_team={name: team.max_slots for name, team in document.teams.items()},
    )
