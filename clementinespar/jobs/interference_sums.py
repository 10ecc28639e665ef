"""Decaying sums from which interference between images is estimated."""

import dataclasses
import math
from collections.abc import Iterable

EVIDENCE_S = 10.0  # time constant with which evidence is forgotten
# A longer time without an observation counts as this much, so that images that run
# rarely are not forgotten between two runs.
MAX_GAP_S = 0.5
RESCALE_S = 300.0  # of evidence, after which weights are made small again
PRIOR_SD = 0.15  # of an effect
NOISE_VARIANCE_MIN = 0.01
MIN_CAUSE_SCORE = 3.0  # standard deviations from none, to be a prior of other pairs
SENSITIVITY_MAX = 3.0
SENSITIVITY_WEIGHT = 2.0  # of the assumption that all victims suffer alike
WORKER_WEIGHT = 5.0  # of the assumption that a worker is as fast as the others
MIN_WORKER_IMAGES = 2  # a worker is slow only if it is slow for several images
MAX_WITNESSES = 6  # workers and jobs that are kept for each pair
WITNESS_WEIGHT = 0.3  # weight of the newest observation in the mean of a witness
SHOWN_SHARE = 1 / 3  # of the effect, for a worker or job to count as showing it


@dataclasses.dataclass(slots=True)
class Victim:
    """Sums over all observations of one image.

    Instead of decaying the sums, newer observations weigh more: by
    ``exp((clock - origin) / EVIDENCE_S)``. So an observation updates no other sums.
    """

    updated_at: float
    clock: float = 0.0  # seconds of evidence so far
    origin: float = 0.0  # clock at which an observation has weight 1
    scale: float = 1.0  # weight of an observation now
    weight: float = 0.0
    sum_y: float = 0.0  # without the effects of verdicts
    sum_yy: float = 0.0
    # Of the deviations from the mean on those that the causes explain.
    sum_dg: float = 0.0
    sum_gg: float = 0.0

    def advance(self, now: float) -> None:
        """Advance the clock to the time of an observation."""
        self.clock += min(MAX_GAP_S, now - self.updated_at)
        self.updated_at = now
        if self.clock - self.origin > RESCALE_S:
            factor = math.exp((self.origin - self.clock) / EVIDENCE_S)
            self.origin = self.clock
            self.weight *= factor
            self.sum_y *= factor
            self.sum_yy *= factor
            self.sum_dg *= factor
            self.sum_gg *= factor
        self.scale = math.exp((self.clock - self.origin) / EVIDENCE_S)

    def sensitivity(self) -> float:
        """Return how much this image suffers, relative to all victims."""
        assumed = SENSITIVITY_WEIGHT * NOISE_VARIANCE_MIN * self.scale
        share = (self.sum_dg + assumed) / (self.sum_gg + assumed)
        return min(SENSITIVITY_MAX, max(0.0, share))


@dataclasses.dataclass(slots=True)
class Pair:
    """Sums over the observations of a victim beside one image, in its weights."""

    origin: float  # of the victim
    updated_at: float
    weight: float = 0.0
    sum_x: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0  # `y` without the effects of other verdicts
    sum_own: float = 0.0  # effect of this pair's verdict, taken out of the victim's sum
    # Mean figure and exposure by worker and by job, the newest last.
    workers: dict[str, tuple[float, float]] = dataclasses.field(default_factory=dict)
    jobs: dict[str, tuple[float, float]] = dataclasses.field(default_factory=dict)
    effect: float = 0.0  # of the verdict; 0: there is none
    deviation: float = 0.0  # standard deviation of the effect
    # Since the last summary: observations, and the sums of their deviations from the
    # mean and of their exposures.
    new_count: int = 0
    new_deviation: float = 0.0
    new_exposure: float = 0.0

    def rescale(self, origin: float) -> None:
        """Convert the sums to the weights of the victim's new origin."""
        # The clock starts again if the victim was dropped meanwhile.
        age_s = origin - self.origin
        factor = math.exp(-age_s / EVIDENCE_S) if age_s > 0 else 0.0
        self.origin = origin
        self.weight *= factor
        self.sum_x *= factor
        self.sum_xx *= factor
        self.sum_xy *= factor
        self.sum_own *= factor


@dataclasses.dataclass(slots=True)
class Cause:
    """Decaying sums over the observations of all victims beside one image."""

    updated_at: float
    sum_xx: float = 0.0
    sum_xd: float = 0.0
    effect: float = 0.0  # 0 unless it is certain

    def add(self, x: float, deviation: float, now: float) -> None:
        """Add the deviation of a victim from its mean at an exposure."""
        gap = now - self.updated_at
        if gap:
            factor = math.exp((-gap if gap < MAX_GAP_S else -MAX_GAP_S) / EVIDENCE_S)
            self.updated_at = now
            self.sum_xx *= factor
            self.sum_xd *= factor
        self.sum_xx += x * x
        self.sum_xd += x * deviation

    def update_effect(self, noise: float) -> None:
        """Set the effect, given the variance of the deviations."""
        noise = max(NOISE_VARIANCE_MIN, noise)
        score = self.sum_xd / math.sqrt(noise * max(self.sum_xx, 1e-9))
        self.effect = 0.0
        if score >= MIN_CAUSE_SCORE:
            self.effect = self.sum_xd / (self.sum_xx + noise * PRIOR_SD**-2)


@dataclasses.dataclass(slots=True)
class Speed:
    """Decaying mean of how much slower than usual the tasks of some workers run."""

    updated_at: float
    weight: float = 0.0
    sum_d: float = 0.0
    images: dict[str, None] = dataclasses.field(default_factory=dict)  # newest last

    def add(self, image: str, deviation: float, now: float) -> None:
        """Add the deviation of a logarithmic run time from the mean of its image."""
        gap = min(MAX_GAP_S, now - self.updated_at)
        factor = math.exp(-gap / EVIDENCE_S) if gap else 1.0
        self.updated_at = now
        self.weight = self.weight * factor + 1.0
        self.sum_d = self.sum_d * factor + deviation
        if image not in self.images:
            if len(self.images) >= MIN_WORKER_IMAGES:
                del self.images[next(iter(self.images))]
            self.images[image] = None

    def offset(self) -> float:
        """Return the logarithm of the slow-down, shrunk towards none."""
        if len(self.images) < MIN_WORKER_IMAGES:
            return 0.0
        return self.sum_d / (self.weight + WORKER_WEIGHT)


def add_witness(
    witnesses: dict[str, tuple[float, float]], name: str, y: float, x: float
) -> None:
    """Add an observation to the means of a worker or a job, and drop the oldest one."""
    known = witnesses.pop(name, None)
    if known is None:
        if len(witnesses) >= MAX_WITNESSES:
            del witnesses[next(iter(witnesses))]
    else:
        y = known[0] + WITNESS_WEIGHT * (y - known[0])
        x = known[1] + WITNESS_WEIGHT * (x - known[1])
    witnesses[name] = (y, x)


def count_showing(
    witnesses: Iterable[tuple[float, float]], base: float, effect: float
) -> int:
    """Return how many workers or jobs show an effect above the figure without it."""
    return sum(1 for y, x in witnesses if y - base >= SHOWN_SHARE * effect * x)
