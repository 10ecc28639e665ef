"""Straight-line fits of measurements, with their residuals."""

import dataclasses
from collections.abc import Sequence

import numpy


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """Least-squares line ``intercept + slope * x``."""

    slope: float
    intercept: float
    residual_share: float  # largest residual over the largest value, both absolute
    exponent: float  # slope in log-log space: 1 for linear, 2 for quadratic growth

    def at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Fit a line to measurements.

    Parameters
    ----------
    xs : sequence of float, shape (n,)
        Sizes.
    ys : sequence of float, shape (n,)
        Measurements, in any unit.

    Returns
    -------
    Fit
        The line, its largest relative residual and the log-log exponent.
    """
    slope, intercept = numpy.polyfit(xs, ys, 1)
    fitted_ys = [intercept + slope * x for x in xs]
    largest = max(abs(y) for y in ys) or 1.0
    residual = max(abs(y - fitted) for y, fitted in zip(ys, fitted_ys, strict=True))
    positive = [(x, y) for x, y in zip(xs, ys, strict=True) if x > 0 and y > 0]
    exponent = 0.0
    if len(positive) > 1:
        exponent = float(
            numpy.polyfit(
                [numpy.log(x) for x, _ in positive],
                [numpy.log(y) for _, y in positive],
                1,
            )[0]
        )
    return Fit(float(slope), float(intercept), residual / largest, exponent)
