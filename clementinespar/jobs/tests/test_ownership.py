"""Tests of ownership on a paused clock."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from clementinespar.jobs import ownership, pool_owner, services, telemetry
from clementinespar.jobs.tests import fakes
from clementinespar.tests import paused_clock

PARTITION = 3


@dataclasses.dataclass
class Holder:
    """A holder of orders to hosts."""

    epoch: int
    is_lost: bool = False


class KeeperBench:
    """A keeper on a group whose assignments the test sets."""

    keeper: ownership.OwnershipKeeper

    def __init__(self, partitions: frozenset[int]) -> None:
        self.group = fakes.FakeGroup(partitions)
        self.store = fakes.FakeStore()
        self.workers = fakes.FakeWorkers(1)
        self.epochs: list[int] = []
        self.holders: list[Holder] = []
        self.open_holders = 0
        self.keeper = ownership.OwnershipKeeper(
            self.group,
            self.make_owner,
            self.hold_fleet,
            lambda: frozenset({PARTITION}),
            1_000,
            fakes.ignore_event,
        )

    def make_owner(self, partition: int, epoch: int) -> pool_owner.PoolOwner:
        """Return an owner on fakes."""
        self.epochs.append(epoch)
        return pool_owner.PoolOwner(
            partition,
            epoch,
            lambda pool: True,
            self.keeper.confirmed_at,
            lambda owner: None,
            self.store,
            self.workers,
            self.workers,
            fakes.FakeAdviser(),
            pool_owner.OwnerSettings(6.0),
            fakes.ignore_event,
            telemetry.JobMetrics(),
        )

    @contextlib.asynccontextmanager
    async def hold_fleet(self, epoch: int) -> AsyncIterator[Holder]:
        """Count the holders that are open at once."""
        holder = Holder(epoch)
        self.holders.append(holder)
        self.open_holders += 1
        try:
            yield holder
        finally:
            self.open_holders -= 1

    def assign(self, generation: int, *partitions: int) -> None:
        """Set what the next join returns."""
        self.group.assignment = services.Assignment(generation, frozenset(partitions))


@paused_clock.test
async def test_epoch_stays_while_the_partition_stays() -> None:
    """Guards against a pool that is read anew whenever another node comes or goes."""
    bench = KeeperBench(frozenset({PARTITION}))
    async with ownership.keep_ownership(bench.keeper):
        await asyncio.sleep(3.0)
        bench.assign(5, PARTITION, 7)
        await asyncio.sleep(1.0)
        assert bench.epochs == [1]
        bench.assign(6)
        await asyncio.sleep(1.0)
        assert not bench.keeper.owners_by_partition
        bench.assign(7, PARTITION)
        await asyncio.sleep(1.0)
        assert bench.epochs == [1, 7]


@paused_clock.test
async def test_fenced_owner_waits_for_a_later_generation() -> None:
    """Guards against two owners that act under one epoch."""
    bench = KeeperBench(frozenset({PARTITION}))
    async with ownership.keep_ownership(bench.keeper):
        await asyncio.sleep(3.0)
        bench.keeper.owners_by_partition[PARTITION].lose("a test")
        await asyncio.sleep(1.0)
        assert bench.epochs == [1]
        bench.assign(4, PARTITION)
        await asyncio.sleep(1.0)
        assert bench.epochs == [1, 4]


@paused_clock.test
async def test_fenced_fleet_holder_comes_back_with_a_later_generation() -> None:
    """Guards against waves that stand still after the store dealt partitions anew."""
    bench = KeeperBench(frozenset({ownership.FLEET_PARTITION}))
    async with ownership.keep_ownership(bench.keeper):
        await asyncio.sleep(3.0)
        bench.holders[0].is_lost = True
        await asyncio.sleep(1.0)
        assert bench.open_holders == 0
        bench.assign(3, ownership.FLEET_PARTITION)
        await asyncio.sleep(1.0)
        assert [holder.epoch for holder in bench.holders] == [1, 3]
        assert bench.open_holders == 1
    assert bench.open_holders == 0


@paused_clock.test
async def test_confirmation_counts_from_before_the_call() -> None:
    """Guards against leases that outlive what the store has confirmed."""
    bench = KeeperBench(frozenset({PARTITION}))
    async with ownership.keep_ownership(bench.keeper):
        await asyncio.sleep(3.0)
        bench.group.is_down = True
        await asyncio.sleep(0.5)
        held = bench.keeper.confirmed_at()
        await asyncio.sleep(3.0)
        assert bench.keeper.confirmed_at() == held


@paused_clock.test
async def test_small_node_owns_nothing_while_larger_ones_do() -> None:
    """Guards against a busy pool on a machine with half a core."""
    bench = KeeperBench(frozenset({PARTITION}))
    bench.group.owners = {
        number: ownership.format_member(f"10.0.0.{number}:1", 5, 2_000)
        for number in range(3)
    }
    async with ownership.keep_ownership(bench.keeper):
        await asyncio.sleep(5.0)
        assert not bench.epochs  # it never owned the pool, not even for a moment
        assert not bench.keeper.owners_by_partition
        assert bench.keeper.reached_at is not None
        del bench.group.owners[1]
        await asyncio.sleep(3.0)
        assert PARTITION in bench.keeper.owners_by_partition


def test_member_names() -> None:
    """Guards against a size that is read from another part of the name."""
    member = ownership.format_member("10.0.0.1:7060", 1_790_000_000_000, 516)
    assert ownership.parse_core_millis(member) == 516
    assert ownership.parse_core_millis("") == 0
