"""Tests of membership on a paused clock with an in-memory network."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

import pytest

from clementinespar.peers import membership, peer_pb2
from clementinespar.peers.tests import memory_network
from clementinespar.tests import paused_clock

_A, _B, _C, _D = (f"10.0.0.{i}:1" for i in range(1, 5))
_DEAD_S = 3.5 * 0.5  # three missed heartbeats and a half, at the default interval
_REDUCED_SENDING_S = 2 * 0.5  # intervals in which a node may send no heartbeat


@contextlib.asynccontextmanager
async def _three_nodes(
    network: memory_network.Network,
) -> AsyncIterator[
    tuple[memory_network.Node, memory_network.Node, memory_network.Node]
]:
    async with (
        memory_network.running_node(network, "a", _A) as a,
        memory_network.running_node(network, "b", _B) as b,
        memory_network.running_node(network, "c", _C) as c,
    ):
        await asyncio.sleep(1.5)
        yield a, b, c


def test_nodes_discover_each_other_from_one_seed() -> None:
    """Guards against nodes that find only the seed."""

    async def main() -> None:
        async with _three_nodes(memory_network.Network()) as (a, b, c):
            assert a.live() == ["b", "c"]
            assert b.live() == ["a", "c"]
            assert c.live() == ["a", "b"]

    paused_clock.run(main())


def test_cut_node_is_dead_after_missed_heartbeats_and_recovers() -> None:
    """Guards against a node that is dead too early, too late or after the cut ends."""

    async def main() -> None:
        network = memory_network.Network()
        async with _three_nodes(network) as (a, b, c):
            network.cut(_A, _B)
            await asyncio.sleep(_DEAD_S - 0.55)
            assert a.live() == ["b", "c"], "dead before three heartbeats were missed"
            await asyncio.sleep(0.56)
            assert a.live() == ["c"]
            assert b.live() == ["c"]
            assert c.live() == ["a", "b"]
            network.heal()
            await asyncio.sleep(2.5)
            assert a.live() == ["b", "c"]
            assert b.live() == ["a", "c"]

    paused_clock.run(main())


@pytest.mark.parametrize(("source", "target"), [(_A, _B), (_B, _A)])
def test_unreachable_node_is_dead_although_its_heartbeats_arrive(
    source: str, target: str
) -> None:
    """Guards against forwarding requests to an owner that they cannot reach."""

    async def main() -> None:
        network = memory_network.Network()
        async with _three_nodes(network) as (a, b, _):
            network.cut_directions.add((source, target))
            await asyncio.sleep(_DEAD_S + 0.01)
            assert a.live() == ["c"]
            if source == _A:
                assert b.live() == ["c"], "b gets no heartbeats or replies of a"
            else:
                # b receives heartbeats of a, and detects the cut only by its own less
                # frequent heartbeats.
                await asyncio.sleep(_REDUCED_SENDING_S)
                assert b.live() == ["c"]

    paused_clock.run(main())


def test_only_one_node_of_a_pair_sends_every_heartbeat() -> None:
    """Guards against the cost of heartbeats of both nodes of a pair every interval."""

    async def main() -> None:
        network = memory_network.Network()
        async with _three_nodes(network):
            network.heartbeats_sent.clear()
            await asyncio.sleep(30)
            for source, target in ((_A, _B), (_A, _C), (_B, _C)):
                assert 59 <= network.heartbeats_sent[source, target] <= 61
                assert 19 <= network.heartbeats_sent[target, source] <= 21

    paused_clock.run(main())


def test_nodes_that_forgot_each_other_reconnect_after_a_long_cut(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a partition that stays after the network has recovered."""
    monkeypatch.setattr(membership, "FORGET_AFTER_S", 60.0)

    async def main() -> None:
        network = memory_network.Network()
        async with _three_nodes(network) as (_, b, c):
            network.cut(_B, _C)
            await asyncio.sleep(600)
            network.heal()
            await asyncio.sleep(35)
            assert b.live() == ["a", "c"]
            assert c.live() == ["a", "b"]

    paused_clock.run(main())


def test_dead_node_is_removed_from_every_node(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against nodes that send each other lists with a dead node for ever."""
    monkeypatch.setattr(membership, "FORGET_AFTER_S", 60.0)

    async def main() -> None:
        network = memory_network.Network()
        async with _three_nodes(network) as (a, b, _):
            async with memory_network.running_node(network, "d", _D):
                await asyncio.sleep(2)
                assert a.live() == ["b", "c", "d"]
            await asyncio.sleep(70)
            assert [peer.name for peer in a.members.peers()] == ["b", "c"]
            assert [peer.name for peer in b.members.peers()] == ["a", "c"]

    paused_clock.run(main())


def test_replacement_at_a_new_address_supersedes_its_predecessor() -> None:
    """Guards against two running nodes of one name after the predecessor resumes."""

    async def main() -> None:
        network = memory_network.Network()
        async with _three_nodes(network) as (a, b, c):
            network.frozen_endpoints.add(_C)
            await asyncio.sleep(3)
            async with memory_network.running_node(
                network, "c", _D, incarnation=2
            ) as new:
                await asyncio.sleep(2)
                assert a.live() == b.live() or a.live() == ["b", "c"]
                assert a.members.peers()[1].member.endpoint == _D
                network.frozen_endpoints.clear()
                await asyncio.sleep(3)
                assert c.members.is_superseded
                assert not new.members.is_superseded
                assert a.members.peers()[1].member.endpoint == _D
                assert b.members.peers()[1].member.endpoint == _D

    paused_clock.run(main())


def test_replacement_whose_clock_is_behind_is_accepted() -> None:
    """Guards against refusing a replacement whose start time is the earlier one."""

    async def main() -> None:
        network = memory_network.Network()
        async with memory_network.running_node(network, "a", _A) as a:
            async with memory_network.running_node(network, "b", _B, incarnation=500):
                await asyncio.sleep(2)
            async with memory_network.running_node(
                network, "b", _C, incarnation=100
            ) as new:
                await asyncio.sleep(2)
                assert new.members.incarnation == 501
                assert not new.members.is_superseded
                assert a.live() == ["b"]
                assert a.members.peers()[0].member.endpoint == _C

    paused_clock.run(main())


def test_other_node_at_the_address_of_a_dead_one() -> None:
    """Guards against a dead node that counts as alive because another one answers."""

    async def main() -> None:
        network = memory_network.Network()
        async with memory_network.running_node(network, "a", _A) as a:
            async with memory_network.running_node(network, "b", _B):
                await asyncio.sleep(2)
            async with memory_network.running_node(network, "x", _B):
                await asyncio.sleep(3)
                assert a.live() == ["x"]

    paused_clock.run(main())


def test_peers_stay_alive_after_a_pause_of_this_process() -> None:
    """Guards against a node that owns every queue after it was paused.

    After the pause, it would treat all other nodes as dead.
    """

    async def main() -> None:
        network = memory_network.Network()
        async with _three_nodes(network) as (a, _, _c):
            loop = asyncio.get_running_loop()
            assert isinstance(loop, paused_clock.PausedClockLoop)
            loop._jumping_selector.jumped_s += 3600
            assert a.live() == ["b", "c"]
            await asyncio.sleep(1)
            assert a.live() == ["b", "c"]

    paused_clock.run(main())


def test_announce_updates_every_live_node_before_it_returns() -> None:
    """Guards against forwarding requests to a node that has begun to drain."""

    async def main() -> None:
        network = memory_network.Network()
        async with _three_nodes(network) as (a, b, c):
            start = asyncio.get_running_loop().time()
            a.report = dataclasses.replace(a.report, is_draining=True)
            await a.members.announce()
            assert asyncio.get_running_loop().time() - start < 0.1
            for node in (b, c):
                assert node.members.peers()[0].report.is_draining

    paused_clock.run(main())


def test_member_lists_are_sent_on_change_only() -> None:
    """Guards against the cost of a member list in every heartbeat."""

    async def main() -> None:
        network = memory_network.Network()
        async with _three_nodes(network):
            await asyncio.sleep(3)
            network.member_lists_sent.clear()
            await asyncio.sleep(20)
            assert network.member_lists_sent == []

    paused_clock.run(main())


def test_older_report_does_not_lower_offset_or_revision() -> None:
    """Guards against an older offset that a delayed reply restores."""

    async def main() -> None:
        network = memory_network.Network()
        async with _three_nodes(network) as (a, b, _):
            a.report = membership.Report(applied_offset=7, production_revision=3)
            await asyncio.sleep(1)
            a.report = membership.Report(applied_offset=5, production_revision=2)
            await asyncio.sleep(1)
            report = b.members.peers()[0].report
            assert (report.applied_offset, report.production_revision) == (7, 3)

    paused_clock.run(main())


def test_heartbeats_with_invalid_members_are_ignored() -> None:
    """Guards against invalid names and endpoints that end the heartbeat tasks."""

    async def main() -> None:
        async with memory_network.running_node(
            memory_network.Network(), "a", _A
        ) as node:
            for name, endpoint in (("", _B), ("b/..", _B), ("b", "x"), ("b", "x:1")):
                member = peer_pb2.Member(name=name, endpoint=endpoint, incarnation=1)
                message = peer_pb2.HeartbeatMessage(sender=member, members=[member])
                node.members.on_heartbeat(message)
            assert node.members.peers() == []
            for i in range(membership.MAX_MEMBERS + 10):
                member = peer_pb2.Member(name=f"n{i}", endpoint=_B, incarnation=1)
                node.members.on_heartbeat(peer_pb2.HeartbeatMessage(sender=member))
            assert len(node.members.peers()) == membership.MAX_MEMBERS

    paused_clock.run(main())
