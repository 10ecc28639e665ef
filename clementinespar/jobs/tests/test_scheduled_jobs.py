"""Tests of jobs with occurrences around the loss of their owner."""

import asyncio
import dataclasses
import time

import pytest

from clementinespar.jobs import model
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

PERIOD_MS = 700
OCCURRENCES = 12


def make_scheduled(job_id: str = "a", first_due_s: float = 1.0) -> model.JobSpec:
    """Return a job whose first occurrence is due after some time."""
    return dataclasses.replace(
        helpers.make_spec(job_id, task_count=2),
        first_due_ms=int((time.time() + first_due_s) * 1000),
        period_ms=PERIOD_MS,
        occurrences=OCCURRENCES,
    )


@pytest.mark.usefixtures("loop_wall_clock")
@pytest.mark.parametrize("task_s", [0.05, 0.3, 1.5])
@pytest.mark.parametrize("owner_s", [0.65, 1.1, 1.25, 1.4, 1.85])
def test_owners_lost_in_series(owner_s: float, task_s: float) -> None:
    """Guards against occurrences that have ended and run again under the next owner.

    The next owner did not know those that had just become due.
    """

    @paused_clock.test
    async def play() -> None:
        workers = fakes.FakeWorkers(4)
        workers.task_s = task_s
        harness = helpers.OwnerHarness(workers)
        await harness.submit(make_scheduled())
        for _ in range(6):
            async with helpers.run_owner(harness):
                await asyncio.sleep(owner_s)
        async with helpers.run_owner(harness):
            await harness.wait_state("a", model.JobState.DONE, 60.0)
        assert not workers.violations
        started = {task for task, _, _ in workers.starts}
        assert len(started) == 2 * OCCURRENCES
        assert len(workers.starts) == len(started)

    play()


@pytest.mark.usefixtures("loop_wall_clock")
@paused_clock.test
async def test_occurrence_starts_only_once_it_is_stored() -> None:
    """Guards against a start that the store does not know of."""
    harness = helpers.OwnerHarness(fakes.FakeWorkers(2))
    async with helpers.run_owner(harness):
        await harness.submit(make_scheduled())
        await asyncio.sleep(0.5)
        harness.store.is_down = True
        await asyncio.sleep(2.0)
        assert not harness.workers.starts
        harness.store.is_down = False
        await asyncio.sleep(0.5)
        assert harness.workers.starts


@pytest.mark.usefixtures("loop_wall_clock")
@paused_clock.test
async def test_next_owner_opens_what_is_due_before_it_calls_workers() -> None:
    """Guards against the end of an occurrence that an earlier build did not store."""
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(make_scheduled(first_due_s=0.2))
    async with helpers.run_owner(harness):
        await asyncio.sleep(0.1)
    key = model.TaskKey("a", 0, 0, 0)
    await asyncio.sleep(0.2)
    workers.workers["quotes-0"].ended.append(
        model.EndedTask(1, key, 1, model.EndKind.DONE, "")
    )
    async with helpers.run_owner(harness):
        await harness.wait_state("a", model.JobState.DONE, 60.0)
    assert key not in {task for task, _, _ in workers.starts}
    assert not workers.violations
