"""Tests of the fold of hosts, pools and waves."""

import dataclasses

import pytest

from clementinespar import codes
from clementinespar.documents import model
from clementinespar.pools import messages
from clementinespar.pools import state as pools_state
from clementinespar.tests import fleets
from clementinespar.waves import messages as wave_messages

_OK = codes.ResultCode.OK
_BUDGET_EXCEEDED = codes.ResultCode.BUDGET_EXCEEDED
_A = ["c0r0-a0", "c1r0-a1", "c0r1-a2", "c1r1-a3"]
_A4 = "c0r0-a4"  # in the rack of the first host
_B = ["c0r0-b0", "c1r0-b1", "c0r1-b2", "c1r1-b3"]


def _fold(**document: object) -> fleets.Fold:
    fold = fleets.Fold()
    assert fold.publish(_document(**document)) == _OK
    return fold


def _document(**changes: object) -> model.Document:
    pools: object = changes.pop("pools", {"a": _A, "b": _B})
    return fleets.make_document(pools, **changes)  # type: ignore[arg-type]


def _move(
    fold: fleets.Fold, host_id: str, pool: str = "a", to_pool: str = "b"
) -> codes.ResultCode:
    fields = {"pool": pool, "reason": "move", "to_pool": to_pool}
    return fold.add(messages.HostTakenOut, host_id=host_id, **fields)


def _maintain(fold: fleets.Fold, host_id: str, pool: str = "a") -> codes.ResultCode:
    wave = fold.state.waves.waves_by_pool.get(pool)
    return fold.add(
        messages.HostTakenOut,
        host_id=host_id,
        pool=pool,
        reason="maintenance",
        wave_id="none" if wave is None else wave.wave_id,
    )


def _start(fold: fleets.Fold, *host_ids: str, pool: str = "a") -> codes.ResultCode:
    return fold.add(wave_messages.WaveStarted, pool=pool, host_ids=host_ids)


def _host(fold: fleets.Fold, host_id: str) -> pools_state.HostState:
    return fold.state.pools.hosts_by_id[host_id]


def _out(fold: fleets.Fold, host_id: str) -> pools_state.HostOut:
    out = _host(fold, host_id).out
    assert out is not None
    return out


def _step(fold: fleets.Fold, host_id: str, step: type) -> codes.ResultCode:
    operation_id = _out(fold, host_id).operation_id
    return fold.add(step, host_id=host_id, operation_id=operation_id)


@pytest.mark.parametrize(
    ("pool", "host_ids", "paused", "expected"),
    [
        ("a", _A[:2], False, _OK),
        ("a", _A[:2], True, codes.ResultCode.WAVE_PAUSED),
        ("none", _A[:2], False, codes.ResultCode.POOL_UNKNOWN),
        ("a", [], False, codes.ResultCode.RECORD_INVALID),
        ("a", _A, False, codes.ResultCode.RECORD_INVALID),  # above max_wave_hosts
        ("a", [_A[0], _B[0]], False, codes.ResultCode.HOST_NOT_IN_POOL),
    ],
)
def test_wave_start_is_checked(
    pool: str, host_ids: list[str], paused: bool, expected: codes.ResultCode
) -> None:
    """Guards against waves that cover hosts of other pools or ignore a pause."""
    fold = _fold(max_wave_hosts=3, paused=paused)
    assert _start(fold, *host_ids, pool=pool) == expected


def test_one_wave_per_pool() -> None:
    """Guards against two waves that run in one pool at a time."""
    fold = _fold()
    assert _start(fold, _A[0]) == _OK
    assert _start(fold, _A[1]) == codes.ResultCode.WAVE_CONFLICT
    assert _start(fold, _B[1], pool="b") == _OK


def test_wave_ends_when_a_document_removes_its_pool() -> None:
    """Guards against a wave that blocks waves of a later pool with the same name."""
    fold = _fold()
    _start(fold, _A[0])
    _maintain(fold, _A[0])
    before = _out(fold, _A[0])
    fold.publish(_document(pools={"b": _A + _B}))
    assert fold.state.waves.waves_by_pool == {}
    assert fold.state.waves.finished[0].reason == "a document removed the pool"
    # The operation of the host that was out continues under a new id, in its new pool.
    after = _out(fold, _A[0])
    assert after.operation_id.startswith(f"{before.operation_id}@")
    assert after.offset > before.offset
    assert (after.is_moved, _host(fold, _A[0]).pool) == (True, "b")
    # A node that has not read the document cannot return the host.
    stale = fold.add(
        messages.HostReturned, host_id=_A[0], operation_id=before.operation_id
    )
    assert stale == codes.ResultCode.HOST_NOT_OUT
    assert _step(fold, _A[0], messages.HostReturned) == _OK
    # Hosts that were in service stay in service and are due for maintenance.
    assert _host(fold, _A[1]).is_available
    assert _host(fold, _A[1]).maintained_ms == 0


def test_maintenance_needs_the_wave_of_the_hosts_pool() -> None:
    """Guards against maintenance of a host by the wave of a pool that it has left."""
    fold = _fold()
    _start(fold, _A[0], _A[1])
    assert _maintain(fold, _A[2]) == codes.ResultCode.WAVE_UNKNOWN
    _move(fold, _A[0])
    _step(fold, _A[0], messages.HostMoved)
    assert _step(fold, _A[0], messages.HostReturned) == _OK
    wave_id = fold.state.waves.waves_by_pool["a"].wave_id
    fields = {"pool": "b", "reason": "maintenance", "wave_id": wave_id}
    code = fold.add(messages.HostTakenOut, host_id=_A[0], **fields)
    assert code == codes.ResultCode.WAVE_UNKNOWN


def test_a_pause_in_the_document_stops_a_running_wave() -> None:
    """Guards against a running wave that ignores a pause of maintenance."""
    fold = _fold()
    _start(fold, _A[0])
    fold.publish(_document(paused=True))
    assert _maintain(fold, _A[0]) == codes.ResultCode.WAVE_PAUSED


def test_move_and_maintenance_race_for_one_host() -> None:
    """Guards against two operations on one host; the first in the log wins."""
    fold = _fold()
    _start(fold, _A[0])
    revision = _host(fold, _A[0]).revision
    assert _move(fold, _A[0]) == _OK
    assert _maintain(fold, _A[0]) == codes.ResultCode.HOST_ALREADY_OUT
    _step(fold, _A[0], messages.HostMoved)
    _step(fold, _A[0], messages.HostReturned)
    late = {"reason": "move", "to_pool": "a", "host_revision": revision}
    code = fold.add(messages.HostTakenOut, host_id=_A[0], pool="b", **late)
    assert code == codes.ResultCode.HOST_REVISION_CONFLICT


def test_move_to_a_removed_pool_returns_home() -> None:
    """Guards against a host that waits without end for a pool that no longer exists."""
    fold = _fold(
        pools={"a": _A, "b": _B, "c": []}, min_available={"a": 2, "b": 2, "c": 0}
    )
    _move(fold, _A[0], to_pool="c")
    before = _out(fold, _A[0])
    fold.publish(_document())
    assert _out(fold, _A[0]).to_pool is None
    assert _out(fold, _A[0]).offset > before.offset
    assert _step(fold, _A[0], messages.HostReturned) == _OK
    assert (_host(fold, _A[0]).pool, _host(fold, _A[0]).is_available) == ("a", True)


def test_host_removed_while_out_is_still_out_when_added_again() -> None:
    """Guards against a host that counts as in service although it is still drained."""
    fold = _fold()
    _move(fold, _A[0])
    before = _out(fold, _A[0])
    fold.publish(_document(pools={"a": _A[1:], "b": _B}))
    assert _A[0] not in fold.state.pools.hosts_by_id
    fold.publish(_document())
    assert not _host(fold, _A[0]).is_available
    assert _out(fold, _A[0]).operation_id != before.operation_id
    assert fold.state.pools.removed_out_by_host_id == {}


def test_moving_host_returns_only_after_its_pool_has_changed() -> None:
    """Guards against a drained host that returns to service in its old pool."""
    fold = _fold()
    _move(fold, _A[0])
    code = _step(fold, _A[0], messages.HostReturned)
    assert code == codes.ResultCode.HOST_REVISION_CONFLICT
    assert _step(fold, _A[0], messages.HostMoved) == _OK
    assert _host(fold, _A[0]).is_lent
    # A host is no longer lent once a document names its pool as its home.
    fold.publish(_document(pools={"a": _A[1:], "b": [*_B, _A[0]]}))
    assert not _host(fold, _A[0]).is_lent


def test_failure_records_are_conditional() -> None:
    """Guards against a node that was paused and appends an outdated observation."""
    fold = _fold()
    revision = _host(fold, _A[0]).revision
    assert fold.add(messages.HostFailed, host_id=_A[0]) == _OK
    stale = fold.add(messages.HostRecovered, host_id=_A[0], host_revision=revision)
    assert stale == codes.ResultCode.HOST_REVISION_CONFLICT
    assert fold.add(messages.HostRecovered, host_id=_A[0]) == _OK


@pytest.mark.parametrize(
    ("failed", "changes", "expected"),
    [
        # Minimum of available hosts; failed hosts do not count.
        ([], {"min_available": 3}, _OK),
        ([_A[3]], {"min_available": 3}, _BUDGET_EXCEEDED),
        # Taking out a failed host does not lower availability, so it is allowed.
        ([_A[0], _A[3]], {"min_available": 3}, _OK),
        # Failure domains: one out in the rack, two in the data centre.
        ([_A[2]], {"min_available": 1}, _OK),
        ([_A[2]], {"min_available": 1, "max_out_per_data_centre": 1}, _BUDGET_EXCEEDED),
        ([_A4], {"min_available": 1, "pools": {"a": [*_A, _A4]}}, _BUDGET_EXCEEDED),
        # Loss of a data centre with two hosts after the take-out.
        ([], {"min_available": 1, "survive": "data_centre"}, _OK),
        ([_A[1]], {"min_available": 1, "survive": "data_centre"}, _OK),
        ([_A[2]], {"min_available": 1, "survive": "data_centre"}, _BUDGET_EXCEEDED),
        # The pool cannot survive the loss anyway: one host out at a time.
        ([], {"min_available": 2, "survive": "data_centre"}, _OK),
        ([_A[1]], {"min_available": 2, "survive": "data_centre"}, _BUDGET_EXCEEDED),
    ],
)
def test_budget(
    failed: list[str], changes: dict[str, object], expected: codes.ResultCode
) -> None:
    """Guards against take-outs that break the budget, and needless refusals."""
    fold = _fold(**changes)
    for host_id in failed:
        fold.add(messages.HostFailed, host_id=host_id)
    _start(fold, _A[0])
    assert _maintain(fold, _A[0]) == expected


def test_full_pool_accepts_no_lent_host() -> None:
    """Guards against a pool that grows beyond ``max_hosts`` by lent hosts."""
    fold = fleets.Fold()
    document = _document()
    full = dataclasses.replace(document.pools["b"], max_hosts=5)
    fold.publish(dataclasses.replace(document, pools=document.pools | {"b": full}))
    assert _move(fold, _A[0]) == _OK
    assert _move(fold, _A[1]) == _BUDGET_EXCEEDED


def test_records_that_mix_a_move_with_maintenance_are_refused() -> None:
    """Guards against a record that avoids the checks of its reason."""
    fold = _fold()
    _start(fold, _A[0])
    wave_id = fold.state.waves.waves_by_pool["a"].wave_id
    for reason in ("maintenance", "move"):
        fields = {"reason": reason, "to_pool": "b", "wave_id": wave_id}
        code = fold.add(messages.HostTakenOut, host_id=_A[0], pool="a", **fields)
        assert code == codes.ResultCode.RECORD_INVALID
