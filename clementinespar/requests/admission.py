"""Whether a request may join the queue of its service."""

from collections.abc import Sequence

from clementinespar import codes
from clementinespar.documents import model as document_model
from clementinespar.requests import flights, model, selection, target_pool

# Bodies that may wait or be in flight at once. The limits of the queues count requests
# only, and a node has 128 MB for everything.
MAX_HELD_BYTES = 48 * 1024 * 1024


def check_capacity(
    flight: flights.Flight,
    usable: Sequence[target_pool.PoolMember],
    document: document_model.Document,
    declared: document_model.Service,
    *,
    has_targets: bool,
    held_bytes: int,
    now: float,
) -> model.Outcome | None:
    """Refuse early what cannot start before its deadline.

    Parameters
    ----------
    flight : flights.Flight
        The request that asks for admission.
    usable : sequence of target_pool.PoolMember
        Targets that may receive work of the service.
    document, declared : document_model.Document, document_model.Service
        The document in force and its entry of the service.
    has_targets : bool
        Whether the service has any target, whatever its state.
    held_bytes : int
        Bodies of all requests that wait or are in flight.
    now : float
        Event-loop time.
    """
    service, entry = flight.service, flight.entry
    if entry.deadline <= now:
        return model.not_run(
            codes.ResultCode.DEADLINE_PASSED, "the deadline has passed"
        )
    if not has_targets:
        return model.not_run(
            codes.ResultCode.NO_TARGET, f"no target serves {service.name} now"
        )
    least_s = service.run_times.least_s(entry.kind, now)
    if now + least_s > entry.deadline:
        return model.not_run(
            codes.ResultCode.DEADLINE_TOO_SHORT,
            f"such a request takes at least {least_s:.3f} s",
        )
    waiting = len(service.queue) + service.claiming
    has_free = any(member.free for member in usable)
    # Long work may fill its share of the queue only, so it cannot crowd out short
    # work before either of them starts.
    long_room = max(1, int(declared.max_queue * (1.0 - declared.short_reserve)))
    is_full = waiting >= declared.max_queue and (waiting > 0 or not has_free)
    if is_full or (entry.is_long and service.queue.count(True) >= long_room):
        return model.not_run(
            codes.ResultCode.QUEUE_FULL, f"{waiting} requests wait already"
        )
    if held_bytes + len(flight.request.body) > MAX_HELD_BYTES:
        return model.not_run(
            codes.ResultCode.QUEUE_FULL, "the waiting requests are too large"
        )
    shares = selection.compute_shares(service, usable, document, declared)
    wait_s, is_quota = service.queue.expected_wait_s(entry, shares, now)
    if shares.total and now + wait_s + least_s > entry.deadline:
        return model.not_run(
            codes.ResultCode.TEAM_QUOTA_EXCEEDED
            if is_quota
            else codes.ResultCode.DEADLINE_TOO_SHORT,
            f"it would wait {wait_s:.3f} s for a slot",
        )
    return None
