"""Tests of a previous owner that still acts beside the next one."""

import asyncio

import pytest

from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock


@pytest.mark.parametrize("cause", ["death", "failure"])
@paused_clock.test
async def test_task_that_both_owners_see_end_is_started_by_one(cause: str) -> None:
    """Guards against two runs of a task whose end both owners learn.

    The previous owner is cut off from the store and still has a worker that the next
    one cannot reach.
    """
    workers = fakes.FakeWorkers(3)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
    previous = harness.make_owner()
    previous_task = asyncio.ensure_future(previous.run())
    await asyncio.sleep(3.0)
    used = workers.starts[0][2]
    other, third = (worker_id for worker_id in workers.workers if worker_id != used)
    workers.cut_for |= {(other, 2), (third, 1)}
    await asyncio.sleep(0.2)
    harness.freeze_confirmation(asyncio.get_running_loop().time())
    async with helpers.run_owner(harness):
        if cause == "death":
            workers.cut_for.add((used, 1))  # else it learns of the next owner
            await asyncio.sleep(1.0)
            workers.end(used)
        else:
            # The renewal of the previous owner still waits at the worker.
            await asyncio.sleep(0.1)
            workers.fail_runs(used)
        await asyncio.sleep(4.0)
    previous_task.cancel()
    previous.close()
    await asyncio.sleep(0.01)
    assert not workers.violations
