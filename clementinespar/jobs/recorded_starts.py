"""Sends starts; those of tasks that have seen a worker die only once they are stored.

The owner may be lost together with the worker that a task crashes. If the run is stored
with its worker before it is sent, the next owner finds out whether that worker has died
and counts it. Starts of other tasks are sent at once, without a record.
"""

import asyncio
import dataclasses
import functools
from collections.abc import Sequence

from clementinespar.jobs import crash_counts, services, state, telemetry, worker_run

# A start that is not stored within this time gives its room back. It is longer than two
# appends to a slow store, as the first may have begun before the start was recorded.
RECORD_LIMIT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The start of one task.

    Attributes
    ----------
    is_isolated : bool
        Whether its worker gets no other task at the same time.
    """

    task: state.TaskState
    run: worker_run.Run
    ticket: str
    is_isolated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Unsent:
    """Starts of one job that are to be sent together once they are stored.

    Attributes
    ----------
    version : int
        The `state.JobProgress.risk_version` that has to be stored.
    born_ms : tuple of int
        Start of the present life of each worker, in Unix ms.
    """

    job: state.JobProgress
    starts: Sequence[Start]
    version: int
    born_ms: tuple[int, ...]
    recorded_at: float  # event-loop time


class RecordedStarts:
    """Sends the starts of one owner, whose runs are tracked already."""

    _unsent: list[_Unsent]

    def __init__(
        self, log_event: services.EventLog, metrics: telemetry.JobMetrics
    ) -> None:
        self._log_event = log_event
        self._metrics = metrics
        self._unsent = []

    def submit(self, job: state.JobProgress, starts: Sequence[Start]) -> None:
        """Send starts at once, or once they are stored if a task is suspect.

        In that case `job.risk_version` changes, and the caller has to store the job.
        """
        if not any(start.run.is_suspect for start in starts):
            self._send(job, starts)
            return
        job.risk_version += 1
        for start in starts:
            run = start.run
            run.is_unsent = True
            if run.is_suspect:
                start.task.at_risk[run.number] = (
                    run.session.entry.worker_id,
                    run.session.born_ms,
                )
                run.session.has_runs_at_risk = True
        born_ms = tuple(start.run.session.born_ms for start in starts)
        now = asyncio.get_running_loop().time()
        self._unsent.append(_Unsent(job, starts, job.risk_version, born_ms, now))

    def send_stored(self, now: float) -> None:
        """Send the starts that are stored by now, and drop those that cannot be."""
        unsent, self._unsent = self._unsent, []
        for item in unsent:
            obstacle = _find_obstacle(item, now)
            if obstacle:
                for start in item.starts:
                    start.run.session.abandon(start.run, obstacle)
            elif item.job.stored_risk_version >= item.version:
                self._send(item.job, item.starts)
            else:
                self._unsent.append(item)

    def _send(self, job: state.JobProgress, starts: Sequence[Start]) -> None:
        now = asyncio.get_running_loop().time()
        for start in starts:
            run = start.run
            run.is_unsent = False
            run.started_at = run.answered_at = run.percent_at = now
            if start.is_isolated:
                run.session.isolated_until = now + crash_counts.PRIME_SUSPECT_S
            run.session.start(
                run,
                job.spec.payload,
                start.task.saved,
                functools.partial(self._record_sent, job, run),
                start.ticket,
            )

    def _record_sent(self, job: state.JobProgress, run: worker_run.Run) -> None:
        """Log and count a start whose order has got a lease."""
        now = asyncio.get_running_loop().time()
        self._metrics.count_start()
        self._log_event(
            "start",
            job=job.spec.job_id,
            task=run.key.name_in_job,
            run=run.number,
            worker=run.session.entry.worker_id,
            slack_ms=int((job.deadline - now) * 1000),
            **run.session.describe_lease(),
        )


def _find_obstacle(item: _Unsent, now: float) -> str:
    """Return why starts will not be sent; empty if they may be once they are stored."""
    for start, born_ms in zip(item.starts, item.born_ms, strict=True):
        run = start.run
        if item.job.is_final or run.status is not worker_run.RunStatus.STARTING:
            return "stopped before it was sent"
        if run.session.born_ms != born_ms or not run.session.can_take(now):
            return "its worker takes no work any more"
    is_late = now - item.recorded_at > RECORD_LIMIT_S
    if is_late and item.job.stored_risk_version < item.version:
        return "not stored in time"
    return ""
