"""Moves of hosts between pools, as the owner of the fleet orders them.

`capacity.py` decides which hosts move, from the load that the owners of pools report.
A busy host that another pool needs is drained first.
"""

import asyncio
import functools
import math
import time
from collections.abc import Awaitable, Callable

from clementinespar import decoding, errors
from clementinespar.jobs import (
    capacity,
    host_evacuation,
    host_orders,
    model,
    peak_records,
    peaks,
    service,
    services,
    telemetry,
)

# A busy host that another pool needs gets no new work for this long, unless it is asked
# for again: the other pool's need may end before the host is idle.
DRAIN_TTL_S = 2.0
ARRIVAL_LIMIT_S = 6.0  # a moved host that is not up by then is not counted
# A host that has not been up yet counts as present for this long after it is first
# seen: the hosts of a new deployment start within seconds.
STARTING_S = 5.0
LOG_INTERVAL_S = 2.0
DEFAULT_HOST_CORES = 16.0  # until a worker of the pool is known


class HostMoves:
    """Moves and drains hosts for the owner of the fleet.

    Parameters
    ----------
    epoch : int
        Epoch of the owner, sent with each order.
    may_act : callable
        Whether the owner may give orders now.
    store_record : callable
        Stores a record under a key of the fleet partition.
    """

    _peaks: dict[str, capacity.PeakState]
    _turns: peaks.Turns
    _unix_offset_s: float  # Unix time at which the event-loop clock was 0
    _arriving: dict[str, tuple[str, float]]  # host id: its new pool and time of order
    _has_peaked: bool  # a previous owner has seen a peak, so hosts that are down failed
    _starting_since: dict[str, float]  # host id: first seen; -inf if it has been up
    _drained_at: dict[str, float]  # host id: event-loop time of the newest request
    _lasting_by_worker: dict[str, int]  # number of lasting tasks, as last reported
    _logged_at: float

    def __init__(
        self,
        epoch: int,
        jobs: service.JobService,
        hosts: services.HostService,
        configuration: services.ConfigurationSource,
        evacuation: host_evacuation.HostEvacuation,
        orders: host_orders.OrderSender,
        may_act: Callable[[], bool],
        store_record: Callable[[str, object], Awaitable[None]],
        log_event: services.EventLog,
        metrics: telemetry.JobMetrics | None = None,
    ) -> None:
        self._epoch = epoch
        self._jobs = jobs
        self._hosts = hosts
        self._configuration = configuration
        self._evacuation = evacuation
        self._orders = orders
        self._may_act = may_act
        self._store_record = store_record
        self._log_event = log_event
        self._metrics = metrics
        self._peaks = {}
        self._turns = peaks.Turns()
        self._unix_offset_s = time.time() - asyncio.get_running_loop().time()
        self._arriving = {}
        self._has_peaked = False
        self._starting_since = {}
        self._drained_at = {}
        self._lasting_by_worker = {}
        self._logged_at = 0.0

    def restore(self, fields: object, now: float) -> None:
        """Take over the state of the peaks that the previous owner has stored.

        An entry that is unreadable is skipped: nothing has been learnt of its pool.
        """
        offset_s = self._unix_offset_s
        self._turns = peaks.Turns()  # the load may be retried
        if not isinstance(fields, dict):
            error = TypeError("not an object")
            telemetry.log_invalid_entry(self._log_event, "turns", error)
            return
        for name, stored in fields.items():
            try:
                state = peak_records.restore_state(stored, now, offset_s)
                starts = peak_records.restore_starts(stored, now, offset_s)
            except decoding.ERRORS as error:
                telemetry.log_invalid_entry(self._log_event, f"turns {name}", error)
                continue
            self._peaks[name] = state
            self._turns.starts += [(at, name) for at in starts]
            self._has_peaked |= state.is_peaking or state.peak_ended_at is not None
        self._turns.starts.sort()

    def count_lasting(self, worker_id: str) -> int:
        """Return the number of lasting tasks on a worker, as last reported."""
        return self._lasting_by_worker.get(worker_id, 0)

    async def move_to_demand(
        self, hosts_by_id: dict[str, model.HostEntry], leaving: set[str]
    ) -> None:
        """Move idle hosts to pools that lack hosts, or to the spare pool.

        Parameters
        ----------
        hosts_by_id : dict of str to model.HostEntry
            All hosts, as the platform lists them.
        leaving : set of str
            Ids of hosts that are evacuated for maintenance, which do not move.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        configuration = self._configuration.current
        if configuration is None:
            return
        for host_id, (destination, since) in list(self._arriving.items()):
            host = hosts_by_id.get(host_id)
            is_there = (
                host is not None and host.pool == destination and host.state == "up"
            )
            if is_there or now - since > ARRIVAL_LIMIT_S:
                del self._arriving[host_id]
        for host in hosts_by_id.values():
            if host.state == "up" or self._has_peaked:
                self._starting_since[host.host_id] = -math.inf
            else:
                self._starting_since.setdefault(host.host_id, now)
        for pool in configuration.pools_by_name.values():
            if not pool.is_spare and pool.name not in self._peaks:
                home = sum(1 for host in hosts_by_id.values() if host.pool == pool.name)
                self._peaks[pool.name] = capacity.PeakState(home)
        # At once: a node that is lost may own several pools, and each call to it takes
        # the whole time limit.
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._build_pool_view(pool, hosts_by_id, leaving))
                for pool in configuration.pools_by_name.values()
            ]
        # None: the owner of the pool did not answer.
        views = [view for task in tasks if (view := task.result()) is not None]
        before = self._encode_peaks()
        moves = capacity.plan_moves(views, self._peaks, now, self._turns)
        self._log_peaks()
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
                        *self._describe_expected(view.name, now),
                    ]
                    for view in views
                },
                moves=len(moves),
            )
        async with asyncio.TaskGroup() as group:
            for move in moves:
                group.create_task(self._plan_order(move, hosts_by_id[move.host_id]))
        await self._orders.send()
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
        arriving += sum(
            1 for host in hosts if host.state == "upkeep" or self._is_starting(host)
        )
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
        self._lasting_by_worker.update(
            {worker_id: fields["lasting"] for worker_id, fields in workers.items()}
        )
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
            arriving_jobs=load.get("arriving_jobs"),
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

    def _is_starting(self, host: model.HostEntry) -> bool:
        """Whether a host has not been up yet, but is expected to be up soon."""
        now = asyncio.get_running_loop().time()
        return (
            host.state != "up"
            and host.host_id not in self._arriving
            and now - self._starting_since[host.host_id] < STARTING_S
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
                    self._evacuation.evacuate(
                        hosts_by_id[host_id],
                        DRAIN_TTL_S,
                        model.EvacuationUrgency.LEND,
                    )
                )

    def restore_arriving(self, pool_by_host: dict[str, str], now: float) -> None:
        """Count hosts that the previous owner has moved as on their way."""
        for host_id, pool in pool_by_host.items():
            self._arriving[host_id] = (pool, now)

    async def _plan_order(self, move: capacity.Move, host: model.HostEntry) -> None:
        queried_at = asyncio.get_running_loop().time()
        is_free = await self._evacuation.is_free(host, model.EvacuationUrgency.IF_IDLE)
        if is_free and self._may_act() and self._orders.may_order(move.host_id):
            self._orders.plan(
                host_orders.HostOrder(
                    move.host_id,
                    queried_at,
                    functools.partial(self._move_host, move),
                    pool=move.destination,
                )
            )

    async def _move_host(
        self, move: capacity.Move, may_send: Callable[[], bool]
    ) -> None:
        now = asyncio.get_running_loop().time()
        self._arriving[move.host_id] = (move.destination, now)
        try:
            is_moved = await self._hosts.move(
                move.host_id, move.destination, self._epoch, may_send
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

    def _describe_expected(self, pool: str, now: float) -> tuple[int, str]:
        """Return the number of hosts that a pool is expected to need, and why."""
        if pool not in self._peaks:
            return 0, ""
        expected = capacity.expected_hosts(self._peaks[pool], now)
        if expected:
            return expected, "height"
        forecast = capacity.forecast_hosts(pool, self._peaks, self._turns, now)
        return forecast, "forecast" if forecast else ""

    def _log_peaks(self) -> None:
        """Log what has been learnt or forecast of peaks, and what was wrong."""
        for event in self._turns.take_events():
            self._log_event(
                f"peak_{event.subject}",
                pool=event.pool,
                outcome=event.outcome,
                value=round(event.value, 2),
                error=None if event.error is None else round(event.error, 2),
            )
            # A height that is dropped counts when it has been learnt anew.
            is_final = (event.subject, event.outcome) != ("height", "dropped")
            if self._metrics and is_final and event.error is not None:
                self._metrics.observe_peak_error(event.subject, event.error)

    def _encode_peaks(self) -> dict[str, object]:
        """Return the state of the peaks to store for the next owner."""
        return peak_records.encode(self._peaks, self._turns, self._unix_offset_s)
