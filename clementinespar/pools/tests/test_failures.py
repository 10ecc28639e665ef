"""Tests of the detection of failed and recovered hosts."""

import pytest

from clementinespar import codes
from clementinespar.documents import model
from clementinespar.platform import service as platform_service
from clementinespar.pools import availability, failures, messages
from clementinespar.tests import fleets

_A = fleets.host_ids("a", 4)
_DOCUMENT = fleets.make_document({"a": _A, "b": []}, min_available=0)


def _examine(
    seen: list[tuple[float, bool]],
    *,
    is_failed: bool = False,
    is_out: bool = False,
    returned_at_s: float | None = None,
) -> tuple[bool, bool]:
    """Feed lists made at some seconds; tell whether the host failed or recovered."""
    fold = fleets.Fold()
    fold.publish(_DOCUMENT)
    if is_failed:
        fold.add(messages.HostFailed, host_id=_A[0])
    if is_out:
        fold.add(
            messages.HostTakenOut, host_id=_A[0], pool="a", reason="move", to_pool="b"
        )
    detector = failures.FailureDetector()
    failed = recovered = False
    for at_s, is_listed in seen:
        host = fold.state.pools.hosts_by_id[_A[0]]
        if at_s == returned_at_s and host.out is not None:
            for step in (messages.HostMoved, messages.HostReturned):
                operation_id = host.out.operation_id
                fold.add(step, host_id=_A[0], operation_id=operation_id)
        made = fleets.full_list(_DOCUMENT, fleets.EPOCH_MS + int(at_s * 1000))
        if not is_listed:
            del made.hosts_by_id[_A[0]]
        found = detector.examine(made, fold.state.pools.hosts_by_id)
        failed = failed or _A[0] in found.failed_ids
        recovered = recovered or _A[0] in found.recovered_ids
        assert set(found.failed_ids) <= {_A[0]}
    return failed, recovered


def _every(seconds: range, is_listed: bool) -> list[tuple[float, bool]]:
    return [(float(second), is_listed) for second in seconds]


@pytest.mark.parametrize(
    ("seen", "expected"),
    [
        (_every(range(10), False), False),  # absences shorter than the bound
        (_every(range(20), False), True),
        (_every(range(10), False) + _every(range(10, 20), True), False),
        # One list without the host, read again and again, is one observation.
        ([(0.0, False)] * 100, False),
        # Nothing is known about the time without lists.
        ([(0.0, False), (60.0, False)], False),
        # Older lists that come late count for nothing.
        ([(20.0, True), *_every(range(19), False)], False),
    ],
)
def test_failure(seen: list[tuple[float, bool]], expected: bool) -> None:
    assert _examine(seen) == (expected, False)


def test_host_that_reboots_has_longer() -> None:
    # Guards against every reboot being recorded as a failure.
    assert _examine(_every(range(600), False), is_out=True) == (False, False)
    assert _examine(_every(range(1000), False), is_out=True) == (True, False)


@pytest.mark.parametrize(("listed_at_s", "expected"), [(310, False), (320, True)])
def test_absence_in_a_reboot_does_not_count_after_it(
    listed_at_s: int, expected: bool
) -> None:
    # Guards against a host recorded as failed because the list lags behind its return.
    seen = [*_every(range(listed_at_s), False), (float(listed_at_s), True)]
    assert _examine(seen, is_out=True, returned_at_s=300.0) == (expected, False)


@pytest.mark.parametrize(
    ("seen", "expected"),
    [
        (_every(range(20), True), False),
        (_every(range(40), True), True),
        # Guards against a host that comes and goes being used again.
        ([(float(s), s % 20 < 18) for s in range(100)], False),
    ],
)
def test_recovery(seen: list[tuple[float, bool]], expected: bool) -> None:
    assert _examine(seen, is_failed=True) == (False, expected)


def test_empty_list_fails_no_host() -> None:
    # Guards against a faulty list that takes the whole fleet out of use.
    detector = failures.FailureDetector()
    fold = fleets.Fold()
    fold.publish(_DOCUMENT)
    for second in range(60):
        empty = platform_service.HostList(fleets.EPOCH_MS + second * 1000, {})
        found = detector.examine(empty, fold.state.pools.hosts_by_id)
        assert found == failures.Findings()


@pytest.mark.parametrize(
    ("age_s", "behind_s", "expected"), [(5.0, 40, 40.0), (50.0, 40, 50.0)]
)
def test_list_that_lags_behind_the_log_is_old(
    age_s: float, behind_s: int, expected: float
) -> None:
    # Guards against a list that was read just now but made long before.
    made = fleets.full_list(_DOCUMENT, fleets.EPOCH_MS)
    source = fleets.FixedHostList(made, age_s)
    log_time_ms = fleets.EPOCH_MS + behind_s * 1000
    assert availability.list_age_s(source, log_time_ms) == expected


def test_observation_combines_list_and_ejections() -> None:
    fold = fleets.Fold()
    fold.publish(_DOCUMENT)
    made = fleets.full_list(_DOCUMENT, fleets.EPOCH_MS)
    del made.hosts_by_id[_A[0]]
    observed = availability.observe(
        fold.state.pools, fleets.FixedHostList(made, 40.0), {_A[1]}, 0
    )
    assert observed.unavailable_by_host_id == {_A[0]: "missing", _A[1]: "ejected"}
    limits = model.Maintenance(host_list_max_age_s=30)
    code = availability.check_list_age(limits, observed)
    assert code == codes.ResultCode.HOST_LIST_STALE
