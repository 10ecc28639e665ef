"""Tests of the capacity decision."""

import dataclasses
import math

import pytest

from clementinespar import codes
from clementinespar.capacity import demand as capacity_demand
from clementinespar.capacity import planner
from clementinespar.documents import model
from clementinespar.pools import availability, messages
from clementinespar.tests import fleets

_A = fleets.host_ids("a", 6)
_B = fleets.host_ids("b", 6)
_C = fleets.host_ids("c", 4)
_POOLS = {"a": _A, "b": _B, "c": _C}
_SERVICES = {"sa": "a", "sb": "b"}
_LONG_HISTORY = planner.History(dict.fromkeys("abc", -1e6), dict.fromkeys("abc", -1e6))


def _document(**changes: object) -> model.Document:
    fields: dict[str, object] = {"spare": "c", "services": _SERVICES}
    pools: object = changes.pop("pools", _POOLS)
    return fleets.make_document(pools, **(fields | changes))  # type: ignore[arg-type]


def _fold(document: model.Document) -> fleets.Fold:
    fold = fleets.Fold()
    assert fold.publish(document) == codes.ResultCode.OK
    return fold


def _plan(
    fold: fleets.Fold,
    slots_a: float,
    slots_b: float = 8.0,
    *,
    age_s: float = 0.0,
    refused_per_s: float = 0.0,
    history: planner.History = _LONG_HISTORY,
    list_age_s: float = 0.0,
    unavailable: dict[str, str] | None = None,
) -> planner.CapacityPlan:
    document = fold.state.documents.production
    assert document is not None
    situation = planner.Situation(
        document,
        fold.state.pools,
        {
            "sa": capacity_demand.ServiceDemand("sa", slots_a, refused_per_s, -age_s),
            "sb": capacity_demand.ServiceDemand("sb", slots_b, 0.0, 0.0),
        },
        0.0,
        availability.Observation(list_age_s, unavailable or {}),
    )
    return planner.plan(situation, planner.compute_needs(situation), history)


def _pairs(plan: planner.CapacityPlan) -> list[tuple[str, str]]:
    return [(move.from_pool, move.to_pool) for move in plan.moves]


def _move(fold: fleets.Fold, host_id: str, from_pool: str, to_pool: str) -> None:
    """Append all records that move a host to another pool."""
    code = fold.add(
        messages.HostTakenOut,
        host_id=host_id,
        pool=from_pool,
        reason="move",
        to_pool=to_pool,
    )
    assert code == codes.ResultCode.OK
    out = fold.state.pools.hosts_by_id[host_id].out
    assert out is not None
    for step in (messages.HostMoved, messages.HostReturned):
        fold.add(step, host_id=host_id, operation_id=out.operation_id)


@pytest.mark.parametrize(
    ("slots_a", "slots_b", "options", "expected"),
    [
        (20.0, 20.0, {}, []),  # each pool needs 4 of its 6 hosts
        (40.0, 8.0, {}, [("c", "a")]),  # 8 needed: the spare pool lends first
        (40.0, 40.0, {}, [("c", "a")]),  # a donor lends one host a round
        # Missing or old observations are ignored.
        (40.0, 8.0, {"age_s": 31.0}, []),
        # No host moves on an old host list.
        (40.0, 8.0, {"list_age_s": 31.0}, []),
        # Refusals are a shortage even when slots are free.
        (20.0, 8.0, {"refused_per_s": 1.0}, [("c", "a")]),
        # The shortage has not lasted for long enough.
        (40.0, 8.0, {"history": planner.History({"a": -30.0}, {})}, []),
        # Hosts that are ejected or missing do not move.
        (40.0, 8.0, {"unavailable": dict.fromkeys(_C[:3], "missing")}, [("b", "a")]),
    ],
)
def test_moves(
    slots_a: float,
    slots_b: float,
    options: dict[str, object],
    expected: list[tuple[str, str]],
) -> None:
    """Guards against moves without need, or shortages that no move ends."""
    plan = _plan(_fold(_document()), slots_a, slots_b, **options)  # type: ignore[arg-type]
    assert _pairs(plan) == expected


def test_pools_with_a_surplus_lend_when_the_spare_pool_has_none() -> None:
    """Guards against a shortage that lasts because only the spare pool lends."""
    fold = _fold(_document(min_available={"a": 2, "b": 2, "c": 3}))
    assert _pairs(_plan(fold, 40.0, 8.0)) == [("b", "a")]
    # A pool keeps the hosts that it needs at a lower utilisation.
    assert _pairs(_plan(fold, 40.0, 24.0)) == []


@pytest.mark.parametrize(("min_available_c", "donor"), [(1, "c"), (4, "b")])
def test_one_host_at_a_time_moves_between_two_pools(
    min_available_c: int, donor: str
) -> None:
    """Guards against a wrong estimate that drains many hosts before it is noticed."""
    fold = _fold(_document(min_available={"a": 2, "b": 2, "c": min_available_c}))
    [move] = _plan(fold, 48.0).moves
    assert move.from_pool == donor
    fold.add(
        messages.HostTakenOut,
        host_id=move.host_id,
        pool=donor,
        reason="move",
        to_pool="a",
    )
    assert _pairs(_plan(fold, 60.0)) == []


def test_lent_hosts_return_when_the_surplus_has_lasted() -> None:
    """Guards against lent hosts that never return, or return while they are needed."""
    fold = _fold(_document())
    _move(fold, _C[0], "c", "a")
    assert _pairs(_plan(fold, 8.0)) == [("a", "c")]
    recent = planner.History({}, {"a": -100.0})
    assert _pairs(_plan(fold, 8.0, history=recent)) == []
    assert _pairs(_plan(fold, 35.0)) == []  # still needed


def test_pool_with_a_shortage_recalls_its_own_hosts_first() -> None:
    """Guards against a pool that borrows hosts while its own hosts are lent."""
    fold = _fold(_document())
    _move(fold, _B[0], "b", "a")
    plan = _plan(fold, 20.0, 34.0)
    assert [(m.host_id, m.to_pool) for m in plan.moves] == [(_B[0], "b")]


def test_new_home_in_the_document_causes_a_move() -> None:
    """Guards against a host that stays in its old pool because that pool needs it."""
    fold = _fold(_document())
    changed = {"a": _A[1:], "b": [*_B, _A[0]], "c": _C}
    fold.publish(_document(pools=changed))
    no_history = planner.History()
    plan = _plan(fold, 30.0, history=no_history)
    assert [(m.host_id, m.to_pool) for m in plan.moves] == [(_A[0], "b")]


@pytest.mark.parametrize(
    ("weights", "check"),
    [
        (model.Weights(moves=4.0), lambda min_s, default_s: min_s > default_s),
        (model.Weights(short_wait=4.0), lambda min_s, default_s: min_s < default_s),
    ],
)
def test_weights_change_how_long_a_shortage_lasts(weights, check) -> None:  # type: ignore[no-untyped-def]
    """Guards against weights of moves and of waiting that have no effect."""
    assert check(
        planner.min_shortage_s(weights), planner.min_shortage_s(model.Weights())
    )


def test_weights_change_the_number_of_needed_hosts() -> None:
    """Guards against weights of cost and of waiting that have no effect."""

    def needed(weights: model.Weights) -> int:
        plan = _plan(_fold(_document(weights=weights)), 30.0)
        return plan.needs_by_pool["a"].needed or 0

    low_cost = needed(model.Weights(buffer_cost=4.0))
    assert low_cost < needed(model.Weights(short_wait=4.0))


def test_history_starts_over_when_a_shortage_ends() -> None:
    """Guards against two short shortages that count as one long one."""

    def need(has: int, needed: int | None) -> dict[str, planner.PoolNeed]:
        return {"a": planner.PoolNeed("a", has, needed, needed, 0.0, ())}

    history = planner.update_history(planner.History(), need(4, 6), 10.0)
    history = planner.update_history(history, need(4, 6), 40.0)
    assert history.short_since_by_pool == {"a": 10.0}
    history = planner.update_history(history, need(6, 6), 41.0)
    history = planner.update_history(history, need(4, 6), 42.0)
    assert history.short_since_by_pool == {"a": 42.0}
    # With unknown demand there is neither a shortage nor a surplus.
    history = planner.update_history(history, need(9, None), 43.0)
    assert history == planner.History({}, {})


def test_borrowed_hosts_are_spread_over_failure_domains() -> None:
    """Guards against borrowed hosts that all are in one data centre."""
    fold = _fold(_document(min_available=1))
    first = _plan(fold, 48.0).moves[0].host_id
    _move(fold, first, "c", "a")
    second = _plan(fold, 48.0).moves[0].host_id
    assert first[:4] != second[:4]


def test_explanations_state_what_a_pool_waits_for() -> None:
    """Guards against explanations that do not say why no host moves."""
    fold = _fold(_document())
    history = planner.History({"a": -30.0}, {})
    explained = _plan(fold, 40.0, history=history).explanations_by_pool["a"]
    assert explained.state == "short"
    assert explained.waits_for == "the shortage to last 60 s, 30 s so far"
    unknown = _plan(fold, 40.0, age_s=math.inf).explanations_by_pool["a"]
    assert unknown.state == "unknown"
    old = _plan(fold, 40.0, list_age_s=31.0).explanations_by_pool["a"]
    assert old.code == codes.ResultCode.HOST_LIST_STALE
    assert dataclasses.is_dataclass(old)
