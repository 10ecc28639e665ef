"""Tests of the compression of records."""

import zlib

import pytest

from clementinespar import codes, errors, identifiers
from clementinespar.claims import messages as claim_messages
from clementinespar.duties import messages as duty_messages
from clementinespar.fleet import messages as fleet_messages
from clementinespar.log import base, records


def _claims(count: int) -> claim_messages.RequestClaims:
    return claim_messages.RequestClaims(
        record_id=identifiers.new_id(),
        issued_ms=1,
        author="node-a",
        claims=tuple(
            claim_messages.Claim(request_id=f"1-{i}", claim_id="c")
            for i in range(count)
        ),
    )


@pytest.mark.parametrize(
    ("record", "is_compressed"),
    [
        (_claims(1), False),
        (_claims(200), True),
        (
            duty_messages.DutyClaimed(
                record_id="r", issued_ms=1, author="a", duty="d", lease_ms=1
            ),
            False,
        ),
        (
            # The follower searches the log for the text of chunks.
            fleet_messages.SnapshotChunk(
                record_id="r",
                issued_ms=1,
                author="a",
                snapshot_id="s",
                as_of_offset=1,
                index=0,
                count=1,
                data="x" * 2000,
                digest="0" * 64,
            ),
            False,
        ),
    ],
)
def test_records_round_trip_through_encoding(
    record: base.Record, is_compressed: bool
) -> None:
    """Guards against a record that other nodes decode differently from its author."""
    payload = records.encode_record(record)
    assert (payload[:1] != b"{") is is_compressed
    assert records.parse_record(payload) == record


def test_record_over_the_limit_is_not_compressed() -> None:
    """Guards against appending a record that every node then refuses as too large."""
    payload = records.encode_record(_claims(40_000))
    assert len(payload) > records.MAX_RECORD_BYTES


@pytest.mark.parametrize(
    "payload",
    [
        b"x",
        b"xnot zlib",
        zlib.compress(b"not JSON"),
        zlib.compress(b'{"kind": "duty_released"}')[:-3],
        zlib.compress(b" " * (records.MAX_RECORD_BYTES + 1)),
        zlib.compress(b" " * 100_000_000),
        b" " * (records.MAX_RECORD_BYTES + 1),
    ],
)
def test_invalid_payloads_are_refused(payload: bytes) -> None:
    """Guards against a payload that stops the fold or uses unbounded memory."""
    with pytest.raises(errors.ClementinesparError) as caught:
        records.parse_record(payload)
    assert caught.value.code == codes.ResultCode.RECORD_INVALID
