"""Stores the progress of the jobs of one partition under the epoch of its owner."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Mapping

from clementinespar import errors
from clementinespar.jobs import (
    command_intake,
    conclusions,
    end_log,
    fenced_log,
    job_table,
    owner_quotas,
    services,
    state,
    worker_session,
    worker_use,
)

FLUSH_INTERVAL_S = 0.6  # ends are acknowledged at least this often
FENCED_CHECK_S = 0.01  # a join of the group takes a few milliseconds
STATUS_RETENTION_MS = 150_000  # longer than callers may query a final state


class ProgressWriter:
    """Appends progress for the owner of a partition, one append at a time.

    Parameters
    ----------
    on_fenced : callable
        Called once the store has seen a later owner.
    """

    _fence_checks: int  # done; fewer than wanted: another owner may have begun
    _wanted_fence_checks: int
    # Event-loop time up to which the last check has shown that no later owner began.
    _checked_at: float | None
    _fenced_at: float | None  # event-loop time; None: previous owners may still append

    def __init__(
        self,
        partition: int,
        epoch: int,
        store: services.JobStore,
        jobs: job_table.JobTable,
        sessions_by_id: Mapping[str, worker_session.WorkerSession],
        use: worker_use.WorkerUse,
        quotas: owner_quotas.OwnerQuotas,
        drawn: conclusions.Conclusions,
        ends: end_log.EndLog,
        on_fenced: Callable[[], None],
        log_event: services.EventLog,
    ) -> None:
        self._partition = partition
        self._epoch = epoch
        self._store = store
        self._jobs = jobs
        self._sessions_by_id = sessions_by_id
        self._worker_use = use
        self._quotas = quotas
        self._conclusions = drawn
        self._end_log = ends
        self._on_fenced = on_fenced
        self._log_event = log_event
        self._log = fenced_log.FencedLog(
            store,
            services.Topic.PROGRESS,
            partition,
            epoch,
            command_intake.STORE_RETRY_S,
            log_event,
        )
        self._fence_checks = 0
        self._wanted_fence_checks = 0
        self._checked_at = None
        self._fenced_at = None

    def limit_confirmation(self, confirmed_at: float | None) -> float | None:
        """Return up to when ownership is confirmed, by the group and by the fence.

        While a check of the fence is wanted, confirmations after the last one do not
        count: another owner may have begun.

        Parameters
        ----------
        confirmed_at : float, optional
            Event-loop time at which the last confirmation by the group was sent.
        """
        if self._fence_checks == self._wanted_fence_checks:
            return confirmed_at
        if self._checked_at is None or confirmed_at is None:
            return None
        return min(confirmed_at, self._checked_at)

    def check_fence(self) -> None:
        """Append soon, to learn whether a later owner has begun."""
        self._wanted_fence_checks += 1
        self._jobs.flush_wanted.set()

    async def fence_previous(self) -> None:
        """Fence previous owners out of the partition."""
        await self._append([self._owner_record()])
        self._fenced_at = asyncio.get_running_loop().time()

    def is_fenced_after(self, sent_at: float) -> bool:
        """Whether previous owners are fenced out, but maybe not yet at a time."""
        return self._fenced_at is not None and self._fenced_at > sent_at

    async def wait_until_confirmed(
        self, confirmed_at: Callable[[], float | None]
    ) -> float:
        """Wait for a confirmation of ownership that was sent after the fence.

        The first append may take effect late, when an earlier owner has got the
        partition back and its own check of the fence is done. That owner goes on under
        its earlier epoch, so this one must not begin.

        Parameters
        ----------
        confirmed_at : callable
            Returns when the last call that confirmed ownership was sent.

        Returns
        -------
        float
            Event-loop time that no confirmation of a previous owner is later than.
        """
        loop = asyncio.get_running_loop()
        assert self._fenced_at is not None
        while (confirmed := confirmed_at()) is None or confirmed < self._fenced_at:
            if self._fence_checks != self._wanted_fence_checks:
                await self._flush()
            await asyncio.sleep(FENCED_CHECK_S)
        # Another owner may have been confirmed since the fence if a check was wanted.
        return loop.time() if self._wanted_fence_checks else self._fenced_at

    async def run(self) -> None:
        """Store changed jobs, one append at a time, then acknowledge their ends."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FLUSH_INTERVAL_S):
                    await self._jobs.flush_wanted.wait()
            self._jobs.flush_wanted.clear()
            await self._flush()

    async def _flush(self) -> None:
        dirty = list(self._jobs.dirty.values())
        self._jobs.dirty.clear()
        processed = [
            (session, session.ends.processed, session.born_ms)
            for session in self._sessions_by_id.values()
        ]
        records = []
        began_at = asyncio.get_running_loop().time()
        fence_checks = self._wanted_fence_checks
        if fence_checks != self._fence_checks:
            records.append(self._owner_record())
        for job in dirty:
            if not job.first_epoch:
                job.first_epoch = self._epoch
            records.append(
                services.KeyedRecord("p" + job.spec.job_id, state.encode_progress(job))
            )
        released = self._jobs.released
        releases = released.take_changes()
        records.extend(released.encode(releases))
        # A worker may have got a run after it was released.
        for worker_id, session in self._sessions_by_id.items():
            if session.runs and session.has_answered and session.is_responsive():
                self._worker_use.add(
                    worker_id, session.born_seen_at, session.lease.extended_end
                )
        is_use_due = self._worker_use.is_due()
        if is_use_due:
            records.append(services.KeyedRecord("workers", self._worker_use.encode()))
        opened = [
            occurrence
            for job in dirty
            for occurrence in job.occurrences.values()
            if not occurrence.is_stored
        ]
        versions = [(job, job.crash_version, job.risk_version) for job in dirty]
        epochs = [(job, job.extended_epoch()) for job in dirty]
        finals = [job for job in dirty if job.is_final]
        if self._conclusions.is_append_wanted and not records:
            records.append(self._owner_record())
        self._conclusions.is_append_wanted = False
        if records:
            await self._append(records)
            self._conclusions.note_append(began_at)
        if fence_checks != self._fence_checks:
            self._fence_checks = fence_checks
            self._checked_at = began_at
            self._log_event(
                "fence_checked",
                partition=self._partition,
                epoch=self._epoch,
                took_ms=round((asyncio.get_running_loop().time() - began_at) * 1000),
            )
            self._jobs.schedule_wanted.set()
        released.mark_stored(releases)
        if is_use_due:
            self._worker_use.mark_stored()
            self._jobs.schedule_wanted.set()
        for session, number, born_ms in processed:
            if session.born_ms == born_ms:
                session.ends.note_stored(number)
                self._end_log.report_stored(session, number)
        for job, crash_version, risk_version in versions:
            is_crash_stored = job.stored_crash_version == crash_version
            is_risk_stored = job.stored_risk_version == risk_version
            if not (is_crash_stored and is_risk_stored):
                job.stored_crash_version = crash_version
                job.stored_risk_version = risk_version
                self._jobs.schedule_wanted.set()
        for job, epoch in epochs:
            if job.extend_ranges(epoch):
                self._jobs.schedule_wanted.set()
        for occurrence in opened:
            occurrence.is_stored = True
            self._jobs.schedule_wanted.set()
        for job in finals:
            job.is_final_stored = True
            self._jobs.finished_commands.add(job.spec.job_id)
        self._mark_adopted(dirty)

    def _mark_adopted(self, stored: Iterable[state.JobProgress]) -> None:
        for job in stored:
            if not job.is_adopted:
                job.is_adopted = True
                job.adopted_epoch = self._epoch
                self._jobs.schedule_wanted.set()

    async def drop_finished(self, now_ms: float, forget: Callable[[str], None]) -> None:
        """Delete the commands of finished jobs, and final states that are expired.

        A final state is kept until the command is certainly deleted.

        Parameters
        ----------
        now_ms : float
            Unix ms.
        forget : callable
            Called with the id of each job whose final state is expired.
        """
        finished = self._jobs.finished_commands
        keys = sorted(finished - self._quotas.find_unended(finished))
        if keys:
            finished.difference_update(keys)
            try:
                await self._store.append(
                    services.Topic.COMMANDS,
                    self._partition,
                    [services.KeyedRecord("j" + job_id, b"") for job_id in keys],
                )
            except errors.ClementinesparError:
                finished.update(keys)  # deleted with the next ones
        expired = [
            job_id
            for job_id, job in self._jobs.by_id.items()
            if job.is_final_stored
            and now_ms - job.final_ms > STATUS_RETENTION_MS
            and job_id not in finished
        ]
        for job_id in expired:
            del self._jobs.by_id[job_id]
            forget(job_id)
        dropped = [services.KeyedRecord("p" + job_id, b"") for job_id in expired]
        released = self._jobs.released
        dropped += released.encode(released.drop_expired(now_ms))
        if dropped:
            await self._append(dropped)

    def _owner_record(self) -> services.KeyedRecord:
        return services.KeyedRecord("owner", b"%d" % self._epoch)

    async def _append(self, records: list[services.KeyedRecord]) -> None:
        """Append progress as the owner; never returns once the owner is fenced out."""
        try:
            await self._log.append(records)
        except errors.ClementinesparError:
            self._on_fenced()
            await asyncio.Event().wait()  # until the tasks of this owner are cancelled
