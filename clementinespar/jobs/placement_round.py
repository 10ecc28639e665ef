"""A round of placement: which jobs wait, in which order, and what is free."""

from clementinespar.jobs import (
    crash_counts,
    demand,
    job_table,
    owner_quotas,
    placement,
    session_table,
    task_placer,
    worker_use,
)


class PlacementRound:
    """Places the waiting tasks of one partition for its owner."""

    def __init__(
        self,
        epoch: int,
        jobs: job_table.JobTable,
        sessions: session_table.SessionTable,
        use: worker_use.WorkerUse,
        placer: task_placer.TaskPlacer,
        run_times: demand.RunTimes,
        quotas: owner_quotas.OwnerQuotas,
    ) -> None:
        self._epoch = epoch
        self._jobs = jobs
        self._sessions = sessions
        self._worker_use = use
        self._placer = placer
        self._run_times = run_times
        self._quotas = quotas

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
        waiting.sort(key=lambda job: placement.rank(job, now, estimate_ms))
        free_capacity_by_pool: dict[str, placement.FreeCapacity] = {}
        for pool in {job.spec.pool for job in waiting}:
            free_capacity_by_pool[pool] = placement.FreeCapacity(
                [session for session in usable if session.entry.pool == pool]
            )
        for job in waiting:
            self._placer.place(job, free_capacity_by_pool[job.spec.pool], now)
