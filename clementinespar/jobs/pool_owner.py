"""The owner of a partition of worker pools: adopts jobs and places their tasks.

Takeover: the first progress record carries the owner's epoch, which fences every
previous owner out of the partition. The owner then reads progress and commands and
calls each worker with the new fence. Jobs that a previous owner had adopted wait until
every worker that it may have used has answered, or until the lease on that worker has
certainly ended. Jobs that no owner had adopted start at once.

State is stored before it is shown or acknowledged: an adoption before the first start,
ends of runs before their acknowledgement, a final state before a caller sees it.
"""

import asyncio
import contextlib
import dataclasses
import math
import time
from collections.abc import AsyncIterator, Awaitable, Callable

from clementinespar import background, codes, errors, explanation
from clementinespar.jobs import (
    crash_counts,
    crash_watch,
    demand,
    fenced_log,
    held_tasks,
    model,
    neighbours,
    placement,
    run_watch,
    services,
    state,
    task_placer,
    telemetry,
    tickets,
    worker_deaths,
    worker_session,
    worker_use,
)

LEASE_SHARE = 0.9  # of the longest lease that workers grant
FLUSH_INTERVAL_S = 0.6  # ends are acknowledged at least this often
SCHEDULE_SPACING_S = 0.004  # batches events into one round of placement
FAILED_RETRY_DELAY_S = 0.08  # after a failed run, so that other tasks go first
LOST_RETRY_DELAY_S = 0.02
STORE_RETRY_S = 0.1
# Longest wait of a read for new commands. A connection may stop answering for good, and
# a job must be known within three seconds.
COMMAND_WAIT_S = 1.0
COMMAND_SPACING_S = 0.01  # batches commands, since each read has a cost
# A job is reported as unknown only if the last read of commands is no older than this
# plus `COMMAND_WAIT_S`.
STALE_COMMANDS_S = 1.4
STATUS_RETENTION_MS = 150_000  # longer than callers may query a final state
HOUSEKEEPING_INTERVAL_S = 0.5
UNKNOWN_STEP = model.StepSpec(1)


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
    evacuating: dict[str, float]  # worker id: event-loop time at which it expires
    commands_read_at: float  # event-loop time of the last read of commands
    metrics: telemetry.JobMetrics
    _fence_checks: int  # done; fewer than wanted: another owner may have begun
    _wanted_fence_checks: int
    _lease_s: float  # longest lease that owners grant
    _log: fenced_log.FencedLog
    _next_command: int  # offset
    _worker_use: worker_use.WorkerUse
    _placer: task_placer.TaskPlacer
    _run_watch: run_watch.RunWatch
    _held_tasks: held_tasks.HeldTaskLog
    _crash_watch: crash_watch.CrashWatch
    _death_watch: worker_deaths.WorkerDeathWatch
    _loaded_at: float  # event-loop time
    _cancelled_ids: set[str]
    _finished_commands: list[str]  # ids of jobs whose commands can be deleted
    _unsubscribe: Callable[[], None]
    _tickets: tickets.TicketCache
    _run_times: demand.RunTimes
    _neighbours: neighbours.Neighbours
    _arrivals_by_pool: dict[str, demand.ArrivalRate]
    _dirty: dict[str, state.JobProgress]  # changed since the last append
    _active: dict[str, state.JobProgress]  # not in a final state

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
        adviser: services.Adviser,
        hosts: services.HostService,
        settings: OwnerSettings,
        log_event: services.EventLog,
        metrics: telemetry.JobMetrics,
    ) -> None:
        self.partition = partition
        self.epoch = epoch
        self.is_loaded = False
        self.is_lost = False
        self.has_failed = False
        self._fence_checks = 0
        self._wanted_fence_checks = 0
        self.jobs_by_id = {}
        self.sessions_by_id = {}
        self.evacuating = {}
        self.commands_read_at = 0.0
        self.metrics = metrics
        self._owns_pool = owns_pool
        self._confirmed_at = confirmed_at
        self._on_lost = on_lost
        self._store = store
        self._directory = directory
        self._workers = workers
        self._log_event = log_event
        self._lease_s = settings.lease_max_s * LEASE_SHARE
        self._log = fenced_log.FencedLog(
            store, services.Topic.PROGRESS, partition, epoch, STORE_RETRY_S, log_event
        )
        self._next_command = 0
        self._worker_use = worker_use.WorkerUse()
        self._cancelled_ids = set()
        self._finished_commands = []
        self._unsubscribe = _do_nothing
        self._dirty = {}
        self._active = {}
        self._flush_wanted = asyncio.Event()
        self._schedule_wanted = asyncio.Event()
        self._tickets = tickets.TicketCache(adviser, log_event, self._schedule_wanted)
        self._placer = task_placer.TaskPlacer(
            epoch, self.sessions_by_id, self._tickets, log_event, metrics
        )
        self._neighbours = neighbours.Neighbours(log_event, metrics)
        self._run_watch = run_watch.RunWatch(
            self.jobs_by_id,
            self.sessions_by_id,
            self._placer,
            self._neighbours,
            log_event,
            metrics,
        )
        self._held_tasks = held_tasks.HeldTaskLog(log_event)
        self._crash_watch = crash_watch.CrashWatch(
            self._active,
            self.sessions_by_id,
            self._worker_use,
            self._store_soon,
            self._give_up,
            log_event,
            metrics,
        )
        self._death_watch = worker_deaths.WorkerDeathWatch(
            hosts,
            self._find_silent_workers,
            self._find_responsive_workers,
            self._on_worker_death,
            log_event,
        )
        self._loaded_at = 0.0
        self._run_times = demand.RunTimes()
        self._arrivals_by_pool = {}

    # Events of worker sessions; see `worker_session.RunEvents`.

    def confirmed_at(self) -> float | None:
        """Return when the last call that confirmed ownership was sent."""
        is_checked = self._fence_checks == self._wanted_fence_checks
        return self._confirmed_at() if is_checked and not self.is_lost else None

    def check_fence(self) -> None:
        """Stop acting until the store has confirmed that no later owner has begun."""
        self._wanted_fence_checks += 1
        self._flush_wanted.set()

    def on_contact(self, session: worker_session.WorkerSession) -> None:
        """Record that the worker has answered and request a round of placement."""
        worker_id = session.entry.worker_id
        self._worker_use.answered.add(worker_id)
        self._crash_watch.on_contact(session)
        if worker_id not in self._worker_use.in_use and not session.is_released():
            self._worker_use.add(worker_id)
            if not self.may_lease(worker_id):
                self._flush_wanted.set()
        self._neighbours.add_report(session, asyncio.get_running_loop().time())
        self._run_watch.check(session)
        self._schedule_wanted.set()

    def may_lease(self, worker_id: str) -> bool:
        """Whether the next owner will wait for a lease on the worker to end.

        It will if the stored record lists the worker as in use.
        """
        return worker_id in self._worker_use.stored

    def on_unresponsive(self, session: worker_session.WorkerSession) -> None:
        """Queue copies of the speculative tasks that run on an unresponsive worker."""
        self._crash_watch.mark_at_risk(session)
        for run in session.runs.values():
            if not run.spec.is_speculative:
                continue
            found = self._find_open_task(run.key)
            if found is None:
                continue
            job, task = found
            if not task.is_done and len(task.open_runs) == 1:
                job.find_step(run.key).waiting.add(run.key.index)
                self._schedule_wanted.set()

    def on_ticket_rejected(
        self, session: worker_session.WorkerSession, run: worker_session.Run
    ) -> None:
        """Drop the ticket, so that the adviser is asked for a new one."""
        self._tickets.drop(run.key, session.entry.worker_id)

    def on_fenced(self) -> None:
        """Stop acting as the owner: a later owner has called a worker."""
        self.mark_lost("a worker has seen a later owner")

    def orphan_spec(self, key: model.TaskKey) -> model.StepSpec:
        """Return the spec of a run that this owner does not want and has to stop."""
        job = self.jobs_by_id.get(key.job_id)
        if job is not None and 0 <= key.step < len(job.spec.steps):
            return job.spec.steps[key.step]
        return UNKNOWN_STEP

    def on_end(
        self,
        session: worker_session.WorkerSession,
        end: model.EndedTask,
        run: worker_session.Run | None,
    ) -> None:
        """Apply the end of a run once, whichever owner started it."""
        self.metrics.count_end(end.kind.value)
        self._schedule_wanted.set()
        if run is not None:
            now = asyncio.get_running_loop().time()
            self._neighbours.add_end(session, run, end.kind, now)
        found = self._find_open_task(end.task)
        if found is None:
            return  # nothing to store; the next flush acknowledges it
        job, task = found
        step = job.find_step(end.task)
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
                self._finish_gang(job, step, end.run)
            else:
                state.mark_done(step, task)
                self._stop_copies(task)
        elif is_failure:
            self._record_failure(session, job, step, task, end)
        if end.kind is not model.EndKind.DONE:
            self._log_event(
                "end",
                job=job.spec.job_id,
                task=end.task.name_in_job,
                run=end.run,
                worker=session.entry.worker_id,
                kind=end.kind.value,
            )
            delay = FAILED_RETRY_DELAY_S if is_failure else LOST_RETRY_DELAY_S
            self._requeue(step, task, 0.0 if step.spec.is_lasting else delay)
        self._mark_dirty(job)
        if not job.is_final:
            self._finish_occurrences(job)

    def on_start_unanswered(self, session: worker_session.WorkerSession) -> None:
        """Store where the run may execute, in case its worker has died."""
        self._crash_watch.mark_at_risk(session)

    def on_lapse(
        self, session: worker_session.WorkerSession, run: worker_session.Run
    ) -> None:
        """Keep a run at risk until its worker shows whether it died."""
        self._crash_watch.on_lapse(session, run)

    def on_crash(self, session: worker_session.WorkerSession) -> None:
        """Count the death of a worker against the tasks that ran there."""
        self._crash_watch.count_crash(session)

    def on_run_gone(
        self,
        session: worker_session.WorkerSession,
        run: worker_session.Run,
        reason: str,
    ) -> None:
        """Requeue the task of a run that certainly does not execute."""
        self._schedule_wanted.set()
        self._log_event(
            "run_gone",
            job=run.key.job_id,
            task=run.key.name_in_job,
            run=run.number,
            worker=session.entry.worker_id,
            reason=reason,
        )
        found = self._find_open_task(run.key)
        if found is None:
            return
        job, task = found
        task.open_runs.discard(run.number)
        self._crash_watch.on_run_gone(session, run)
        self._requeue(job.find_step(run.key), task, LOST_RETRY_DELAY_S)

    def on_unknown_run(
        self, session: worker_session.WorkerSession, listed: model.RunningTask
    ) -> worker_session.Run | None:
        """Adopt a run of a previous owner if its task still needs it."""
        found = self._find_open_task(listed.task)
        if found is None:
            return None
        job, task = found
        step = job.find_step(listed.task)
        task.last_run = max(task.last_run, listed.run)
        if task.is_done or (task.open_runs and not step.spec.is_speculative):
            return None
        now = asyncio.get_running_loop().time()
        run = worker_session.Run(listed.task, listed.run, step.spec, session, now)
        run.is_adopted = True
        run.status = worker_session.RunStatus.RUNNING
        run.percent = listed.percent
        run.is_suspect = bool(task.crashed_runs)
        task.open_runs.add(listed.run)
        if task.at_risk.pop(listed.run, None) is not None:
            self._store_soon(job)
        step.waiting.discard(listed.task.index)
        job.mark_started()
        return run

    def _find_open_task(
        self, key: model.TaskKey
    ) -> tuple[state.JobProgress, state.TaskState] | None:
        """Return a task and its job; None if the job is final or either is unknown."""
        job = self.jobs_by_id.get(key.job_id)
        task = None if job is None or job.is_final else job.find_task(key)
        return None if job is None or task is None else (job, task)

    # Queries.

    def describe(self, job_id: str) -> model.JobState | None:
        """Return a job's state, or None if no job has this id.

        Raises
        ------
        errors.ClementinesparError
            The commands were not read recently enough to report a job as unknown.
        """
        job = self.jobs_by_id.get(job_id)
        if job is not None:
            if job.is_final and not job.is_final_stored:
                return model.JobState.RUNNING
            return job.state
        loop = asyncio.get_running_loop()
        if not self.is_loaded or loop.time() - self.commands_read_at > (
            COMMAND_WAIT_S + STALE_COMMANDS_S
        ):
            raise errors.ClementinesparError(
                codes.ResultCode.JOB_OWNER_UNKNOWN,
                "the owner has not read the newest commands yet",
            )
        return None

    def explain(self, job_id: str) -> explanation.Explanation | None:
        """Return why a job is in its state, or None if no job has this id."""
        if self.describe(job_id) is None:
            return None
        job = self.jobs_by_id[job_id]
        now = asyncio.get_running_loop().time()
        because = []
        waits_for = None
        if not job.is_adopted:
            waits_for = "the store to append the record of its adoption"
        elif job.adopted_epoch != self.epoch and not self._worker_use.is_settled():
            waits_for = "unresponsive workers of the previous owner"
        if not job.is_final and not job.is_lasting:
            slack_s = job.deadline - now
            because.append(f"its objective ends in {slack_s:.1f} s")
        for occurrence in job.occurrences.values():
            for number, step in enumerate(occurrence.steps):
                because.append(
                    f"occurrence {occurrence.number}, step {number}:"
                    f" {step.done_count} of {len(step.tasks)} tasks done,"
                    f" {len(step.waiting)} wait"
                )
                because.extend(
                    f"{task.key.name_in_job}: {len(task.crashed_runs)} workers died"
                    for task in step.tasks
                    if task.crashed_runs
                )
        because.extend(
            f"{run.key.name_in_job} run {run.number} is {run.status.value}"
            f" on {session.entry.worker_id}"
            for session in self.sessions_by_id.values()
            for run in session.runs.values()
            if run.key.job_id == job_id
        )
        return explanation.Explanation(
            subject=f"job {job_id}",
            state=job.state.value,
            waits_for=waits_for,
            because=tuple(because),
            code=codes.ResultCode.OK,
        )

    def explain_image(self, image: str) -> explanation.Explanation | None:
        """Return what an image causes and suffers; None if nothing is known."""
        return self._neighbours.explain_image(image)

    def count_waiting(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue of which no task has started.

        Jobs with occurrences are not counted.
        """
        return sum(
            1
            for job in self._active.values()
            if job.spec.queue == queue
            and not job.has_started
            and not job.spec.occurrences
        )

    def describe_load(self, pool: str) -> dict[str, object]:
        """Return the waiting work of a pool and the use of each of its workers."""
        now = asyncio.get_running_loop().time()
        sessions = [
            session
            for session in self.sessions_by_id.values()
            if session.entry.pool == pool
        ]
        arrivals = self._arrivals_by_pool.get(pool)
        estimate_ms = self._run_times.estimate_ms
        return {
            "arriving_cores": 0.0 if arrivals is None else arrivals.read(now),
            "worker_cores": max(
                (session.entry.cpu_millis / 1000 for session in sessions), default=0.0
            ),
            "waiting_cores": sum(
                len(step.waiting) * step.spec.cpu_millis
                for job in self._active.values()
                if job.spec.pool == pool
                and placement.rank(job, now, estimate_ms)[0] < placement.LATE
                for occurrence in job.occurrences.values()
                for step in occurrence.ready_steps()
            )
            / 1000,
            "lasting_hosts": max(
                (
                    _count_hosts_of_lasting(step)
                    for job in self._active.values()
                    if job.spec.pool == pool and job.is_lasting
                    for occurrence in job.occurrences.values()
                    for step in occurrence.steps
                ),
                default=0,
            ),
            "workers": {
                session.entry.worker_id: {
                    "used_cores": (session.entry.cpu_millis - session.free_cpu) / 1000,
                    "runs": len(session.runs),
                    "lasting": sum(
                        1 for run in session.runs.values() if run.spec.is_lasting
                    ),
                    "lasting_cores": sum(
                        run.spec.cpu_millis / 1000
                        for run in session.runs.values()
                        if run.spec.is_lasting and not run.spec.is_filler
                    ),
                    "can_take": session.can_take(now),
                    "is_leaving": session.entry.is_draining,
                }
                for session in sessions
            },
        }

    def evacuate(
        self, worker_id: str, kept_s: float, urgency: model.EvacuationUrgency
    ) -> bool:
        """Give a worker no new work for `kept_s`; True once its host may be taken away.

        Lasting tasks are moved to other workers as far as `StepSpec.may_miss` allows.
        """
        loop = asyncio.get_running_loop()
        session = self.sessions_by_id.get(worker_id)
        is_if_idle = urgency is model.EvacuationUrgency.IF_IDLE
        if is_if_idle and (session is None or session.runs):
            return False
        self.evacuating[worker_id] = loop.time() + kept_s
        if session is None:
            # After a change of owner, a worker without a session may still execute
            # runs of the previous owner.
            return (
                self._directory.is_loaded
                and worker_id not in self._directory.by_id
                and self._worker_use.is_settled()
            )
        if not session.is_evacuating:
            session.is_evacuating = True
            self._log_event("evacuate", worker=worker_id, runs=len(session.runs))
        for run in list(session.runs.values()):
            if run.spec.is_lasting:
                self._run_watch.move_lasting(run, "its host is to be taken away")
            elif (
                urgency is model.EvacuationUrgency.STOP
                and run.status is worker_session.RunStatus.RUNNING
            ):
                session.stop(run, "its host is to be taken away")
        is_known = session.has_answered or loop.time() > session.lease_bound
        if session.runs or not is_known:
            return False
        self._release_workers()
        return True

    # Background tasks.

    async def load(self) -> None:
        """Fence previous owners, then read progress and commands."""
        loop = asyncio.get_running_loop()
        await self._append([self._owner_record()])
        fenced_at = loop.time()
        progress = await self._retry_read(
            lambda: self._store.list_newest(services.Topic.PROGRESS, self.partition)
        )
        commands = await self._retry_read(
            lambda: self._store.list_newest(services.Topic.COMMANDS, self.partition)
        )
        values = {record.key: record.value for record in progress.records}
        if "workers" in values:
            self._restore_worker_use(values["workers"], fenced_at)
        specs: dict[str, bytes] = {}
        for record in commands.records:
            if record.key.startswith("j"):
                specs[record.key[1:]] = record.value
        for key, value in values.items():
            if not key.startswith("p"):
                continue
            job_id = key[1:]
            try:
                spec = (
                    state.decode_spec(job_id, specs[job_id])
                    if job_id in specs
                    else model.JobSpec(job_id, "", "", "", ())
                )
                job = state.JobProgress(spec)
                state.restore_progress(job, value)
            except state.DECODING_ERRORS as error:
                telemetry.log_invalid_entry(self._log_event, key, error)
                continue
            self._set_deadline(job)
            self.jobs_by_id[job_id] = job
            if not job.is_final:
                self._active[job_id] = job
                self._crash_watch.restore(job)
                self._finish_occurrences(job)
        self._apply_commands(commands.records)
        self._next_command = commands.next_offset
        self.commands_read_at = loop.time()
        self._loaded_at = loop.time()
        self.is_loaded = True
        self._unsubscribe = self._directory.subscribe(self._refresh_sessions)
        self._refresh_sessions()
        self._log_event(
            "pool_loaded",
            partition=self.partition,
            epoch=self.epoch,
            jobs=len(self.jobs_by_id),
            open_jobs=len(self._active),
            former_workers=self._worker_use.previous_worker_count,
        )

    async def follow_commands(self) -> None:
        """Apply commands of callers as they arrive in the store."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                page = await self._store.read(
                    services.Topic.COMMANDS,
                    self.partition,
                    self._next_command,
                    COMMAND_WAIT_S,
                )
            except errors.ClementinesparError as error:
                if error.code is not codes.ResultCode.STORE_HISTORY_GONE:
                    await asyncio.sleep(STORE_RETRY_S)
                    continue
                self._log_event("commands_listed_anew", partition=self.partition)
                page = await self._retry_read(
                    lambda: self._store.list_newest(
                        services.Topic.COMMANDS, self.partition
                    )
                )
            self.commands_read_at = loop.time()
            self._next_command = page.next_offset
            self._apply_commands(page.records)
            await asyncio.sleep(COMMAND_SPACING_S)

    async def write_progress(self) -> None:
        """Store changed jobs, one append at a time, then acknowledge their ends."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FLUSH_INTERVAL_S):
                    await self._flush_wanted.wait()
            self._flush_wanted.clear()
            await self._flush()

    async def _flush(self) -> None:
        dirty = list(self._dirty.values())
        self._dirty.clear()
        processed = [
            (session, session.processed, session.born_ms)
            for session in self.sessions_by_id.values()
        ]
        records = []
        fence_checks = self._wanted_fence_checks
        if fence_checks != self._fence_checks:
            records.append(self._owner_record())
        for job in dirty:
            if not job.first_epoch:
                job.first_epoch = self.epoch
            records.append(
                services.KeyedRecord("p" + job.spec.job_id, state.encode_progress(job))
            )
        # A worker may have got a run after it was released.
        for worker_id, session in self.sessions_by_id.items():
            if session.runs and session.has_answered and session.is_responsive():
                self._worker_use.add(worker_id)
        is_use_due = self._worker_use.is_due()
        if is_use_due:
            records.append(services.KeyedRecord("workers", self._worker_use.encode()))
        crash_versions = [(job, job.crash_version) for job in dirty]
        finals = [job for job in dirty if job.is_final]
        if records:
            await self._append(records)
        if fence_checks != self._fence_checks:
            self._fence_checks = fence_checks
            self._schedule_wanted.set()
        if is_use_due:
            self._worker_use.mark_stored()
            self._schedule_wanted.set()
        for session, number, born_ms in processed:
            if session.born_ms == born_ms:
                session.acknowledged = max(session.acknowledged, number)
        for job, crash_version in crash_versions:
            if job.stored_crash_version != crash_version:
                job.stored_crash_version = crash_version
                self._schedule_wanted.set()
        for job in finals:
            job.is_final_stored = True
            self._finished_commands.append(job.spec.job_id)
        has_adopted = False
        for job in dirty:
            if not job.is_adopted:
                job.is_adopted = True
                job.adopted_epoch = self.epoch
                has_adopted = True
        if has_adopted:
            self._schedule_wanted.set()

    def _restore_worker_use(self, value: bytes, fenced_at: float) -> None:
        """Restore which workers the previous owners may still have leases on."""
        # Its leases end at most this long after a confirmation that preceded the fence.
        lease_s = self._lease_s + worker_session.LEASE_MARGIN_S
        try:
            self._worker_use.restore(value, fenced_at, lease_s)
        except state.DECODING_ERRORS as error:
            telemetry.log_invalid_entry(self._log_event, "workers", error)
            self._worker_use.wait_for_all(fenced_at, lease_s)

    async def schedule(self) -> None:
        """Run a round of placement after each change that may allow a start."""
        while True:
            await self._schedule_wanted.wait()
            await asyncio.sleep(SCHEDULE_SPACING_S)
            self._schedule_wanted.clear()
            self._place_tasks()

    async def run_housekeeping(self) -> None:
        """Refresh sessions, open due occurrences and delete expired state."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._refresh_sessions()
            self._release_workers()
            self._crash_watch.acquit_survivors()
            self._neighbours.refresh(loop.time())
            self._run_watch.move_where_it_pays()
            now_ms = time.time() * 1000
            for job in list(self._active.values()):
                if job.spec.occurrences and job.open_due_occurrences(now_ms):
                    self._mark_dirty(job)
            for worker_id, until in list(self.evacuating.items()):
                if loop.time() > until:
                    del self.evacuating[worker_id]
                    session = self.sessions_by_id.get(worker_id)
                    if session is not None:
                        session.is_evacuating = False
            self._schedule_wanted.set()
            self._held_tasks.report(
                self._active.values(),
                self._worker_use.find_unsettled(),
                self._run_watch.has_room,
            )
            await self._drop_finished(now_ms)

    async def _drop_finished(self, now_ms: float) -> None:
        if self._finished_commands:
            keys = self._finished_commands
            self._finished_commands = []
            try:
                await self._store.append(
                    services.Topic.COMMANDS,
                    self.partition,
                    [services.KeyedRecord("j" + job_id, b"") for job_id in keys],
                )
            except errors.ClementinesparError:
                self._finished_commands.extend(keys)  # deleted with the next ones
        expired = [
            job_id
            for job_id, job in self.jobs_by_id.items()
            if job.is_final_stored and now_ms - job.final_ms > STATUS_RETENTION_MS
        ]
        for job_id in expired:
            del self.jobs_by_id[job_id]
            self._cancelled_ids.discard(job_id)
        if expired:
            await self._append(
                [services.KeyedRecord("p" + job_id, b"") for job_id in expired]
            )

    # Commands.

    def accept_stored_command(self, record: services.KeyedRecord) -> None:
        """Apply a command that was stored just now, before it is read back."""
        if self.is_loaded and not self.is_lost:
            self._apply_commands([record])

    def _apply_commands(self, records: list[services.KeyedRecord]) -> None:
        for record in records:
            kind, job_id = record.key[:1], record.key[1:]
            if not record.value:
                continue
            if kind == "j" and job_id not in self.jobs_by_id:
                self._add_job(job_id, record.value)
        for record in records:
            if record.key[:1] == "c" and record.value:
                self._cancel(record.key[1:])

    def _add_job(self, job_id: str, value: bytes) -> None:
        try:
            job = state.JobProgress(state.decode_spec(job_id, value))
        except state.DECODING_ERRORS as error:
            telemetry.log_invalid_entry(self._log_event, "j" + job_id, error)
            return
        self._set_deadline(job)
        self.jobs_by_id[job_id] = job
        self._active[job_id] = job
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
            self._finish_job(
                job, model.JobState.CANCELLED, "cancelled before it was submitted"
            )
        self._mark_dirty(job)
        self._flush_wanted.set()

    def _cancel(self, job_id: str) -> None:
        self._cancelled_ids.add(job_id)
        job = self.jobs_by_id.get(job_id)
        if job is not None and not job.is_final:
            self._finish_job(job, model.JobState.CANCELLED, "cancelled by its caller")

    def _set_deadline(self, job: state.JobProgress) -> None:
        loop = asyncio.get_running_loop()
        age_s = max(0.0, time.time() - job.spec.accepted_ms / 1000)
        objective_s = (
            job.spec.stretch * job.remaining_ms(self._run_times.estimate_ms)
            + job.spec.objective_ms
        ) / 1000
        job.deadline = loop.time() - age_s + objective_s

    # Ends of runs.

    def _record_failure(
        self,
        session: worker_session.WorkerSession,
        job: state.JobProgress,
        step: state.StepState,
        task: state.TaskState,
        end: model.EndedTask,
    ) -> None:
        if end.run in task.failed_runs:
            return
        task.failed_runs.add(end.run)
        task.failed_on.add(session.entry.worker_id)
        if session.record_outcome(job.spec.job_id, True):
            self._log_event(
                "worker_ejected", worker=session.entry.worker_id, reason="failures"
            )
        attempts = len(task.failed_runs)
        if step.spec.is_gang:
            attempts = len(set().union(*(t.failed_runs for t in step.tasks)))
        if not step.spec.is_lasting and attempts >= job.spec.max_attempts:
            self._finish_job(
                job, model.JobState.FAILED, "a task reached its limit of attempts"
            )

    def _finish_gang(
        self, job: state.JobProgress, step: state.StepState, run: int
    ) -> None:
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
            loop.call_later(delay_s, self._schedule_wanted.set)

    def _stop_copies(self, task: state.TaskState, keep_run: int = -1) -> None:
        if not task.open_runs:
            return
        for session in self.sessions_by_id.values():
            for run in list(session.runs.values()):
                if run.key == task.key and run.number != keep_run:
                    session.stop(run, "another copy of the task is done")

    def _finish_occurrences(self, job: state.JobProgress) -> None:
        for number, occurrence in list(job.occurrences.items()):
            if occurrence.is_done and not job.is_lasting:
                del job.occurrences[number]
                job.finished_occurrences += 1
        wanted = job.spec.occurrences or 1
        if job.finished_occurrences >= wanted:
            self._finish_job(job, model.JobState.DONE, "all tasks are done")

    def _finish_job(
        self, job: state.JobProgress, final: model.JobState, reason: str
    ) -> None:
        job.state = final
        job.final_ms = int(time.time() * 1000)
        self._active.pop(job.spec.job_id, None)
        self._log_event(
            "job_final",
            job=job.spec.job_id,
            state=final.value,
            reason=reason,
            age_ms=job.final_ms - job.spec.accepted_ms,
        )
        self.metrics.observe_job(final.value, job.final_ms - job.spec.accepted_ms)
        if final is not model.JobState.DONE:
            for session in self.sessions_by_id.values():
                for run in list(session.runs.values()):
                    if run.key.job_id == job.spec.job_id:
                        session.stop(run, f"its job is {final.value}")
        job.occurrences.clear()
        self._tickets.drop_job(job.spec.job_id)
        self._mark_dirty(job)
        self._flush_wanted.set()

    def _give_up(self, job: state.JobProgress) -> None:
        self._finish_job(
            job, model.JobState.FAILED, "its task crashed too many workers"
        )

    def _store_soon(self, job: state.JobProgress) -> None:
        self._mark_dirty(job)
        self._flush_wanted.set()

    def _mark_dirty(self, job: state.JobProgress) -> None:
        self._dirty[job.spec.job_id] = job

    # Placement.

    def _place_tasks(self) -> None:
        if not self.is_loaded or self.is_lost or self.confirmed_at() is None:
            return
        loop = asyncio.get_running_loop()
        now = loop.time()
        is_settled = self._worker_use.is_settled()
        usable = [
            session
            for session in self.sessions_by_id.values()
            if session.can_take(now)
            and session.entry.worker_id in self._worker_use.stored
        ]
        if not usable:
            return
        waiting = [
            job
            for job in self._active.values()
            if job.is_adopted
            and (is_settled or job.adopted_epoch == self.epoch)
            and crash_counts.may_start(job)
            and any(s.waiting for o in job.occurrences.values() for s in o.steps)
        ]
        estimate_ms = self._run_times.estimate_ms
        waiting.sort(key=lambda job: placement.rank(job, now, estimate_ms))
        free_capacity_by_pool: dict[str, placement.FreeCapacity] = {}
        for pool in {job.spec.pool for job in waiting}:
            free_capacity_by_pool[pool] = placement.FreeCapacity(
                [session for session in usable if session.entry.pool == pool],
                self._neighbours.find_model(pool),
            )
        for job in waiting:
            self._placer.place(job, free_capacity_by_pool[job.spec.pool], now)

    # Workers.

    def _refresh_sessions(self) -> None:
        if not self._directory.is_loaded or self.is_lost:
            return
        for entry in self._directory.by_id.values():
            session = self.sessions_by_id.get(entry.worker_id)
            if not self._owns_pool(entry.pool):
                if session is not None:
                    session.is_listed = False
                continue
            if session is None:
                session = worker_session.WorkerSession(
                    entry,
                    self.epoch,
                    self._lease_s,
                    self._worker_use.previous_lease_end(entry.worker_id),
                    self._workers,
                    self,
                    self._log_event,
                )
                session.is_evacuating = entry.worker_id in self.evacuating
                self.sessions_by_id[entry.worker_id] = session
                session.open()
            elif session.entry is not entry:
                session.update_entry(entry)
            session.is_listed = True
        now = asyncio.get_running_loop().time()
        for worker_id, session in list(self.sessions_by_id.items()):
            if worker_id in self._directory.by_id:
                continue
            session.is_listed = False
            is_expired = now > session.lease_bound + worker_session.LEASE_MARGIN_S
            is_unresponsive = (
                now - session.last_contact > worker_session.UNRESPONSIVE_AFTER_S
            )
            if is_expired and is_unresponsive and not session.runs:
                session.close()
                del self.sessions_by_id[worker_id]
                self._worker_use.remove(worker_id)

    def _release_workers(self) -> None:
        """Remove idle and unresponsive workers from those recorded as in use.

        The host of an idle worker may be taken away, and the next owner would wait for
        its lease although nothing runs there. The lease of an unresponsive worker is
        not extended, so the next owner waits only for what is left of it.
        """
        released = {
            worker_id
            for worker_id, session in self.sessions_by_id.items()
            if session.is_released()
        }
        for worker_id in released & self._worker_use.in_use:
            self._worker_use.remove(worker_id)
            self._flush_wanted.set()
        for worker_id, session in self.sessions_by_id.items():
            if worker_id in self._worker_use.in_use and not session.is_responsive():
                end = session.lease_bound + worker_session.LEASE_MARGIN_S
                self._worker_use.release_silent(worker_id, end)
                self._flush_wanted.set()

    def _find_silent_workers(self) -> dict[str, float]:
        """Return the silent workers that hold up tasks, as the death watch needs it."""
        known_since = dict.fromkeys(self._worker_use.find_unsettled(), self._loaded_at)
        known_since.pop(worker_use.ANY_WORKER, None)
        for worker_id, session in self.sessions_by_id.items():
            if session.is_silent and not session.is_dead and session.runs:
                known_since[worker_id] = session.born_seen_at
        return known_since

    def _find_responsive_workers(self) -> set[str]:
        return {
            worker_id
            for worker_id, session in self.sessions_by_id.items()
            if session.has_answered and not session.is_silent
        }

    def _on_worker_death(self, worker_id: str) -> None:
        """Free the tasks of a worker that the platform reports as ended."""
        session = self.sessions_by_id.get(worker_id)
        self._log_event(
            "worker_dead",
            worker=worker_id,
            open_runs=0 if session is None else len(session.runs),
        )
        self._worker_use.settle(worker_id)
        self._crash_watch.on_death(worker_id)
        if session is not None:
            session.drop_ended()
        self._release_workers()
        self._schedule_wanted.set()

    # Store.

    def _owner_record(self) -> services.KeyedRecord:
        return services.KeyedRecord("owner", b"%d" % self.epoch)

    async def _append(self, records: list[services.KeyedRecord]) -> None:
        """Append progress as the owner; never returns once the owner is fenced out."""
        try:
            await self._log.append(records)
        except errors.ClementinesparError:
            self.mark_lost("the store has seen a later owner")
            await asyncio.Event().wait()  # until the tasks of this owner are cancelled

    async def _retry_read(
        self, call: Callable[[], Awaitable[services.RecordPage]]
    ) -> services.RecordPage:
        while True:
            try:
                return await call()
            except errors.ClementinesparError as error:
                self._log_event("read_retried", code=int(error.code))
            await asyncio.sleep(STORE_RETRY_S)

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
                group.create_task(self.follow_commands())
                group.create_task(self.write_progress())
                group.create_task(self.schedule())
                group.create_task(self.run_housekeeping())
                group.create_task(self._death_watch.run())
        except Exception as error:
            self.has_failed = True
            telemetry.log_failure(self._log_event, self.partition, error)
            self.mark_lost("an unexpected error")

    def close(self) -> None:
        """Close all sessions.

        Runs go on until the next owner decides about them or their leases end.
        """
        self.is_lost = True
        self._unsubscribe()
        self._tickets.close()
        self._neighbours.close()
        for session in self.sessions_by_id.values():
            session.close()


def _count_hosts_of_lasting(step: state.StepState) -> int:
    """Return the smallest number of hosts that can hold the tasks of a lasting step."""
    if not step.spec.is_lasting:
        return 0
    if not step.spec.max_per_worker:
        return 1
    return math.ceil(len(step.tasks) / step.spec.max_per_worker)


def _do_nothing() -> None:
    """Stand in for `PoolOwner._unsubscribe` until the owner has subscribed."""


@contextlib.asynccontextmanager
async def own_partition(owner: PoolOwner) -> AsyncIterator[None]:
    """Run an owner inside the context and close it at the end."""
    async with background.running(owner.run()):
        try:
            yield
        finally:
            owner.close()
