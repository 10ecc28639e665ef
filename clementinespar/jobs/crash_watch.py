"""Attributes the deaths of workers to the tasks that ran on them.

Runs on a worker that does not answer are stored with its identity, so that the next
owner can tell whether the worker died under them.
"""

import asyncio
from collections.abc import Callable, Mapping

from clementinespar.jobs import (
    crash_counts,
    model,
    services,
    state,
    telemetry,
    worker_run,
    worker_session,
    worker_use,
)


class CrashWatch:
    """Counts crashes for the owner of a partition.

    Parameters
    ----------
    active : mapping of str to state.JobProgress
        Jobs that are not in a final state, by id.
    store_soon : callable
        Stores the progress of a job at once.
    give_up : callable
        Fails a job whose task has crashed too many workers.
    """

    # Runs at risk that no session tracks, since a previous owner started them or their
    # lease has ended; by worker id: task, run and start of the worker in Unix ms.
    _unresolved: dict[str, list[tuple[model.TaskKey, int, int]]]

    def __init__(
        self,
        active: Mapping[str, state.JobProgress],
        sessions_by_id: Mapping[str, worker_session.WorkerSession],
        use: worker_use.WorkerUse,
        store_soon: Callable[[state.JobProgress], None],
        give_up: Callable[[state.JobProgress], None],
        log_event: services.EventLog,
        metrics: telemetry.JobMetrics,
    ) -> None:
        self._active = active
        self._sessions_by_id = sessions_by_id
        self._worker_use = use
        self._store_soon = store_soon
        self._give_up = give_up
        self._log_event = log_event
        self._metrics = metrics
        self._unresolved = {}

    def restore(self, job: state.JobProgress) -> None:
        """Add the runs at risk of a job that a previous owner has stored."""
        for task in crash_counts.open_tasks(job):
            for run, (worker_id, born_ms) in task.at_risk.items():
                self._unresolved.setdefault(worker_id, []).append(
                    (task.key, run, born_ms)
                )

    def mark_at_risk(self, session: worker_session.WorkerSession) -> None:
        """Store suspect runs on a worker that does not answer, with its identity."""
        for run in crash_counts.find_suspects(
            session.runs.values(), session.silent_since(), session.alive_at
        ):
            found = self._find(run.key)
            if found is None:
                continue
            job, task = found
            if run.number not in task.at_risk and run.number in task.open_runs:
                task.at_risk[run.number] = (session.entry.worker_id, session.born_ms)
                session.has_runs_at_risk = True
                self._store_soon(job)

    def on_contact(self, session: worker_session.WorkerSession) -> None:
        """Handle a worker that answers: its runs are no longer at risk.

        Those of tasks that have seen a death stay at risk until they have survived.
        """
        for key, run, born_ms in self._unresolved.pop(session.entry.worker_id, ()):
            found = self._find(key)
            if found is None or run not in found[1].at_risk:
                continue  # it was adopted or has ended
            if born_ms == session.born_ms:
                self.clear_risk(key, run)  # it never started
            else:
                self._count(*found, run, session.entry.worker_id, is_sole=False)
        if not session.has_runs_at_risk:
            return
        now = asyncio.get_running_loop().time()
        session.has_runs_at_risk = False
        for tracked in session.runs.values():
            if tracked.is_suspect and not crash_counts.has_survived(tracked, now):
                session.has_runs_at_risk = True
            else:
                self.clear_risk(tracked.key, tracked.number)

    def on_lapse(
        self, session: worker_session.WorkerSession, run: worker_run.Run
    ) -> None:
        """Keep a run at risk until its worker answers in the same life or another."""
        found = self._find(run.key)
        if found is not None and run.number in found[1].at_risk:
            self._add_unresolved(session, run)

    def on_run_gone(
        self, session: worker_session.WorkerSession, run: worker_run.Run
    ) -> None:
        """Forget that a run was at risk, unless its worker may have died.

        A worker that is back has its new `born_ms` before its runs are dropped.
        """
        unresolved = self._unresolved.get(session.entry.worker_id, ())
        if not any((run.key, run.number) == item[:2] for item in unresolved):
            self.clear_risk(run.key, run.number)

    def clear_risk(self, key: model.TaskKey, run: int) -> None:
        """Forget that a run was at risk."""
        found = self._find(key)
        if found is not None and found[1].at_risk.pop(run, None) is not None:
            self._store_soon(found[0])

    def on_death(self, worker_id: str) -> None:
        """Count the runs of previous owners on a worker that has ended."""
        session = self._sessions_by_id.get(worker_id)
        if session is not None and _is_leaving(session):
            return
        for key, run, _ in self._unresolved.pop(worker_id, ()):
            found = self._find(key)
            if found is not None and run in found[1].at_risk:
                self._count(*found, run, worker_id, is_sole=False)

    def count_crash(self, session: worker_session.WorkerSession) -> None:
        """Count the suspect runs on a worker that has died.

        One that was to leave may have left. Its runs count if it comes back under its
        id.
        """
        suspects = crash_counts.find_suspects(
            session.runs.values(), session.silent_since(), session.alive_at
        )
        # The members of a gang start together, so they share one suspicion.
        steps = {
            (run.key.job_id, run.key.occurrence, run.key.step)
            if run.spec.is_gang
            else run.key
            for run in suspects
        }
        for run in suspects:
            found = self._find(run.key)
            if found is None or run.number not in found[1].open_runs:
                continue
            worker_id = session.entry.worker_id
            if _is_leaving(session):
                found[1].at_risk[run.number] = (worker_id, session.born_ms)
                self._add_unresolved(session, run)
                self._store_soon(found[0])
            else:
                self._count(*found, run.number, worker_id, is_sole=len(steps) == 1)

    def acquit_survivors(self) -> None:
        """Clear lasting tasks that have survived, and runs on workers that are gone."""
        now = asyncio.get_running_loop().time()
        for session in self._sessions_by_id.values():
            for run in session.runs.values():
                is_lasting = run.spec.is_lasting and not session.is_silent
                if (
                    run.is_suspect
                    and is_lasting
                    and crash_counts.has_survived(run, now)
                ):
                    run.is_suspect = False
                    found = self._find(run.key)
                    if found is not None and crash_counts.acquit(*found):
                        self._store_soon(found[0])
        self._mark_awaited()
        silent = {
            *self._worker_use.find_unsettled(),
            *(
                worker_id
                for worker_id, session in self._sessions_by_id.items()
                if session.is_listed or not session.is_dead
            ),
        }
        for worker_id in set(self._unresolved) - silent:
            # The worker is gone, and it is not known to have died under the run.
            for key, number, _ in self._unresolved.pop(worker_id):
                self.clear_risk(key, number)

    def _add_unresolved(
        self, session: worker_session.WorkerSession, run: worker_run.Run
    ) -> None:
        self._unresolved.setdefault(session.entry.worker_id, []).append(
            (run.key, run.number, session.born_ms)
        )

    def _mark_awaited(self) -> None:
        """Have the workers looked for in the list of hosts that a held task awaits."""
        awaited = set()
        for worker_id, at_risk in self._unresolved.items():
            for key, run, _ in at_risk:
                found = self._find(key)
                if (
                    found is not None
                    and run in found[1].at_risk
                    and crash_counts.is_held(found[1])
                ):
                    awaited.add(worker_id)
        for worker_id, session in self._sessions_by_id.items():
            session.is_awaited = worker_id in awaited

    def _count(
        self,
        job: state.JobProgress,
        task: state.TaskState,
        run: int,
        worker_id: str,
        is_sole: bool,
    ) -> None:
        if not crash_counts.record(job, task, run, worker_id):
            return
        self._metrics.count_crash()
        self._log_event(
            "task_crash",
            job=job.spec.job_id,
            task=task.key.name_in_job,
            run=run,
            worker=worker_id,
            crashes=len(task.crashed_runs),
            is_sole=is_sole,
        )
        self._store_soon(job)
        if crash_counts.is_exceeded(task, is_sole):
            self._give_up(job)

    def _find(
        self, key: model.TaskKey
    ) -> tuple[state.JobProgress, state.TaskState] | None:
        job = self._active.get(key.job_id)
        task = None if job is None else job.find_task(key)
        return None if job is None or task is None else (job, task)


def _is_leaving(session: worker_session.WorkerSession) -> bool:
    """Whether a worker that has ended may have left as planned."""
    return session.is_draining or session.is_evacuating
