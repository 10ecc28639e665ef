"""Tests of the wave planner."""

import random
from typing import Any

import pytest

from clementinespar import codes
from clementinespar.documents import model
from clementinespar.pools import availability, messages
from clementinespar.tests import fleets
from clementinespar.waves import planner

_A = fleets.host_ids("a", 8)
_B = fleets.host_ids("b", 4)
_POOLS = {"a": _A, "b": _B}
_DAY_MS = 86_400_000


def _fold(document: model.Document | None = None, **changes: Any) -> fleets.Fold:
    fold = fleets.Fold()
    published = document or fleets.make_document(_POOLS, **changes)
    assert fold.publish(published) == codes.ResultCode.OK
    return fold


def _plan(
    fold: fleets.Fold,
    age_s: float = 0.0,
    unavailable: dict[str, str] | None = None,
) -> planner.WavePlan:
    document = fold.state.documents.production
    assert document is not None
    return planner.plan(
        planner.Situation(
            document,
            fold.state.pools,
            fold.state.waves,
            fold.now_ms,
            availability.Observation(age_s, unavailable or {}),
        )
    )


def _apply(fold: fleets.Fold, plan: planner.WavePlan) -> None:
    """Apply the records of a plan; each must take effect."""
    for decision in plan.decisions:
        code = fold.apply(decision.to_record("test", fold.now_ms))
        assert code == codes.ResultCode.OK


def _return(fold: fleets.Fold, host_id: str) -> None:
    out = fold.state.pools.hosts_by_id[host_id].out
    assert out is not None
    code = fold.add(
        messages.HostReturned, host_id=host_id, operation_id=out.operation_id
    )
    assert code == codes.ResultCode.OK


@pytest.mark.parametrize(
    ("changes", "age_s", "code"),
    [
        ({"paused": True}, 0.0, codes.ResultCode.WAVE_PAUSED),
        ({"host_list_max_age_s": 10}, 11.0, codes.ResultCode.HOST_LIST_STALE),
        ({"min_available": {"a": 8, "b": 4}}, 0.0, codes.ResultCode.BUDGET_EXCEEDED),
    ],
)
def test_no_wave_starts(
    changes: dict[str, Any], age_s: float, code: codes.ResultCode
) -> None:
    """Guards against waves that ignore a pause, an old host list or the budget."""
    plan = _plan(_fold(**changes), age_s)
    assert (plan.starts, plan.take_outs) == ((), ())
    assert {e.code for e in plan.explanations_by_pool.values()} == {code}
    assert all(e.waits_for for e in plan.explanations_by_pool.values())


def test_pool_with_the_most_overdue_host_goes_first() -> None:
    """Guards against a pool whose hosts exceed the interval while others go first."""
    fold = _fold()
    for host_id in _A:
        fold.state.pools.hosts_by_id[host_id].maintained_ms = fold.now_ms - 30 * _DAY_MS
    for host_id in _B:
        fold.state.pools.hosts_by_id[host_id].maintained_ms = fold.now_ms - 27 * _DAY_MS
    most_overdue = fold.state.pools.hosts_by_id[_B[2]]
    most_overdue.maintained_ms = fold.now_ms - 40 * _DAY_MS
    [start] = _plan(fold).starts
    assert (start.pool, start.host_ids[0]) == ("b", _B[2])
    assert _plan(fold).explanations_by_pool["a"].waits_for
    most_overdue.maintained_ms = fold.now_ms
    [start] = _plan(fold).starts
    assert start.pool == "a"


def test_take_outs_are_spread_over_failure_domains() -> None:
    """Guards against a wave that takes its hosts out of one data centre only."""
    fold = _fold(max_wave_hosts=8, max_out_per_data_centre=8, max_out_per_rack=8)
    _apply(fold, _plan(fold))
    _apply(fold, _plan(fold))
    _apply(fold, _plan(fold))
    out = [h for h in fold.state.pools.hosts_by_id.values() if h.out is not None]
    assert len({host.data_centre for host in out}) == 2


@pytest.mark.parametrize(
    ("survive", "min_available", "expected"),
    [("none", 4, 4), ("rack", 4, 2), ("data_centre", 3, 2), ("data_centre", 6, 1)],
)
def test_hosts_out_leave_room_for_the_loss_of_a_domain(
    survive: str, min_available: int, expected: int
) -> None:
    """Guards against take-outs after which the loss of a domain breaks the budget."""
    # Eight hosts: four in each data centre, two in each rack.
    fold = _fold(
        min_available=min_available if min_available < 5 else {"a": 6, "b": 4},
        survive=survive,
        max_wave_hosts=8,
        max_out_per_data_centre=8,
        max_out_per_rack=8,
    )
    _apply(fold, _plan(fold))
    for _ in range(8):
        _apply(fold, _plan(fold))
    out = [h for h in fold.state.pools.hosts_of("a") if h.out is not None]
    assert len(out) == expected


def test_observed_unavailability_counts_in_the_budget() -> None:
    """Guards against maintenance on top of ejected and missing hosts."""
    fold = _fold(min_available={"a": 6, "b": 4}, max_wave_hosts=8)
    _apply(fold, _plan(fold))
    assert len(_plan(fold).take_outs) == 1
    plan = _plan(fold, unavailable={_A[6]: "ejected", _A[7]: "missing"})
    assert plan.take_outs == ()
    explained = plan.explanations_by_pool["a"]
    assert explained.code == codes.ResultCode.BUDGET_EXCEEDED
    assert "6 of 8 hosts are in service and 6 must stay" in explained.because[0]


def test_wave_over_its_time_limit_is_given_up() -> None:
    """Guards against a wave that blocks the waves of other pools without end."""
    fold = _fold(min_available={"a": 6, "b": 4}, max_wave_hosts=8)
    _apply(fold, _plan(fold))
    _apply(fold, _plan(fold))
    [host_out] = [h for h in fold.state.pools.hosts_by_id.values() if h.out is not None]
    fold.add(messages.HostFailed, host_id=host_out.host_id)
    fold.now_ms += planner.WAVE_LIMIT_MS + 1
    [end] = _plan(fold).ends
    assert end.reason.startswith("given up after 12 h")


def test_wave_ends_without_hosts_that_failed_or_left() -> None:
    """Guards against a wave that waits without end for a host that failed."""
    fold = _fold(max_wave_hosts=2)
    _apply(fold, _plan(fold))
    wave = fold.state.waves.waves_by_pool["a"]
    first, second = wave.host_ids
    fold.add(messages.HostFailed, host_id=first)
    _apply(fold, _plan(fold))
    fold.now_ms += 1000
    _return(fold, second)
    [end] = _plan(fold).ends
    assert end.reason == f"all hosts done except: {first} failed"


def test_every_host_is_maintained_once_in_28_days() -> None:
    """Guards against hosts that are maintained too late or too often."""
    # A tenth of the planned fleet, with its failure rate, for two intervals.
    rng = random.Random(1)
    pools = {f"p{i:02}": fleets.host_ids(f"p{i:02}x", 3, 3, 1) for i in range(36)}
    fold = _fold(
        fleets.make_document(pools, min_available=2, survive="none", every_days=28)
    )
    began_ms = fold.now_ms
    step_ms = _DAY_MS // 48
    hosts = fold.state.pools.hosts_by_id
    out_since: dict[str, int] = {}
    history: dict[str, list[int]] = {host_id: [] for host_id in hosts}
    while fold.now_ms < began_ms + 56 * _DAY_MS:
        fold.now_ms += step_ms
        for host_id in [i for i, since in out_since.items() if since < fold.now_ms]:
            del out_since[host_id]
            _return(fold, host_id)
            history[host_id].append(fold.now_ms)
        for host_id in hosts:
            if rng.random() < 1.5 / 48 / len(hosts):
                fold.add(messages.HostFailed, host_id=host_id)
            elif hosts[host_id].failed_since_ms is not None and rng.random() < 0.1:
                fold.add(messages.HostRecovered, host_id=host_id)
        plan = _plan(fold)
        _apply(fold, plan)
        out_since.update(
            dict.fromkeys((o.host_id for o in plan.take_outs), fold.now_ms)
        )
    for times in history.values():
        assert times[0] - began_ms <= 28 * _DAY_MS
        gaps = [
            later - earlier for earlier, later in zip(times, times[1:], strict=False)
        ]
        assert all(18 * _DAY_MS <= gap <= 28 * _DAY_MS for gap in gaps)
        assert began_ms + 56 * _DAY_MS - times[-1] <= 28 * _DAY_MS


@pytest.mark.parametrize(
    ("pool_count", "roll_out", "short_wait", "expected"),
    [(5, 0.5, 4.0, 1), (5, 1.0, 1.0, 1), (5, 3.0, 1.0, 3), (358, 1.0, 1.0, 72)],
)
def test_weights_decide_how_many_pools_run_waves(
    pool_count: int, roll_out: float, short_wait: float, expected: int
) -> None:
    """Guards against a small fleet in which the weight of roll-out has no effect."""
    document = fleets.make_document(
        {f"p{i}": [f"c1r1-p{i}"] for i in range(pool_count)},
        min_available=0,
        weights=model.Weights(roll_out=roll_out, short_wait=short_wait),
    )
    assert planner.max_running_waves(document) == expected
