"""Admission control: whether a request may join the queue of its service."""

from collections.abc import Sequence

from clementinespar import codes
from clementinespar.documents import model as document_model
from clementinespar.requests import in_flight_requests, model, selection, target_pool

# Most bytes of bodies that wait or are in flight at once. The queue limits count only
# requests, and a node has 128 MB for everything.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024


def check_capacity(
    in_flight: in_flight_requests.InFlightRequest,
    usable: Sequence[target_pool.PoolMember],
    document: document_model.Document,
    declared: document_model.Service,
    *,
    has_targets: bool,
    buffered_bytes: int,
    now: float,
) -> model.Outcome | None:
    """Return the refusal of a request that the queue cannot take, else None.

    A request that cannot finish before its deadline is refused at once.

    Parameters
    ----------
    in_flight : in_flight_requests.InFlightRequest
        The request that asks for admission.
    usable : sequence of target_pool.PoolMember
        Targets that may receive work of the service.
    document, declared : document_model.Document, document_model.Service
        The document in force and its entry for the service.
    has_targets : bool
        Whether the service has any target, own or lent.
    buffered_bytes : int
        Size of the bodies of all requests that wait or are in flight.
    now : float
        Event-loop time.
    """
    service, entry = in_flight.service, in_flight.entry
    if entry.deadline <= now:
        return model.not_run(
            codes.ResultCode.DEADLINE_PASSED, "the deadline has passed"
        )
    if not has_targets:
        return model.not_run(
            codes.ResultCode.NO_TARGET, f"no target serves {service.name} now"
        )
    min_expected_s = service.run_times.min_expected_s(entry.kind, now)
    if now + min_expected_s > entry.deadline:
        return model.not_run(
            codes.ResultCode.DEADLINE_TOO_SHORT,
            f"requests of this kind take at least {min_expected_s:.3f} s",
        )
    waiting = len(service.queue) + service.claiming_count
    has_free = any(member.free for member in usable)
    # The reserve for short work applies to the queue too; otherwise queued long work
    # could fill the queue, and short work would be refused.
    max_queued_long = max(1, int(declared.max_queue * (1.0 - declared.short_reserve)))
    is_full = waiting >= declared.max_queue and (waiting > 0 or not has_free)
    if is_full or (entry.is_long and service.queue.count(True) >= max_queued_long):
        return model.not_run(
            codes.ResultCode.QUEUE_FULL, f"{waiting} requests are waiting already"
        )
    if buffered_bytes + len(in_flight.request.body) > MAX_BUFFERED_BYTES:
        return model.not_run(
            codes.ResultCode.QUEUE_FULL,
            "the bodies of waiting and running requests would exceed the memory limit",
        )
    slot_counts = selection.count_slots(service, usable, document, declared)
    wait_s, is_quota = service.queue.expected_wait_s(entry, slot_counts, now)
    if slot_counts.total and now + wait_s + min_expected_s > entry.deadline:
        return model.not_run(
            codes.ResultCode.TEAM_QUOTA_EXCEEDED
            if is_quota
            else codes.ResultCode.DEADLINE_TOO_SHORT,
            f"the request would wait {wait_s:.3f} s for a slot",
        )
    return None
