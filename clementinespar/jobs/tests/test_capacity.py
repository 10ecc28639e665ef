"""Tests of the moves of hosts between pools."""

import pytest

from clementinespar.jobs import capacity


def make_view(name: str, hosts: int = 8, **fields: object) -> capacity.PoolView:
    """Return a pool of hosts with 16 cores, all idle unless told otherwise."""
    values: dict[str, object] = {"movable": [f"{name}-{n}" for n in range(hosts)]}
    return capacity.PoolView(name, False, 16.0, hosts, **(values | fields))  # type: ignore[arg-type]


def make_spare(hosts: int) -> capacity.PoolView:
    """Return the spare pool."""
    movable = [f"spare-{n}" for n in range(hosts)]
    return capacity.PoolView("spare", True, 16.0, hosts, movable=movable)


def test_pool_keeps_its_home_size_before_its_turn() -> None:
    """Guards against an idle pool that has no hosts when its peak begins."""
    assert not capacity.plan_moves([make_view("a"), make_spare(4)], {}, 0.0)


def test_peak_takes_spare_hosts() -> None:
    """Guards against spare hosts that idle while work waits."""
    view = make_view(
        "a", used_cores=128.0, waiting_cores=60.0, arriving_cores=180.0, movable=[]
    )
    moves = capacity.plan_moves([view, make_spare(8)], {}, 0.0)
    assert {move.destination for move in moves} == {"a"}
    assert len(moves) == 5  # as much as waits, not as much as arrives


def test_peak_is_bounded() -> None:
    """Guards against all hosts in one pool after one large job."""
    view = make_view(
        "a", used_cores=128.0, waiting_cores=900.0, arriving_cores=900.0, movable=[]
    )
    moves = capacity.plan_moves([view, make_spare(30)], {}, 0.0)
    assert len(moves) == 6  # 1.75 times the home size


def test_late_work_brings_no_hosts() -> None:
    """Guards against hosts that come for work which is late before they arrive."""
    view = make_view("a", used_cores=128.0, arriving_cores=300.0, movable=[])
    assert not capacity.plan_moves([view, make_spare(8)], {}, 0.0)


def run_turn(turns: dict[str, capacity.TurnState], name: str, start: float) -> None:
    """Let a pool have its peak and its end."""
    capacity.plan_moves([make_view(name, used_cores=100.0, movable=[])], turns, start)
    for second in (1.0, 3.0):
        capacity.plan_moves([make_view(name, movable=[])], turns, start + second)


def test_idle_hosts_rest_after_the_turn() -> None:
    """Guards against hosts that are paid for while nothing runs there."""
    turns = {"a": capacity.TurnState(8), "b": capacity.TurnState(8)}
    run_turn(turns, "a", 10.0)
    moves = capacity.plan_moves(
        [make_view("a"), make_view("b"), make_spare(0)], turns, 20.0
    )
    assert {(move.source, move.destination) for move in moves} == {("a", "spare")}
    assert len(moves) == 7


def test_first_pool_gets_its_home_size_back_when_all_had_their_turn() -> None:
    """Guards against a second cycle that meets pools without hosts."""
    turns = {"a": capacity.TurnState(8), "b": capacity.TurnState(8)}
    run_turn(turns, "a", 10.0)
    run_turn(turns, "b", 20.0)
    capacity.update_resting(turns)
    assert not turns["a"].is_resting
    assert turns["b"].is_resting


@pytest.mark.parametrize(
    ("uses", "is_peaking"),
    [
        ([0.0], False),
        ([80.0], True),
        ([80.0, 20.0], True),  # short dips do not end a turn
        ([80.0, 20.0, 20.0, 20.0], False),
        ([80.0, 20.0, 60.0, 20.0], True),
    ],
)
def test_turns(uses: list[float], is_peaking: bool) -> None:
    """Guards against moves on every short change of demand."""
    turn = capacity.TurnState(8)
    for second, used in enumerate(uses):
        view = make_view("a", used_cores=used)
        capacity.update_turn(turn, view, float(second))
    assert turn.is_peaking is is_peaking
