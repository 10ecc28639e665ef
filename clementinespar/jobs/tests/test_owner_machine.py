"""Stateful test of owners, workers and the store under random faults."""

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any

import hypothesis
from hypothesis import stateful, strategies

from clementinespar import errors
from clementinespar.jobs import pool_owner
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

WORKERS = 3


class OwnerMachine(stateful.RuleBasedStateMachine):
    """Guards against violations that `FakeWorkers` finds.

    These are two runs of a task at once, a start after an acknowledged end, and runs
    beyond the capacity of a worker.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = paused_clock.PausedClockLoop()
        self.harness = helpers.OwnerHarness(fakes.FakeWorkers(WORKERS))
        self.count = 0
        self.owner: pool_owner.PoolOwner | None = None
        self.tasks: list[asyncio.Task[None]] = []

    def sleep(self, seconds: float) -> None:
        """Let event-loop time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def call(self, command: Coroutine[Any, Any, None]) -> None:
        """Run a command of a node; it may have an effect even if it fails."""
        with contextlib.suppress(errors.ClementinesparError):
            self.loop.run_until_complete(command)

    @stateful.initialize()
    def begin(self) -> None:
        self.change_owner(is_planned=True)

    @stateful.rule(count=strategies.integers(1, 5), lasts=strategies.booleans())
    def submit(self, count: int, lasts: bool) -> None:
        self.count += 1
        count = min(count, WORKERS) if lasts else count
        spec = helpers.make_spec(f"job{self.count}", count, 900, is_lasting=lasts)
        self.call(self.harness.submit(spec))

    @stateful.rule(number=strategies.integers(1, 20))
    def cancel(self, number: int) -> None:
        self.call(self.harness.cancel(f"job{number}"))

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.4, 2.0, 8.0]))
    def wait(self, seconds: float) -> None:
        self.sleep(seconds)

    @stateful.rule(is_planned=strategies.booleans())
    def change_owner(self, is_planned: bool) -> None:
        """Start the next owner; an unplanned change leaves the previous one running.

        The last confirmation of the previous owner is from the time of the change.
        """
        previous, previous_tasks = self.owner, self.tasks
        self.harness.freeze_confirmation(self.loop.time())

        async def start() -> None:
            self.owner = self.harness.make_owner()
            self.tasks = [asyncio.ensure_future(self.owner.run())]

        if is_planned and previous is not None:
            for task in previous_tasks:
                task.cancel()
            previous.close()
        self.loop.run_until_complete(start())

    @stateful.rule(number=strategies.integers(0, WORKERS - 1))
    def toggle_unresponsive(self, number: int) -> None:
        worker = self.harness.workers.workers[f"quotes-{number}"]
        worker.is_unresponsive = worker.is_dead or not worker.is_unresponsive

    @stateful.rule(number=strategies.integers(0, WORKERS - 1))
    def toggle_lost_answers(self, number: int) -> None:
        worker = self.harness.workers.workers[f"quotes-{number}"]
        worker.loses_answers = not worker.loses_answers

    @stateful.rule(number=strategies.integers(0, WORKERS - 1))
    def crash_worker(self, number: int) -> None:
        self.loop.call_soon(self.harness.workers.crash, f"quotes-{number}")
        self.sleep(0.0)

    @stateful.rule(number=strategies.integers(0, WORKERS - 1))
    def end_worker(self, number: int) -> None:
        """End a worker; it is back, if at all, by `crash_worker`."""
        self.harness.workers.end(f"quotes-{number}")

    @stateful.rule(is_listed=strategies.booleans())
    def set_list_of_hosts(self, is_listed: bool) -> None:
        self.harness.workers.lists_hosts = is_listed

    @stateful.rule(is_down=strategies.booleans())
    def set_store_down(self, is_down: bool) -> None:
        self.harness.store.is_down = is_down

    @stateful.rule(is_lossy=strategies.booleans())
    def set_lost_store_answers(self, is_lossy: bool) -> None:
        self.harness.store.loses_answers = is_lossy and not self.harness.store.is_down

    @stateful.invariant()
    def no_violation(self) -> None:
        assert not self.harness.workers.violations

    def teardown(self) -> None:
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        if self.owner is not None:
            self.owner.close()
        self.sleep(0.01)
        self.loop.close()


TestOwnerMachine = OwnerMachine.TestCase
TestOwnerMachine.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=25, deadline=None, derandomize=True
)
