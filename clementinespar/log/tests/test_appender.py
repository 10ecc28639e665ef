"""Tests of the appender against the fake log and its faults."""

import asyncio

import pytest

from clementinespar import codes, errors, identifiers
from clementinespar.duties import messages as duty_messages
from clementinespar.fleet import state as fleet_state
from clementinespar.log import appender as log_appender
from clementinespar.log import follower as log_follower
from clementinespar.tests import log_nodes, paused_clock
from standins import fake_log

Node = log_nodes.LogNode


def count_applied(node: Node, applied: list[codes.ResultCode]) -> None:
    node.follower.add_listener(lambda entry, code: applied.append(code))


@pytest.mark.parametrize(
    ("faults", "entries"),
    [
        pytest.param(fake_log.Faults(), 1, id="no fault"),
        pytest.param(fake_log.Faults(lose_replies=1), 1, id="reply lost"),
        # The read-back does not find the record, so it is appended again; the first
        # append takes effect after the second.
        pytest.param(
            fake_log.Faults(lose_replies=1, late_ms=300.0), 2, id="late effect"
        ),
        pytest.param(
            fake_log.Faults(lose_replies=3, late_ms=3_000.0), 4, id="three late"
        ),
    ],
)
@log_nodes.with_nodes("node-a")
async def test_record_applies_once(
    node: Node, faults: fake_log.Faults, entries: int
) -> None:
    """Guards against a record that applies twice, or never, after a lost reply."""
    log = node.log
    applied: list[codes.ResultCode] = []
    count_applied(node, applied)
    node.access.faults = faults
    result = await node.appender.append(node.duty_record("waves"), 10.0)
    await asyncio.sleep(10.0)
    assert result.code == codes.ResultCode.OK
    assert log.end_offset == entries
    assert applied.count(codes.ResultCode.OK) == 1
    assert applied.count(codes.ResultCode.RECORD_DUPLICATE) == entries - 1


def test_lost_reply_is_read_back_before_the_record_is_sent_again() -> None:
    """Guards against a second append of a record that is in the log.

    The follower's task does not run, so that only the appender's own read can find the
    record.
    """

    async def main() -> None:
        log = fake_log.FakeLog()
        follower = log_follower.Follower(log, None, 1.0)
        appender = log_appender.Appender(
            log, follower, "node-a", 0.005, wall_ms=log.now_ms
        )
        node = Node("node-a", fake_log.LogAccess(log), follower, appender)
        log.faults.lose_replies = 1
        async with appender.running():
            result = await appender.append(node.duty_record("waves"), 5.0)
        assert result.code == codes.ResultCode.OK
        assert log.end_offset == 1

    paused_clock.run(main())


@pytest.mark.parametrize(
    ("faults", "expected"),
    [
        # A refused call was not appended; a call without a reply may have been.
        pytest.param(fake_log.Faults(down=True), errors.LogUnavailableError, id="down"),
        pytest.param(
            fake_log.Faults(silent=True), errors.LogReplyLostError, id="silent"
        ),
        pytest.param(
            fake_log.Faults(lose_replies=fake_log.ALL, late_ms=60_000.0),
            errors.LogReplyLostError,
            id="effect after the deadline",
        ),
    ],
)
@log_nodes.with_nodes("node-a")
async def test_failure_says_whether_the_record_may_apply(
    node: Node, faults: fake_log.Faults, expected: type[errors.ClementinesparError]
) -> None:
    """Guards against a record that is reported as not applied but applies later."""
    log = node.log
    node.access.faults = faults
    with pytest.raises(expected):
        await node.appender.append(node.duty_record("waves"), 3.0)
    node.access.faults = fake_log.Faults()
    await asyncio.sleep(100.0)
    is_applied = log.end_offset > 0
    assert not (is_applied and expected is errors.LogUnavailableError)


@log_nodes.with_nodes("node-a")
async def test_refusal_after_a_lost_reply_leaves_the_outcome_unknown(
    node: Node,
) -> None:
    """Guards against a record that is reported as not appended but may take effect.

    Its second append is refused, but the first may still take effect.
    """
    node.access.faults = fake_log.Faults(lose_replies=1, late_ms=8_000.0)
    append = asyncio.create_task(node.appender.append(node.duty_record("waves"), 5.0))
    await asyncio.sleep(0.01)
    node.access.faults = fake_log.Faults(down=True)
    with pytest.raises(errors.LogReplyLostError):
        await append


@log_nodes.with_nodes("node-a")
async def test_append_survives_a_short_outage(node: Node) -> None:
    """Guards against failing before the deadline while another attempt is possible."""
    log = node.log
    log.faults.down = True
    append = asyncio.create_task(node.appender.append(node.duty_record("waves"), 10.0))
    await asyncio.sleep(5.0)
    log.faults.down = False
    assert (await append).code == codes.ResultCode.OK


@log_nodes.with_nodes("node-a")
async def test_concurrent_records_share_appends(node: Node) -> None:
    """Guards against one append per record, which the log's rate limit refuses."""
    log = node.log
    log.max_appends_per_s = 3
    results = await asyncio.gather(
        *(
            node.appender.append(node.duty_record(f"duty-{i}"), 20.0)
            for i in range(1000)
        )
    )
    assert {result.code for result in results} == {codes.ResultCode.OK}
    assert log.append_count == 5
    assert log.end_offset == 1000


@log_nodes.with_nodes("node-a")
async def test_unresponsive_call_does_not_delay_other_records(node: Node) -> None:
    """Guards against an unresponsive connection that blocks every claim of the node."""
    await node.appender.append(node.duty_record("first"), 1.0)
    node.access.faults.silent = True
    stuck = asyncio.create_task(node.appender.append(node.duty_record("stuck"), 60.0))
    await asyncio.sleep(0.01)
    node.access.faults.silent = False
    result = await node.appender.append(node.duty_record("free"), 1.0)
    assert result.code == codes.ResultCode.OK
    assert not stuck.done()
    stuck.cancel()


@log_nodes.with_nodes("node-a")
async def test_record_past_the_dedup_window_is_not_sent_again(node: Node) -> None:
    """Guards against a retry of a record whose id the fold may no longer keep."""
    log = node.log
    await node.appender.append(node.duty_record("waves"), 5.0)
    issued_ms = node.appender.now_ms() - fleet_state.DEDUP_WINDOW_MS - 1
    record = duty_messages.DutyClaimed(
        record_id=identifiers.new_id(issued_ms),
        issued_ms=issued_ms,
        author=node.name,
        duty="old",
        lease_ms=1000,
    )
    with pytest.raises(errors.LogUnavailableError):
        await node.appender.append(record, 5.0)
    assert log.end_offset == 1


@pytest.mark.parametrize(
    ("skew_ms", "code"),
    [
        (-86_400_000, codes.ResultCode.OK),
        (-119_000, codes.ResultCode.OK),
        (59_000, codes.ResultCode.OK),
        (61_000, codes.ResultCode.RECORD_ISSUED_AHEAD),
    ],
)
@log_nodes.with_nodes("node-a", "node-b")
async def test_node_with_a_wrong_clock(
    node_a: Node, node_b: Node, skew_ms: int, code: codes.ResultCode
) -> None:
    """Guards against refusing all records of a node because its clock is behind."""
    log = node_a.log
    await node_a.appender.append(node_a.duty_record("first"), 5.0)
    node_b.appender._wall_ms = lambda: log.now_ms() + skew_ms
    result = await node_b.appender.append(node_b.duty_record("second"), 5.0)
    assert result.code == code
