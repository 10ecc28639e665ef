"""Expected peaks of pools: how many hosts a peak needs, and when the next one begins.

The arrival rate needs 2 to 3 s to show a peak, and a host that moves is out for over
2 s more, so hosts that are ordered for measured demand miss the first half of a peak.
The heights and starts of earlier peaks are known when a peak begins.
"""

import dataclasses
import statistics
from collections.abc import Iterable

# Measured demand shows a peak in full after this time. What is over sooner is a burst:
# the rate shows a burst of a second for up to 2 s.
RELIABLE_S = 2.5
RAMP_S = 1.5  # readings since the start of a peak that are too low, since the rate lags
MIN_READINGS = 4  # a second, for a height
MAX_READINGS = 120  # 30 s: with many lasting tasks, a peak may not end for long
LOW_SHARE = 0.6  # measured demand below this share of the expected is a wrong height

MIN_GAPS = 3  # between starts of peaks, for a forecast
MAX_GAP_SPREAD = 1 / 3  # of their median
MAX_START_ERROR_S = 1.5
# A host moves for 1.5 s, its worker registers within 0.8 s, and a tick takes 0.25 s.
LEAD_S = 1.5 + 0.8 + 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class PeakEvent:
    """What has been learnt, expected or found to be wrong, for the log.

    Attributes
    ----------
    subject : str
        ``height`` or ``start``.
    outcome : str
        ``learnt``, ``made``, ``met`` or ``dropped``.
    error : float or None
        Measured less expected: a share of the home size, or seconds.
    """

    subject: str
    outcome: str
    pool: str
    value: float
    error: float | None = None


@dataclasses.dataclass(slots=True)
class PeakHeight:
    """Height of the peaks of one pool, in multiples of its home size.

    Times are event-loop times.
    """

    last: float | None = None  # of the newest peak that has ended
    began_at: float | None = None  # of the current peak
    is_expectation_set: bool = False  # for the current peak
    expected: float = 0.0  # of the current peak; 0 if no height is known
    is_dropped: bool = False  # measured demand has shown that `expected` is wrong
    is_confirmed: bool = False  # the current peak is not a burst
    is_low: bool = False  # measured demand has not been that of a peak
    is_over: bool = False
    readings: list[float] = dataclasses.field(default_factory=list)

    def begin(self, now: float) -> None:
        """Begin a peak."""
        self.began_at = now
        self.is_expectation_set = False
        self.expected = 0.0
        self.is_dropped = False
        self.is_confirmed = False
        self.is_low = False
        self.is_over = False
        self.readings = []

    def newest(self) -> float | None:
        """Return the height of the newest peak, also if it has not ended yet."""
        if self.is_confirmed and len(self.readings) >= MIN_READINGS:
            return _find_height(self.readings)
        return self.last

    def expected_now(self, now: float) -> float:
        """Return the expected height until measured demand is reliable, then 0."""
        if self.began_at is None or now - self.began_at >= RELIABLE_S:
            return 0.0
        return 0.0 if self.is_dropped else self.expected


@dataclasses.dataclass(frozen=True, slots=True)
class StartForecast:
    """Forecast of the start of the next peak."""

    pool: str
    start_at: float  # event-loop time


@dataclasses.dataclass(slots=True)
class Turns:
    """Starts of the newest peaks of all pools, and the forecast of the next one."""

    # Event-loop time and pool of each confirmed start, oldest first.
    starts: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    forecast: StartForecast | None = None
    events: list[PeakEvent] = dataclasses.field(default_factory=list)

    def take_events(self) -> list[PeakEvent]:
        """Return the events since the last call."""
        events, self.events = self.events, []
        return events

    def is_due(self, pool: str, now: float) -> bool:
        """Whether hosts move to a pool now because of the forecast."""
        return (
            self.forecast is not None
            and self.forecast.pool == pool
            and now >= self.forecast.start_at - LEAD_S
        )


def expected_height(own: PeakHeight, others: Iterable[PeakHeight]) -> float:
    """Return the expected height of a pool's peak; 0 if no height is known.

    Parameters
    ----------
    own : PeakHeight
        Of the pool.
    others : iterable of PeakHeight
        Of the other pools, used if the pool has had no peak.
    """
    if own.last is not None:
        return own.last
    known = [height for other in others if (height := other.newest()) is not None]
    return statistics.median(known) if known else 0.0


def update_height(
    name: str,
    heights: dict[str, PeakHeight],
    reading: float,
    is_quiet: bool,
    turns: Turns,
    now: float,
) -> None:
    """Update what is known and expected of a pool's peak, from one tick.

    Parameters
    ----------
    heights : dict of str to PeakHeight
        Of all pools; that of `name` is changed in place.
    reading : float
        Measured demand of the pool in hosts, as a multiple of its home size.
    is_quiet : bool
        Whether the measured demand is below that of a peak.
    """
    height = heights[name]
    began_at = height.began_at
    if began_at is None:
        return
    if height.is_over:
        _drop_height(name, height, reading, turns)
        _end_peak(name, heights, turns)
        return
    if not height.is_expectation_set:
        height.is_expectation_set = True
        others = [other for key, other in heights.items() if key != name]
        height.expected = expected_height(height, others)
        _check_start(name, began_at, turns)
    if now - began_at >= RAMP_S and not is_quiet:
        height.readings.append(reading)
        del height.readings[:-MAX_READINGS]
    is_reliable = now - began_at >= RELIABLE_S
    # Arrivals of a real peak do not pause, so a quiet reading shows a burst.
    found = _find_height(height.readings or [reading])
    if is_quiet or (is_reliable and found < LOW_SHARE * height.expected):
        _drop_height(name, height, reading, turns)
    if is_reliable and not (is_quiet or height.is_low or height.is_confirmed):
        height.is_confirmed = True
        _add_start(name, began_at, turns)


def update_forecast(heights: dict[str, PeakHeight], turns: Turns, now: float) -> None:
    """Forecast the start of the next peak, or drop a forecast that was wrong."""
    forecast = turns.forecast
    if forecast is not None and now > forecast.start_at + MAX_START_ERROR_S:
        _drop_forecast(turns, now)
    next_pool = _find_next_pool(heights, turns)
    if turns.forecast is not None or next_pool is None:
        return
    gap = _find_gap(turns.starts)
    if gap is None:
        return
    start_at = turns.starts[-1][0] + gap
    if now <= start_at + MAX_START_ERROR_S:
        turns.forecast = StartForecast(next_pool, start_at)
        turns.events.append(PeakEvent("start", "made", next_pool, start_at - now))


def _drop_height(name: str, height: PeakHeight, reading: float, turns: Turns) -> None:
    """Drop the expected height of a peak, unless measured demand is reliable."""
    if not height.expected or height.is_dropped or height.is_confirmed:
        return
    height.is_dropped = True
    error = reading - height.expected
    turns.events.append(PeakEvent("height", "dropped", name, height.expected, error))


def _find_next_pool(heights: dict[str, PeakHeight], turns: Turns) -> str | None:
    """Return the pool that has not peaked for longest, once each has had a peak.

    The ends of peaks in `capacity.PeakState` include those of bursts.
    """
    newest = {pool: at for at, pool in turns.starts if pool in heights}
    if not newest or len(newest) < len(heights):
        return None
    pool = min(newest, key=lambda pool: newest[pool])
    return None if heights[pool].began_at is not None else pool


def _end_peak(name: str, heights: dict[str, PeakHeight], turns: Turns) -> None:
    """Learn the height of a peak that has ended, unless it was a burst."""
    height = heights[name]
    if height.is_confirmed and len(height.readings) >= MIN_READINGS:
        height.last = _find_height(height.readings)
        error = height.last - height.expected if height.expected else None
        turns.events.append(PeakEvent("height", "learnt", name, height.last, error))
    height.began_at = None
    height.is_confirmed = False
    height.readings = []
    del turns.starts[: -max(MIN_GAPS + 1, len(heights))]


def _find_height(readings: list[float]) -> float:
    """Return the upper quartile: bursts reach three times the demand of a peak."""
    if len(readings) < 2:
        return readings[0]
    return statistics.quantiles(readings, n=4, method="inclusive")[2]


def _find_gap(starts: list[tuple[float, str]]) -> float | None:
    """Return the median gap between the newest starts, or None if they do not fit."""
    newest = [at for at, _ in starts[-MIN_GAPS - 1 :]]
    if len(newest) <= MIN_GAPS:
        return None
    gaps = [b - a for a, b in zip(newest, newest[1:], strict=False)]
    median = statistics.median(gaps)
    return median if max(gaps) - min(gaps) < MAX_GAP_SPREAD * median else None


def _check_start(name: str, began_at: float, turns: Turns) -> None:
    """Compare the start of a peak with the forecast for its pool."""
    forecast = turns.forecast
    if forecast is None or forecast.pool != name:
        return
    error = began_at - forecast.start_at
    if abs(error) > MAX_START_ERROR_S:
        return  # dropped once the peak is confirmed
    turns.forecast = None
    turns.events.append(PeakEvent("start", "met", name, 0.0, error))


def _add_start(name: str, began_at: float, turns: Turns) -> None:
    """Add the start of a peak that is not a burst."""
    if turns.forecast is not None:  # it was for another pool or another time
        _drop_forecast(turns, began_at)
    turns.starts.append((began_at, name))
    turns.starts.sort()


def _drop_forecast(turns: Turns, now: float) -> None:
    """Drop a wrong forecast, and the gaps that it was made from."""
    forecast = turns.forecast
    if forecast is None:
        return
    turns.forecast = None
    turns.starts.clear()
    turns.events.append(
        PeakEvent("start", "dropped", forecast.pool, 0.0, now - forecast.start_at)
    )
