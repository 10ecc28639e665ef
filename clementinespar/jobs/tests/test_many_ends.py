"""Tests of workers that have more ends than one of their reports lists."""

import asyncio
import collections
import dataclasses

from clementinespar.jobs import model
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock


@paused_clock.test
async def test_done_task_that_the_first_report_leaves_out_is_not_redone() -> None:
    """Guards against tasks that are done twice because of a long list of ends.

    The first owner is lost before it has stored the ends, and the next one learns of
    500 of them at a time.
    """
    workers = fakes.FakeWorkers(1, cpu=800_000)
    harness = helpers.OwnerHarness(workers)
    spec = helpers.make_spec("a", 700)
    step = dataclasses.replace(spec.steps[0], memory_mb=10)
    await harness.submit(dataclasses.replace(spec, steps=(step,)))
    async with helpers.run_owner(harness):
        # Its adoption is stored with the first start, its ends are not.
        while not workers.starts:
            await asyncio.sleep(0.005)
        harness.store.cut_epochs.add(1)
        await asyncio.sleep(1.0)
    started = {task for task, _, _ in workers.starts}
    workers.add("other", "quotes", 800_000)
    async with helpers.run_owner(harness):
        await harness.wait_state("a", model.JobState.DONE)
    counts = collections.Counter(task for task, _, _ in workers.starts)
    again = [task for task in started if counts[task] > 1]
    assert not again, f"{len(again)} of {len(started)} tasks were started again"
