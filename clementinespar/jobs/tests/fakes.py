"""Fakes of the platform services, with the faults that these may have.

They follow the published protocol: fences, leases on the worker's own clock, ends that
are listed until they are acknowledged, appends that may take effect without an answer.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from clementinespar import codes, errors, http_calls
from clementinespar.jobs import model, services, worker_ends
from clementinespar.jobs.tests import fake_worker


def ignore_event(event: str, **fields: object) -> None:
    """Discard an event, as `services.EventLog`."""


CALL_TIMEOUT_S = 1.0  # a call without an answer is given up after this long
ORDER_TIMEOUT_S = 0.5  # the same of a call of a worker


async def _time_out_call() -> None:
    await asyncio.sleep(CALL_TIMEOUT_S)
    raise errors.ClementinesparError(codes.ResultCode.STORE_UNANSWERED, "no answer")


class FakeStore:
    """`services.JobStore` in memory."""

    is_down: bool
    loses_answers: bool  # appends are done, but not answered
    drops_calls: bool  # appends are neither done nor answered
    late_s: float  # appends get no answer and are done this much later; 0: at once
    cut_epochs: set[int]  # owners whose appends get no answer and do nothing
    # Time for which an append occupies its partition; the store is slow if it is long.
    append_s: float
    fenced_append_s: float  # time that an append of an owner takes
    values: dict[tuple[services.Topic, int], dict[str, bytes]]

    def __init__(self) -> None:
        self.is_down = False
        self.loses_answers = False
        self.drops_calls = False
        self.late_s = 0.0
        self.cut_epochs = set()
        self.append_s = 0.0
        self.fenced_append_s = 0.003
        self._free_at: dict[tuple[services.Topic, int], float] = {}
        self.values = collections.defaultdict(dict)
        self._log: dict[tuple[services.Topic, int], list[services.KeyedRecord]] = (
            collections.defaultdict(list)
        )
        self._fences: dict[tuple[services.Topic, int], tuple[int, int]] = {}

    def _check(self) -> None:
        if self.is_down:
            raise errors.ClementinesparError(codes.ResultCode.STORE_REFUSED, "down")

    def _check_answer(self) -> None:
        if self.loses_answers:
            raise errors.ClementinesparError(codes.ResultCode.STORE_UNANSWERED, "lost")

    async def append(
        self,
        topic: services.Topic,
        partition: int,
        records: Sequence[services.KeyedRecord],
    ) -> None:
        await asyncio.sleep(0.003)
        self._check()
        if self.drops_calls:
            await _time_out_call()
        if self.late_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_s, self._apply, topic, partition, records)
            await _time_out_call()
        await self._queue_append(topic, partition)
        self._apply(topic, partition, records)
        self._check_answer()

    async def _queue_append(self, topic: services.Topic, partition: int) -> None:
        """Wait for the earlier appends of the partition; refuse beyond 2 s of them."""
        now = asyncio.get_running_loop().time()
        free_at = max(now, self._free_at.get((topic, partition), 0.0))
        if free_at - now > 2.0:
            raise errors.ClementinesparError(codes.ResultCode.STORE_REFUSED, "busy")
        self._free_at[topic, partition] = free_at + self.append_s
        await asyncio.sleep(free_at + self.append_s - now)

    async def append_fenced(
        self,
        topic: services.Topic,
        partition: int,
        epoch: int,
        sequence: int,
        records: Sequence[services.KeyedRecord],
    ) -> None:
        await asyncio.sleep(self.fenced_append_s)
        self._check()
        if epoch in self.cut_epochs:
            await _time_out_call()
        stored_epoch, stored_sequence = self._fences.get((topic, partition), (0, -1))
        if epoch < stored_epoch:
            raise errors.ClementinesparError(codes.ResultCode.STORE_FENCED, "epoch")
        if epoch > stored_epoch or sequence == stored_sequence + 1:
            self._fences[topic, partition] = (epoch, sequence)
            self._apply(topic, partition, records)
        elif sequence > stored_sequence + 1:
            raise errors.ClementinesparError(codes.ResultCode.STORE_FENCED, "sequence")
        self._check_answer()

    def _apply(
        self,
        topic: services.Topic,
        partition: int,
        records: Sequence[services.KeyedRecord],
    ) -> None:
        for record in records:
            self._log[topic, partition].append(record)
            if record.value:
                self.values[topic, partition][record.key] = record.value
            else:
                self.values[topic, partition].pop(record.key, None)

    async def list_newest(
        self, topic: services.Topic, partition: int
    ) -> services.RecordPage:
        await asyncio.sleep(0.003)
        self._check()
        return services.RecordPage(
            [
                services.KeyedRecord(key, value)
                for key, value in self.values[topic, partition].items()
            ],
            len(self._log[topic, partition]),
        )

    async def read(
        self, topic: services.Topic, partition: int, offset: int, wait_s: float
    ) -> services.RecordPage:
        waited = 0.0
        while True:
            await asyncio.sleep(0.005)
            waited += 0.005
            self._check()
            records = self._log[topic, partition][offset:]
            if records or waited >= wait_s:
                return services.RecordPage(list(records), offset + len(records))


class FakeWorkers:
    """Fake workers.

    They are a `services.WorkerClient`, a `services.WorkerDirectory` and the
    `services.HostService` of the hosts of these workers.
    """

    by_id: dict[str, model.WorkerEntry]
    workers: dict[str, fake_worker.FakeWorker]
    starts: list[tuple[model.TaskKey, int, str]]
    violations: list[str]
    task_s: float  # run time of tasks that are not lasting
    is_loaded: bool
    failing_jobs: set[str]  # ids of jobs whose tasks end as failed
    deadly: set[tuple[str, int]]  # job ids and indexes of tasks that crash workers
    deadly_after_s: float  # after the start of such a task; 0: before its answer
    back_after_s: float  # after the crash, under the same id
    cut_for: set[tuple[str, int]]  # workers and the fences whose calls get no answer
    lists_hosts: bool  # else the calls for the list fail
    list_s: float  # time from the snapshot of the list to its answer
    list_lag_s: float  # a worker that is back is listed this much later
    # By worker: starts and renewals get no answer and are carried out this much later,
    # by the life that the worker then has.
    late_s: dict[str, float]
    start_answer_s: float  # time from a start to its answer, which a crash leaves
    host_lists: int  # that were asked for
    omitted_hosts: set[str]  # ids of workers whose hosts the list leaves out

    def __init__(self, count: int = 2, pool: str = "quotes", cpu: int = 4000) -> None:
        self.by_id = {}
        self.workers = {}
        self.starts = []
        self.violations = []
        self.task_s = 0.5
        self.is_loaded = True
        self.failing_jobs = set()
        self.deadly = set()
        self.deadly_after_s = 0.0
        self.back_after_s = 3.0
        self.cut_for = set()
        self.lists_hosts = True
        self.list_s = 0.0
        self.list_lag_s = 0.0
        self.late_s = {}
        self.start_answer_s = 0.0
        self.host_lists = 0
        self.omitted_hosts = set()
        self._listeners: list[Callable[[], None]] = []
        self.dropped_starts: dict[str, model.StartOrder] = {}  # the last by worker
        self.acknowledged_done: set[model.TaskKey] = set()
        self.cpu_by_step: dict[tuple[str, int], int] = {}
        self.lasting_jobs: set[str] = set()
        # Whether a worker accepts the ticket of a start.
        self.accepts_ticket: Callable[
            [fake_worker.FakeWorker, model.StartOrder], bool
        ] = lambda worker, order: True
        # Called with each task that a worker starts, before it counts as running.
        self.on_start: Callable[[model.TaskKey], None] = lambda task: None
        for number in range(count):
            self.add(f"{pool}-{number}", pool, cpu)

    def add(self, worker_id: str, pool: str, cpu: int = 4000) -> None:
        entry = model.WorkerEntry(
            worker_id, pool, "127.0.0.1:1", "a", False, cpu, 32_000, 0, (), "r", 1
        )
        self.by_id[worker_id] = entry
        self.workers[worker_id] = fake_worker.FakeWorker(entry)

    def subscribe(self, listener: Callable[[], None]) -> Callable[[], None]:
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    async def refresh(self) -> None:
        """Do nothing; `by_id` has all entries that are written."""

    def _write(self, entry: model.WorkerEntry) -> None:
        self.by_id[entry.worker_id] = entry
        for listener in tuple(self._listeners):
            listener()

    def drain(self, worker_id: str) -> None:
        """Let a worker report that it is draining."""
        entry = self.by_id[worker_id]
        self.by_id[worker_id] = dataclasses.replace(entry, is_draining=True)

    def resize(self, worker_id: str, cpu: int) -> None:
        """Change the capacity of a worker, which says so in its entry."""
        entry = dataclasses.replace(self.by_id[worker_id], cpu_millis=cpu)
        self.by_id[worker_id] = entry
        self.workers[worker_id].entry = entry

    def end(self, worker_id: str) -> None:
        """End a worker, and with it all that runs there."""
        worker = self.workers[worker_id]
        worker.running.clear()
        worker.is_unresponsive = True
        worker.is_dead = True

    def fail_runs(self, worker_id: str) -> None:
        """End all runs on a worker as failed."""
        worker = self.workers[worker_id]
        for task, (run, _) in list(worker.running.items()):
            worker.end_run(task, run, model.EndKind.FAILED)

    def _schedule_crash(self, worker_id: str) -> None:
        """Crash a worker that has started a deadly task; it is back later."""
        loop = asyncio.get_running_loop()
        if self.deadly_after_s:
            loop.call_later(self.deadly_after_s, self.end, worker_id)
        else:
            self.end(worker_id)
        loop.call_later(self.deadly_after_s + self.back_after_s, self.crash, worker_id)

    async def list_hosts(self) -> list[model.HostEntry]:
        await asyncio.sleep(0.005)
        self.host_lists += 1
        if not self.lists_hosts:
            raise errors.PlatformUnavailableError("the platform does not answer")
        now = asyncio.get_running_loop().time()
        hosts = []
        for worker_id, worker in self.workers.items():
            if worker_id in self.omitted_hosts:
                continue
            is_up = now >= worker.listed_from and not worker.is_dead
            hosts.append(
                model.HostEntry(
                    f"host-{worker_id}",
                    worker.entry.pool,
                    "up" if is_up else "down",
                    "a",
                    "r",
                    worker_id if is_up else "",
                )
            )
        await asyncio.sleep(self.list_s)
        return hosts

    async def move(
        self, host_id: str, pool: str, fence: int, may_send: Callable[[], bool]
    ) -> bool:
        return False

    async def start_maintenance(
        self, host_id: str, wave: int, fence: int, may_send: Callable[[], bool]
    ) -> bool:
        return False

    def crash(self, worker_id: str, entry_lag_s: float = 0.0, **changes: Any) -> None:
        """Restart a worker under its id, without its runs and ends; its clock is 0.

        Parameters
        ----------
        entry_lag_s : float, optional
            Time after which its entry is that of its new life.
        **changes
            Fields of `model.WorkerEntry` that differ in its new life.
        """
        worker = self.workers[worker_id]
        born_ms = worker.born_ms + 1
        entry = dataclasses.replace(worker.entry, born_ms=born_ms, **changes)
        self.workers[worker_id] = fake_worker.FakeWorker(
            entry, born_ms, clock_zero=None
        )
        if entry_lag_s:
            loop = asyncio.get_running_loop()
            loop.call_later(entry_lag_s, self._write, entry)
        elif worker_id in self.by_id:
            self._write(entry)
        if self.list_lag_s:
            now = asyncio.get_running_loop().time()
            self.workers[worker_id].listed_from = now + self.list_lag_s

    def advance(self, worker: fake_worker.FakeWorker) -> None:
        """End runs of a worker whose lease or run time has ended."""
        now = asyncio.get_running_loop().time()
        for task, (run, ends_at) in list(worker.running.items()):
            is_lapsed = worker.lease_end() < min(now, ends_at)
            if is_lapsed:
                worker.end_run(task, run, model.EndKind.LAPSED)
            elif ends_at <= now:
                is_failing = task.job_id in self.failing_jobs
                kind = model.EndKind.FAILED if is_failing else worker.end_kind
                worker.end_run(task, run, kind)

    async def _reach(self, worker_id: str, fence: int) -> fake_worker.FakeWorker:
        await asyncio.sleep(0.002)
        worker = self.workers[worker_id]
        self.advance(worker)
        if worker.is_unresponsive or (worker_id, fence) in self.cut_for:
            await asyncio.sleep(ORDER_TIMEOUT_S)
            raise http_calls.CallUnansweredError("the worker does not answer")
        return worker

    async def _delay(
        self, worker_id: str, act: Callable[[fake_worker.FakeWorker], object]
    ) -> None:
        """Carry out a call late and without an answer, as `late_s` says."""
        late_s = self.late_s.get(worker_id)
        if late_s is None:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(late_s, lambda: act(self.workers[worker_id]))
        await asyncio.sleep(ORDER_TIMEOUT_S)
        raise http_calls.CallUnansweredError("the call is late")

    def _check_answer(self, worker: fake_worker.FakeWorker) -> None:
        if worker.loses_answers:
            raise http_calls.CallUnansweredError("the answer was lost")

    async def start(
        self, worker: model.WorkerEntry, order: model.StartOrder
    ) -> model.StartAnswer:
        await self._delay(worker.worker_id, lambda fake: self._start(fake, order))
        fake = await self._reach(worker.worker_id, order.fence)
        if fake.drops_starts:
            self.dropped_starts[worker.worker_id] = order
            raise http_calls.CallUnansweredError("the start was lost")
        answer = self._start(fake, order)
        await asyncio.sleep(self.start_answer_s)
        if answer.result is model.StartResult.STARTED:
            if fake.is_dead:
                raise http_calls.CallUnansweredError("the worker crashed")
            self._check_answer(fake)
        return answer

    def _start(
        self, fake: fake_worker.FakeWorker, order: model.StartOrder
    ) -> model.StartAnswer:
        self.advance(fake)
        now = asyncio.get_running_loop().time()
        clock_ms = fake.clock_ms()
        if fake.is_unhealthy:
            return model.StartAnswer(model.StartResult.UNHEALTHY, clock_ms)
        if not fake.accepts(order.fence):
            return model.StartAnswer(model.StartResult.FENCED, clock_ms)
        fake.extend_lease(order.lease_until_ms)
        if order.lease_until_ms <= clock_ms:
            return model.StartAnswer(model.StartResult.LEASE_LATE, clock_ms)
        if order.run <= fake.ended_runs.get(order.task, 0):
            return model.StartAnswer(model.StartResult.STALE_RUN, clock_ms)
        if not self.accepts_ticket(fake, order):
            return model.StartAnswer(model.StartResult.NO_TICKET, clock_ms)
        if order.task not in fake.running:
            self._record_start(fake, order.task, order.run)
            lasts = order.task.job_id in self.lasting_jobs
            fake.running[order.task] = (
                order.run,
                float("inf") if lasts else now + self.task_s,
            )
            if (order.task.job_id, order.task.index) in self.deadly:
                self._schedule_crash(fake.entry.worker_id)
        return model.StartAnswer(model.StartResult.STARTED, clock_ms)

    def _record_start(
        self, fake: fake_worker.FakeWorker, task: model.TaskKey, run: int
    ) -> None:
        for other in self.workers.values():
            self.advance(other)
            if task in other.running:
                self.violations.append(f"{task} runs twice")
        if task in self.acknowledged_done:
            self.violations.append(f"{task} starts after its end was acknowledged")
        used = sum(
            self.cpu_by_step.get((key.job_id, key.step), 0)
            for key in (*fake.running, task)
        )
        if used > fake.entry.cpu_millis:
            self.violations.append(f"{fake.entry.worker_id} is over its capacity")
        self.starts.append((task, run, fake.entry.worker_id))
        self.on_start(task)

    async def stop(
        self, worker: model.WorkerEntry, task: model.TaskKey, run: int, fence: int
    ) -> bool:
        fake = await self._reach(worker.worker_id, fence)
        if not fake.accepts(fence):
            return False
        running = fake.running.get(task)
        if running is not None and running[0] == run:
            fake.end_run(task, run, model.EndKind.STOPPED)
        fake.ended_runs[task] = max(run, fake.ended_runs.get(task, 0))
        self._check_answer(fake)
        return True

    async def renew(
        self,
        worker: model.WorkerEntry,
        fence: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> model.WorkerReport | None:
        await self._delay(
            worker.worker_id, lambda fake: self._renew(fake, fence, lease_until_ms)
        )
        fake = await self._reach(worker.worker_id, fence)
        if not self._renew(fake, fence, lease_until_ms):
            return None
        for end in fake.ended:
            if end.number <= acknowledged and end.kind is model.EndKind.DONE:
                self.acknowledged_done.add(end.task)
        if not fake.loses_acknowledgements:
            fake.ended = [end for end in fake.ended if end.number > acknowledged]
        waited = 0
        newest = fake.next_number
        while fake.next_number == newest and waited < wait_ms:
            await asyncio.sleep(0.02)
            waited += 20
            if self.workers[worker.worker_id] is not fake:
                raise http_calls.CallUnansweredError("the worker crashed")
            self.advance(fake)
        if fake.is_unresponsive or fake.loses_answers:
            raise http_calls.CallUnansweredError("the worker does not answer")
        now = asyncio.get_running_loop().time()
        return model.WorkerReport(
            fake.clock_ms(),
            fake.born_ms,
            [
                # The progress changes with time, so that no run counts as stuck.
                model.RunningTask(task, run, "", int(now * 10) % 100, 0)
                if task.job_id not in self.lasting_jobs
                else model.RunningTask(task, run, "", 100, 0)
                for task, (run, _) in fake.running.items()
            ],
            fake.ended[: worker_ends.REPORTED_ENDS],
        )

    def _renew(
        self, fake: fake_worker.FakeWorker, fence: int, until_ms: int | None
    ) -> bool:
        """Carry out a renewal; False if it is refused."""
        self.advance(fake)
        if not fake.accepts(fence):
            return False
        if until_ms is not None:
            fake.extend_lease(until_ms)
        return True

    async def pace(
        self,
        worker: model.WorkerEntry,
        task: model.TaskKey,
        run: int,
        percent: int,
        fence: int,
    ) -> bool:
        return True


class FakeGroup:
    """`services.OwnershipGroup` with one member, whose assignment the test sets."""

    member: str
    assignment: services.Assignment
    ttl_s: float
    is_down: bool
    drops_calls: bool
    owners: dict[int, str]
    leaves: int  # calls of `leave`
    lost_leaves: int  # next calls of `leave` that do nothing and are not answered

    def __init__(self, partitions: frozenset[int], generation: int = 1) -> None:
        self.member = "10.0.0.100:1/1/1000"
        self.assignment = services.Assignment(generation, partitions)
        self.ttl_s = 1.5
        self.is_down = False
        self.drops_calls = False
        self.owners = {}
        self.leaves = 0
        self.lost_leaves = 0

    async def join(self, generation: int) -> services.Assignment:
        await asyncio.sleep(0.002)
        if self.is_down:
            raise errors.ClementinesparError(codes.ResultCode.STORE_REFUSED, "down")
        if self.drops_calls:
            await _time_out_call()
        return self.assignment

    async def leave(self) -> None:
        """Count the call; the test sets the next assignment."""
        self.leaves += 1
        if self.lost_leaves:
            self.lost_leaves -= 1
            await _time_out_call()

    async def list_owners(self) -> Mapping[int, str]:
        if self.drops_calls:
            await _time_out_call()
        return self.owners
