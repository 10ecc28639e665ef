"""Tests of deaths that follow each other, with the hosts of earlier ones back."""

import asyncio

import pytest

from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

HOST_BACK_S = 2.0  # until a host that lost its worker has another one
DEATH_S = 2.0  # a death that the list of hosts shows is found after about 1 s


@pytest.mark.parametrize(
    ("back_pool", "is_first_idle"),
    [(None, False), (None, True), ("quotes", False), ("quotes", True), ("bids", True)],
    ids=["down", "idle-down", "new-life", "idle-new-life", "idle-moved"],
)
@paused_clock.test
async def test_death_after_the_host_of_an_earlier_one_is_back(
    back_pool: str | None, is_first_idle: bool
) -> None:
    """Guards against a task that waits for a lease since another worker died before.

    The host of the first worker is down still, or has a new worker, here or in another
    pool.
    """
    workers = fakes.FakeWorkers(4)
    harness = helpers.OwnerHarness(workers)
    harness.owns_pool = lambda pool: pool == "quotes"
    await harness.submit(helpers.make_spec("a", 2, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(3.0)
        used = [worker_id for _, _, worker_id in workers.starts]
        idle = sorted(set(workers.workers) - set(used))
        first = idle[0] if is_first_idle else used[0]
        workers.end(first)
        await asyncio.sleep(HOST_BACK_S)
        del workers.by_id[first]  # its entry has left the directory
        if back_pool is not None:
            workers.omitted_hosts.add(first)  # its row shows the new one instead
            workers.add("new", back_pool)
        await asyncio.sleep(1.0)
        started = len(workers.starts)
        workers.end(used[1])
        await asyncio.sleep(DEATH_S)
        assert len(workers.starts) == started + 1
    assert not workers.violations
