"""Tests of workers that start again under their id in a pool of another partition."""

import asyncio

import pytest

from clementinespar.jobs import model
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock


@pytest.mark.parametrize("epochs", [(0, 0), (0, 5)])
@paused_clock.test
async def test_owner_of_the_former_pool_leaves_the_worker_alone(
    epochs: tuple[int, int],
) -> None:
    """Guards against runs that the owner of another partition stops, and lost pools.

    The epochs of both partitions come from one group, so they may be equal. The owner
    of the new pool is lost before it has stored the ends.
    """
    workers = fakes.FakeWorkers(2)
    former, present = helpers.OwnerHarness(workers), helpers.OwnerHarness(workers)
    former.owns_pool = lambda pool: pool == "quotes"
    present.owns_pool = lambda pool: pool == "orders"
    former.epoch, present.epoch = epochs
    await former.submit(helpers.make_spec("a", 4))
    async with helpers.run_owner(former) as former_owner:
        async with helpers.run_owner(present) as present_owner:
            await former.wait_state("a", model.JobState.DONE)
            workers.crash("quotes-0", pool="orders")
            await asyncio.sleep(2.0)
            for number in range(3):
                spec = helpers.make_spec(f"b{number}", 1, pool="orders")
                await present.submit(spec)
                await asyncio.sleep(0.2)
            present.store.cut_epochs.add(present.epoch)
            await asyncio.sleep(1.5)
            assert not present_owner.is_lost
        async with helpers.run_owner(present):
            for number in range(3):
                await present.wait_state(f"b{number}", model.JobState.DONE)
        assert not former_owner.is_lost
        await former.submit(helpers.make_spec("c", 2))
        await former.wait_state("c", model.JobState.DONE)
    assert not workers.violations
    assert "stop" not in {event for event, _ in former.events + present.events}
