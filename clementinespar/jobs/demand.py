"""Measured demand on an owner: the rate of arriving work."""

import math

RATE_WINDOW_S = 0.8  # time constant of the arrival rate


class ArrivalRate:
    """Exponentially decaying rate of arriving work, in core-seconds per second."""

    _rate: float
    _updated_at: float

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = 0.0

    def add(self, core_seconds: float, now: float) -> None:
        """Add work that arrives now."""
        self._rate = self.read(now) + core_seconds / RATE_WINDOW_S
        self._updated_at = now

    def read(self, now: float) -> float:
        """Return the rate at an event-loop time."""
        return self._rate * math.exp((self._updated_at - now) / RATE_WINDOW_S)
