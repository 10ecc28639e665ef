"""Tests of fillers that are paced beside serving tasks, on synthetic workers."""

import asyncio
import dataclasses
import math
import random

import pytest

from clementinespar.jobs import (
    model,
    neighbours,
    placement,
    telemetry,
    worker_run,
    worker_session,
)
from clementinespar.jobs.tests import fakes, test_placement

STEP_S = 0.05
REPORT_S = 0.5
PACE_DELAY_S = 0.1
TARGET_MS = 100
HARM = {"heavy": 0.7, "light": 0.25, "none": 0.0}  # of the target, at full speed


@dataclasses.dataclass
class Outcome:
    """What a series of reports led to."""

    above_s: float  # time above the target, of all workers
    longest_s: float  # without a break, on one worker
    work: float  # mean pace of the fillers, as a share
    verdicts: set[tuple[str, str]]


def start_run(
    session: worker_session.WorkerSession, job: str, spec: model.StepSpec
) -> worker_run.Run:
    run = worker_run.Run(model.TaskKey(job, 0, 0, 0), 1, spec, session, 0.0)
    run.status = worker_run.RunStatus.RUNNING
    session.add_run(run)
    return run


def play(
    seed: int, is_learning: bool, harm: dict[str, float], mean_load: float
) -> Outcome:
    """Play 120 s of serving tasks whose load changes, each beside one filler."""
    rng = random.Random(seed)
    collected = neighbours.Neighbours(fakes.ignore_event, telemetry.JobMetrics())
    outcome = Outcome(0.0, 0.0, 0.0, set())
    # Session, serving run, filler, phase of the load, tails, start of the excess.
    workers = []
    orders: list[tuple[float, worker_run.Run, int]] = []
    now = 0.0

    def order_pace(run: worker_run.Run, percent: int) -> None:
        run.pace = percent
        orders.append((now + PACE_DELAY_S, run, percent))

    for number in range(12):
        session = test_placement.make_session(f"w{number}")
        session.pace = order_pace  # type: ignore[method-assign]
        image = sorted(harm)[number % len(harm)]
        serving = model.StepSpec(
            1, 500, 10, image="shop", latency_target_ms=TARGET_MS, is_lasting=True
        )
        filler = model.StepSpec(1, 500, 10, image=image, is_filler=True)
        workers.append(
            (
                session,
                start_run(session, f"shop-{number % 2}", serving),
                start_run(session, f"{image}-{number // 3 % 2}", filler),
                rng.uniform(0, math.tau),
            )
        )
    real_pace = {id(filler): 100 for _, _, filler, _ in workers}
    tails: dict[int, list[float]] = {number: [] for number in range(len(workers))}
    excess = dict.fromkeys(tails, 0.0)
    steps = int(120 / STEP_S)
    for step in range(steps):
        now = step * STEP_S
        for at, run, percent in [order for order in orders if order[0] <= now]:
            real_pace[id(run)] = percent
            orders.remove((at, run, percent))
        for number, (session, serving_run, filler_run, phase) in enumerate(workers):
            pace = real_pace[id(filler_run)] / 100
            load = mean_load + 0.15 * math.sin(now / 6 + phase) + rng.gauss(0, 0.05)
            tail = load + pace * harm[filler_run.spec.image]
            tails[number].append(tail)
            outcome.work += pace / steps / len(workers)
            excess[number] = excess[number] + STEP_S if tail > 1 else 0.0
            outcome.above_s += STEP_S if tail > 1 else 0.0
            outcome.longest_s = max(outcome.longest_s, excess[number])
            if (step + number) % int(REPORT_S / STEP_S):
                continue
            recent = tails[number][-10:]
            serving_run.usage = int(TARGET_MS * sum(recent) / len(recent))
            collected.add_report(session, now + 10.0)
            learnt = collected.find_model("p") if is_learning else None
            placement.pace_fillers(session, now + 10.0, learnt)
        if step % int(REPORT_S / STEP_S) == 0:
            collected.refresh(now + 10.0)
    found = collected.models_by_pool["p"]
    outcome.verdicts = {
        (e.victim, e.neighbour) for e in found.find_estimates("shop") if e.is_verdict
    }
    return outcome


def play_both(
    seed: int, harm: dict[str, float], mean_load: float = 0.4
) -> tuple[Outcome, Outcome]:
    """Play with fixed steps, and with what is learnt."""

    async def scenario() -> tuple[Outcome, Outcome]:
        return (
            play(seed, False, harm, mean_load),
            play(seed, True, harm, mean_load),
        )

    return asyncio.run(scenario())


@pytest.mark.parametrize("seed", range(1, 5))
def test_fillers_do_more_and_the_target_is_not_exceeded_for_longer(seed: int) -> None:
    """Guards against predicted paces that violate a guarantee, or gain nothing.

    Measured with seeds 1 to 4: the fillers do 0.87 of their full work instead of 0.81;
    a tail latency is above its target for 0.5 s without a break at most, as before.
    """
    fixed, learnt = play_both(seed, HARM)
    assert learnt.verdicts == {("shop", "heavy"), ("shop", "light")}
    assert learnt.work > fixed.work + 0.03
    assert learnt.longest_s <= max(fixed.longest_s, REPORT_S + 2 * PACE_DELAY_S)


@pytest.mark.parametrize(("seed", "mean_load"), [(1, 0.4), (2, 0.8), (3, 0.95)])
def test_fillers_are_not_blamed_for_the_load_of_a_serving_task(
    seed: int, mean_load: float
) -> None:
    """Guards against a pace that is changed by what was never learnt."""
    fixed, learnt = play_both(seed, dict.fromkeys("abc", 0.0), mean_load)
    assert learnt == fixed
    assert not learnt.verdicts


@pytest.mark.parametrize("pace", [100, 70, 0, -1])
def test_tail_above_its_target_stops_a_predicted_pace_at_once(pace: int) -> None:
    """Guards against a predicted pace that stays for an interval after a bad report."""

    async def scenario() -> list[int]:
        session = test_placement.make_session("a")
        paces: list[int] = []
        session.pace = lambda run, percent: paces.append(percent)  # type: ignore[method-assign]
        start_run(
            session, "s", model.StepSpec(1, image="shop", latency_target_ms=100)
        ).usage = 101
        filler = start_run(
            session, "f", model.StepSpec(1, image="heavy", is_filler=True)
        )
        filler.pace = pace
        filler.paced_at = 9.9
        filler.is_pace_predicted = True
        placement.pace_fillers(session, 10.0, None)
        assert session.predictions_paused_until > 10.0
        return paces

    assert asyncio.run(scenario()) == ([0] if pace else [])
