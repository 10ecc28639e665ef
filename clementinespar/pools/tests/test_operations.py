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
    """Holds one kind of call back, like a node that sleeps before it sends it."""

    def __init__(self) -> None:
        super().__init__(fleets.seeds_of(_DOCUMENT))
        self.held_step = ""
        self.awake = asyncio.Event()
        self.held_count = 0

    async def _hold(self, step: str) -> None:
        if self.held_step == step:
            self.held_step = ""
            self.held_count += 1
            await self.awake.wait()

    async def drain(self, host_id: str, operation: platform_service.Operation) -> None:
        await self._hold("drain")
        await super().drain(host_id, operation)

    async def reboot(
        self, host_id: str, operation: platform_service.Operation, pool: str
    ) -> None:
        await self._hold("reboot")
        await super().reboot(host_id, operation, pool)

    async def operation_status(
        self, operation_id: str, step: platform_service.OperationStep
    ) -> platform_service.OperationState:
        state = await super().operation_status(operation_id, step)
        await self._hold(f"status of {step}")
        return state


class _Two:
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

    async def carry(self, node: fleets.FleetNode, host_id: str, rounds: int) -> None:
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
async def _two() -> AsyncIterator[_Two]:
    log = fake_log.FakeLog()
    platform = _PausingPlatform()
    async with (
        fleets.running_fleet_node(log, platform, "node-a") as a,
        fleets.running_fleet_node(log, platform, "node-b") as b,
    ):
        await a.publish(_DOCUMENT)
        yield _Two(a, b, platform)


@paused_clock.test
async def test_a_move_is_carried_by_two_nodes_in_turn_and_at_once() -> None:
    async with _two() as two:
        await two.move(_A[0], "a", "b")
        await two.carry(two.a, _A[0], 3)  # node a stops during the drain
        await asyncio.gather(two.carry(two.a, _A[0], 40), two.carry(two.b, _A[0], 40))
        assert two.pool_of(_A[0]) == ("b", True)
        assert two.platform.pool_by_host_id[_A[0]] == "b"
        # Guards against steps that are done twice after a takeover.
        assert two.started() == [("drain", ""), ("reboot", "b")]


@pytest.mark.parametrize("held_step", ["drain", "reboot"])
@paused_clock.test
async def test_node_that_slept_before_a_call_is_fenced(held_step: str) -> None:
    async with _two() as two:
        await two.move(_A[0], "a", "b")
        two.platform.held_step = held_step
        asleep = asyncio.create_task(two.carry(two.a, _A[0], 30))
        await asyncio.sleep(20)
        assert two.platform.held_count == 1
        await two.carry(two.b, _A[0], 60)
        assert two.pool_of(_A[0]) == ("b", True)
        await two.move(_A[0], "b", "a")
        await two.carry(two.b, _A[0], 1)
        two.platform.awake.set()
        await asyncio.sleep(0.1)
        # Guards against an action of the first move during the second.
        assert two.platform.actions[-1].result == "refused"
        await two.carry(two.b, _A[0], 40)
        await asleep
        assert two.pool_of(_A[0]) == ("a", True)
        assert two.platform.pool_by_host_id[_A[0]] == "a"
        assert len(two.started()) == 4


@pytest.mark.parametrize("held_step", ["drain", "reboot"])
@pytest.mark.parametrize("is_out_again", [False, True])
@paused_clock.test
async def test_node_that_slept_before_its_check_acts_on_nothing(
    held_step: str, is_out_again: bool
) -> None:
    async with _two() as two:
        await two.move(_A[0], "a", "b")
        two.platform.held_step = f"status of {held_step}"
        asleep = asyncio.create_task(two.a.operations.advance(_A[0]))
        if held_step == "reboot":
            await asleep
            await asyncio.sleep(10)
            asleep = asyncio.create_task(two.a.operations.advance(_A[0]))
        await asyncio.sleep(1)
        assert two.platform.held_count == 1
        await two.carry(two.b, _A[0], 60)
        if is_out_again:
            await two.move(_A[0], "b", "a")
        count = len(two.platform.actions)
        two.platform.awake.set()
        # Guards against a call for an operation that another node completed.
        assert await asleep == codes.ResultCode.HOST_NOT_OUT
        assert len(two.platform.actions) == count


async def _run_rounds(node: fleets.FleetNode, holder: duties_holder.DutyHolder) -> None:
    """Carry moves while the node holds the duty, as an entry node does."""
    while True:
        if holder.is_held:
            await node.operations.advance_all("move")
        await asyncio.sleep(1)


@pytest.mark.parametrize("held_step", ["drain", "reboot"])
@pytest.mark.parametrize("progress", ["carried on", "done", "out again"])
@paused_clock.test
async def test_node_that_slept_through_a_change_of_the_duty_lease(
    held_step: str, progress: str
) -> None:
    # Guards against a former holder of the duty that wakes just before a host action.
    async with _two() as two, contextlib.AsyncExitStack() as stack:
        holders = []
        for node in (two.a, two.b):
            log_node = node.log_node
            holder = duties_holder.DutyHolder(
                "capacity", log_node.appender, log_node.follower, log_node.name, 10_000
            )
            await stack.enter_async_context(holder.running())
            await asyncio.sleep(1)
            holders.append(holder)
        old, new = holders
        assert old.is_held
        await two.move(_A[0], "a", "b")
        out = two.b.state.pools.hosts_by_id[_A[0]].out
        assert out is not None
        two.platform.held_step = f"status of {held_step}"
        rounds = [
            asyncio.create_task(_run_rounds(node, holder))
            for node, holder in ((two.a, old), (two.b, new))
        ]
        async with asyncio.timeout(60):
            while not two.platform.held_count:
                await asyncio.sleep(0.1)
        two.a.log_node.access.faults.silent = True  # nothing of the node goes on
        async with asyncio.timeout(60):
            while (held_step, out.operation_id) not in [
                (action.step, action.operation_id) for action in two.platform.actions
            ]:
                await asyncio.sleep(0.1)
        assert new.is_held
        assert not old.is_held
        if progress != "carried on":
            async with asyncio.timeout(120):
                while not two.b.state.pools.hosts_by_id[_A[0]].is_available:
                    await asyncio.sleep(0.1)
        if progress == "out again":
            await two.move(_A[0], "b", "a", two.b)
        started = two.started()
        calls = [a for a in two.platform.actions if a.operation_id == out.operation_id]
        two.a.log_node.access.faults.silent = False
        two.platform.awake.set()
        await asyncio.sleep(0.5)
        assert not old.is_held
        later = [
            a
            for a in two.platform.actions
            if a.operation_id == out.operation_id and a not in calls
        ]
        if progress == "carried on":
            # The operation stands, so the call may be sent; the platform repeats none.
            assert {action.result for action in later} <= {"repeated"}
        else:
            assert later == []
        if progress != "out again":
            assert two.started() == started
        await asyncio.sleep(60)
        pool = "a" if progress == "out again" else "b"
        assert two.pool_of(_A[0]) == (pool, True)
        assert two.platform.pool_by_host_id[_A[0]] == pool
        assert len(two.started()) == (4 if progress == "out again" else 2)
        for task in rounds:
            assert not task.done()
            task.cancel()


@paused_clock.test
async def test_document_that_removes_the_destination_returns_the_host() -> None:
    async with _two() as two:
        await two.move(_A[0], "a", "b")
        await two.carry(two.a, _A[0], 8)
        changed = fleets.make_document({"a": _A, "c": _B})
        await two.a.publish(changed)
        await two.carry(two.a, _A[0], 60)
        assert two.pool_of(_A[0]) == ("a", True)
        assert two.platform.pool_by_host_id[_A[0]] == "a"


@paused_clock.test
async def test_no_step_starts_while_the_log_is_down() -> None:
    async with _two() as two:
        await two.move(_A[0], "a", "b")
        two.a.log_node.access.log.faults.down = True
        await two.carry(two.a, _A[0], 20)
        assert list(two.platform.actions) == []
        explained = two.a.operations.explain(_A[0])
        assert explained.code == codes.ResultCode.LOG_UNAVAILABLE
        two.a.log_node.access.log.faults.down = False
        await two.carry(two.a, _A[0], 60)
        assert two.pool_of(_A[0]) == ("b", True)


@paused_clock.test
async def test_host_that_fails_while_it_drains_goes_on_after_it_recovers() -> None:
    async with _two() as two:
        await two.move(_A[0], "a", "b")
        await two.carry(two.a, _A[0], 2)
        two.platform.fail([_A[0]])
        await two.carry(two.a, _A[0], 10)
        explained = two.a.operations.explain(_A[0])
        assert explained.code == codes.ResultCode.PLATFORM_REFUSED
        two.platform.recover([_A[0]])
        await two.carry(two.a, _A[0], 60)
        assert two.pool_of(_A[0]) == ("b", True)
