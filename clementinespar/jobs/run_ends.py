"""Ends of runs: what they change in their tasks and jobs, and final states of jobs."""

import asyncio
import functools
import time
from collections.abc import Mapping

from clementinespar.jobs import (
    conclusions,
    crash_counts,
    demand,
    end_log,
    job_table,
    model,
    owner_quotas,
    services,
    state,
    telemetry,
    tickets,
    wait_watch,
    worker_run,
    worker_session,
)

FAILED_RETRY_DELAY_S = 0.08  # after a failed run, so that other tasks go first
LOST_RETRY_DELAY_S = 0.02


class RunEnds:
    """Applies the ends of runs for the owner of a partition."""

    log: end_log.EndLog
    _jobs: job_table.JobTable
    _sessions_by_id: Mapping[str, worker_session.WorkerSession]
    _tickets: tickets.TicketCache
    _run_times: demand.RunTimes
    _quotas: owner_quotas.OwnerQuotas
    _conclusions: conclusions.Conclusions
    # Runs that are over without a listed end, which is not confirmed yet, and since
    # when (`seen_at` of `on_run_gone`). They stay among the open runs of their tasks.
    _gone: dict[tuple[model.TaskKey, int], float]
    _log_event: services.EventLog
    _metrics: telemetry.JobMetrics

    def __init__(
        self,
        jobs: job_table.JobTable,
        sessions_by_id: Mapping[str, worker_session.WorkerSession],
        ticket_cache: tickets.TicketCache,
        run_times: demand.RunTimes,
        quotas: owner_quotas.OwnerQuotas,
        drawn: conclusions.Conclusions,
        ends: end_log.EndLog,
        waits: wait_watch.WaitWatch,
        log_event: services.EventLog,
        metrics: telemetry.JobMetrics,
    ) -> None:
        self.log = ends
        self._jobs = jobs
        self._sessions_by_id = sessions_by_id
        self._tickets = ticket_cache
        self._run_times = run_times
        self._quotas = quotas
        self._conclusions = drawn
        self._waits = waits
        self._gone = {}
        self._log_event = log_event
        self._metrics = metrics

    def on_end(
        self,
        session: worker_session.WorkerSession,
        end: model.EndedTask,
        run: worker_run.Run | None,
    ) -> bool:
        """Apply the end of a run once, whichever owner started it.

        Returns
        -------
        bool
            Whether the next append stores all that is needed of it, so that it may be
            acknowledged then. It stays listed if not, or if this raises, and is applied
            again.
        """
        self._metrics.count_end(end.kind.value)
        self._jobs.schedule_wanted.set()
        found = self._jobs.find_open_task(end.task)
        self.log.add(session, end, run, None if found is None else found[1])
        if found is None:
            return self._needs_nothing(end.task)
        job, task = found
        self.note_begun(job)
        step = job.find_step(end.task)
        self._gone.pop((end.task, end.run), None)
        task.open_runs.discard(end.run)
        task.at_risk.pop(end.run, None)
        task.last_run = max(task.last_run, end.run)
        if end.saved:
            task.saved = end.saved
        is_failure = end.kind is model.EndKind.FAILED
        if end.kind is model.EndKind.DONE:
            session.record_outcome(job.spec.job_id, False)
            if run is not None:
                now = asyncio.get_running_loop().time()
                self._run_times.add(step.spec, (now - run.started_at) * 1000)
            crash_counts.acquit(job, task)
            if step.spec.is_gang:
                self._finish_gang(step, end.run)
            else:
                state.mark_done(step, task)
                self._stop_copies(task)
        elif is_failure:
            self._record_failure(session, job, step, task, end)
        if end.kind is not model.EndKind.DONE:
            delay = FAILED_RETRY_DELAY_S if is_failure else LOST_RETRY_DELAY_S
            self._requeue(step, task, 0.0 if step.spec.is_lasting else delay)
        self._jobs.mark_dirty(job)
        if not job.is_final:
            self.finish_occurrences(job)
        return True

    def _needs_nothing(self, key: model.TaskKey) -> bool:
        """Whether the end of a task that is not open may be acknowledged."""
        job = self._jobs.by_id.get(key.job_id)
        if job is None:
            return True  # the store has neither progress nor a command of it
        if job.is_unreadable and not job.is_final:
            return False
        if not job.is_final_stored:
            self._jobs.mark_dirty(job)  # what made its task needless may not be stored
        return True

    def note_begun(self, job: state.JobProgress) -> None:
        """Record that a worker has begun a run of a job."""
        if not job.has_begun:
            job.mark_begun()
            self._waits.note_start(job, asyncio.get_running_loop().time())

    def on_run_gone(
        self,
        session: worker_session.WorkerSession,
        run: worker_run.Run,
        reason: str,
        seen_at: float,
    ) -> None:
        """Requeue the task of a run that certainly does not execute.

        That waits until ownership is confirmed after the observation: a later owner may
        have adopted the run and seen it end.
        """
        self._jobs.schedule_wanted.set()
        self.log.add_gone(session, run, reason)
        self._gone[run.key, run.number] = seen_at
        self._conclusions.add(
            seen_at,
            f"{run.key.job_id} {run.key.name_in_job} run {run.number} on"
            f" {session.entry.worker_id}: {reason}",
            functools.partial(self._requeue_gone, run.key, run.number, seen_at),
        )

    def close_gone(
        self, key: model.TaskKey, number: int
    ) -> tuple[state.JobProgress, state.TaskState] | None:
        """Close a run that is gone, and return its task.

        None if it was listed since, as running or as ended, or if its job is final.
        """
        if self._gone.pop((key, number), None) is None:
            return None
        found = self._jobs.find_open_task(key)
        if found is not None:
            found[1].open_runs.discard(number)
        return found

    def _requeue_gone(self, key: model.TaskKey, number: int, seen_at: float) -> None:
        if self._gone.get((key, number)) != seen_at:
            return  # it was listed since, and may be gone again
        found = self.close_gone(key, number)
        if found is not None:
            job, task = found
            self._requeue(job.find_step(key), task, LOST_RETRY_DELAY_S)
            job.review_placement()
            self._jobs.schedule_wanted.set()

    def finish_occurrences(self, job: state.JobProgress) -> None:
        """Count the occurrences that are done, and finish the job after the last."""
        for number, occurrence in list(job.occurrences.items()):
            if occurrence.is_done and not job.is_lasting:
                del job.occurrences[number]
                self._tickets.drop_occurrence(job.spec, number)
                job.finished_occurrences += 1
        wanted = job.spec.occurrences or 1
        if job.finished_occurrences >= wanted:
            self.finish_job(job, model.JobState.DONE, "all tasks are done")

    def finish_job(
        self, job: state.JobProgress, final: model.JobState, reason: str
    ) -> None:
        """Set the final state of a job, and stop its runs unless it is done."""
        job.state = final
        job.final_ms = int(time.time() * 1000)
        self._jobs.active.pop(job.spec.job_id, None)
        self._log_event(
            "job_final",
            job=job.spec.job_id,
            state=final.value,
            reason=reason,
            age_ms=job.final_ms - job.spec.accepted_ms,
        )
        self._metrics.observe_job(final.value, job.final_ms - job.spec.accepted_ms)
        if final is not model.JobState.DONE:
            for session in self._sessions_by_id.values():
                for run in list(session.runs.values()):
                    if run.key.job_id == job.spec.job_id:
                        session.stop(run, f"its job is {final.value}")
        self._quotas.record_leftover(job)
        job.occurrences.clear()
        self._tickets.drop_job(job.spec.job_id)
        self._jobs.store_soon(job)

    def give_up(self, job: state.JobProgress) -> None:
        """Fail a job whose task has crashed too many workers."""
        self.finish_job(job, model.JobState.FAILED, "its task crashed too many workers")

    def _record_failure(
        self,
        session: worker_session.WorkerSession,
        job: state.JobProgress,
        step: state.StepState,
        task: state.TaskState,
        end: model.EndedTask,
    ) -> None:
        if end.run not in task.failed_runs:
            task.failed_runs.add(end.run)
            task.failed_on.add(session.entry.worker_id)
            if _may_blame_worker(job, step, session.entry.worker_id) and (
                session.record_outcome(job.spec.job_id, True)
            ):
                self._log_event(
                    "worker_ejected", worker=session.entry.worker_id, reason="failures"
                )
        # The limit also holds if the end was applied in part before an error.
        attempts = len(task.failed_runs)
        if step.spec.is_gang:
            attempts = len(set().union(*(t.failed_runs for t in step.tasks)))
        if not step.spec.is_lasting and attempts >= job.spec.max_attempts:
            self.finish_job(
                job, model.JobState.FAILED, "a task reached its limit of attempts"
            )

    def _finish_gang(self, step: state.StepState, run: int) -> None:
        """Mark all members as done after one member of the run has ended as done."""
        for member in step.tasks:
            state.mark_done(step, member)
            self._stop_copies(member, keep_run=run)

    def _requeue(
        self, step: state.StepState, task: state.TaskState, delay_s: float
    ) -> None:
        if task.is_done or task.open_runs:
            return
        loop = asyncio.get_running_loop()
        task.not_before = loop.time() + delay_s
        step.waiting.add(task.key.index)
        if delay_s:
            loop.call_later(delay_s, self._jobs.schedule_wanted.set)

    def _stop_copies(self, task: state.TaskState, keep_run: int = -1) -> None:
        if not task.open_runs:
            return
        for session in self._sessions_by_id.values():
            for run in list(session.runs.values()):
                if run.key == task.key and run.number != keep_run:
                    session.stop(run, "another copy of the task is done")


def _may_blame_worker(
    job: state.JobProgress, step: state.StepState, worker_id: str
) -> bool:
    """Whether a failure counts against the worker.

    A job of a team that fails on several workers would take them all from the other
    teams, so only the first worker on which a step fails is blamed.
    """
    if not job.spec.team or step.spec.is_lasting:
        return True
    return all(task.failed_on <= {worker_id} for task in step.tasks)
