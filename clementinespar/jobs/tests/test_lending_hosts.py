"""Tests of busy hosts that a pool gives to another pool at its peak."""

import dataclasses

import pytest

from clementinespar.jobs import capacity, model, pool_demand, resources
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

HOST_CORES = 16.0
TICK_S = 0.25
TASK_S = 2.0  # run time of all tasks
MOVE_S = 2.25  # a moved host takes this long until its worker gets tasks


def make_view(name: str, hosts: int, **fields: object) -> capacity.PoolView:
    """Return a pool without idle hosts unless `fields` differ."""
    return capacity.PoolView(name, False, HOST_CORES, hosts, **fields)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("home_hosts", "rested", "peaking", "wanted"),
    [
        # Late work does not keep hosts that a pool at its peak lacks.
        (20, {"used_cores": 320.0, "late_cores": 300.0}, {"waiting_cores": 160.0}, 8),
        # Work that can meet its objective keeps its hosts.
        (20, {"used_cores": 320.0}, {"waiting_cores": 160.0}, 0),
        # A pool with waiting work gives nothing.
        (
            20,
            {"used_cores": 320.0, "late_cores": 300.0, "waiting_cores": 20.0},
            {"waiting_cores": 160.0},
            0,
        ),
        # Late work keeps the home size while no other pool lacks hosts.
        (10, {"used_cores": 320.0, "late_cores": 300.0}, {"arriving_cores": 8.0}, 10),
        (10, {"used_cores": 320.0}, {"arriving_cores": 8.0}, 0),
    ],
)
def test_choice_of_hosts_to_drain(
    home_hosts: int, rested: dict[str, float], peaking: dict[str, float], wanted: int
) -> None:
    """Guards against hosts that late work holds while another pool lacks them."""
    drainable = [f"host-{number}" for number in range(20)]
    views = [
        make_view("rested", 20, drainable=drainable, **rested),
        make_view(
            "peaking", 10, **{"used_cores": 160.0, "arriving_cores": 250.0, **peaking}
        ),
    ]
    peaks = {
        "rested": capacity.PeakState(home_hosts),
        "peaking": capacity.PeakState(10),
    }
    drains = capacity.plan_drains(views, peaks, [], 0.0)
    assert drains == drainable[:wanted]


@pytest.mark.parametrize("other", [True, False])
def test_only_pool_keeps_its_hosts_for_late_work(other: bool) -> None:
    """Guards against idle hosts beside late work that no other pool could take."""
    hosts = [f"host-{number}" for number in range(4)]
    late = make_view("late", 4, drainable=hosts, used_cores=64.0, late_cores=60.0)
    views = [late, make_view("other", 4)] if other else [late]
    peaks = {"late": capacity.PeakState(2), "other": capacity.PeakState(4)}
    assert capacity.plan_drains(views, peaks, [], 0.0) == hosts[: 2 * other]


@pytest.mark.parametrize(
    ("home_hosts", "late_cores", "waiting_cores", "wanted", "drained"),
    [
        (10, 300.0, 20.0, 10, 8),
        (15, 300.0, 20.0, 15, 5),  # its home size
        (4, 100.0, 20.0, 16, 4),  # work that can meet its objective
        (10, 100.0, 100.0, 20, 0),  # late work frees no more than what waits
        (10, 0.0, 20.0, 23, 0),
    ],
)
def test_hosts_of_late_work_at_a_peak(
    home_hosts: int, late_cores: float, waiting_cores: float, wanted: int, drained: int
) -> None:
    """Guards against an overloaded pool that keeps all its hosts for late work.

    Without late work, tasks wait since they do not pack, so no host is given.
    """
    hosts = [f"host-{number}" for number in range(20)]
    view = make_view("over", 20, drainable=hosts, used_cores=320.0)
    view.late_cores, view.waiting_cores = late_cores, waiting_cores
    peak = capacity.PeakState(home_hosts, is_peaking=True)
    assert capacity.wanted_hosts(peak, view, 0.0) == wanted
    lacking = make_view("next", 10, arriving_cores=250.0, waiting_cores=160.0)
    states = {"over": peak, "next": capacity.PeakState(10, is_peaking=True)}
    assert capacity.plan_drains([view, lacking], states, [], 0.0) == hosts[:drained]
    assert capacity.plan_drains([view], states, [], 0.0) == []


def test_draining_hosts_stay_chosen() -> None:
    """Guards against a new choice each round, by which no host ever becomes idle."""
    rested = make_view(
        "rested",
        20,
        used_cores=320.0,
        late_cores=320.0,
        drainable=["a", "b"],
        draining=["c", "d"],
    )
    peaking = make_view("peaking", 10, arriving_cores=200.0, waiting_cores=45.0)
    peaks = {"rested": capacity.PeakState(20), "peaking": capacity.PeakState(10)}
    drains = capacity.plan_drains([rested, peaking], peaks, [], 0.0)
    assert drains[:2] == ["c", "d"]


@dataclasses.dataclass
class ReplayedPool:
    """A pool whose hosts run tasks of one host each, all of the same length."""

    hosts: dict[str, float]  # id: end of its task; its arrival if it is on its way
    timely: int = 0  # waiting tasks that can meet their objective
    late: int = 0
    late_running: int = 0


def replay_second_peak(with_drains: bool) -> int:
    """Return how many tasks of a second peak start in time after a first one.

    The first pool has 40 hosts and 400 late tasks of its peak. The second has 10 and
    gets 30 tasks a second for 6 s; a task is late if it waits longer than 1 s.
    """
    first = ReplayedPool({f"f{n}": 0.0 for n in range(40)}, late=400)
    second = ReplayedPool({f"s{n}": 0.0 for n in range(10)})
    peaks = {"first": capacity.PeakState(20), "second": capacity.PeakState(20)}
    arrivals: list[float] = []
    drained: set[str] = set()
    started = 0
    for tick in range(int(9 / TICK_S)):
        now = tick * TICK_S
        rate = 30.0 if now < 6 else 0.0
        arrivals += [now] * round(rate * TICK_S)
        arrivals = [at for at in arrivals if now - at <= 1.0]
        for host_id, end in second.hosts.items():
            if end <= now and arrivals:
                arrivals.pop(0)
                second.hosts[host_id] = now + TASK_S
                started += 1
        for host_id, end in first.hosts.items():
            if end <= now and first.late and host_id not in drained:
                first.late -= 1
                first.hosts[host_id] = now + TASK_S
        views = []
        for name, pool, arriving, waiting in (
            ("first", first, 0.0, 0.0),
            ("second", second, rate * TASK_S * HOST_CORES, len(arrivals) * HOST_CORES),
        ):
            busy = [h for h, end in pool.hosts.items() if end > now]
            views.append(
                make_view(
                    name,
                    len(pool.hosts),
                    used_cores=len(busy) * HOST_CORES,
                    late_cores=len(busy) * HOST_CORES if pool is first else 0.0,
                    arriving_cores=arriving,
                    waiting_cores=waiting,
                    movable=[h for h in pool.hosts if h not in busy],
                    drainable=[h for h in busy if h not in drained],
                    draining=[h for h in busy if h in drained],
                )
            )
        moves = capacity.plan_moves(views, peaks, now)
        for move in moves:
            if move.source == "first":
                del first.hosts[move.host_id]
                second.hosts[move.host_id] = now + MOVE_S
        if with_drains:
            drained = set(capacity.plan_drains(views, peaks, moves, now))
    return started


def test_second_peak_after_an_overloaded_first_one() -> None:
    """Guards against late work of one peak that makes the next one late as well."""
    baseline = replay_second_peak(with_drains=False)
    assert replay_second_peak(with_drains=True) >= 1.5 * baseline


@pytest.mark.parametrize(
    ("room", "wanted_cores", "wanted_share"),
    [
        ({}, 30.0, 1.0),
        ({"flood": resources.Resources(5_000, -1, -1)}, 15.0, 0.625),
        ({"flood": resources.Resources(-1, 1_000, -1)}, 15.0, 0.625),
        ({"flood": resources.ZERO}, 10.0, 0.5),
    ],
)
def test_demand_within_caps(
    room: dict[str, resources.Resources], wanted_cores: float, wanted_share: float
) -> None:
    """Guards against hosts for work that the cap of its team does not let run."""
    waiting = [
        ("flood", resources.Resources(20_000, 4_000)),
        ("", resources.Resources(10_000, 4_000)),
    ]
    found = pool_demand.limit_to_caps(waiting, room, used_cores=10.0)
    assert found.waiting_cores == pytest.approx(wanted_cores)
    assert found.runnable_share == pytest.approx(wanted_share)


@paused_clock.test
async def test_no_start_beside_a_run_of_unknown_size() -> None:
    """Guards against a worker over its capacity after all nodes have lost their memory.

    The run is of a job whose steps are no longer stored, so its size is not known.
    """
    workers = fakes.FakeWorkers(count=1, cpu=4000)
    unknown = model.TaskKey("unknown", 0, 0, 0)
    workers.workers["quotes-0"].running[unknown] = (1, 2_000.0)
    workers.workers["quotes-0"].lease_until_ms = 2_000_000.0
    workers.cpu_by_step["unknown", 0] = 1000
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("wide", task_count=1, cpu=4000))
    async with helpers.run_owner(harness):
        await harness.wait_state("wide", model.JobState.DONE)
    assert unknown in workers.workers["quotes-0"].ended_runs
    assert workers.violations == []
