"""Tests of steps that run only on workers with a ticket of the adviser."""

import asyncio
import dataclasses

import pytest

from clementinespar.jobs import model
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock


def make_spec(job_id: str, task_count: int = 2, cpu: int = 1000) -> model.JobSpec:
    """Return a job of one step that needs advice."""
    spec = helpers.make_spec(job_id, task_count, cpu)
    return dataclasses.replace(spec, needs_advice=True)


async def wait_started(workers: fakes.FakeWorkers, job_id: str, limit_s: float) -> None:
    """Wait until a task of a job has started."""
    async with asyncio.timeout(limit_s):
        while not any(key.job_id == job_id for key, _, _ in workers.starts):
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("decide_s", "each_s", "slowness", "lost_answers", "limit_s"),
    [
        pytest.param(0.3, 0.1, 1.0, 0, 4.0, id="3 s for all workers"),
        pytest.param(8.0, 0.0, 1.0, 0, 9.0, id="8 s for each call"),
        pytest.param(0.3, 0.1, 1.0, 1, 16.0, id="answer lost"),
        pytest.param(4.0, 0.0, 2.5, 0, 21.0, id="slower than configured"),
    ],
)
@paused_clock.test
async def test_slow_advice_is_waited_for(
    decide_s: float, each_s: float, slowness: float, lost_answers: int, limit_s: float
) -> None:
    """Guards against a job that never starts, as each call is given up too early.

    A call that is given up still holds the adviser, so the next one takes longer.
    """
    workers = fakes.FakeWorkers(30)
    harness = helpers.OwnerHarness(workers)
    harness.adviser.times = model.AdviceTimes(decide_s, each_s, 20.0)
    harness.adviser.slowness = slowness
    harness.adviser.lost_answers = lost_answers
    harness.adviser.allowed_ids = set(workers.workers)
    async with helpers.run_owner(harness):
        await harness.submit(make_spec("a"))
        await wait_started(workers, "a", limit_s)
    assert not harness.adviser.refused
