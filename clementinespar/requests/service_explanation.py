"""Explains to operators why the requests of a service wait."""

from collections.abc import Sequence
from typing import Any

from clementinespar import codes
from clementinespar.requests import in_flight_requests, target_pool


def explain(
    service: str,
    service_state: in_flight_requests.ServiceState | None,
    usable: Sequence[target_pool.PoolMember],
    state: str,
    now: float,
) -> dict[str, Any]:
    """Return the state of a service's queue, as JSON values.

    Parameters
    ----------
    service : str
        Name of the service.
    service_state : in_flight_requests.ServiceState or None
        This node's state of the service; None if it received no request for it.
    usable : sequence of target_pool.PoolMember
        Targets that may receive work of the service.
    state : str
        ``serving`` or ``draining``.
    now : float
        Event-loop time.
    """
    if service_state is None:
        return {
            "subject": f"service {service}",
            "state": "idle",
            "waits_for": "",
            "because": ["this node received no request for the service"],
            "code": int(codes.ResultCode.OK),
        }
    free = sum(member.free for member in usable)
    waits_for = ""
    if len(service_state.queue):
        waits_for = "a free slot" if usable else "a target that may receive work"
    because = [
        f"{service_state.queue.count(False)} short and "
        f"{service_state.queue.count(True)} long requests wait",
        f"{len(service_state.uses)} attempts in flight, {free} slots free on "
        f"{len(usable)} targets",
        f"{service_state.budget.remaining(now)} retries left in the budget",
    ]
    because += [
        f"host {host_id} is ejected for failing requests"
        for host_id in sorted(service_state.ejections.ejected_host_ids())
    ]
    because += [
        f"host {member.target.host_id}: {member.slots.in_doubt} slots may still "
        "run work that this node does not track"
        for member in usable
        if member.slots.in_doubt
    ]
    return {
        "subject": f"service {service}",
        "state": state,
        "waits_for": waits_for,
        "because": because,
        "code": int(codes.ResultCode.OK if usable else codes.ResultCode.NO_TARGET),
        "queued_short": service_state.queue.count(False),
        "queued_long": service_state.queue.count(True),
        "in_flight": len(service_state.uses),
        "free_slots": free,
        "run_s_by_kind": service_state.run_times.medians_by_kind(),
    }
