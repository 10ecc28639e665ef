"""Random plays of an owner whose jobs need advice, on fakes."""

import asyncio
import dataclasses
import random

import pytest

from clementinespar.jobs import model
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

TROUBLE_S = 20.0
CALM_S = 15.0  # for all jobs, besides their runs and the calls to the adviser
SEEDS = range(24)


class Play:
    """Jobs, workers that come and go, and an adviser that is slow or does not answer.

    Workers accept only valid tickets. Each job fits on two workers.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.workers = fakes.FakeWorkers(self.rng.choice([4, 12, 30]))
        self.harness = helpers.OwnerHarness(self.workers)
        self.adviser = self.harness.adviser
        self.workers.accepts_ticket = self.adviser.accepts
        self.workers.task_s = self.rng.choice([0.3, 1.0, 3.0])
        self.adviser.times = model.AdviceTimes(
            self.rng.choice([0.0, 0.05, 0.3, 1.0]),
            self.rng.choice([0.0, 0.01, 0.1, 0.3]),
            self.rng.choice([1.5, 3.0, 20.0]),
        )
        self.share = self.rng.choice([0.1, 0.5, 1.0])  # of workers that are allowed
        self.jobs: list[str] = []
        self.work_s = 0.0  # of all tasks, in seconds of one core
        for worker_id in self.workers.workers:
            self.decide(worker_id)

    def decide(self, worker_id: str) -> None:
        """Decide whether the policy allows a new life of a worker."""
        self.adviser.allowed_ids.discard(worker_id)
        if self.rng.random() < self.share:
            self.adviser.allowed_ids.add(worker_id)

    async def submit(self) -> None:
        """Submit a job of one step."""
        job_id = f"job-{len(self.jobs)}"
        self.jobs.append(job_id)
        count = self.rng.randint(1, 4)
        spec = helpers.make_spec(job_id, count, self.rng.choice([500, 1000, 2000]))
        self.work_s += count * spec.steps[0].cpu_millis / 1000 * self.workers.task_s
        step = dataclasses.replace(
            spec.steps[0],
            is_gang=self.rng.random() < 0.3,
            is_same_rack=self.rng.random() < 0.5,
            max_per_worker=self.rng.choice([0, 0, 2]),
        )
        await self.harness.submit(
            dataclasses.replace(
                spec,
                steps=(step,),
                needs_advice=True,
                priority=self.rng.randint(0, 1),
                max_attempts=1_000,
            )
        )

    def disturb(self) -> None:
        """Change something about the workers or the adviser."""
        worker_id = self.rng.choice(sorted(self.workers.workers))
        kind = self.rng.choice(["join", "restart", "cut", "slow", "lose", "busy"])
        if kind == "join":
            worker_id = f"late-{len(self.workers.workers)}"
            self.decide(worker_id)
            self.workers.add(worker_id, "quotes")
        elif kind == "restart":
            self.decide(worker_id)
            self.workers.crash(worker_id)
        elif kind == "cut":
            worker = self.workers.workers[worker_id]
            worker.is_unresponsive = not worker.is_unresponsive
        elif kind == "slow":
            self.adviser.slowness = self.rng.choice([1.0, 1.3, 2.0])
        elif kind == "lose":
            self.adviser.lost_answers = 1
        else:
            self.adviser.is_busy = not self.adviser.is_busy

    def calm(self) -> None:
        """End all troubles; the policy allows at least two workers."""
        self.adviser.slowness = 1.0
        self.adviser.lost_answers = 0
        self.adviser.is_busy = False
        for number in range(2):
            self.workers.add(f"calm-{number}", "quotes")
            self.adviser.allowed_ids.add(f"calm-{number}")
        for worker in self.workers.workers.values():
            worker.is_unresponsive = False

    def calls_s(self) -> float:
        """Return the time that calls about all workers take, twice for each job."""
        times = self.adviser.times
        return 2 * len(self.jobs) * times.call_s(len(self.workers.workers))

    async def run(self) -> None:
        """Run the play, and check that all jobs are done in time."""
        async with helpers.run_owner(self.harness) as owner:
            loop = asyncio.get_running_loop()
            end = loop.time() + TROUBLE_S
            while loop.time() < end:
                await asyncio.sleep(self.rng.uniform(0.1, 1.5))
                if self.rng.random() < 0.4:
                    await self.submit()
                else:
                    self.disturb()
            self.calm()
            # All of it may run on the two workers with 4 cores each that came last.
            end = loop.time() + CALM_S + self.calls_s() + self.work_s / 8
            for job_id in self.jobs:
                while owner.describe(job_id) is not model.JobState.DONE:
                    assert loop.time() < end, f"{job_id} is not done"
                    await asyncio.sleep(0.05)


@pytest.mark.parametrize("seed", SEEDS)
@paused_clock.test
async def test_all_jobs_are_done_after_troubles(seed: int) -> None:
    """Guards against steps that are forgotten after a refusal or a failed call."""
    play = Play(seed)
    await play.run()
    assert not play.adviser.refused
    assert not play.workers.violations
    assert play.adviser.rejected <= len(play.workers.starts)
