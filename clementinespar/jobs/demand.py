"""Measured demand on an owner: run times by image, and the rate of arriving work."""

import math

from clementinespar.jobs import model

NEWEST_WEIGHT = 0.15  # weight of the newest run time in the mean
RATE_WINDOW_S = 0.8  # time constant of the arrival rate


class RunTimes:
    """Mean run time of the tasks of each image."""

    _mean_ms_by_image: dict[str, float]

    def __init__(self) -> None:
        self._mean_ms_by_image = {}

    def add(self, spec: model.StepSpec, took_ms: float) -> None:
        """Add the run time of a task that ended as done, in ms."""
        if not spec.image:
            return
        mean = self._mean_ms_by_image.get(spec.image, spec.estimate_ms or took_ms)
        self._mean_ms_by_image[spec.image] = mean + NEWEST_WEIGHT * (took_ms - mean)

    def estimate_ms(self, spec: model.StepSpec) -> float:
        """Return the expected run time of one task, in ms."""
        return self._mean_ms_by_image.get(spec.image, float(spec.estimate_ms))


class ArrivalRate:
    """Exponentially decaying rate of arriving work, in core-seconds per second."""

    _rate: float
    _jobs: float
    _updated_at: float

    def __init__(self) -> None:
        self._rate = 0.0
        self._jobs = 0.0
        self._updated_at = 0.0

    def add(self, core_seconds: float, now: float) -> None:
        """Add the work of a job that arrives now."""
        self._rate = self.read(now) + core_seconds / RATE_WINDOW_S
        self._jobs = self.read_jobs(now) + 1
        self._updated_at = now

    def read(self, now: float) -> float:
        """Return the rate at an event-loop time."""
        return self._rate * math.exp((self._updated_at - now) / RATE_WINDOW_S)

    def read_jobs(self, now: float) -> float:
        """Return the number of recent jobs, which decays as the rate does.

        A single large job raises the rate as much as the start of a peak does.
        """
        return self._jobs * math.exp((self._updated_at - now) / RATE_WINDOW_S)
