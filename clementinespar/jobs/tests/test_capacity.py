"""Tests of the moves of hosts between pools."""

import pytest

from clementinespar.jobs import capacity


def make_view(name: str, hosts: int = 8, **fields: object) -> capacity.PoolView:
    """Return a pool of hosts with 16 cores; they are idle unless `fields` differ."""
    values: dict[str, object] = {"movable": [f"{name}-{n}" for n in range(hosts)]}
    return capacity.PoolView(name, False, 16.0, hosts, **(values | fields))  # type: ignore[arg-type]


def make_spare(hosts: int) -> capacity.PoolView:
    """Return the spare pool."""
    movable = [f"spare-{n}" for n in range(hosts)]
    return capacity.PoolView("spare", True, 16.0, hosts, movable=movable)


def test_pool_keeps_its_home_size_before_its_peak() -> None:
    """Guards against a pool that has lost its hosts when its peak begins."""
    assert not capacity.plan_moves([make_view("a"), make_spare(4)], {}, 0.0)


def test_peak_takes_spare_hosts() -> None:
    """Guards against spare hosts that stay idle while work waits."""
    view = make_view(
        "a", used_cores=128.0, waiting_cores=60.0, arriving_cores=180.0, movable=[]
    )
    moves = capacity.plan_moves([view, make_spare(8)], {}, 0.0)
    assert {move.destination for move in moves} == {"a"}
    assert len(moves) == 5  # for the work that waits, not for all that arrives


def test_peak_is_bounded() -> None:
    """Guards against moving all hosts to one pool because of one large job."""
    view = make_view(
        "a", used_cores=128.0, waiting_cores=900.0, arriving_cores=900.0, movable=[]
    )
    moves = capacity.plan_moves([view, make_spare(30)], {}, 0.0)
    assert len(moves) == 12  # two and a half times the home size


def test_late_work_brings_no_hosts() -> None:
    """Guards against moves for work that is late before the hosts arrive."""
    view = make_view("a", used_cores=128.0, arriving_cores=300.0, movable=[])
    assert not capacity.plan_moves([view, make_spare(8)], {}, 0.0)


def run_peak(peaks: dict[str, capacity.PeakState], name: str, start: float) -> None:
    """Plan moves through the peak of a pool and its end."""
    capacity.plan_moves([make_view(name, used_cores=100.0, movable=[])], peaks, start)
    for second in (1.0, 3.0):
        capacity.plan_moves([make_view(name, movable=[])], peaks, start + second)


def test_idle_hosts_move_to_the_spare_pool_after_the_peak() -> None:
    """Guards against idle hosts that stay in a pool and cost money after its peak."""
    peaks = {"a": capacity.PeakState(8), "b": capacity.PeakState(8)}
    run_peak(peaks, "a", 10.0)
    moves = capacity.plan_moves(
        [make_view("a"), make_view("b"), make_spare(0)], peaks, 20.0
    )
    assert {(move.source, move.destination) for move in moves} == {("a", "spare")}
    assert len(moves) == 7


def test_first_pool_gets_its_home_size_back_when_all_had_their_peak() -> None:
    """Guards against pools without hosts at the start of the next cycle of peaks."""
    peaks = {"a": capacity.PeakState(8), "b": capacity.PeakState(8)}
    run_peak(peaks, "a", 10.0)
    run_peak(peaks, "b", 20.0)
    capacity.update_resting(peaks)
    assert not peaks["a"].is_resting
    assert peaks["b"].is_resting


@pytest.mark.parametrize(
    ("uses", "is_peaking"),
    [
        ([0.0], False),
        ([80.0], True),
        ([80.0, 20.0], True),  # a short dip does not end a peak
        ([80.0, 20.0, 20.0, 20.0], False),
        ([80.0, 20.0, 60.0, 20.0], True),
    ],
)
def test_peak_detection(uses: list[float], is_peaking: bool) -> None:
    """Guards against moves after every short change of demand."""
    peak = capacity.PeakState(8)
    for second, used in enumerate(uses):
        view = make_view("a", used_cores=used)
        capacity.update_peak(peak, view, float(second))
    assert peak.is_peaking is is_peaking


def test_idle_hosts_are_lent_before_the_own_peak() -> None:
    """Guards against work that becomes late while hosts of another pool are idle."""
    peaking_view = make_view(
        "a", used_cores=128.0, waiting_cores=90.0, arriving_cores=260.0, movable=[]
    )
    moves = capacity.plan_moves([peaking_view, make_view("b"), make_spare(0)], {}, 0.0)
    assert {(move.source, move.destination) for move in moves} == {("b", "a")}
    assert len(moves) == 4  # half of the home size stays


def test_idle_hosts_are_lent_at_the_end_of_a_peak() -> None:
    """Guards against hosts that stay idle until the end of a peak is certain."""
    peaks = {"a": capacity.PeakState(8), "b": capacity.PeakState(8)}
    capacity.plan_moves([make_view("a", used_cores=100.0, movable=[])], peaks, 0.0)
    ending_view = make_view("a", hosts=12, used_cores=50.0)
    peaking_view = make_view(
        "b", used_cores=128.0, waiting_cores=90.0, arriving_cores=260.0, movable=[]
    )
    moves = capacity.plan_moves([ending_view, peaking_view, make_spare(0)], peaks, 0.4)
    assert peaks["a"].is_peaking
    assert {(move.source, move.destination) for move in moves} == {("a", "b")}


def test_pool_with_waiting_work_lends_nothing() -> None:
    """Guards against moving hosts back and forth between pools that all lack some."""
    views = [
        make_view(name, used_cores=128.0, waiting_cores=90.0, arriving_cores=260.0)
        for name in ("a", "b")
    ]
    assert not capacity.plan_moves([*views, make_spare(0)], {}, 0.0)


def test_need_is_kept_between_uneven_arrivals() -> None:
    """Guards against hosts that leave a pool at its peak during a short gap."""
    peaks = {"a": capacity.PeakState(8)}
    busy = make_view(
        "a", hosts=12, used_cores=180.0, arriving_cores=180.0, movable=["a-1"]
    )
    gap = make_view("a", hosts=12, used_cores=100.0, movable=["a-1", "a-2"])
    assert not capacity.plan_moves([busy, make_spare(0)], peaks, 0.0)
    assert not capacity.plan_moves([gap, make_spare(0)], peaks, 1.0)
    assert capacity.plan_moves(
        [gap, make_spare(0)], peaks, 1.0 + capacity.NEED_WINDOW_S
    )


def make_resting_peaks(*names: str) -> dict[str, capacity.PeakState]:
    """Return pools that have had their peak, and one that has not."""
    peaks = {
        name: capacity.PeakState(8, peak_ended_at=10.0 + n)
        for n, name in enumerate(names)
    }
    return {**peaks, "later": capacity.PeakState(8)}


@pytest.mark.parametrize(
    ("hosts", "leaving_hosts", "lasting_hosts", "wanted"),
    [
        pytest.param(3, 0, 3, 0, id="each lasting task has its host"),
        pytest.param(3, 1, 3, 1, id="the host of a lasting task leaves"),
        pytest.param(2, 0, 3, 1, id="the host of a lasting task is lost"),
        pytest.param(2, 0, 1, 0, id="lasting tasks may share a host"),
        pytest.param(0, 0, 3, 3, id="all hosts are lost"),
        pytest.param(4, 1, 0, 0, id="no lasting task, so no host for a restart"),
    ],
)
def test_resting_pool_has_a_host_for_each_lasting_task(
    hosts: int, leaving_hosts: int, lasting_hosts: int, wanted: int
) -> None:
    """Guards against a lasting task without a worker until the next peak."""
    view = make_view(
        "a",
        hosts,
        leaving_hosts=leaving_hosts,
        lasting_hosts=lasting_hosts,
        movable=[],
    )
    moves = capacity.plan_moves(
        [view, make_spare(4)], make_resting_peaks("a", "b"), 20.0
    )
    brought = [move for move in moves if move.destination == "a"]
    assert len(brought) >= wanted
    if wanted == 0:
        assert not brought


def test_peak_gets_hosts_for_work_that_arrives_before_it_waits() -> None:
    """Guards against a peak that gets a host only for each task that waits already."""
    view = make_view(
        "a",
        hosts=8,
        used_cores=120.0,
        waiting_cores=10.0,
        arriving_cores=250.0,
        movable=[],
    )
    moves = capacity.plan_moves([view, make_spare(20)], {}, 0.0)
    assert len(moves) == 1 + 5  # for what waits, and half of what arrives


def test_peak_comes_before_a_pool_that_gets_its_home_size_back() -> None:
    """Guards against hosts for a pool without work while another has work waiting."""
    peaks = make_resting_peaks("b")
    peaks["b"].home_hosts = 20
    peaks["b"].is_resting = False
    peaking = make_view("a", used_cores=128.0, waiting_cores=60.0, movable=[])
    views = [make_view("b", hosts=4, movable=[]), peaking, make_spare(3)]
    moves = capacity.plan_moves(views, peaks, 10.0)
    assert {move.destination for move in moves} == {"a"}
