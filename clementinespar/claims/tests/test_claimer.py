"""Tests of claims on a fake log with faults."""

import asyncio
import contextlib
from typing import Any

import pytest

from clementinespar import codes, identifiers
from clementinespar.claims import claimer as claims_claimer
from clementinespar.tests import log_nodes, paused_clock
from standins import fake_log

Node = log_nodes.LogNode

OK = codes.ResultCode.OK
ALREADY_CLAIMED = codes.ResultCode.ALREADY_CLAIMED
CLAIM_UNAVAILABLE = codes.ResultCode.CLAIM_UNAVAILABLE


def claimed_request_ids(node: Node) -> list[str]:
    return list(node.follower.state.claims.claims_by_request_id)


@log_nodes.with_nodes("node-a", "node-b")
async def test_one_of_many_concurrent_claims_wins(node_a: Node, node_b: Node) -> None:
    """Guards against a request that runs on two nodes, or twice on one."""
    log = node_a.log
    claimers = [await node_a.start_claimer(), await node_b.start_claimer()]
    ids = [identifiers.new_id(log.now_ms()) for _ in range(100)]
    results = await asyncio.gather(
        *(c.claim(i, 5.0) for i in ids for c in (*claimers, *claimers))
    )
    for start in range(0, 400, 4):
        assert results[start : start + 4].count(OK) == 1
        assert results[start : start + 4].count(ALREADY_CLAIMED) == 3
    assert log.append_count <= 4, "claims must share appends"


@pytest.mark.parametrize(
    ("request_id", "age_ms", "code"),
    [
        ("no-time", None, codes.ResultCode.REQUEST_INVALID),
        ("1" * 200 + "-x", None, codes.ResultCode.REQUEST_INVALID),
        ("", None, codes.ResultCode.REQUEST_INVALID),
        ("-x", 599_000, OK),
        ("-x", 601_000, codes.ResultCode.CLAIM_TOO_OLD),
        ("-x", -61_000, codes.ResultCode.CLAIM_TOO_OLD),
        ("-" + "x" * 200, 0, codes.ResultCode.REQUEST_INVALID),
    ],
)
@log_nodes.with_nodes("node-a")
async def test_ids_that_cannot_be_claimed(
    node: Node, request_id: str, age_ms: int | None, code: codes.ResultCode
) -> None:
    """Guards against an invalid id that fails the whole batch or is accepted."""
    log = node.log
    claimer = await node.start_claimer()
    prefix = "" if age_ms is None else str(log.now_ms() - age_ms)
    results = await asyncio.gather(
        claimer.claim(prefix + request_id, 5.0),
        claimer.claim(identifiers.new_id(log.now_ms()), 5.0),
    )
    assert list(results) == [code, OK]


@pytest.mark.parametrize(
    ("faults", "code"),
    [
        (fake_log.Faults(lose_replies=1), OK),
        (fake_log.Faults(lose_replies=1, late_ms=200.0), OK),
        (fake_log.Faults(lose_replies=fake_log.ALL), OK),
        (fake_log.Faults(slow_ms=500.0), OK),
        (fake_log.Faults(down=True), CLAIM_UNAVAILABLE),
        (fake_log.Faults(silent=True), CLAIM_UNAVAILABLE),
        (fake_log.Faults(slow_ms=30_000.0), CLAIM_UNAVAILABLE),
        # The claim may win after the caller has timed out.
        (fake_log.Faults(lose_replies=1, late_ms=20_000.0, down=False), None),
    ],
)
@log_nodes.with_nodes("node-a", "node-b")
async def test_claim_under_faults(
    node_a: Node, node_b: Node, faults: fake_log.Faults, code: codes.ResultCode | None
) -> None:
    """Guards against claims reported as won that the fold does not show.

    Also guards against a claim that wins late and blocks a request that did not run.
    """
    log = node_a.log
    claimer_a, claimer_b = await node_a.start_claimer(), await node_b.start_claimer()
    await claimer_a.claim(identifiers.new_id(log.now_ms()), 5.0)
    request_id = identifiers.new_id(log.now_ms())
    log.faults = faults
    result = await claimer_a.claim(request_id, 5.0)
    assert result == code or code is None
    log.faults = fake_log.Faults()
    await asyncio.sleep(60.0)
    # Either node A has won the claim, or node B can win it now.
    expected = ALREADY_CLAIMED if result == OK else OK
    assert await claimer_b.claim(request_id, 5.0) == expected


def test_cancelled_and_late_claims_are_released() -> None:
    """Guards against a request that stays claimed although it never runs.

    The caller disconnects while the claim is appended.
    """

    async def main() -> None:
        for delay_s in (0.0, 0.003, 0.007, 0.02, 0.2, 0.9):
            log = fake_log.FakeLog()
            async with log_nodes.running_node(log) as node:
                claimer = await node.start_claimer()
                await claimer.claim(identifiers.new_id(log.now_ms()), 5.0)
                log.faults.slow_ms = 150.0
                request_id = identifiers.new_id(log.now_ms())
                claim = asyncio.create_task(claimer.claim(request_id, 5.0))
                await asyncio.sleep(delay_s)
                is_won = claim.done()
                claim.cancel()
                await asyncio.gather(claim, return_exceptions=True)
                await asyncio.sleep(30.0)
                assert (request_id in claimed_request_ids(node)) == is_won
                if delay_s == 0.0:
                    assert log.append_count == 1, "the cancelled claim was appended"

    paused_clock.run(main())


def test_claim_that_wins_while_its_caller_is_cancelled_is_released(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a claim that is not released if its caller is cancelled late."""

    async def main() -> None:
        outcome = claims_claimer.Claimer._outcome

        def cancel_after_the_result(*arguments: Any) -> codes.ResultCode:
            asyncio.get_running_loop().call_soon(claim.cancel)
            return outcome(*arguments)

        monkeypatch.setattr(claims_claimer.Claimer, "_outcome", cancel_after_the_result)
        log = fake_log.FakeLog()
        async with log_nodes.running_node(log) as node:
            claimer = await node.start_claimer()
            request_id = identifiers.new_id(log.now_ms())
            claim = asyncio.create_task(claimer.claim(request_id, 5.0))
            await asyncio.gather(claim, return_exceptions=True)
            assert claim.cancelled()
            assert claimed_request_ids(node) == [request_id]
            await claimer.finish(5.0)
            assert not claimed_request_ids(node)

    paused_clock.run(main())


@log_nodes.with_nodes("node-a", "node-b")
async def test_released_request_can_be_claimed_again(
    node_a: Node, node_b: Node
) -> None:
    """Guards against a retried request that is refused although it cannot have run."""
    log = node_a.log
    claimer_a, claimer_b = await node_a.start_claimer(), await node_b.start_claimer()
    request_id = identifiers.new_id(log.now_ms())
    assert await claimer_a.claim(request_id, 5.0) == OK
    await claimer_b.release(request_id)  # no effect: another node has the claim
    await claimer_b.finish(5.0)
    assert await claimer_b.claim(request_id, 5.0) == ALREADY_CLAIMED
    await claimer_a.release(request_id)
    assert await claimer_a.claim(request_id, 5.0) == OK
    await claimer_a.release(request_id)
    await claimer_a.release(request_id)
    await claimer_a.finish(5.0)
    assert await claimer_b.claim(request_id, 5.0) == OK


@log_nodes.with_nodes("node-a")
async def test_restarted_node_does_not_release_claims_of_its_predecessor(
    node: Node,
) -> None:
    """Guards against a second run of a request that a crashed process dispatched."""
    log = node.log
    request_id = identifiers.new_id(log.now_ms())
    assert await (await node.start_claimer()).claim(request_id, 5.0) == OK
    successor = await node.start_claimer()
    assert await successor.claim(request_id, 5.0) == ALREADY_CLAIMED
    await successor.release(request_id)
    await successor.finish(5.0)
    assert claimed_request_ids(node) == [request_id]


@pytest.mark.parametrize("pause_s", [1.0, 100.0, 700.0, 2_000.0])
@log_nodes.with_nodes("node-a", "node-b")
async def test_claim_of_a_node_that_sees_its_result_late(
    node_a: Node, node_b: Node, pause_s: float
) -> None:
    """Guards against a second winner before the first node has read that it won.

    The late result is still valid, because no other claim of the id can win.
    """
    log = node_a.log
    claimer_a, claimer_b = await node_a.start_claimer(), await node_b.start_claimer()
    request_id = identifiers.new_id(log.now_ms())
    await node_a.appender.append(node_a.duty_record("first"), 5.0)
    log.faults = fake_log.Faults(lose_replies=1, late_ms=100.0)
    claim = asyncio.create_task(claimer_a.claim(request_id, 5_000.0))
    while log.faults.lose_replies:
        await asyncio.sleep(0.001)
    node_a.access.faults.down = True
    await asyncio.sleep(pause_s)
    await node_b.appender.append(node_b.duty_record("log moves on"), 5.0)
    assert await claimer_b.claim(request_id, 5.0) != OK
    node_a.access.faults.down = False
    # The fold drops the claim and the result once log time has advanced by 660 s.
    expected = CLAIM_UNAVAILABLE if pause_s > 660.0 else OK
    assert await claim == expected


def test_nodes_share_the_append_rate_of_the_log() -> None:
    """Guards against nodes that starve while others use up the append rate of the log.

    The p99 is 0.16 s of loop time. A retry delay that doubles on refusals and halves on
    successes gives 0.60 s.
    """

    async def main() -> None:
        log = fake_log.FakeLog(max_appends_per_s=300)
        log.faults.slow_ms = 2.0
        waits_s: list[float] = []
        loop = asyncio.get_running_loop()

        async def claim_once(claimer: claims_claimer.Claimer) -> None:
            started = loop.time()
            assert await claimer.claim(identifiers.new_id(log.now_ms()), 3.0) == OK
            waits_s.append(loop.time() - started)

        async def claim_steadily(number: int) -> None:
            claimer = await nodes[number].start_claimer()
            await asyncio.sleep(number * 0.0011)  # nodes do not start at once
            async with asyncio.TaskGroup() as group:
                for _ in range(500):
                    group.create_task(claim_once(claimer))
                    await asyncio.sleep(0.01)

        async with contextlib.AsyncExitStack() as stack:
            nodes = [
                await stack.enter_async_context(
                    log_nodes.running_node(log, f"node-{i}")
                )
                for i in range(9)
            ]
            await asyncio.gather(*(claim_steadily(i) for i in range(len(nodes))))
        assert log.append_count > 1_500, "the limit was not reached"
        assert sorted(waits_s)[int(len(waits_s) * 0.99)] < 0.4

    paused_clock.run(main())


@log_nodes.with_nodes("node-a")
async def test_memory_of_won_claims_is_bounded(node: Node) -> None:
    """Guards against a node that never drops the claims that it has won."""
    log = node.log
    claimer = await node.start_claimer()
    for _ in range(20):
        assert await claimer.claim(identifiers.new_id(log.now_ms()), 5.0) == OK
        await asyncio.sleep(100.0)
    assert len(claimer._won_by_request_id) <= 8
