"""Events of the sessions with workers, and what they change for the owner."""

import asyncio
from collections.abc import Callable

from clementinespar.jobs import (
    advice_names,
    conclusions,
    crash_watch,
    job_table,
    model,
    neighbours,
    owner_loading,
    run_ends,
    run_watch,
    tickets,
    worker_run,
    worker_session,
    worker_use,
)


class SessionEvents:
    """Handles the events of sessions; implements `worker_run.RunEvents`.

    Parameters
    ----------
    confirmed_at : callable
        Returns when the last call that confirmed ownership was sent.
    mark_lost : callable
        Ends the owner; takes the reason.
    """

    def __init__(
        self,
        jobs: job_table.JobTable,
        use: worker_use.WorkerUse,
        ends: run_ends.RunEnds,
        crashes: crash_watch.CrashWatch,
        neighbour_evidence: neighbours.Neighbours,
        watch: run_watch.RunWatch,
        ticket_cache: tickets.TicketCache,
        drawn: conclusions.Conclusions,
        confirmed_at: Callable[[], float | None],
        mark_lost: Callable[[str], None],
    ) -> None:
        self._jobs = jobs
        self._worker_use = use
        self._ends = ends
        self._crash_watch = crashes
        self._neighbours = neighbour_evidence
        self._run_watch = watch
        self._tickets = ticket_cache
        self._conclusions = drawn
        self._confirmed_at = confirmed_at
        self._mark_lost = mark_lost

    def confirmed_at(self) -> float | None:
        """Return when the last call that confirmed ownership was sent."""
        return self._confirmed_at()

    def may_lease(self, worker_id: str) -> bool:
        """Whether the next owner will wait for a lease on the worker to end.

        It will if the stored record lists the worker as in use.
        """
        return worker_id in self._worker_use.stored

    def on_contact(self, session: worker_session.WorkerSession) -> None:
        """Record that the worker has answered and request a round of placement."""
        worker_id = session.entry.worker_id
        if session.has_answered:
            is_news = self._worker_use.note_answer(worker_id)
            self._conclude(is_news, f"{worker_id} has answered")
        else:
            self._jobs.flush_wanted.set()  # it lists more once these are acknowledged
        self._crash_watch.on_contact(session)
        if not session.is_released():
            self._worker_use.add(
                worker_id, session.born_seen_at, session.lease.extended_end
            )
            if not self._worker_use.may_start(worker_id):
                self._jobs.flush_wanted.set()
        self._neighbours.add_report(session, asyncio.get_running_loop().time())
        self._run_watch.check(session)
        self._jobs.schedule_wanted.set()

    def on_death(self, worker_id: str) -> None:
        """Handle a worker that has ended, before its runs are dropped."""
        is_news = self._worker_use.note_death(worker_id)
        self._conclude(is_news, f"{worker_id} has ended")
        self._crash_watch.on_death(worker_id)

    def _conclude(self, is_news: bool, name: str) -> None:
        """Ask for a round of placement once a worker need not be waited for."""
        if is_news:
            now = asyncio.get_running_loop().time()
            self._conclusions.add(now, name, self._jobs.schedule_wanted.set)

    def on_unresponsive(self, session: worker_session.WorkerSession) -> None:
        """Queue copies of the speculative tasks that run on an unresponsive worker."""
        self._crash_watch.mark_at_risk(session)
        for run in session.runs.values():
            if not run.spec.is_speculative:
                continue
            found = self._jobs.find_open_task(run.key)
            if found is None:
                continue
            job, task = found
            if not task.is_done and len(task.open_runs) == 1:
                job.find_step(run.key).waiting.add(run.key.index)
                self._jobs.schedule_wanted.set()

    def on_ticket_rejected(
        self, session: worker_session.WorkerSession, run: worker_run.Run
    ) -> None:
        """Drop the ticket, so that the adviser is asked for a new one."""
        self._tickets.drop(run.key, advice_names.find_life(session))

    def on_fenced(self) -> None:
        """Stop acting as the owner: a later owner has called a worker."""
        self._mark_lost("a worker has seen a later owner")

    def orphan_spec(self, key: model.TaskKey) -> model.StepSpec | None:
        """Return the spec of a run that this owner does not want and has to stop.

        None if the job is unknown, or final, so that its steps are no longer kept.
        """
        job = self._jobs.by_id.get(key.job_id)
        if job is not None and 0 <= key.step < len(job.spec.steps):
            return job.spec.steps[key.step]
        return None

    def find_team(self, job_id: str) -> str:
        """Return the team of a job; empty if it has none or is unknown."""
        job = self._jobs.by_id.get(job_id)
        return "" if job is None else job.spec.team

    def on_end(
        self,
        session: worker_session.WorkerSession,
        end: model.EndedTask,
        run: worker_run.Run | None,
    ) -> bool:
        """Apply the end of a run once, whichever owner started it."""
        if run is not None:
            now = asyncio.get_running_loop().time()
            self._neighbours.add_end(session, run, end.kind, now)
        return self._ends.on_end(session, end, run)

    def on_begun(self, run: worker_run.Run) -> None:
        """Record that a worker has begun a run of a job."""
        job = self._jobs.active.get(run.key.job_id)
        if job is not None:
            self._ends.note_begun(job)

    def on_start_unanswered(self, session: worker_session.WorkerSession) -> None:
        """Store where the run may execute, in case its worker has died."""
        self._crash_watch.mark_at_risk(session)

    def on_lapse(
        self, session: worker_session.WorkerSession, run: worker_run.Run
    ) -> None:
        """Keep a run at risk until its worker shows whether it died."""
        self._crash_watch.on_lapse(session, run)

    def on_crash(self, session: worker_session.WorkerSession) -> None:
        """Count the death of a worker against the tasks that ran there."""
        self._crash_watch.count_crash(session)

    def on_run_gone(
        self,
        session: worker_session.WorkerSession,
        run: worker_run.Run,
        reason: str,
        seen_at: float,
    ) -> None:
        """Requeue the task of a run that certainly does not execute."""
        self._ends.on_run_gone(session, run, reason, seen_at)
        self._crash_watch.on_run_gone(session, run)

    def on_unknown_run(
        self, session: worker_session.WorkerSession, listed: model.RunningTask
    ) -> worker_run.Run | None:
        """Adopt a run of a previous owner if its task still needs it."""
        self._ends.close_gone(listed.task, listed.run)
        return owner_loading.adopt_run(self._jobs, session, listed)
