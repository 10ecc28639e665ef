"""Tests of host moves on a fake log and platform with a paused clock."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from clementinespar import codes
from clementinespar.tests import fleets, paused_clock
from standins import fake_log, fake_platform

_POOLS = {
    "a": fleets.host_ids("a", 6),
    "b": fleets.host_ids("b", 6),
    "c": fleets.host_ids("c", 4),
}
_SERVICES = {"sa": "a", "sb": "b"}
# Maintenance is paused, so that only moves take hosts out.
_DOCUMENT = fleets.make_document(
    _POOLS,
    min_available={"a": 2, "b": 2, "c": 1},
    spare="c",
    services=_SERVICES,
    paused=True,
)


@contextlib.asynccontextmanager
async def _node() -> AsyncIterator[tuple[fleets.FleetNode, fake_platform.FakePlatform]]:
    platform = fake_platform.FakePlatform(fleets.seeds_of(_DOCUMENT))
    async with fleets.running_fleet_node(fake_log.FakeLog(), platform) as node:
        await node.publish(_DOCUMENT)
        node.demand.slots_by_service = {"sa": 8.0, "sb": 8.0}
        yield node, platform


def _count_available(node: fleets.FleetNode, pool: str) -> int:
    hosts = node.state.pools.hosts_of(pool)
    return len([host for host in hosts if host.is_available])


@paused_clock.test
async def test_hosts_follow_a_lasting_demand_and_return() -> None:
    """Guards against hosts that do not follow demand or move back and forth."""
    async with _node() as (node, platform):
        await node.run_rounds(30)
        node.demand.slots_by_service["sa"] = 44.0  # 8 hosts needed
        await node.run_rounds(200)
        assert (_count_available(node, "a"), _count_available(node, "c")) == (8, 2)
        moved = {h for h, p in platform.pool_by_host_id.items() if p == "a"}
        assert moved == set(node.state.pools.host_ids_by_pool["a"])
        node.demand.slots_by_service["sa"] = 8.0
        await node.run_rounds(900)
        assert (_count_available(node, "a"), _count_available(node, "c")) == (6, 4)
        reboots = [a for a in platform.actions if a.step == "reboot"]
        assert len([a for a in reboots if a.result == "started"]) == 4


@paused_clock.test
async def test_peaks_of_a_few_seconds_move_no_host() -> None:
    """Guards against drains of hosts for peaks that end before the hosts arrive."""
    async with _node() as (node, platform):
        for _ in range(20):
            node.demand.slots_by_service["sa"] = 60.0
            await node.run_rounds(8)
            node.demand.slots_by_service["sa"] = 3.0
            await node.run_rounds(12)
        assert list(platform.actions) == []


@paused_clock.test
async def test_pause_of_the_process_is_not_a_lasting_shortage() -> None:
    """Guards against peaks before and after a pause that are taken for one shortage."""
    async with _node() as (node, platform):
        node.demand.slots_by_service["sa"] = 60.0
        await node.run_rounds(5)
        await asyncio.sleep(600)
        await node.run_rounds(5)
        assert list(platform.actions) == []


@paused_clock.test
async def test_document_with_another_home_moves_the_host_through_a_drain() -> None:
    """Guards against a host that changes pool without a drain and a reboot."""
    async with _node() as (node, platform):
        host_id = _POOLS["a"][0]
        changed = {
            "a": _POOLS["a"][1:],
            "b": [*_POOLS["b"], host_id],
            "c": _POOLS["c"],
        }
        await node.publish(
            fleets.make_document(changed, services=_SERVICES, paused=True)
        )
        await node.run_rounds(60)
        host = node.state.pools.hosts_by_id[host_id]
        assert (host.pool, host.is_available) == ("b", True)
        steps = [a.step for a in platform.actions if a.result == "started"]
        assert steps == ["drain", "reboot"]
        assert platform.pool_by_host_id[host_id] == "b"


@paused_clock.test
async def test_trial_document_is_planned_but_moves_no_host() -> None:
    """Guards against a trial document that has an effect on hosts."""
    async with _node() as (node, platform):
        await node.publish(
            fleets.make_document(_POOLS | {"c": _POOLS["c"][1:]}, services=_SERVICES),
            "trial",
        )
        node.demand.slots_by_service = {"sa": 40.0, "sb": 8.0}
        before = node.state.pools.copy()
        await node.run_rounds(50)
        await node.waves.run_round()
        assert node.capacity.plan("trial").needs_by_pool["a"].needed == 8
        assert node.waves.plan("trial").starts
        assert node.state.pools == before
        assert list(platform.actions) == []
        explained = node.capacity.explain("none")
        assert explained.code == codes.ResultCode.POOL_UNKNOWN
