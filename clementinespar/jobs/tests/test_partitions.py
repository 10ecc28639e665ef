"""Tests of the mapping of pools to the partitions that a store grants."""

import asyncio

import pytest

from clementinespar.jobs import ownership, partitions
from clementinespar.jobs.tests import test_ownership
from clementinespar.tests import paused_clock

POOLS = ("quotes", "orders", "billing", "delivery", "spare", "é", "")


@pytest.mark.parametrize("count", [1, 2, 3, 5, 12, 24, 48, 100, 1_000])
def test_every_partition_is_granted(count: int) -> None:
    """Guards against appends to a partition that the store does not have.

    With a constant of 24, a store of 12 refused each append of half of the pools.
    """
    partition_map = partitions.PartitionMap(count)
    found = {partition_map.find(pool) for pool in POOLS}
    assert found <= set(range(count))
    assert 0 <= partition_map.fleet_partition < count


@pytest.mark.parametrize("count", [2, 12, 48])
def test_no_pool_shares_the_partition_of_the_hosts(count: int) -> None:
    """Guards against orders to hosts that wait behind the tasks of a busy pool."""
    partition_map = partitions.PartitionMap(count)
    assert partition_map.fleet_partition not in map(partition_map.find, POOLS)


def test_the_mapping_is_the_same_in_every_process() -> None:
    """Guards against a mapping by Python's hash, which each process salts anew."""
    partition_map = partitions.PartitionMap(12)
    assert [partition_map.find(pool) for pool in POOLS[:4]] == [3, 2, 3, 4]


@paused_clock.test
async def test_one_partition_serves_pools_and_hosts() -> None:
    """Guards against a store of one partition, whose two owners share their state."""
    harness = test_ownership.ManagerHarness(
        frozenset({test_ownership.PARTITION}), fleet_partition=test_ownership.PARTITION
    )
    manager = harness.ownership_manager
    async with ownership.run_ownership_manager(manager):
        await asyncio.sleep(3.0)
        assert test_ownership.PARTITION in manager.owners_by_partition
        assert harness.open_fleet_owners == 1
        # A lost owner of hosts leaves the owner of the pools alone, and the other way.
        harness.fleet_owners[0].is_lost = True
        await asyncio.sleep(1.0)
        assert harness.open_fleet_owners == 0
        assert harness.epochs == [1]
        manager.owners_by_partition[test_ownership.PARTITION].mark_lost("a test")
        harness.assign(4, test_ownership.PARTITION)
        await asyncio.sleep(1.0)
        assert harness.epochs == [1, 4]
        assert [owner.epoch for owner in harness.fleet_owners] == [1, 4]
    assert harness.open_fleet_owners == 0
