"""Checks of runs: stops stuck ones and moves lasting ones away from workers."""

import asyncio

from clementinespar.jobs import (
    interference,
    model,
    neighbours,
    placement,
    services,
    state,
    task_placer,
    telemetry,
    worker_run,
    worker_session,
)

STUCK_AFTER_S = 1.4  # a run without progress for this long is started elsewhere
STUCK_LASTING_S = 4.0  # a lasting task takes some time until it is working
# A lasting task is moved away from its neighbours if it gains more over the time than
# the interruption costs, which is this plus the start of the task.
GAIN_TIME_S = 10.0
INTERRUPTION_S = 1.0
START_S = 1.0  # if the job does not say it
PAYS_FOR_S = 2.0  # a move must pay for this long, since neighbours change
MOVE_INTERVAL_S = 30.0  # between two such moves of a task


class RunWatch:
    """Checks the runs of one partition after each report of a worker."""

    _jobs_by_id: dict[str, state.JobProgress]
    _sessions_by_id: dict[str, worker_session.WorkerSession]
    _placer: task_placer.TaskPlacer
    _neighbours: neighbours.Neighbours
    _log_event: services.EventLog
    _metrics: telemetry.JobMetrics
    _pays_since: dict[tuple[model.TaskKey, int], float]  # by task and run
    _moved_at: dict[model.TaskKey, float]  # event-loop time of the last such move

    def __init__(
        self,
        jobs_by_id: dict[str, state.JobProgress],
        sessions_by_id: dict[str, worker_session.WorkerSession],
        placer: task_placer.TaskPlacer,
        neighbour_evidence: neighbours.Neighbours,
        log_event: services.EventLog,
        metrics: telemetry.JobMetrics,
    ) -> None:
        self._jobs_by_id = jobs_by_id
        self._sessions_by_id = sessions_by_id
        self._placer = placer
        self._neighbours = neighbour_evidence
        self._log_event = log_event
        self._metrics = metrics
        self._pays_since = {}
        self._moved_at = {}

    def check(self, session: worker_session.WorkerSession) -> None:
        """Stop stuck runs, move lasting ones off a draining worker, pace fillers."""
        now = asyncio.get_running_loop().time()
        for run in list(session.runs.values()):
            if run.status is not worker_run.RunStatus.RUNNING:
                continue
            limit = STUCK_LASTING_S if run.spec.is_lasting else STUCK_AFTER_S
            is_stuck = run.percent < 100 and now - run.percent_at > limit
            if is_stuck and not run.spec.is_filler:
                session.stop(run, "no progress")
                session.ejected_until = now + worker_session.EJECT_S
            elif session.is_draining and run.spec.is_lasting:
                self.move_lasting(run, "its worker is draining")
        placement.pace_fillers(
            session, now, self._neighbours.find_model(session.entry.pool)
        )

    def move_lasting(self, run: worker_run.Run, reason: str) -> None:
        """Stop a lasting run, so that its task starts on another worker.

        Does nothing if `StepSpec.may_miss` tasks of the step are down already, unless
        the worker is draining, or if no other worker has enough free capacity.
        """
        if run.status is not worker_run.RunStatus.RUNNING:
            return
        job = self._jobs_by_id.get(run.key.job_id)
        if job is None or job.is_final or job.is_unreadable:
            return
        step = job.find_step(run.key)
        may_miss = step.spec.may_miss
        if may_miss is not None and not run.session.is_draining:
            working = self._count_working(run.key)
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
        return self._find_destination(job, step, leaving) is not None

    def _find_destination(
        self,
        job: state.JobProgress,
        step: state.StepState,
        leaving: worker_session.WorkerSession | None,
    ) -> worker_session.WorkerSession | None:
        now = asyncio.get_running_loop().time()
        free_capacity = placement.FreeCapacity(
            [
                session
                for session in self._sessions_by_id.values()
                if session.can_take(now)
                and session is not leaving
                and session.entry.pool == job.spec.pool
                and not self._placer.is_refused(job, step, session)
            ],
            self._neighbours.find_model(job.spec.pool),
        )
        counts = self._placer.count_per_worker(job, step)
        return free_capacity.choose(step.spec, counts, set())

    def _count_working(self, key: model.TaskKey) -> int:
        """Return the number of tasks of a lasting step that are working."""
        now = asyncio.get_running_loop().time()
        working = 0
        for session in self._sessions_by_id.values():
            for other in session.runs.values():
                if (
                    other.key.job_id == key.job_id
                    and other.key.step == key.step
                    and other.status is worker_run.RunStatus.RUNNING
                    and other.percent >= 100
                    and now - session.last_contact < worker_session.UNRESPONSIVE_AFTER_S
                ):
                    working += 1
        return working

    def move_where_it_pays(self) -> None:
        """Move lasting tasks away from neighbours that they interfere with."""
        now = asyncio.get_running_loop().time()
        paying = {}
        for session in self._sessions_by_id.values():
            learnt = self._neighbours.find_model(session.entry.pool)
            if learnt is None:
                continue
            for run in list(session.runs.values()):
                if not run.spec.is_lasting or not self._pays(run, learnt, now):
                    continue
                since = self._pays_since.get((run.key, run.number), now)
                paying[run.key, run.number] = since
                if now - since >= PAYS_FOR_S:
                    self._move_away(run, now)
        self._pays_since = paying
        if self._moved_at:
            self._moved_at = {
                key: moved_at
                for key, moved_at in self._moved_at.items()
                if now - moved_at < MOVE_INTERVAL_S
            }

    def _pays(
        self,
        run: worker_run.Run,
        learnt: interference.InterferenceModel,
        now: float,
    ) -> bool:
        """Whether a task gains more elsewhere than the interruption costs."""
        job = self._jobs_by_id.get(run.key.job_id)
        if (
            job is None
            or job.is_final
            or job.is_unreadable
            or run.status is not worker_run.RunStatus.RUNNING
            or run.percent < 100
            or run.key in self._moved_at
        ):
            return False
        cost_s = INTERRUPTION_S + (run.spec.estimate_ms / 1000 or START_S)
        loss = placement.lasting_loss(run.session, run, learnt)
        if loss * GAIN_TIME_S <= cost_s:
            return False
        destination = self._find_destination(job, job.find_step(run.key), run.session)
        if destination is None:
            return False
        gain = loss - placement.lasting_loss(destination, run, learnt)
        return gain * GAIN_TIME_S > cost_s

    def _move_away(self, run: worker_run.Run, now: float) -> None:
        """Move a task unless others of its step are down or it may not miss any."""
        step = self._jobs_by_id[run.key.job_id].find_step(run.key)
        is_whole = self._count_working(run.key) == len(step.tasks)
        if step.spec.may_miss == 0 or step.spec.is_gang or not is_whole:
            return
        self.move_lasting(run, "interference with its neighbours")
        if run.status is worker_run.RunStatus.STOPPING:
            self._moved_at[run.key] = now
            self._placer.avoid(
                run.key, run.session.entry.worker_id, now + MOVE_INTERVAL_S
            )
            self._metrics.count_interference_move()

    def _report_blocked(self, run: worker_run.Run, reason: str) -> None:
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
            is_draining=run.session.is_draining,
            reason=reason,
        )
