"""Tests of the state of jobs and its stored form."""

import pytest
from hypothesis import given, strategies

from clementinespar.jobs import model, state
from clementinespar.jobs.tests import helpers

STEPS = strategies.builds(
    model.StepSpec,
    task_count=strategies.integers(1, 9),
    cpu_millis=strategies.integers(0, 9000),
    may_miss=strategies.none() | strategies.integers(0, 3),
    is_lasting=strategies.booleans(),
    image=strategies.text(max_size=5),
)


@given(strategies.lists(STEPS, min_size=1, max_size=4), strategies.text(max_size=20))
def test_spec_survives_the_store(steps: list[model.StepSpec], payload: str) -> None:
    """Guards against a field of a job that the stored form does not keep."""
    spec = model.JobSpec("0" * 16, "q", "p", payload, tuple(steps), max_attempts=2)
    assert state.decode_spec(spec.job_id, state.encode_spec(spec)) == spec


@given(
    strategies.sets(strategies.integers(0, 6)),
    strategies.dictionaries(
        strategies.integers(0, 6), strategies.sets(strategies.integers(1, 9))
    ),
)
def test_progress_survives_the_store(
    done: set[int], failed: dict[int, set[int]]
) -> None:
    """Guards against acknowledged ends that the stored form does not keep."""
    job = state.JobProgress(helpers.make_spec("a", task_count=7))
    job.first_epoch = 4
    step = job.occurrences[0].steps[0]
    for index in done:
        state.mark_done(step, step.tasks[index])
    for index, runs in failed.items():
        step.tasks[index].failed_runs = set(runs)
    other = state.JobProgress(job.spec)
    state.restore_progress(other, state.encode_progress(job))
    restored_step = other.occurrences[0].steps[0]
    assert {t.key.index for t in restored_step.tasks if t.is_done} == done
    assert restored_step.done_count == len(done)
    assert restored_step.waiting == set(range(7)) - done
    for index, runs in failed.items():
        assert restored_step.tasks[index].failed_runs == runs


@given(
    strategies.dictionaries(
        strategies.integers(0, 6), strategies.sets(strategies.integers(1, 9))
    ),
    strategies.dictionaries(
        strategies.integers(0, 6),
        strategies.dictionaries(
            strategies.integers(1, 9),
            strategies.tuples(strategies.text(), strategies.integers(0)),
        ),
    ),
    strategies.booleans(),
)
def test_crashes_survive_the_store(
    crashed: dict[int, set[int]],
    at_risk: dict[int, dict[int, tuple[str, int]]],
    is_lasting: bool,
) -> None:
    """Guards against a task that crashes more workers after a change of owner."""
    job = state.JobProgress(helpers.make_spec("a", 7, is_lasting=is_lasting))
    step = job.occurrences[0].steps[0]
    for index, runs in crashed.items():
        step.tasks[index].crashed_runs = set(runs)
    for index, workers in at_risk.items():
        step.tasks[index].at_risk = dict(workers)
    other = state.JobProgress(job.spec)
    state.restore_progress(other, state.encode_progress(job))
    for task in other.occurrences[0].steps[0].tasks:
        assert task.crashed_runs == crashed.get(task.key.index, set())
        assert task.at_risk == at_risk.get(task.key.index, {})


@pytest.mark.parametrize(("epoch", "last_run", "wanted"), [(4, 0, 1), (4, 3, 4)])
def test_runs_rise(epoch: int, last_run: int, wanted: int) -> None:
    """Guards against a run number that a worker refuses as stale."""
    job = state.JobProgress(helpers.make_spec("a"))
    job.first_epoch = 4
    task = job.occurrences[0].steps[0].tasks[0]
    task.last_run = last_run
    assert job.next_run(task, epoch) == wanted
    # The next owner does not know the runs of this one, but all of its own are higher.
    assert job.next_run(task, epoch + 1) > wanted + 100


def test_due_occurrences_wait_while_many_tasks_are_open() -> None:
    """Guards against a small request whose occurrences fill the owner's memory."""
    spec = model.JobSpec(
        "a", "q", "p", "", (model.StepSpec(100),), 0, 0, occurrences=1_000
    )
    job = state.JobProgress(spec)
    assert job.open_due_occurrences(1_000)
    assert len(job.occurrences) == state.MAX_OPEN_TASKS / 100
    assert not job.open_due_occurrences(1_000)
    job.occurrences.pop(0)
    job.finished_occurrences = 1
    assert job.open_due_occurrences(1_000)
    assert max(job.occurrences) == state.MAX_OPEN_TASKS / 100


def test_occurrences_open_when_due_and_finish_the_job() -> None:
    """Guards against an occurrence that opens early or is skipped."""
    spec = model.JobSpec(
        "a", "q", "p", "", (model.StepSpec(1),), 1_000, 500, occurrences=3
    )
    job = state.JobProgress(spec)
    assert not job.open_due_occurrences(999)
    assert job.open_due_occurrences(1_600)
    assert sorted(job.occurrences) == [0, 1]
    job.occurrences.pop(0)
    job.finished_occurrences = 1
    assert job.open_due_occurrences(5_000)
    assert sorted(job.occurrences) == [1, 2]
