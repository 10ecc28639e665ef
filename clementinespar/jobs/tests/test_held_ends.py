"""Tests of ends that an owner cannot handle."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from clementinespar.jobs import (
    crash_counts,
    model,
    neighbours,
    owner_quotas,
    state,
    worker_ends,
)
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock


def fail_for(job_id: str, count: int, handle: Callable[..., Any]) -> Callable[..., Any]:
    """Return a function that raises the first times that it gets a job or a run."""
    left = count

    def handle_or_fail(*arguments: Any) -> Any:
        nonlocal left
        named = {
            getattr(getattr(argument, name, None), "job_id", "")
            for argument in arguments
            for name in ("spec", "key")
        }
        if job_id in named and left:
            left -= 1
            raise OverflowError("cannot convert")
        return handle(*arguments)

    return handle_or_fail


@pytest.mark.parametrize(
    "owner, name, final",
    [
        (neighbours.Neighbours, "add_end", model.JobState.DONE),
        (crash_counts, "acquit", model.JobState.DONE),
        (state, "mark_done", model.JobState.DONE),
        (owner_quotas.OwnerQuotas, "record_leftover", model.JobState.DONE),
        (owner_quotas.OwnerQuotas, "record_leftover", model.JobState.FAILED),
    ],
)
@pytest.mark.parametrize("count", [1, 1000])
def test_end_whose_handling_raises(
    monkeypatch: pytest.MonkeyPatch,
    owner: Any,
    name: str,
    final: model.JobState,
    count: int,
) -> None:
    """Guards against an ended task that starts again, and ends that are skipped."""

    @paused_clock.test
    async def play() -> None:
        workers = fakes.FakeWorkers(1)
        harness = helpers.OwnerHarness(workers)
        for job_id in ("odd", "sound"):
            await harness.submit(helpers.make_spec(job_id, 1, max_attempts=1))
        if final is model.JobState.FAILED:
            workers.failing_jobs.add("odd")
        monkeypatch.setattr(owner, name, fail_for("odd", count, getattr(owner, name)))
        async with helpers.run_owner(harness) as first:
            await harness.wait_state("sound", model.JobState.DONE)
            await asyncio.sleep(2.0)
            if count == 1:
                assert first.describe("odd") is final
            assert not first.has_failed
        monkeypatch.undo()
        async with helpers.run_owner(harness):
            await harness.wait_state("odd", final)
        assert not workers.violations
        assert len(workers.starts) == 2
        named = [name for name, _ in harness.events]
        assert named.count("unexpected_error") == 1

    play()


def test_worker_whose_ends_are_held_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a worker that lists only ends that cannot be acknowledged.

    Runs whose ends it lists no more would never end for their owner.
    """

    @paused_clock.test
    async def play() -> None:
        monkeypatch.setattr(worker_ends, "REPORTED_ENDS", 40)
        monkeypatch.setattr(worker_ends, "HELD_UP_MAX", 20)
        monkeypatch.setattr(state, "mark_done", fail_for("odd", 10**6, state.mark_done))
        workers = fakes.FakeWorkers(1)
        harness = helpers.OwnerHarness(workers)
        await harness.submit(helpers.make_spec("odd", 1))
        async with helpers.run_owner(harness) as owner:
            await asyncio.sleep(2.0)
            workers.add("other", "quotes")
            await harness.submit(helpers.make_spec("sound", 120, cpu=500))
            await harness.wait_state("sound", model.JobState.DONE)
            await asyncio.sleep(1.0)
            held_up = workers.workers["quotes-0"].ended
            assert worker_ends.HELD_UP_MAX < len(held_up) < worker_ends.REPORTED_ENDS
            assert not workers.workers["other"].ended
            assert not owner.sessions_by_id["quotes-0"].runs
        monkeypatch.undo()
        async with helpers.run_owner(harness):
            await harness.wait_state("odd", model.JobState.DONE)
            await asyncio.sleep(2.0)
            assert not workers.workers["quotes-0"].ended
        assert not workers.violations

    play()
