"""Tests of late runs that are stopped for tasks that can be in time."""

import asyncio
import dataclasses

import pytest

from clementinespar.jobs import model
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

JUST_NOW_MS = 2**42  # later than any real clock: the age of a job counts as 0


def make_job(
    job_id: str, task_count: int, is_late: bool, **fields: object
) -> model.JobSpec:
    """Return a job with an objective of 16.6 s, accepted just now or long ago."""
    spec = helpers.make_spec(job_id, task_count)
    step = dataclasses.replace(spec.steps[0], estimate_ms=10_000, **fields)  # type: ignore[arg-type]
    accepted_ms = 0 if is_late else JUST_NOW_MS
    return dataclasses.replace(spec, steps=(step,), accepted_ms=accepted_ms)


async def fill(harness: helpers.OwnerHarness, is_late: bool, **fields: object) -> None:
    """Fill both workers with a job of eight tasks."""
    harness.workers.task_s = 10.0
    await harness.submit(make_job("old", 8, is_late, **fields))
    await asyncio.sleep(1.0)
    assert len(harness.workers.starts) == 8


@pytest.mark.parametrize(
    ("is_late", "fields", "is_stopped"),
    [
        (True, {"has_checkpoints": True}, True),
        (True, {}, False),  # its work would be lost
        (False, {"has_checkpoints": True}, False),
        (True, {"has_checkpoints": True, "is_gang": True}, False),
    ],
)
@paused_clock.test
async def test_late_runs_yield_to_timely_tasks(
    is_late: bool, fields: dict[str, object], is_stopped: bool
) -> None:
    """Guards against jobs that become late behind work that is late already."""
    harness = helpers.OwnerHarness(fakes.FakeWorkers(count=2))
    async with helpers.run_owner(harness):
        await fill(harness, is_late, **fields)
        await harness.submit(make_job("new", 2, is_late=False))
        await asyncio.sleep(0.7)
        started = [task.job_id for task, _, _ in harness.workers.starts[8:]]
        assert started[:2] == (["new", "new"] if is_stopped else [])
        stopped = 8 - sum(
            task.job_id == "old"
            for worker in harness.workers.workers.values()
            for task in worker.running
        )
        # No more are stopped than the waiting tasks need.
        assert stopped == (2 if is_stopped else 0)
        await harness.wait_state("old", model.JobState.DONE, 60.0)
    assert harness.workers.violations == []


@pytest.mark.parametrize(
    ("is_late", "urgency", "is_free"),
    [
        (True, model.EvacuationUrgency.PREEMPT, True),
        (True, model.EvacuationUrgency.LEND, False),
        (False, model.EvacuationUrgency.PREEMPT, False),
    ],
)
@paused_clock.test
async def test_host_with_late_runs_is_free_at_once(
    is_late: bool, urgency: model.EvacuationUrgency, is_free: bool
) -> None:
    """Guards against a peak that waits for the late work of another pool."""
    harness = helpers.OwnerHarness(fakes.FakeWorkers(count=2))
    async with helpers.run_owner(harness) as owner:
        await fill(harness, is_late, has_checkpoints=True)
        load = owner.describe_load("quotes")["workers"]
        assert load["quotes-0"]["yielding_cores"] == (4.0 if is_late else 0.0)  # type: ignore[index]
        assert not owner.evacuate("quotes-0", 2.0, urgency)
        await asyncio.sleep(0.5)
        assert owner.evacuate("quotes-0", 2.0, urgency) is is_free
    assert harness.workers.violations == []
