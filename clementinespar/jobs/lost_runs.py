"""Runs of one worker that are over without a listed end, and what shows that.

The owner of the pool is told when it was seen. A later owner may have adopted the run
before that, seen it end as done and acknowledged the end; see `conclusions.py`.
"""

import asyncio
import math
import typing
from collections.abc import Set

from clementinespar.jobs import model, worker_run

if typing.TYPE_CHECKING:
    from clementinespar.jobs import worker_session


class LostRuns:
    """Drops the runs of a session that certainly do not execute any more."""

    def __init__(
        self,
        session: "worker_session.WorkerSession",
        events: worker_run.RunEvents,
    ) -> None:
        self._session = session
        self._events = events

    def abandon(self, run: worker_run.Run, reason: str) -> None:
        """Drop a run whose start was not sent or not carried out.

        It never executed, so no later owner can have adopted it.
        """
        self._drop(run, reason, -math.inf)

    def drop_lapsed(self) -> None:
        """Drop runs of an unresponsive worker once their lease has certainly ended.

        Ownership was confirmed after that.
        """
        lease = self._session.lease
        if not lease.has_ended():
            return
        for run in list(self._session.runs.values()):
            is_sent = run.status is not worker_run.RunStatus.STARTING
            is_in_known_life = self.is_in_known_life(run)
            if is_sent and lease.has_ended(is_in_known_life):
                end = lease.find_end(is_in_known_life)
                self._events.on_lapse(self._session, run)
                self._drop(run, "lease ended on a silent worker", end)

    def is_in_known_life(self, run: worker_run.Run) -> bool:
        """Whether no life of the worker that was not seen yet can execute a run.

        A start without an answer may reach one, unless the list of hosts shows none.
        """
        return run.is_start_settled or self._session.is_dead

    def drop_ended(self) -> None:
        """Drop the runs of a worker that the list of hosts no longer shows.

        A start without an answer may still be carried out by a worker that comes back
        under the same id, so its run is kept until the lease ends.
        """
        now = asyncio.get_running_loop().time()
        for run in list(self._session.runs.values()):
            if run.is_start_settled:
                self._drop(run, "its worker has ended", now)

    def settle_unlisted(
        self, listed: Set[tuple[model.TaskKey, int]], sent_at: float
    ) -> None:
        """Drop or stop the runs that the newest report does not list.

        Parameters
        ----------
        listed : set of tuple of model.TaskKey and int
            Tasks and runs in the report.
        sent_at : float
            Event-loop time at which the renewal was sent.
        """
        for identity, run in list(self._session.runs.items()):
            if identity in listed:
                continue
            is_older = run.answered_at < sent_at
            if run.status is worker_run.RunStatus.OPEN and is_older:
                self._session.stop(run, "the start has no answer and is not listed")
            elif run.status is worker_run.RunStatus.RUNNING and is_older:
                self._drop(run, "no longer listed", self._find_seen_at(run))
            elif (
                run.status is worker_run.RunStatus.STOPPING
                and run.stop_answered_at is not None
                and run.stop_answered_at < sent_at
            ):
                self._drop(run, "stopped before it started", self._find_seen_at(run))

    def _find_seen_at(self, run: worker_run.Run) -> float:
        """Return `seen_at` of a run that the newest report does not list.

        No later owner has called the worker in the life for which the run was started:
        it would have refused the report.
        """
        is_same_life = run.started_at >= self._session.born_seen_at
        return -math.inf if is_same_life else self._session.last_contact

    def _drop(self, run: worker_run.Run, reason: str, seen_at: float) -> None:
        if self._session.drop_run(run):
            self._events.on_run_gone(self._session, run, reason, seen_at)
