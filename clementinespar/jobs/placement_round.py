"""A round of placement: which jobs wait, in which order, and what is free."""

import math

from clementinespar.jobs import (
    crash_counts,
    demand,
    job_table,
    neighbours,
    owner_quotas,
    placement,
    session_table,
    task_placer,
    wait_watch,
    worker_use,
)

# Tasks are packed this long after some found no room: a few run times of short tasks.
PACKED_S = 3.0
# Late work waits while its pool lends hosts, unless less than this share of the cores
# of the other workers is in use: it must go on where there is room.
LATE_WORK_MIN_USE = 0.5


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
        self._full_at_by_pool = {}

    def run(self, now: float) -> None:
        """Start the tasks that are ready, as far as the free capacity allows."""
        is_settled = self._worker_use.is_settled()
        self._quotas.begin_round()
        usable = self._sessions.find_usable(now)
        if not usable:
            return
        waiting = [
            job
            for job in self._jobs.active.values()
            if job.is_adopted
            and (is_settled or job.adopted_epoch == self._epoch)
            and crash_counts.may_start(job)
            and any(s.waiting for o in job.occurrences.values() for s in o.steps)
        ]
        estimate_ms = self._run_times.estimate_ms
        rank_by_id = {
            job.spec.job_id: placement.rank(job, now, estimate_ms) for job in waiting
        }
        waiting.sort(key=lambda job: rank_by_id[job.spec.job_id])
        free_capacity_by_pool: dict[str, placement.FreeCapacity] = {}
        for pool in {job.spec.pool for job in waiting}:
            full_at = self._full_at_by_pool.get(pool, -math.inf)
            free_capacity_by_pool[pool] = placement.FreeCapacity(
                [session for session in usable if session.entry.pool == pool],
                self._neighbours.find_model(pool),
                is_packed=now - full_at < PACKED_S,
            )
        for job in waiting:
            pool = job.spec.pool
            job_class = rank_by_id[job.spec.job_id][0]
            free_capacity = free_capacity_by_pool[pool]
            if (
                job_class == placement.LATE
                and now < self._sessions.lending_until.get(pool, -math.inf)
                and free_capacity.used_share() >= LATE_WORK_MIN_USE
            ):
                continue
            self._placer.place(job, free_capacity, now)
            if job.has_started:
                self._waits.note_start(job, now)
            is_timely = job_class in (placement.STARTED, placement.NEW)
            if is_timely and job.has_ready_tasks(now):
                self._full_at_by_pool[pool] = now
