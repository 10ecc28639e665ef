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
    observations: list[tuple[float, bool]],
    *,
    is_failed: bool = False,
    is_out: bool = False,
    returned_at_s: float | None = None,
) -> tuple[bool, bool]:
    """Process lists of given times; return whether the host failed and recovered."""
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
    for at_s, is_listed in observations:
        host = fold.state.pools.hosts_by_id[_A[0]]
        if at_s == returned_at_s and host.out is not None:
            for step in (messages.HostMoved, messages.HostReturned):
                operation_id = host.out.operation_id
                fold.add(step, host_id=_A[0], operation_id=operation_id)
        host_list = fleets.full_list(_DOCUMENT, fleets.EPOCH_MS + int(at_s * 1000))
        if not is_listed:
            del host_list.hosts_by_id[_A[0]]
        findings = detector.examine(host_list, fold.state.pools.hosts_by_id)
        failed = failed or _A[0] in findings.failed_ids
        recovered = recovered or _A[0] in findings.recovered_ids
        assert set(findings.failed_ids) <= {_A[0]}
    return failed, recovered


def _every(seconds: range, is_listed: bool) -> list[tuple[float, bool]]:
    return [(float(second), is_listed) for second in seconds]


@pytest.mark.parametrize(
    ("observations", "expected"),
    [
        (_every(range(10), False), False),  # absences shorter than the bound
        (_every(range(20), False), True),
        (_every(range(10), False) + _every(range(10, 20), True), False),
        # The same list read repeatedly counts as one observation.
        ([(0.0, False)] * 100, False),
        # The time between lists that are too far apart does not count.
        ([(0.0, False), (60.0, False)], False),
        # Lists that are older than the last one have no effect.
        ([(20.0, True), *_every(range(19), False)], False),
    ],
)
def test_missing_host_fails(
    observations: list[tuple[float, bool]], expected: bool
) -> None:
    """Guards against failures that are missed or reported after a short absence."""
    assert _examine(observations) == (expected, False)


def test_rebooting_host_may_be_missing_for_longer() -> None:
    """Guards against reboots that are recorded as failures."""
    assert _examine(_every(range(600), False), is_out=True) == (False, False)
    assert _examine(_every(range(1000), False), is_out=True) == (True, False)


@pytest.mark.parametrize(("listed_at_s", "expected"), [(310, False), (320, True)])
def test_absence_in_a_reboot_does_not_count_after_it(
    listed_at_s: int, expected: bool
) -> None:
    """Guards against failures recorded because the list lags behind a host's return."""
    observations = [*_every(range(listed_at_s), False), (float(listed_at_s), True)]
    assert _examine(observations, is_out=True, returned_at_s=300.0) == (expected, False)


@pytest.mark.parametrize(
    ("observations", "expected"),
    [
        (_every(range(20), True), False),
        (_every(range(40), True), True),
        # Guards against a flapping host that counts as recovered.
        ([(float(s), s % 20 < 18) for s in range(100)], False),
    ],
)
def test_listed_host_recovers(
    observations: list[tuple[float, bool]], expected: bool
) -> None:
    """Guards against failed hosts that never count as recovered, or do so too early."""
    assert _examine(observations, is_failed=True) == (False, expected)


def test_empty_list_fails_no_host() -> None:
    """Guards against an empty list by which all hosts of the fleet count as failed."""
    detector = failures.FailureDetector()
    fold = fleets.Fold()
    fold.publish(_DOCUMENT)
    for second in range(60):
        empty = platform_service.HostList(fleets.EPOCH_MS + second * 1000, {})
        findings = detector.examine(empty, fold.state.pools.hosts_by_id)
        assert findings == failures.Findings()


@pytest.mark.parametrize(
    ("age_s", "behind_s", "expected"), [(5.0, 40, 40.0), (50.0, 40, 50.0)]
)
def test_list_that_lags_behind_the_log_is_old(
    age_s: float, behind_s: int, expected: float
) -> None:
    """Guards against an old list that counts as new because it was read just now."""
    host_list = fleets.full_list(_DOCUMENT, fleets.EPOCH_MS)
    source = fleets.FixedHostList(host_list, age_s)
    log_time_ms = fleets.EPOCH_MS + behind_s * 1000
    assert availability.list_age_s(source, log_time_ms) == expected


def test_observation_combines_list_and_ejections() -> None:
    """Guards against an ejected or missing host that counts as available."""
    fold = fleets.Fold()
    fold.publish(_DOCUMENT)
    host_list = fleets.full_list(_DOCUMENT, fleets.EPOCH_MS)
    del host_list.hosts_by_id[_A[0]]
    observation = availability.observe(
        fold.state.pools, fleets.FixedHostList(host_list, 40.0), {_A[1]}, 0
    )
    assert observation.unavailable_by_host_id == {_A[0]: "missing", _A[1]: "ejected"}
    limits = model.Maintenance(host_list_max_age_s=30)
    code = availability.check_list_age(limits, observation)
    assert code == codes.ResultCode.HOST_LIST_STALE
