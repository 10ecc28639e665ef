"""Folded state of the duty leases.

A lease only avoids needless work: without it, several nodes would make the same plans.
Correctness does not depend on it, because the fold checks every record again.
"""

import dataclasses

from clementinespar import codes
from clementinespar.duties import messages
from clementinespar.log import service as log_service

MAX_LEASE_MS = 60_000  # bounds how long a crashed lease holder blocks a duty


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Lease of one duty."""

    holder: str  # name of the lease holder
    since_offset: int  # offset of the claim that began the lease, its fencing offset
    until_ms: int  # log time at which the lease ends


@dataclasses.dataclass(slots=True)
class DutiesState:
    """Leases by duty; an ended lease stays until the duty is claimed again."""

    leases_by_duty: dict[str, Lease] = dataclasses.field(default_factory=dict)


def apply_claimed(
    state: DutiesState, record: messages.DutyClaimed, entry: log_service.LogEntry
) -> codes.ResultCode:
    """Grant or renew a lease."""
    lease = state.leases_by_duty.get(record.duty)
    is_current = lease is not None and entry.timestamp_ms < lease.until_ms
    if lease is not None and is_current and lease.holder != record.author:
        return codes.ResultCode.DUTY_HELD
    is_renewal = lease is not None and is_current
    since_offset = lease.since_offset if lease and is_renewal else entry.offset
    until_ms = entry.timestamp_ms + min(record.lease_ms, MAX_LEASE_MS)
    state.leases_by_duty[record.duty] = Lease(record.author, since_offset, until_ms)
    return codes.ResultCode.OK


def apply_released(
    state: DutiesState, record: messages.DutyReleased, entry: log_service.LogEntry
) -> codes.ResultCode:
    """End a lease early."""
    lease = state.leases_by_duty.get(record.duty)
    if lease is None or lease.holder != record.author:
        return codes.ResultCode.DUTY_NOT_HELD
    del state.leases_by_duty[record.duty]
    return codes.ResultCode.OK
