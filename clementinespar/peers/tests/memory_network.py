"""In-memory network of peer links with faults, for tests on a paused clock."""

import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from clementinespar import errors, options
from clementinespar.peers import membership, peer_pb2


class Network:
    """Endpoints of running memberships, and the faults between them."""

    nodes_by_endpoint: dict[str, membership.Membership]
    cut_directions: set[tuple[str, str]]  # (from, to) endpoints that lose messages
    frozen_endpoints: set[str]  # endpoints that neither send nor answer
    refusing_endpoints: set[str]  # endpoints whose connections are refused at once
    member_lists_sent: list[tuple[str, str]]  # (from, to) of heartbeats with a list
    heartbeats_sent: collections.Counter[tuple[str, str]]  # counts by (from, to)

    def __init__(self) -> None:
        self.nodes_by_endpoint = {}
        self.cut_directions = set()
        self.frozen_endpoints = set()
        self.refusing_endpoints = set()
        self.member_lists_sent = []
        self.heartbeats_sent = collections.Counter()

    def cut(self, left: str, right: str) -> None:
        """Drop messages between two endpoints in both directions."""
        self.cut_directions |= {(left, right), (right, left)}

    def heal(self) -> None:
        """End all cuts."""
        self.cut_directions.clear()


class MemoryLink:
    """Implements `membership.PeerLink`."""

    def __init__(self, network: Network, source: str, endpoint: str) -> None:
        self._network = network
        self._source = source
        self._endpoint = endpoint

    async def heartbeat(
        self, message: peer_pb2.HeartbeatMessage, timeout_s: float
    ) -> peer_pb2.HeartbeatMessage:
        try:
            async with asyncio.timeout(timeout_s):
                await self._deliver(self._source, self._endpoint)
                node = self._network.nodes_by_endpoint.get(self._endpoint)
                if node is None:
                    raise errors.PeerUnavailableError("connection refused")
                self._network.heartbeats_sent[self._source, self._endpoint] += 1
                if message.members:
                    self._network.member_lists_sent.append(
                        (self._source, self._endpoint)
                    )
                reply = node.on_heartbeat(
                    peer_pb2.HeartbeatMessage.FromString(message.SerializeToString())
                )
                await self._deliver(self._endpoint, self._source)
                return reply
        except TimeoutError as error:
            raise errors.PeerUnavailableError("no reply") from error

    async def _deliver(self, source: str, target: str) -> None:
        await asyncio.sleep(0.001)
        if {source, target} & self._network.frozen_endpoints:
            await asyncio.Event().wait()
        if (source, target) in self._network.cut_directions:
            await asyncio.Event().wait()

    def reset_connection(self) -> None:
        pass

    def close(self) -> None:
        pass

    async def wait_closed(self) -> None:
        pass


@dataclasses.dataclass
class Node:
    """One membership and the report that it sends."""

    members: membership.Membership
    endpoint: str
    report: membership.Report

    def live(self) -> list[str]:
        return [peer.name for peer in self.members.live_peers()]


@contextlib.asynccontextmanager
async def running_node(
    network: Network,
    name: str,
    endpoint: str,
    seeds: tuple[str, ...] = ("10.0.0.1:1",),
    incarnation: int = 1,
) -> AsyncIterator[Node]:
    """Run a membership on the network while the context is entered."""
    node_settings = options.NodeSettings(name=name, data_centre="dc")
    settings = options.PeersSettings(address="10.0.0.1", port=1, seeds=seeds)
    node: Node

    members = membership.Membership(
        node_settings,
        settings,
        lambda address: MemoryLink(network, endpoint, address),
        lambda: node.report,
        incarnation=incarnation,
    )
    node = Node(members, endpoint, membership.Report(is_ready=True))
    network.nodes_by_endpoint[endpoint] = members
    try:
        async with members.running(endpoint):
            yield node
    finally:
        if network.nodes_by_endpoint.get(endpoint) is members:
            del network.nodes_by_endpoint[endpoint]
