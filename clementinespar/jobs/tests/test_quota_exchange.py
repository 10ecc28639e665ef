"""Tests of quotas with owners, workers and a ledger on a paused clock."""

import asyncio
import contextlib
import types
from collections.abc import AsyncIterator, Mapping

import pytest

from clementinespar import background, errors, http_calls
from clementinespar.jobs import (
    owner_quotas,
    quota_messages,
    resources,
    service,
    telemetry,
)
from clementinespar.jobs.tests import fakes, quota_fleet
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
async def test_successor_counts_what_it_finds() -> None:
    """Guards against runs of an earlier owner that count for no team."""
    async with run_fleet() as fleet:
        set_run_time(fleet, 4.0)
        await fleet.submit(0, quota_fleet.make_job("j1", "a", "pool0", (4,)))
        await asyncio.sleep(0.5)
        await fleet.stop_node(fleet.owner_nodes[0])
        await fleet.start_owner(0)
        await fleet.submit(0, quota_fleet.make_job("j2", "a", "pool0", (4,)))
        await asyncio.sleep(1.0)
        assert count_cores(fleet) == 4


@paused_clock.test
async def test_cancelled_job_counts_until_its_runs_have_ended() -> None:
    """Guards against runs that count no more once their job has ended.

    The next owner does not reach their worker at first, and cannot stop them then.
    """
    async with run_fleet() as fleet:
        set_run_time(fleet, 60.0)
        fake = fleet.workers[0]
        await fleet.submit(0, quota_fleet.make_job("j1", "a", "pool0", (4,)))
        await asyncio.sleep(0.5)
        worker = fake.workers[fake.starts[0][2]]
        worker.is_unresponsive = True
        await fleet.cancel(0, "j1")
        await asyncio.sleep(1.0)
        await fleet.stop_node(fleet.owner_nodes[0])
        owner = await fleet.start_owner(0)
        await fleet.submit(0, quota_fleet.make_job("j2", "a", "pool0", (4,)))
        await asyncio.sleep(1.0)
        left = count_cores(fleet)
        assert 0 < left < 4

        async def lose_stop(*order: object) -> bool:
            raise http_calls.CallUnansweredError("lost")

        fake.stop = lose_stop  # type: ignore[method-assign,assignment]
        worker.is_unresponsive = False
        await asyncio.sleep(1.0)
        assert count_cores(fleet) == 4
        assert owner.quotas.use.by_team["a"].cpu_millis == 4000


@paused_clock.test
async def test_unconfirmed_owner_and_ledger_do_not_answer() -> None:
    """Guards against a node that does not know yet that another one has begun."""
    async with run_fleet() as fleet:
        recall = quota_messages.Recall(9, ("a",)).encode()
        request = quota_messages.Request(0, 9, 1, None, {}).encode()
        owner, ledger = fleet.owner_nodes[0], fleet.ledger_node
        assert ledger is not None
        owner.frozen_at = ledger.frozen_at = asyncio.get_running_loop().time()
        await asyncio.sleep(0.9)
        assert owner.exchange.answer_recall(0, recall)[0] == 200
        assert (await ledger.exchange.answer_request(request))[0] == 200
        await asyncio.sleep(0.2)
        assert owner.exchange.answer_recall(0, recall)[0] == 503
        assert (await ledger.exchange.answer_request(request))[0] == 503


@paused_clock.test
async def test_ledger_begins_anew_after_a_gap() -> None:
    """Guards against shares that another ledger has changed meanwhile."""
    async with run_fleet() as fleet:
        node = fleet.ledger_node
        assert node is not None
        await fleet.submit(0, quota_fleet.make_job("j1", "a", "pool0", (4,)))
        await asyncio.sleep(0.2)
        node.gap_count += 1
        node.generation = 40
        await asyncio.sleep(0.2)
        assert (
            fleet.owner_nodes[0].owners_by_partition[0].quotas.shares.ledger_epoch == 40
        )


class PausedLink(owner_quotas.NoQuotas):
    """`owner_quotas.QuotaLink` of a node that is paused before it reads a response."""

    pause_s = 0.5

    def __init__(self) -> None:
        self._caps = CAPS

    async def request(self, request: quota_messages.Request) -> quota_messages.Response:
        await asyncio.sleep(self.pause_s)
        return quota_messages.Response(5, 0, CAPS)


@pytest.mark.parametrize(("pause_s", "cores"), [(0.4, 4000), (0.5, 0)])
@paused_clock.test
async def test_response_that_is_read_late_has_no_effect(
    pause_s: float, cores: int
) -> None:
    """Guards against a share of a ledger that another one has replaced meanwhile."""
    link = PausedLink()
    link.pause_s = pause_s
    quotas = owner_quotas.OwnerQuotas(
        0,
        1,
        link,
        {},
        {},
        {},
        lambda: True,
        lambda: None,
        lambda: None,
        fakes.ignore_event,
        telemetry.JobMetrics(),
    )
    async with background.running(quotas.run()):
        quotas.begin_round()
        quotas.note_lack("a", resources.Resources(1000, 0, 0))
        await asyncio.sleep(0.6)
        assert quotas.shares.shares["a"].cpu_millis == cores


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


@paused_clock.test
async def test_operators_see_the_use_of_a_team() -> None:
    """Guards against a query that misses a partition or a team without a cap."""
    async with run_fleet() as fleet:
        set_run_time(fleet, 5.0)
        await fleet.submit(0, quota_fleet.make_job("j1", "a", "pool0", (3,)))
        await asyncio.sleep(0.5)
        await fleet.submit(1, quota_fleet.make_job("j2", "a", "pool1", (3,)))
        await asyncio.sleep(1.0)
        owners = {
            partition: node.owners_by_partition[partition]
            for partition, node in fleet.owner_nodes.items()
        }
        jobs = service.JobService(
            types.SimpleNamespace(  # type: ignore[arg-type]
                owners_by_partition=owners, unanswered_since=None
            ),
            types.SimpleNamespace(find=lambda pool: int(pool[4:])),  # type: ignore[arg-type]
            fleet.owner_nodes[0].configuration,  # type: ignore[arg-type]
            fleet.store,
            http_calls.HttpClient(),
        )
        reply = await jobs.describe_team("a")
        assert reply["cap"] == CAPS["a"]
        assert reply["use"] == [4000, 400, 0]
        assert reply["waiting"] == 2
        assert reply["partitions"]["1"]["use"].cpu_millis == 1000
        with pytest.raises(errors.ClementinesparError):
            await jobs.describe_team("unknown")
