"""Unique identifiers that carry their time of issue."""

import secrets
import time

_RANDOM_BYTES = 10  # 80 bits: no collision within any retention window
_MAX_DIGITS = 15  # a caller may send thousands of digits, on which int() raises


def new_id(issued_ms: int | None = None) -> str:
    """Return a unique id of the form ``<issued_ms>-<random hex>``.

    Parameters
    ----------
    issued_ms : int, optional
        Time of issue in milliseconds of wall time; the current time by default.
    """
    if issued_ms is None:
        issued_ms = time.time_ns() // 1_000_000
    return f"{issued_ms}-{secrets.token_hex(_RANDOM_BYTES)}"


def parse_issued_ms(identifier: str) -> int | None:
    """Return the time of issue in an id, or None if it has none."""
    head, separator, tail = identifier.partition("-")
    if not separator or not tail or len(head) > _MAX_DIGITS:
        return None
    if not head.isascii() or not head.isdigit():
        return None
    return int(head)
