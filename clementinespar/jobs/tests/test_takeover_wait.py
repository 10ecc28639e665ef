"""Tests of how long the next owner holds all tasks back for one silent worker."""

import asyncio

import pytest

from clementinespar.jobs import pool_owner, worker_session
from clementinespar.jobs.tests import fakes, helpers, test_fence_checks
from clementinespar.tests import paused_clock

# A task that lasts may have nothing running for 3 s, from 6 s after its last run.
STANDSTILL_S = 9.0
NO_OWNER_S = 1.9  # from the loss of an owner until the next one loads


@pytest.mark.parametrize("is_answered", [True, False])
@paused_clock.test
async def test_tasks_beside_a_start_without_an_answer_run_again_in_time(
    is_answered: bool,
) -> None:
    """Guards against jobs that one lost answer holds back after a change of owner.

    The worker of the start has ended, and the list of hosts fails. The task that fails
    as its owner is lost runs on another worker, which answers all the while.
    """
    workers = fakes.FakeWorkers(2)
    workers.lists_hosts = False
    harness = helpers.OwnerHarness(workers)
    loop = asyncio.get_running_loop()
    async with helpers.run_owner(harness):
        await asyncio.sleep(2.0)
        await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
        await asyncio.sleep(1.0)
        ((_, _, used),) = workers.starts
        other = next(worker_id for worker_id in workers.workers if worker_id != used)
        workers.workers[other].drops_starts = not is_answered
        # It does not fit beside the first task.
        await harness.submit(helpers.make_spec("b", 1, cpu=4000, is_lasting=True))
        await asyncio.sleep(0.1)
        workers.end(other)
        await asyncio.sleep(2.0)
    workers.fail_runs(used)
    failed_at = loop.time()
    started = len(workers.starts)
    await asyncio.sleep(NO_OWNER_S)
    async with helpers.run_owner(harness):
        while len(workers.starts) == started:
            await asyncio.sleep(0.02)
    assert workers.starts[-1][0].job_id == "a"
    assert loop.time() - failed_at < STANDSTILL_S


async def _wait_report(session: worker_session.WorkerSession) -> None:
    """Wait for the next report of a worker."""
    reported_at = session.last_contact
    while session.last_contact == reported_at:
        await asyncio.sleep(0.001)


@paused_clock.test
async def test_lease_is_not_extended_while_the_record_of_its_end_is_awaited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a lease beyond the end that the next owner reads.

    A start that is not sent marks the worker as unresponsive between two renewals,
    while an earlier append is on its way. The owner is lost before the next report.
    """
    # It takes place between two renewals.
    monkeypatch.setattr(
        pool_owner, "HOUSEKEEPING_INTERVAL_S", worker_session.RENEW_SPACING_S / 4
    )
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    harness.store = test_fence_checks.SlowStore()
    harness.store.append_s = append_s = 0.25
    await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(3.0)
        ((_, _, used),) = workers.starts
        session = owner.sessions_by_id[used]
        await _wait_report(session)
        wait_s = worker_session.RENEW_WAIT_MS / 1000
        await asyncio.sleep(wait_s - append_s - 0.05)
        # No worker has room for it, and its adoption is on its way to the store.
        await harness.submit(helpers.make_spec("b", 1, cpu=8000))
        await _wait_report(session)
        session.mark_unresponsive()
        harness.store.append_s = 0.0
        await asyncio.sleep(append_s)
    workers.cut_for.add((used, 2))
    async with helpers.run_owner(harness):
        await asyncio.sleep(helpers.LEASE_MAX_S + 0.5)
    assert len(workers.starts) == 2
    assert not workers.violations
