"""Tests of the log of lasting tasks that wait."""

import asyncio

from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock


@paused_clock.test
async def test_log_names_the_worker_that_a_lasting_task_waits_for() -> None:
    """Guards against a lasting task that stands still without a line that says why."""
    workers = fakes.FakeWorkers(3)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=1, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
    used = workers.starts[0][2]
    workers.workers[used].is_unresponsive = True
    async with helpers.run_owner(harness):
        await asyncio.sleep(3.0)
    held = [fields for event, fields in harness.events if event == "lasting_held"]
    assert held
    assert held[0]["has_room"]
    assert set(held[0]["unsettled"]) == {used}  # type: ignore[call-overload]


@paused_clock.test
async def test_log_says_that_a_draining_worker_keeps_its_lasting_task() -> None:
    """Guards against a drain that a lasting task outlives unnoticed."""
    workers = fakes.FakeWorkers(1)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=1, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
        workers.drain("quotes-0")
        await asyncio.sleep(3.0)
    blocked = [fields for event, fields in harness.events if event == "move_blocked"]
    assert [fields["reason"] for fields in blocked] == ["no other worker has room"]
