"""Tests of nodes that join the group of owners or stand by."""

import asyncio

import pytest

from clementinespar import background
from clementinespar.jobs import standby
from clementinespar.jobs.tests import helpers, shared_group
from clementinespar.tests import paused_clock

LARGE, SMALL = 2_150, 520
HANDOVER_S = 0.8  # two joins of the previous owner


async def _start(nodes: shared_group.Nodes, numbers: range, core_millis: int) -> None:
    for number in numbers:
        await nodes.start(number, core_millis)
        await asyncio.sleep(nodes.random.random() * 0.05)


@paused_clock.test
async def test_small_nodes_wait_for_large_ones_that_start_with_them() -> None:
    """Guards against two changes of all owners after each power failure."""
    async with shared_group.run_nodes() as nodes:
        await _start(nodes, range(1), LARGE)
        await asyncio.sleep(0.1)
        await _start(nodes, range(10, 33), SMALL)
        await _start(nodes, range(1, 6), LARGE)
        for _ in range(80):
            assert nodes.owner_numbers() <= set(range(6))
            await asyncio.sleep(0.05)
        assert len(nodes.owner_numbers()) >= standby.MIN_OWNERS


@pytest.mark.parametrize(("core_millis", "least_s"), [(SMALL, 0.0), (LARGE, 1.5)])
@paused_clock.test
async def test_small_nodes_wait_no_longer_than_needed(
    core_millis: int, least_s: float
) -> None:
    """Guards against a lost start of equal nodes, and a single large owner for good."""
    async with shared_group.run_nodes() as nodes:
        await nodes.start(0, core_millis)
        await asyncio.sleep(0.5)
        await nodes.start(1, SMALL)
        await asyncio.sleep(least_s - 0.1 if least_s else 0.0)
        assert nodes.owner_numbers() == {0}
        await asyncio.sleep(0.1 + 0.3 + HANDOVER_S)
        assert nodes.owner_numbers() == {0, 1}


@paused_clock.test
async def test_returning_node_stands_by_and_stays_ready() -> None:
    """Guards against changes of owner by a node that returns after a cut."""
    async with shared_group.run_nodes() as nodes:
        for number in range(5):
            await nodes.start(number)
        await asyncio.sleep(3.0)
        group = nodes.by_number[0].group
        group.drops_calls = True
        await asyncio.sleep(4.0)
        group.drops_calls = False
        count = nodes.group.change_count
        await asyncio.sleep(5.0)
        assert nodes.group.change_count == count
        manager = nodes.by_number[0].manager
        assert not manager.owners_by_partition
        assert manager.reached_at is not None
        assert asyncio.get_running_loop().time() - manager.reached_at < 1.1


@paused_clock.test
async def test_cut_that_changes_no_owner_is_survived_by_the_members() -> None:
    """Guards against owners that all stand by since each sees the others' old entry."""
    async with shared_group.run_nodes() as nodes:
        for number in range(6):
            await nodes.start(number)
        await asyncio.sleep(3.0)
        for node in nodes.by_number.values():
            node.group.drops_calls = True
        await asyncio.sleep(4.0)
        for node in nodes.by_number.values():
            node.group.drops_calls = False
        await asyncio.sleep(1.0 + standby.STANDBY_INTERVAL_S + HANDOVER_S)
        assert len(nodes.owner_numbers()) >= standby.MIN_OWNERS


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("count", "down_s"), [(6, 1.0), (12, 1.0), (24, 3.0)])
@paused_clock.test
async def test_rolling_restart(count: int, down_s: float, seed: int) -> None:
    """Guards against too few owners, and changes of owner that no restart requires."""
    short_s = 0.0
    longest_s = 0.0

    async def watch() -> None:
        nonlocal short_s, longest_s
        while True:
            await asyncio.sleep(0.02)
            is_short = len(nodes.owner_numbers()) < standby.MIN_OWNERS
            short_s = short_s + 0.02 if is_short else 0.0
            longest_s = max(longest_s, short_s)

    async with shared_group.run_nodes(seed) as nodes:
        await _start(nodes, range(count), 1_000)
        await asyncio.sleep(4.0)
        began_with = nodes.group.change_count
        required = 0
        async with background.running(watch()):
            for number in range(count):
                name = nodes.by_number[number].group.member
                required += list(nodes.group.owners().values()).count(name)
                await nodes.stop(number)
                await asyncio.sleep(down_s)
                await nodes.start(number)
                await asyncio.sleep(3.0)
        changes = nodes.group.change_count - began_with
        assert longest_s <= standby.STANDBY_INTERVAL_S
        assert changes <= 2 * required


@paused_clock.test
async def test_standby_nodes_take_over_when_all_owners_are_lost() -> None:
    """Guards against pools without an owner while other nodes are ready."""
    async with shared_group.run_nodes() as nodes:
        await _start(nodes, range(5), 1_000)
        await asyncio.sleep(2.0)
        await _start(nodes, range(5, 8), 1_000)
        await asyncio.sleep(2.0)
        assert nodes.owner_numbers() == set(range(5))
        for number in range(5):
            await nodes.stop(number, is_killed=True)
        await asyncio.sleep(shared_group.TTL_S + standby.STANDBY_INTERVAL_S)
        assert nodes.owner_numbers(helpers.PARTITION)
