"""A round of placement: which jobs wait, in which order, and what is free."""

import dataclasses
import heapq
import math
from collections.abc import Iterable, Sequence

from clementinespar.jobs import (
    crash_counts,
    demand,
    fair_share,
    job_table,
    neighbours,
    owner_quotas,
    placement,
    session_table,
    state,
    task_placer,
    team_rate,
    telemetry,
    wait_watch,
    worker_session,
    worker_use,
)

# Tasks are packed this long after some found no room: a few run times of short tasks.
PACKED_S = 3.0
# Late work waits while its pool lends hosts, unless less than this share of the pool's
# cores is in use: it must go on where there is room.
LATE_WORK_MIN_USE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Preview:
    """What a round of placement would do with a job that arrives now.

    Attributes
    ----------
    kind : int
        The class of `placement.rank`.
    before : Sequence of state.JobProgress
        Waiting jobs of the pool that are placed first.
    is_contended : bool
        Whether the fair shares of teams count.
    is_held_back : bool
        Whether it is late and its pool lends hosts.
    """

    kind: int
    key: fair_share.OrderKey
    before: Sequence[state.JobProgress]
    is_contended: bool
    is_held_back: bool
    free_capacity: placement.FreeCapacity


class PlacementRound:
    """Places the waiting tasks of one partition for its owner."""

    # Event-loop time at which timely tasks of a pool last found no room.
    _full_at_by_pool: dict[str, float]

    def __init__(
        self,
        epoch: int,
        jobs: job_table.JobTable,
        sessions: session_table.SessionTable,
        use: worker_use.WorkerUse,
        placer: task_placer.TaskPlacer,
        run_times: demand.RunTimes,
        quotas: owner_quotas.OwnerQuotas,
        waits: wait_watch.WaitWatch,
        neighbour_evidence: neighbours.Neighbours,
        team_rates: team_rate.TeamRates,
        metrics: telemetry.JobMetrics,
    ) -> None:
        self._epoch = epoch
        self._jobs = jobs
        self._sessions = sessions
        self._worker_use = use
        self._placer = placer
        self._run_times = run_times
        self._quotas = quotas
        self._waits = waits
        self._neighbours = neighbour_evidence
        self._team_rates = team_rates
        self._metrics = metrics
        self._full_at_by_pool = {}

    def run(self, now: float) -> None:
        """Start the tasks that are ready, as far as the free capacity allows."""
        self._placer.send_stored(now)
        self._quotas.begin_round()
        usable = self._sessions.find_usable(now)
        if not usable:
            return
        waiting = self._find_waiting()
        estimate_ms = self._run_times.estimate_ms
        rank_by_id = {
            job.spec.job_id: placement.rank(job, now, estimate_ms) for job in waiting
        }
        usable_by_pool: dict[str, list[worker_session.WorkerSession]] = {
            pool: [session for session in usable if session.entry.pool == pool]
            for pool in {job.spec.pool for job in waiting}
        }
        free_capacity_by_pool = {
            pool: self._make_free_capacity(pool, sessions, now)
            for pool, sessions in usable_by_pool.items()
        }
        work_by_id: dict[str, fair_share.Amount] = {}
        shares_by_pool: dict[str, fair_share.PoolShares] = {}
        if self._team_rates.has_teams:
            work_by_id = {
                job.spec.job_id: fair_share.ready_work(job) for job in waiting
            }
            for pool, sessions in usable_by_pool.items():
                jobs = [
                    (job, work_by_id[job.spec.job_id])
                    for job in waiting
                    if job.spec.pool == pool
                ]
                shares = self._find_shares(pool, sessions, jobs)
                if shares is not None:
                    shares_by_pool[pool] = shares
        if not shares_by_pool:
            waiting.sort(key=lambda job: rank_by_id[job.spec.job_id])
            for job in waiting:
                rank = rank_by_id[job.spec.job_id]
                self._place(job, rank, free_capacity_by_pool[job.spec.pool], now)
            return
        self._metrics.count_contended_round()
        # The number keeps the order of jobs with equal keys.
        queue = []
        for number, job in enumerate(waiting):
            rank = rank_by_id[job.spec.job_id]
            key = fair_share.order_key(job, rank, shares_by_pool.get(job.spec.pool))
            queue.append((key, number, job))
        heapq.heapify(queue)
        while queue:
            key, number, job = heapq.heappop(queue)
            shares = shares_by_pool.get(job.spec.pool)
            if shares and not key.is_above and job.spec.team in shares.above:
                # Other jobs of the team have started in this round.
                heapq.heappush(queue, (key._replace(is_above=True), number, job))
                continue
            was_placed = job.is_placed
            rank = rank_by_id[job.spec.job_id]
            self._place(job, rank, free_capacity_by_pool[job.spec.pool], now)
            if shares and job.is_placed and not was_placed:
                shares.claim(job.spec.team, work_by_id[job.spec.job_id])

    def preview(self, job: state.JobProgress, now: float) -> Preview:
        """Return what a round would do now with a job that is not part of it yet."""
        pool = job.spec.pool
        usable = [s for s in self._sessions.find_usable(now) if s.entry.pool == pool]
        free_capacity = self._make_free_capacity(pool, usable, now)
        waiting = [other for other in self._find_waiting() if other.spec.pool == pool]
        shares = None
        if usable and (self._team_rates.has_teams or job.spec.team):
            work = [(other, fair_share.ready_work(other)) for other in (*waiting, job)]
            shares = self._find_shares(pool, usable, work)
        estimate_ms = self._run_times.estimate_ms
        rank = placement.rank(job, now, estimate_ms)
        key = fair_share.order_key(job, rank, shares)
        before = [
            other
            for other in waiting
            if crash_counts.has_ready_tasks(other, now)
            and fair_share.order_key(
                other, placement.rank(other, now, estimate_ms), shares
            )
            <= key  # jobs of equal keys are placed in the order of their arrival
        ]
        return Preview(
            rank[0],
            key,
            before,
            shares is not None,
            self._is_held_back(pool, rank[0], free_capacity, now),
            free_capacity,
        )

    def _find_waiting(self) -> list[state.JobProgress]:
        """Return the jobs with waiting tasks that may start."""
        is_settled = self._worker_use.is_settled()
        return [
            job
            for job in self._jobs.active.values()
            if job.is_adopted
            and (is_settled or job.adopted_epoch == self._epoch)
            and crash_counts.may_start(job)
            and any(s.waiting for o in job.occurrences.values() for s in o.steps)
        ]

    def _make_free_capacity(
        self, pool: str, usable: list[worker_session.WorkerSession], now: float
    ) -> placement.FreeCapacity:
        return placement.FreeCapacity(
            usable,
            self._neighbours.find_model(pool),
            is_packed=now - self._full_at_by_pool.get(pool, -math.inf) < PACKED_S,
        )

    def _is_held_back(
        self, pool: str, kind: int, free_capacity: placement.FreeCapacity, now: float
    ) -> bool:
        """Whether late work waits because its pool lends hosts."""
        return (
            kind == placement.LATE
            and now < self._sessions.lending_until.get(pool, -math.inf)
            and self._find_used_share(pool) >= LATE_WORK_MIN_USE
        )

    def _place(
        self,
        job: state.JobProgress,
        rank: tuple[int, int, float],
        free_capacity: placement.FreeCapacity,
        now: float,
    ) -> None:
        """Place the ready tasks of a job, and record whether its pool is full.

        Parameters
        ----------
        rank : tuple
            As `placement.rank` returns it.
        """
        pool = job.spec.pool
        kind = rank[0]
        if self._is_held_back(pool, kind, free_capacity, now):
            return
        risk_version = job.risk_version
        missing_ranges = job.missing_ranges
        self._placer.place(job, rank, free_capacity, now)
        if job.risk_version != risk_version or job.missing_ranges != missing_ranges:
            self._jobs.store_soon(job)
        is_timely = kind in (placement.STARTED, placement.NEW)
        if is_timely and crash_counts.has_ready_tasks(job, now):
            self._full_at_by_pool[pool] = now

    def _find_used_share(self, pool: str) -> float:
        """Return the share of the cores of all workers of a pool that is in use."""
        sessions = self._sessions.in_pool(pool)
        cores = sum(session.entry.cpu_millis for session in sessions)
        free = sum(session.free_cpu for session in sessions)
        return 1.0 - free / cores if cores else 1.0

    def _find_shares(
        self,
        pool: str,
        usable: Iterable[worker_session.WorkerSession],
        jobs: Sequence[tuple[state.JobProgress, fair_share.Amount]],
    ) -> fair_share.PoolShares | None:
        """Return the shares of teams; None if a pool is not contended or has no teams.

        Parameters
        ----------
        usable : iterable of worker_session.WorkerSession
            Sessions of the workers that may take work.
        jobs : sequence of tuple of state.JobProgress and fair_share.Amount
            Waiting jobs with their ready work.
        """
        if not any(job.spec.team for job, _ in jobs):
            return None
        free = fair_share.total(
            (
                float(session.free_cpu),
                float(session.free_memory),
                float(session.free_gpus),
            )
            for session in usable
        )
        if not fair_share.is_contended(
            fair_share.total(work for _, work in jobs), free
        ):
            return None
        return fair_share.PoolShares(
            free, self._use_by_team(pool), jobs, self._team_rates.find_weight
        )

    def _use_by_team(self, pool: str) -> dict[str, fair_share.Amount]:
        """Return what the runs of each team use in a pool; by "" those of no team."""
        use_by_job_id: dict[str, list[int]] = {}
        for session in self._sessions.in_pool(pool):
            for run in session.runs.values():
                spec = run.spec
                used = use_by_job_id.setdefault(run.key.job_id, [0, 0, 0])
                if not spec.is_filler:
                    used[0] += spec.cpu_millis
                used[1] += spec.memory_mb
                used[2] += spec.gpus
        use: dict[str, fair_share.Amount] = {}
        for job_id, (cpu_millis, memory_mb, gpus) in use_by_job_id.items():
            job = self._jobs.by_id.get(job_id)
            team = "" if job is None else job.spec.team
            use[team] = fair_share.add(
                use.get(team, fair_share.NOTHING),
                (float(cpu_millis), float(memory_mb), float(gpus)),
            )
        return use
