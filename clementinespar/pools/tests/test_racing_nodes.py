"""Tests of nodes that plan concurrently without leases, with faults of all parts.

Three nodes run both planners and advance the operations of the same hosts. After the
faults end, every host must have had maintenance and be in service, in the pool that the
fold shows.
"""

import asyncio
import contextlib
import random

import pytest

from clementinespar import codes
from clementinespar.documents import model
from clementinespar.fleet import state as fleet_state
from clementinespar.log import records
from clementinespar.pools import messages
from clementinespar.tests import fleets, paused_clock
from standins import fake_log, fake_platform

_A = fleets.host_ids("a", 6)
_B = fleets.host_ids("b", 5)
_C = fleets.host_ids("c", 4)
_SERVICES = {"sa": "a", "sb": "b"}


def _document(
    pools: dict[str, list[str]], minimum: int, **maintenance: object
) -> model.Document:
    return fleets.make_document(
        pools,
        min_available=minimum,
        services=_SERVICES,
        weights=model.Weights(short_wait=4.0),  # hosts move after a shortage of 15 s
        max_wave_hosts=3,
        **maintenance,  # type: ignore[arg-type]
    )


_FULL = _document({"a": _A, "b": _B, "c": _C}, 2, spare="c", survive="rack")
_DOCUMENTS = [
    _FULL,
    _document({"a": _A, "b": [*_B, *_C]}, 3),
    _document({"a": _A[:5], "b": _B[:4], "c": [*_C, _B[4]]}, 2, spare="c"),
    _document({"a": _A, "b": _B, "c": _C}, 4, paused=True),
    _document({"a": _A[:4], "b": _B[:4]}, 2, survive="data_centre"),
]


class _FaultInjector:
    """Starts and ends faults at random times that are repeatable by seed."""

    def __init__(
        self,
        seed: int,
        log: fake_log.FakeLog,
        platform: fake_platform.FakePlatform,
        nodes: list[fleets.FleetNode],
    ) -> None:
        self.rng = random.Random(seed)
        self.log = log
        self.platform = platform
        self.nodes = nodes

    async def run(self, duration_s: float) -> None:
        end = asyncio.get_running_loop().time() + duration_s
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.rng.uniform(0.5, 6.0))
            fault = self.rng.choice(
                [
                    self.fail_hosts,
                    self.recover_hosts,
                    self.recover_hosts,
                    self.lose_replies,
                    self.interrupt_platform,
                    self.interrupt_log,
                    self.toggle_log_access,
                    self.change_list_lag,
                    self.publish,
                    self.change_demand,
                ]
            )
            await fault()

    async def end(self) -> None:
        self.platform.recover(self.platform.failed_host_ids)
        self.platform.faults = fake_platform.Faults()
        self.log.faults = fake_log.Faults()
        for node in self.nodes:
            node.log_node.access.faults = fake_log.Faults()
            node.demand.slots_by_service = {"sa": 8.0, "sb": 8.0}
        await asyncio.sleep(5)
        await self.nodes[0].publish(_FULL)

    async def fail_hosts(self) -> None:
        seed = self.rng.choice([*_A, *_B, *_C])
        length = self.rng.choice([len(seed), len(seed), 4, 2])
        hosts = self.platform.host_ids_in()
        self.platform.fail([i for i in hosts if i[:length] == seed[:length]])

    async def recover_hosts(self) -> None:
        self.platform.recover(self.platform.failed_host_ids)

    async def lose_replies(self) -> None:
        self.platform.faults.lose_replies = self.rng.randint(1, 6)
        self.log.faults.lose_replies = self.rng.randint(0, 3)

    async def interrupt_platform(self) -> None:
        self.platform.faults.down = True
        await asyncio.sleep(self.rng.uniform(1, 40))
        self.platform.faults.down = False

    async def interrupt_log(self) -> None:
        self.log.faults.down = True
        await asyncio.sleep(self.rng.uniform(1, 20))
        self.log.faults.down = False

    async def toggle_log_access(self) -> None:
        faults = self.rng.choice(self.nodes).log_node.access.faults
        faults.down = not faults.down

    async def change_list_lag(self) -> None:
        self.platform.faults.list_lag_s = self.rng.choice([1.0, 5.0, 40.0])

    async def publish(self) -> None:
        document = self.rng.choice(_DOCUMENTS)
        with contextlib.suppress(Exception):  # the log may be down
            await self.rng.choice(self.nodes).publish(document)

    async def change_demand(self) -> None:
        for node in self.nodes:
            node.demand.slots_by_service = {
                "sa": self.rng.choice([4.0, 20.0, 40.0]),
                "sb": self.rng.choice([4.0, 20.0, 40.0]),
            }


def _check_log(log: fake_log.FakeLog) -> int:
    """Check I1 and I2 after every record; return the number of accepted take-outs."""
    state = fleet_state.FleetState()
    accepted_count = 0
    for entry in log.entries:
        record = records.parse_record(entry.payload)
        host = None
        if isinstance(record, messages.HostTakenOut):
            host = state.pools.hosts_by_id.get(record.host_id)
        was_available = host is not None and host.is_available
        code = fleet_state.apply_entry(state, entry)
        fleets.check_membership(state)
        if isinstance(record, messages.HostTakenOut):
            accepted_count += code == codes.ResultCode.OK
            if code == codes.ResultCode.OK and host is not None and was_available:
                fleets.check_budget(state, host)
    return accepted_count


def _check_actions(platform: fake_platform.FakePlatform) -> None:
    """Check that no step was done twice and that fencing offsets never decrease."""
    done = [action for action in platform.actions if action.result == "done"]
    keys = [(action.operation_id, action.step) for action in done]
    assert len(keys) == len(set(keys))
    for host_id in platform.pool_by_host_id:
        offsets = [a.fencing_offset for a in done if a.host_id == host_id]
        assert offsets == sorted(offsets)


@pytest.mark.parametrize("seed", range(6))
@paused_clock.test
async def test_racing_nodes_keep_the_invariants_and_recover(seed: int) -> None:
    """Guards against broken budgets, repeated steps and hosts that never return."""
    log = fake_log.FakeLog(epoch_ms=fleets.EPOCH_MS)
    platform = fake_platform.FakePlatform(
        fleets.seeds_of(_FULL), epoch_ms=fleets.EPOCH_MS
    )
    async with contextlib.AsyncExitStack() as stack:
        nodes = [
            await stack.enter_async_context(
                fleets.running_fleet_node(log, platform, f"node-{i}")
            )
            for i in range(3)
        ]
        await nodes[0].publish(_FULL)
        injector = _FaultInjector(seed, log, platform, nodes)
        round_tasks = [asyncio.create_task(node.run_rounds(10_000)) for node in nodes]
        await injector.run(1200)
        await injector.end()
        for _ in range(300):
            await asyncio.sleep(10)
            hosts = nodes[0].state.pools.hosts_by_id.values()
            pools = {host.host_id: host.pool for host in hosts}
            if (
                all(host.is_available and host.maintained_ms for host in hosts)
                and pools == platform.pool_by_host_id
            ):
                break
        else:
            raise AssertionError("the fleet did not recover")
        for task in round_tasks:
            assert not task.done() or task.exception() is None
            task.cancel()
    assert _check_log(log) >= len(_FULL.hosts)
    _check_actions(platform)
