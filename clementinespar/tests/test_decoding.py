"""Tests of the decoder of JSON from other programs."""

import json
import math

import pytest
from hypothesis import given, strategies

from clementinespar import decoding

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**100), 2**100)
    | strategies.floats(-1e30, 1e30)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner)
    ),
    max_leaves=20,
)


@given(VALUES)
def test_value_survives(value: object) -> None:
    """Guards against a valid message that is refused or changed."""
    assert decoding.parse_json(json.dumps(value).encode()) == value


@given(strategies.binary() | VALUES.map(lambda value: repr(value).encode()))
def test_any_bytes_are_decoded_or_refused(data: bytes) -> None:
    """Guards against an error that the readers of messages do not expect."""
    try:
        decoding.parse_json(data)
    except decoding.DecodingError as error:
        assert len(decoding.describe_error(error)) < 1_000


@pytest.mark.parametrize(
    "data",
    [
        b"[" * 1_000 + b"]" * 1_000,
        b"[" * 200_000,
        b"1e999",
        b'{"a": [-1e400]}',
        b"NaN",
        b"-Infinity",
        b"1" + b"0" * 400,
        b"[1,\n-2.5E+999]",
        b'{"a":1e0400}',
        b"9" * 27 + b"." + b"9" * 20 + b"e99",
        b"1" * 5_000,
        b'"\\ud800"',
        b'"\xed\xa0\x80"',
        b'{"\\udc00": 1}',
    ],
)
def test_value_that_breaks_later_steps_is_refused(data: bytes) -> None:
    """Guards against values that pass the decoder and raise where they are used."""
    with pytest.raises(decoding.DecodingError):
        decoding.parse_json(data)


def test_numbers_can_be_multiplied() -> None:
    """Guards against an overflow in the estimate of the work of a job."""
    value = decoding.parse_json(b"1" + b"0" * 38)
    assert math.isfinite(float(value) ** 7)
