"""Tests of the fold at the bounds of its time windows and after errors."""

import pytest

from clementinespar import codes, identifiers
from clementinespar.claims import messages as claim_messages
from clementinespar.duties import messages as duty_messages
from clementinespar.fleet import state
from clementinespar.log import base, records, service

_START_MS = 1_700_000_000_000
OK = codes.ResultCode.OK


def fold(fleet: state.FleetState, at_ms: int, record: base.Record) -> codes.ResultCode:
    entry = service.LogEntry(
        fleet.offset + 1, _START_MS + at_ms, records.encode_record(record)
    )
    return state.apply_entry(fleet, entry)


def duty_claim(
    issued_ms: int, author: str = "node-a", record_id: str = "r", lease_ms: int = 1000
) -> duty_messages.DutyClaimed:
    return duty_messages.DutyClaimed(
        record_id=record_id,
        issued_ms=_START_MS + issued_ms,
        author=author,
        duty="waves",
        lease_ms=lease_ms,
    )


def request_claim(
    request_issued_ms: int, claim_id: str, at_ms: int
) -> claim_messages.RequestClaims:
    request_id = f"{_START_MS + request_issued_ms}-request"
    return claim_messages.RequestClaims(
        record_id=f"record-{claim_id}",
        issued_ms=_START_MS + at_ms,
        author="node-a",
        claims=(claim_messages.Claim(request_id=request_id, claim_id=claim_id),),
    )


@pytest.mark.parametrize(
    ("issued_ms", "first_code"),
    [
        (0, OK),
        (-120_000, OK),
        (-120_001, codes.ResultCode.RECORD_TOO_OLD),
        (60_000, OK),
        (60_001, codes.ResultCode.RECORD_ISSUED_AHEAD),
    ],
)
def test_no_record_applies_twice_at_any_age(
    issued_ms: int, first_code: codes.ResultCode
) -> None:
    """Guards against a late retry that applies again after its record id expired."""
    for retry_ms in (0, 119_999, 120_001, 179_999, 180_000, 180_001, 240_000, 600_000):
        fleet = state.FleetState()
        record = duty_claim(issued_ms)
        assert fold(fleet, 0, record) == first_code
        assert fleet.results_by_record_id["r"].code == first_code
        fold(fleet, retry_ms, duty_claim(retry_ms, record_id="other"))
        is_id_expired = retry_ms > 180_000
        assert ("r" not in fleet.results_by_record_id) == is_id_expired
        retries = [fold(fleet, retry_ms, record) for _ in range(2)]
        assert [first_code, *retries].count(OK) <= 1
        if not is_id_expired:
            assert retries[0] == codes.ResultCode.RECORD_DUPLICATE


def test_log_time_seen_by_records_never_decreases() -> None:
    """Guards against a second lease or claim because the log's time decreased."""
    fleet = state.FleetState()
    fold(fleet, 0, duty_claim(0, record_id="first"))
    fold(fleet, 5_000, duty_claim(5_000, "node-b", "second"))
    assert fold(fleet, 0, duty_claim(0, "node-c", "third")) != OK
    assert fleet.duties.leases_by_duty["waves"].until_ms == _START_MS + 6_000
    assert fold(fleet, 0, duty_claim(0, "node-b", "fourth", 2_000)) == OK
    assert fleet.duties.leases_by_duty["waves"].until_ms == _START_MS + 7_000


@pytest.mark.parametrize(
    ("at_ms", "code"),
    [(999, codes.ResultCode.DUTY_HELD), (1_000, OK), (1_001, OK)],
)
def test_lease_ends_when_log_time_reaches_its_end(
    at_ms: int, code: codes.ResultCode
) -> None:
    """Guards against a lease that ends a millisecond later than its holder computes."""
    fleet = state.FleetState()
    fold(fleet, 0, duty_claim(0, record_id="first"))
    assert fold(fleet, at_ms, duty_claim(at_ms, "node-b", "second")) == code


@pytest.mark.parametrize("retry_ms", [599_999, 600_000, 600_001, 660_001, 1_300_000])
@pytest.mark.parametrize("request_issued_ms", [0, 60_000])
def test_request_is_claimed_once_across_expiry(
    retry_ms: int, request_issued_ms: int
) -> None:
    """Guards against a request that is claimed again after its claim has expired."""
    fleet = state.FleetState()
    fold(fleet, 0, request_claim(request_issued_ms, "first", 0))
    request_id = f"{_START_MS + request_issued_ms}-request"
    assert fleet.claims.claims_by_request_id[request_id].claim_id == "first"
    fold(fleet, retry_ms, request_claim(request_issued_ms, "second", retry_ms))
    stored_claim = fleet.claims.claims_by_request_id.get(request_id)
    assert stored_claim is None or stored_claim.claim_id == "first"
    is_expired = retry_ms > request_issued_ms + 600_000
    assert (stored_claim is None) == is_expired


@pytest.mark.parametrize("request_issued_ms", [-600_001, 60_001])
def test_request_ids_out_of_range_cannot_be_claimed(request_issued_ms: int) -> None:
    """Guards against claims on ids that could be claimed again after they expire."""
    fleet = state.FleetState()
    fold(fleet, 0, request_claim(request_issued_ms, "first", 0))
    assert not fleet.claims.claims_by_request_id


def test_error_in_one_record_does_not_stop_the_fold(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry at which the fold of every node stops permanently."""
    fleet = state.FleetState()
    with monkeypatch.context() as patch:
        patch.setattr(
            "clementinespar.duties.state.apply_claimed", lambda *arguments: 1 // 0
        )
        code = fold(fleet, 0, duty_claim(0, record_id="first"))
    assert code == codes.ResultCode.INTERNAL_ERROR
    assert fold(fleet, 0, duty_claim(0, record_id="second")) == OK


@pytest.mark.parametrize(
    ("identifier", "issued_ms"),
    [
        ("123-x", 123),
        ("-x", None),
        ("123", None),
        ("123-", None),
        ("+12-x", None),
        ("\u0663-x", None),
        ("9" * 16 + "-x", None),
        ("9" * 5_000 + "-x", None),  # int() raises ValueError on this many digits
    ],
)
def test_issue_time_in_identifiers(identifier: str, issued_ms: int | None) -> None:
    """Guards against a caller's id that raises an error instead of being refused."""
    assert identifiers.parse_issued_ms(identifier) == issued_ms
