"""Decoder of JSON from other programs, with limits on what it accepts.

Other writers share the store with the operators and the workers, and any server may
answer at an address that they name. A value that this module returns can be converted
and compared without an error beyond `ERRORS`.
"""

from typing import Any

import pydantic_core

MAX_NUMBER = 2.0**128  # products of seven such numbers are finite as floats
_MAX_ERROR_LENGTH = 300  # characters of an error in a log line


class DecodingError(ValueError):
    """A message or a record cannot be decoded."""


# What decoding a value of another program, or converting its fields, may raise.
ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    IndexError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)


def parse_json(data: bytes) -> Any:
    """Return the value of a JSON text.

    Raises
    ------
    DecodingError
        The text is not JSON in UTF-8, is nested more than 200 levels deep, or has a
        number above `MAX_NUMBER`.
    """
    try:
        value = pydantic_core.from_json(data, allow_inf_nan=False)
    except ValueError as error:
        raise DecodingError(str(error)) from error
    _check_numbers(value)
    return value


def parse_object(data: bytes) -> dict[str, Any]:
    """Return the fields of a JSON object; raises as `parse_json`."""
    value = parse_json(data)
    if not isinstance(value, dict):
        raise DecodingError(f"expected an object, not {type(value).__name__}")
    return value


def describe_error(error: BaseException) -> str:
    """Return an error for a log line; parts of the input that it quotes are cut."""
    text = repr(error)
    if len(text) > _MAX_ERROR_LENGTH:
        return text[:_MAX_ERROR_LENGTH] + "..."
    return text


def _check_numbers(value: object) -> None:
    # Exact types are enough for what the parser returns; a bool is not a number.
    kind = type(value)
    if kind is list:
        for item in value:  # type: ignore[attr-defined]
            _check_numbers(item)
    elif kind is dict:
        for item in value.values():  # type: ignore[attr-defined]
            _check_numbers(item)
    elif (kind is int or kind is float) and abs(value) > MAX_NUMBER:  # type: ignore[arg-type]
        raise DecodingError(f"a number is above {MAX_NUMBER:.0e}")
