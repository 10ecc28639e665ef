"""Session with one worker: renews its lease, reads its reports and tracks its runs.

`worker_orders.py` sends its orders. A start without an answer has not failed: its run
counts as executing until the worker lists it, or until a stop of the same run was
answered and a later report does not list it, or until the worker's lease has certainly
ended.
"""

import asyncio
from collections.abc import Callable

from clementinespar import background, errors
from clementinespar.jobs import (
    lost_runs,
    model,
    passed_over,
    services,
    team_use,
    telemetry,
    worker_ends,
    worker_lease,
    worker_orders,
    worker_run,
)

RENEW_WAIT_MS = 800  # a renewal waits at the worker this long for a run to end
SETTLE_WAIT_MS = 60  # shorter wait while a start or a stop has no answer
RENEW_SPACING_S = 0.025  # batches ends, since each renewal has a cost
RETRY_DELAY_S = 0.15  # after a renewal without an answer
UNRESPONSIVE_AFTER_S = 1.6  # no new work for a worker without contact for this long
FAILURE_PAUSE_S = 0.5  # after an unexpected error, which may come again
# A worker is ejected after failures of this many jobs without a success in between.
EJECT_FAILED_JOBS = 2
EJECT_S = 2.5
# A worker that becomes responsive again repeatedly within the window gets no new work
# for 1, 2, then 4 s. Being idle, it would otherwise attract work at each return.
FLAP_WINDOW_S = 15.0
FLAP_PAUSE_MAX_S = 4.0
# Looking up a member of an enumeration costs as much as the comparison before it, and
# a round of placement makes thousands of these comparisons.
_CORES = passed_over.Reason.CORES
_MEMORY = passed_over.Reason.MEMORY
_ACCELERATORS = passed_over.Reason.ACCELERATORS
_LABEL = passed_over.Reason.LABEL


class WorkerSession:
    """State and connections of one worker for the owner of its pool."""

    entry: model.WorkerEntry  # may be of an earlier or a later life than the reports
    is_draining: bool  # the life of the newest report is
    fence: int
    lease: worker_lease.WorkerLease
    runs: dict[tuple[model.TaskKey, int], worker_run.Run]
    free_cpu: int
    free_memory: int
    free_gpus: int
    # It knows the fence, so it refuses orders of previous owners; its ends are known.
    has_answered: bool
    is_listed: bool  # the directory lists the worker
    is_silent: bool  # the last renewal was not answered
    _silent_since: float  # event-loop time, if it is silent
    is_dead: bool  # reported as ended since its last answer
    has_runs_at_risk: bool  # some are stored as such
    is_awaited: bool  # a task waits until it is known whether the worker has died
    isolated_until: float  # event-loop time before which it gets no other task
    born_seen_at: float  # event-loop time at which this life of it was first seen
    is_evacuating: bool
    last_contact: float  # event-loop time of the last report
    alive_at: float  # event-loop time of the last report or answer to a start
    ends: worker_ends.WorkerEnds
    born_ms: int
    failed_jobs: set[str]
    ejected_until: float
    predictions_paused_until: float  # event-loop time; paces change by fixed steps
    _client: services.WorkerClient
    _events: worker_run.RunEvents
    _log_event: services.EventLog
    _task: asyncio.Task[None] | None
    _orders: worker_orders.WorkerOrders
    _lost_runs: lost_runs.LostRuns
    _returns: list[float]  # event-loop times at which it became responsive again
    _team_use: team_use.TeamUse  # of all workers of the partition

    def __init__(
        self,
        entry: model.WorkerEntry,
        fence: int,
        lease_max_s: float,
        previous_lease_end: float,
        client: services.WorkerClient,
        events: worker_run.RunEvents,
        log_event: services.EventLog,
        use: team_use.TeamUse | None = None,
    ) -> None:
        self.entry = entry
        self.is_draining = entry.is_draining
        self.fence = fence
        self.lease = worker_lease.WorkerLease(
            entry.worker_id, lease_max_s, previous_lease_end, events
        )
        self.runs = {}
        self.free_cpu = entry.cpu_millis
        self.free_memory = entry.memory_mb
        self.free_gpus = entry.gpus
        self.has_answered = False
        self.is_listed = True
        self.is_silent = False
        self._silent_since = 0.0
        self.is_dead = False
        self.has_runs_at_risk = False
        self.is_awaited = False
        self.isolated_until = 0.0
        self.born_seen_at = asyncio.get_running_loop().time()
        self.is_evacuating = False
        self.last_contact = 0.0
        self.alive_at = 0.0
        self.ends = worker_ends.WorkerEnds(entry.worker_id, self._on_end, log_event)
        self.born_ms = 0
        self.failed_jobs = set()
        self.ejected_until = 0.0
        self.predictions_paused_until = 0.0
        self._client = client
        self._events = events
        self._log_event = log_event
        self._task = None
        self._orders = worker_orders.WorkerOrders(self, client, events, log_event)
        self._lost_runs = lost_runs.LostRuns(self, events)
        self._returns = []
        self._team_use = team_use.TeamUse() if use is None else use

    def open(self) -> None:
        """Start the background task that renews the lease."""
        self._task = asyncio.create_task(
            background.keep_running(
                self._renew_lease, self._on_failure, FAILURE_PAUSE_S
            )
        )

    def close(self) -> None:
        """Stop calling the worker; its runs go on until the lease ends."""
        if self._task is not None:
            self._task.cancel()
        self._orders.close()

    async def wait_closed(self) -> None:
        """Wait until the calls that `close` has cancelled have ended."""
        renewals = () if self._task is None else (self._task,)
        await asyncio.gather(*renewals, *self._orders.pending(), return_exceptions=True)

    def mark_unresponsive(self) -> None:
        """Give the worker no new work until its next report."""
        now = asyncio.get_running_loop().time()
        self.last_contact = min(self.last_contact, now - UNRESPONSIVE_AFTER_S)

    def eject(self) -> None:
        """Give the worker no new work for some seconds."""
        self.ejected_until = asyncio.get_running_loop().time() + EJECT_S

    def can_take(self, now: float) -> bool:
        """Whether the worker may get new work."""
        return self.find_absence(now) is None

    def find_absence(self, now: float) -> passed_over.Reason | None:
        """Return why the worker gets no new work, or None if it may."""
        if not self.is_listed:
            return passed_over.Reason.UNLISTED
        if self.is_evacuating:
            return passed_over.Reason.EVACUATED
        if self.is_draining or self.entry.is_draining:
            return passed_over.Reason.DRAINING
        is_unresponsive = now - self.last_contact >= UNRESPONSIVE_AFTER_S
        if not self.has_answered or self.is_silent or self.is_dead or is_unresponsive:
            return passed_over.Reason.SILENT
        if not self.is_entry_current():
            return passed_over.Reason.RESTARTED
        return passed_over.Reason.EJECTED if now < self.ejected_until else None

    def is_entry_current(self) -> bool:
        """Whether the entry is of the life that the newest report is of.

        Pool, labels and capacity are those of one life.
        """
        return self.entry.born_ms == self.born_ms

    def is_responsive(self) -> bool:
        """Whether the worker has answered recently."""
        now = asyncio.get_running_loop().time()
        return now - self.last_contact < UNRESPONSIVE_AFTER_S

    def silent_since(self) -> float:
        """Return the event-loop time since which it is silent; now if it is not."""
        if self.is_silent:
            return self._silent_since
        return asyncio.get_running_loop().time()

    def is_released(self) -> bool:
        """Whether the worker has no runs and gets no new work at present."""
        return not self.runs and (
            self.is_evacuating or not self.is_listed or not self.is_responsive()
        )

    def update_entry(self, entry: model.WorkerEntry) -> None:
        """Take over a changed entry; the capacity may be below what is in use."""
        self.free_cpu += entry.cpu_millis - self.entry.cpu_millis
        self.free_memory += entry.memory_mb - self.entry.memory_mb
        self.free_gpus += entry.gpus - self.entry.gpus
        self.entry = entry
        if self.is_entry_current() or not self.born_ms:
            self.is_draining = entry.is_draining

    def fits(self, spec: model.StepSpec) -> bool:
        """Whether the free capacity is enough for one more task of a step."""
        return self.find_lack(spec) is None

    def find_lack(self, spec: model.StepSpec) -> passed_over.Reason | None:
        """Return what the worker lacks for one more task of a step, or None."""
        if spec.cpu_millis > self.free_cpu and not spec.is_filler:
            return _CORES
        if spec.memory_mb > self.free_memory:
            return _MEMORY
        if spec.gpus > self.free_gpus:
            return _ACCELERATORS
        if spec.label and spec.label not in self.entry.labels:
            return _LABEL
        return None

    def add_run(self, run: worker_run.Run) -> None:
        """Track a run and count its capacity as in use."""
        self.runs[(run.key, run.number)] = run
        self._team_use.add(run)
        if not run.spec.is_filler:
            self.free_cpu -= run.spec.cpu_millis
        self.free_memory -= run.spec.memory_mb
        self.free_gpus -= run.spec.gpus

    def drop_run(self, run: worker_run.Run) -> bool:
        """Stop tracking a run and free its capacity; False if it was not tracked."""
        if self.runs.pop((run.key, run.number), None) is None:
            return False
        self._team_use.drop(run)
        if not run.spec.is_filler:
            self.free_cpu += run.spec.cpu_millis
        self.free_memory += run.spec.memory_mb
        self.free_gpus += run.spec.gpus
        return True

    def start(
        self,
        run: worker_run.Run,
        payload: str,
        saved: str,
        on_sent: Callable[[], None],
        ticket: str = "",
    ) -> None:
        """Send the order to start a run, which must be tracked already."""
        self._orders.start(run, payload, saved, on_sent, ticket)

    def abandon(self, run: worker_run.Run, reason: str) -> None:
        """Drop a run whose start was not sent or not carried out."""
        self._lost_runs.abandon(run, reason)

    def drop_ended(self) -> None:
        """Drop the runs of a worker that has ended."""
        self.is_dead = True
        self._events.on_crash(self)
        self._lost_runs.drop_ended()
        if not self.runs:
            self.lease.end_now()

    def stop(self, run: worker_run.Run, reason: str) -> None:
        """Send the order to stop a run, unless it is being stopped already."""
        self._orders.stop(run, reason)

    def pace(self, run: worker_run.Run, percent: int) -> None:
        """Send the order to limit a run to a share of its speed, in percent."""
        self._orders.pace(run, percent)

    def find_lease_end(self) -> float:
        """Return the event-loop time by which the leases of all runs have ended."""
        return self.lease.find_end(
            all(map(self._lost_runs.is_in_known_life, self.runs.values()))
        )

    def describe_lease(self) -> dict[str, object]:
        """Return the fields of a log line that show what a decision relies on."""
        return {
            "epoch": self.fence,
            "born_ms": self.born_ms,
            **self.lease.describe(),
        }

    def _on_failure(self, error: Exception) -> None:
        """Give the worker no new work after an error in the handling of its report."""
        telemetry.log_unexpected(
            self._log_event, "renewal", error, worker=self.entry.worker_id
        )
        self.mark_unresponsive()
        self._lost_runs.drop_lapsed()

    async def _renew_lease(self) -> None:
        loop = asyncio.get_running_loop()
        failures = 0
        while True:
            sent_at = loop.time()
            wait_ms = RENEW_WAIT_MS
            if not self.has_answered:
                wait_ms = SETTLE_WAIT_MS if self.born_ms else 0
            elif any(
                run.status in (worker_run.RunStatus.OPEN, worker_run.RunStatus.STOPPING)
                for run in self.runs.values()
            ) or (self.runs and not self._events.may_lease(self.entry.worker_id)):
                wait_ms = SETTLE_WAIT_MS
            # Sent once, and again only after another answer: a worker that has
            # restarted numbers its ends anew and would forget the first ones.
            acknowledged = self.ends.acknowledged
            if failures or acknowledged <= self.ends.acknowledgement_seen:
                acknowledged = 0
            # An unresponsive worker gets no lease: a renewal without an answer may
            # still arrive, and the lease would never certainly end.
            grant = None if failures else self.lease.grant()
            try:
                report = await self._client.renew(
                    self.entry,
                    self.fence,
                    acknowledged,
                    None if grant is None else grant.until_ms,
                    0 if failures else wait_ms,
                )
            except errors.ClementinesparError as error:
                failures += 1
                if not self.is_silent:
                    self.is_silent = True
                    self._silent_since = loop.time()
                if failures in (1, 10):
                    self._log_event(
                        "worker_silent",
                        worker=self.entry.worker_id,
                        code=int(error.code),
                        failures=failures,
                        open_runs=len(self.runs),
                        error=error.message,
                    )
                self._events.on_unresponsive(self)
                self._lost_runs.drop_lapsed()
                await asyncio.sleep(RETRY_DELAY_S if failures < 20 else 0.5)
                continue
            if report is None:
                self._events.on_fenced()
                await asyncio.sleep(0.5)
                continue
            if failures:
                self._record_return(failures)
            failures = 0
            self.ends.note_seen(acknowledged)
            self._apply(report, sent_at)
            await asyncio.sleep(RENEW_SPACING_S)

    def _record_return(self, failures: int) -> None:
        """Pause new work for a worker that was unresponsive repeatedly."""
        now = asyncio.get_running_loop().time()
        self._returns = [at for at in self._returns if now - at < FLAP_WINDOW_S]
        pause_s = 0.0
        if self._returns:
            pause_s = min(FLAP_PAUSE_MAX_S, 2.0 ** (len(self._returns) - 1))
            self.ejected_until = max(self.ejected_until, now + pause_s)
        self._returns.append(now)
        self._log_event(
            "worker_back",
            worker=self.entry.worker_id,
            failures=failures,
            pause_s=pause_s,
        )

    def _apply(self, report: model.WorkerReport, sent_at: float) -> None:
        now = asyncio.get_running_loop().time()
        self.last_contact = now
        is_new_life = report.born_ms != self.born_ms
        if is_new_life:
            if self.born_ms:
                self._log_event(
                    "worker_reborn",
                    worker=self.entry.worker_id,
                    former_born_ms=self.born_ms,
                    entry_born_ms=self.entry.born_ms,
                    open_runs=len(self.runs),
                    **{**self.describe_lease(), "born_ms": report.born_ms},
                )
                self._events.on_crash(self)
                self.lease.begin_life()
            # A worker that was down when the session opened is new at its first answer.
            self.born_seen_at = now
            self.born_ms = report.born_ms
            self.is_draining = self.is_entry_current() and self.entry.is_draining
            self.ends.begin_life()
        self.lease.set_clock(report.clock_ms)
        self.alive_at = now
        self.is_silent = False
        self.is_dead = False
        self.ends.apply(report.ended)
        if self.ends.is_full():
            self.eject()
        is_complete = len(report.ended) < worker_ends.REPORTED_ENDS
        listed = set()
        for item in report.running:
            listed.add((item.task, item.run))
            run = self.runs.get((item.task, item.run))
            if run is None:
                run = self._events.on_unknown_run(self, item)
                if run is None:
                    spec = self._events.orphan_spec(item.task) or self._rest_step()
                    team = self._events.find_team(item.task.job_id)
                    run = worker_run.Run(item.task, item.run, spec, self, now, team)
                    run.status = worker_run.RunStatus.RUNNING
                    self.add_run(run)
                    self.stop(run, "not wanted by this owner")
                else:
                    self.add_run(run)
                    self._log_event(
                        "run_adopted",
                        job=run.key.job_id,
                        task=run.key.name_in_job,
                        run=run.number,
                        worker=self.entry.worker_id,
                        **self.describe_lease(),
                    )
            if not run.is_start_settled:
                run.is_start_settled = True
                self._events.on_begun(run)
            if run.status is worker_run.RunStatus.OPEN:
                run.status = worker_run.RunStatus.RUNNING
                run.answered_at = now
            if run.percent != item.percent:
                run.percent = item.percent
                run.percent_at = now
            run.usage = item.usage
        if is_new_life:
            self._orders.stop_unanswered_starts()
        if is_complete:
            self._lost_runs.settle_unlisted(listed, sent_at)
        # Ends that are not listed yet may be those of tasks that seem to wait.
        self.has_answered = self.has_answered or is_complete
        self._orders.resend_unanswered_stops()
        self._events.on_contact(self)

    def _on_end(self, end: model.EndedTask) -> bool:
        """Apply the end of a run; False if its effect cannot be stored yet."""
        run = self.runs.get((end.task, end.run))
        if run is not None:
            self.drop_run(run)
        return self._events.on_end(self, end, run)

    def _rest_step(self) -> model.StepSpec:
        """Return a step that takes all free capacity, for a run of unknown size.

        Until the run has been stopped, another start could exceed the capacity.
        """
        return model.StepSpec(
            1,
            cpu_millis=max(0, self.free_cpu),
            memory_mb=max(0, self.free_memory),
            gpus=max(0, self.free_gpus),
        )

    def record_outcome(self, job_id: str, is_failure: bool) -> bool:
        """Record the outcome of a run; True if a failure ejects the worker."""
        if not is_failure:
            self.failed_jobs.clear()
            return False
        self.failed_jobs.add(job_id)
        if len(self.failed_jobs) < EJECT_FAILED_JOBS:
            return False
        # One job stays counted, so that a failure of another job ejects again.
        self.failed_jobs = {job_id}
        self.eject()
        return True
