"""Folded state of the duty leases.

A lease saves work: it keeps several nodes from planning the same thing. Correctness
never rests on it, because the fold checks every record again.
"""

import dataclasses

from clementinespar import codes
from clementinespar.duties import messages
from clementinespar.log import service as log_service

MAX_LEASE_MS = 60_000  # bounds how long a dead holder blocks a duty


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A duty held by one node."""

    holder: str  # node name
    since_offset: int  # offset of the first claim of this holder, the fencing token
    until_ms: int  # log time at which the lease ends


@dataclasses.dataclass(slots=True)
class DutiesState:
    """Leases by duty, ended ones included until another node claims."""

    leases_by_duty: dict[str, Lease] = dataclasses.field(default_factory=dict)


def apply_claimed(
    state: DutiesState, record: messages.DutyClaimed, entry: log_service.LogEntry
) -> codes.ResultCode:
    """Grant or renew a lease."""
    held = state.leases_by_duty.get(record.duty)
    is_held = held is not None and entry.timestamp_ms < held.until_ms
    if held is not None and is_held and held.holder != record.author:
        return codes.ResultCode.DUTY_HELD
    is_renewal = held is not None and is_held
    since_offset = held.since_offset if held and is_renewal else entry.offset
    until_ms = entry.timestamp_ms + min(record.lease_ms, MAX_LEASE_MS)
    state.leases_by_duty[record.duty] = Lease(record.author, since_offset, until_ms)
    return codes.ResultCode.OK


def apply_released(
    state: DutiesState, record: messages.DutyReleased, entry: log_service.LogEntry
) -> codes.ResultCode:
    """End a lease early."""
    held = state.leases_by_duty.get(record.duty)
    if held is None or held.holder != record.author:
        return codes.ResultCode.DUTY_NOT_HELD
    del state.leases_by_duty[record.duty]
    return codes.ResultCode.OK
