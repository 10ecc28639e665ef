"""Tests of workers that start again under their id as another kind."""

import asyncio
import dataclasses
from typing import Any

import pytest

from clementinespar.jobs import model
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

WORKER = "quotes-0"


def _make_spec(job_id: str, task_count: int, label: str, cpu: int) -> model.JobSpec:
    spec = helpers.make_spec(job_id, task_count, cpu)
    steps = tuple(dataclasses.replace(step, label=label) for step in spec.steps)
    return dataclasses.replace(spec, steps=steps)


def _find_workers(workers: fakes.FakeWorkers, job_id: str) -> set[str]:
    """Return the ids of the workers that have started tasks of a job."""
    return {worker_id for task, _, worker_id in workers.starts if task.job_id == job_id}


@pytest.mark.parametrize("entry_lag_s", [0.0, 1.2])
@pytest.mark.parametrize("down_s", [0.0, 0.5])
@pytest.mark.parametrize("changes", [{"labels": ("b",)}, {"cpu_millis": 1000}])
@paused_clock.test
async def test_new_life_is_not_taken_for_the_former_kind(
    changes: dict[str, Any], down_s: float, entry_lag_s: float
) -> None:
    """Guards against tasks on a worker without their label or beyond its room.

    The report of the new life may come before its entry or after it.
    """
    workers = fakes.FakeWorkers(2)
    for worker_id, worker in workers.workers.items():
        worker.entry = dataclasses.replace(worker.entry, labels=("a",))
        workers.by_id[worker_id] = worker.entry
    workers.task_s = 1.0
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await harness.submit(_make_spec("a", 60, "a", 2000))
        await asyncio.sleep(2.2)
        workers.workers[WORKER].is_unresponsive = True
        await asyncio.sleep(down_s)
        begun = len(workers.starts)
        workers.crash(WORKER, entry_lag_s, **changes)
        await asyncio.sleep(entry_lag_s + 3.0)
        assert len(workers.starts) > begun
        assert WORKER not in {worker_id for _, _, worker_id in workers.starts[begun:]}
        label = changes.get("labels", ("a",))[0]
        await harness.submit(_make_spec("b", 1, label, 1000))
        await harness.wait_state("b", model.JobState.DONE)
        assert WORKER in _find_workers(workers, "b")
    assert not workers.violations


@paused_clock.test
async def test_entry_of_a_former_life_does_not_drain_the_present_one() -> None:
    """Guards against lasting tasks that leave a worker which is not draining.

    The next owner has read only the entry of the life before, which was draining.
    """
    workers = fakes.FakeWorkers(1)
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
        workers.crash(WORKER)
        await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
        await harness.wait_state("a", model.JobState.RUNNING)
    current = workers.by_id[WORKER]
    workers.by_id[WORKER] = dataclasses.replace(current, born_ms=1, is_draining=True)
    workers.add("other", "quotes")
    async with helpers.run_owner(harness):
        await asyncio.sleep(3.0)
        assert _find_workers(workers, "a") == {WORKER}
        workers.by_id[WORKER] = dataclasses.replace(current, is_draining=True)
        await asyncio.sleep(3.0)
    assert _find_workers(workers, "a") == {WORKER, "other"}
    assert not workers.violations
