"""Intake of the commands of callers: new jobs and cancellations."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from clementinespar import codes, decoding, errors
from clementinespar.jobs import (
    demand,
    job_table,
    model,
    owner_loading,
    run_ends,
    services,
    state,
    team_rate,
    telemetry,
    wait_watch,
)

STORE_RETRY_S = 0.1
# Longest wait of a read for new commands. A connection may stop answering for good, and
# a job must be known within three seconds.
COMMAND_WAIT_S = 1.0
COMMAND_SPACING_S = 0.01  # batches commands, since each read has a cost
# A job is reported as unknown only if the last read of commands is no older than this
# plus `COMMAND_WAIT_S`.
STALE_COMMANDS_S = 1.4


async def retry_read(
    call: Callable[[], Awaitable[services.RecordPage]], log_event: services.EventLog
) -> services.RecordPage:
    """Return the result of a read of the store; retries until it has answered."""
    while True:
        try:
            return await call()
        except errors.ClementinesparError as error:
            log_event("read_retried", code=int(error.code))
        await asyncio.sleep(STORE_RETRY_S)


class CommandIntake:
    """Applies the commands of one partition for its owner."""

    _read_at: float | None  # event-loop time of the last read; None: none yet
    _next_command: int  # offset
    _cancelled_ids: set[str]

    def __init__(
        self,
        partition: int,
        store: services.JobStore,
        jobs: job_table.JobTable,
        ends: run_ends.RunEnds,
        run_times: demand.RunTimes,
        arrivals_by_pool: dict[str, demand.ArrivalRate],
        waits: wait_watch.WaitWatch,
        team_rates: team_rate.TeamRates,
        log_event: services.EventLog,
    ) -> None:
        self._partition = partition
        self._store = store
        self._jobs = jobs
        self._ends = ends
        self._run_times = run_times
        self._arrivals_by_pool = arrivals_by_pool
        self._waits = waits
        self._team_rates = team_rates
        self._log_event = log_event
        self._read_at = None
        self._next_command = 0
        self._cancelled_ids = set()

    def is_fresh(self) -> bool:
        """Whether commands were read recently enough to report a job as unknown."""
        now = asyncio.get_running_loop().time()
        return (
            self._read_at is not None
            and now - self._read_at <= COMMAND_WAIT_S + STALE_COMMANDS_S
        )

    async def list_all(self) -> services.RecordPage:
        """Return the newest command of each key; retries until the store answers."""
        return await retry_read(
            lambda: self._store.list_newest(services.Topic.COMMANDS, self._partition),
            self._log_event,
        )

    def apply_page(self, page: services.RecordPage) -> None:
        """Apply the commands that were read just now."""
        self._read_at = asyncio.get_running_loop().time()
        self._next_command = page.next_offset
        self.apply(page.records)

    async def follow(self) -> None:
        """Apply commands of callers as they arrive in the store."""
        while True:
            try:
                page = await self._store.read(
                    services.Topic.COMMANDS,
                    self._partition,
                    self._next_command,
                    COMMAND_WAIT_S,
                )
            except errors.ClementinesparError as error:
                if error.code is not codes.ResultCode.STORE_HISTORY_GONE:
                    await asyncio.sleep(STORE_RETRY_S)
                    continue
                self._log_event("commands_listed_anew", partition=self._partition)
                page = await self.list_all()
            self.apply_page(page)
            await asyncio.sleep(COMMAND_SPACING_S)

    def apply(self, records: list[services.KeyedRecord]) -> None:
        """Add new jobs, then cancel."""
        added = []
        for record in records:
            kind, job_id = record.key[:1], record.key[1:]
            if kind != "j" or not record.value:
                continue
            known = self._jobs.by_id.get(job_id)
            if known is None:
                if self._jobs.released.hold(job_id, record.value):
                    continue
                added.extend(self._add_job(job_id, record.value))
            elif known.is_final_stored:
                # Without its state, the next owner would take it for a new job.
                self._jobs.finished_commands.add(job_id)
        if added:
            self._team_rates.mark_all(added, time.time() * 1000)
        for record in records:
            if record.key[:1] == "c" and record.value:
                self._cancel(record.key[1:])

    def knows(self, record: services.KeyedRecord) -> bool:
        """Whether this command was read from the store, so it certainly is there."""
        known = self._jobs.by_id if record.key[:1] == "j" else self._cancelled_ids
        return record.key[1:] in known

    def forget(self, job_id: str) -> None:
        """Forget a job whose final state is no longer kept."""
        self._cancelled_ids.discard(job_id)

    def set_deadline(self, job: state.JobProgress) -> None:
        """Set when the objective of a job ends."""
        loop = asyncio.get_running_loop()
        age_s = max(0.0, time.time() - job.spec.accepted_ms / 1000)
        objective_s = (
            job.spec.stretch * job.remaining_ms(self._run_times.estimate_ms)
            + job.spec.objective_ms
        ) / 1000
        job.deadline = loop.time() - age_s + objective_s

    def _add_job(self, job_id: str, value: bytes) -> list[state.JobProgress]:
        """Add a job; the result is empty if it cannot be decoded or admitted.

        A job that cannot be admitted stays known, but does not run under this owner.
        """
        try:
            job = state.JobProgress(state.decode_spec(job_id, value))
        except decoding.ERRORS as error:
            telemetry.log_invalid_entry(self._log_event, "j" + job_id, error)
            return []
        return owner_loading.take_over_jobs(
            [job], self._jobs, self._admit, self._log_event
        )

    def _admit(self, job: state.JobProgress) -> None:
        """Make a new job ready to be stored as adopted."""
        job_id = job.spec.job_id
        self.set_deadline(job)
        self._waits.note_arrival(job, asyncio.get_running_loop().time())
        self._jobs.active[job_id] = job
        if not job.is_lasting:
            rate = self._arrivals_by_pool.setdefault(
                job.spec.pool, demand.ArrivalRate()
            )
            rate.add(
                job.remaining_work(self._run_times.estimate_ms),
                asyncio.get_running_loop().time(),
            )
        if job.spec.occurrences:
            job.open_due_occurrences(time.time() * 1000)
        self._log_event(
            "job_adopted",
            job=job_id,
            queue=job.spec.queue,
            steps=len(job.spec.steps),
            age_ms=int(time.time() * 1000) - job.spec.accepted_ms,
        )
        if job_id in self._cancelled_ids:
            self._ends.finish_job(
                job, model.JobState.CANCELLED, "cancelled before it was submitted"
            )
        self._jobs.store_soon(job)

    def _cancel(self, job_id: str) -> None:
        self._cancelled_ids.add(job_id)
        job = self._jobs.by_id.get(job_id)
        if job is not None and not job.is_final:
            self._ends.finish_job(
                job, model.JobState.CANCELLED, "cancelled by its caller"
            )
