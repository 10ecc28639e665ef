"""Tests of jobs whose stored records their owner cannot read."""

import asyncio

import pytest

from clementinespar import codes, errors
from clementinespar.jobs import model, pool_owner, services
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

PROGRESS, COMMANDS = services.Topic.PROGRESS, services.Topic.COMMANDS


async def begin_unreadable(
    harness: helpers.OwnerHarness, topic: services.Topic, task_s: float
) -> bytes:
    """Let an owner start two jobs, and spoil a record of one; returns its value.

    The next owner begins 0.5 s later.
    """
    harness.workers.task_s = task_s
    for job_id in ("odd", "sound"):
        await harness.submit(helpers.make_spec(job_id, 2))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
    await asyncio.sleep(0.5)
    records = harness.store.values[topic, helpers.PARTITION]
    key = find_key(topic)
    value = records[key]
    records[key] = b"\xff" + value
    return value


def find_key(topic: services.Topic) -> str:
    """Return the key of the record of the job in a topic."""
    return "podd" if topic is PROGRESS else "jodd"


def check_unknown(owner: pool_owner.PoolOwner) -> None:
    """Check that the owner claims nothing about the job."""
    with pytest.raises(errors.ClementinesparError) as raised:
        owner.describe("odd")
    assert raised.value.code is codes.ResultCode.ENTRY_INVALID
    with pytest.raises(errors.ClementinesparError):
        owner.explain("odd")


@pytest.mark.parametrize(
    "topic, task_s, start_count",
    [
        (PROGRESS, 1.2, 4),
        (PROGRESS, 6.0, 4),
        (COMMANDS, 1.2, 4),
        (COMMANDS, 6.0, 6),  # stopped, as it is not known what its tasks need
    ],
)
@paused_clock.test
async def test_job_whose_record_cannot_be_read(
    topic: services.Topic, task_s: float, start_count: int
) -> None:
    """Guards against a job that runs again as a new one, and against its lost ends.

    Its tasks end before or under the owner that cannot read it, which does not reach
    one of the workers at first.
    """
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    value = await begin_unreadable(harness, topic, task_s)
    records = harness.store.values[topic, helpers.PARTITION]
    workers.cut_for.add(("quotes-0", 2))
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(2.0)
        workers.cut_for.clear()
        await harness.wait_state("sound", model.JobState.DONE)
        await harness.submit(helpers.make_spec("odd", 2))  # a repeated request
        records[find_key(topic)] = b"\xff" + value
        await asyncio.sleep(8.0)  # beyond the leases of the first owner
        check_unknown(owner)
        assert not owner.has_failed
    records[find_key(topic)] = value
    async with helpers.run_owner(harness):
        await harness.wait_state("odd", model.JobState.DONE)
        await asyncio.sleep(2.0)
    assert not workers.violations
    assert len(workers.starts) == start_count
    assert not any(worker.ended for worker in workers.workers.values())


@pytest.mark.parametrize("topic", [PROGRESS, COMMANDS])
@paused_clock.test
async def test_unreadable_job_is_cancelled(topic: services.Topic) -> None:
    """Guards against an acknowledged cancellation that changes nothing."""
    harness = helpers.OwnerHarness(fakes.FakeWorkers(2))
    await begin_unreadable(harness, topic, 60.0)
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
        await harness.cancel("odd")
        await harness.wait_state("odd", model.JobState.CANCELLED)
        await asyncio.sleep(2.0)
        running = [
            task.job_id
            for worker in harness.workers.workers.values()
            for task in worker.running
        ]
        assert running == ["sound", "sound"]
        assert not any(w.ended for w in harness.workers.workers.values())
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(1.0)
        assert owner.describe("odd") is model.JobState.CANCELLED


@paused_clock.test
async def test_open_job_without_its_command_is_not_done() -> None:
    """Guards against a job that is shown as done since no step of it is known."""
    harness = helpers.OwnerHarness(fakes.FakeWorkers(2))
    await begin_unreadable(harness, COMMANDS, 60.0)
    del harness.store.values[COMMANDS, helpers.PARTITION]["jodd"]
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(8.0)
        check_unknown(owner)
