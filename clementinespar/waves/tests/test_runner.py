"""Tests of complete waves on a fake log and platform with a paused clock."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest

from clementinespar import codes, errors
from clementinespar.documents import model
from clementinespar.log import base
from clementinespar.pools import messages
from clementinespar.tests import fleets, paused_clock
from standins import fake_log, fake_platform

_POOLS = {"a": fleets.host_ids("a", 8), "b": fleets.host_ids("b", 4)}
_DOCUMENT = fleets.make_document(
    _POOLS, min_available={"a": 5, "b": 2}, max_wave_hosts=4
)


class _Fleet:
    """A node and the platform, with queries about the hosts."""

    def __init__(self, node: fleets.FleetNode, platform: fake_platform.FakePlatform):
        self.node = node
        self.platform = platform

    def maintained(self) -> list[str]:
        hosts = self.node.state.pools.hosts_by_id.values()
        return [h.host_id for h in hosts if h.maintained_ms and h.out is None]

    def out(self) -> list[str]:
        hosts = self.node.state.pools.hosts_by_id.values()
        return [host.host_id for host in hosts if host.out is not None]

    def started(self, step: str) -> list[str]:
        return [
            action.host_id
            for action in self.platform.actions
            if (action.step, action.result) == (step, "started")
        ]

    async def run_until(self, condition: Callable[[], bool], limit_s: int) -> None:
        for _ in range(limit_s):
            if condition():
                return
            await self.node.run_rounds(1)
        raise AssertionError(f"not reached within {limit_s} s of loop time")


@contextlib.asynccontextmanager
async def _fleet(document: model.Document = _DOCUMENT) -> AsyncIterator[_Fleet]:
    log = fake_log.FakeLog()
    platform = fake_platform.FakePlatform(fleets.seeds_of(document))
    async with fleets.running_fleet_node(log, platform) as node:
        await node.publish(document)
        yield _Fleet(node, platform)


@paused_clock.test
async def test_waves_maintain_every_host_once() -> None:
    """Guards against repeated actions and waves that never end.

    Also guards against hosts recorded as failed because they reboot.
    """
    async with _fleet() as fleet:
        await fleet.run_until(lambda: len(fleet.maintained()) == 12, 1000)
        await fleet.node.run_rounds(60)
        assert sorted(fleet.started("reboot")) == sorted(_DOCUMENT.hosts)
        assert fleet.node.state.waves.waves_by_pool == {}
        reasons = [wave.reason for wave in fleet.node.state.waves.finished]
        assert reasons == ["all hosts done"] * 3
        assert fleet.node.waves.explain("a").state == "idle"
        log = fleet.node.log_node.access.log
        assert not [e for e in log.entries if b"host_failed" in e.payload]


@paused_clock.test
async def test_rack_fails_during_a_wave() -> None:
    """Guards against take-outs after a failure that has used up the budget."""
    async with _fleet() as fleet:
        await fleet.run_until(lambda: len(fleet.maintained()) == 1, 200)
        rack = fleet.platform.host_ids_in("c0", "r0")
        fleet.platform.fail(rack)
        await fleet.node.run_rounds(60)
        pools = fleet.node.state.pools
        assert not any(pools.hosts_by_id[i].is_available for i in rack)
        count = len(fleet.started("drain"))
        await fleet.node.run_rounds(60)
        assert len([h for h in pools.hosts_of("a") if h.is_available]) >= 5
        fleet.platform.recover(rack)
        await fleet.run_until(lambda: len(fleet.maintained()) == 12, 2000)
        assert len(fleet.started("drain")) > count


@paused_clock.test
async def test_platform_down_and_replies_lost() -> None:
    """Guards against a second drain or reboot after a lost reply."""
    async with _fleet() as fleet:
        await fleet.run_until(lambda: bool(fleet.out()), 60)
        for _ in range(12):
            fleet.platform.faults.lose_replies = 3
            fleet.node.log_node.access.log.faults.lose_replies = 1
            await fleet.node.run_rounds(5)
            fleet.platform.faults.down = True
            await fleet.node.run_rounds(5)
            fleet.platform.faults.down = False
        fleet.platform.faults.lose_replies = 0
        await fleet.run_until(lambda: len(fleet.maintained()) == 12, 1500)
        assert sorted(fleet.started("drain")) == sorted(_DOCUMENT.hosts)
        assert sorted(fleet.started("reboot")) == sorted(_DOCUMENT.hosts)


@pytest.mark.parametrize("fault", ["down", "lag"])
@paused_clock.test
async def test_no_host_is_taken_out_on_an_old_host_list(fault: str) -> None:
    """Guards against take-outs by a list that does not show recent failures."""
    async with _fleet() as fleet:
        if fault == "down":
            await asyncio.sleep(10)
            fleet.platform.faults.down = True
            await asyncio.sleep(60)
        else:
            fleet.platform.faults.list_lag_s = 120.0
            await asyncio.sleep(60)
            await fleet.node.publish(_DOCUMENT)  # a newer record shows the lag
        await fleet.node.run_rounds(60)
        assert fleet.out() == []
        explained = fleet.node.waves.explain("a")
        assert explained.code == codes.ResultCode.HOST_LIST_STALE
        assert "host list" in explained.because[0]


@paused_clock.test
async def test_document_that_pauses_maintenance_stops_waves_but_returns_hosts() -> None:
    """Guards against hosts that stay out of service during a pause of maintenance."""
    async with _fleet() as fleet:
        await fleet.run_until(lambda: len(fleet.out()) >= 1, 60)
        paused = fleets.make_document(
            _POOLS, min_available={"a": 5, "b": 2}, paused=True
        )
        await fleet.node.publish(paused)
        started = len(fleet.started("drain"))
        await fleet.node.run_rounds(120)
        assert fleet.out() == []
        assert len(fleet.started("drain")) <= started + 1
        assert fleet.node.waves.explain("a").code == codes.ResultCode.WAVE_PAUSED


@paused_clock.test
async def test_host_that_fails_in_a_wave_stops_it() -> None:
    """Guards against a harmful maintenance that is repeated on further hosts."""
    one_at_a_time = fleets.make_document(_POOLS, min_available={"a": 7, "b": 3})
    async with _fleet(one_at_a_time) as fleet:
        await fleet.run_until(lambda: len(fleet.maintained()) == 1, 200)
        [host_id] = fleet.maintained()
        fleet.platform.fail([host_id])
        await fleet.node.run_rounds(120)
        assert fleet.out() == []
        pool = fleet.node.state.pools.hosts_by_id[host_id].pool
        explained = fleet.node.waves.explain(pool)
        assert explained.state == "stopped"
        assert host_id in explained.because[0]
        fleet.platform.recover([host_id])
        await fleet.run_until(lambda: len(fleet.maintained()) == 12, 1000)


class _PausingAppender:
    """Delays records that take hosts out, as a pause of the process would."""

    def __init__(self) -> None:
        self.inner: Any = None
        self.is_paused = True
        self.resumed = asyncio.Event()
        self.codes: list[codes.ResultCode] = []

    def now_ms(self) -> int:
        return int(self.inner.now_ms())

    async def append(self, record: base.Record, timeout_s: float) -> Any:
        if isinstance(record, messages.HostTakenOut) and self.is_paused:
            await self.resumed.wait()
        try:
            result = await self.inner.append(record, timeout_s)
        except errors.ClementinesparError as error:
            self.codes.append(error.code)
            raise
        if isinstance(record, messages.HostTakenOut):
            self.codes.append(result.code)
        return result


@pytest.mark.parametrize(
    ("maintained", "expected"),
    [
        (1, codes.ResultCode.HOST_REVISION_CONFLICT),
        (12, codes.ResultCode.LOG_UNAVAILABLE),  # the record is too old by then
    ],
)
@paused_clock.test
async def test_planner_paused_during_a_change_of_lease_holder(
    maintained: int, expected: codes.ResultCode
) -> None:
    """Guards against a host that is taken out by an outdated decision."""
    log = fake_log.FakeLog()
    platform = fake_platform.FakePlatform(fleets.seeds_of(_DOCUMENT))
    appender = _PausingAppender()
    async with (
        fleets.running_fleet_node(log, platform, "node-a", appender) as previous,
        fleets.running_fleet_node(log, platform, "node-b") as next_holder,
    ):
        appender.inner = previous.log_node.appender
        await previous.publish(_DOCUMENT)
        paused_rounds = asyncio.create_task(previous.run_rounds(5))
        await asyncio.sleep(10)  # the previous lease holder is about to take a host out
        fleet = _Fleet(next_holder, platform)
        await fleet.run_until(lambda: len(fleet.maintained()) >= maintained, 1000)
        appender.is_paused = False
        appender.resumed.set()
        await asyncio.sleep(0.5)
        assert appender.codes == [expected]
        await paused_rounds
        await fleet.run_until(lambda: len(fleet.maintained()) == 12, 1000)
        assert sorted(fleet.started("drain")) == sorted(_DOCUMENT.hosts)
