"""Checks of runs: stops stuck ones and moves lasting ones away from workers."""

import asyncio

from clementinespar.jobs import (
    placement,
    services,
    state,
    task_placer,
    worker_session,
)

STUCK_AFTER_S = 1.4  # a run without progress for this long is started elsewhere
STUCK_LASTING_S = 4.0  # a lasting task takes some time until it is working


class RunWatch:
    """Checks the runs of one partition after each report of a worker."""

    _jobs_by_id: dict[str, state.JobProgress]
    _sessions_by_id: dict[str, worker_session.WorkerSession]
    _placer: task_placer.TaskPlacer
    _log_event: services.EventLog

    def __init__(
        self,
        jobs_by_id: dict[str, state.JobProgress],
        sessions_by_id: dict[str, worker_session.WorkerSession],
        placer: task_placer.TaskPlacer,
        log_event: services.EventLog,
    ) -> None:
        self._jobs_by_id = jobs_by_id
        self._sessions_by_id = sessions_by_id
        self._placer = placer
        self._log_event = log_event

    def check(self, session: worker_session.WorkerSession) -> None:
        """Stop stuck runs, move lasting ones off a draining worker, pace fillers."""
        now = asyncio.get_running_loop().time()
        for run in list(session.runs.values()):
            if run.status is not worker_session.RunStatus.RUNNING:
                continue
            limit = STUCK_LASTING_S if run.spec.is_lasting else STUCK_AFTER_S
            is_stuck = run.percent < 100 and now - run.percent_at > limit
            if is_stuck and not run.spec.is_filler:
                session.stop(run, "no progress")
                session.ejected_until = now + worker_session.EJECT_S
            elif session.entry.is_draining and run.spec.is_lasting:
                self.move_lasting(run, "its worker is draining")
        placement.pace_fillers(session, now)

    def move_lasting(self, run: worker_session.Run, reason: str) -> None:
        """Stop a lasting run, so that its task starts on another worker.

        Does nothing if `StepSpec.may_miss` tasks of the step are down already, unless
        the worker is draining, or if no other worker has enough free capacity.
        """
        if run.status is not worker_session.RunStatus.RUNNING:
            return
        job = self._jobs_by_id.get(run.key.job_id)
        if job is None or job.is_final:
            return
        now = asyncio.get_running_loop().time()
        step = job.find_step(run.key)
        may_miss = step.spec.may_miss
        if may_miss is not None and not run.session.entry.is_draining:
            working = 0
            for session in self._sessions_by_id.values():
                for other in session.runs.values():
                    key = other.key
                    if (
                        key.job_id == run.key.job_id
                        and key.step == run.key.step
                        and other.status is worker_session.RunStatus.RUNNING
                        and other.percent >= 100
                        and now - session.last_contact
                        < worker_session.UNRESPONSIVE_AFTER_S
                    ):
                        working += 1
            # The run itself may have started working since the last report.
            down = len(step.tasks) - working - (run.percent < 100)
            if down >= max(1, may_miss):
                self._report_blocked(run, "other tasks of its step are down")
                return
        if not self.has_room(job, step, leaving=run.session):
            self._report_blocked(run, "no other worker has room")
            return
        if not self._placer.has_share(job, step):
            self._report_blocked(run, "its team is above its share")
            return
        run.session.stop(run, reason)

    def has_room(
        self,
        job: state.JobProgress,
        step: state.StepState,
        leaving: worker_session.WorkerSession | None = None,
    ) -> bool:
        """Whether a worker other than a leaving one could take a task of a step."""
        now = asyncio.get_running_loop().time()
        free_capacity = placement.FreeCapacity(
            [
                session
                for session in self._sessions_by_id.values()
                if session.can_take(now)
                and session is not leaving
                and session.entry.pool == job.spec.pool
            ]
        )
        counts = self._placer.count_per_worker(job, step)
        return free_capacity.choose(step.spec, counts, set()) is not None

    def _report_blocked(self, run: worker_session.Run, reason: str) -> None:
        """Log once for each reason that a run cannot be moved."""
        if run.move_blocked_by == reason:
            return
        run.move_blocked_by = reason
        self._log_event(
            "move_blocked",
            job=run.key.job_id,
            task=run.key.name_in_job,
            run=run.number,
            worker=run.session.entry.worker_id,
            is_draining=run.session.entry.is_draining,
            reason=reason,
        )
