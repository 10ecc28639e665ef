"""Tests of the follower: outages, peers, old copies, snapshots and retention."""

import asyncio
from collections.abc import Callable, Sequence

import pytest

from clementinespar import codes
from clementinespar.fleet import messages as fleet_messages
from clementinespar.fleet import snapshot as fleet_snapshot
from clementinespar.log import follower as log_follower
from clementinespar.log import records, service
from clementinespar.tests import log_nodes, paused_clock
from standins import fake_log

Node = log_nodes.LogNode


async def append_duties(node: Node, count: int, prefix: str = "") -> None:
    """Append records one by one, so that each has its own append time."""
    for i in range(count):
        await node.appender.append(node.duty_record(f"{prefix}{i}"), 5.0)


async def publish_snapshot(node: Node) -> int:
    publisher = fleet_snapshot.SnapshotPublisher(
        node.follower, node.appender, interval_s=300.0, max_entries=1000
    )
    return await publisher.publish()


def raise_error(entry: service.LogEntry, code: codes.ResultCode) -> None:
    raise RuntimeError("listener error")


@log_nodes.with_nodes("node-a")
async def test_listeners_and_waiters_see_entries_in_order(node: Node) -> None:
    """Guards against waiters that are never woken and listeners that miss entries."""
    log = node.log
    seen: list[tuple[int, codes.ResultCode]] = []
    node.follower.add_listener(lambda e, code: seen.append((e.offset, code)))
    node.follower.add_listener(raise_error)  # must not stop the fold
    waits = [asyncio.create_task(node.follower.wait_applied(i)) for i in (2, 0, 1)]
    log.append_now([b"not a record"])
    await append_duties(node, 2)
    await asyncio.gather(*waits)
    assert seen == [
        (0, codes.ResultCode.RECORD_INVALID),
        (1, codes.ResultCode.OK),
        (2, codes.ResultCode.OK),
    ]


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(fake_log.Faults(down=True), id="down"),
        pytest.param(fake_log.Faults(silent=True), id="silent"),
        pytest.param(fake_log.Faults(visible_end=3), id="old copy"),
        pytest.param(fake_log.Faults(slow_ms=60_000.0), id="very slow"),
    ],
)
@pytest.mark.parametrize(
    ("max_recent_bytes", "poll_wait_s"), [(10**6, 1.0), (1500, 0.1)]
)
def test_peer_relays_entries_that_the_log_does_not_provide(
    faults: fake_log.Faults,
    max_recent_bytes: int,
    poll_wait_s: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a node that keeps an old document while a peer has a newer one.

    A limit of 1500 bytes keeps fewer entries than are missing, so that the node needs
    the peer's snapshot.
    """
    monkeypatch.setattr(log_follower, "_MAX_RECENT_BYTES", max_recent_bytes)

    async def main() -> None:
        log = fake_log.FakeLog()
        relay = log_nodes.NodeRelay()
        async with (
            log_nodes.running_node(log, "node-a") as node_a,
            log_nodes.running_node(log, "node-b", relay, poll_wait_s) as node_b,
        ):
            relay.peer = node_a
            await append_duties(node_a, 3)
            await node_b.follower.wait_applied(2)
            node_b.access.faults = faults
            await asyncio.sleep(5.0)
            await append_duties(node_a, 20, "more-")
            async with asyncio.timeout(3.0):  # the objective is 4 s in all
                await node_b.follower.wait_applied(22)
            assert node_b.follower.state == node_a.follower.state
            node_b.access.faults = fake_log.Faults()
            await append_duties(node_a, 1, "last-")
            async with asyncio.timeout(65.0):
                await node_b.follower.wait_applied(23)
            assert node_b.follower.state == node_a.follower.state

    paused_clock.run(main())


@log_nodes.with_nodes("node-a")
async def test_node_is_ready_only_after_an_answer(node_a: Node) -> None:
    """Guards against a node that serves an empty state while others have records."""
    log = node_a.log
    relay = log_nodes.NodeRelay()
    await append_duties(node_a, 300)
    log.faults.down = True
    async with log_nodes.running_node(log, "node-b", relay) as node_b:
        await asyncio.sleep(10.0)
        assert not node_b.follower.is_ready
        assert node_b.follower.state.offset == -1
        relay.peer = node_a
        await asyncio.sleep(2.0)
        assert node_b.follower.is_ready
        assert node_b.follower.state == node_a.follower.state
    log.faults.down = False
    async with log_nodes.running_node(log, "node-c") as node_c:
        was_ready: list[bool] = []
        node_c.follower.add_listener(
            lambda e, code: was_ready.append(node_c.follower.is_ready)
        )
        await node_c.follower.wait_applied(299)
        assert not any(was_ready)
        assert node_c.follower.is_ready


@pytest.mark.parametrize(
    "faults", [fake_log.Faults(down=True), fake_log.Faults(slow_ms=60_000.0)]
)
@log_nodes.with_nodes("node-a")
async def test_ready_after_part_of_the_log_and_a_peer_at_the_same_offset(
    node_a: Node, faults: fake_log.Faults
) -> None:
    """Guards against a node that is never ready because no peer is ahead of it."""
    log = node_a.log
    relay = log_nodes.NodeRelay()
    await append_duties(node_a, 3)
    async with log_nodes.running_node(log, "node-b", relay) as node_b:
        node_b.access.faults = faults
        for entry in log.entries:
            node_b.follower._apply([entry])
        await asyncio.sleep(3.0)
        assert not node_b.follower.is_ready
        relay.peer = node_a
        await asyncio.sleep(3.0)
        assert node_b.follower.is_ready


@pytest.mark.parametrize("damage", ["none", "newest damaged", "newest incomplete"])
@log_nodes.with_nodes("node-a")
async def test_start_from_the_newest_valid_snapshot(
    node_a: Node, damage: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a node that cannot start once the first entries have expired.

    Also guards against a start from a damaged or incomplete snapshot.
    """
    log = node_a.log
    monkeypatch.setattr(fleet_snapshot, "_CHUNK_BYTES", 400)

    await append_duties(node_a, 30)
    as_of_older = await publish_snapshot(node_a)
    await append_duties(node_a, 30, "more-")
    before_newest = log.end_offset
    as_of_newest = await publish_snapshot(node_a)
    await append_duties(node_a, 5, "last-")
    log.retention_entries = log.end_offset - as_of_older - 1
    expected = as_of_newest if damage == "none" else as_of_older
    if damage == "newest damaged":
        replace_payload(log, before_newest + 1, damage_chunk)
    elif damage == "newest incomplete":
        replace_payload(log, before_newest + 1, lambda payload: b"{}")
    async with log_nodes.running_node(log, "node-b") as node_b:
        loaded: list[int] = []
        node_b.follower.add_listener(lambda e, code: loaded.append(e.offset))
        await node_b.follower.wait_applied(log.end_offset - 1)
        assert loaded[0] == expected + 1
        assert node_b.follower.is_ready
        if damage == "none":
            assert node_b.follower.state == node_a.follower.state


def replace_payload(
    log: fake_log.FakeLog, offset: int, change: Callable[[bytes], bytes]
) -> None:
    index = offset - log.entries[0].offset
    entry = log.entries[index]
    log._entries[index] = service.LogEntry(
        offset, entry.timestamp_ms, change(entry.payload)
    )


def damage_chunk(payload: bytes) -> bytes:
    record = records.parse_record(payload)
    assert isinstance(record, fleet_messages.SnapshotChunk)
    data = record.data
    return records.encode_record(
        record.model_copy(update={"data": data[5:10] + data[5:]})
    )


@log_nodes.with_nodes("node-a")
async def test_start_without_any_snapshot_waits_for_a_peer(node_a: Node) -> None:
    """Guards against a state that lacks the effects of expired records."""
    log = node_a.log
    relay = log_nodes.NodeRelay()
    await append_duties(node_a, 30)
    log.retention_entries = 10
    async with log_nodes.running_node(log, "node-b", relay) as node_b:
        await asyncio.sleep(5.0)
        assert not node_b.follower.is_ready
        assert node_b.follower.state.offset == -1
        relay.peer = node_a
        await append_duties(node_a, 1, "new-")
        await node_b.follower.wait_applied(30)
        assert node_b.follower.state == node_a.follower.state


def test_state_is_replaced_only_by_a_higher_offset() -> None:
    """Guards against a document that reverts because a peer sends an old state."""

    class OldRelay(log_nodes.NodeRelay):
        old: tuple[int, bytes] | None = None

        def highest_offset(self) -> int:
            return 1_000

        async def fetch_snapshot(self) -> tuple[int, bytes] | None:
            return self.old

    async def main() -> None:
        log = fake_log.FakeLog()
        relay = OldRelay()
        async with log_nodes.running_node(log, "node-a", relay) as node:
            relay.peer = node
            await append_duties(node, 5)
            relay.old = node.follower.snapshot()
            await append_duties(node, 5, "more-")
            log.faults.down = True
            await asyncio.sleep(5.0)
            assert node.follower.state.offset == 9

    paused_clock.run(main())


@log_nodes.with_nodes("node-a")
async def test_entries_after_a_gap_are_not_applied(node_a: Node) -> None:
    """Guards against a state that lacks an entry that a peer did not send."""

    class GapRelay(log_nodes.NodeRelay):
        async def fetch_entries(
            self, from_offset: int, limit: int
        ) -> Sequence[service.LogEntry]:
            entries = await super().fetch_entries(from_offset, limit)
            return [*entries[:2], *entries[3:]] if len(entries) > 3 else entries

    log = node_a.log
    await append_duties(node_a, 10)
    log.faults.down = True
    relay = GapRelay(node_a)
    async with log_nodes.running_node(log, "node-b", relay) as node_b:
        await node_b.follower.wait_applied(9)
        assert node_b.follower.state == node_a.follower.state
        assert node_b.follower.recent_entries(0, 99) == log.entries


@log_nodes.with_nodes("node-a")
async def test_start_with_a_long_log_loads_a_snapshot(
    node_a: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a replay of a long log although the log has a snapshot."""
    log = node_a.log
    monkeypatch.setattr(log_follower, "_MAX_REPLAY_ENTRIES", 20)

    await append_duties(node_a, 30)
    as_of_offset = await publish_snapshot(node_a)
    async with log_nodes.running_node(log, "node-b") as node_b:
        loaded: list[int] = []
        node_b.follower.add_listener(lambda e, code: loaded.append(e.offset))
        await node_b.follower.wait_applied(log.end_offset - 1)
        assert loaded[0] == as_of_offset + 1
        assert node_b.follower.state == node_a.follower.state


@log_nodes.with_nodes("node-a")
async def test_refresh_covers_appends_that_were_complete_before(node: Node) -> None:
    """Guards against a read-back that misses a record, which is then appended again."""
    log = node.log
    await node.follower.wait_applied(-1)
    payloads = [
        records.encode_record(node.duty_record(f"duty-{i}")) for i in range(700)
    ]
    log.append_now(payloads)
    assert await node.follower.refresh(1.0)
    assert node.follower.state.offset == 699
    node.access.faults = fake_log.Faults(slow_ms=5_000.0)
    assert not await node.follower.refresh(1.0)
    node.access.faults = fake_log.Faults(down=True)
    assert not await node.follower.refresh(1.0)


@log_nodes.with_nodes("node-a")
async def test_refresh_from_an_old_copy_of_the_log_is_refused(node_a: Node) -> None:
    """Guards against a host action that is checked against an old state."""
    relay = log_nodes.NodeRelay(node_a)
    async with log_nodes.running_node(node_a.log, "node-b", relay) as node_b:
        await append_duties(node_a, 3)
        await node_b.follower.wait_applied(2)
        node_b.access.faults.visible_end = 2  # less than this node has
        assert not await node_b.follower.refresh(1.0)
        node_b.access.faults.visible_end = 3  # less than its peer has
        await append_duties(node_a, 3, "more-")
        assert not await node_b.follower.refresh(1.0)
        node_b.access.faults.visible_end = None
        assert await node_b.follower.refresh(1.0)


@log_nodes.with_nodes("node-a")
async def test_recent_entries_are_bounded(
    node: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against memory use that grows with the log."""
    log = node.log
    monkeypatch.setattr(log_follower, "_MAX_RECENT_BYTES", 2_000)

    await append_duties(node, 50)
    oldest = node.follower.oldest_kept_offset
    assert 40 <= oldest < 50
    assert node.follower.recent_entries(oldest - 1, 5) == ()
    assert node.follower.recent_entries(oldest, 100) == log.entries[oldest:]
    assert node.follower.recent_entries(50, 5) == ()
