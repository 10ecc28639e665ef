"""Waves of upkeep and moves of hosts, decided by one node for all pools.

The platform checks no fence on hosts here, so a new holder waits until the former one
has certainly stopped before it gives its first order. An order is given only to a host
whose worker the owner of its pool has freed.
"""

import asyncio
import contextlib
import dataclasses
import json
import math
from collections.abc import AsyncIterator

from clementinespar import codes, errors
from clementinespar.jobs import model, ownership, service, services

TICK_S = 0.4
HOLDER_MARGIN_S = 0.6  # a former holder learns of its loss by its next join
CONFIRMED_WITHIN_S = 1.2  # no order without a recent confirmation of ownership
# An evacuation that is not asked for again ends after this; a slow platform may carry
# the order out seconds after the worker was found free.
EVACUATION_KEPT_S = 6.0
URGENT_AFTER_S = 3.0  # short work is stopped when an evacuation takes this long
POOL_SHARE = 0.25  # of a pool's hosts that may be on their way out at once
RETURN_S = 0.8  # a host's new worker appears this long after its upkeep


@dataclasses.dataclass(slots=True)
class _WaveProgress:
    """How far one wave is."""

    wave: model.UpkeepWave
    asked_at: float  # event-loop time
    begun: set[str] = dataclasses.field(default_factory=set)
    ordered_at: dict[str, float] = dataclasses.field(default_factory=dict)
    evacuating_since: dict[str, float] = dataclasses.field(default_factory=dict)
    is_reported: bool = False
    is_done: bool = False


class FleetOwner:
    """The one holder of orders to hosts; made by `own_fleet`."""

    epoch: int
    _waves: dict[int, _WaveProgress]
    _sequence: int

    def __init__(
        self,
        epoch: int,
        keeper: ownership.OwnershipKeeper,
        jobs: service.JobService,
        store: services.JobStore,
        hosts: services.HostService,
        waves: services.WaveSource,
        configuration: services.ConfigurationSource,
        holder_lease_s: float,
        upkeep_s: float,
        record: services.JobRecorder,
    ) -> None:
        self.epoch = epoch
        self._keeper = keeper
        self._jobs = jobs
        self._store = store
        self._hosts = hosts
        self._wave_source = waves
        self._configuration = configuration
        self._holder_lease_s = holder_lease_s
        self._upkeep_s = upkeep_s
        self._record = record
        self._waves = {}
        self._sequence = 0

    async def run(self) -> None:
        """Load what former holders did, wait for the last to stop, then act."""
        loop = asyncio.get_running_loop()
        acts_from = loop.time() + self._holder_lease_s + HOLDER_MARGIN_S
        begun_by_wave: dict[int, set[str]] = {}
        while True:
            try:
                await self._store_record("holder", {"epoch": self.epoch})
                page = await self._store.list_newest(
                    services.Topic.PROGRESS, ownership.FLEET_PARTITION
                )
                for entry in page.records:
                    if entry.key.startswith("wave"):
                        begun_by_wave[int(entry.key[4:])] = set(json.loads(entry.value))
                break
            except errors.ClementinesparError as error:
                if error.code is codes.ResultCode.STORE_FENCED:
                    return
                self._record("fleet_load_retried", code=int(error.code))
            await asyncio.sleep(TICK_S)
        await asyncio.sleep(max(0.0, acts_from - loop.time()))
        self._record("fleet_holder", epoch=self.epoch)
        while True:
            for number, wave in self._wave_source.by_number.items():
                if number not in self._waves:
                    progress = _WaveProgress(wave, loop.time())
                    progress.begun = begun_by_wave.get(number, set())
                    self._waves[number] = progress
            try:
                await self._tick()
            except errors.ClementinesparError as error:
                self._record("fleet_tick_failed", code=int(error.code))
                if error.code is codes.ResultCode.STORE_FENCED:
                    return
            await asyncio.sleep(TICK_S)

    def _may_act(self) -> bool:
        confirmed = self._keeper.confirmed_at()
        now = asyncio.get_running_loop().time()
        return (
            self._keeper.is_fleet_owner
            and confirmed is not None
            and now - confirmed < CONFIRMED_WITHIN_S
        )

    async def _tick(self) -> None:
        open_waves = [wave for wave in self._waves.values() if not wave.is_done]
        if not open_waves or not self._may_act():
            return
        hosts_by_id = {host.host_id: host for host in await self._hosts.list_hosts()}
        for wave in open_waves:
            await self._advance_wave(wave, hosts_by_id)

    async def _advance_wave(
        self, progress: _WaveProgress, hosts_by_id: dict[str, model.HostEntry]
    ) -> None:
        loop = asyncio.get_running_loop()
        wave = progress.wave
        if not progress.is_reported:
            await self._wave_source.report(wave, is_done=False)
            progress.is_reported = True
        missing = [
            hosts_by_id[host_id]
            for host_id in wave.host_ids
            if host_id in hosts_by_id and host_id not in progress.begun
        ]
        if not missing:
            await self._wave_source.report(wave, is_done=True)
            progress.is_done = True
            self._record("wave_done", wave=wave.number, begun=len(progress.begun))
            return
        down = {
            host_id
            for host_id in wave.host_ids
            if self._is_down(progress, hosts_by_id.get(host_id), loop.time())
        }
        self._choose_evacuations(progress, missing, down, hosts_by_id)
        for host in missing:
            since = progress.evacuating_since.get(host.host_id)
            if since is None or host.state != "up":
                continue
            is_urgent = loop.time() - since > URGENT_AFTER_S
            if not await self._is_free(host, is_urgent):
                continue
            if len(down) >= wave.max_down or not self._may_act():
                continue
            down.add(host.host_id)
            await self._begin_upkeep(progress, host)

    def _is_down(
        self, progress: _WaveProgress, host: model.HostEntry | None, now: float
    ) -> bool:
        if host is None:
            return False
        ordered_at = progress.ordered_at.get(host.host_id)
        if ordered_at is not None and now - ordered_at < self._upkeep_s + RETURN_S:
            return True
        return host.state == "upkeep"

    def _choose_evacuations(
        self,
        progress: _WaveProgress,
        missing: list[model.HostEntry],
        down: set[str],
        hosts_by_id: dict[str, model.HostEntry],
    ) -> None:
        """Start the evacuation of as many hosts as each pool can miss."""
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
            1 for host in missing if host.host_id in progress.evacuating_since
        )
        left_s = progress.asked_at + progress.wave.deadline_s - loop.time()
        share = POOL_SHARE if left_s > progress.wave.deadline_s / 3 else POOL_SHARE * 2
        for host in missing:
            if host.host_id in progress.evacuating_since or host.state != "up":
                continue
            if leaving >= progress.wave.max_down:
                return
            limit = max(1, math.ceil(size_by_pool[host.pool] * share))
            if self._is_spare(host.pool):
                limit = size_by_pool[host.pool]
            if out_by_pool.get(host.pool, 0) >= limit:
                continue
            progress.evacuating_since[host.host_id] = loop.time()
            out_by_pool[host.pool] = out_by_pool.get(host.pool, 0) + 1
            leaving += 1
            self._record(
                "host_leaving",
                host=host.host_id,
                pool=host.pool,
                worker=host.worker_id,
                wave=progress.wave.number,
            )

    def _is_spare(self, pool: str) -> bool:
        configuration = self._configuration.current
        found = configuration.pools_by_name.get(pool) if configuration else None
        return found is not None and found.is_spare

    async def _is_free(self, host: model.HostEntry, is_urgent: bool) -> bool:
        if not host.worker_id or self._is_spare(host.pool):
            return True
        try:
            return await self._jobs.evacuate(
                host.pool, host.worker_id, EVACUATION_KEPT_S, is_urgent
            )
        except errors.ClementinesparError as error:
            self._record(
                "evacuation_unanswered", host=host.host_id, code=int(error.code)
            )
            return False

    async def _begin_upkeep(
        self, progress: _WaveProgress, host: model.HostEntry
    ) -> None:
        loop = asyncio.get_running_loop()
        number = progress.wave.number
        progress.ordered_at[host.host_id] = loop.time()
        is_begun = await self._hosts.upkeep(host.host_id, number, self.epoch)
        self._record(
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

    async def _store_record(self, key: str, value: object) -> None:
        """Store a record under the holder's epoch; repeats until it is answered."""
        sequence = self._sequence
        self._sequence += 1
        entry = services.KeyedRecord(key, json.dumps(value).encode())
        while True:
            try:
                await self._store.append_fenced(
                    ownership.FLEET_PARTITION, self.epoch, sequence, [entry]
                )
                return
            except errors.ClementinesparError as error:
                if error.code is codes.ResultCode.STORE_FENCED:
                    raise
                self._record("append_retried", code=int(error.code))
            await asyncio.sleep(TICK_S)


@contextlib.asynccontextmanager
async def own_fleet(owner: FleetOwner) -> AsyncIterator[None]:
    """Run the holder while the context is entered."""
    task = asyncio.create_task(owner.run())
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
