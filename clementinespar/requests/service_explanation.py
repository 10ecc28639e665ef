"""Explains to operators why the requests of a service wait."""

from collections.abc import Sequence
from typing import Any

from clementinespar import codes
from clementinespar.requests import flights, target_pool


def explain(
    service: str,
    known: flights.ServiceState | None,
    usable: Sequence[target_pool.PoolMember],
    state: str,
    now: float,
) -> dict[str, Any]:
    """Return the state of a service's queue, as JSON values.

    Parameters
    ----------
    service : str
        Name of the service.
    known : flights.ServiceState or None
        What this node knows of it; None if no request for it came here.
    usable : sequence of target_pool.PoolMember
        Targets that may receive its work.
    state : str
        Whether the node serves or drains.
    now : float
        Event-loop time.
    """
    if known is None:
        return {
            "subject": f"service {service}",
            "state": "idle",
            "waits_for": "",
            "because": ["no request for it came to this node"],
            "code": int(codes.ResultCode.OK),
        }
    free = sum(member.free for member in usable)
    waits_for = ""
    if len(known.queue):
        waits_for = "a free slot" if usable else "a target that may receive work"
    because = [
        f"{known.queue.count(False)} short and {known.queue.count(True)} long "
        "requests wait",
        f"{len(known.uses)} attempts in flight, {free} slots free on "
        f"{len(usable)} targets",
        f"{known.budget.remaining(now)} retries left in the budget",
    ]
    because += [
        f"host {host_id} is ejected for failing requests"
        for host_id in sorted(known.ejections.ejected_host_ids())
    ]
    because += [
        f"host {member.target.host_id}: {member.slots.doubtful} slots may still "
        "run work that this node does not follow"
        for member in usable
        if member.slots.doubtful
    ]
    return {
        "subject": f"service {service}",
        "state": state,
        "waits_for": waits_for,
        "because": because,
        "code": int(codes.ResultCode.OK if usable else codes.ResultCode.NO_TARGET),
        "queued_short": known.queue.count(False),
        "queued_long": known.queue.count(True),
        "in_flight": len(known.uses),
        "free_slots": free,
        "run_s_by_kind": known.run_times.medians_by_kind(),
    }
