"""The stored record of the peaks, by which the next owner of the fleet goes on.

The record has one entry for each pool. An older build ignores the fields `height`,
`began_ms` and `starts_ms`; if they are absent, nothing has been learnt. Times are
stored as Unix ms, since each node has its own event-loop clock.
"""

import math
from collections.abc import Mapping

from clementinespar.jobs import capacity, peaks

MAX_CLOCK_SKEW_S = 1.0  # a start further in the future is not used


def encode(
    states: Mapping[str, capacity.PeakState], turns: peaks.Turns, offset_s: float
) -> dict[str, object]:
    """Return the state of the peaks to store for the next owner.

    Parameters
    ----------
    states : mapping of str to capacity.PeakState
        State by pool name.
    turns : peaks.Turns
        Starts of the newest peaks.
    offset_s : float
        Unix time at which the event-loop clock was 0; constant for an owner, so that
        the record changes with the state only.
    """
    ended = sorted(
        (name for name, state in states.items() if state.peak_ended_at is not None),
        key=lambda name: states[name].peak_ended_at or 0.0,
    )
    record: dict[str, object] = {}
    for name, state in sorted(states.items()):
        fields: dict[str, object] = {
            "home": state.home_hosts,
            "peaking": state.is_peaking,
            "rank": ended.index(name) if name in ended else -1,
        }
        began_at = state.height.began_at
        if state.height.last is not None:
            fields["height"] = round(state.height.last, 3)
        if state.is_peaking and began_at is not None:
            fields["began_ms"] = round(1000 * (began_at + offset_s))
        starts_ms = [
            round(1000 * (at + offset_s))
            for at, pool in turns.starts
            if pool == name and at != began_at  # else stored as `began_ms`
        ]
        if starts_ms:
            fields["starts_ms"] = starts_ms
        record[name] = fields
    return record


def restore_state(
    fields: Mapping[str, object], now: float, offset_s: float
) -> capacity.PeakState:
    """Return the state of a pool's peaks that the previous owner has stored.

    Raises
    ------
    ValueError, KeyError, TypeError, AttributeError
        The fields are unreadable.
    """
    rank = _read_number(fields["rank"])
    state = capacity.PeakState(
        home_hosts=int(_read_number(fields["home"])),
        is_peaking=bool(fields["peaking"]),
        # Only the order in which the peaks ended matters.
        peak_ended_at=now + 1e-3 * rank if rank >= 0 else None,
    )
    if "height" in fields:
        state.height.last = _read_number(fields["height"])
    if state.is_peaking and "began_ms" in fields:
        began_at = _read_number(fields["began_ms"]) / 1000 - offset_s
        state.height.begin(min(began_at, now))
    return state


def restore_starts(
    fields: Mapping[str, object], now: float, offset_s: float
) -> list[float]:
    """Return the starts of a pool's peaks, as event-loop times.

    Raises
    ------
    ValueError, TypeError
        The fields are unreadable.
    """
    starts_ms = fields.get("starts_ms", [])
    if not isinstance(starts_ms, list):
        raise TypeError("starts_ms is not a list")
    starts = [_read_number(value) / 1000 - offset_s for value in starts_ms]
    return [at for at in starts if at <= now + MAX_CLOCK_SKEW_S]


def _read_number(value: object) -> float:
    """Return a finite number."""
    if not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"not a number: {value!r}")
    return float(value)
