"""The owner of a partition of worker pools: adopts jobs and places their tasks.

Takeover: the first progress record carries the owner's epoch, which fences every
previous owner out of the partition. Once ownership was confirmed after that, the owner
calls each worker with the new fence. Jobs that a previous owner had adopted wait until
every worker that it may have used has answered, or until the lease on that worker has
certainly ended. Jobs that no owner had adopted start at once.

State is stored before it is shown or acknowledged: an adoption before the first start,
ends of runs before their acknowledgement, a final state before a caller sees it.
"""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator, Callable

from clementinespar import background, explanation
from clementinespar.jobs import (
    advice_calls,
    command_intake,
    conclusions,
    crash_watch,
    demand,
    end_log,
    held_tasks,
    job_table,
    model,
    neighbours,
    owner_loading,
    owner_queries,
    owner_quotas,
    placement_preview,
    placement_round,
    progress_writer,
    run_ends,
    run_watch,
    services,
    session_events,
    session_table,
    state,
    takeover_wait,
    task_placer,
    team_rate,
    telemetry,
    tickets,
    wait_watch,
    worker_deaths,
    worker_lease,
    worker_session,
    worker_use,
)

SCHEDULE_SPACING_S = 0.004  # batches events into one round of placement
HOUSEKEEPING_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerSettings:
    """Settings of the owner of a partition.

    Attributes
    ----------
    lease_max_s : float
        Longest lease that a worker grants, in seconds.
    """

    lease_max_s: float


class PoolOwner:
    """Decides for one partition of pools; run by `own_partition`."""

    partition: int
    epoch: int
    is_loaded: bool
    is_lost: bool
    has_failed: bool  # by an unexpected error
    jobs_by_id: dict[str, state.JobProgress]
    sessions_by_id: dict[str, worker_session.WorkerSession]
    metrics: telemetry.JobMetrics
    quotas: owner_quotas.OwnerQuotas
    waits: wait_watch.WaitWatch
    _lease_max_s: float  # longest lease that workers grant
    _jobs: job_table.JobTable
    _conclusions: conclusions.Conclusions
    _worker_use: worker_use.WorkerUse
    _sessions: session_table.SessionTable
    _writer: progress_writer.ProgressWriter
    _intake: command_intake.CommandIntake
    _ends: run_ends.RunEnds
    _queries: owner_queries.OwnerQueries
    preview: placement_preview.PlacementPreview
    _round: placement_round.PlacementRound
    _run_watch: run_watch.RunWatch
    _held_tasks: held_tasks.HeldTaskLog
    _neighbours: neighbours.Neighbours
    _crash_watch: crash_watch.CrashWatch
    _death_watch: worker_deaths.WorkerDeathWatch
    _takeover_wait: takeover_wait.TakeoverWait
    _subscription: contextlib.ExitStack  # to the directory of workers
    _team_rates: team_rate.TeamRates
    tickets: tickets.TicketCache
    _run_times: demand.RunTimes

    def __init__(
        self,
        partition: int,
        epoch: int,
        owns_pool: Callable[[str], bool],
        confirmed_at: Callable[[], float | None],
        on_lost: Callable[["PoolOwner"], None],
        store: services.JobStore,
        directory: services.WorkerDirectory,
        workers: services.WorkerClient,
        advice: advice_calls.AdviceCalls,
        hosts: services.HostService,
        settings: OwnerSettings,
        log_event: services.EventLog,
        metrics: telemetry.JobMetrics,
        quota_link: owner_quotas.QuotaLink | None = None,
        find_weight: Callable[[str], float] = team_rate.default_weight,
    ) -> None:
        self.partition = partition
        self.epoch = epoch
        self.is_loaded = False
        self.is_lost = False
        self.has_failed = False
        self._jobs = job_table.JobTable()
        self.jobs_by_id = self._jobs.by_id
        self.released = self._jobs.released
        self.sessions_by_id = {}
        self.metrics = metrics
        self._confirmed_at = confirmed_at
        self._on_lost = on_lost
        self._store = store
        self._directory = directory
        self._log_event = log_event
        self._lease_max_s = settings.lease_max_s
        self._conclusions = conclusions.Conclusions(
            self.confirmed_at, self._jobs.flush_wanted, log_event
        )
        self._worker_use = worker_use.WorkerUse(self._conclusions.confirmed_at)
        self._subscription = contextlib.ExitStack()
        self._run_times = demand.RunTimes()
        self._team_rates = team_rate.TeamRates(find_weight, log_event, metrics)
        arrivals_by_pool: dict[str, demand.ArrivalRate] = {}
        self.quotas = owner_quotas.OwnerQuotas(
            partition,
            epoch,
            owner_quotas.NoQuotas() if quota_link is None else quota_link,
            self.jobs_by_id,
            self._jobs.active,
            self.sessions_by_id,
            self._worker_use.is_settled,
            self.confirmed_at,
            self._jobs.schedule_wanted.set,
            log_event,
            metrics,
        )
        self.waits = wait_watch.WaitWatch(
            self._jobs.active,
            self.sessions_by_id,
            self._run_times.estimate_ms,
            self.quotas.find_caps,
            metrics,
        )
        ends = end_log.EndLog(self._jobs, log_event, metrics)
        self._writer = progress_writer.ProgressWriter(
            partition,
            epoch,
            store,
            self._jobs,
            self.sessions_by_id,
            self._worker_use,
            self.quotas,
            self._conclusions,
            ends,
            lambda: self.mark_lost("the store has seen a later owner"),
            log_event,
        )
        self.tickets = tickets.TicketCache(
            advice, log_event, self._jobs.schedule_wanted
        )
        placer = task_placer.TaskPlacer(
            epoch, self.sessions_by_id, self.tickets, log_event, metrics, self.quotas
        )
        self._neighbours = neighbours.Neighbours(log_event, metrics)
        self._run_watch = run_watch.RunWatch(
            self.jobs_by_id,
            self.sessions_by_id,
            placer,
            self._neighbours,
            log_event,
            metrics,
        )
        self._held_tasks = held_tasks.HeldTaskLog(log_event)
        self._ends = run_ends.RunEnds(
            self._jobs,
            self.sessions_by_id,
            self.tickets,
            self._run_times,
            self.quotas,
            self._conclusions,
            ends,
            self.waits,
            log_event,
            metrics,
        )
        self._intake = command_intake.CommandIntake(
            partition,
            store,
            self._jobs,
            self._ends,
            self._run_times,
            arrivals_by_pool,
            self.waits,
            self._team_rates,
            log_event,
        )
        self._crash_watch = crash_watch.CrashWatch(
            self._jobs.active,
            self.sessions_by_id,
            self._worker_use,
            self._jobs.store_soon,
            self._ends.give_up,
            log_event,
            metrics,
        )
        events = session_events.SessionEvents(
            self._jobs,
            self._worker_use,
            self._ends,
            self._crash_watch,
            self._neighbours,
            self._run_watch,
            self.tickets,
            self._conclusions,
            self.confirmed_at,
            self.mark_lost,
        )
        self._sessions = session_table.SessionTable(
            self.sessions_by_id,
            epoch,
            self._lease_max_s,
            owns_pool,
            directory,
            workers,
            events,
            self._worker_use,
            self._jobs,
            self.quotas.use,
            log_event,
        )
        self._round = placement_round.PlacementRound(
            epoch,
            self._jobs,
            self._sessions,
            self._worker_use,
            placer,
            self._run_times,
            self.quotas,
            self.waits,
            self._neighbours,
            self._team_rates,
            metrics,
        )
        self._death_watch = worker_deaths.WorkerDeathWatch(
            hosts,
            self._sessions.find_silent,
            self._sessions.find_responsive,
            lambda worker_id: self._sessions.drop_ended(
                worker_id, self._death_watch.list_ages_ms(worker_id)
            ),
            log_event,
        )
        self._takeover_wait = takeover_wait.TakeoverWait(
            partition, epoch, self._worker_use, self.sessions_by_id, log_event, metrics
        )
        self._queries = owner_queries.OwnerQueries(
            epoch,
            self._jobs,
            self.sessions_by_id,
            self._sessions,
            directory,
            self._worker_use,
            self._intake,
            self._run_watch,
            self._run_times,
            arrivals_by_pool,
            self.quotas,
            self.waits,
            log_event,
        )
        self.preview = placement_preview.PlacementPreview(
            self._round,
            placer,
            self._sessions,
            self._intake,
            self._run_times,
            self.quotas,
            self.waits,
            self._team_rates,
        )

    def confirmed_at(self) -> float | None:
        """Return when the last call that confirmed ownership was sent."""
        confirmed_at = None if self.is_lost else self._confirmed_at()
        return self._writer.limit_confirmation(confirmed_at)

    def awaits_confirmation(self, sent_at: float) -> bool:
        """Whether it can begin once a join is answered that is later than `sent_at`."""
        return not self.is_loaded and self._writer.is_fenced_after(sent_at)

    def check_fence(self) -> None:
        """Stop acting until the store has confirmed that no later owner has begun."""
        self._writer.check_fence()

    # Requests of other nodes; see `owner_queries.OwnerQueries`.

    def describe(self, job_id: str) -> model.JobState | None:
        """Return a job's state, or None if no job has this id."""
        return self._queries.describe(job_id)

    def explain(self, job_id: str) -> explanation.Explanation | None:
        """Return why a job is in its state, or None if no job has this id."""
        return self._queries.explain(job_id)

    def explain_image(self, image: str) -> explanation.Explanation | None:
        """Return what an image causes and suffers; None if nothing is known."""
        return self._neighbours.explain_image(image)

    def count_waiting(self, queue: str) -> int:
        """Return the number of jobs of a queue of which no task has started."""
        return self._queries.count_waiting(queue)

    def describe_load(self, pool: str) -> dict[str, object]:
        """Return the waiting work of a pool and the use of each of its workers."""
        return self._queries.describe_load(pool)

    def evacuate(
        self, worker_id: str, kept_s: float, urgency: model.EvacuationUrgency
    ) -> bool:
        """Give a worker no new work; True once its host may be taken away."""
        return self._queries.evacuate(worker_id, kept_s, urgency)

    def knows_command(self, record: services.KeyedRecord) -> bool:
        """Whether this command was read from the store, so it certainly is there."""
        return self._intake.knows(record)

    def accept_stored_command(self, record: services.KeyedRecord) -> None:
        """Apply a command that was stored just now, before it is read back."""
        if self.is_loaded and not self.is_lost:
            self._intake.apply([record])

    # Background tasks.

    async def load(self) -> None:
        """Fence previous owners, then read progress and commands."""
        await self._writer.fence_previous()
        progress = await command_intake.retry_read(
            lambda: self._store.list_newest(services.Topic.PROGRESS, self.partition),
            self._log_event,
        )
        fenced_at = await self._writer.wait_until_confirmed(self.confirmed_at)
        commands = await self._intake.list_all()
        values = {record.key: record.value for record in progress.records}
        owner_loading.restore_worker_use(
            self._worker_use, values, fenced_at, self._lease_max_s, self._log_event
        )
        self._takeover_wait.begin(fenced_at)
        self.released.restore(values, self._log_event)
        restored = owner_loading.restore_jobs(values, commands.records, self._log_event)
        owner_loading.take_over_jobs(
            restored, self._jobs, self._restore_job, self._log_event
        )
        self._team_rates.mark_all(restored, time.time() * 1000)
        self._intake.apply_page(commands)
        self.is_loaded = True
        self._subscription.callback(self._directory.subscribe(self._refresh_sessions))
        self._refresh_sessions()
        self._log_event(
            "pool_loaded",
            partition=self.partition,
            epoch=self.epoch,
            jobs=len(self.jobs_by_id),
            open_jobs=len(self._jobs.active),
            former_workers=len(self._worker_use.previous_lease_ends),
            fenced_ago_ms=round((asyncio.get_running_loop().time() - fenced_at) * 1000),
        )

    def _restore_job(self, job: state.JobProgress) -> None:
        """Go on with a job that a previous owner has stored."""
        self._intake.set_deadline(job)
        if not job.is_final:
            self._jobs.active[job.spec.job_id] = job
            self._crash_watch.restore(job)
            self._ends.finish_occurrences(job)
            if job.open_due_occurrences(time.time() * 1000):
                self._jobs.store_soon(job)

    async def schedule(self) -> None:
        """Run a round of placement after each change that may allow a start."""
        while True:
            await self._jobs.schedule_wanted.wait()
            await asyncio.sleep(SCHEDULE_SPACING_S)
            await worker_lease.wait_until_grantable(
                self.confirmed_at, worker_lease.find_granted_s(self._lease_max_s)
            )
            self._jobs.schedule_wanted.clear()
            self._takeover_wait.review()
            self._round.run(asyncio.get_running_loop().time())

    async def run_housekeeping(self) -> None:
        """Refresh sessions, open due occurrences and delete expired state."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._refresh_sessions()
            self._sessions.release()
            self._takeover_wait.review()
            self._crash_watch.acquit_survivors()
            self._neighbours.refresh(asyncio.get_running_loop().time())
            self._run_watch.move_where_it_pays()
            now_ms = time.time() * 1000
            for job in list(self._jobs.active.values()):
                if job.open_due_occurrences(now_ms):
                    self._jobs.store_soon(job)
            self._sessions.end_evacuations()
            self._jobs.schedule_wanted.set()
            self._held_tasks.report(
                self._jobs.active.values(),
                self._worker_use.find_unsettled(),
                self._run_watch.has_room,
            )
            await self._writer.drop_finished(now_ms, self._forget_job)

    def _forget_job(self, job_id: str) -> None:
        """Forget a job whose final state is no longer kept."""
        self._intake.forget(job_id)
        self.waits.forget(job_id)

    def _refresh_sessions(self) -> None:
        if not self.is_lost:
            self._sessions.refresh()

    def mark_lost(self, reason: str) -> None:
        """Record that the partition is lost and stop acting as its owner."""
        if self.is_lost:
            return
        self.is_lost = True
        self._log_event("pool_lost", partition=self.partition, reason=reason)
        self._on_lost(self)

    async def run(self) -> None:
        """Load the partition, then run the background tasks until cancelled.

        An unexpected error ends the owner, and the partition is given up.
        """
        try:
            await self.load()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._intake.follow())
                group.create_task(self._writer.run())
                group.create_task(self._conclusions.run())
                group.create_task(self.schedule())
                group.create_task(self.run_housekeeping())
                group.create_task(self._death_watch.run())
                group.create_task(self.quotas.run())
        except Exception as error:
            self.has_failed = True
            telemetry.log_failure(self._log_event, self.partition, error)
            self.mark_lost("an unexpected error")

    def close(self) -> None:
        """Close all sessions.

        Runs go on until the next owner decides about them or their leases end.
        """
        self.is_lost = True
        self._subscription.close()
        self.tickets.close()
        self._neighbours.close()
        self._sessions.close()

    async def wait_closed(self) -> None:
        """Wait until the calls that `close` has cancelled have ended."""
        await asyncio.gather(self.tickets.wait_closed(), self._sessions.wait_closed())


@contextlib.asynccontextmanager
async def own_partition(owner: PoolOwner) -> AsyncIterator[None]:
    """Run an owner inside the context and close it at the end."""
    try:
        async with background.running(owner.run()):
            try:
                yield
            finally:
                owner.close()
    finally:
        await owner.wait_closed()
