"""Tests of a previous owner that still acts beside the next one."""

import asyncio
import math

import pytest

from clementinespar.jobs import (
    ownership,
    pool_owner,
    worker_deaths,
)
from clementinespar.jobs.tests import fakes, helpers, test_ownership
from clementinespar.tests import paused_clock


@pytest.mark.parametrize("cause", ["death", "failure"])
@paused_clock.test
async def test_task_that_both_owners_see_end_is_started_by_one(cause: str) -> None:
    """Guards against two runs of a task whose end both owners learn.

    The previous owner is cut off from the store and still has a worker that the next
    one cannot reach.
    """
    workers = fakes.FakeWorkers(3)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
    previous = harness.make_owner()
    previous_task = asyncio.ensure_future(previous.run())
    await asyncio.sleep(3.0)
    used = workers.starts[0][2]
    other, third = (worker_id for worker_id in workers.workers if worker_id != used)
    workers.cut_for |= {(other, 2), (third, 1)}
    await asyncio.sleep(0.2)
    harness.freeze_confirmation(asyncio.get_running_loop().time())
    async with helpers.run_owner(harness):
        if cause == "death":
            workers.cut_for.add((used, 1))  # else it learns of the next owner
            await asyncio.sleep(1.0)
            workers.end(used)
        else:
            # The renewal of the previous owner still waits at the worker.
            await asyncio.sleep(0.1)
            workers.fail_runs(used)
        await asyncio.sleep(4.0)
    previous_task.cancel()
    previous.close()
    await asyncio.sleep(0.01)
    assert not workers.violations


@paused_clock.test
async def test_run_whose_lease_the_next_owner_renews_is_not_started_again() -> None:
    """Guards against two runs of a task after its owner was cut off from its worker.

    The previous owner is also cut off from the store, and still has a worker that the
    next one cannot reach.
    """
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
    previous = harness.make_owner()
    previous_task = asyncio.ensure_future(previous.run())
    await asyncio.sleep(3.0)
    used = workers.starts[0][2]
    other = next(worker_id for worker_id in workers.workers if worker_id != used)
    workers.cut_for |= {(used, 1), (other, 2)}
    # The last renewal of the other worker follows a later confirmation.
    await asyncio.sleep(1.0)
    harness.freeze_confirmation(asyncio.get_running_loop().time())
    harness.store.cut_epochs.add(1)
    await asyncio.sleep(1.5)
    async with helpers.run_owner(harness):
        await asyncio.sleep(6.0)
    previous_task.cancel()
    previous.close()
    await asyncio.sleep(0.01)
    assert not workers.violations


@paused_clock.test
async def test_run_that_the_next_owner_adopts_is_not_started_after_the_wait() -> None:
    """Guards against two runs of a task whose owner waited for a previous lease.

    The first owner has gone. The second one cannot reach the worker of the run, and is
    cut off from the store while it waits. The third one reaches that worker, but not
    the other one.
    """
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
    loop = asyncio.get_running_loop()
    async with helpers.run_owner(harness):
        await asyncio.sleep(3.0)
    used = workers.starts[0][2]
    other = next(worker_id for worker_id in workers.workers if worker_id != used)
    workers.cut_for |= {(used, 2), (other, 3)}
    second = harness.make_owner()
    async with pool_owner.own_partition(second):
        await asyncio.sleep(1.0)
        harness.freeze_confirmation(loop.time())
        harness.store.cut_epochs.add(2)
        await asyncio.sleep(1.6)
        async with helpers.run_owner(harness):
            await asyncio.sleep(6.0)
    assert not workers.violations


@paused_clock.test
async def test_owner_out_of_touch_asks_for_few_lists_of_hosts() -> None:
    """Guards against lists without end, as its runs are kept until a confirmation."""
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(3.0)
        workers.workers[workers.starts[0][2]].is_unresponsive = True
        harness.freeze_confirmation(asyncio.get_running_loop().time())
        await asyncio.sleep(30.0)
    # One each 0.3 s until the lease of the confirmation ends.
    assert workers.host_lists <= helpers.LEASE_MAX_S / worker_deaths.CHECK_INTERVAL_S


@paused_clock.test
async def test_owner_whose_partition_was_another_ones_in_between_does_not_act() -> None:
    """Guards against two owners: one that has missed its loss is confirmed again.

    The other one, cut off in turn, has a worker that the first cannot reach.
    """
    harness = test_ownership.ManagerHarness(frozenset({test_ownership.PARTITION}))
    workers = await harness.submit_lasting("a")
    loop = asyncio.get_running_loop()
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        used = workers.starts[0][2]
        other = next(worker_id for worker_id in workers.workers if worker_id != used)
        workers.cut_for |= {(used, 1), (other, 5)}
        harness.group.is_down = True
        harness.store.cut_epochs.add(1)
        await asyncio.sleep(1.6)
        confirmed_at = loop.time()
        between = harness.make_other_owner(
            test_ownership.PARTITION, 5, lambda: confirmed_at
        )
        async with pool_owner.own_partition(between):
            for _ in range(16):
                await asyncio.sleep(0.3)
                confirmed_at = loop.time()
            # It is cut off from the store, and its leases last.
            await asyncio.sleep(1.6)
            harness.group.is_down = False
            harness.assign(6, test_ownership.PARTITION)
            harness.store.cut_epochs.clear()
            await asyncio.sleep(3.0)
    assert not workers.violations


@paused_clock.test
async def test_owner_that_missed_another_ones_turn_does_not_start_its_run() -> None:
    """Guards against two runs of a task if all partitions are dealt anew at once.

    Another member owns the partition for less than the time to live, adopts the run
    and renews its lease. The first owner joins again after that. The store takes its
    joins, but not its appends, and it cannot reach the worker of the run.
    """
    harness = test_ownership.ManagerHarness(frozenset({test_ownership.PARTITION}))
    workers = await harness.submit_lasting("a")
    loop = asyncio.get_running_loop()
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        used = workers.starts[0][2]
        other = next(worker_id for worker_id in workers.workers if worker_id != used)
        workers.cut_for |= {(used, 1), (other, 5)}
        harness.group.is_down = True  # its joins have no effect for 1.0 s
        harness.store.cut_epochs.add(1)
        confirmed_at = loop.time() + 0.9
        between = harness.make_other_owner(
            test_ownership.PARTITION, 5, lambda: min(confirmed_at, loop.time())
        )
        async with pool_owner.own_partition(between):
            await asyncio.sleep(1.0)
        harness.assign(6, test_ownership.PARTITION)
        harness.group.is_down = False
        await asyncio.sleep(6.0)
        assert harness.ownership_manager.gap_count == 1
    assert not workers.violations


@pytest.mark.parametrize("is_lasting", [True, False])
@paused_clock.test
async def test_owner_whose_first_append_is_late_does_not_act(is_lasting: bool) -> None:
    """Guards against two owners if one gets its partition back before the other began.

    All partitions are dealt anew twice. The store carries out the first append of the
    owner in between only after the first one has checked its fence. From then on, the
    first one's joins are answered, but its appends are not, and it cannot reach the
    worker of the run.
    """
    harness = test_ownership.ManagerHarness(frozenset({test_ownership.PARTITION}))
    workers = await harness.submit("a", is_lasting)
    workers.task_s = 6.0  # it ends while the late owner would renew its lease
    loop = asyncio.get_running_loop()
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        used = workers.starts[0][2]
        other = next(worker_id for worker_id in workers.workers if worker_id != used)
        workers.cut_for |= {(used, 1), (other, 5)}
        await asyncio.sleep(1.2)
        harness.group.is_down = True  # for the first one
        harness.store.cut_epochs.add(5)
        confirmed_at = loop.time()
        between = harness.make_other_owner(
            test_ownership.PARTITION, 5, lambda: confirmed_at
        )
        async with pool_owner.own_partition(between):
            await asyncio.sleep(0.5)
            harness.assign(6, test_ownership.PARTITION)
            harness.group.is_down = False
            await asyncio.sleep(0.5)
            assert harness.ownership_manager.gap_count == 1
            harness.store.cut_epochs = {1}
            await asyncio.sleep(6.0)
    assert not workers.violations


@paused_clock.test
async def test_owner_that_begins_late_waits_for_leases_granted_since_its_fence() -> (
    None
):
    """Guards against a wait that is counted from a first append, though it was late.

    The partition was the earlier owner's once more after that append, and that owner
    alone reaches the worker of the run. Its appends are not answered.
    """
    harness = test_ownership.ManagerHarness(frozenset())
    workers = await harness.submit_lasting("a")
    loop = asyncio.get_running_loop()
    last_confirmation = math.inf
    earlier = harness.make_other_owner(
        test_ownership.PARTITION, 1, lambda: min(last_confirmation, loop.time())
    )
    async with pool_owner.own_partition(earlier):
        await asyncio.sleep(3.0)
        used = workers.starts[0][2]
        other = next(worker_id for worker_id in workers.workers if worker_id != used)
        workers.cut_for |= {(used, 5), (other, 1)}
        harness.store.cut_epochs = {5}
        harness.assign(5, test_ownership.PARTITION)
        async with ownership.run_ownership_manager(harness.ownership_manager):
            await asyncio.sleep(0.5)
            harness.group.is_down = True  # the later owner misses generation 6
            harness.store.cut_epochs = {1}
            await asyncio.sleep(3.0)
            last_confirmation = loop.time()
            harness.group.is_down = False
            harness.assign(7, test_ownership.PARTITION)
            await asyncio.sleep(7.0)
        assert harness.epochs == [5]
    assert len(workers.starts) == 2
    assert not workers.violations


@paused_clock.test
async def test_owner_acts_on_after_a_gap_in_which_no_other_began() -> None:
    """Guards against a pool that stands still after each outage of the store."""
    harness = test_ownership.ManagerHarness(frozenset({test_ownership.PARTITION}))
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        harness.group.is_down = True
        await asyncio.sleep(3.0)
        harness.group.is_down = False
        harness.assign(6, test_ownership.PARTITION)
        await asyncio.sleep(1.0)
        owner = harness.ownership_manager.owners_by_partition[test_ownership.PARTITION]
        assert owner.epoch == 1
        assert owner.confirmed_at() is not None


@paused_clock.test
async def test_owner_of_the_hosts_checks_its_fence_after_a_gap() -> None:
    """Guards against two holders of orders to hosts that take turns."""
    harness = test_ownership.ManagerHarness(frozenset({test_ownership.FLEET_PARTITION}))
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        harness.group.is_down = True
        await asyncio.sleep(3.0)
        harness.group.is_down = False
        harness.assign(6, test_ownership.FLEET_PARTITION)
        await asyncio.sleep(1.0)
        assert [owner.fence_checks for owner in harness.fleet_owners] == [1]


@pytest.mark.parametrize("outage_s", [7.0, 7.1, 7.2, 7.3, 7.4])
@paused_clock.test
async def test_owner_out_of_touch_places_nothing_and_starts_at_once_after_it(
    outage_s: float,
) -> None:
    """Guards against starts without a lease, and late ones after an outage."""
    workers = fakes.FakeWorkers(1)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(3.0)
        harness.confirmed_at = asyncio.get_running_loop().time()
        await asyncio.sleep(outage_s)
        (worker,) = workers.workers.values()
        assert not worker.running
        task = owner.jobs_by_id["a"].occurrences[0].steps[0].tasks[0]
        assert task.last_run == 1
        harness.confirmed_at = None
        await asyncio.sleep(0.15)
    events = [event for event, _ in harness.events if event in ("start", "run_gone")]
    assert events == ["start", "start"]
    assert [run for _, run, _ in workers.starts] == [1, 2]
