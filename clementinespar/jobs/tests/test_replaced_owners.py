"""Tests of replaced owners, and of runs whose end only the next owner has seen."""

import asyncio
import dataclasses

import pytest

from clementinespar.jobs import crash_counts, model, pool_owner, run_ends
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

TAKEOVER_S = 1.5  # from the last confirmation of an owner to the next owner
TASK_S = 4.0  # the task ends after the takeover
# From the takeover until the next owner has stored and acknowledged that end. The
# replaced owner can still grant leases then.
ACKNOWLEDGED_S = 2.0


def _make_chain() -> model.JobSpec:
    """Return a job that is not done with its first task."""
    spec = helpers.make_spec("a", 1)
    (step,) = spec.steps
    return dataclasses.replace(
        spec, steps=(step, dataclasses.replace(step, after=(0,)))
    )


def _split(workers: fakes.FakeWorkers, replaced: int) -> str:
    """Cut an owner off from the worker in use, and the next one from the other."""
    used = workers.starts[0][2]
    other = next(worker_id for worker_id in workers.workers if worker_id != used)
    workers.cut_for |= {(used, replaced), (other, replaced + 1)}
    return used


async def _wait_for(event: str, harness: helpers.OwnerHarness) -> None:
    """Wait until an owner has logged an event."""
    async with asyncio.timeout(5.0):
        while event not in dict(harness.events):
            await asyncio.sleep(0.01)


async def _lose_worker(
    harness: helpers.OwnerHarness, used: str, replaced: int, is_restarted: bool
) -> None:
    """End the worker after the next owner has acknowledged the end of its run.

    If it restarts, only the replaced owner reaches its next life.
    """
    workers = harness.workers
    await asyncio.sleep(ACKNOWLEDGED_S)
    assert len(workers.acknowledged_done) == 1
    if is_restarted:
        workers.cut_for -= {(used, replaced)}
        workers.cut_for |= {(used, replaced + 1)}
        workers.crash(used)
    else:
        workers.end(used)
    await asyncio.sleep(6.0)


@pytest.mark.parametrize(
    ("is_restarted", "is_stopped"),
    [
        pytest.param(False, False, id="its worker has ended"),
        pytest.param(True, False, id="no longer listed"),
        pytest.param(True, True, id="stopped before it started"),
    ],
)
@paused_clock.test
async def test_replaced_owner_starts_a_task_whose_end_is_acknowledged(
    is_restarted: bool, is_stopped: bool
) -> None:
    """Guards against a start after an end that only the next owner has seen.

    The replaced owner is cut off from the store and from the worker of the run, then
    finds that the worker has ended or begun another life.
    """
    workers = fakes.FakeWorkers(2)
    workers.task_s = TASK_S
    harness = helpers.OwnerHarness(workers)
    previous = harness.make_owner()
    async with pool_owner.own_partition(previous):
        await asyncio.sleep(3.0)
        await harness.submit(_make_chain())
        # A later start of the task need not be stored first if its worker dies.
        await asyncio.sleep(crash_counts.SUSPECT_S + 0.5)
        used = _split(workers, previous.epoch)
        if is_stopped:
            session = previous.sessions_by_id[used]
            session.stop(next(iter(session.runs.values())), "a test")
        harness.freeze_confirmation(asyncio.get_running_loop().time())
        harness.store.cut_epochs.add(previous.epoch)
        await asyncio.sleep(TAKEOVER_S)
        async with helpers.run_owner(harness):
            await _lose_worker(harness, used, previous.epoch, is_restarted)
    assert not workers.violations


@pytest.mark.parametrize(
    "is_restarted",
    [
        pytest.param(False, id="its worker has ended"),
        pytest.param(True, id="its worker answers in another life"),
    ],
)
@paused_clock.test
async def test_replaced_owner_ends_its_wait_for_a_run_whose_end_is_acknowledged(
    is_restarted: bool,
) -> None:
    """Guards against a start after an end that only the owner after next has seen.

    The second owner waits for the worker of a run of the first one and is cut off from
    it and the store. The third one adopts the run.
    """
    workers = fakes.FakeWorkers(2)
    workers.task_s = TASK_S
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await asyncio.sleep(3.0)
        await harness.submit(_make_chain())
        await asyncio.sleep(crash_counts.SUSPECT_S + 0.5)
    second = harness.make_owner()
    used = _split(workers, second.epoch)
    async with pool_owner.own_partition(second):
        await asyncio.sleep(0.3)
        harness.freeze_confirmation(asyncio.get_running_loop().time())
        harness.store.cut_epochs.add(second.epoch)
        await asyncio.sleep(TAKEOVER_S)
        async with helpers.run_owner(harness):
            await _lose_worker(harness, used, second.epoch, is_restarted)
    assert not workers.violations


@pytest.mark.parametrize("is_join", [False, True])
@pytest.mark.parametrize("is_listed_again", [False, True])
@paused_clock.test
async def test_conclusion_waits_for_a_confirmation_and_yields_to_the_run(
    is_listed_again: bool, is_join: bool
) -> None:
    """Guards against tasks that wait for ever, or start beside a run that is back.

    The owner is out of touch while a list of hosts lacks the worker, and then stays the
    owner by the next join, or by the next append.
    """
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(3.0)
        worker = workers.workers[workers.starts[0][2]]
        harness.confirmed_at = asyncio.get_running_loop().time()
        harness.store.cut_epochs.add(owner.epoch)
        worker.is_unresponsive = True
        workers.omitted_hosts = {worker.entry.worker_id}
        await asyncio.sleep(2.0)
        assert "conclusions_pending" in dict(harness.events)
        if is_listed_again:
            worker.is_unresponsive = False
            workers.omitted_hosts.clear()
            await asyncio.sleep(1.0)
        else:
            workers.end(worker.entry.worker_id)
        assert len(workers.starts) == 1
        if is_join:
            harness.confirmed_at = None
        else:
            harness.store.cut_epochs.clear()
        await asyncio.sleep(1.2)  # the append is being tried again
        assert "conclusions_confirmed" in dict(harness.events)
        assert len(workers.starts) == (1 if is_listed_again else 2)
        assert bool(worker.running) is is_listed_again
    assert not workers.violations


@paused_clock.test
async def test_confirmation_of_an_earlier_conclusion_does_not_confirm_a_later_one() -> (
    None
):
    """Guards against a start after an end that was acknowledged since a confirmation.

    The replaced owner takes a run for over twice, and finds it running in between. The
    answer to its last join arrives after that. The next owner adopts the run meanwhile.
    """
    workers = fakes.FakeWorkers(2)
    workers.task_s = TASK_S + 2.5
    harness = helpers.OwnerHarness(workers)
    loop = asyncio.get_running_loop()
    previous = harness.make_owner()
    async with pool_owner.own_partition(previous):
        await asyncio.sleep(3.0)
        await harness.submit(_make_chain())
        await asyncio.sleep(crash_counts.SUSPECT_S + 0.5)
        used = _split(workers, previous.epoch)
        await _wait_for("worker_silent", harness)
        harness.freeze_confirmation(loop.time())
        harness.store.cut_epochs.add(previous.epoch)
        workers.omitted_hosts = {used}
        await _wait_for("run_gone", harness)
        workers.omitted_hosts.clear()
        workers.cut_for -= {(used, previous.epoch)}
        await _wait_for("run_adopted", harness)
        await asyncio.sleep(crash_counts.SUSPECT_S + 0.1)
        workers.cut_for |= {(used, previous.epoch)}
        sent_at = loop.time()
        async with helpers.run_owner(harness):
            async with asyncio.timeout(5.0):
                while not workers.acknowledged_done:
                    await asyncio.sleep(0.01)
            workers.end(used)
            await asyncio.sleep(1.0)
            harness.freeze_confirmation(sent_at, previous.epoch)
            await asyncio.sleep(1.0)
    assert [event for event, _ in harness.events].count("run_gone") == 2
    assert not workers.violations


@paused_clock.test
async def test_replaced_owner_starts_no_waiting_task_in_a_new_life_of_a_worker() -> (
    None
):
    """Guards against two runs of a task that waited for room at a replaced owner.

    The next owner has heard the worker in its former life, so it waits for no lease
    there, and only the replaced owner reaches the present life.
    """
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    previous = harness.make_owner()
    async with pool_owner.own_partition(previous):
        await asyncio.sleep(3.0)
        await harness.submit(helpers.make_spec("a", 2, cpu=4000, is_lasting=True))
        await asyncio.sleep(2.0)
        await harness.submit(helpers.make_spec("b", 1, cpu=4000, is_lasting=True))
        await asyncio.sleep(2.0)
        used, other = [worker_id for _, _, worker_id in workers.starts]
        session = previous.sessions_by_id[used]
        last_contact = session.last_contact
        while session.last_contact == last_contact:
            await asyncio.sleep(0.005)
        workers.add("quotes-2", "quotes")
        workers.cut_for = {(worker_id, previous.epoch) for worker_id in workers.workers}
        harness.freeze_confirmation(asyncio.get_running_loop().time())
        harness.store.cut_epochs.add(previous.epoch)
        await asyncio.sleep(0.5)
        async with helpers.run_owner(harness) as owner:
            await asyncio.sleep(0.35)
            assert len(workers.starts) == 3
            workers.crash(used)
            workers.cut_for -= {(used, previous.epoch)}
            workers.cut_for |= {(used, owner.epoch)}
            await asyncio.sleep(5.0)
            assert session.born_ms == workers.workers[used].born_ms
    assert not workers.violations


@paused_clock.test
async def test_restart_after_a_death_waits_for_one_append_only() -> None:
    """Guards against restarts that wait for a join, or until there is more to store."""
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(3.0)
        harness.confirmed_at = asyncio.get_running_loop().time()
        workers.end(workers.starts[0][2])
        while "worker_dead" not in dict(harness.events):
            await asyncio.sleep(0.001)
        await asyncio.sleep(run_ends.LOST_RETRY_DELAY_S + 0.02)
        assert len(workers.starts) == 2
    assert not workers.violations
