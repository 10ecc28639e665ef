"""Stateful test of quotas with several owners and ledgers under random faults."""

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any

import hypothesis
from hypothesis import stateful, strategies

from clementinespar import errors
from clementinespar.jobs import resources
from clementinespar.jobs.tests import quota_fleet
from clementinespar.tests import paused_clock

PARTITIONS = strategies.integers(0, 2)
TEAMS = strategies.sampled_from(["cores", "memory"])
CAPS = {
    "cores": resources.Resources(6000, 0, 0),
    "memory": resources.Resources(0, 600, 0),
}
LOWERED_CAPS = {
    "cores": resources.Resources(3000, 0, 0),
    "memory": resources.Resources(5000, 300, 0),
}


class QuotaMachine(stateful.RuleBasedStateMachine):
    """Guards against a start that brings a team above its cap.

    The workers count what executes, whichever owner has started it. The bound of what
    earlier owners may have started is never too low, so no tolerance is needed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = paused_clock.PausedClockLoop()
        self.count = 0

    def call(self, work: Coroutine[Any, Any, object]) -> None:
        with contextlib.suppress(errors.ClementinesparError):
            self.loop.run_until_complete(work)

    @stateful.initialize(seed=strategies.integers(0, 1000))
    def begin(self, seed: int) -> None:
        async def start() -> None:
            self.fleet = quota_fleet.QuotaFleet(CAPS, seed=seed)
            await self.fleet.start_all()
            await asyncio.sleep(1.0)

        self.call(start())

    @stateful.rule(
        partition=PARTITIONS,
        team=TEAMS,
        counts=strategies.lists(strategies.integers(1, 4), min_size=1, max_size=2),
        is_lasting=strategies.booleans(),
        is_gang=strategies.booleans(),
        times=strategies.integers(1, 3),
    )
    def submit(
        self,
        partition: int,
        team: str,
        counts: list[int],
        is_lasting: bool,
        is_gang: bool,
        times: int,
    ) -> None:
        if is_lasting:
            counts = [1]
        for _ in range(times):
            self.count += 1
            job = quota_fleet.make_job(
                f"job{self.count}",
                team,
                self.fleet.partitions[partition],
                tuple(counts),
                is_lasting=is_lasting,
                is_gang=is_gang and not is_lasting,
            )
            self.call(self.fleet.submit(partition, job))

    @stateful.rule(team=TEAMS, run_s=strategies.sampled_from([0.5, 1.5, 4.0]))
    def peak(self, team: str, run_s: float) -> None:
        """Let a team wait for its share in all partitions."""
        for fake in self.fleet.workers.values():
            fake.task_s = run_s
        for partition in self.fleet.partitions:
            self.submit(partition, team, [4], False, False, 3)
        self.wait(0.6)

    @stateful.rule(number=strategies.integers(1, 20))
    def work_on(self, number: int) -> None:
        """Let tasks end and others start."""
        self.wait(0.1 * number)

    @stateful.rule(partition=PARTITIONS, number=strategies.integers(1, 20))
    def cancel(self, partition: int, number: int) -> None:
        self.call(self.fleet.cancel(partition, f"job{number}"))

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.1, 0.6, 2.0, 8.0]))
    def wait(self, seconds: float) -> None:
        self.call(asyncio.sleep(seconds))

    @stateful.rule(
        rate=strategies.sampled_from([0.0, 0.1, 0.5, 1.0]),
        delay_s=strategies.sampled_from([0.002, 0.1, 0.4]),
    )
    def set_network(self, rate: float, delay_s: float) -> None:
        self.fleet.fault_rate = rate
        self.fleet.max_delay_s = delay_s

    @stateful.rule(partition=PARTITIONS)
    def hand_over(self, partition: int) -> None:
        """Change the owner of a partition as planned."""

        async def change() -> None:
            await self.fleet.stop_node(self.fleet.owner_nodes[partition])
            await self.fleet.start_owner(partition)

        self.call(change())

    @stateful.rule(
        partition=PARTITIONS,
        is_cut=strategies.booleans(),
        unreached=strategies.lists(strategies.integers(0, 2), max_size=2),
    )
    def lose_owner(self, partition: int, is_cut: bool, unreached: list[int]) -> None:
        """Let an owner miss its loss, so that it goes on beside the next one.

        The next one cannot reach some workers.
        """
        self.count += 1

        async def change() -> None:
            fleet = self.fleet
            pool = fleet.partitions[partition]
            await fleet.lose_node(fleet.owner_nodes[partition], is_cut)
            fleet.workers[partition].cut_for.update(
                (f"{pool}-{number}", fleet.last_epoch + 1) for number in unreached
            )
            await fleet.start_owner(partition)
            await asyncio.sleep(0.1 * len(unreached))
            job = quota_fleet.make_job(f"job{self.count}", "cores", pool, (4,))
            await fleet.submit(partition, job)
            await asyncio.sleep(0.5)

        self.call(change())

    @stateful.rule(is_cut=strategies.booleans(), is_planned=strategies.booleans())
    def lose_ledger(self, is_cut: bool, is_planned: bool) -> None:
        async def change() -> None:
            node = self.fleet.ledger_node
            assert node is not None
            if is_planned:
                await self.fleet.stop_node(node)
            else:
                await self.fleet.lose_node(node, is_cut)
            await self.fleet.start_ledger()

        self.call(change())

    @stateful.rule(partition=PARTITIONS)
    def lose_ledger_and_owner(self, partition: int) -> None:
        async def change() -> None:
            ledger = self.fleet.ledger_node
            assert ledger is not None
            await asyncio.gather(
                self.fleet.lose_node(ledger, True),
                self.fleet.lose_node(self.fleet.owner_nodes[partition], True),
            )
            await self.fleet.start_ledger()
            await self.fleet.start_owner(partition)

        self.call(change())

    @stateful.rule(
        partition=PARTITIONS,
        number=strategies.integers(0, 2),
        fault=strategies.sampled_from(["silent", "lossy", "crash"]),
    )
    def disturb_worker(self, partition: int, number: int, fault: str) -> None:
        """Leave the next owner unsettled, or starts without an answer."""
        fake = self.fleet.workers[partition]
        worker_id = f"{self.fleet.partitions[partition]}-{number}"
        worker = fake.workers[worker_id]
        if fault == "silent":
            worker.is_unresponsive = not worker.is_unresponsive
        elif fault == "lossy":
            worker.loses_answers = not worker.loses_answers
        else:
            self.loop.call_soon(fake.crash, worker_id)
            self.call(asyncio.sleep(0.0))

    @stateful.rule(is_lowered=strategies.booleans())
    def set_caps(self, is_lowered: bool) -> None:
        async def change() -> None:
            self.fleet.set_caps(LOWERED_CAPS if is_lowered else CAPS, 2.0)

        self.call(change())

    @stateful.invariant()
    def no_violation(self) -> None:
        if hasattr(self, "fleet"):
            assert not self.fleet.find_violations()

    def teardown(self) -> None:
        if hasattr(self, "fleet"):
            self.loop.run_until_complete(self.fleet.close())
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0.01))
        self.loop.close()


TestQuotaMachine = QuotaMachine.TestCase
TestQuotaMachine.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=25, deadline=None, derandomize=True
)
