"""Log of the ends that an owner acknowledges without having started their runs.

The done ends of its own runs are not logged one by one: each has a `start` and no other
line.
"""

import enum
from collections.abc import Mapping

from clementinespar.jobs import (
    job_table,
    model,
    services,
    state,
    telemetry,
    worker_run,
    worker_session,
)

# Labels of the conclusions that a run no longer executes, by the reason that is logged.
# Each other reason says why a start was not sent.
_CONCLUSIONS: Mapping[str, str] = {
    "lease ended on a silent worker": "lease_ended",
    "its worker has ended": "worker_ended",
    "no longer listed": "not_listed",
    "stopped before it started": "stopped",
}
_REFUSED = "refused: "


class Origin(enum.Enum):
    """What an owner knows of the run that has ended."""

    STARTED = "started"  # by this owner
    ADOPTED = "adopted"  # of a previous owner
    UNWANTED = "unwanted"  # tracked only until it is stopped
    UNTRACKED = "untracked"  # not seen while it was running, or given up


class _Note(enum.Enum):
    """What an end is that has a line of its own."""

    FOREIGN_DONE = "foreign_done"
    WITHOUT_TASK = "without_task"
    NOT_DONE = "not_done"


class EndLog:
    """Logs ends, runs that count as ended, and what the next acknowledgement covers."""

    # By worker id: its life (`born_ms`), and the notes by number of the end.
    _unstored_by_id: dict[str, tuple[int, dict[int, _Note]]]

    def __init__(
        self,
        jobs: job_table.JobTable,
        log_event: services.EventLog,
        metrics: telemetry.JobMetrics,
    ) -> None:
        self._jobs = jobs
        self._log_event = log_event
        self._metrics = metrics
        self._unstored_by_id = {}

    def add(
        self,
        session: worker_session.WorkerSession,
        end: model.EndedTask,
        run: worker_run.Run | None,
        task: state.TaskState | None,
    ) -> None:
        """Log an end before it is applied, unless this owner's run is done.

        Parameters
        ----------
        run : worker_run.Run, optional
            The run as this owner has tracked it.
        task : state.TaskState, optional
            The task; None if it is not open.
        """
        origin = _find_origin(end, run, task)
        is_done = end.kind is model.EndKind.DONE
        if task is None:
            if self._note(session, end, _Note.WITHOUT_TASK):
                why = self._find_why_not_open(end.task)
                self._metrics.count_end_without_task(why)
                self._log(
                    "end_without_task", session, end, origin=origin.value, why=why
                )
        elif not is_done or origin is not Origin.STARTED:
            note = _Note.FOREIGN_DONE if is_done else _Note.NOT_DONE
            if self._note(session, end, note):
                self._log("end", session, end, origin=origin.value)

    def report_stored(self, session: worker_session.WorkerSession, number: int) -> None:
        """Log noted ends that may be acknowledged from now on.

        Parameters
        ----------
        number : int
            Number of the last end that may be acknowledged.
        """
        worker_id = session.entry.worker_id
        noted = self._unstored_by_id.pop(worker_id, None)
        if noted is None or noted[0] != session.born_ms:
            return
        born_ms, notes = noted
        later = {key: note for key, note in notes.items() if key > number}
        if later:
            self._unstored_by_id[worker_id] = (born_ms, later)
        stored = [note for key, note in notes.items() if key <= number]
        if any(note is not _Note.NOT_DONE for note in stored):
            self._log_event(
                "ends_stored",
                worker=worker_id,
                epoch=session.fence,
                born_ms=born_ms,
                number=number,
                foreign_done=stored.count(_Note.FOREIGN_DONE),
                without_task=stored.count(_Note.WITHOUT_TASK),
            )

    def add_gone(
        self,
        session: worker_session.WorkerSession,
        run: worker_run.Run,
        reason: str,
    ) -> None:
        """Log and count a run that counts as ended although no end was listed."""
        if reason.startswith(_REFUSED):
            label = "refused"
        else:
            label = _CONCLUSIONS.get(reason, "not_sent")
        self._metrics.count_run_gone(label)
        self._log_event(
            "run_gone",
            job=run.key.job_id,
            task=run.key.name_in_job,
            run=run.number,
            worker=session.entry.worker_id,
            reason=reason,
            **session.describe_lease(),
        )

    def _log(
        self,
        event: str,
        session: worker_session.WorkerSession,
        end: model.EndedTask,
        **fields: object,
    ) -> None:
        self._log_event(
            event,
            job=end.task.job_id,
            task=end.task.name_in_job,
            run=end.run,
            worker=session.entry.worker_id,
            kind=end.kind.value,
            number=end.number,
            epoch=session.fence,
            born_ms=session.born_ms,
            **fields,
        )

    def _note(
        self,
        session: worker_session.WorkerSession,
        end: model.EndedTask,
        note: _Note,
    ) -> bool:
        """Note an end; False if it was noted before, so that it is tried again."""
        worker_id = session.entry.worker_id
        born_ms, notes = self._unstored_by_id.get(worker_id, (session.born_ms, {}))
        if born_ms != session.born_ms:
            notes = {}  # a former life's ends are not acknowledged any more
        is_new = end.number not in notes
        notes[end.number] = note
        self._unstored_by_id[worker_id] = (session.born_ms, notes)
        return is_new

    def _find_why_not_open(self, key: model.TaskKey) -> str:
        """Return why an end has no open task, as the label of a metric."""
        job = self._jobs.by_id.get(key.job_id)
        if job is None:
            return "job_unknown"
        if job.is_final:
            return "job_final"
        opened = job.finished_occurrences + len(job.occurrences)
        if key.occurrence not in job.occurrences and key.occurrence < opened:
            return "occurrence_over"
        return "task_unknown"


def _find_origin(
    end: model.EndedTask, run: worker_run.Run | None, task: state.TaskState | None
) -> Origin:
    if run is None:
        return Origin.UNTRACKED
    if run.is_adopted:
        return Origin.ADOPTED
    if task is None or end.run not in task.open_runs:
        return Origin.UNWANTED
    return Origin.STARTED
