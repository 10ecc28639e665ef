"""Synthetic workers whose true interference is known, for tests of what is learnt."""

import math
import random
from collections.abc import Callable

from clementinespar.jobs import interference, neighbours

STEP_S = 0.05
SLOTS = 4  # tasks that a worker runs at once
TASK_NOISE = 0.2  # standard deviation of the logarithm of the run time
JOB_NOISE = 0.15
LONG_SHARE = 0.03  # of the tasks, which take seven times as long


class _Run:
    def __init__(self, image: str, job: str, started_at: float, work_ms: float) -> None:
        self.image = image
        self.job = job
        self.started_at = started_at
        self.left_ms = work_ms
        self.work_ms = work_ms


class SyntheticWorkers:
    """Workers that run short tasks, which slow each other down."""

    model: interference.InterferenceModel
    # True effect on the logarithm of the run time, by victim and other image.
    truth: dict[tuple[str, str], float]
    changes: list[tuple[float, interference.Estimate]]  # verdicts, with their time
    slow: set[int]  # workers that run everything 1.6 times as long

    def __init__(self, seed: int, images: int = 8, workers: int = 40) -> None:
        self.rng = random.Random(seed)
        self.names = [f"image-{number}" for number in range(images)]
        self.model = interference.InterferenceModel()
        self.truth = {}
        self.changes = []
        self.slow = set()
        self.now = 0.0
        self._mean_ms = {name: self.rng.uniform(500, 2100) for name in self.names}
        self._running: list[list[_Run]] = [[] for _ in range(workers)]
        self._ended: list[list[tuple[str, float, float]]] = [[] for _ in range(workers)]
        self._waiting: list[tuple[str, str, float]] = []
        self._jobs = 0
        self._refresh_at = 0.0
        self._tokens = 0.0
        self._took: list[tuple[float, float]] = []  # end and slow-down

    def set_guilty(self, count: int, effect: float) -> None:
        """Choose images that interfere with about six in ten others."""
        self.truth = {
            (victim, name): effect * self.rng.uniform(0.6, 1.4)
            for name in self.rng.sample(self.names, count)
            for victim in self.names
            if self.rng.random() < 0.6
        }

    def run(
        self,
        seconds: float,
        effect: Callable[[str, str], float] = lambda victim, other: 0.0,
    ) -> None:
        """Run tasks; each is placed where the expected interference is lowest."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for number in range(len(self._running)):
                self._advance(number)
            self._place(effect)
            refill = neighbours.OBSERVATIONS_PER_S * STEP_S
            self._tokens = min(neighbours.OBSERVATION_BURST, self._tokens + refill)
            if self.now >= self._refresh_at:
                self._refresh_at = self.now + 0.5
                self.changes += [(self.now, e) for e in self.model.refresh(self.now)]

    def mean_slow_down(self, since: float) -> float:
        """Return how much longer than alone the tasks that ended later took."""
        ratios = [ratio for ended_at, ratio in self._took if ended_at >= since]
        return sum(ratios) / len(ratios)

    def verdicts(self) -> set[tuple[str, str]]:
        """Return the victims and the other images of the present verdicts."""
        return {
            (victim, other)
            for victim in self.names
            for other in self.names
            if self.model.effect(interference.Measure.RUN_TIME, victim, other)
        }

    def _advance(self, number: int) -> None:
        runs = self._running[number]
        for run in list(runs):
            slow_down = 0.47 if number in self.slow else 0.0
            for other in runs:
                if other is not run:
                    slow_down += self.truth.get((run.image, other.image), 0.0)
            run.left_ms -= STEP_S * 1000 / math.exp(slow_down)
            if run.left_ms <= 0:
                self._end(number, run)

    def _end(self, number: int, run: _Run) -> None:
        self._running[number].remove(run)
        took_s = self.now - run.started_at
        self._took.append((self.now, took_s * 1000 / run.work_ms))
        exposures: dict[str, float] = {}
        beside = [(o.image, o.started_at, self.now) for o in self._running[number]]
        for image, since, until in beside + self._ended[number]:
            share = (until - max(since, run.started_at)) / took_s
            if share > 0.1:
                exposures[image] = exposures.get(image, 0.0) + share
        self._ended[number].append((run.image, run.started_at, self.now))
        del self._ended[number][:-16]
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            self.model.add_run_time(
                run.image, f"w{number}", run.job, took_s * 1000, exposures, self.now
            )

    def _place(self, effect: Callable[[str, str], float]) -> None:
        while len(self._waiting) < 60:
            self._jobs += 1
            image = self.rng.choice(self.names)
            factor = math.exp(self.rng.gauss(0, JOB_NOISE))
            count = self.rng.randint(1, 12)
            self._waiting += [(image, f"job-{self._jobs}", factor)] * count
            self.rng.shuffle(self._waiting)
        free = [n for n, runs in enumerate(self._running) if len(runs) < SLOTS]
        self.rng.shuffle(free)
        # Some workers stay free, as in a pool that is not full.
        while len(free) > len(self._running) // 4:
            image, job, factor = self._waiting.pop()
            number = min(
                free,
                key=lambda n: sum(
                    effect(image, o.image) + effect(o.image, image)
                    for o in self._running[n]
                ),
            )
            free.remove(number)
            work_ms = self._mean_ms[image] * factor
            work_ms *= math.exp(self.rng.gauss(0, TASK_NOISE))
            if self.rng.random() < LONG_SHARE:
                work_ms *= 7
            self._running[number].append(_Run(image, job, self.now, work_ms))
