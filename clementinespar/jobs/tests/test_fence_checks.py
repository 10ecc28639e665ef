"""Tests of checks of the fence while the assignments change often."""

import asyncio
from collections.abc import Sequence

import pytest

from clementinespar import background
from clementinespar.jobs import services
from clementinespar.jobs.tests import fakes, helpers, test_ownership
from clementinespar.tests import paused_clock

LEASE_S = 0.9 * helpers.LEASE_MAX_S  # without a confirmation, all runs end after it
CHANGES_S = 10.0


class SlowStore(fakes.FakeStore):
    """A store whose appends of progress take a while."""

    async def append_fenced(
        self,
        topic: services.Topic,
        partition: int,
        epoch: int,
        sequence: int,
        records: Sequence[services.KeyedRecord],
    ) -> None:
        await asyncio.sleep(self.append_s)
        await super().append_fenced(topic, partition, epoch, sequence, records)


@pytest.mark.parametrize("append_s", [0.02, 0.3, 0.45])
@paused_clock.test
async def test_owner_is_confirmed_while_other_partitions_change_owners(
    append_s: float,
) -> None:
    """Guards against leases that all end since each change asks for another check.

    Other nodes start and stop, so each join shows two generations more.
    """
    harness = test_ownership.ManagerHarness(frozenset({test_ownership.PARTITION}))
    harness.store = SlowStore()
    harness.store.append_s = append_s
    manager = harness.ownership_manager
    loop = asyncio.get_running_loop()
    async with background.running(manager.run()):
        await asyncio.sleep(3.0)
        owner = manager.owners_by_partition[test_ownership.PARTITION]
        began_at = confirmed_at = loop.time()
        longest_s = 0.0
        while loop.time() < began_at + CHANGES_S:
            generation = int((loop.time() - began_at) / 0.2) + 2
            harness.group.assignment = services.Assignment(
                generation, harness.group.assignment.partitions
            )
            await asyncio.sleep(0.01)
            if owner.confirmed_at() is not None:
                confirmed_at = loop.time()
            longest_s = max(longest_s, loop.time() - confirmed_at)
        assert not owner.is_lost
        await manager.close()
    assert longest_s < LEASE_S / 2
