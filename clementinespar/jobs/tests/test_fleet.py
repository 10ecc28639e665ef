"""Tests of the owner of the fleet: orders to hosts, waves and changes of owner."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import math
import time
import typing
from collections.abc import Callable, Mapping

import pytest

from clementinespar import background, codes, errors
from clementinespar.jobs import (
    fleet,
    host_orders,
    maintenance,
    model,
    ownership,
    service,
    services,
    telemetry,
    wave_plan,
)
from clementinespar.jobs.tests import fakes
from clementinespar.tests import paused_clock

PARTITION = 11
UNIX_S = 1.7e9  # Unix time at the start of the event loop's clock
HOLDER_LEASE_S = 1.0
MAINTENANCE_S = 1.5
WAVE_TIME_S = 14.0
MOVE_S = 1.5
DRAIN_S = 0.6  # a busy worker is idle this long after it was first evacuated
WAVE = model.MaintenanceWave(1, ("b-0", "b-1", "b-2"), 30.0, max_down=1)


class FakeFleet:
    """Hosts, waves, loads and ownership, with a trace of all calls that change them.

    Pool `a` is at its peak and has waiting work; the hosts of pool `b` run late work.
    """

    by_number: Mapping[int, model.MaintenanceWave]
    trace: list[tuple[object, ...]]  # event-loop time, name and arguments of each call

    def __init__(self) -> None:
        self.by_number = {WAVE.number: WAVE}
        self.current = model.JobConfiguration(
            1, {}, {name: model.Pool(name, name == "spare") for name in "ab"}, 1000
        )
        self.current.pools_by_name["spare"] = model.Pool("spare", True)
        self.hosts = {
            f"{pool}-{number}": model.HostEntry(
                f"{pool}-{number}", pool, "up", "dc", "r1", f"worker-{pool}-{number}"
            )
            for pool, count in (("a", 4), ("b", 8), ("spare", 2))
            for number in range(count)
        }
        self.trace = []
        self.is_fleet_owner = True
        self.evacuated_at: dict[str, float] = {}
        self.calm_from = math.inf  # end of the peak of pool `a`
        self.metrics = telemetry.JobMetrics()
        self.drain_s = DRAIN_S
        self.call_s = 0.002  # time that a call takes
        self.clock_lead_s = 0.0  # of Unix time on the node of the next owner

    def record(self, name: str, *arguments: object) -> None:
        """Add a call to the trace."""
        now = round(asyncio.get_running_loop().time(), 3)
        self.trace.append((now, name, *arguments))

    def log_event(self, event: str, **fields: object) -> None:
        self.record("log", event, json.dumps(fields, sort_keys=True))

    def named(self, name: str) -> list[tuple[object, ...]]:
        """Return the calls with a name."""
        return [call for call in self.trace if call[1] == name]

    def confirmed_at(self) -> float | None:
        return asyncio.get_running_loop().time()

    async def describe_load(self, pool: str, arriving: int = 0) -> dict[str, object]:
        await asyncio.sleep(0.002)
        up = [host for host in self.hosts.values() if host.pool == pool]
        is_peak = pool == "a" and asyncio.get_running_loop().time() < self.calm_from
        workers = {
            host.worker_id: {
                "runs": 1 if self.is_busy(host.worker_id) else 0,
                "lasting": 0,
                "used_cores": 16.0
                if self.is_busy(host.worker_id) and (is_peak or pool != "a")
                else 0.0,
                "lasting_cores": 0.0,
                "is_leaving": False,
            }
            for host in up
            if host.state == "up"
        }
        return {
            "workers": workers,
            "worker_cores": 16.0,
            "waiting_cores": 100.0 if is_peak else 0.0,
            "arriving_cores": 120.0 if is_peak else 0.0,
            "late_cores": 16.0 * len(workers) if pool == "b" else 0.0,
        }

    def is_busy(self, worker_id: str) -> bool:
        now = asyncio.get_running_loop().time()
        return now - self.evacuated_at.get(worker_id, now) < self.drain_s

    async def evacuate(
        self,
        pool: str,
        worker_id: str,
        kept_s: float,
        urgency: model.EvacuationUrgency,
    ) -> bool:
        await asyncio.sleep(self.call_s)
        self.record("evacuate", pool, worker_id, kept_s, urgency.value)
        if urgency is not model.EvacuationUrgency.IF_IDLE:
            now = asyncio.get_running_loop().time()
            self.evacuated_at.setdefault(worker_id, now)
        return not self.is_busy(worker_id)

    async def list_hosts(self) -> list[model.HostEntry]:
        await asyncio.sleep(0.002)
        return list(self.hosts.values())

    async def move(
        self, host_id: str, pool: str, fence: int, may_send: Callable[[], bool]
    ) -> bool:
        self.record("move", host_id, pool, fence)
        self._change(host_id, "moving", pool, MOVE_S)
        return True

    async def start_maintenance(
        self, host_id: str, wave: int, fence: int, may_send: Callable[[], bool]
    ) -> bool:
        await asyncio.sleep(self.call_s)
        self.record("start_maintenance", host_id, wave, fence)
        self._change(host_id, "upkeep", self.hosts[host_id].pool, MAINTENANCE_S)
        return True

    def _change(self, host_id: str, state: str, pool: str, after_s: float) -> None:
        """Set the state of a host now, and its pool when it is up again."""
        host = self.hosts[host_id]
        self.hosts[host_id] = dataclasses.replace(host, state=state)
        back = dataclasses.replace(host, pool=pool, state="up")
        asyncio.get_running_loop().call_later(
            after_s, self.hosts.__setitem__, host_id, back
        )

    async def report(self, wave: model.MaintenanceWave, is_done: bool) -> None:
        self.record("report", wave.number, is_done)

    async def run_owner(
        self,
        store: services.JobStore,
        epoch: int,
        for_s: float,
        is_stop_planned: bool = True,
    ) -> None:
        """Run an owner of the fleet for some seconds; otherwise it is killed."""
        loop = asyncio.get_running_loop()
        owner = fleet.FleetOwner(
            PARTITION,
            epoch,
            typing.cast(ownership.OwnershipManager, self),
            typing.cast(service.JobService, self),
            store,
            self,
            self,
            typing.cast(services.ConfigurationSource, self),
            HOLDER_LEASE_S,
            MAINTENANCE_S,
            self.log_event,
            self.metrics,
            lambda lead_s=self.clock_lead_s: UNIX_S + lead_s + loop.time(),  # type: ignore[misc]
        )
        running: contextlib.AbstractAsyncContextManager[object] = fleet.own_fleet(owner)
        if not is_stop_planned:
            running = background.running(owner.run())
        async with running:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(asyncio.Event().wait(), for_s)
        assert not owner.has_failed


def find_orders(fake: FakeFleet) -> list[tuple[object, ...]]:
    """Return the orders: time, name, host, destination or wave, and fence."""
    return [c for c in fake.trace if c[1] in ("move", "start_maintenance")]


def check_pauses(fake: FakeFleet) -> None:
    """Check that two owners' orders for one host are a lease and its margin apart."""
    newest: dict[object, tuple[object, ...]] = {}
    for call in find_orders(fake):
        previous = newest.get(call[2], call)
        if previous[4] != call[4]:
            pause_s = typing.cast(float, call[0]) - typing.cast(float, previous[0])
            assert pause_s >= HOLDER_LEASE_S + fleet.PREVIOUS_OWNER_MARGIN_S, call
        newest[call[2]] = call


@paused_clock.test
async def test_orders_to_hosts_over_two_owners() -> None:
    """Guards against orders beside a previous owner, and against waves begun anew."""
    fake, store = FakeFleet(), fakes.FakeStore()
    begun_at, unix_begun_at = asyncio.get_running_loop().time(), time.time()
    await fake.run_owner(store, 5, 6.0, is_stop_planned=False)
    first = len(fake.trace)
    moves = fake.named("move")
    begun = fake.named("start_maintenance")
    waited_s = HOLDER_LEASE_S + fleet.PREVIOUS_OWNER_MARGIN_S
    assert min(typing.cast(float, call[0]) for call in moves) >= begun_at + waited_s
    assert {call[3] for call in moves} == {"a"}
    assert {"spare-0", "spare-1"} <= {call[2] for call in moves}
    assert any(str(call[2]).startswith("b-") for call in moves)
    assert any(call[5] == "lend" for call in fake.named("evacuate"))
    assert len(begun) == 2
    records = store.values[services.Topic.HOSTS, PARTITION]
    assert json.loads(records["wave1"]) == sorted(str(call[2]) for call in begun)
    stored = json.loads(records["turns"])["a"]
    began_s = stored.pop("began_ms") / 1000 - unix_begun_at
    assert waited_s <= began_s < waited_s + 1.0
    assert stored == {"home": 4, "peaking": True, "rank": -1}
    await fake.run_owner(store, 6, 8.0)
    begun = fake.named("start_maintenance")
    assert [call[2] for call in begun] == list(WAVE.host_ids)
    times = [typing.cast(float, call[0]) for call in begun]
    assert all(
        later - earlier >= MAINTENANCE_S
        for earlier, later in zip(times, times[1:], strict=False)
    )
    assert fake.named("report")[-1][2:] == (1, True)
    check_pauses(fake)
    # Hosts without an order of the first owner do not wait.
    later = [c for c in fake.trace[first:] if c[1] in ("move", "evacuate")]
    assert typing.cast(float, later[0][0]) < begun_at + 6.0 + 0.5


@paused_clock.test
async def test_planned_stop_hands_the_orders_over_at_once() -> None:
    """Guards against a restart that stops moves and waves, and against two holders.

    Only the hosts with orders of the first owner just before its end have to wait.
    """
    fake, store = FakeFleet(), fakes.FakeStore()
    begun_at = asyncio.get_running_loop().time()
    waited_s = HOLDER_LEASE_S + fleet.PREVIOUS_OWNER_MARGIN_S
    await fake.run_owner(store, 5, waited_s + 0.3)
    ordered_at = {call[2]: call[0] for call in fake.named("move")}
    assert ordered_at
    first = len(fake.trace)
    # The platform lists all hosts as they were, so that each could get an order again.
    fake.hosts = FakeFleet().hosts
    await fake.run_owner(store, 6, waited_s + 3.0)
    later = [c for c in fake.trace[first:] if c[1] in ("move", "start_maintenance")]
    assert min(typing.cast(float, c[0]) for c in later) < begun_at + 2 * waited_s
    for call in later:
        if call[2] in ordered_at:
            pause_s = typing.cast(float, call[0]) - typing.cast(
                float, ordered_at[call[2]]
            )
            assert pause_s >= waited_s


@paused_clock.test
async def test_release_of_an_earlier_owner_is_not_used_twice() -> None:
    """Guards against an owner that acts beside one that was killed after a release."""
    fake, store = FakeFleet(), fakes.FakeStore()
    waited_s = HOLDER_LEASE_S + fleet.PREVIOUS_OWNER_MARGIN_S
    await fake.run_owner(store, 5, waited_s + 0.3)
    # The platform lists all hosts as they were, so that each could get an order again.
    fake.hosts = FakeFleet().hosts
    await fake.run_owner(store, 6, 0.9, is_stop_planned=False)
    fake.hosts = FakeFleet().hosts
    await fake.run_owner(store, 7, waited_s + 3.0)
    fences = {call[4] for call in find_orders(fake)}
    assert fences == {5, 6, 7}
    check_pauses(fake)


@pytest.mark.parametrize("value", [None, b"", b"[]", b'{"is_released": false}'])
@paused_clock.test
async def test_owner_without_a_readable_record_waits_for_all_hosts(
    value: bytes | None,
) -> None:
    """Guards against orders beside an owner of a build that records no hosts."""
    fake, store = FakeFleet(), fakes.FakeStore()
    if value is not None:
        store.values[services.Topic.HOSTS, PARTITION][host_orders.RELEASE_KEY] = value
    waited_s = HOLDER_LEASE_S + fleet.PREVIOUS_OWNER_MARGIN_S
    # An owner that is killed while it waits does not shorten the wait of the next one.
    await fake.run_owner(store, 5, waited_s - 0.2, is_stop_planned=False)
    began_at = asyncio.get_running_loop().time()
    await fake.run_owner(store, 6, waited_s + 1.0)
    orders = find_orders(fake)
    assert orders
    assert min(typing.cast(float, c[0]) for c in orders) >= began_at + waited_s


@paused_clock.test
async def test_record_that_is_stored_just_before_the_next_owner_begins() -> None:
    """Guards against a record that is read before the previous owner is fenced out."""

    class LateStore(fakes.FakeStore):
        async def append_fenced(self, *arguments: typing.Any) -> None:
            if arguments[2:4] == (6, 0):
                value = json.dumps({"is_released": True, "recent": list(fake.hosts)})
                record = services.KeyedRecord(host_orders.RELEASE_KEY, value.encode())
                topic, partition = arguments[:2]
                await super().append_fenced(topic, partition, 5, 0, [record])
            await super().append_fenced(*arguments)

    fake, store = FakeFleet(), LateStore()
    record = services.KeyedRecord(
        host_orders.RELEASE_KEY, b'{"is_released": true, "recent": []}'
    )
    await store.append_fenced(services.Topic.HOSTS, PARTITION, 4, 0, [record])
    began_at = asyncio.get_running_loop().time()
    await fake.run_owner(store, 6, 4.0)
    waited_s = HOLDER_LEASE_S + fleet.PREVIOUS_OWNER_MARGIN_S
    first_at = typing.cast(float, find_orders(fake)[0][0])
    assert began_at + waited_s <= first_at <= began_at + waited_s + 1.0
    assert host_orders.SEND_LIMIT_S < fleet.PREVIOUS_OWNER_MARGIN_S


def test_pause_for_a_host_survives_a_second_hand_over() -> None:
    """Guards against two owners' orders for one host when a short one lies between."""
    first, second, third = (host_orders.HostOrders(3.0) for _ in range(3))
    first.note_order("a", 10.0)
    assert second.take_over(json.dumps(first.encode_release(10.5)).encode(), 11.0)
    second.note_order("b", 11.5)
    assert third.take_over(json.dumps(second.encode_release(12.0)).encode(), 12.5)
    assert not third.may_order("a", 13.0)
    assert not third.may_order("b", 14.0)
    assert third.may_order("c", 12.5)
    assert third.may_order("a", 15.5)


@paused_clock.test
async def test_height_is_used_by_the_next_owner() -> None:
    """Guards against a next owner that has to learn the heights of peaks anew."""
    fake, store = FakeFleet(), fakes.FakeStore()
    loop = asyncio.get_running_loop()
    reasons: list[set[str]] = []
    for epoch in (5, 6):
        first, fake.calm_from = len(fake.trace), loop.time() + 6.0
        await fake.run_owner(store, epoch, 8.5)
        logged = [
            (call[2], json.loads(str(call[3])))
            for call in fake.trace[first:]
            if call[1] == "log"
        ]
        assert [line["outcome"] for name, line in logged if name == "peak_height"] == [
            "learnt"
        ]
        reasons.append(
            {line["pools"]["a"][-1] for name, line in logged if name == "capacity"}
        )
    assert reasons == [{""}, {"", "height"}]
    assert b"clementinespar_peak_height_error_count 1.0" in fake.metrics.render()


@pytest.mark.parametrize(
    ("stored", "wanted_from"),
    [
        pytest.param(None, 5.0, id="start of a deployment"),
        pytest.param({"home": 8, "peaking": False, "rank": 0}, 0.0, id="failed hosts"),
    ],
)
@paused_clock.test
async def test_hosts_that_have_not_been_up(
    stored: dict[str, object] | None, wanted_from: float
) -> None:
    """Guards against spare hosts that replace hosts that are still starting.

    Unreadable entries of the record are skipped; that of pool `b` is of an older build.
    """
    fake, store = FakeFleet(), fakes.FakeStore()
    for number in range(4):
        host = fake.hosts[f"b-{number}"]
        fake.hosts[host.host_id] = dataclasses.replace(host, state="down")
    del fake.current.pools_by_name["a"]
    if stored:
        turns = {"b": stored, "c": stored | {"rank": 1}, "list": []}
        for key, value in [
            ("home", "many"),
            ("height", math.nan),
            ("starts_ms", [{}]),
            ("began_ms", None),
        ]:
            turns[key] = stored | {"peaking": True, key: value}
        store.values[services.Topic.HOSTS, PARTITION] = {
            "turns": json.dumps(turns).encode()
        }
    await fake.run_owner(store, 5, 8.0)
    brought = [call for call in fake.named("move") if call[3] == "b"]
    assert len(brought) == 2
    acts_from = next(c[0] for c in fake.named("log") if c[2] == "fleet_holder")
    invalid = [call for call in fake.named("log") if call[2] == "entry_invalid"]
    assert len(invalid) == (5 if stored else 0)
    first = typing.cast(float, brought[0][0]) - typing.cast(float, acts_from)
    assert wanted_from <= first < wanted_from + 1.0


def test_release_of_an_older_build() -> None:
    """Guards against hosts of unknown orders that do not count as in maintenance."""
    orders = host_orders.HostOrders(3.0)
    assert orders.take_over(b'{"is_released": true, "recent": ["a"]}', 10.0)
    assert orders.find_held_for_wave(host_orders.NO_WAVE, 12.9) == {"a"}
    assert orders.find_held_moves(10.0) == {}
    assert orders.find_held(13.0) == set()


@pytest.mark.parametrize(
    "value",
    [b"", b"[]", b"{}", b'{"is_released": 1}', b'{"is_released": true, "recent": "b"}'],
)
def test_unreadable_release_is_none(value: bytes) -> None:
    """Guards against a malformed record that counts as a planned stop."""
    orders = host_orders.HostOrders(1.0)
    with contextlib.suppress(ValueError, KeyError, TypeError, AttributeError):
        assert not orders.take_over(value, 0.0)


@pytest.mark.parametrize("clock_lead_s", [0.3, -0.3, 0.0])
@paused_clock.test
async def test_waves_continue_after_a_change_of_owner(clock_lead_s: float) -> None:
    """Guards against a deadline and evacuations that begin anew with each owner."""
    fake, store = FakeFleet(), fakes.FakeStore()
    fake.drain_s = 100.0
    loop = asyncio.get_running_loop()
    begun_at = loop.time()
    waited_s = HOLDER_LEASE_S + fleet.PREVIOUS_OWNER_MARGIN_S
    await fake.run_owner(store, 5, waited_s + 2.0, is_stop_planned=False)
    records = store.values[services.Topic.HOSTS, PARTITION]
    stored = json.loads(records[maintenance.EVACUATIONS_KEY])["1"]
    assert stored["first_seen_ms"] == pytest.approx((UNIX_S + begun_at) * 1e3, abs=50)
    assert len(stored["since_ms"]) == WAVE.max_down
    fake.clock_lead_s = clock_lead_s
    await fake.run_owner(store, 6, 3.0)
    (host_id, since_ms), *_ = stored["since_ms"].items()
    stops = [c for c in fake.named("evacuate") if c[5] == "stop"]
    assert {call[3] for call in stops} == {f"worker-{host_id}"}
    stop_at = typing.cast(float, stops[0][0])
    urgent_at = since_ms / 1e3 - UNIX_S + maintenance.URGENT_AFTER_S - clock_lead_s
    assert urgent_at <= stop_at <= urgent_at + 2 * fleet.TICK_S + 0.1
    assert json.loads(records[maintenance.EVACUATIONS_KEY])["1"] == stored


@pytest.mark.parametrize("value", [b"", b"[]", b'{"1": 5}', b'{"x": {}}'])
@paused_clock.test
async def test_unreadable_records_of_the_previous_owner(value: bytes) -> None:
    """Guards against an owner that fails on a record of another build."""
    fake, store = FakeFleet(), fakes.FakeStore()
    records = store.values[services.Topic.HOSTS, PARTITION]
    records[maintenance.EVACUATIONS_KEY] = records["turns"] = value
    records["wave1"] = b'["b-0"]'
    await fake.run_owner(store, 5, 14.0)
    begun = [call[2] for call in fake.named("start_maintenance")]
    assert begun == ["b-1", "b-2"]
    assert json.loads(records["wave1"]) == ["b-0", "b-1", "b-2"]


@paused_clock.test
async def test_wave_of_many_hosts_ends_in_time() -> None:
    """Guards against evacuations and orders that wait for each other.

    Each call takes 50 ms, so 80 hosts took most of the time of a tick one by one.
    """
    fake, store = FakeFleet(), fakes.FakeStore()
    fake.call_s = 0.05
    for number in range(80):
        host_id = f"b-{number}"
        fake.hosts[host_id] = model.HostEntry(
            host_id, "b", "up", "dc", "r1", f"worker-{host_id}"
        )
    host_ids = tuple(f"b-{number}" for number in range(80))
    fake.by_number = {1: model.MaintenanceWave(1, host_ids, 30.0, max_down=16)}
    await fake.run_owner(store, 5, 60.0)
    begun = fake.named("start_maintenance")
    times = [typing.cast(float, call[0]) for call in begun]
    print(f"{len(begun)} orders within {times[-1] - times[0]:.2f} s")
    assert sorted(str(call[2]) for call in begun) == sorted(host_ids)
    for at in times:
        down_s = MAINTENANCE_S
        assert sum(at - down_s < other <= at for other in times) <= 16
    assert times[-1] - times[0] < WAVE_TIME_S


@paused_clock.test
async def test_refused_order_after_an_unanswered_one() -> None:
    """Guards against a host that is maintained twice.

    The first order gets no answer, and the list of hosts lags behind it. The second is
    refused, since the maintenance goes on.
    """

    class LaggingFleet(FakeFleet):
        async def list_hosts(self) -> list[model.HostEntry]:
            return self.lists[-4]

        async def take_lists(self) -> None:
            """Take a list in the time of each tick, returned three ticks later."""
            self.lists = [list(self.hosts.values())] * 4
            while True:
                await asyncio.sleep(fleet.TICK_S)
                self.lists.append(list(self.hosts.values()))

        async def start_maintenance(
            self, host_id: str, wave: int, fence: int, may_send: Callable[[], bool]
        ) -> bool:
            if self.hosts[host_id].state != "up":
                return False
            await super().start_maintenance(host_id, wave, fence, may_send)
            if len(self.named("start_maintenance")) == 1:
                raise errors.PlatformUnavailableError("no answer")
            return True

    fake = LaggingFleet()
    fake.drain_s = 0.0
    fake.by_number = {1: model.MaintenanceWave(1, WAVE.host_ids, 30.0, max_down=4)}
    async with background.running(fake.take_lists()):
        await fake.run_owner(fakes.FakeStore(), 5, 30.0)
    begun = [str(call[2]) for call in fake.named("start_maintenance")]
    assert sorted(begun) == sorted(WAVE.host_ids)


@paused_clock.test
async def test_failed_reports_of_waves_stop_neither_waves_nor_moves() -> None:
    """Guards against ticks without orders while the operators' topic refuses appends.

    The reports are written once they are accepted again.
    """
    fake = FakeFleet()
    report, loop = fake.report, asyncio.get_running_loop()
    refused_until = loop.time() + WAVE_TIME_S

    async def refuse(wave: model.MaintenanceWave, is_done: bool) -> None:
        if loop.time() < refused_until:
            raise errors.ClementinesparError(codes.ResultCode.STORE_REFUSED, "refused")
        await report(wave, is_done)

    fake.report = refuse  # type: ignore[method-assign]
    await fake.run_owner(fakes.FakeStore(), 5, WAVE_TIME_S + 2.0)
    orders = [
        call
        for call in find_orders(fake)
        if typing.cast(float, call[0]) < refused_until
    ]
    begun = [call[2] for call in orders if call[1] == "start_maintenance"]
    assert begun == list(WAVE.host_ids)
    assert len(orders) > len(begun)
    assert [call[2:] for call in fake.named("report")] == [(1, False), (1, True)]


@paused_clock.test
async def test_silent_owners_of_pools_delay_moves_once() -> None:
    """Guards against a tick that waits for each of the pools of a lost node in turn."""
    fake = FakeFleet()
    describe_load, loop = fake.describe_load, asyncio.get_running_loop()
    silent = {f"c{n}": model.Pool(f"c{n}", False) for n in range(4)}
    fake.current.pools_by_name.update(silent)
    asked_at: list[float] = []

    async def describe(pool: str, arriving: int = 0) -> dict[str, object]:
        if pool not in silent:
            asked_at.append(loop.time())
            return await describe_load(pool, arriving)
        await asyncio.sleep(service.PEER_TIMEOUT_S)
        raise errors.ClementinesparError(codes.ResultCode.JOB_OWNER_UNKNOWN, "silent")

    fake.describe_load = describe  # type: ignore[method-assign]
    await fake.run_owner(fakes.FakeStore(), 5, 8.0)
    pauses = [later - at for at, later in itertools.pairwise(asked_at)]
    assert len(find_orders(fake)) > 4
    assert max(pauses) < fleet.TICK_S + service.PEER_TIMEOUT_S + 0.1


@pytest.mark.parametrize(
    ("hosts", "left_s", "wanted", "wanted_lasting"),
    [(32, 24.0, 8, 3), (32, 8.0, 16, 6), (1, 24.0, 1, 3)],
)
def test_hosts_that_leave_at_once(
    hosts: int, left_s: float, wanted: int, wanted_lasting: int
) -> None:
    """Guards against a late wave, and hosts that idle until others have left."""
    assert wave_plan.leaving_limit(hosts, left_s, 24.0) == wanted
    assert wave_plan.leaving_lasting_limit(left_s, 24.0) == wanted_lasting


def test_hosts_with_lasting_tasks_leave_first() -> None:
    """Guards against a wave whose slowest evacuations begin last."""
    hosts = list(FakeFleet().hosts.values())
    lasting = {"worker-b-2": 2, "worker-a-1": 1}
    ordered = wave_plan.order_hosts(hosts, lambda worker_id: lasting.get(worker_id, 0))
    assert [host.host_id for host in ordered[:2]] == ["b-2", "a-1"]
    assert len(ordered) == len(hosts)
