"""Waves of maintenance, as the owner of the fleet carries them out.

Stored for the next owner, by key in the partition of the fleet:

- ``wave`` and the number of a wave: ids of hosts whose maintenance has begun;
- ``evacuations``: by number of the wave, when it was first seen and since when its
  hosts are evacuated, in milliseconds of Unix time. Older builds ignore it, and while
  it is absent a wave counts as first seen when the owner begins.
"""

import asyncio
import collections
import dataclasses
import functools
from collections.abc import Awaitable, Callable, Mapping

from clementinespar import decoding, errors
from clementinespar.jobs import (
    host_evacuation,
    host_orders,
    model,
    services,
    wave_plan,
)

WAVE_KEY_PREFIX = "wave"
EVACUATIONS_KEY = "evacuations"
URGENT_AFTER_S = 3.0  # short runs are stopped when an evacuation takes this long
HOST_RETURN_S = 0.8  # a host's new worker registers this long after its maintenance


@dataclasses.dataclass(slots=True)
class _WaveProgress:
    """Progress of one wave; all times are event-loop times."""

    wave: model.MaintenanceWave
    first_seen_at: float  # when this owner or a previous one first saw the wave
    # Ids of hosts whose maintenance has begun.
    begun: set[str] = dataclasses.field(default_factory=set)
    # By host id.
    ordered_at: dict[str, float] = dataclasses.field(default_factory=dict)
    evacuating_since: dict[str, float] = dataclasses.field(default_factory=dict)
    # Ids of hosts in maintenance, or with an order for it, as of this tick.
    down: set[str] = dataclasses.field(default_factory=set)
    is_reported: bool = False
    is_done: bool = False
    is_stored: bool = True  # the stored record has all of `begun`


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredEvacuations:
    """Evacuations of one wave that are kept over a change of owner."""

    first_seen_at: float  # event-loop time
    since: dict[str, float]  # host id: event-loop time


@dataclasses.dataclass(frozen=True, slots=True)
class _Evacuation:
    """A request to free a host of a wave."""

    progress: _WaveProgress
    host: model.HostEntry
    urgency: model.EvacuationUrgency


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
    store_records : callable
        Stores records by their key in the fleet partition, in one append.
    unix_s : callable
        Returns the Unix time in seconds, as `time.time` does.
    """

    _waves: dict[int, _WaveProgress]
    # Hosts whose maintenance a previous owner has begun, by number of the wave.
    _begun_by_wave: dict[int, set[str]]
    _evacuations_by_wave: dict[int, _StoredEvacuations]  # of a previous owner
    _stored_evacuations: dict[str, object]  # as in the newest record
    _unix_offset_s: float  # Unix time less the event loop's time

    def __init__(
        self,
        epoch: int,
        hosts: services.HostService,
        waves: services.WaveSource,
        evacuation: host_evacuation.HostEvacuation,
        orders: host_orders.HostOrders,
        sender: host_orders.OrderSender,
        count_lasting: Callable[[str], int],
        maintenance_s: float,
        store_records: Callable[[Mapping[str, object]], Awaitable[None]],
        unix_s: Callable[[], float],
        log_event: services.EventLog,
    ) -> None:
        self._epoch = epoch
        self._hosts = hosts
        self._wave_source = waves
        self._evacuation = evacuation
        self._orders = orders
        self._sender = sender
        self._count_lasting = count_lasting
        self._maintenance_s = maintenance_s
        self._store_records = store_records
        self._log_event = log_event
        self._waves = {}
        self._begun_by_wave = {}
        self._evacuations_by_wave = {}
        self._stored_evacuations = {}
        self._unix_offset_s = unix_s() - asyncio.get_running_loop().time()

    def restore(self, key: str, value: bytes) -> None:
        """Take over a record that a previous owner has stored.

        Raises
        ------
        decoding.ERRORS
            The record is unreadable.
        """
        if key != EVACUATIONS_KEY:
            number = int(key.removeprefix(WAVE_KEY_PREFIX))
            self._begun_by_wave[number] = {
                str(host) for host in decoding.parse_json(value)
            }
            return
        fields = decoding.parse_json(value)
        self._evacuations_by_wave = {
            int(number): _StoredEvacuations(
                self._decode_time(stored["first_seen_ms"]),
                {
                    str(host_id): self._decode_time(since_ms)
                    for host_id, since_ms in stored["since_ms"].items()
                },
            )
            for number, stored in fields.items()
        }
        self._stored_evacuations = fields

    def _decode_time(self, unix_ms: int) -> float:
        """Return the event-loop time of a time in the past on the clock of any node."""
        now = asyncio.get_running_loop().time()
        return min(now, int(unix_ms) / 1000 - self._unix_offset_s)

    def _encode_time(self, at: float) -> int:
        return round((at + self._unix_offset_s) * 1000)

    def _encode_evacuations(self) -> dict[str, object]:
        """Return the evacuations of all waves that are not done."""
        current = {
            number: _StoredEvacuations(
                progress.first_seen_at,
                {
                    host_id: since
                    for host_id, since in progress.evacuating_since.items()
                    if host_id not in progress.begun
                },
            )
            for number, progress in self._waves.items()
            if not progress.is_done
        }
        # The operators' record of a wave may not have been read yet.
        unseen = {
            number: stored
            for number, stored in self._evacuations_by_wave.items()
            if number not in self._waves
        }
        return {
            str(number): {
                "first_seen_ms": self._encode_time(stored.first_seen_at),
                "since_ms": {
                    host_id: self._encode_time(since)
                    for host_id, since in stored.since.items()
                },
            }
            for number, stored in (unseen | current).items()
        }

    def add_new(self) -> None:
        """Add the waves that operators have requested since the last call."""
        for number, wave in self._wave_source.by_number.items():
            if number not in self._waves:
                now = asyncio.get_running_loop().time()
                progress = _WaveProgress(wave, now)
                progress.begun = self._begun_by_wave.get(number, set())
                stored = self._evacuations_by_wave.get(number)
                if stored is not None:
                    progress.first_seen_at = stored.first_seen_at
                    progress.evacuating_since = dict(stored.since)
                self._waves[number] = progress

    async def advance(self, hosts_by_id: dict[str, model.HostEntry]) -> None:
        """Evacuate hosts of the open waves, and plan the maintenance of those free."""
        evacuations: list[_Evacuation] = []
        for progress in self._waves.values():
            if not progress.is_done:
                evacuations += await self._choose_hosts(progress, hosts_by_id)
        await self.store_changes()
        queried_at = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            queries = [
                group.create_task(
                    self._evacuation.is_free(evacuation.host, evacuation.urgency)
                )
                for evacuation in evacuations
            ]
        for evacuation, query in zip(evacuations, queries, strict=True):
            if query.result():
                self._plan_maintenance(evacuation, queried_at)

    async def store_changes(self) -> None:
        """Store for the next owner what has changed in all waves, in one append.

        Call it once the orders of a tick have ended, before more are sent.
        """
        changed = [p for p in self._waves.values() if not p.is_stored]
        records: dict[str, object] = {
            f"{WAVE_KEY_PREFIX}{p.wave.number}": sorted(p.begun) for p in changed
        }
        evacuations = self._encode_evacuations()
        if evacuations != self._stored_evacuations:
            records[EVACUATIONS_KEY] = evacuations
        if not records:
            return
        await self._store_records(records)
        self._stored_evacuations = evacuations
        for progress in changed:
            progress.is_stored = True

    def find_leaving(self) -> set[str]:
        """Return the ids of hosts that are evacuated and not in maintenance yet."""
        return {
            host_id
            for wave in self._waves.values()
            for host_id in wave.evacuating_since
            if host_id not in wave.begun
        }

    async def _choose_hosts(
        self, progress: _WaveProgress, hosts_by_id: dict[str, model.HostEntry]
    ) -> list[_Evacuation]:
        """Return the evacuations to request now, in the order of the wave."""
        loop = asyncio.get_running_loop()
        wave = progress.wave
        self._note_begun(progress, hosts_by_id)
        if not progress.is_reported:
            progress.is_reported = await self._report(wave, is_done=False)
        pending = [
            hosts_by_id[host_id]
            for host_id in wave.host_ids
            if host_id in hosts_by_id and host_id not in progress.begun
        ]
        if not pending:
            progress.is_done = await self._report(wave, is_done=True)
            if not progress.is_done:
                return []
            self._log_event("wave_done", wave=wave.number, begun=len(progress.begun))
            return []
        progress.down = {
            host_id
            for host_id in wave.host_ids
            if self._is_down(progress, hosts_by_id.get(host_id), loop.time())
        }
        # Orders of the previous owner may not show in the list yet.
        for number in (wave.number, host_orders.NO_WAVE):
            held = self._orders.find_held_for_wave(number, loop.time())
            progress.down |= held.intersection(wave.host_ids)
        self._choose_evacuations(progress, pending, progress.down, hosts_by_id)
        evacuations = []
        for host in pending:
            since = progress.evacuating_since.get(host.host_id)
            if since is None or host.state != "up":
                continue
            urgency = model.EvacuationUrgency.DRAIN
            if loop.time() - since > URGENT_AFTER_S:
                urgency = model.EvacuationUrgency.STOP
            evacuations.append(_Evacuation(progress, host, urgency))
        return evacuations

    async def _report(self, wave: model.MaintenanceWave, is_done: bool) -> bool:
        """Report the state of a wave; False if that has failed.

        The report is repeated in the next tick. It must not stop other waves and moves.
        """
        try:
            await self._wave_source.report(wave, is_done)
        except errors.ClementinesparError as error:
            self._log_event(
                "wave_report_failed", wave=wave.number, code=int(error.code)
            )
            return False
        return True

    def _plan_maintenance(self, evacuation: _Evacuation, queried_at: float) -> None:
        """Plan the maintenance of a host that is free, unless too many are down."""
        progress, host = evacuation.progress, evacuation.host
        if len(progress.down) >= progress.wave.max_down:
            return
        if not self._sender.may_order(host.host_id):
            return
        progress.down.add(host.host_id)
        self._sender.plan(
            host_orders.HostOrder(
                host.host_id,
                queried_at,
                functools.partial(self._start_maintenance, progress, host),
                wave=progress.wave.number,
            )
        )

    def _note_begun(
        self, progress: _WaveProgress, hosts_by_id: dict[str, model.HostEntry]
    ) -> None:
        """Note the hosts in maintenance whose order got no answer.

        The order may be of the previous owner, which was lost before it could record
        that the maintenance has begun.
        """
        now = asyncio.get_running_loop().time()
        ordered = self._orders.find_held_for_wave(progress.wave.number, now)
        # Later, a host may be in maintenance for another wave.
        ordered.update(
            host_id
            for host_id, at in progress.ordered_at.items()
            if now - at < self._maintenance_s + HOST_RETURN_S
        )
        for host_id in ordered - progress.begun:
            host = hosts_by_id.get(host_id)
            if host is not None and host.state == "upkeep":
                progress.begun.add(host_id)
                progress.is_stored = False

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
        self,
        progress: _WaveProgress,
        host: model.HostEntry,
        may_send: Callable[[], bool],
    ) -> None:
        number = progress.wave.number
        earlier_at = progress.ordered_at.get(host.host_id)
        progress.ordered_at[host.host_id] = asyncio.get_running_loop().time()
        try:
            is_begun = await self._hosts.start_maintenance(
                host.host_id, number, self._epoch, may_send
            )
        except errors.ClementinesparError as error:
            # It may have begun; the next lists of hosts show whether it has.
            self._log_event(
                "host_upkeep_unanswered",
                host=host.host_id,
                wave=number,
                code=int(error.code),
            )
            return
        self._log_event(
            "host_upkeep",
            host=host.host_id,
            pool=host.pool,
            wave=number,
            is_begun=is_begun,
        )
        if not is_begun:
            del progress.ordered_at[host.host_id]
            if earlier_at is not None:
                # An earlier order got no answer. Its maintenance may be the reason of
                # the refusal, and the list of hosts may not show it yet.
                progress.ordered_at[host.host_id] = earlier_at
            return
        progress.begun.add(host.host_id)
        progress.is_stored = False
