"""Duration of a maintenance roll-out, availability during it, and host moves."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from bench import tables
from bench.policy import cluster, waiting, workload
from clementinespar.capacity import planner as capacity_planner
from clementinespar.documents import model
from clementinespar.requests import demand_meter
from clementinespar.tests import fleets, paused_clock
from standins import fake_log, fake_platform

SEEDS = waiting.SEEDS
DRAIN_S = 10.0
REBOOT_S = 120.0
LIMIT_S = 12 * 3600
MOVE_HOURS = 3.0
_CHECK_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RollOutRow:
    """Maintenance of all hosts of a user under one policy."""

    user: str
    policy: str
    minutes: waiting.Spread
    least_spare: waiting.Spread  # lowest available minus min_available of any pool
    # Seconds for which a pool without failed hosts was below its budget, summed.
    planned_breaches: waiting.Spread


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRow:
    """Host moves under slowly changing demand with peaks of a few seconds."""

    user: str
    policy: str
    moves: waiting.Spread
    short_minutes: waiting.Spread  # minutes with too few hosts in a pool, summed


def _document(user: workload.User, *, is_paused: bool) -> model.Document:
    document = cluster.make_document(user, workload.Shape())
    maintenance = dataclasses.replace(document.maintenance, paused=is_paused)
    return dataclasses.replace(document, maintenance=maintenance)


async def _run_roll_out(
    user: workload.User, seed: int, *, fails_rack: bool
) -> tuple[float, int, float]:
    """Return minutes, least spare and planned breaches, as in `RollOutRow`."""
    document = _document(user, is_paused=False)
    platform = fake_platform.FakePlatform(
        fleets.seeds_of(document), drain_s=DRAIN_S, reboot_s=REBOOT_S
    )
    generator = random.Random(seed)
    loop = asyncio.get_running_loop()
    async with fleets.running_fleet_node(fake_log.FakeLog(), platform) as node:
        await node.publish(document)
        began = loop.time()
        fails_at = began + generator.uniform(200, 2000) if fails_rack else math.inf
        recovers_at = fails_at + 900
        rack: list[str] = []
        least_spare = 10**6
        breach_s = 0.0
        while loop.time() - began < LIMIT_S:
            await node.run_rounds(_CHECK_S)
            if loop.time() >= fails_at:
                fails_at = math.inf
                failed_host = document.hosts[generator.choice(sorted(document.hosts))]
                rack = [
                    host_id
                    for host_id, host in document.hosts.items()
                    if host.rack == failed_host.rack
                ]
                platform.fail(rack)
            if loop.time() >= recovers_at:
                recovers_at = math.inf
                platform.recover(rack)
            hosts = list(node.state.pools.hosts_by_id.values())
            for name, pool in document.pools.items():
                members = [host for host in hosts if host.pool == name]
                spare = (
                    sum(host.is_available for host in members)
                    - pool.budget.min_available
                )
                least_spare = min(least_spare, spare)
                is_failing = any(host.failed_since_ms for host in members)
                if spare < 0 and not is_failing:
                    breach_s += _CHECK_S
            if all(host.maintained_ms and host.out is None for host in hosts):
                return (loop.time() - began) / 60, least_spare, breach_s
        return math.inf, least_spare, breach_s


def measure_roll_out(user: workload.User) -> list[RollOutRow]:
    """Compare the maintenance of all hosts by the product with simple bounds."""
    document = _document(user, is_paused=False)
    step_s = DRAIN_S + REBOOT_S
    one_by_one = len(document.hosts) * step_s / 60
    # The budget of a pool allows two hosts out at once, which bounds its roll-out.
    bound = math.ceil(user.targets_per_service / 2) * step_s / 60
    rows = [
        RollOutRow(user.name, name, _fixed(minutes), _fixed(spare), _fixed(0))
        for name, minutes, spare in (
            ("one host at a time", one_by_one, 1),
            ("bound: all pools at once, two hosts each", bound, 0),
        )
    ]
    for name, fails_rack in (
        ("product", False),
        ("product, a rack fails for 15 minutes", True),
    ):
        results = [
            paused_clock.run(_run_roll_out(user, seed, fails_rack=fails_rack))
            for seed in SEEDS
        ]
        rows.append(
            RollOutRow(
                user.name,
                name,
                waiting.Spread(tuple(minutes for minutes, _, _ in results)),
                waiting.Spread(tuple(float(spare) for _, spare, _ in results)),
                waiting.Spread(tuple(breach for _, _, breach in results)),
            )
        )
    return rows


def _fixed(value: float) -> waiting.Spread:
    return waiting.Spread((value,))


def _mean_slots(user: workload.User, service: int, at_s: float, seed: int) -> float:
    """Return the mean demand of a service at a time, without its short peaks.

    One service after the other is busy for an hour; the seed selects the first.
    """
    busy_index = int(at_s / 3600) % len(user.services)
    is_busy = busy_index == (service - seed) % len(user.services)
    return user.slots * (0.9 if is_busy else 0.15)


def _demanded_slots(user: workload.User, service: int, at_s: float, seed: int) -> float:
    """Return the number of slots that a service needs at a time.

    One service after the other peaks for four seconds at five times its mean.
    """
    mean_slots = _mean_slots(user, service, at_s, seed)
    peak_index = int(at_s / 4.0) % len(user.services)
    return mean_slots * (
        workload.PEAK_FACTOR if peak_index == service else workload.OFF_PEAK_FACTOR
    )


async def _run_moves(
    user: workload.User, seed: int, *, is_smoothed: bool
) -> tuple[int, float]:
    """Return the number of moves, and the minutes with too few hosts in a pool."""
    document = _document(user, is_paused=True)
    platform = fake_platform.FakePlatform(
        fleets.seeds_of(document), drain_s=DRAIN_S, reboot_s=REBOOT_S
    )
    loop = asyncio.get_running_loop()
    async with fleets.running_fleet_node(fake_log.FakeLog(), platform) as node:
        await node.publish(document)
        began = loop.time()
        meters = [demand_meter.DemandMeter(began) for _ in user.services]
        short_s = 0.0
        operations: set[str] = set()
        while loop.time() - began < MOVE_HOURS * 3600:
            now = loop.time()
            for index, service in enumerate(user.services):
                level = _demanded_slots(user, index, now - began, seed)
                meters[index].set_level(level, now)
                smoothed = meters[index].read(now)[0]
                node.demand.slots_by_service[service] = (
                    smoothed if is_smoothed else level
                )
                serving = sum(
                    host.is_available for host in node.state.pools.hosts_of(service)
                )
                mean_slots = _mean_slots(user, index, now - began, seed)
                if serving * workload.SLOTS_PER_TARGET < mean_slots:
                    short_s += _CHECK_S
            await node.run_rounds(_CHECK_S)
            operations.update(
                host.out.operation_id
                for host in node.state.pools.hosts_by_id.values()
                if host.out is not None
            )
        return len(operations), short_s / 60


@contextmanager
def _without_hysteresis() -> Iterator[None]:
    """Set the times that a shortage or a surplus must last to 0."""
    original = capacity_planner.MIN_SHORTAGE_S, capacity_planner.MIN_SURPLUS_S
    capacity_planner.MIN_SHORTAGE_S = capacity_planner.MIN_SURPLUS_S = 0.0
    try:
        yield
    finally:
        capacity_planner.MIN_SHORTAGE_S, capacity_planner.MIN_SURPLUS_S = original


def measure_moves(user: workload.User) -> list[MoveRow]:
    """Compare the product with a planner that follows each observation of demand."""

    def measure(policy: str, *, is_smoothed: bool) -> MoveRow:
        results = [
            paused_clock.run(_run_moves(user, seed, is_smoothed=is_smoothed))
            for seed in SEEDS
        ]
        return MoveRow(
            user.name,
            policy,
            waiting.Spread(tuple(float(moves) for moves, _ in results)),
            waiting.Spread(tuple(minutes for _, minutes in results)),
        )

    with _without_hysteresis():
        baseline = measure("follows each observation", is_smoothed=False)
    return [baseline, measure("product", is_smoothed=True)]


def roll_out_table(rows: Sequence[RollOutRow]) -> str:
    """Return the Markdown table of maintenance roll-outs."""
    return tables.markdown(
        (
            "user",
            "policy",
            "minutes",
            "least hosts above budget",
            "s below by own acts",
        ),
        [
            (
                row.user,
                row.policy,
                row.minutes.text(0),
                row.least_spare.text(0),
                row.planned_breaches.text(0),
            )
            for row in rows
        ],
    )


def move_table(rows: Sequence[MoveRow]) -> str:
    """Return the Markdown table of host moves."""
    return tables.markdown(
        ("user", "policy", "moves in 3 hours", "minutes with too few hosts"),
        [
            (row.user, row.policy, row.moves.text(0), row.short_minutes.text(0))
            for row in rows
        ],
    )
