"""Interface to the platform's host list and host actions.

Only implementations of `PlatformService` depend on the platform's wire format.
"""

import dataclasses
from typing import Literal, Protocol

HostCondition = Literal["live", "leaving"]
OperationStep = Literal["drain", "reboot"]
OperationState = Literal["unknown", "running", "done", "refused"]


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """One host in the platform's list; each host runs one target."""

    host_id: str
    data_centre: str
    rack: str
    address: str  # IP address of the target on this host
    port: int  # TCP port of the target on this host
    condition: HostCondition


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """The platform's list of hosts, which may be out of date."""

    observed_ms: int  # wall time at which the platform made the list
    hosts_by_id: dict[str, ListedHost]


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Identity of a host action; repeating it with the same id has no further effect.

    The platform refuses an operation whose fencing offset is lower than that of an
    operation it has accepted for the same host.
    """

    operation_id: str  # of `pools.state.HostOut`
    fencing_offset: int  # offset of `pools.state.HostOut`


class PlatformService(Protocol):
    """Host list and host actions of the platform.

    Every call raises `errors.PlatformUnavailableError` if there is no valid answer. The
    action may then have taken effect; `operation_status` shows whether it did. Host
    actions raise `errors.PlatformRefusedError` if the platform refused them without
    effect, for example because of a stale fencing offset.
    """

    async def list_hosts(self) -> HostList:
        """Return the list of live and leaving hosts."""
        ...

    async def drain(self, host_id: str, operation: Operation) -> None:
        """Start to drain a host: its target finishes its work and accepts no more."""
        ...

    async def reboot(self, host_id: str, operation: Operation, pool: str) -> None:
        """Start to reboot a drained host into a pool."""
        ...

    async def operation_status(
        self, operation_id: str, step: OperationStep
    ) -> OperationState:
        """Return the state of a step of an operation."""
        ...

    async def throttle(self, host_id: str, request_id: str) -> None:
        """Reduce the CPU share of a straggling task on a host."""
        ...

    async def checkpoint(self, host_id: str, request_id: str) -> None:
        """Checkpoint a task, so that it can continue on another host."""
        ...


class HostListSource(Protocol):
    """Source of the newest host list that this node has read."""

    @property
    def latest(self) -> HostList | None:
        """The newest list, or None before the first one."""
        ...

    @property
    def age_s(self) -> float:
        """Seconds of loop time since the list was read; infinite before the first."""
        ...
