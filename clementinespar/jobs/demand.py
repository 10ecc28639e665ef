"""What an owner learns of its work: run times, and the rate of arrivals."""

import math

from clementinespar.jobs import model

LEARNING_SHARE = 0.01  # weight of the newest run time; tasks of one job are alike
# Slope of measured over declared run times, both as logarithms: 0.45 over 336 jobs of a
# calm day on teranga-dakar.
DECLARED_WEIGHT = 0.45
RATE_WINDOW_S = 0.8  # time constant of the arrival rate


class RunTimes:
    """What declared run times of one pool's tasks are worth.

    Declared times scatter more than real ones, so a prediction lies between the usual
    run time and what the usual error makes of the declared one.
    """

    _log_declared: float | None  # decaying mean of the logarithms, ms
    _log_measured: float  # decaying mean of the logarithms, ms

    def __init__(self) -> None:
        self._log_declared = None
        self._log_measured = 0.0

    def note(self, spec: model.StepSpec, took_ms: float) -> None:
        """Learn from a task that ended as done."""
        if spec.estimate_ms <= 0:
            return
        declared = math.log(spec.estimate_ms)
        if self._log_declared is None:
            self._log_declared = self._log_measured = declared
        measured = math.log(max(1.0, took_ms))
        self._log_declared += LEARNING_SHARE * (declared - self._log_declared)
        self._log_measured += LEARNING_SHARE * (measured - self._log_measured)

    def estimate_ms(self, spec: model.StepSpec) -> float:
        """Return the expected run time of one task, in ms."""
        if self._log_declared is None or spec.estimate_ms <= 0:
            return float(spec.estimate_ms)
        deviation = math.log(spec.estimate_ms) - self._log_declared
        return math.exp(self._log_measured + DECLARED_WEIGHT * deviation)


class ArrivalRate:
    """Decaying average of arriving work, in core-seconds for each second."""

    _rate: float
    _noted_at: float

    def __init__(self) -> None:
        self._rate = 0.0
        self._noted_at = 0.0

    def note(self, core_seconds: float, now: float) -> None:
        """Count work that arrived now."""
        self._rate = self.read(now) + core_seconds / RATE_WINDOW_S
        self._noted_at = now

    def read(self, now: float) -> float:
        """Return the rate at a time."""
        return self._rate * math.exp((self._noted_at - now) / RATE_WINDOW_S)
