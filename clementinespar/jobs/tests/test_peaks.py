"""Replays of peaks of demand against the rules for moving hosts."""

import dataclasses
import json
import math
import random

import pytest

from clementinespar.jobs import capacity, demand, peak_records, peaks

POOLS = ("a", "b", "c", "d")
HOME = 40
CORES = 32.0
SPARE = 29
TICK_S = 0.25
ARRIVAL_S = 2.3  # of a moved host, until its worker gets tasks
INTAKE_S = 0.4  # from a job's arrival until the rate shows it
SLACK_S = 2.0  # a task that waits longer is late, and dropped
BASE_SHARE = 0.015  # demand between peaks


@dataclasses.dataclass
class Peak:
    """A peak of a pool; its height is a multiple of the home size."""

    pool: str
    start: float
    length: float
    height: float


@dataclasses.dataclass
class Result:
    """Host-seconds that pools lacked, in the first 4 s of later peaks, and paid."""

    early: float = 0.0
    lacking: float = 0.0
    paid: float = 0.0
    events: list[peaks.PeakEvent] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class ReplayedPool:
    """A pool whose tasks share the cores of all its working hosts."""

    hosts: dict[str, float]  # id: time of arrival
    rate: demand.ArrivalRate = dataclasses.field(default_factory=demand.ArrivalRate)
    waiting: list[tuple[float, float, float]] = dataclasses.field(default_factory=list)
    running: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    seen: list[tuple[float, float]] = dataclasses.field(default_factory=list)

    def advance(self, rate: float, now: float, rng: random.Random) -> None:
        """Let jobs arrive for a tick, at a rate in core-seconds per second."""
        work = TICK_S * rate
        while (work := work - rng.expovariate(1 / 125.0)) > 0:
            cores, took = rng.uniform(3, 13), rng.uniform(0.5, 2.1)
            tasks = max(1, round(125.0 * rng.expovariate(1) / (cores * took)))
            self.seen.append((now + INTAKE_S, tasks * cores * took))
            self.waiting += [(now, cores, took)] * tasks
        for at, seen in self.seen:
            if at <= now:
                self.rate.add(seen, now)
        self.seen = [item for item in self.seen if item[0] > now]
        self.running = [item for item in self.running if item[0] > now]
        free = 0.9 * CORES * self.working(now) - self.used()
        self.waiting = [item for item in self.waiting if now - item[0] <= SLACK_S]
        while self.waiting and self.waiting[0][1] <= free:
            _, cores, took = self.waiting.pop(0)
            free -= cores
            self.running.append((now + took, cores))

    def working(self, now: float) -> int:
        return sum(1 for at in self.hosts.values() if at <= now)

    def used(self) -> float:
        return sum(cores for _, cores in self.running)

    def view(self, name: str, now: float) -> capacity.PoolView:
        there = [host for host, at in self.hosts.items() if at <= now]
        busy = min(len(there), math.ceil(self.used() / (0.6 * CORES)))
        return capacity.PoolView(
            name,
            False,
            CORES,
            len(self.hosts),
            used_cores=self.used(),
            waiting_cores=sum(cores for _, cores, _ in self.waiting),
            arriving_cores=self.rate.read(now),
            arriving_jobs=self.rate.read_jobs(now),
            movable=there[busy:],
            drainable=there[:busy],
        )


def replay(schedule: list[Peak], seconds: float, seed: int, learns: bool) -> Result:
    """Replay peaks; without learning, hosts move for measured demand only."""
    rng = random.Random(seed)
    result = Result()
    pools = {
        name: ReplayedPool({f"{name}{n}": 0.0 for n in range(HOME)}) for name in POOLS
    }
    spare = {f"s{n}": 0.0 for n in range(SPARE)}
    states: dict[str, capacity.PeakState] = {}
    turns = peaks.Turns()
    first_start = min((peak.start for peak in schedule), default=0.0)
    for tick in range(int(seconds / TICK_S)):
        now = tick * TICK_S
        for name, pool in pools.items():
            current = [
                peak
                for peak in schedule
                if peak.pool == name and 0 <= now - peak.start < peak.length
            ]
            share = max([BASE_SHARE, *(peak.height for peak in current)])
            pool.advance(share * HOME * CORES, now, rng)
            wanted = min(share * capacity.HEADROOM, capacity.MAX_PEAK_SHARE) * HOME
            lacking = max(0.0, wanted - pool.working(now)) * TICK_S
            result.lacking += lacking
            if any(
                peak.start > first_start and now - peak.start < 4 for peak in current
            ):
                result.early += lacking
            result.paid += len(pool.hosts) * TICK_S
        views = [pool.view(name, now) for name, pool in pools.items()]
        movable = [host for host, at in spare.items() if at <= now]
        views.append(
            capacity.PoolView("spare", True, CORES, len(spare), movable=movable)
        )
        moves = capacity.plan_moves(views, states, now, turns if learns else None)
        hosts = {name: pool.hosts for name, pool in pools.items()} | {"spare": spare}
        for move in moves:
            del hosts[move.source][move.host_id]
            hosts[move.destination][move.host_id] = now + ARRIVAL_S
        if learns:
            result.events += turns.take_events()
        else:
            for state in states.values():
                state.height = peaks.PeakHeight(began_at=state.height.began_at)
    return result


def make_regular(seed: int, count: int = 12) -> list[Peak]:
    """Return peaks of one pool after another, of 8 s on average."""
    rng = random.Random(seed)
    own = {name: rng.uniform(1.2, 1.8) for name in POOLS}
    schedule, start = [], 10.0
    for number in range(count):
        name = POOLS[number % len(POOLS)]
        length = rng.uniform(7.5, 8.5)
        height = own[name] * rng.uniform(0.9, 1.1)
        schedule.append(Peak(name, start, length, height))
        start += length
    return schedule


def make_view(name: str, **fields: object) -> capacity.PoolView:
    """Return a pool that is idle unless `fields` differ."""
    movable = [f"{name}{n}" for n in range(HOME)]
    values: dict[str, object] = {"hosts": HOME, "movable": movable, **fields}
    return capacity.PoolView(name, False, CORES, **values)  # type: ignore[arg-type]


def make_spare() -> capacity.PoolView:
    """Return the spare pool with 29 idle hosts."""
    movable = [f"s{n}" for n in range(SPARE)]
    return capacity.PoolView("spare", True, CORES, SPARE, movable=movable)


def make_states(height: float | None = 1.5) -> dict[str, capacity.PeakState]:
    """Return two pools, the first of which has had a peak."""
    states = {name: capacity.PeakState(HOME) for name in "ab"}
    states["a"].height.last = height
    return states


ONSET = {"arriving_cores": 0.4 * HOME * CORES, "arriving_jobs": 3.0}


@pytest.mark.parametrize(
    ("fields", "wanted"),
    [
        pytest.param(ONSET, 20, id="peak begins"),
        pytest.param(ONSET | {"arriving_jobs": 1.0}, 0, id="one large job"),
        pytest.param(ONSET | {"arriving_jobs": None}, 0, id="older pool owner"),
        pytest.param(
            {"arriving_cores": 0.6 * HOME * CORES}, 20, id="peak, older pool owner"
        ),
    ],
)
@pytest.mark.parametrize("name", ["a", "b"])
def test_hosts_are_ordered_in_the_tick_in_which_a_peak_begins(
    name: str, fields: dict[str, float | None], wanted: int
) -> None:
    """Guards against orders that wait until the arrival rate shows the whole peak.

    Pool `b` has had no peak and gets the height of the other pool.
    """
    views = [make_view(key, movable=[]) for key in "ab" if key != name]
    views += [make_view(name, movable=[], **fields), make_spare()]
    moves = capacity.plan_moves(views, make_states(), 0.0)
    assert [move.destination for move in moves] == [name] * wanted
    unlearnt = make_states(height=None)
    assert not capacity.plan_moves(views, unlearnt, 0.0)


def test_hosts_are_drained_and_borrowed_for_an_expected_height() -> None:
    """Guards against donors that keep their hosts until work waits."""
    states = make_states()
    donor = make_view("b", used_cores=320.0, movable=["b0"], drainable=["b1", "b2"])
    views = [donor, make_view("a", movable=[], **ONSET)]
    moves = capacity.plan_moves(views, states, 0.0)
    assert moves == [capacity.Move("b0", "b", "a")]
    assert capacity.plan_drains(views, states, moves, 0.0) == ["b1", "b2"]


@pytest.mark.parametrize(
    ("uses", "is_expected"),
    [
        pytest.param([0.6, 1.0], True, id="peak"),
        pytest.param([0.6, 0.2], False, id="burst"),
        pytest.param([0.6, 0.2, 0.5], False, id="burst in two parts"),
        pytest.param([0.6] * 11, False, id="reliable"),
    ],
)
def test_end_of_an_expectation(uses: list[float], is_expected: bool) -> None:
    """Guards against hosts that stay in a pool because of a wrong height."""
    states = make_states()
    for tick, use in enumerate(uses):
        view = make_view("a", hosts=60, arriving_cores=use * HOME * CORES)
        moves = capacity.plan_moves([view, make_spare()], states, tick * TICK_S)
    assert (len(moves) == 0) is is_expected
    if len(uses) > 10:
        for tick in range(len(uses), len(uses) + 8):
            capacity.plan_moves([make_view("a")], states, tick * TICK_S)
        assert states["a"].height.last == pytest.approx(0.7)  # learnt anew


def test_burst_is_no_peak() -> None:
    """Guards against heights and starts that are learnt from a burst."""
    states, turns = make_states(height=None), peaks.Turns()
    for tick, use in enumerate([0.6] * 7 + [0.1] * 8):
        view = make_view("a", arriving_cores=use * HOME * CORES)
        capacity.plan_moves([view], states, tick * TICK_S, turns)
    assert states["a"].height.last is None
    assert not turns.starts


def test_record_is_restored_by_the_next_owner() -> None:
    """Guards against heights and starts that are lost with the owner of the fleet."""
    states = make_states()
    states["b"].is_peaking = True
    states["b"].height.begin(90.0)
    turns = peaks.Turns([(50.0, "a"), (70.0, "b"), (90.0, "b")])
    record = json.loads(json.dumps(peak_records.encode(states, turns, 1000.0)))
    assert record["a"] == {
        "home": HOME,
        "peaking": False,
        "rank": -1,
        "height": 1.5,
        "starts_ms": [1_050_000],
    }
    restored = {
        name: peak_records.restore_state(fields, 30.0, 1065.0)
        for name, fields in record.items()
    }
    assert restored["a"].height.last == 1.5
    assert restored["b"].height.began_at == 25.0
    assert peak_records.restore_starts(record["a"], 30.0, 1065.0) == [-15.0]
    assert peak_records.restore_starts(record["b"], 30.0, 1065.0) == [5.0]


OLD = {"home": 4, "peaking": True, "rank": -1}


@pytest.mark.parametrize(
    "fields",
    [
        [],
        {},
        OLD | {"height": "high"},
        OLD | {"height": math.nan},
        OLD | {"began_ms": None},
        OLD | {"starts_ms": 5},
        OLD | {"starts_ms": [{}]},
    ],
)
def test_unreadable_record(fields: dict[str, object]) -> None:
    """Guards against an owner of the fleet that fails at a record it cannot read."""
    with pytest.raises(peak_records.DECODING_ERRORS):
        peak_records.restore_state(fields, 0.0, 0.0)
        peak_records.restore_starts(fields, 0.0, 0.0)


def test_record_of_an_older_build() -> None:
    """Guards against a record without the new fields that is not read."""
    state = peak_records.restore_state(OLD, 0.0, 0.0)
    assert (state.home_hosts, state.is_peaking) == (4, True)
    assert state.height == peaks.PeakHeight()


def run_starts(
    starts: list[tuple[float, str]], until: float
) -> tuple[peaks.Turns, list[tuple[str, str]]]:
    """Replay peaks of 5 s without noise; return the outcomes of forecasts."""
    heights = {name: peaks.PeakHeight() for name in POOLS}
    turns = peaks.Turns()
    for tick in range(int(until / TICK_S)):
        now = tick * TICK_S
        for name, height in heights.items():
            if (now, name) in starts:
                height.begin(now)
            elif height.began_at is not None and now - height.began_at >= 5:
                height.is_over = True
            peaks.update_height(name, heights, 1.5, False, turns, now)
        peaks.update_forecast(heights, turns, now)
    events = [e for e in turns.take_events() if e.subject == "start"]
    return turns, [(event.pool, event.outcome) for event in events]


REGULAR = [(8.0 * n, POOLS[n % 4]) for n in range(4)]


@pytest.mark.parametrize(
    ("starts", "until", "wanted"),
    [
        pytest.param(REGULAR[:3], 40, [], id="a pool has had no peak"),
        pytest.param([*REGULAR[:3], (29, "d")], 40, [], id="gaps do not fit"),
        pytest.param(REGULAR, 30, [("a", "made")], id="made"),
        pytest.param(
            [*REGULAR, (31, "a")], 33, [("a", "made"), ("a", "met")], id="met"
        ),
        pytest.param(REGULAR, 60, [("a", "made"), ("a", "dropped")], id="no peak"),
        pytest.param(
            [*REGULAR, (32, "b"), (40, "c"), (48, "d")],
            55,
            [("a", "made"), ("a", "dropped")],
            id="other order",
        ),
        pytest.param(
            [*REGULAR, (36, "a"), (44, "b"), (52, "c"), (60, "d")],
            63,
            [("a", "made"), ("a", "dropped"), ("a", "made")],
            id="again after three gaps that fit",
        ),
    ],
)
def test_forecast(
    starts: list[tuple[float, str]], until: float, wanted: list[tuple[str, str]]
) -> None:
    """Guards against hosts that move for peaks that do not come."""
    assert run_starts(starts, until)[1] == wanted


def test_hosts_move_ahead_of_a_peak() -> None:
    """Guards against forecasts that drain or borrow hosts, or that hold them too long.

    Pool `b` has two hosts beyond its home size, and four that are idle.
    """
    turns = peaks.Turns(forecast=peaks.StartForecast("a", 32.0))
    states = make_states()
    idle = [f"b{n}" for n in range(4)]
    donor = make_view("b", hosts=42, used_cores=640, movable=idle, drainable=["b9"])
    views = [make_view("a"), donor]
    assert all(
        move.destination != "a"
        for move in capacity.plan_moves(views, states, 32.0 - peaks.LEAD_S - 0.1, turns)
    )
    moves = capacity.plan_moves(views, states, 32.0 - peaks.LEAD_S, turns)
    assert moves == [capacity.Move(f"b{n}", "b", "a") for n in range(2)]
    assert not capacity.plan_drains(views, states, moves, 30.0)
    moved = [make_view("a", hosts=60), make_spare()]
    assert not capacity.plan_moves(moved, states, 33.5, turns)
    assert len(capacity.plan_moves(moved, states, 33.6, turns)) == 20


def make_irregular(seed: int) -> list[Peak]:
    """Return peaks of all lengths and heights, in any order and after any pause."""
    rng = random.Random(seed)
    schedule, start = [], 10.0
    for _ in range(8):
        length = rng.uniform(3, 10)
        schedule.append(Peak(rng.choice(POOLS), start, length, rng.uniform(0.8, 2.2)))
        start += length + rng.uniform(0, 8)
    return schedule


def make_schedule(kind: str, seed: int) -> list[Peak]:
    """Return the peaks of a kind of day."""
    schedule = make_regular(seed)
    rng = random.Random(seed)
    if kind == "irregular":
        schedule = make_irregular(seed)
    elif kind == "none":
        schedule = []
    for number, peak in enumerate(list(schedule)):
        if kind == "other heights":
            peak.height = rng.uniform(0.8, 2.4)
        elif kind == "broken order" and number >= 6:
            peak.pool = rng.choice([name for name in POOLS if name != peak.pool])
        elif kind == "two at once" and number >= 4:
            other = POOLS[(POOLS.index(peak.pool) + 2) % len(POOLS)]
            schedule.append(dataclasses.replace(peak, pool=other))
    return schedule


@pytest.mark.parametrize(
    ("kind", "early_share"),
    [
        ("regular", 0.5),
        ("other heights", 0.7),
        ("two at once", 1.0),
        ("broken order", 0.9),
        ("irregular", 1.0),
        ("none", 1.0),
    ],
)
def test_hosts_lacking_and_paid(kind: str, early_share: float) -> None:
    """Guards against expectations that help less, or cost more, than they should.

    The baseline is the rule without learning, on the same demand.
    """
    totals = {False: Result(), True: Result()}
    for seed in range(2):
        schedule = make_schedule(kind, seed)
        for learns, total in totals.items():
            result = replay(schedule, 110.0, seed, learns)
            total.early += result.early
            total.lacking += result.lacking
            total.paid += result.paid
    today, learnt = totals[False], totals[True]
    print(
        f"{kind}: {today.early:.0f} to {learnt.early:.0f} lacking early,"
        f" {today.lacking:.0f} to {learnt.lacking:.0f} lacking,"
        f" {today.paid:.0f} to {learnt.paid:.0f} paid"
    )
    assert learnt.early <= early_share * today.early
    assert learnt.lacking <= today.lacking
    assert learnt.paid <= 1.1 * today.paid
