"""Waves of maintenance and moves of hosts, decided by one node for all pools.

The platform does not check fences on orders to hosts, so a new owner of the fleet waits
until the previous one has certainly stopped before it gives its first order. An order
is given only for a host whose worker the owner of its pool has freed.
"""

import asyncio
import contextlib
import dataclasses
import json
import math
from collections.abc import AsyncIterator

from clementinespar import background, codes, errors
from clementinespar.jobs import (
    capacity,
    fenced_log,
    model,
    ownership,
    service,
    services,
    telemetry,
)

TICK_S = 0.25
PREVIOUS_OWNER_MARGIN_S = 0.6  # the previous owner notices its loss by its next join
CONFIRMATION_MAX_AGE_S = 1.2  # no order without a recent confirmation of ownership
# An evacuation that is not requested again ends after this. A slow platform may carry
# the order out seconds after the worker was found to be free.
EVACUATION_TTL_S = 6.0
# A busy host that another pool needs gets no new work for this long, unless it is asked
# for again: the other pool's need may end before the host is idle.
DRAIN_TTL_S = 2.0
URGENT_AFTER_S = 3.0  # short runs are stopped when an evacuation takes this long
# Share of a pool's hosts that may leave at once; doubled near the deadline of a wave.
MAX_LEAVING_SHARE = 0.25
ARRIVAL_LIMIT_S = 6.0  # a moved host that is not up by then is not counted
LOG_INTERVAL_S = 2.0
DEFAULT_HOST_CORES = 16.0  # until a worker of the pool is known
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


class FleetOwner:
    """The owner of the fleet partition, which alone gives orders to hosts."""

    epoch: int
    is_lost: bool  # the store has seen a later owner, or it has failed
    has_failed: bool  # by an unexpected error
    _fence_checks: int  # done; fewer than wanted: another owner may have begun
    _wanted_fence_checks: int
    _partition: int
    _waves: dict[int, _WaveProgress]
    _peaks: dict[str, capacity.PeakState]
    _arriving: dict[str, tuple[str, float]]  # host id: its new pool and time of order
    _drained_at: dict[str, float]  # host id: event-loop time of the newest request
    _logged_at: float
    _log: fenced_log.FencedLog

    def __init__(
        self,
        partition: int,
        epoch: int,
        ownership_manager: ownership.OwnershipManager,
        jobs: service.JobService,
        store: services.JobStore,
        hosts: services.HostService,
        waves: services.WaveSource,
        configuration: services.ConfigurationSource,
        holder_lease_s: float,
        maintenance_s: float,
        log_event: services.EventLog,
    ) -> None:
        self.epoch = epoch
        self.is_lost = False
        self.has_failed = False
        self._fence_checks = 0
        self._wanted_fence_checks = 0
        self._partition = partition
        self._ownership_manager = ownership_manager
        self._jobs = jobs
        self._store = store
        self._hosts = hosts
        self._wave_source = waves
        self._configuration = configuration
        self._holder_lease_s = holder_lease_s
        self._maintenance_s = maintenance_s
        self._log_event = log_event
        self._waves = {}
        self._peaks = {}
        self._arriving = {}
        self._drained_at = {}
        self._logged_at = 0.0
        self._log = fenced_log.FencedLog(
            store, services.Topic.HOSTS, partition, epoch, TICK_S, log_event
        )

    async def run(self) -> None:
        """Act as the owner until cancelled, lost or failed."""
        try:
            await self._run()
        except Exception as error:
            self.has_failed = True
            self.is_lost = True
            telemetry.log_failure(self._log_event, self._partition, error)

    async def _run(self) -> None:
        """Load stored state, wait until the previous owner has stopped, then act."""
        loop = asyncio.get_running_loop()
        acts_from = loop.time() + self._holder_lease_s + PREVIOUS_OWNER_MARGIN_S
        begun_by_wave: dict[int, set[str]] = {}
        while True:
            try:
                await self._store_holder()
                page = await self._store.list_newest(
                    services.Topic.HOSTS, self._partition
                )
                for entry in page.records:
                    if entry.key.startswith("wave"):
                        begun_by_wave[int(entry.key[4:])] = set(json.loads(entry.value))
                    elif entry.key == "turns":
                        self._restore_peaks(json.loads(entry.value), loop.time())
                break
            except errors.ClementinesparError as error:
                if error.code is codes.ResultCode.STORE_FENCED:
                    self.is_lost = True
                    return
                self._log_event("fleet_load_retried", code=int(error.code))
            await asyncio.sleep(TICK_S)
        await asyncio.sleep(max(0.0, acts_from - loop.time()))
        self._log_event("fleet_holder", epoch=self.epoch)
        while True:
            for number, wave in self._wave_source.by_number.items():
                if number not in self._waves:
                    progress = _WaveProgress(wave, loop.time())
                    progress.begun = begun_by_wave.get(number, set())
                    self._waves[number] = progress
            try:
                await self._tick()
            except errors.ClementinesparError as error:
                self._log_event("fleet_tick_failed", code=int(error.code))
                if error.code is codes.ResultCode.STORE_FENCED:
                    self.is_lost = True
                    return
            await asyncio.sleep(TICK_S)

    def check_fence(self) -> None:
        """Stop acting until the store has confirmed that no later owner has begun."""
        self._wanted_fence_checks += 1

    def _may_act(self) -> bool:
        confirmed = self._ownership_manager.confirmed_at()
        now = asyncio.get_running_loop().time()
        return (
            self._ownership_manager.is_fleet_owner
            and self._fence_checks == self._wanted_fence_checks
            and confirmed is not None
            and now - confirmed < CONFIRMATION_MAX_AGE_S
        )

    async def _tick(self) -> None:
        wanted = self._wanted_fence_checks
        if wanted != self._fence_checks:
            await self._store_holder()
            self._fence_checks = wanted
        if not self._may_act():
            return
        hosts_by_id = {host.host_id: host for host in await self._hosts.list_hosts()}
        for wave in self._waves.values():
            if not wave.is_done:
                await self._advance_wave(wave, hosts_by_id)
        await self._move_hosts_to_demand(hosts_by_id)

    async def _move_hosts_to_demand(
        self, hosts_by_id: dict[str, model.HostEntry]
    ) -> None:
        """Move idle hosts to pools that lack hosts, or to the spare pool."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        configuration = self._configuration.current
        if configuration is None:
            return
        leaving = {
            host_id
            for wave in self._waves.values()
            for host_id in wave.evacuating_since
            if host_id not in wave.begun
        }
        for host_id, (destination, since) in list(self._arriving.items()):
            host = hosts_by_id.get(host_id)
            is_there = (
                host is not None and host.pool == destination and host.state == "up"
            )
            if is_there or now - since > ARRIVAL_LIMIT_S:
                del self._arriving[host_id]
        views = []
        for pool in configuration.pools_by_name.values():
            if not pool.is_spare and pool.name not in self._peaks:
                home = sum(1 for host in hosts_by_id.values() if host.pool == pool.name)
                self._peaks[pool.name] = capacity.PeakState(home)
            view = await self._build_pool_view(pool, hosts_by_id, leaving)
            if view is None:
                return  # the owner of the pool did not answer
            views.append(view)
        before = self._encode_peaks()
        moves = capacity.plan_moves(views, self._peaks, now)
        if moves or now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            self._log_event(
                "capacity",
                pools={
                    view.name: [
                        view.hosts,
                        round(view.used_cores, 1),
                        round(view.waiting_cores, 1),
                        round(view.arriving_cores, 1),
                        len(view.movable),
                        self._describe_peak(view.name),
                    ]
                    for view in views
                },
                moves=len(moves),
            )
        async with asyncio.TaskGroup() as group:
            for move in moves:
                group.create_task(self._move_host(move, hosts_by_id[move.host_id]))
        await self._drain_hosts(
            capacity.plan_drains(views, self._peaks, moves, now), hosts_by_id
        )
        after = self._encode_peaks()
        if after != before:
            await self._store_record("turns", after)

    async def _build_pool_view(
        self,
        pool: model.Pool,
        hosts_by_id: dict[str, model.HostEntry],
        leaving: set[str],
    ) -> capacity.PoolView | None:
        hosts = [host for host in hosts_by_id.values() if host.pool == pool.name]
        arriving = sum(1 for to, _ in self._arriving.values() if to == pool.name)
        arriving += sum(1 for host in hosts if host.state == "upkeep")
        up = [
            host
            for host in hosts
            if host.state == "up" and host.host_id not in self._arriving
        ]
        if pool.is_spare:
            movable = [host.host_id for host in up if host.host_id not in leaving]
            return capacity.PoolView(
                pool.name, True, DEFAULT_HOST_CORES, len(up) + arriving, movable=movable
            )
        try:
            load = await self._jobs.describe_load(pool.name, arriving)
        except errors.ClementinesparError as error:
            self._log_event("load_unknown", pool=pool.name, code=int(error.code))
            return None
        workers = load["workers"]
        # A draining worker leaves with its host, so its tasks need another one.
        staying = [
            host
            for host in up
            if not workers.get(host.worker_id, {}).get("is_leaving", False)
        ]
        busy = sorted(
            (
                host
                for host in staying
                if host.host_id not in leaving
                and workers.get(host.worker_id, {}).get("runs", 0)
                and not workers[host.worker_id]["lasting"]
            ),
            key=lambda host: float(workers[host.worker_id]["used_cores"]),
        )
        return capacity.PoolView(
            name=pool.name,
            is_spare=False,
            host_cores=load["worker_cores"] or DEFAULT_HOST_CORES,
            hosts=len(up) + arriving,
            used_cores=sum(worker["used_cores"] for worker in workers.values()),
            waiting_cores=load["waiting_cores"],
            arriving_cores=load["arriving_cores"],
            lasting_cores=sum(worker["lasting_cores"] for worker in workers.values()),
            lasting_hosts=load.get("lasting_hosts", 0),
            leaving_hosts=len(up) - len(staying),
            late_cores=load.get("late_cores", 0.0),
            movable=[
                host.host_id
                for host in staying
                if host.host_id not in leaving
                and host.worker_id in workers
                and not workers[host.worker_id]["runs"]
            ],
            drainable=[
                host.host_id for host in busy if host.host_id not in self._drained_at
            ],
            draining=[
                host.host_id for host in busy if host.host_id in self._drained_at
            ],
        )

    async def _drain_hosts(
        self, host_ids: list[str], hosts_by_id: dict[str, model.HostEntry]
    ) -> None:
        """Keep new work off busy hosts that another pool needs."""
        now = asyncio.get_running_loop().time()
        self._drained_at = {
            host_id: at
            for host_id, at in self._drained_at.items()
            if now - at < DRAIN_TTL_S
        }
        due = [
            host_id
            for host_id in host_ids
            if now - self._drained_at.get(host_id, -math.inf) >= DRAIN_TTL_S / 2
        ]
        if any(host_id not in self._drained_at for host_id in due):
            self._log_event("hosts_drained", count=len(host_ids), hosts=due[:5])
        async with asyncio.TaskGroup() as group:
            for host_id in due:
                self._drained_at[host_id] = now
                group.create_task(
                    self._evacuate(
                        hosts_by_id[host_id],
                        DRAIN_TTL_S,
                        model.EvacuationUrgency.LEND,
                    )
                )

    async def _move_host(self, move: capacity.Move, host: model.HostEntry) -> None:
        loop = asyncio.get_running_loop()
        is_free = await self._is_free(host, model.EvacuationUrgency.IF_IDLE)
        if not is_free or not self._may_act():
            return
        self._arriving[move.host_id] = (move.destination, loop.time())
        try:
            is_moved = await self._hosts.move(
                move.host_id, move.destination, self.epoch
            )
        except errors.ClementinesparError as error:
            # The move may have started; the next lists of hosts show whether it has.
            self._log_event(
                "host_move_unanswered", host=move.host_id, code=int(error.code)
            )
            return
        self._log_event(
            "host_move",
            host=move.host_id,
            source=move.source,
            destination=move.destination,
            is_begun=is_moved,
        )
        if not is_moved:
            del self._arriving[move.host_id]

    def _describe_peak(self, pool: str) -> str:
        """Return the state of a pool in one word, for the log."""
        peak = self._peaks.get(pool)
        if peak is None:
            return "spare"
        if peak.is_peaking:
            return "peak"
        return "resting" if peak.is_resting else "home"

    def _encode_peaks(self) -> dict[str, object]:
        """Return the state of the peaks to store for the next owner."""
        ended = sorted(
            (n for n, peak in self._peaks.items() if peak.peak_ended_at is not None),
            key=lambda n: self._peaks[n].peak_ended_at or 0.0,
        )
        return {
            name: {
                "home": peak.home_hosts,
                "peaking": peak.is_peaking,
                "rank": ended.index(name) if name in ended else -1,
            }
            for name, peak in sorted(self._peaks.items())
        }

    def _restore_peaks(self, fields: dict[str, dict[str, int]], now: float) -> None:
        for name, stored in fields.items():
            self._peaks[name] = capacity.PeakState(
                home_hosts=int(stored["home"]),
                is_peaking=bool(stored["peaking"]),
                # Only the order in which the peaks ended matters.
                peak_ended_at=now + 1e-3 * stored["rank"]
                if stored["rank"] >= 0
                else None,
            )

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
            if not await self._is_free(host, urgency):
                continue
            if len(down) >= wave.max_down or not self._may_act():
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
        left_s = progress.first_seen_at + progress.wave.deadline_s - loop.time()
        share = (
            MAX_LEAVING_SHARE
            if left_s > progress.wave.deadline_s / 3
            else MAX_LEAVING_SHARE * 2
        )
        for host in pending:
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
            self._log_event(
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

    async def _is_free(
        self, host: model.HostEntry, urgency: model.EvacuationUrgency
    ) -> bool:
        if not host.worker_id or self._is_spare(host.pool):
            return True
        return await self._evacuate(host, EVACUATION_TTL_S, urgency)

    async def _evacuate(
        self, host: model.HostEntry, kept_s: float, urgency: model.EvacuationUrgency
    ) -> bool:
        """Keep new work off a host for some seconds; True once it is idle."""
        try:
            return await self._jobs.evacuate(host.pool, host.worker_id, kept_s, urgency)
        except errors.ClementinesparError as error:
            self._log_event(
                "evacuation_unanswered", host=host.host_id, code=int(error.code)
            )
            return False

    async def _start_maintenance(
        self, progress: _WaveProgress, host: model.HostEntry
    ) -> None:
        loop = asyncio.get_running_loop()
        number = progress.wave.number
        progress.ordered_at[host.host_id] = loop.time()
        is_begun = await self._hosts.start_maintenance(host.host_id, number, self.epoch)
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

    async def _store_holder(self) -> None:
        await self._store_record("holder", {"epoch": self.epoch})

    async def _store_record(self, key: str, value: object) -> None:
        """Store a record under the epoch of this owner; retries until it is stored."""
        entry = services.KeyedRecord(key, json.dumps(value).encode())
        await self._log.append([entry])


@contextlib.asynccontextmanager
async def own_fleet(owner: FleetOwner) -> AsyncIterator[FleetOwner]:
    """Run an owner of the fleet inside the context."""
    async with background.running(owner.run()):
        yield owner
