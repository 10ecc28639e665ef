"""Tests of duty leases with paused lease holders and faults of the log."""

import asyncio

import pytest

from clementinespar.duties import holder as duties_holder
from clementinespar.tests import log_nodes, paused_clock
from standins import fake_log

Node = log_nodes.LogNode

_LEASE_MS = 10_000


def make_holder(node: Node) -> duties_holder.DutyHolder:
    return duties_holder.DutyHolder(
        "waves", node.appender, node.follower, node.name, _LEASE_MS
    )


@log_nodes.with_nodes("node-a", "node-b")
async def test_duty_passes_to_another_node_after_its_release(
    node_a: Node, node_b: Node
) -> None:
    """Guards against two lease holders at a time.

    Also guards against a duty that stays blocked by the lease of a stopped node.
    """
    log = node_a.log
    holder_a, holder_b = make_holder(node_a), make_holder(node_b)
    assert not holder_a.is_held
    async with holder_b.running():
        async with holder_a.running():
            for _ in range(1_000):
                await asyncio.sleep(0.1)
                assert holder_a.is_held != holder_b.is_held
            first = holder_a if holder_a.is_held else holder_b
            assert first.fencing_offset == 0, "renewals must keep the fencing offset"
            # Renewals every half lease for 100 s, and claims of the other node.
            assert log.append_count <= 45
        assert not holder_a.is_held
        await asyncio.sleep(_LEASE_MS / 1000 * 1.2)
        assert holder_b.is_held


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(fake_log.Faults(silent=True), id="silent"),
        pytest.param(fake_log.Faults(down=True), id="down"),
        pytest.param(fake_log.Faults(slow_ms=15_000.0), id="slow"),
        pytest.param(fake_log.Faults(visible_end=1), id="old copy"),
        pytest.param(
            fake_log.Faults(lose_replies=fake_log.ALL, late_ms=12_000.0), id="late"
        ),
    ],
)
@log_nodes.with_nodes("node-a", "node-b")
async def test_holder_that_is_cut_off_stops_before_another_starts(
    node_a: Node, node_b: Node, faults: fake_log.Faults
) -> None:
    """Guards against a lease holder that sees no records and acts after its lease."""
    holder_a, holder_b = make_holder(node_a), make_holder(node_b)
    async with holder_a.running():
        await asyncio.sleep(1.0)
        assert holder_a.is_held
        async with holder_b.running():
            await asyncio.sleep(1.0)
            node_a.access.faults = faults
            was_taken_over = False
            for _ in range(1_000):
                await asyncio.sleep(0.1)
                assert not (holder_a.is_held and holder_b.is_held)
                was_taken_over = was_taken_over or holder_b.is_held
            assert was_taken_over
            node_a.access.faults = fake_log.Faults()
            await asyncio.sleep(60.0)
            assert holder_a.is_held != holder_b.is_held


@log_nodes.with_nodes("node-a")
async def test_holder_paused_past_its_lease(node: Node) -> None:
    """Guards against a process that acts after a pause longer than its lease."""
    holder = make_holder(node)
    async with holder.running():
        await asyncio.sleep(1.0)
        assert holder.is_held
        loop = asyncio.get_running_loop()
        assert isinstance(loop, paused_clock.PausedClockLoop)
        # No callback runs between the change of the clock and the check.
        loop._jumping_selector.jumped_s += _LEASE_MS / 1000
        assert not holder.is_held


@log_nodes.with_nodes("node-a")
async def test_lease_is_counted_from_before_the_claim_was_sent(node: Node) -> None:
    """Guards against a lease that is counted from when its claim was read."""
    log = node.log
    await node.appender.append(node.duty_record("first"), 5.0)
    holder = make_holder(node)
    # The claim takes effect, but the node cannot read it.
    node.access.faults.visible_end = 1
    loop = asyncio.get_running_loop()
    async with holder.running():
        start = loop.time()
        await asyncio.sleep(4.0)
        assert log.end_offset == 2
        node.access.faults = fake_log.Faults()
        while not holder.is_held:
            await asyncio.sleep(0.01)
        node.access.faults = fake_log.Faults(down=True)
        while holder.is_held:
            await asyncio.sleep(0.01)
        assert loop.time() <= start + _LEASE_MS / 1000 + 0.02


@pytest.mark.parametrize(
    ("successor", "duty"),
    [("node-b", "waves"), ("node-a", "waves"), ("node-b", "other")],
)
def test_fold_ends_a_duty_before_the_loop_clock_does(successor: str, duty: str) -> None:
    """Guards against a lease that seems held on a suspended host, whose clock stops.

    Another process, possibly with the same node name, may hold the lease by then.
    """

    async def main() -> None:
        log = fake_log.FakeLog()
        async with (
            log_nodes.running_node(log, "node-a") as node_a,
            log_nodes.running_node(log, successor) as node_b,
        ):
            holder = make_holder(node_a)
            async with holder.running():
                await asyncio.sleep(1.0)
                assert holder.is_held
                assert log._epoch_ms is not None
                log._epoch_ms += 2 * _LEASE_MS
                await node_b.appender.append(node_b.duty_record(duty), 5.0)
                await node_a.follower.wait_applied(1)
                assert not holder.is_held
                assert holder.fencing_offset is None

    paused_clock.run(main())


@log_nodes.with_nodes("node-a")
async def test_stop_during_a_log_outage_is_bounded(node: Node) -> None:
    """Guards against a planned stop that waits for an unavailable log without limit."""
    log = node.log
    holder = make_holder(node)
    async with holder.running():
        await asyncio.sleep(1.0)
        log.faults.silent = True
        stop_began_at = asyncio.get_running_loop().time()
    assert not holder.is_held
    assert asyncio.get_running_loop().time() - stop_began_at <= 2.1
