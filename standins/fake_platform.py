"""In-memory stand-in of the platform's hosts, with fault switches.

Tests and benches use `FakePlatform` directly; `standins.platform` serves it over HTTP.
Its time is the event loop's, so tests with a paused clock control durations and lags.
"""

import asyncio
import collections
import dataclasses
import time
from collections.abc import Callable, Iterable
from typing import Literal

from clementinespar import errors
from clementinespar.platform import service

ALL = -1  # value of `Faults.lose_replies` that loses every reply
_MAX_ACTIONS = 20_000  # newest actions kept

ActionStep = Literal["drain", "reboot", "throttle", "checkpoint", "lease", "expiry"]
ActionResult = Literal["started", "repeated", "refused", "done"]


class ReplyLostError(errors.PlatformUnavailableError):
    """The call took effect, but its reply was lost."""


@dataclasses.dataclass(slots=True)
class Faults:
    """Fault switches; all are off by default."""

    down: bool = False  # refuses every call at once
    silent: bool = False  # calls have no effect and no answer
    slow_ms: float = 0.0  # delay before a call is served
    lose_replies: int = 0  # number of next calls that take effect without a reply
    list_lag_s: float = 1.0  # age of the hosts' conditions in the list


@dataclasses.dataclass(frozen=True, slots=True)
class HostSeed:
    """A host as it is at the start."""

    host_id: str
    data_centre: str
    rack: str
    pool: str
    address: str = "127.0.0.1"
    port: int = 1
    faults_port: int | None = None  # port of the target that accepts ``POST /faults``


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """One entry of the history of actions."""

    at_s: float  # loop time
    host_id: str
    step: ActionStep
    result: ActionResult
    operation_id: str  # task or request id if the step belongs to no operation
    fencing_offset: int = -1
    pool: str = ""  # destination of a reboot


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Lease of a task, which runs on a host until the lease expires."""

    task_id: str
    host_id: str
    until_s: float  # loop time


@dataclasses.dataclass(slots=True)
class _Host:
    """A host with the history of its condition."""

    seed: HostSeed
    pool: str
    is_failed: bool = False
    is_leaving: bool = False
    is_rebooting: bool = False
    fencing_offset: int = -1  # highest offset of an accepted action
    drained_by: str = ""  # operation that drained it last, empty once rebooted
    # Loop time and condition since then; None while the host is not listed.
    conditions: list[tuple[float, service.HostCondition | None]] = dataclasses.field(
        default_factory=list
    )


class FakePlatform:
    """Platform in memory that implements `platform.service.PlatformService`.

    Parameters
    ----------
    hosts : iterable of HostSeed
        The hosts, all live at the start.
    drain_s : float
        Duration of a drain in seconds.
    reboot_s : float
        Duration of a reboot in seconds.
    epoch_ms : int, optional
        Wall time in milliseconds at the first use; the real wall time by default.
    on_leaving : callable, optional
        Called with a host and whether it is leaving, when that changes.
    """

    faults: Faults  # fault switches, changed by tests at any time
    drain_s: float  # duration of drains that start from now on
    reboot_s: float  # duration of reboots that start from now on
    actions: collections.deque[Action]  # history, oldest first

    _hosts_by_id: dict[str, _Host]
    _steps: dict[tuple[str, service.OperationStep], service.OperationState]
    _leases_by_task_id: dict[str, Lease]
    _on_leaving: Callable[[HostSeed, bool], None] | None
    _epoch_ms: int | None  # wall time at the first use
    _epoch_loop_s: float | None  # loop time at the first use

    def __init__(
        self,
        hosts: Iterable[HostSeed],
        *,
        drain_s: float = 5.0,
        reboot_s: float = 20.0,
        epoch_ms: int | None = None,
        on_leaving: Callable[[HostSeed, bool], None] | None = None,
    ) -> None:
        self.faults = Faults()
        self.drain_s = drain_s
        self.reboot_s = reboot_s
        self.actions = collections.deque(maxlen=_MAX_ACTIONS)
        self._hosts_by_id = {seed.host_id: _Host(seed, seed.pool) for seed in hosts}
        self._steps = {}
        self._leases_by_task_id = {}
        self._on_leaving = on_leaving
        self._epoch_ms = epoch_ms
        self._epoch_loop_s = None

    @property
    def pool_by_host_id(self) -> dict[str, str]:
        """Pool by host id, as of the last reboot of the host."""
        return {host_id: host.pool for host_id, host in self._hosts_by_id.items()}

    @property
    def failed_host_ids(self) -> frozenset[str]:
        """Ids of the hosts that are failed now."""
        return frozenset(i for i, h in self._hosts_by_id.items() if h.is_failed)

    def actions_of(self, host_id: str) -> list[Action]:
        """Return the kept actions on one host, oldest first."""
        return [action for action in self.actions if action.host_id == host_id]

    def host_ids_in(
        self, data_centre: str | None = None, rack: str | None = None
    ) -> list[str]:
        """Return the ids of the hosts in a failure domain."""
        return [
            host_id
            for host_id, host in self._hosts_by_id.items()
            if data_centre in (None, host.seed.data_centre)
            and rack in (None, host.seed.rack)
        ]

    def fail(self, host_ids: Iterable[str]) -> None:
        """Fail hosts: they are not listed, and their running steps are refused."""
        for host_id in host_ids:
            host = self._hosts_by_id[host_id]
            host.is_failed = True
            host.is_rebooting = False
            self._record_condition(host)

    def recover(self, host_ids: Iterable[str]) -> None:
        """Recover failed hosts; those that were leaving are leaving again."""
        for host_id in host_ids:
            host = self._hosts_by_id[host_id]
            host.is_failed = False
            self._record_condition(host)

    async def list_hosts(self) -> service.HostList:
        """Return the live and leaving hosts as they were `list_lag_s` ago."""
        is_reply_lost = await self._apply_faults()
        as_of_s = asyncio.get_running_loop().time() - self.faults.list_lag_s
        listed: dict[str, service.ListedHost] = {}
        for host_id, host in self._hosts_by_id.items():
            condition = _condition_at(host, as_of_s)
            if condition is None:
                continue
            seed = host.seed
            listed[host_id] = service.ListedHost(
                host_id,
                seed.data_centre,
                seed.rack,
                seed.address,
                seed.port,
                condition,
            )
        _raise_if_lost(is_reply_lost)
        return service.HostList(self._wall_ms(as_of_s), listed)

    async def drain(self, host_id: str, operation: service.Operation) -> None:
        """Start to drain a host."""
        is_reply_lost = await self._apply_faults()
        host = self._check_action(host_id, operation, "drain", "")
        key: tuple[str, service.OperationStep] = (operation.operation_id, "drain")
        if self._steps.get(key) in ("running", "done"):
            self._record_action(host, operation, "drain", "repeated")
        else:
            self._steps[key] = "running"
            self._record_action(host, operation, "drain", "started")
            self._set_leaving(host, True)
            asyncio.get_running_loop().call_later(
                self.drain_s, self._finish_drain, host, operation
            )
        _raise_if_lost(is_reply_lost)

    async def reboot(
        self, host_id: str, operation: service.Operation, pool: str
    ) -> None:
        """Start to reboot a drained host into a pool."""
        is_reply_lost = await self._apply_faults()
        host = self._check_action(host_id, operation, "reboot", pool)
        key: tuple[str, service.OperationStep] = (operation.operation_id, "reboot")
        if self._steps.get(key) in ("running", "done"):
            self._record_action(host, operation, "reboot", "repeated", pool)
        elif host.drained_by != operation.operation_id:
            self._record_action(host, operation, "reboot", "refused", pool)
            raise errors.PlatformRefusedError(f"host {host_id} is not drained")
        else:
            self._steps[key] = "running"
            self._record_action(host, operation, "reboot", "started", pool)
            host.is_rebooting = True
            self._record_condition(host)
            asyncio.get_running_loop().call_later(
                self.reboot_s, self._finish_reboot, host, operation, pool
            )
        _raise_if_lost(is_reply_lost)

    async def operation_status(
        self, operation_id: str, step: service.OperationStep
    ) -> service.OperationState:
        """Return the state of a step of an operation."""
        is_reply_lost = await self._apply_faults()
        _raise_if_lost(is_reply_lost)
        return self._steps.get((operation_id, step), "unknown")

    async def throttle(self, host_id: str, request_id: str) -> None:
        """Limit the CPU of a straggling task on a host."""
        await self._act_on_task(host_id, request_id, "throttle")

    async def checkpoint(self, host_id: str, request_id: str) -> None:
        """Checkpoint a task, so that it can continue on another host."""
        await self._act_on_task(host_id, request_id, "checkpoint")

    async def lease_task(self, task_id: str, host_id: str, lease_s: float) -> Lease:
        """Grant or renew the lease of a task on a live host."""
        is_reply_lost = await self._apply_faults()
        host = self._find(host_id)
        current = self.leases_by_task_id.get(task_id)
        if current is not None and current.host_id != host_id:
            raise errors.PlatformRefusedError(f"{task_id} runs on {current.host_id}")
        if host.is_failed or (host.is_leaving and current is None):
            raise errors.PlatformRefusedError(
                f"host {host_id} is failed or leaving and accepts no new task"
            )
        until_s = asyncio.get_running_loop().time() + lease_s
        lease = Lease(task_id, host_id, until_s)
        self._leases_by_task_id[task_id] = lease
        result: ActionResult = "started" if current is None else "repeated"
        self._record_action(host, service.Operation(task_id, -1), "lease", result)
        _raise_if_lost(is_reply_lost)
        return lease

    @property
    def leases_by_task_id(self) -> dict[str, Lease]:
        """Leases that have not expired; expired ones become actions and are removed."""
        now = asyncio.get_running_loop().time()
        for lease in list(self._leases_by_task_id.values()):
            if lease.until_s <= now or self._hosts_by_id[lease.host_id].is_failed:
                del self._leases_by_task_id[lease.task_id]
                host = self._hosts_by_id[lease.host_id]
                operation = service.Operation(lease.task_id, -1)
                self._record_action(host, operation, "expiry", "done")
        return self._leases_by_task_id

    def _finish_drain(self, host: _Host, operation: service.Operation) -> None:
        key: tuple[str, service.OperationStep] = (operation.operation_id, "drain")
        if host.is_failed or host.fencing_offset != operation.fencing_offset:
            self._steps[key] = "refused"
            return
        self._steps[key] = "done"
        host.drained_by = operation.operation_id
        for lease in list(self._leases_by_task_id.values()):
            if lease.host_id == host.seed.host_id:
                del self._leases_by_task_id[lease.task_id]
        self._record_action(host, operation, "drain", "done")

    def _finish_reboot(
        self, host: _Host, operation: service.Operation, pool: str
    ) -> None:
        key: tuple[str, service.OperationStep] = (operation.operation_id, "reboot")
        if not host.is_rebooting or host.fencing_offset != operation.fencing_offset:
            self._steps[key] = "refused"
            return
        self._steps[key] = "done"
        host.pool = pool
        host.drained_by = ""
        host.is_rebooting = False
        self._record_action(host, operation, "reboot", "done", pool)
        self._set_leaving(host, False)

    def _check_action(
        self, host_id: str, operation: service.Operation, step: ActionStep, pool: str
    ) -> _Host:
        """Refuse an action on a failed host or with a stale fencing offset."""
        host = self._find(host_id)
        if operation.fencing_offset < host.fencing_offset:
            self._record_action(host, operation, step, "refused", pool)
            raise errors.PlatformRefusedError(
                f"offset {operation.fencing_offset} is older than {host.fencing_offset}"
            )
        if host.is_failed:
            self._record_action(host, operation, step, "refused", pool)
            raise errors.PlatformRefusedError(
                f"host {host_id} has failed and does not answer"
            )
        host.fencing_offset = operation.fencing_offset
        return host

    async def _act_on_task(
        self, host_id: str, request_id: str, step: ActionStep
    ) -> None:
        is_reply_lost = await self._apply_faults()
        operation = service.Operation(request_id, -1)
        self._record_action(self._find(host_id), operation, step, "done")
        _raise_if_lost(is_reply_lost)

    def _find(self, host_id: str) -> _Host:
        host = self._hosts_by_id.get(host_id)
        if host is None:
            raise errors.PlatformRefusedError(f"unknown host {host_id}")
        return host

    def _set_leaving(self, host: _Host, is_leaving: bool) -> None:
        host.is_leaving = is_leaving
        self._record_condition(host)
        if self._on_leaving is not None:
            self._on_leaving(host.seed, is_leaving)

    def _record_condition(self, host: _Host) -> None:
        condition: service.HostCondition | None = "live"
        if host.is_failed or host.is_rebooting:
            condition = None
        elif host.is_leaving:
            condition = "leaving"
        host.conditions.append((asyncio.get_running_loop().time(), condition))

    def _record_action(
        self,
        host: _Host,
        operation: service.Operation,
        step: ActionStep,
        result: ActionResult,
        pool: str = "",
    ) -> None:
        self.actions.append(
            Action(
                asyncio.get_running_loop().time(),
                host.seed.host_id,
                step,
                result,
                operation.operation_id,
                operation.fencing_offset,
                pool,
            )
        )

    def _wall_ms(self, loop_s: float) -> int:
        if self._epoch_ms is None:
            self._epoch_ms = time.time_ns() // 1_000_000
        if self._epoch_loop_s is None:
            self._epoch_loop_s = asyncio.get_running_loop().time()
        return self._epoch_ms + int((loop_s - self._epoch_loop_s) * 1000)

    async def _apply_faults(self) -> bool:
        """Apply the fault switches; return whether this call loses its reply."""
        if self.faults.slow_ms > 0:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        if self.faults.silent:
            await asyncio.get_running_loop().create_future()
        if self.faults.down:
            raise errors.PlatformUnavailableError("the platform is down")
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            return True
        return self.faults.lose_replies == ALL


def _condition_at(host: _Host, at_s: float) -> service.HostCondition | None:
    for since_s, condition in reversed(host.conditions):
        if since_s <= at_s:
            return condition
    return "live"


def _raise_if_lost(is_lost: bool) -> None:
    if is_lost:
        raise ReplyLostError("the reply was lost")
