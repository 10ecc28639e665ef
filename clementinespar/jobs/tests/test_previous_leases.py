"""Tests of an owner that waits for leases which a later owner may renew."""

import asyncio

from clementinespar.jobs import pool_owner
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock


@paused_clock.test
async def test_run_that_the_next_owner_adopts_is_not_started_after_the_wait() -> None:
    """Guards against two runs of a task whose owner waited for a previous lease.

    The first owner has gone. The second one cannot reach the worker of the run, and is
    cut off from the store while it waits. The third one reaches that worker, but not
    the other one.
    """
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
    loop = asyncio.get_running_loop()
    async with helpers.run_owner(harness):
        await asyncio.sleep(3.0)
    used = workers.starts[0][2]
    other = next(worker_id for worker_id in workers.workers if worker_id != used)
    workers.cut_for |= {(used, 2), (other, 3)}
    second = harness.make_owner()
    async with pool_owner.own_partition(second):
        await asyncio.sleep(1.0)
        harness.freeze_confirmation(loop.time())
        harness.store.cut_epochs.add(2)
        await asyncio.sleep(1.6)
        async with helpers.run_owner(harness):
            await asyncio.sleep(6.0)
    assert not workers.violations
