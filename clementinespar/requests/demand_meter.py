"""Smoothed demand of one service, as measured by the owner of its queue."""

import math

# Peaks last a few seconds and are absorbed by the queue; host moves follow the demand
# averaged over many peaks.
SMOOTHING_S = 60.0


class DemandMeter:
    """Exponentially smoothed number of demanded slots and rate of refusals."""

    _mean_slots: float
    _refused_per_s: float
    _current_slots: float  # demand since the last update
    _updated_at: float  # event-loop time

    def __init__(self, now: float) -> None:
        self._mean_slots = 0.0
        self._refused_per_s = 0.0
        self._current_slots = 0.0
        self._updated_at = now

    def set_level(self, slots: float, now: float) -> None:
        """Set the demand that holds from now until the next call."""
        self._advance(now)
        self._current_slots = slots

    def record_refusal(self, now: float) -> None:
        """Count a refusal for lack of capacity."""
        self._advance(now)
        self._refused_per_s += 1.0 / SMOOTHING_S

    def read(self, now: float) -> tuple[float, float]:
        """Return the smoothed slots and refusals per second."""
        self._advance(now)
        return self._mean_slots, self._refused_per_s

    def _advance(self, now: float) -> None:
        decay = math.exp(-max(0.0, now - self._updated_at) / SMOOTHING_S)
        self._mean_slots = self._current_slots + decay * (
            self._mean_slots - self._current_slots
        )
        self._refused_per_s *= decay
        self._updated_at = now
