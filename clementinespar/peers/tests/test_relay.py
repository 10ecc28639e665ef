"""Tests of the relay of entries and snapshots."""

import asyncio
import dataclasses
from collections.abc import Sequence

import pytest

from clementinespar import errors
from clementinespar.log import service as log_service
from clementinespar.peers import client, membership, relay
from clementinespar.tests import paused_clock


@dataclasses.dataclass
class FakePeer:
    """A peer with a range of entries, used in place of its `client.PeerClient`."""

    name: str
    oldest_kept_offset: int
    applied_offset: int
    is_failing: bool = False
    missing_offset: int = -1  # offset that its replies omit

    async def fetch_entries(
        self, from_offset: int, limit: int
    ) -> list[log_service.LogEntry]:
        if self.is_failing:
            raise errors.PeerUnavailableError("cut")
        offsets = range(from_offset, min(from_offset + limit, self.applied_offset + 1))
        return [
            log_service.LogEntry(offset, offset, self.name.encode())
            for offset in offsets
            if offset != self.missing_offset
        ]

    async def fetch_snapshot(self) -> tuple[int, bytes] | None:
        if self.is_failing:
            raise errors.PeerUnavailableError("cut")
        return (
            (self.applied_offset, self.name.encode())
            if self.applied_offset >= 0
            else None
        )


def _relay(monkeypatch: pytest.MonkeyPatch, peers: Sequence[FakePeer]) -> relay.Relay:
    states = [
        membership.PeerState(
            membership.Member(peer.name, peer.name, "dc", 1),
            membership.Report(
                applied_offset=peer.applied_offset,
                oldest_kept_offset=peer.oldest_kept_offset,
            ),
            0.0,
        )
        for peer in peers
    ]
    members = object.__new__(membership.Membership)
    monkeypatch.setattr(members, "live_peers", lambda: states, raising=False)
    clients = {peer.name: peer for peer in peers}

    def client_of(endpoint: str) -> client.PeerClient | None:
        return clients[endpoint]  # type: ignore[return-value]

    return relay.Relay(members, client_of)


@pytest.mark.parametrize(
    ("peers", "from_offset", "source", "count"),
    [
        ([FakePeer("a", 0, 9), FakePeer("b", 0, 7)], 3, "a", 5),
        ([FakePeer("a", 0, 9, is_failing=True), FakePeer("b", 0, 7)], 3, "b", 5),
        ([FakePeer("a", 5, 9), FakePeer("b", 0, 7)], 3, "b", 5),
        ([FakePeer("a", 0, 9, missing_offset=5)], 3, "a", 2),
        ([FakePeer("a", 0, 9, missing_offset=3), FakePeer("b", 0, 7)], 3, "b", 5),
        ([FakePeer("a", 0, 9)], 10, "", 0),
        ([FakePeer("a", 5, 9)], 3, "", 0),
        ([], 0, "", 0),
    ],
    ids=[
        "peer with the highest offset",
        "peer with the highest offset fails",
        "peer with the highest offset has dropped the entry",
        "gap in the entries",
        "gap at the start",
        "no peer is ahead",
        "every peer has dropped the entry",
        "no peer is alive",
    ],
)
def test_entries_come_without_gaps_from_a_peer_that_has_them(
    monkeypatch: pytest.MonkeyPatch,
    peers: list[FakePeer],
    from_offset: int,
    source: str,
    count: int,
) -> None:
    """Guards against a gap, by which a node would skip entries of the log."""
    entries = paused_clock.run(_fetch(_relay(monkeypatch, peers), from_offset))
    assert [entry.offset for entry in entries] == list(
        range(from_offset, from_offset + count)
    )
    assert {entry.payload.decode() for entry in entries} <= {source}


async def _fetch(
    peer_relay: relay.Relay, from_offset: int
) -> Sequence[log_service.LogEntry]:
    return await peer_relay.fetch_entries(from_offset, 5)


def test_snapshot_comes_from_the_most_advanced_peer_that_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an old snapshot, and a search that ends at a failing peer."""
    peers = [
        FakePeer("old", 0, 3),
        FakePeer("cut", 0, 9, is_failing=True),
        FakePeer("new", 0, 7),
        FakePeer("empty", 0, -1),
    ]
    peer_relay = _relay(monkeypatch, peers)
    assert peer_relay.highest_offset() == 9
    assert asyncio.run(peer_relay.fetch_snapshot()) == (7, b"new")
    empty_relay = _relay(monkeypatch, [FakePeer("empty", 0, -1)])
    assert empty_relay.highest_offset() == -1
    assert asyncio.run(empty_relay.fetch_snapshot()) is None
