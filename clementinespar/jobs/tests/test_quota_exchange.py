"""Tests of quotas with owners, workers and a ledger on a paused clock."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Mapping

import pytest

from clementinespar.jobs import resources
from clementinespar.jobs.tests import quota_fleet
from clementinespar.tests import paused_clock

CAPS = {"a": resources.Resources(4000, 0, 0)}


@contextlib.asynccontextmanager
async def run_fleet(
    caps: Mapping[str, resources.Resources] = CAPS, count: int = 3
) -> AsyncIterator[quota_fleet.QuotaFleet]:
    """Run owners and a ledger inside the context, and check what they did."""
    fleet = quota_fleet.QuotaFleet(caps, count)
    await fleet.start_all()
    await asyncio.sleep(1.0)
    try:
        yield fleet
    finally:
        await fleet.close()
    assert not fleet.find_violations()


def set_run_time(fleet: quota_fleet.QuotaFleet, seconds: float) -> None:
    """Set the run time of all tasks that start from now on."""
    for fake in fleet.workers.values():
        fake.task_s = seconds


def count_cores(fleet: quota_fleet.QuotaFleet, team: str = "a") -> float:
    """Return the cores that a team uses now."""
    return fleet.count_running().get(team, resources.ZERO).cpu_millis / 1000


@paused_clock.test
async def test_share_follows_the_demand() -> None:
    """Guards against a cap of which only a fixed part is usable in one pool."""
    async with run_fleet() as fleet:
        set_run_time(fleet, 3.0)
        for partition in (0, 1, 2, 0):
            job = quota_fleet.make_job(
                f"j{len(fleet.events)}", "a", fleet.partitions[partition], (4,)
            )
            await fleet.submit(partition, job)
            await asyncio.sleep(0.5)
            assert count_cores(fleet) == 4
            await asyncio.sleep(3.0)


@paused_clock.test
async def test_other_teams_go_on() -> None:
    """Guards against a team without room that holds up the tasks behind it."""
    async with run_fleet() as fleet:
        set_run_time(fleet, 5.0)
        await fleet.submit(0, quota_fleet.make_job("j1", "a", "pool0", (9,)))
        await fleet.submit(0, quota_fleet.make_job("j2", "b", "pool0", (9,)))
        await fleet.submit(0, quota_fleet.make_job("j3", "", "pool0", (2,)))
        await asyncio.sleep(1.0)
        assert [count_cores(fleet, team) for team in ("a", "b", "")] == [4, 9, 2]
        waits = [fields for event, fields in fleet.events if event == "quota_wait"]
        assert waits and all(fields["team"] == "a" for fields in waits)


@paused_clock.test
async def test_nothing_is_sent_without_caps() -> None:
    """Guards against messages of a deployment whose teams have no caps."""
    async with run_fleet({"a": resources.ZERO}) as fleet:
        for number in range(6):
            job = quota_fleet.make_job(f"j{number}", "a", f"pool{number % 3}", (9,))
            await fleet.submit(number % 3, job)
        await asyncio.sleep(5.0)
        assert not fleet.calls
        assert not any(event.startswith("quota") for event, _ in fleet.events)


@paused_clock.test
async def test_gang_waits_for_room_for_all_members() -> None:
    """Guards against a gang that is checked as one task."""
    async with run_fleet() as fleet:
        set_run_time(fleet, 2.0)
        await fleet.submit(0, quota_fleet.make_job("j1", "a", "pool0", (2,)))
        await asyncio.sleep(0.5)
        gang = quota_fleet.make_job("j2", "a", "pool1", (3,), is_gang=True)
        await fleet.submit(1, gang)
        await asyncio.sleep(1.0)
        assert count_cores(fleet) == 2
        await asyncio.sleep(1.5)
        assert count_cores(fleet) == 3


@paused_clock.test
async def test_caps_are_read_again() -> None:
    """Guards against a cap that applies as it was at the start."""
    async with run_fleet() as fleet:
        for number in range(30):
            job = quota_fleet.make_job(f"j{number}", "a", f"pool{number % 3}", (4,))
            await fleet.submit(number % 3, job)
        await asyncio.sleep(1.0)
        assert count_cores(fleet) == 4
        fleet.set_caps({"a": resources.Resources(2000, 0, 0)}, 2.0)
        await asyncio.sleep(5.0)
        assert count_cores(fleet) == 2
        fleet.set_caps({"a": resources.Resources(9000, 0, 0)}, 2.0)
        await asyncio.sleep(5.0)
        assert count_cores(fleet) == 9


@pytest.mark.parametrize("is_ledger_lost", [False, True])
@paused_clock.test
async def test_successor_counts_what_may_run(is_ledger_lost: bool) -> None:
    """Guards against a successor that counts from zero.

    It cannot reach a worker on which a task runs, and has another job of the team.
    """
    async with run_fleet() as fleet:
        set_run_time(fleet, 4.0)
        fake = fleet.workers[0]
        await fleet.submit(0, quota_fleet.make_job("j1", "a", "pool0", (4,)))
        await asyncio.sleep(0.5)
        assert count_cores(fleet) == 4
        lost = [fleet.lose_node(fleet.owner_nodes[0], True)]
        if is_ledger_lost:
            assert fleet.ledger_node is not None
            lost.append(fleet.lose_node(fleet.ledger_node, True))
        await asyncio.gather(*lost)
        epoch = 6 if is_ledger_lost else 5
        fake.cut_for.add((fake.starts[0][2], epoch))
        if is_ledger_lost:
            await fleet.start_ledger()
        owner = await fleet.start_owner(0)
        assert owner.epoch == epoch
        await fleet.submit(0, quota_fleet.make_job("j2", "a", "pool0", (2,)))
        await fleet.submit(1, quota_fleet.make_job("j3", "a", "pool1", (2,)))
        await asyncio.sleep(1.5)
        assert count_cores(fleet) == 4
        await asyncio.sleep(8.0)
        assert {task.job_id for task, _, _ in fake.starts} == {"j1", "j2"}


@paused_clock.test
async def test_starts_go_on_without_a_ledger() -> None:
    """Guards against owners that stand still while the ledger changes."""
    async with run_fleet() as fleet:
        await fleet.submit(0, quota_fleet.make_job("j1", "a", "pool0", (4,)))
        await asyncio.sleep(0.3)
        assert fleet.ledger_node is not None
        await fleet.stop_node(fleet.ledger_node)
        await asyncio.sleep(1.0)
        await fleet.submit(0, quota_fleet.make_job("j2", "a", "pool0", (4,)))
        await asyncio.sleep(0.3)
        assert count_cores(fleet) == 4
        await fleet.submit(1, quota_fleet.make_job("j3", "a", "pool1", (4,)))
        await asyncio.sleep(1.0)
        assert count_cores(fleet) == 0
        await fleet.start_ledger()
        await asyncio.sleep(0.5)
        assert count_cores(fleet) == 4


@paused_clock.test
async def test_lasting_task_moves_although_its_team_is_at_its_cap() -> None:
    """Guards against a host that is never freed, and a task that is never restarted.

    The stopped run counts until its end is listed; short tasks of the same team in
    another pool must not take its room.
    """
    async with run_fleet() as fleet:
        lasting = quota_fleet.make_job("j1", "a", "pool0", (4,), is_lasting=True)
        await fleet.submit(0, lasting)
        await asyncio.sleep(1.0)
        await fleet.submit(1, quota_fleet.make_job("j2", "a", "pool1", (4,)))
        await asyncio.sleep(0.5)
        drained = fleet.workers[0].starts[0][2]
        fleet.workers[0].drain(drained)
        await asyncio.sleep(3.0)
        workers = fleet.workers[0].workers
        assert not workers[drained].running
        assert sum(len(worker.running) for worker in workers.values()) == 4
        assert not fleet.workers[1].starts


@paused_clock.test
async def test_cancelled_job_counts_until_its_runs_have_ended() -> None:
    """Guards against a successor that does not count runs of a job it only ends."""
    async with run_fleet() as fleet:
        set_run_time(fleet, 60.0)
        fake = fleet.workers[0]
        await fleet.submit(0, quota_fleet.make_job("j1", "a", "pool0", (4,)))
        await asyncio.sleep(0.5)
        used = {worker_id for _, _, worker_id in fake.starts}
        for worker_id in used:
            fake.workers[worker_id].is_unresponsive = True
        await fleet.cancel(0, "j1")
        await asyncio.sleep(1.5)
        await fleet.stop_node(fleet.owner_nodes[0])
        await fleet.start_owner(0)
        await fleet.submit(0, quota_fleet.make_job("j2", "a", "pool0", (2,)))
        await asyncio.sleep(1.5)
        assert count_cores(fleet) == 4
        assert {task.job_id for task, _, _ in fake.starts} == {"j1"}


@pytest.mark.parametrize("body", [b"", b"{}", b'{"teams":5}', b"\xff\x00"])
@paused_clock.test
async def test_malformed_messages_are_answered_with_400(body: bytes) -> None:
    """Guards against a message that ends the ledger or an owner."""
    async with run_fleet() as fleet:
        assert fleet.ledger_node is not None
        status, _ = await fleet.ledger_node.exchange.answer_request(body)
        assert status == 400
        status, _ = fleet.owner_nodes[0].exchange.answer_recall(0, body)
        assert status == 400
        status, _ = await fleet.owner_nodes[0].exchange.answer_request(
            b'{"partition":0,"epoch":9,"number":1,"wanted":{}}'
        )
        assert status == 503  # not the ledger
