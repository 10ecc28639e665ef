"""How much the tasks of one image slow down those of another on the same worker.

A victim is the image whose figure is measured: the run time of a short task, or the
tail latency of a serving task as a share of its target. Its exposure to another image
is the number of tasks of that image beside it, each weighted by the share of the time
and by its pace. The effect of a pair is the slope of the figure over the exposure, by
least squares over all observations of the victim, shrunk towards a prior. The prior is
none, or what the other image does to all victims times how much this victim suffers.

Nothing here does input or output: `interference_sums` holds the sums, and `neighbours`
collects the evidence.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Mapping

from clementinespar.jobs import interference_sums

STALE_S = 60.0  # a verdict without evidence for this long is withdrawn
MAX_PAIRS = 2000
MAX_IMAGES = 2000
MAX_WORKERS = 500
# Figures this far from the mean of their image are clipped: on one deployment, 3% of
# the tasks take seven times as long.
CLIP = 0.7
NOISE_SHARE = 0.01  # weight of the newest observation in the variance of all
# A verdict holds for one of some thousand pairs that are tested every half second, so
# its effect has to be this many standard deviations from none. With 3, one of 16 runs
# without interference reached a wrong one; with 4, half as many right ones were found.
MIN_SCORE = 3.5
KEPT_SCORE = 1.75
MIN_EFFECT = 0.1
KEPT_EFFECT = 0.05
MIN_EXPOSURE = 5.0  # observations beside one task for all of their time
MIN_WITNESSES = 2  # workers, and jobs, that show the interference


class Measure(enum.StrEnum):  # hashed faster than other enums
    """The figure of a victim that suffers."""

    RUN_TIME = "run_time"  # logarithm of the run time
    TAIL = "tail"  # tail latency as a share of the target


WEIGHT_BY_MEASURE = {
    # Tasks of one job resemble each other.
    Measure.RUN_TIME: 0.7,
    # Reports of a serving task that follow each other share the load of that time.
    Measure.TAIL: 0.3,
}

VictimKey = tuple[Measure, str]  # image
PairKey = tuple[Measure, str, str]  # images of the victim and of the other task


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """What is known of a pair of images."""

    measure: Measure
    victim: str
    neighbour: str
    effect: float
    deviation: float
    exposure: float  # observations, weighted by time and pace
    workers: int
    jobs: int
    is_verdict: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Observations of a pair since the last summary."""

    measure: Measure
    victim: str
    neighbour: str
    count: int
    ratio: float  # mean of the figures over the mean of the image
    exposure: float  # mean
    effect: float


class InterferenceModel:
    """Estimates for the images of one pool, from a bounded amount of evidence."""

    has_verdicts: bool
    _victims: "collections.OrderedDict[VictimKey, interference_sums.Victim]"
    _pairs: "collections.OrderedDict[PairKey, interference_sums.Pair]"
    _causes: "collections.OrderedDict[VictimKey, interference_sums.Cause]"
    _workers: "collections.OrderedDict[str, interference_sums.Speed]"
    _pool: interference_sums.Speed | None  # of all workers
    _noise_by_measure: dict[Measure, float]  # variance of the deviations
    _touched: set[PairKey]
    _verdicts: dict[PairKey, interference_sums.Pair]

    def __init__(self) -> None:
        self.has_verdicts = False
        self._victims = collections.OrderedDict()
        self._pairs = collections.OrderedDict()
        self._causes = collections.OrderedDict()
        self._workers = collections.OrderedDict()
        self._pool = None
        self._noise_by_measure = dict.fromkeys(Measure, 0.1)
        self._touched = set()
        self._verdicts = {}

    # Evidence.

    def add_run_time(
        self,
        image: str,
        worker_id: str,
        job_id: str,
        run_ms: float,
        exposures: Mapping[str, float],
        now: float,
    ) -> None:
        """Add the run time of a task that ended as done.

        Parameters
        ----------
        exposures : mapping of str to float
            Number of tasks beside it, by image, weighted by time and pace.
        """
        self._add(
            Measure.RUN_TIME,
            image,
            worker_id,
            math.log(max(1.0, run_ms)),
            exposures,
            dict.fromkeys(exposures, job_id),
            now,
        )

    def add_tail(
        self,
        image: str,
        worker_id: str,
        tail_share: float,
        exposures: Mapping[str, float],
        jobs: Mapping[str, str],
        now: float,
    ) -> None:
        """Add a tail latency of a serving task, as a share of its target.

        Parameters
        ----------
        exposures : mapping of str to float
            Number of fillers beside it, by image, weighted by pace.
        jobs : mapping of str to str
            Which jobs meet, by image of the filler.
        """
        self._add(
            Measure.TAIL,
            image,
            worker_id,
            tail_share / math.exp(self._slow_down(worker_id)),
            exposures,
            jobs,
            now,
        )

    def _add(
        self,
        measure: Measure,
        image: str,
        worker_id: str,
        y: float,
        exposures: Mapping[str, float],
        jobs: Mapping[str, str],
        now: float,
    ) -> None:
        key = (measure, image)
        victim = self._victims.get(key)
        if victim is None:
            victim = self._victims[key] = interference_sums.Victim(now)
            if len(self._victims) > MAX_IMAGES:
                self._victims.popitem(last=False)
        else:
            self._victims.move_to_end(key)
            victim.advance(now)
        mean = victim.sum_y / victim.weight if victim.weight else y
        explained = 0.0
        if self._verdicts:
            for name, x in exposures.items():
                explained += self.effect(measure, image, name) * x
        y = min(max(y - explained, mean - CLIP), mean + CLIP)
        if measure is Measure.RUN_TIME:
            y -= self._add_to_worker(worker_id, image, y - mean, now)
        deviation = y - mean
        noise = self._noise_by_measure[measure]
        self._noise_by_measure[measure] = noise + NOISE_SHARE * (
            deviation * deviation - noise
        )
        weight = WEIGHT_BY_MEASURE[measure] * victim.scale
        predicted = 0.0
        for name, x in exposures.items():
            own = self._add_to_pair(
                (measure, image, name), victim, y, x, weight, worker_id, jobs[name], now
            )
            predicted += x * self._add_to_cause((measure, name), x, y + own - mean, now)
        victim.weight += weight
        victim.sum_y += weight * y
        victim.sum_yy += weight * y * y
        if predicted:
            victim.sum_dg += weight * (deviation + explained) * predicted
            victim.sum_gg += weight * predicted * predicted

    def _add_to_worker(
        self, worker_id: str, image: str, deviation: float, now: float
    ) -> float:
        """Add a deviation; return the slow-down of the worker before it."""
        offset = self._slow_down(worker_id)
        worker = self._workers.get(worker_id)
        if worker is None:
            worker = self._workers[worker_id] = interference_sums.Speed(now)
            if len(self._workers) > MAX_WORKERS:
                self._workers.popitem(last=False)
        worker.add(image, deviation, now)
        if self._pool is None:
            self._pool = interference_sums.Speed(now)
        self._pool.add(image, deviation, now)
        return offset

    def _slow_down(self, worker_id: str) -> float:
        """Return the logarithm of how much slower a worker is than all of them."""
        worker = self._workers.get(worker_id)
        if worker is None or self._pool is None:
            return 0.0
        return worker.offset() - self._pool.offset()

    def _add_to_pair(
        self,
        key: PairKey,
        victim: interference_sums.Victim,
        y: float,
        x: float,
        weight: float,
        worker_id: str,
        job: str,
        now: float,
    ) -> float:
        """Add an observation; return the effect that a verdict took out of it."""
        pair = self._pairs.get(key)
        if pair is None:
            pair = self._pairs[key] = interference_sums.Pair(victim.origin, now)
            if len(self._pairs) > MAX_PAIRS:
                self._drop_oldest_pair()
        else:
            self._pairs.move_to_end(key)
            if pair.origin != victim.origin:
                pair.rescale(victim.origin)
        own = pair.effect * x
        y += own
        weighted_x = weight * x
        pair.updated_at = now
        pair.weight += weight
        pair.sum_x += weighted_x
        pair.sum_xx += weighted_x * x
        pair.sum_xy += weighted_x * y
        if own:
            pair.sum_own += weight * own
        pair.new_count += 1
        pair.new_exposure += x
        if victim.weight:
            pair.new_deviation += y - victim.sum_y / victim.weight
        if pair.sum_xx > victim.scale:  # else it cannot have a verdict soon
            interference_sums.add_witness(pair.workers, worker_id, y, x)
            interference_sums.add_witness(pair.jobs, job, y, x)
            self._touched.add(key)
        return own

    def _drop_oldest_pair(self) -> None:
        """Drop the pair seen longest ago of those without a verdict."""
        for key in self._pairs:
            if key not in self._verdicts:
                del self._pairs[key]
                self._touched.discard(key)
                return

    def _add_to_cause(
        self, key: VictimKey, x: float, deviation: float, now: float
    ) -> float:
        """Add an observation of any victim; return the effect on all of them."""
        cause = self._causes.get(key)
        if cause is None:
            cause = self._causes[key] = interference_sums.Cause(now)
            if len(self._causes) > MAX_IMAGES:
                self._causes.popitem(last=False)
        else:
            self._causes.move_to_end(key)
        cause.add(x, deviation, now)
        return cause.effect

    # Verdicts.

    def refresh(self, now: float) -> list[Estimate]:
        """Reach and withdraw verdicts; return those that have changed."""
        changed = []
        for cause_key in {(key[0], key[2]) for key in self._touched}:
            cause = self._causes.get(cause_key)
            if cause is not None:
                cause.update_effect(self._noise_by_measure[cause_key[0]])
        for key in self._touched:
            pair = self._pairs[key]
            victim = self._victims.get(key[:2])
            if (
                victim is None
                or not pair.effect
                and _is_negligible(pair, victim, WEIGHT_BY_MEASURE[key[0]])
            ):
                continue
            estimate = self._estimate(key, pair, victim)
            had_verdict = bool(pair.effect)
            if _is_verdict(estimate, had_verdict) and self._is_shown(
                pair, victim, estimate.effect, had_verdict
            ):
                pair.effect = estimate.effect
                pair.deviation = estimate.deviation
                self._verdicts[key] = pair
                if not had_verdict:
                    changed.append(dataclasses.replace(estimate, is_verdict=True))
            elif had_verdict:
                changed.append(self._withdraw(key))
        self._touched.clear()
        for key, pair in list(self._verdicts.items()):
            if now - pair.updated_at > STALE_S:
                changed.append(self._withdraw(key))
        self.has_verdicts = bool(self._verdicts)
        return changed

    def _withdraw(self, key: PairKey) -> Estimate:
        pair = self._verdicts.pop(key)
        pair.effect = 0.0
        victim = self._victims.get(key[:2])
        return self._estimate(
            key, pair, victim or interference_sums.Victim(pair.updated_at)
        )

    def _estimate(
        self,
        key: PairKey,
        pair: interference_sums.Pair,
        victim: interference_sums.Victim,
    ) -> Estimate:
        """Return the slope of a pair, shrunk towards its prior."""
        if pair.origin != victim.origin:
            pair.rescale(victim.origin)
        cause = self._causes.get((key[0], key[2]))
        prior = 0.0 if cause is None else cause.effect * victim.sensitivity()
        weight = max(victim.weight, pair.weight, 1e-9)
        sum_y = victim.sum_y + pair.sum_own
        covariance = (pair.sum_xy - pair.sum_x * sum_y / weight) / victim.scale
        spread = (pair.sum_xx - pair.sum_x * pair.sum_x / weight) / victim.scale
        mean = victim.sum_y / weight
        noise = max(
            interference_sums.NOISE_VARIANCE_MIN, victim.sum_yy / weight - mean * mean
        )
        precision = max(0.0, spread) / noise + interference_sums.PRIOR_SD**-2
        effect = (
            covariance / noise + prior * interference_sums.PRIOR_SD**-2
        ) / precision
        return Estimate(
            *key,
            effect,
            precision**-0.5,
            pair.sum_xx / victim.scale,
            len(pair.workers),
            len(pair.jobs),
            bool(pair.effect),
        )

    def _is_shown(
        self,
        pair: interference_sums.Pair,
        victim: interference_sums.Victim,
        effect: float,
        had_verdict: bool,
    ) -> bool:
        """Whether enough workers and jobs show the effect, and most of the workers.

        A neighbour that happens to run on one slow worker is not blamed for it.
        """
        if had_verdict:
            return True
        base = (victim.sum_y + pair.sum_own - effect * pair.sum_x) / victim.weight
        showing_workers = interference_sums.count_showing(
            pair.workers.values(), base, effect
        )
        return (
            showing_workers >= MIN_WITNESSES
            and 2 * showing_workers >= len(pair.workers)
            and interference_sums.count_showing(pair.jobs.values(), base, effect)
            >= MIN_WITNESSES
        )

    # Use of the estimates.

    def find_verdict(
        self, measure: Measure, victim: str, neighbour: str
    ) -> tuple[float, float] | None:
        """Return the effect of a verdict and its standard deviation, or None."""
        pair = self._verdicts.get((measure, victim, neighbour))
        return None if pair is None else (pair.effect, pair.deviation)

    def effect(self, measure: Measure, victim: str, neighbour: str) -> float:
        """Return the effect of a verdict, 0 without one."""
        pair = self._verdicts.get((measure, victim, neighbour))
        return 0.0 if pair is None else pair.effect

    def count_verdicts(self) -> int:
        """Return the number of verdicts."""
        return len(self._verdicts)

    def find_estimates(self, image: str) -> list[Estimate]:
        """Return the estimates of all pairs with an image, the surest first."""
        found = [
            self._estimate(key, pair, self._victims[key[:2]])
            for key, pair in self._pairs.items()
            if image in key[1:] and key[:2] in self._victims
        ]
        found.sort(key=lambda e: (-e.is_verdict, -e.effect / e.deviation))
        return found

    def find_slow_workers(self) -> dict[str, float]:
        """Return the workers that are slow for all their tasks, and how slow."""
        noise = max(
            interference_sums.NOISE_VARIANCE_MIN,
            self._noise_by_measure[Measure.RUN_TIME],
        )
        return {
            worker_id: math.exp(self._slow_down(worker_id))
            for worker_id, worker in self._workers.items()
            if self._slow_down(worker_id)
            >= max(MIN_EFFECT, MIN_SCORE * math.sqrt(noise / max(1.0, worker.weight)))
        }

    def pop_summaries(self, limit: int) -> list[Summary]:
        """Return and reset the observations of the pairs that have most of them."""
        items = [(key, pair) for key, pair in self._pairs.items() if pair.new_count]
        items.sort(key=lambda item: -item[1].new_count)
        summaries = []
        for key, pair in items[:limit]:
            victim = self._victims.get(key[:2])
            if victim is not None and victim.weight:
                deviation = pair.new_deviation / pair.new_count
                mean = victim.sum_y / victim.weight
                is_tail = key[0] is Measure.TAIL
                summaries.append(
                    Summary(
                        *key,
                        pair.new_count,
                        1.0 + deviation / max(0.01, mean)
                        if is_tail
                        else math.exp(deviation),
                        pair.new_exposure / pair.new_count,
                        self._estimate(key, pair, victim).effect,
                    )
                )
        for _, pair in items:
            pair.new_count = 0
            pair.new_deviation = pair.new_exposure = 0.0
        return summaries


def _is_negligible(
    pair: interference_sums.Pair, victim: interference_sums.Victim, weight: float
) -> bool:
    """Whether a pair certainly has no verdict, by a test that costs little."""
    return (
        pair.sum_xx < MIN_EXPOSURE * weight * victim.scale
        or pair.sum_xy * victim.weight
        <= pair.sum_x * (victim.sum_y + MIN_EFFECT * KEPT_EFFECT * victim.weight)
    )


def _is_verdict(estimate: Estimate, had_verdict: bool) -> bool:
    score = estimate.effect / estimate.deviation
    if had_verdict:
        return score >= KEPT_SCORE and estimate.effect >= KEPT_EFFECT
    return score >= MIN_SCORE and estimate.effect >= MIN_EFFECT
