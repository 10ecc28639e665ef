"""Tests of the expected run times of tasks and steps."""

import math
import random

import pytest

from clementinespar.jobs import model, task_durations

WIDTH = 8


def replay(estimate_spread: float, jobs: int) -> tuple[float, float, float]:
    """Return mean errors, as logarithms, of the last half of some jobs.

    They are the error of the callers' estimates of a task, that of the learnt one, and
    the bias of the learnt estimate of a step.

    Parameters
    ----------
    estimate_spread : float
        Standard deviation of the logarithm of the estimates' errors.
    """
    randomness = random.Random(3)
    run_times = task_durations.RunTimes()
    declared = learnt = bias = 0.0
    for number in range(jobs):
        usual_ms = 1000 * math.exp(randomness.gauss(0, 0.5))
        estimate_ms = usual_ms * math.exp(randomness.gauss(0, estimate_spread))
        took_ms = [usual_ms * math.exp(randomness.gauss(0, 0.3)) for _ in range(WIDTH)]
        spec = model.StepSpec(WIDTH, estimate_ms=int(estimate_ms))
        if number >= jobs / 2:
            declared += abs(math.log(spec.estimate_ms / usual_ms))
            learnt += abs(math.log(run_times.estimate_ms(spec) / usual_ms))
            bias += math.log(run_times.estimate_step_ms(spec) / max(took_ms))
        for index, each_ms in enumerate(took_ms):
            run_times.add(model.TaskKey(str(number), 0, 0, index), spec, each_ms)
    count = jobs - math.ceil(jobs / 2)
    return declared / count, learnt / count, bias / count


@pytest.mark.parametrize(
    ("estimate_spread", "wanted_share"), [(0.2, 1.0), (0.5, 0.8), (0.9, 0.55)]
)
def test_estimates_of_tasks_without_an_image(
    estimate_spread: float, wanted_share: float
) -> None:
    """Guards against an order of jobs by estimates that say nothing."""
    declared, learnt, bias = replay(estimate_spread, 400)
    assert learnt <= wanted_share * declared
    assert abs(bias) < 0.15  # one task instead of the longest of 8: -0.4


def test_callers_estimates_count_before_any_run_has_ended() -> None:
    """Guards against a new owner that reorders all jobs by its first few runs."""
    run_times = task_durations.RunTimes()
    spec = model.StepSpec(WIDTH, estimate_ms=500)
    assert run_times.estimate_ms(spec) == 500
    assert run_times.estimate_step_ms(spec) == 500
    run_times.add(model.TaskKey("a", 0, 0, 0), spec, 5_000.0)
    assert run_times.estimate_ms(spec) < 600


def test_tasks_of_an_image_take_the_mean_of_the_image() -> None:
    """Guards against estimates that ignore what an image took before."""
    run_times = task_durations.RunTimes()
    spec = model.StepSpec(1, estimate_ms=100, image="a")
    for number in range(40):
        run_times.add(model.TaskKey(str(number), 0, 0, 0), spec, 900.0)
    assert run_times.estimate_ms(spec) == pytest.approx(900, rel=0.01)
    other = model.StepSpec(1, estimate_ms=100, image="b")
    assert run_times.estimate_ms(other) == 100
