"""Tests of snapshots: encoding, chunks and publication."""

import asyncio

import pytest

from clementinespar import errors, identifiers
from clementinespar.claims import messages as claim_messages
from clementinespar.fleet import messages, snapshot, state
from clementinespar.log import records, service
from clementinespar.tests import log_nodes, paused_clock
from standins import fake_log

Node = log_nodes.LogNode

_START_MS = 1_700_000_000_000


def make_state(count: int) -> state.FleetState:
    fleet = state.FleetState()
    for offset in range(count):
        now_ms = _START_MS + offset
        record = claim_messages.RequestClaims(
            record_id=identifiers.new_id(now_ms),
            issued_ms=now_ms,
            author="node-a",
            claims=(
                claim_messages.Claim(
                    request_id=identifiers.new_id(now_ms), claim_id="c\n\u2028"
                ),
            ),
        )
        payload = records.encode_record(record)
        state.apply_entry(fleet, service.LogEntry(offset, now_ms, payload))
    return fleet


@pytest.mark.parametrize("count", [0, 1, 2, 3, 7])
def test_state_round_trips_through_parts(
    count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against items that are lost or duplicated at the boundaries of parts."""
    monkeypatch.setattr(snapshot, "_ITEMS_PER_PART", 3)
    fleet = make_state(count)
    data = snapshot.encode_state(fleet)
    assert snapshot.decode_state(data) == fleet
    assert asyncio.run(snapshot.encode_state_in_parts(fleet)) == data


def test_encoding_in_parts_returns_the_state_at_its_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a snapshot that mixes the states of two offsets."""
    monkeypatch.setattr(snapshot, "_ITEMS_PER_PART", 3)

    async def main() -> None:
        fleet = make_state(10)
        expected = snapshot.decode_state(snapshot.encode_state(fleet))
        encoding = asyncio.create_task(snapshot.encode_state_in_parts(fleet))
        await asyncio.sleep(0)
        state.apply_entry(fleet, service.LogEntry(10, _START_MS + 700_000, b""))
        assert not fleet.claims.claims_by_request_id
        assert snapshot.decode_state(await encoding) == expected

    paused_clock.run(main())


def make_chunks_of_state(count: int) -> list[messages.SnapshotChunk]:
    fleet = make_state(count)
    data = snapshot.encode_state(fleet)
    return snapshot.make_chunks(fleet.offset, data, "node-a", _START_MS)


def test_only_complete_and_valid_snapshots_are_rebuilt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a node that starts from a state that differs from the fold."""
    monkeypatch.setattr(snapshot, "_CHUNK_BYTES", 300)
    chunks, others = make_chunks_of_state(20), make_chunks_of_state(20)
    assert len(chunks) > 3
    swapped = chunks[0].model_copy(update={"data": chunks[1].data})
    empty = messages.SnapshotChunk.model_validate(
        {**chunks[0].model_dump(), "count": 1, "data": ""}
    )
    cases: dict[str, list[messages.SnapshotChunk]] = {
        "none": [],
        "missing": chunks[1:],
        "of two snapshots": [others[0], *chunks[1:]],
        "index twice": [*chunks[:-1], chunks[0]],
        "swapped data": [swapped, *chunks[1:]],
        "not base85": [chunks[0].model_copy(update={"data": '"'}), *chunks[1:]],
        "no data": [empty],
        "other digest": [c.model_copy(update={"digest": "0" * 64}) for c in chunks],
        "other offset": [c.model_copy(update={"as_of_offset": 5}) for c in chunks],
    }
    for name, case in cases.items():
        with pytest.raises(snapshot.SnapshotError):
            snapshot.rebuild(case)
            pytest.fail(f"{name} was accepted")
    assert snapshot.rebuild(reversed(chunks)).offset == 19


@pytest.mark.parametrize("cut", [0, 1, 50, -1])
def test_damaged_data_is_refused(cut: int) -> None:
    """Guards against a damaged state from a peer, which comes without a digest."""
    data = snapshot.encode_state(make_state(3))
    with pytest.raises(snapshot.SnapshotError):
        snapshot.decode_state(data[:cut])


def test_data_that_expands_without_bound_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a small snapshot that exhausts the memory of a node."""
    monkeypatch.setattr(snapshot, "MAX_STATE_BYTES", 500)
    with pytest.raises(snapshot.SnapshotError):
        snapshot.decode_state(snapshot.encode_state(make_state(50)))


def test_publisher_keeps_a_usable_snapshot_in_a_short_log() -> None:
    """Guards against records that expire before a snapshot covers them.

    Also guards against several nodes that publish the same snapshot.
    """

    async def main() -> None:
        log = fake_log.FakeLog(retention_entries=100)
        async with (
            log_nodes.running_node(log, "node-a") as node_a,
            log_nodes.running_node(log, "node-b") as node_b,
            snapshot.SnapshotPublisher(
                node_a.follower, node_a.appender, 300.0, 30
            ).running(),
            snapshot.SnapshotPublisher(
                node_b.follower, node_b.appender, 300.0, 30, lambda: False
            ).running(),
        ):
            for _ in range(200):
                await node_a.appender.append(node_a.duty_record("waves"), 5.0)
                await asyncio.sleep(0.5)
            async with log_nodes.running_node(log, "node-c") as node_c:
                async with asyncio.timeout(10.0):
                    await node_c.follower.wait_applied(log.end_offset - 1)
                assert node_c.follower.state == node_a.follower.state
            # 200 records at one snapshot per 30 entries.
            assert 6 <= log.end_offset - 200 <= 8
            # Without appends, records and snapshots still expire by age.
            log.retention_ms = 400_000
            await asyncio.sleep(3_000.0)
            async with log_nodes.running_node(log, "node-c") as node_c:
                async with asyncio.timeout(10.0):
                    await node_c.follower.wait_applied(log.end_offset - 1)
                assert node_c.follower.state == node_a.follower.state

    paused_clock.run(main())


@log_nodes.with_nodes("node-a")
async def test_publisher_continues_after_an_outage(node: Node) -> None:
    """Guards against a publisher that stops at its first failure."""
    log = node.log
    await node.appender.append(node.duty_record("waves"), 5.0)
    publisher = snapshot.SnapshotPublisher(node.follower, node.appender, 300.0, 30)
    log.faults.down = True
    with pytest.raises(errors.LogUnavailableError):
        await publisher.publish()
    async with publisher.running():
        await asyncio.sleep(100.0)
        log.faults.down = False
        await asyncio.sleep(60.0)
        assert node.follower.state.snapshots.as_of_offset == 0
