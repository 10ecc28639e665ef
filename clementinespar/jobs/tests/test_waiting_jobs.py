"""Tests of the number of waiting jobs, and of the state of jobs that wait."""

import asyncio

import pytest

from clementinespar.jobs import model
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

JOBS = [f"job{number}" for number in range(6)]


@pytest.mark.parametrize("fault", ["is_unhealthy", "drops_starts"])
@paused_clock.test
async def test_jobs_wait_until_a_worker_has_begun_one(fault: str) -> None:
    """Guards against jobs that are not counted as waiting once a start has failed."""
    workers = fakes.FakeWorkers(1)
    workers.task_s = 60.0
    setattr(workers.workers["quotes-0"], fault, True)
    harness = helpers.OwnerHarness(workers)
    for job_id in JOBS:
        await harness.submit(helpers.make_spec(job_id, 1))
    for _ in range(2):
        async with helpers.run_owner(harness) as owner:
            for _ in range(60):
                await asyncio.sleep(0.1)
                if owner.is_loaded:
                    assert owner.count_waiting("q") == len(JOBS)
                    states = {owner.describe(job_id) for job_id in JOBS}
                    assert states == {model.JobState.QUEUED}
    setattr(workers.workers["quotes-0"], fault, False)
    for _ in range(2):
        async with helpers.run_owner(harness) as owner:
            await asyncio.sleep(15.0)
            assert len(workers.starts) == 4  # as many as the worker has room for
            assert owner.count_waiting("q") == len(JOBS) - 4
    assert not workers.violations


@paused_clock.test
async def test_refused_start_leaves_a_job_among_the_new_ones() -> None:
    """Guards against jobs that precede others because a start of them was refused."""
    workers = fakes.FakeWorkers(1)
    workers.workers["quotes-0"].is_unhealthy = True
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness) as owner:
        await harness.submit(helpers.make_spec("a", 1))
        while all(event != "start" for event, _ in harness.events):
            await asyncio.sleep(0.001)
        assert owner.jobs_by_id["a"].is_placed
        await asyncio.sleep(0.1)
        assert not owner.jobs_by_id["a"].is_placed
        workers.workers["quotes-0"].is_unhealthy = False
        await harness.wait_state("a", model.JobState.RUNNING)
        assert owner.jobs_by_id["a"].is_placed
