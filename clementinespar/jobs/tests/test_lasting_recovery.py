"""Lasting tasks under seeded series of worker losses and changes of owner."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest

from clementinespar import background
from clementinespar.jobs import pool_owner
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

SEEDS = 24
TASKS = 3
WORKERS = 8
SERIES_S = 20.0
CHECK_S = 0.05
# A lasting task may stand still for `RESTART_S` after its last run, and `ROOM_S` more
# while a worker has room for it. It counts if nothing was disturbed for `CALM_S`.
RESTART_S = 6.0
ROOM_S = 3.0
CALM_S = 7.0
ENTRY_TTL_S = 4.5  # of the entry of a worker that is silent
MEMBER_TTL_S = 1.5  # of a node's membership


class Fleet:
    """Owners and workers under faults, and the lasting tasks that stood still."""

    harness: helpers.OwnerHarness
    workers: fakes.FakeWorkers
    rng: random.Random
    events: list[str]  # faults, for the message of a failed test
    stopped: list[str]  # tasks that stood still for too long

    def __init__(self, rng: random.Random) -> None:
        self.harness = helpers.OwnerHarness(fakes.FakeWorkers(WORKERS))
        self.workers = self.harness.workers
        self.rng = rng
        self.events = []
        self.stopped = []
        self._owner_tasks: list[asyncio.Task[None]] = []
        self._owners: list[pool_owner.PoolOwner] = []
        self._faults = 0  # in progress
        self._disturbed_at = 0.0  # event-loop time at which a fault began or ended
        self._count = 0
        self._is_changing = False
        self._ended: set[str] = set()  # ids of workers that have died

    @contextlib.contextmanager
    def fault(self, event: str) -> Iterator[None]:
        """Count a fault as in progress inside the context."""
        self.note(event)
        self._faults += 1
        try:
            yield
        finally:
            self._faults -= 1
            self.note(f"end of {event}")

    def note(self, event: str) -> None:
        """Record an event that disturbs the fleet."""
        now = asyncio.get_running_loop().time()
        self._disturbed_at = now
        self.events.append(f"{now - 1000:.2f} {event}")

    # Owners.

    def start_owner(self) -> None:
        """Start the next owner."""
        owner = self.harness.make_owner()
        self._owners.append(owner)
        self._owner_tasks.append(asyncio.ensure_future(owner.run()))

    def stop_owner(self) -> None:
        """Stop the current owner at once."""
        self._owner_tasks[-1].cancel()
        self._owners[-1].close()

    def close(self) -> None:
        """Stop all owners."""
        for task in self._owner_tasks:
            task.cancel()
        for owner in self._owners:
            owner.close()

    async def hand_over(self) -> None:
        """Stop the owner as planned; the next one starts at once."""
        await self._change_owner(is_running=False, gap_s=self.rng.uniform(0.02, 0.3))

    async def kill_owner(self) -> None:
        """Kill the owner; the next one starts when its membership has ended."""
        await self._change_owner(
            is_running=False, gap_s=self.rng.uniform(MEMBER_TTL_S - 0.5, MEMBER_TTL_S)
        )

    async def cut_owner_from_store(self) -> None:
        """Cut the owner off from the store, so that it acts until its leases end."""
        await self._change_owner(
            is_running=True, gap_s=self.rng.uniform(MEMBER_TTL_S - 0.5, MEMBER_TTL_S)
        )

    async def _change_owner(self, is_running: bool, gap_s: float) -> None:
        if self._is_changing:
            return
        self._is_changing = True
        self.harness.freeze_confirmation(asyncio.get_running_loop().time())
        self.note(f"{'cut off' if is_running else 'stop'} owner for {gap_s:.2f} s")
        if not is_running:
            self.stop_owner()
        await asyncio.sleep(gap_s)
        self.start_owner()
        self._is_changing = False

    # Workers.

    def choose_worker(self) -> str:
        """Return the id of a registered worker, rather one with a lasting task."""
        ids = sorted(self.workers.by_id)
        busy = [i for i in ids if self.workers.workers[i].running]
        return self.rng.choice(busy if busy and self.rng.random() < 0.8 else ids)

    def _end_runs(self, worker_id: str) -> None:
        self._ended.add(worker_id)
        self.workers.end(worker_id)

    async def _replace(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self._count += 1
        self.workers.add(f"new-{self._count}", "quotes")

    async def drain(self) -> None:
        """Drain a worker, which then leaves; another one registers."""
        worker_id = self.choose_worker()
        if self.workers.by_id[worker_id].is_draining:
            return
        with self.fault(f"drain of {worker_id}"):
            self.workers.drain(worker_id)
            await asyncio.sleep(self.rng.uniform(2.0, 4.0))
            self._end_runs(worker_id)
            self.workers.by_id.pop(worker_id, None)
        await self._replace(1.0)

    async def lose(self) -> None:
        """Lose a worker for good; its entry expires, and another one registers."""
        worker_id = self.choose_worker()
        self.note(f"loss of {worker_id}")
        self._end_runs(worker_id)
        await asyncio.sleep(self.rng.uniform(2.0, ENTRY_TTL_S))
        self.workers.by_id.pop(worker_id, None)
        await self._replace(1.0)

    async def crash(self) -> None:
        """Crash a worker, which is back under its id after some seconds."""
        worker_id = self.choose_worker()
        with self.fault(f"crash of {worker_id}"):
            self._end_runs(worker_id)
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            self.workers.crash(worker_id)

    async def cut(self) -> None:
        """Cut a worker off for some seconds; it runs on until its lease ends."""
        worker_id = self.choose_worker()
        worker = self.workers.workers[worker_id]
        with self.fault(f"cut of {worker_id}"):
            worker.is_unresponsive = True
            await asyncio.sleep(self.rng.uniform(0.5, 8.0))
            if self.workers.workers[worker_id] is worker:
                worker.is_unresponsive = worker_id in self._ended

    # Checks.

    def has_room(self) -> bool:
        """Whether a worker that can be reached has no task."""
        return any(
            not self.workers.workers[worker_id].is_unresponsive
            and not self.workers.workers[worker_id].running
            and not entry.is_draining
            for worker_id, entry in self.workers.by_id.items()
        )

    async def watch(self) -> None:
        """Record the tasks that stand still for too long."""
        loop = asyncio.get_running_loop()
        ran_at = dict.fromkeys(range(TASKS), loop.time())
        no_room_at = loop.time()
        while True:
            await asyncio.sleep(CHECK_S)
            now = loop.time()
            running = set()
            for worker in self.workers.workers.values():
                self.workers.advance(worker)
                running |= {key.index for key in worker.running}
            if self._faults:
                self._disturbed_at = now
            if not self.has_room():
                no_room_at = now
            for index in running:
                ran_at[index] = now
            due = max(self._disturbed_at + CALM_S, no_room_at + ROOM_S)
            self.stopped.extend(
                f"{now - 1000:.2f} task {index} stands still since {since - 1000:.2f}"
                for index, since in ran_at.items()
                if now > max(due, since + RESTART_S + ROOM_S)
            )


async def play(seed: int) -> Fleet:
    """Play a series of faults, then a calm."""
    rng = random.Random(seed)
    fleet = Fleet(rng)
    loop = asyncio.get_running_loop()
    await fleet.harness.submit(
        helpers.make_spec("a", task_count=TASKS, is_lasting=True, may_miss=1)
    )
    fleet.start_owner()
    await asyncio.sleep(2.0)
    faults: list[Callable[[], Coroutine[Any, Any, None]]] = [
        fleet.hand_over,
        fleet.kill_owner,
        fleet.cut_owner_from_store,
        fleet.drain,
        fleet.lose,
        fleet.crash,
        fleet.cut,
    ]
    async with background.running(fleet.watch()):
        end = loop.time() + SERIES_S
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                group.create_task(rng.choice(faults)())
                await asyncio.sleep(rng.uniform(0.05, 2.5))
        await asyncio.sleep(RESTART_S + ROOM_S + 1.0)
    fleet.close()
    await asyncio.sleep(0.01)
    return fleet


@pytest.mark.parametrize("seed", range(SEEDS))
def test_lasting_tasks_run_again_after_losses_and_changes_of_owner(seed: int) -> None:
    """Guards against lasting tasks that stand still although a worker has room."""
    fleet = paused_clock.run(play(seed))
    assert not fleet.stopped, "\n".join((*fleet.events, *fleet.stopped[:3]))
    assert not fleet.workers.violations
