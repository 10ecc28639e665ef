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
FIRST_START = 10.0


Peak = tuple[str, float, float, float]  # pool, start, length, height in home sizes


@dataclasses.dataclass
class ReplayedPool:
    """A pool whose tasks share the cores of all its working hosts."""

    hosts: dict[str, float]  # id: time of arrival
    rate: demand.ArrivalRate = dataclasses.field(default_factory=demand.ArrivalRate)
    # Arrival, cores and run time of tasks.
    waiting: list[tuple[float, float, float]] = dataclasses.field(default_factory=list)
    running: list[tuple[float, float]] = dataclasses.field(default_factory=list)  # end
    seen: list[tuple[float, float]] = dataclasses.field(default_factory=list)  # jobs

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
        view = capacity.PoolView(name, False, CORES, len(self.hosts), self.used())
        view.waiting_cores = sum(cores for _, cores, _ in self.waiting)
        view.arriving_cores = self.rate.read(now)
        view.arriving_jobs = self.rate.read_jobs(now)
        view.movable = there[busy:]
        return view


def replay(schedule: list[Peak], seed: int, learns: bool) -> tuple[float, float, float]:
    """Replay peaks; without learning, hosts move for measured demand only.

    Returns the host-seconds that pools lack in the first 4 s of later peaks, those that
    they lack at all, and those that are paid.
    """
    rng = random.Random(seed)
    early = lacking = paid = 0.0
    pools = {
        name: ReplayedPool({f"{name}{n}": 0.0 for n in range(HOME)}) for name in POOLS
    }
    spare = {f"s{n}": 0.0 for n in range(SPARE)}
    states: dict[str, capacity.PeakState] = {}
    turns = peaks.Turns()
    for tick in range(int(110 / TICK_S)):
        now = tick * TICK_S
        for name, pool in pools.items():
            share, began_at = BASE_SHARE, -math.inf
            for peak_pool, start, length, height in schedule:
                if peak_pool == name and 0 <= now - start < length:
                    share, began_at = height, start
            pool.advance(share * HOME * CORES, now, rng)
            wanted = min(share * capacity.HEADROOM, capacity.MAX_PEAK_SHARE) * HOME
            missing = max(0.0, wanted - pool.working(now)) * TICK_S
            lacking += missing
            if began_at > FIRST_START and now - began_at < 4:
                early += missing
            paid += len(pool.hosts) * TICK_S
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
        for state in () if learns else states.values():
            state.height = peaks.PeakHeight(began_at=state.height.began_at)
    return early, lacking, paid


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
        (ONSET, 20),
        (ONSET | {"arriving_jobs": 1.0}, 0),  # one large job
        ({"arriving_cores": 0.5 * HOME * CORES}, 0),  # owner of an older build
        ({"arriving_cores": 0.6 * HOME * CORES}, 20),
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
    waiting = make_view("b", movable=[], waiting_cores=640.0, arriving_cores=2560.0)
    views = [waiting, make_view("a", hosts=60, **ONSET)]
    assert not capacity.plan_moves(views, states, 0.25)


@pytest.mark.parametrize(
    ("uses", "is_expected"),
    [
        ([0.6, 1.0], True),
        ([0.6, 0.2], False),
        ([0.6, 0.2, 0.5], False),
        # Measured demand is reliable. One high reading is not the height.
        ([*[0.6] * 6, 1.8, *[0.6] * 13], False),
    ],
)
def test_end_of_an_expectation(uses: list[float], is_expected: bool) -> None:
    """Guards against hosts that stay in a pool because of a wrong height."""
    states, turns = make_states(), peaks.Turns()
    for tick, use in enumerate(uses):
        view = make_view("a", hosts=60, arriving_cores=use * HOME * CORES)
        moves = capacity.plan_moves([view, make_spare()], states, tick * TICK_S, turns)
    assert (len(moves) == 0) is is_expected
    dropped = [event.outcome for event in turns.take_events()]
    assert dropped == ([] if is_expected else ["dropped"])
    if len(uses) > 10:
        for tick in range(len(uses), len(uses) + 8):
            capacity.plan_moves([make_view("a")], states, tick * TICK_S)
        assert states["a"].height.last == pytest.approx(0.7)  # learnt anew


def test_peak_after_a_load_that_is_too_low_for_one() -> None:
    """Guards against a lasting load that is taken for the peak that follows it."""
    states, turns = make_states(), peaks.Turns()
    for tick, use in enumerate([0.4] * 20 + [0.6] * 2):
        load = ONSET | {"arriving_cores": use * HOME * CORES}
        capacity.plan_moves([make_view("a", **load)], states, tick * TICK_S, turns)
        if tick == 19:
            assert states["a"].height.newest() == 1.5
    assert capacity.expected_hosts(states["a"], 5.25) == 60
    assert not turns.starts


@pytest.mark.parametrize(
    ("uses", "height", "starts"),
    [
        ([0.6] * 7 + [0.1] * 8, 0.0, []),  # a burst
        ([0.6] * 8 + [0.2] + [0.6] * 8, 0.7, [(0.0, "a")]),  # a peak that goes on
    ],
)
def test_height_for_other_pools(
    uses: list[float], height: float, starts: list[tuple[float, str]]
) -> None:
    """Guards against learning from bursts, and only when the next peak has begun."""
    states, turns = make_states(height=None), peaks.Turns()
    for tick, use in enumerate(uses):
        view = make_view("a", arriving_cores=use * HOME * CORES)
        capacity.plan_moves([view], states, tick * TICK_S, turns)
    found = peaks.expected_height(states["b"].height, [states["a"].height])
    assert found == pytest.approx(height)
    assert turns.starts == starts


def test_record_is_restored_by_the_next_owner() -> None:
    """Guards against heights and starts that are lost with the owner of the fleet."""
    states = make_states()
    states["b"].is_peaking = True
    states["b"].height.begin(90.0)
    turns = peaks.Turns([(50.0, "a"), (70.0, "b"), (90.0, "b")])
    record = json.loads(json.dumps(peak_records.encode(states, turns, 1000.0)))
    old_fields = {"home": HOME, "peaking": False, "rank": -1}
    assert record["a"] == old_fields | {"height": 1.5, "starts_ms": [1_050_000]}
    now, offset_s = 30.0, 1065.0  # of the next owner
    restored = peak_records.restore_state(record["a"], now, offset_s)
    assert restored.height.last == 1.5
    restored = peak_records.restore_state(record["b"], now, offset_s)
    assert restored.height.began_at == 25.0
    assert peak_records.restore_starts(record["a"], now, offset_s) == [-15.0]
    assert peak_records.restore_starts(record["b"], now, offset_s) == [5.0]


def test_no_pools_to_move_hosts_between() -> None:
    """Guards against an error that ends the owner of the fleet."""
    assert not capacity.plan_moves([make_spare()], {}, 0.0)


REGULAR = [(8.0 * n, POOLS[n]) for n in range(4)]
MADE, MET, DROPPED = (("a", outcome) for outcome in ("made", "met", "dropped"))


@pytest.mark.parametrize(
    ("starts", "until", "wanted"),
    [
        (REGULAR[:3], 40, []),  # a pool has had no peak
        ([*REGULAR[:3], (29, "d")], 40, []),  # the gaps do not fit
        (REGULAR, 30, [MADE]),
        ([*REGULAR, (31, "a")], 33, [MADE, MET]),
        (REGULAR, 60, [MADE, DROPPED]),
        ([*REGULAR, (28, "a")], 31, [MADE, DROPPED]),  # too soon
        ([*REGULAR, (28, "b")], 31, [MADE, DROPPED]),  # another pool is next
        # Again after three gaps that fit.
        (
            [*REGULAR, (36, "a"), (44, "b"), (52, "c"), (60, "d")],
            63,
            [MADE, DROPPED, MADE],
        ),
    ],
)
def test_forecast(
    starts: list[tuple[float, str]], until: float, wanted: list[tuple[str, str]]
) -> None:
    """Guards against hosts that move for peaks that do not come.

    The peaks last 5 s, without noise.
    """
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
    events = [event for event in turns.take_events() if event.subject == "start"]
    assert [(event.pool, event.outcome) for event in events] == wanted


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


def make_schedule(kind: str, seed: int) -> list[Peak]:
    """Return the peaks of a kind of day; regular ones follow one after another."""
    rng = random.Random(seed)
    own = {name: rng.uniform(1.2, 1.8) for name in POOLS}
    schedule: list[Peak] = []
    start = FIRST_START
    for number in range(0 if kind == "none" else 12):
        pool, length = POOLS[number % len(POOLS)], rng.uniform(7.5, 8.5)
        height, pause = own[pool] * rng.uniform(0.9, 1.1), 0.0
        if kind == "other heights":
            height = rng.uniform(0.8, 2.4)
        elif kind == "broken order" and number >= 6:
            pool = rng.choice([name for name in POOLS if name != pool])
        elif kind == "irregular":
            pool, height = rng.choice(POOLS), rng.uniform(0.8, 2.2)
            length, pause = rng.uniform(3, 8), rng.uniform(0, 5)
        schedule.append((pool, start, length, height))
        if kind == "two at once" and number >= 4:
            other = POOLS[(number + 2) % len(POOLS)]
            schedule.append((other, start, length, height))
        start += length + pause
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
    today, learnt = (
        [
            sum(values)
            for values in zip(
                *(replay(make_schedule(kind, seed), seed, learns) for seed in range(2)),
                strict=True,
            )
        ]
        for learns in (False, True)
    )
    print(kind, today, learnt)
    assert learnt[0] <= early_share * today[0]
    assert learnt[1] <= today[1]
    assert learnt[2] <= 1.1 * today[2]
