"""Tests of the record of the pools that queues have had."""

import asyncio

import pytest

from clementinespar import errors
from clementinespar.jobs import model, queue_history, services
from clementinespar.jobs.tests import fakes, moved_deployment
from clementinespar.tests import paused_clock

THIRD = moved_deployment.make_configuration(9, "q-third", "dispatch")


def _find_former(configuration: model.JobConfiguration | None) -> set[str]:
    assert configuration is not None
    (queue,) = configuration.queues_by_name.values()
    assert configuration.earlier_pools == {pool for _, pool in queue.former}
    return set(configuration.earlier_pools)


@paused_clock.test
async def test_node_knows_the_pools_that_only_others_have_seen() -> None:
    """Guards against a job that is looked for in the present pool only."""
    store = fakes.FakeStore()
    first, other = (
        moved_deployment.make_history(store),
        moved_deployment.make_history(store),
    )
    assert not _find_former(await first.include(moved_deployment.BEFORE))
    after = await other.include(moved_deployment.AFTER)
    assert _find_former(after) == {moved_deployment.OLD}
    both = {moved_deployment.OLD, moved_deployment.NEW}
    for history in (first, other, moved_deployment.make_history(store)):
        assert _find_former(await history.include(THIRD)) == both


@pytest.mark.parametrize("fault", ["is_down", "loses_answers", "drops_calls"])
@paused_clock.test
async def test_configuration_waits_until_its_queues_are_stored(fault: str) -> None:
    """Guards against jobs in a pool that the next process does not know of."""
    store = fakes.FakeStore()
    history = moved_deployment.make_history(store)
    setattr(store, fault, True)
    for _ in range(2):
        with pytest.raises(errors.ClementinesparError):
            await history.include(moved_deployment.BEFORE)
        if fault == "loses_answers":  # the first append was done
            break
    setattr(store, fault, False)
    assert await history.include(moved_deployment.BEFORE) is not None
    restarted = await moved_deployment.make_history(store).include(
        moved_deployment.AFTER
    )
    assert _find_former(restarted) == {moved_deployment.OLD}


@paused_clock.test
async def test_nodes_that_read_a_configuration_together_store_it_seldom() -> None:
    """Guards against an append and its bytes for each node of a large deployment."""
    store = fakes.FakeStore()
    nodes = [moved_deployment.make_history(store, seed) for seed in range(100)]
    await asyncio.gather(*(node.include(moved_deployment.BEFORE) for node in nodes))
    key = services.Topic.QUEUES, queue_history.PARTITION
    assert len(store.values[key]) == 1
    assert len(store._log[key]) < 20


@paused_clock.test
async def test_node_that_lags_does_not_use_an_outdated_configuration() -> None:
    """Guards against a job in a pool that nodes with a newer version do not know."""
    store = fakes.FakeStore()
    for configuration in (moved_deployment.BEFORE, THIRD):
        assert (
            await moved_deployment.make_history(store).include(configuration)
            is not None
        )
    assert (
        await moved_deployment.make_history(store).include(moved_deployment.AFTER)
        is None
    )


@paused_clock.test
async def test_unreadable_record_does_not_keep_a_node_from_starting() -> None:
    """Guards against an outage that one record causes on all nodes."""
    store = fakes.FakeStore()
    assert (
        await moved_deployment.make_history(store).include(moved_deployment.BEFORE)
        is not None
    )
    for value in (b"{", b'{"version":1}', b'{"version":1,"queues":[["h"]]}'):
        record = services.KeyedRecord(value.decode(), value)
        await store.append(services.Topic.QUEUES, queue_history.PARTITION, [record])
    after = await moved_deployment.make_history(store).include(moved_deployment.AFTER)
    assert _find_former(after) == {moved_deployment.OLD}


def test_many_queues_take_several_records() -> None:
    """Guards against a record that is larger than the store accepts."""
    host, name = "h" * 253, "n" * 63
    rows = [(host, f"/{number:0>255}/", name, name) for number in range(1200)]
    records = queue_history.encode(rows, 7)
    assert all(len(record.value) < 262_144 for record in records)
    assert len(records) < 10
    decoded = [queue_history.decode(record.value) for record in records]
    assert {version for version, _ in decoded} == {7}
    assert [row for _, part in decoded for row in part] == rows
