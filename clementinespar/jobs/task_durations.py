"""Expected run times of tasks and steps, learnt from the runs that ended as done.

Callers' estimates are off by half or more. A task of an image is expected to take the
mean of its image. Without an image, the estimate itself is corrected: the worse it has
predicted run times so far, the more it is replaced by what tasks usually take. A step
takes as long as its longest task, so wide steps take longer than one task.
"""

import math

from clementinespar.jobs import model

NEWEST_WEIGHT = 0.15  # weight of the newest run time in the mean of an image
# Weight that an observation keeps with each later one, so that a change of the load is
# followed within a few hundred runs.
KEPT_WEIGHT = 0.998
# Observations that the callers' estimates count for before any run has ended.
PRIOR_COUNT = 20.0
PRIOR_VARIANCE = 0.25  # of the logarithms of estimates, for the same purpose
PRIOR_WIDTH = 20.0  # sum of logarithms of widths of steps whose tasks take equally long
MAX_OPEN_STEPS = 1_000  # steps of which some task has not ended


class EstimateCorrection:
    """Regression of the logarithm of run times on that of their estimates."""

    _count: float
    _sum_x: float  # x: logarithm of the estimate
    _sum_xx: float
    _sum_e: float  # e: logarithm of the run time, less that of the estimate
    _sum_xe: float

    def __init__(self) -> None:
        self._count = self._sum_x = self._sum_xx = self._sum_e = self._sum_xe = 0.0

    def add(self, estimate_ms: float, took_ms: float) -> None:
        """Add the run time of a task with an estimate; both are above 0."""
        x = math.log(estimate_ms)
        e = math.log(took_ms) - x
        self._count = self._count * KEPT_WEIGHT + 1
        self._sum_x = self._sum_x * KEPT_WEIGHT + x
        self._sum_xx = self._sum_xx * KEPT_WEIGHT + x * x
        self._sum_e = self._sum_e * KEPT_WEIGHT + e
        self._sum_xe = self._sum_xe * KEPT_WEIGHT + x * e

    def correct(self, estimate_ms: float) -> float:
        """Return the expected run time of a task with an estimate, in ms."""
        if not self._count or estimate_ms <= 0:
            return estimate_ms
        mean_x = self._sum_x / self._count
        spread = max(0.0, self._sum_xx - self._sum_x * mean_x)
        covariance = self._sum_xe - self._sum_e * mean_x
        slope = covariance / (spread + PRIOR_COUNT * PRIOR_VARIANCE)
        shift = self._sum_e / (self._count + PRIOR_COUNT)
        x = math.log(estimate_ms)
        return math.exp(x + shift + slope * (x - mean_x))


class RunTimes:
    """Expected run times of the tasks and steps of one partition."""

    _mean_ms_by_image: dict[str, float]
    _correction: EstimateCorrection
    # Number, sum and maximum of the run times of the tasks that ended, by step.
    _open_steps: dict[tuple[str, int, int], tuple[int, float, float]]
    _sum_excess: float  # of longest task over mean of a step, less 1
    _sum_width: float  # of logarithms of widths of steps

    def __init__(self) -> None:
        self._mean_ms_by_image = {}
        self._correction = EstimateCorrection()
        self._open_steps = {}
        self._sum_excess = 0.0
        self._sum_width = 0.0

    def add(self, key: model.TaskKey, spec: model.StepSpec, took_ms: float) -> None:
        """Add the run time of a task that ended as done, in ms."""
        if spec.is_lasting or took_ms <= 0:
            return
        if spec.image:
            mean = self._mean_ms_by_image.get(spec.image, spec.estimate_ms or took_ms)
            self._mean_ms_by_image[spec.image] = mean + NEWEST_WEIGHT * (took_ms - mean)
        elif spec.estimate_ms > 0:
            self._correction.add(spec.estimate_ms, took_ms)
        if spec.task_count > 1:
            self._add_to_step((key.job_id, key.occurrence, key.step), spec, took_ms)

    def _add_to_step(
        self, step: tuple[str, int, int], spec: model.StepSpec, took_ms: float
    ) -> None:
        count, total, longest = self._open_steps.pop(step, (0, 0.0, 0.0))
        count, total, longest = count + 1, total + took_ms, max(longest, took_ms)
        if count < spec.task_count:
            self._open_steps[step] = (count, total, longest)
            if len(self._open_steps) > MAX_OPEN_STEPS:
                # The oldest is of a job that was cancelled or failed.
                del self._open_steps[next(iter(self._open_steps))]
            return
        self._sum_excess = self._sum_excess * KEPT_WEIGHT + longest * count / total - 1
        self._sum_width = self._sum_width * KEPT_WEIGHT + math.log(count)

    def estimate_ms(self, spec: model.StepSpec) -> float:
        """Return the expected run time of one task, in ms."""
        if spec.image:
            return self._mean_ms_by_image.get(spec.image, float(spec.estimate_ms))
        return self._correction.correct(float(spec.estimate_ms))

    def estimate_step_ms(self, spec: model.StepSpec) -> float:
        """Return the expected run time of the longest task of a step, in ms."""
        growth = self._sum_excess / (self._sum_width + PRIOR_WIDTH)
        return self.estimate_ms(spec) * (1 + growth * math.log(max(1, spec.task_count)))
