"""Tests of orders that reach a later life of their worker, which has another clock."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from clementinespar.jobs import worker_deaths
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

WORKER = "quotes-0"
TASK_WAIT_S = 20.0  # in which a task on a silent worker starts elsewhere


async def _wait_event(harness: helpers.OwnerHarness, event: str) -> None:
    """Wait until the owner logs an event once more."""
    count = len(harness.events)
    while all(name != event for name, _ in harness.events[count:]):
        await asyncio.sleep(0.001)


async def _submit_lasting(harness: helpers.OwnerHarness, job_id: str) -> None:
    """Submit a lasting task and wait until its start is sent."""
    await harness.submit(helpers.make_spec(job_id, 1, is_lasting=True))
    await _wait_event(harness, "start")


async def _wait_renewal_of_a_former_life(workers: fakes.FakeWorkers) -> None:
    """Wait until the lease on the worker is longer than its owner grants."""
    worker = workers.workers[WORKER]
    while worker.lease_until_ms - worker.clock_ms() < 5500:
        await asyncio.sleep(0.001)


async def _start_late(harness: helpers.OwnerHarness) -> None:
    """Let a start without an answer reach the next life, which is always silent."""
    workers = harness.workers
    workers.late_s[WORKER] = 0.8
    await _submit_lasting(harness, "a")
    await asyncio.sleep(0.3)
    workers.crash(WORKER)


async def _answer_start(harness: helpers.OwnerHarness) -> None:
    """Let the next life answer a start; its host is listed late, and it is silent."""
    workers = harness.workers
    workers.list_lag_s = worker_deaths.LIST_LAG_S
    await _submit_lasting(harness, "a")
    workers.crash(WORKER)
    while not workers.starts:
        await asyncio.sleep(0.001)
    await asyncio.sleep(0.005)
    workers.workers[WORKER].is_unresponsive = True


async def _renew_late(harness: helpers.OwnerHarness) -> None:
    """Let a renewal without an answer reach the next life, which has work by then."""
    workers = harness.workers
    workers.late_s[WORKER] = 2.5
    await _wait_event(harness, "worker_silent")
    del workers.late_s[WORKER]
    workers.crash(WORKER)
    await _submit_lasting(harness, "a")
    await _wait_renewal_of_a_former_life(workers)
    workers.workers[WORKER].is_unresponsive = True


async def _overtake_answer(harness: helpers.OwnerHarness) -> None:
    """Answer a start after a report of the next life, which is silent soon."""
    workers = harness.workers
    workers.start_answer_s = 0.4
    await _submit_lasting(harness, "b")
    await asyncio.sleep(0.05)
    workers.crash(WORKER)
    await asyncio.sleep(0.36)
    workers.start_answer_s = 0.0
    await _submit_lasting(harness, "a")
    await asyncio.sleep(0.01)
    workers.workers[WORKER].is_unresponsive = True


@pytest.mark.parametrize(
    ("play", "hand_over_s"),
    [
        (_start_late, None),
        (_start_late, 2.0),
        (_answer_start, None),
        (_answer_start, 2.0),
        (_renew_late, None),
        (_renew_late, 0.0),
        (_overtake_answer, None),
        (_overtake_answer, 0.0),
    ],
)
@paused_clock.test
async def test_lease_on_the_clock_of_a_former_life(
    play: Callable[[helpers.OwnerHarness], Awaitable[None]], hand_over_s: float | None
) -> None:
    """Guards against a run that outlasts its lease in the next life of its worker."""
    workers = fakes.FakeWorkers(1)
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await asyncio.sleep(2.0)
        await play(harness)
        workers.add("other", "quotes")
        await asyncio.sleep(TASK_WAIT_S if hand_over_s is None else hand_over_s)
    if hand_over_s is not None:
        workers.cut_for.add((WORKER, 2))
        async with helpers.run_owner(harness):
            await asyncio.sleep(TASK_WAIT_S)
    used = [worker_id for task, _, worker_id in workers.starts if task.job_id == "a"]
    assert used == [WORKER, "other"]
    assert not workers.violations


@paused_clock.test
async def test_start_without_an_answer_from_a_worker_that_has_ended() -> None:
    """Guards against a task that waits for a later life of a worker that has none."""
    workers = fakes.FakeWorkers(1)
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await asyncio.sleep(2.0)
        workers.workers[WORKER].drops_starts = True
        await _submit_lasting(harness, "a")
        workers.end(WORKER)
        workers.add("other", "quotes")
        await asyncio.sleep(helpers.LEASE_MAX_S)
    assert [worker_id for _, _, worker_id in workers.starts] == ["other"]


@pytest.mark.parametrize("is_silent", [False, True])
@paused_clock.test
async def test_start_that_a_later_life_gets_after_its_run_was_given_up(
    is_silent: bool,
) -> None:
    """Guards against two runs of a task whose first start is carried out very late."""
    workers = fakes.FakeWorkers(1)
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await asyncio.sleep(2.0)
        workers.late_s[WORKER] = 15.0
        await _submit_lasting(harness, "a")
        await asyncio.sleep(0.005)
        del workers.late_s[WORKER]
        workers.add("other", "quotes")
        workers.drain(WORKER)  # so that the task starts on the other one
        workers.workers[WORKER].is_unresponsive = is_silent
        await _wait_event(harness, "start")
        workers.crash(WORKER)
        await asyncio.sleep(TASK_WAIT_S)
    assert [worker_id for _, _, worker_id in workers.starts] == ["other"]
    assert not workers.violations
