"""Waves of maintenance, as the owner of the fleet carries them out."""

import asyncio
import collections
import dataclasses
from collections.abc import Awaitable, Callable

from clementinespar.jobs import (
    host_evacuation,
    host_orders,
    model,
    services,
    wave_plan,
)

URGENT_AFTER_S = 3.0  # short runs are stopped when an evacuation takes this long
HOST_RETURN_S = 0.8  # a host's new worker registers this long after its maintenance


@dataclasses.dataclass(slots=True)
class _WaveProgress:
    """Progress of one wave; all times are event-loop times."""

    wave: model.MaintenanceWave
    first_seen_at: float  # when this owner first saw the wave
    # Ids of hosts whose maintenance has begun.
    begun: set[str] = dataclasses.field(default_factory=set)
    # By host id.
    ordered_at: dict[str, float] = dataclasses.field(default_factory=dict)
    evacuating_since: dict[str, float] = dataclasses.field(default_factory=dict)
    is_reported: bool = False
    is_done: bool = False


class MaintenanceWaves:
    """Evacuates the hosts of each wave and starts their maintenance.

    Parameters
    ----------
    epoch : int
        Epoch of the owner of the fleet, sent with each order.
    count_lasting : callable
        Returns the number of lasting tasks on a worker, by its id.
    maintenance_s : float
        Time that the maintenance of a host takes, in seconds.
    may_act : callable
        Whether the owner may give orders now.
    store_record : callable
        Stores a record under a key of the fleet partition.
    """

    _waves: dict[int, _WaveProgress]
    # Hosts whose maintenance a previous owner has begun, by number of the wave.
    _begun_by_wave: dict[int, set[str]]

    def __init__(
        self,
        epoch: int,
        hosts: services.HostService,
        waves: services.WaveSource,
        evacuation: host_evacuation.HostEvacuation,
        orders: host_orders.HostOrders,
        count_lasting: Callable[[str], int],
        maintenance_s: float,
        may_act: Callable[[], bool],
        store_record: Callable[[str, object], Awaitable[None]],
        log_event: services.EventLog,
    ) -> None:
        self._epoch = epoch
        self._hosts = hosts
        self._wave_source = waves
        self._evacuation = evacuation
        self._orders = orders
        self._count_lasting = count_lasting
        self._maintenance_s = maintenance_s
        self._may_act = may_act
        self._store_record = store_record
        self._log_event = log_event
        self._waves = {}
        self._begun_by_wave = {}

    def restore(self, number: int, begun: set[str]) -> None:
        """Take over the hosts of a wave whose maintenance has begun."""
        self._begun_by_wave[number] = begun

    def add_new(self) -> None:
        """Add the waves that operators have requested since the last call."""
        for number, wave in self._wave_source.by_number.items():
            if number not in self._waves:
                now = asyncio.get_running_loop().time()
                progress = _WaveProgress(wave, now)
                progress.begun = self._begun_by_wave.get(number, set())
                self._waves[number] = progress

    async def advance(self, hosts_by_id: dict[str, model.HostEntry]) -> None:
        """Evacuate hosts of the open waves, and start maintenance of those free."""
        for wave in self._waves.values():
            if not wave.is_done:
                await self._advance_wave(wave, hosts_by_id)

    def find_leaving(self) -> set[str]:
        """Return the ids of hosts that are evacuated and not in maintenance yet."""
        return {
            host_id
            for wave in self._waves.values()
            for host_id in wave.evacuating_since
            if host_id not in wave.begun
        }

    async def _advance_wave(
        self, progress: _WaveProgress, hosts_by_id: dict[str, model.HostEntry]
    ) -> None:
        loop = asyncio.get_running_loop()
        wave = progress.wave
        if not progress.is_reported:
            await self._wave_source.report(wave, is_done=False)
            progress.is_reported = True
        pending = [
            hosts_by_id[host_id]
            for host_id in wave.host_ids
            if host_id in hosts_by_id and host_id not in progress.begun
        ]
        if not pending:
            await self._wave_source.report(wave, is_done=True)
            progress.is_done = True
            self._log_event("wave_done", wave=wave.number, begun=len(progress.begun))
            return
        down = {
            host_id
            for host_id in wave.host_ids
            if self._is_down(progress, hosts_by_id.get(host_id), loop.time())
        }
        self._choose_evacuations(progress, pending, down, hosts_by_id)
        for host in pending:
            since = progress.evacuating_since.get(host.host_id)
            if since is None or host.state != "up":
                continue
            urgency = model.EvacuationUrgency.DRAIN
            if loop.time() - since > URGENT_AFTER_S:
                urgency = model.EvacuationUrgency.STOP
            if not await self._evacuation.is_free(host, urgency):
                continue
            if len(down) >= wave.max_down or not self._may_act():
                continue
            if not self._orders.may_order(host.host_id, loop.time()):
                continue
            down.add(host.host_id)
            await self._start_maintenance(progress, host)

    def _is_down(
        self, progress: _WaveProgress, host: model.HostEntry | None, now: float
    ) -> bool:
        if host is None:
            return False
        ordered_at = progress.ordered_at.get(host.host_id)
        if (
            ordered_at is not None
            and now - ordered_at < self._maintenance_s + HOST_RETURN_S
        ):
            return True
        return host.state == "upkeep"

    def _choose_evacuations(
        self,
        progress: _WaveProgress,
        pending: list[model.HostEntry],
        down: set[str],
        hosts_by_id: dict[str, model.HostEntry],
    ) -> None:
        """Start evacuating as many hosts as the wave and each pool allow at once."""
        loop = asyncio.get_running_loop()
        size_by_pool: dict[str, int] = {}
        out_by_pool: dict[str, int] = {}
        for host in hosts_by_id.values():
            size_by_pool[host.pool] = size_by_pool.get(host.pool, 0) + 1
            is_leaving = (
                host.host_id in progress.evacuating_since
                and host.host_id not in progress.begun
            )
            if host.state != "up" or host.host_id in down or is_leaving:
                out_by_pool[host.pool] = out_by_pool.get(host.pool, 0) + 1
        leaving = sum(
            1 for host in pending if host.host_id in progress.evacuating_since
        )
        deadline_s = progress.wave.deadline_s
        left_s = progress.first_seen_at + deadline_s - loop.time()
        lasting_by_pool = collections.Counter(
            host.pool
            for host in pending
            if host.host_id in progress.evacuating_since
            and self._count_lasting(host.worker_id)
        )
        for host in wave_plan.order_hosts(pending, self._count_lasting):
            if host.host_id in progress.evacuating_since or host.state != "up":
                continue
            if leaving >= progress.wave.max_down:
                return
            limit = wave_plan.leaving_limit(size_by_pool[host.pool], left_s, deadline_s)
            if self._evacuation.is_spare(host.pool):
                limit = size_by_pool[host.pool]
            if out_by_pool.get(host.pool, 0) >= limit:
                continue
            if self._count_lasting(host.worker_id):
                if lasting_by_pool[host.pool] >= wave_plan.leaving_lasting_limit(
                    left_s, deadline_s
                ):
                    continue
                lasting_by_pool[host.pool] += 1
            progress.evacuating_since[host.host_id] = loop.time()
            out_by_pool[host.pool] = out_by_pool.get(host.pool, 0) + 1
            leaving += 1
            self._log_event(
                "host_leaving",
                host=host.host_id,
                pool=host.pool,
                worker=host.worker_id,
                wave=progress.wave.number,
            )

    async def _start_maintenance(
        self, progress: _WaveProgress, host: model.HostEntry
    ) -> None:
        loop = asyncio.get_running_loop()
        number = progress.wave.number
        progress.ordered_at[host.host_id] = loop.time()
        self._orders.note_order(host.host_id, loop.time())
        is_begun = await self._hosts.start_maintenance(
            host.host_id, number, self._epoch
        )
        self._log_event(
            "host_upkeep",
            host=host.host_id,
            pool=host.pool,
            wave=number,
            is_begun=is_begun,
        )
        if not is_begun:
            del progress.ordered_at[host.host_id]
            return
        progress.begun.add(host.host_id)
        await self._store_record(f"wave{number}", sorted(progress.begun))
