"""Tests of jobs that have ended and whose state has expired."""

import asyncio

import pytest

from clementinespar import codes, errors
from clementinespar.jobs import model, progress_writer, services
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

EXPIRY_S = progress_writer.STATUS_RETENTION_MS / 1000 + 10.0

pytestmark = pytest.mark.usefixtures("loop_wall_clock")


def stored_keys(harness: helpers.OwnerHarness, topic: services.Topic) -> set[str]:
    """Return the keys of a topic that are about jobs."""
    keys = harness.store.values[topic, helpers.PARTITION]
    return {key for key in keys if key[0] in "jp"}


@pytest.mark.parametrize("repeated_after_s", [0.05, 0.4, 4.0, 100.0])
@paused_clock.test
async def test_job_that_is_submitted_again_after_its_end(
    repeated_after_s: float,
) -> None:
    """Guards against a job that runs again once its final state has expired."""
    harness = helpers.OwnerHarness(fakes.FakeWorkers(2))
    spec = helpers.make_spec("a")
    async with helpers.run_owner(harness):
        await harness.submit(spec)
        await harness.wait_state("a", model.JobState.DONE)
        await asyncio.sleep(repeated_after_s)
        await harness.submit(spec)
        await asyncio.sleep(EXPIRY_S)
        assert not stored_keys(harness, services.Topic.COMMANDS)
        assert not stored_keys(harness, services.Topic.PROGRESS)
    async with helpers.run_owner(harness):
        await asyncio.sleep(5.0)
    assert len(harness.workers.starts) == 2
    assert not harness.workers.violations


@paused_clock.test
async def test_owner_is_lost_before_it_has_deleted_the_command() -> None:
    """Guards against a command that outlives the final state of its job."""
    harness = helpers.OwnerHarness(fakes.FakeWorkers(2))
    async with helpers.run_owner(harness):
        await harness.submit(helpers.make_spec("a"))
        await harness.wait_state("a", model.JobState.DONE)
        harness.store.append = refuse  # type: ignore[method-assign, assignment]
        await asyncio.sleep(EXPIRY_S)
        # The state is kept as long as the command.
        assert stored_keys(harness, services.Topic.PROGRESS)
    del harness.store.append
    for _ in range(2):
        async with helpers.run_owner(harness):
            await asyncio.sleep(EXPIRY_S)
    assert not stored_keys(harness, services.Topic.COMMANDS)
    assert not stored_keys(harness, services.Topic.PROGRESS)
    assert len(harness.workers.starts) == 2


async def refuse(*arguments: object) -> None:
    """Refuse an append of commands, as a store that is busy."""
    raise errors.ClementinesparError(codes.ResultCode.STORE_REFUSED, "busy")
