"""Tests of an owner whose partition was another's between two confirmations."""

import asyncio

from clementinespar.jobs import ownership, pool_owner, services, state, telemetry
from clementinespar.jobs.tests import fake_adviser, fakes, helpers, test_ownership
from clementinespar.tests import paused_clock


@paused_clock.test
async def test_owner_that_missed_another_ones_turn_does_not_start_its_run() -> None:
    """Guards against two runs of a task if all partitions are dealt anew at once.

    Another member owns the partition for less than the time to live, adopts the run
    and renews its lease. The first owner joins again after that. The store takes its
    joins, but not its appends, and it cannot reach the worker of the run.
    """
    harness = test_ownership.ManagerHarness(frozenset({test_ownership.PARTITION}))
    workers = harness.workers = fakes.FakeWorkers(2)
    workers.lasting_jobs.add("a")
    spec = helpers.make_spec("a", 1, is_lasting=True)
    await harness.store.append(
        services.Topic.COMMANDS,
        test_ownership.PARTITION,
        [services.KeyedRecord("ja", state.encode_spec(spec))],
    )
    loop = asyncio.get_running_loop()
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        used = workers.starts[0][2]
        other = next(worker_id for worker_id in workers.workers if worker_id != used)
        workers.cut_for |= {(used, 1), (other, 5)}
        harness.group.is_down = True  # its joins have no effect for 1.0 s
        harness.store.cut_epochs.add(1)
        confirmed_at = loop.time() + 0.9
        between = pool_owner.PoolOwner(
            test_ownership.PARTITION,
            5,
            lambda pool: True,
            lambda: min(confirmed_at, loop.time()),
            lambda owner: None,
            harness.store,
            workers,
            workers,
            fake_adviser.FakeAdviser(),
            workers,
            pool_owner.OwnerSettings(helpers.LEASE_MAX_S),
            fakes.ignore_event,
            telemetry.JobMetrics(),
        )
        async with pool_owner.own_partition(between):
            await asyncio.sleep(1.0)
        harness.assign(6, test_ownership.PARTITION)
        harness.group.is_down = False
        await asyncio.sleep(6.0)
        assert harness.ownership_manager.gap_count == 1
    assert not workers.violations
