"""Tests of run numbers that two owners of a partition give in turn."""

import asyncio

import pytest
from hypothesis import given, strategies

from clementinespar.jobs import model, ownership, state
from clementinespar.jobs.tests import fakes, helpers, test_ownership
from clementinespar.tests import paused_clock

USED_UP = state.RUNS_PER_EPOCH + 100


def fail_at_once(workers: fakes.FakeWorkers, count: int) -> None:
    """Let all runs that start before `count` of them did end as failed."""

    def on_start(task: model.TaskKey) -> None:
        if len(workers.starts) < count:
            worker_id = workers.starts[-1][2]
            asyncio.get_running_loop().call_later(0.05, workers.fail_runs, worker_id)

    workers.on_start = on_start


@pytest.mark.parametrize("left", [0, 50])
@paused_clock.test
async def test_end_of_a_former_run_does_not_free_its_task(left: int) -> None:
    """Guards against two runs: an end of one is taken for that of another.

    The first owner has used up the numbers of its epoch. Its last runs end on a worker
    that reaches the next owner only after the task has started elsewhere.
    """
    workers = fakes.FakeWorkers(2)
    former, other = workers.workers
    workers.cut_for.add((other, 1))
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
    fail_at_once(workers, state.RUNS_PER_EPOCH + 1 - left)
    async with helpers.run_owner(harness):
        async with asyncio.timeout(300.0):
            while len(workers.starts) < state.RUNS_PER_EPOCH + 1 - left:
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        harness.store.cut_epochs.add(1)
        workers.fail_runs(former)
        await asyncio.sleep(0.01)
    workers.cut_for.add((former, 2))
    async with helpers.run_owner(harness):
        await asyncio.sleep(10.0)
        workers.cut_for.discard((former, 2))
        await asyncio.sleep(3.0)
    assert not workers.violations
    numbers = [run for _, run, _ in workers.starts]
    assert numbers == sorted(set(numbers))


@paused_clock.test
async def test_task_starts_where_a_former_owner_has_used_up_its_numbers() -> None:
    """Guards against a task that waits as its worker refuses its numbers as stale."""
    workers = fakes.FakeWorkers(1)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
    fail_at_once(workers, USED_UP)
    async with helpers.run_owner(harness):
        async with asyncio.timeout(300.0):
            while len(workers.starts) < USED_UP:
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        workers.fail_runs(*workers.workers)
        harness.freeze_confirmation(asyncio.get_running_loop().time() - 60.0)
        await asyncio.sleep(3.0)
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
        assert len(workers.starts) == USED_UP + 1
    numbers = [run for _, run, _ in workers.starts]
    assert numbers == sorted(set(numbers))


@given(
    strategies.integers(1, 4), strategies.integers(0, 4), strategies.integers(0, 9000)
)
def test_numbers_stay_below_those_of_the_next_owner(
    first_epoch: int, later: int, last_run: int
) -> None:
    """Guards against a run number that the next owner gives again."""
    epoch = first_epoch + later
    job = state.JobProgress(helpers.make_spec("a"))
    job.first_epoch = first_epoch
    task = job.occurrences[0].steps[0].tasks[0]
    task.last_run = last_run
    if not job.may_use(job.next_run(task, epoch), epoch):
        job.extend_ranges(job.extended_epoch())
    number = job.next_run(task, epoch)
    assert job.may_use(number, epoch)
    assert number > last_run
    restored = state.JobProgress(job.spec)
    state.restore_progress(restored, state.encode_progress(job))
    assert restored.first_epoch  # owners take 0 for none
    first_of_next = restored.next_run(
        restored.occurrences[0].steps[0].tasks[0], epoch + 1
    )
    assert first_of_next > number


@paused_clock.test
async def test_epoch_is_not_used_again_where_leaving_the_group_has_failed() -> None:
    """Guards against two runs of one number: the node is still a member as before.

    The second owner has not heard of the worker of the first run.
    """
    partitions = frozenset({test_ownership.PARTITION, test_ownership.FLEET_PARTITION})
    harness = test_ownership.ManagerHarness(partitions)
    workers = await harness.submit_lasting("a")
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        workers.cut_for.add((workers.starts[0][2], 1))
        harness.group.lost_leaves = 3
        harness.fleet_owners[0].is_lost = harness.fleet_owners[0].has_failed = True
        await asyncio.sleep(6.0)
        assert not workers.violations
        assert harness.epochs == [1]
        assert harness.group.leaves == 4
        harness.assign(2, *partitions)
        await asyncio.sleep(2.0)
    assert not workers.violations
    assert harness.epochs == [1, 2]
