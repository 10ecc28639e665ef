"""Tests that one odd worker or job costs its partition no other one."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from clementinespar.jobs import command_intake, model, partitions, state
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

ODD_NAME = "\ud800"  # JSON can hold it, UTF-8 cannot


@paused_clock.test
async def test_pool_whose_name_utf8_cannot_encode() -> None:
    """Guards against partitions that no owner can load while such an entry is there.

    Each owner ended when it opened the sessions, and each next owner as well.
    """
    workers = fakes.FakeWorkers(2)
    workers.add("odd", ODD_NAME)
    harness = helpers.OwnerHarness(workers)
    partition_map = partitions.PartitionMap(12)
    harness.owns_pool = lambda pool: partition_map.find(pool) == 3
    await harness.submit(helpers.make_spec("a"))
    for _ in range(2):
        async with helpers.run_owner(harness) as owner:
            await asyncio.sleep(3.0)
            assert not owner.has_failed
            assert owner.is_loaded
    assert harness.owner.describe("a") is model.JobState.DONE


def fail_for(job_id: str, handle: Callable[..., Any]) -> Callable[..., Any]:
    """Return a handler of jobs that raises for one of them."""

    def handle_or_fail(self: Any, job: state.JobProgress) -> Any:
        if job.spec.job_id == job_id:
            raise OverflowError("cannot convert")
        return handle(self, job)

    return handle_or_fail


@pytest.mark.parametrize("is_adopted", [False, True])
def test_job_that_cannot_be_taken_over(
    monkeypatch: pytest.MonkeyPatch, is_adopted: bool
) -> None:
    """Guards against a partition that no owner can load because of one job."""

    @paused_clock.test
    async def play() -> None:
        harness = helpers.OwnerHarness(fakes.FakeWorkers(2))
        harness.workers.task_s = 2.0
        for job_id in ("odd", "sound"):
            await harness.submit(helpers.make_spec(job_id, task_count=1))
        if is_adopted:
            async with helpers.run_owner(harness):
                await asyncio.sleep(0.5)
        intake = command_intake.CommandIntake
        monkeypatch.setattr(
            intake, "set_deadline", fail_for("odd", intake.set_deadline)
        )
        async with helpers.run_owner(harness) as owner:
            await harness.wait_state("sound", model.JobState.DONE)
            assert not owner.has_failed
        named = [
            fields for name, fields in harness.events if name == "unexpected_error"
        ]
        assert {fields["job"] for fields in named} == {"odd"}
        # A later build that can handle the job goes on with it.
        monkeypatch.undo()
        async with helpers.run_owner(harness):
            await harness.wait_state("odd", model.JobState.DONE)
        assert not harness.workers.violations

    play()


def fail_first(count: int, call: Callable[..., Awaitable[Any]]) -> Callable[..., Any]:
    """Return a call that raises an unexpected error the first times."""
    calls = 0

    async def call_or_fail(*arguments: Any, **options: Any) -> Any:
        nonlocal calls
        calls += 1
        if calls <= count:
            raise OverflowError("port must be 0-65535")
        return await call(*arguments, **options)

    return call_or_fail


@pytest.mark.parametrize("method", ["renew", "start", "stop"])
def test_unexpected_error_of_a_call_to_a_worker(
    monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    """Guards against a worker or a task that nothing cares for after such an error."""

    @paused_clock.test
    async def play() -> None:
        workers = fakes.FakeWorkers(1)
        monkeypatch.setattr(workers, method, fail_first(3, getattr(workers, method)))
        harness = helpers.OwnerHarness(workers)
        await harness.submit(helpers.make_spec("a", task_count=4))
        async with helpers.run_owner(harness):
            await harness.wait_state("a", model.JobState.DONE)
            await asyncio.sleep(1.0)
            assert not harness.owner.sessions_by_id["quotes-0"].runs
        assert not workers.violations
        if method != "stop":  # nothing has to be stopped
            assert "unexpected_error" in {name for name, _ in harness.events}

    play()
