"""Tests of host operations on a fake log and platform with a paused clock."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from clementinespar import codes, identifiers
from clementinespar.duties import holder as duties_holder
from clementinespar.log import base
from clementinespar.platform import service as platform_service
from clementinespar.pools import messages
from clementinespar.tests import fleets, paused_clock
from standins import fake_log, fake_platform

_A = fleets.host_ids("a", 4)
_B = fleets.host_ids("b", 4)
_DOCUMENT = fleets.make_document({"a": _A, "b": _B})


class _PausingPlatform(fake_platform.FakePlatform):
    """Delays one call of a chosen step, as a pause of the calling node would."""

    def __init__(self) -> None:
        super().__init__(fleets.seeds_of(_DOCUMENT))
        self.paused_step = ""
        self.resumed = asyncio.Event()
        self.paused_count = 0

    async def _pause_at(self, step: str) -> None:
        if self.paused_step == step:
            self.paused_step = ""
            self.paused_count += 1
            await self.resumed.wait()

    async def drain(self, host_id: str, operation: platform_service.Operation) -> None:
        await self._pause_at("drain")
        await super().drain(host_id, operation)

    async def reboot(
        self, host_id: str, operation: platform_service.Operation, pool: str
    ) -> None:
        await self._pause_at("reboot")
        await super().reboot(host_id, operation, pool)

    async def operation_status(
        self, operation_id: str, step: platform_service.OperationStep
    ) -> platform_service.OperationState:
        state = await super().operation_status(operation_id, step)
        await self._pause_at(f"status of {step}")
        return state


class _NodePair:
    """Two nodes on one log and platform."""

    def __init__(
        self,
        a: fleets.FleetNode,
        b: fleets.FleetNode,
        platform: _PausingPlatform,
    ) -> None:
        self.a = a
        self.b = b
        self.platform = platform

    async def append(
        self,
        record_type: type[base.Record],
        by: fleets.FleetNode | None = None,
        **fields: object,
    ) -> None:
        appender = (by or self.a).log_node.appender
        issued_ms = appender.now_ms()
        record = record_type(
            record_id=identifiers.new_id(issued_ms),
            issued_ms=issued_ms,
            author="node-a",
            **fields,
        )
        result = await appender.append(record, 5.0)
        assert result.code == codes.ResultCode.OK
        await self.b.log_node.follower.refresh(1.0)

    async def move(
        self,
        host_id: str,
        pool: str,
        to_pool: str,
        by: fleets.FleetNode | None = None,
    ) -> None:
        await self.append(
            messages.HostTakenOut,
            by,
            host_id=host_id,
            pool=pool,
            host_revision=(by or self.a).state.pools.hosts_by_id[host_id].revision,
            reason="move",
            to_pool=to_pool,
        )

    async def advance(self, node: fleets.FleetNode, host_id: str, rounds: int) -> None:
        for _ in range(rounds):
            await node.operations.advance(host_id)
            await asyncio.sleep(1)

    def started(self) -> list[tuple[str, str]]:
        return [
            (action.step, action.pool)
            for action in self.platform.actions
            if action.result == "started"
        ]

    def pool_of(self, host_id: str) -> tuple[str, bool]:
        host = self.a.state.pools.hosts_by_id[host_id]
        return host.pool, host.is_available


@contextlib.asynccontextmanager
async def _node_pair() -> AsyncIterator[_NodePair]:
    log = fake_log.FakeLog()
    platform = _PausingPlatform()
    async with (
        fleets.running_fleet_node(log, platform, "node-a") as a,
        fleets.running_fleet_node(log, platform, "node-b") as b,
    ):
        await a.publish(_DOCUMENT)
        yield _NodePair(a, b, platform)


@paused_clock.test
async def test_two_nodes_advance_a_move_in_turn_and_at_once() -> None:
    """Guards against steps that are done twice when another node continues."""
    async with _node_pair() as pair:
        await pair.move(_A[0], "a", "b")
        await pair.advance(pair.a, _A[0], 3)  # node a stops during the drain
        await asyncio.gather(
            pair.advance(pair.a, _A[0], 40), pair.advance(pair.b, _A[0], 40)
        )
        assert pair.pool_of(_A[0]) == ("b", True)
        assert pair.platform.pool_by_host_id[_A[0]] == "b"
        assert pair.started() == [("drain", ""), ("reboot", "b")]


@pytest.mark.parametrize("paused_step", ["drain", "reboot"])
@paused_clock.test
async def test_node_paused_before_a_call_is_fenced(paused_step: str) -> None:
    """Guards against an action of the first move that runs during the second."""
    async with _node_pair() as pair:
        await pair.move(_A[0], "a", "b")
        pair.platform.paused_step = paused_step
        paused_task = asyncio.create_task(pair.advance(pair.a, _A[0], 30))
        await asyncio.sleep(20)
        assert pair.platform.paused_count == 1
        await pair.advance(pair.b, _A[0], 60)
        assert pair.pool_of(_A[0]) == ("b", True)
        await pair.move(_A[0], "b", "a")
        await pair.advance(pair.b, _A[0], 1)
        pair.platform.resumed.set()
        await asyncio.sleep(0.1)
        assert pair.platform.actions[-1].result == "refused"
        await pair.advance(pair.b, _A[0], 40)
        await paused_task
        assert pair.pool_of(_A[0]) == ("a", True)
        assert pair.platform.pool_by_host_id[_A[0]] == "a"
        assert len(pair.started()) == 4


@pytest.mark.parametrize("paused_step", ["drain", "reboot"])
@pytest.mark.parametrize("is_out_again", [False, True])
@paused_clock.test
async def test_node_paused_before_its_check_sends_no_call(
    paused_step: str, is_out_again: bool
) -> None:
    """Guards against a call for an operation that another node completed."""
    async with _node_pair() as pair:
        await pair.move(_A[0], "a", "b")
        pair.platform.paused_step = f"status of {paused_step}"
        paused_task = asyncio.create_task(pair.a.operations.advance(_A[0]))
        if paused_step == "reboot":
            await paused_task
            await asyncio.sleep(10)
            paused_task = asyncio.create_task(pair.a.operations.advance(_A[0]))
        await asyncio.sleep(1)
        assert pair.platform.paused_count == 1
        await pair.advance(pair.b, _A[0], 60)
        if is_out_again:
            await pair.move(_A[0], "b", "a")
        count = len(pair.platform.actions)
        pair.platform.resumed.set()
        assert await paused_task == codes.ResultCode.HOST_NOT_OUT
        assert len(pair.platform.actions) == count


async def _run_rounds(node: fleets.FleetNode, holder: duties_holder.DutyHolder) -> None:
    """Advance moves while the node holds the duty lease, as an entry node does."""
    while True:
        if holder.is_held:
            await node.operations.advance_all("move")
        await asyncio.sleep(1)


@pytest.mark.parametrize("paused_step", ["drain", "reboot"])
@pytest.mark.parametrize("progress", ["unfinished", "done", "out again"])
@paused_clock.test
async def test_node_paused_during_a_change_of_the_duty_lease(
    paused_step: str, progress: str
) -> None:
    """Guards against a previous lease holder that resumes just before a host action."""
    async with _node_pair() as pair, contextlib.AsyncExitStack() as stack:
        holders = []
        for node in (pair.a, pair.b):
            log_node = node.log_node
            holder = duties_holder.DutyHolder(
                "capacity", log_node.appender, log_node.follower, log_node.name, 10_000
            )
            await stack.enter_async_context(holder.running())
            await asyncio.sleep(1)
            holders.append(holder)
        previous, next_holder = holders
        assert previous.is_held
        await pair.move(_A[0], "a", "b")
        out = pair.b.state.pools.hosts_by_id[_A[0]].out
        assert out is not None
        pair.platform.paused_step = f"status of {paused_step}"
        rounds = [
            asyncio.create_task(_run_rounds(node, holder))
            for node, holder in ((pair.a, previous), (pair.b, next_holder))
        ]
        async with asyncio.timeout(60):
            while not pair.platform.paused_count:
                await asyncio.sleep(0.1)
        pair.a.log_node.access.faults.silent = True  # the node cannot use the log
        async with asyncio.timeout(60):
            while (paused_step, out.operation_id) not in [
                (action.step, action.operation_id) for action in pair.platform.actions
            ]:
                await asyncio.sleep(0.1)
        assert next_holder.is_held
        assert not previous.is_held
        if progress != "unfinished":
            async with asyncio.timeout(120):
                while not pair.b.state.pools.hosts_by_id[_A[0]].is_available:
                    await asyncio.sleep(0.1)
        if progress == "out again":
            await pair.move(_A[0], "b", "a", pair.b)
        started = pair.started()
        calls = [a for a in pair.platform.actions if a.operation_id == out.operation_id]
        pair.a.log_node.access.faults.silent = False
        pair.platform.resumed.set()
        await asyncio.sleep(0.5)
        assert not previous.is_held
        later = [
            a
            for a in pair.platform.actions
            if a.operation_id == out.operation_id and a not in calls
        ]
        if progress == "unfinished":
            # The operation still exists, so a call may be sent, but has no new effect.
            assert {action.result for action in later} <= {"repeated"}
        else:
            assert later == []
        if progress != "out again":
            assert pair.started() == started
        await asyncio.sleep(60)
        pool = "a" if progress == "out again" else "b"
        assert pair.pool_of(_A[0]) == (pool, True)
        assert pair.platform.pool_by_host_id[_A[0]] == pool
        assert len(pair.started()) == (4 if progress == "out again" else 2)
        for task in rounds:
            assert not task.done()
            task.cancel()


@paused_clock.test
async def test_document_that_removes_the_destination_returns_the_host() -> None:
    """Guards against a host that never returns because its new pool was removed."""
    async with _node_pair() as pair:
        await pair.move(_A[0], "a", "b")
        await pair.advance(pair.a, _A[0], 8)
        changed = fleets.make_document({"a": _A, "c": _B})
        await pair.a.publish(changed)
        await pair.advance(pair.a, _A[0], 60)
        assert pair.pool_of(_A[0]) == ("a", True)
        assert pair.platform.pool_by_host_id[_A[0]] == "a"


@paused_clock.test
async def test_no_step_starts_while_the_log_is_down() -> None:
    """Guards against steps that start without a confirmation by the log."""
    async with _node_pair() as pair:
        await pair.move(_A[0], "a", "b")
        pair.a.log_node.access.log.faults.down = True
        await pair.advance(pair.a, _A[0], 20)
        assert list(pair.platform.actions) == []
        explained = pair.a.operations.explain(_A[0])
        assert explained.code == codes.ResultCode.LOG_UNAVAILABLE
        pair.a.log_node.access.log.faults.down = False
        await pair.advance(pair.a, _A[0], 60)
        assert pair.pool_of(_A[0]) == ("b", True)


@paused_clock.test
async def test_operation_continues_after_a_draining_host_recovers() -> None:
    """Guards against an operation that never ends after the platform refused a step."""
    async with _node_pair() as pair:
        await pair.move(_A[0], "a", "b")
        await pair.advance(pair.a, _A[0], 2)
        pair.platform.fail([_A[0]])
        await pair.advance(pair.a, _A[0], 10)
        explained = pair.a.operations.explain(_A[0])
        assert explained.code == codes.ResultCode.PLATFORM_REFUSED
        pair.platform.recover([_A[0]])
        await pair.advance(pair.a, _A[0], 60)
        assert pair.pool_of(_A[0]) == ("b", True)
