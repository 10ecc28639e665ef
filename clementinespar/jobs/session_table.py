"""The sessions of an owner with the workers of its pools, and which may be in use."""

import asyncio
from collections.abc import Callable

from clementinespar import background
from clementinespar.jobs import (
    job_table,
    model,
    passed_over,
    services,
    team_use,
    worker_lease,
    worker_run,
    worker_session,
    worker_use,
)


class SessionTable:
    """Opens, updates and closes the sessions of one partition for its owner.

    Parameters
    ----------
    sessions_by_id : dict of str to worker_session.WorkerSession
        The sessions by worker id; changed in place.
    lease_max_s : float
        Longest lease that workers grant, in seconds.
    events : worker_run.RunEvents
        Handles the events of the sessions.
    """

    evacuating: dict[str, float]  # worker id: event-loop time at which it expires
    # By pool: event-loop time until which it gives busy hosts to a pool at its peak.
    lending_until: dict[str, float]
    _closing: background.Tasks  # wait for the calls of workers that are gone

    def __init__(
        self,
        sessions_by_id: dict[str, worker_session.WorkerSession],
        epoch: int,
        lease_max_s: float,
        owns_pool: Callable[[str], bool],
        directory: services.WorkerDirectory,
        workers: services.WorkerClient,
        events: worker_run.RunEvents,
        use: worker_use.WorkerUse,
        jobs: job_table.JobTable,
        use_by_team: team_use.TeamUse,
        log_event: services.EventLog,
    ) -> None:
        self._sessions_by_id = sessions_by_id
        self._epoch = epoch
        self._lease_max_s = lease_max_s
        self._owns_pool = owns_pool
        self._directory = directory
        self._workers = workers
        self._events = events
        self._worker_use = use
        self._jobs = jobs
        self._use_by_team = use_by_team
        self._log_event = log_event
        self.evacuating = {}
        self.lending_until = {}
        self._closing = background.Tasks()

    def refresh(self) -> None:
        """Open a session with each listed worker, and close those that are gone."""
        if not self._directory.is_loaded:
            return
        for entry in self._directory.by_id.values():
            session = self._sessions_by_id.get(entry.worker_id)
            if not self._owns_pool(entry.pool):
                if session is not None:
                    self._leave_to_other(session, entry)
                continue
            if session is None:
                session = worker_session.WorkerSession(
                    entry,
                    self._epoch,
                    self._lease_max_s,
                    self._worker_use.previous_lease_end(entry.worker_id),
                    self._workers,
                    self._events,
                    self._log_event,
                    self._use_by_team,
                )
                session.is_evacuating = entry.worker_id in self.evacuating
                self._sessions_by_id[entry.worker_id] = session
                session.open()
            elif session.entry is not entry:
                session.update_entry(entry)
            session.is_listed = True
        now = asyncio.get_running_loop().time()
        for worker_id, session in list(self._sessions_by_id.items()):
            if worker_id in self._directory.by_id:
                continue
            session.is_listed = False
            is_expired = session.lease.has_ended(is_start_settled=False)
            is_unresponsive = (
                now - session.last_contact > worker_session.UNRESPONSIVE_AFTER_S
            )
            if is_expired and is_unresponsive and not session.runs:
                self._close(session)

    def _leave_to_other(
        self, session: worker_session.WorkerSession, entry: model.WorkerEntry
    ) -> None:
        """Stop using a worker whose entry names a pool of another partition.

        The session ends if the worker has started again for that pool: its runs and its
        ends are those of another owner, which may have the same fence.
        """
        session.is_listed = False
        if entry.born_ms <= session.entry.born_ms or entry.born_ms < session.born_ms:
            return  # the same or an earlier life, or an entry of another writer
        if session.born_ms != entry.born_ms and not session.is_dead:
            session.drop_ended()
        if not session.runs:
            self._close(session)

    def _close(self, session: worker_session.WorkerSession) -> None:
        worker_id = session.entry.worker_id
        session.close()
        self._closing.start(session.wait_closed())
        del self._sessions_by_id[worker_id]
        self._worker_use.remove(worker_id)

    def close(self) -> None:
        """Close all sessions; their runs go on until their leases end."""
        for session in self._sessions_by_id.values():
            session.close()

    async def wait_closed(self) -> None:
        """Wait until the calls of all closed sessions have ended."""
        await asyncio.gather(
            *(session.wait_closed() for session in self._sessions_by_id.values()),
            *self._closing.pending(),
        )

    def release(self) -> None:
        """Remove idle and unresponsive workers from those recorded as in use.

        The host of an idle worker may be taken away, and the next owner would wait for
        its lease although nothing runs there. The lease of an unresponsive worker is
        not extended, so the next owner waits only for what is left of it.
        """
        released = {
            worker_id
            for worker_id, session in self._sessions_by_id.items()
            if session.is_released()
        }
        for worker_id in released & self._worker_use.in_use:
            self._worker_use.remove(worker_id)
            self._jobs.flush_wanted.set()
        for worker_id, session in self._sessions_by_id.items():
            if worker_id in self._worker_use.in_use and not session.is_responsive():
                end = session.find_lease_end() + worker_lease.LEASE_MARGIN_S
                self._worker_use.release_silent(worker_id, end)
                self._jobs.flush_wanted.set()

    def end_evacuations(self) -> None:
        """Give work to workers again whose evacuation was not renewed."""
        now = asyncio.get_running_loop().time()
        for worker_id, until in list(self.evacuating.items()):
            if now > until:
                del self.evacuating[worker_id]
                session = self._sessions_by_id.get(worker_id)
                if session is not None:
                    session.is_evacuating = False

    def find_silent(self) -> dict[str, float]:
        """Return the silent workers that hold up tasks, as the death watch needs it.

        Empty while this owner can start nothing: it needs no deaths then.
        """
        lease_s = worker_lease.find_granted_s(self._lease_max_s)
        now = asyncio.get_running_loop().time()
        confirmed = self._events.confirmed_at()
        if worker_lease.find_owner_obstacle(confirmed, lease_s, now) is not None:
            return {}
        known_since = {
            worker_id: self._worker_use.known_since(worker_id)
            for worker_id in self._worker_use.find_unheard()
            if worker_id != worker_use.ANY_WORKER
        }
        for worker_id, session in self._sessions_by_id.items():
            holds_up = session.runs or session.is_awaited
            if session.is_silent and not session.is_dead and holds_up:
                known_since[worker_id] = session.born_seen_at
        return known_since

    def find_responsive(self) -> set[str]:
        """Return the workers that answer."""
        return {
            worker_id
            for worker_id, session in self._sessions_by_id.items()
            if session.has_answered and not session.is_silent
        }

    def drop_ended(self, worker_id: str, list_ages_ms: list[int]) -> None:
        """Free the tasks of a worker that the platform reports as ended.

        Parameters
        ----------
        list_ages_ms : list of int
            As `worker_deaths.WorkerDeathWatch.list_ages_ms`.
        """
        self._log_death(worker_id, list_ages_ms)
        self._events.on_death(worker_id)
        session = self._sessions_by_id.get(worker_id)
        if session is not None:
            session.drop_ended()
        self.release()
        self._jobs.schedule_wanted.set()

    def _log_death(self, worker_id: str, list_ages_ms: list[int]) -> None:
        """Log that a worker has ended.

        Parameters
        ----------
        list_ages_ms : list of int
            Ages of the lists of hosts without the worker.
        """
        session = self._sessions_by_id.get(worker_id)
        if session is None:
            confirmed_age_ms = worker_lease.find_age_ms(self._events.confirmed_at())
            fields: dict[str, object] = {
                "epoch": self._epoch,
                "confirmed_age_ms": confirmed_age_ms,
            }
        else:
            fields = session.describe_lease()
        self._log_event(
            "worker_dead",
            worker=worker_id,
            open_runs=0 if session is None else len(session.runs),
            list_ages_ms=list_ages_ms,
            **fields,
        )

    def in_pool(self, pool: str) -> list[worker_session.WorkerSession]:
        """Return the sessions of the workers of a pool."""
        return [s for s in self._sessions_by_id.values() if s.entry.pool == pool]

    def find_usable(self, now: float) -> list[worker_session.WorkerSession]:
        """Return the sessions of the workers that may take work."""
        return [
            session
            for session in self._sessions_by_id.values()
            if self.find_absence(session, now) is None
        ]

    def find_absence(
        self, session: worker_session.WorkerSession, now: float
    ) -> passed_over.Reason | None:
        """Return why a worker may not take work, or None if it may."""
        absence = session.find_absence(now)
        if absence is None and not self._worker_use.may_start(session.entry.worker_id):
            return passed_over.Reason.UNRECORDED
        return absence
