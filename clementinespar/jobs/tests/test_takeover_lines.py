"""Tests of the lines that show what an owner relied on at a takeover."""

import asyncio
import dataclasses

import pytest

from clementinespar.jobs import crash_counts, model, ownership
from clementinespar.jobs.tests import fakes, helpers, test_ownership
from clementinespar.tests import paused_clock

STRAY = model.TaskKey("stray", 0, 0, 0)


def pick(
    events: list[tuple[str, dict[str, object]]], event: str, *names: str
) -> list[tuple[object, ...]]:
    """Return fields of the lines of an event, in order."""
    return [
        tuple(fields[name] for name in names)
        for logged, fields in events
        if logged == event
    ]


def add_end(workers: fakes.FakeWorkers, worker_id: str, task: model.TaskKey) -> None:
    """Let a worker list a done end of a task that it has not run."""
    worker = workers.workers[worker_id]
    worker.running[task] = (1, 0.0)
    worker.end_run(task, 1, model.EndKind.DONE)


@paused_clock.test
async def test_lines_of_a_takeover_name_each_worker_and_each_foreign_end() -> None:
    """Guards against a task that runs twice without a line that says why.

    Of four workers, one runs on, one has ended its run between the owners, one has
    ended, and one is cut off.
    """
    workers = fakes.FakeWorkers(4)
    workers.task_s = 2.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 4, cpu=4000))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.5)
    on_worker = {worker_id: task for task, _, worker_id in workers.starts}
    assert len(on_worker) == 4
    adopted, untracked, ended, cut = workers.workers
    workers.workers[untracked].end_run(on_worker[untracked], 1, model.EndKind.DONE)
    add_end(workers, untracked, STRAY)
    workers.end(ended)
    workers.workers[cut].is_unresponsive = True
    assert not pick(harness.events, "ends_stored")
    harness.events.clear()
    async with helpers.run_owner(harness):
        await asyncio.sleep(9.0)
    name = {worker_id: on_worker[worker_id].name_in_job for worker_id in workers.by_id}
    assert pick(
        harness.events, "end", "worker", "task", "kind", "origin", "epoch", "born_ms"
    ) == [
        (untracked, name[untracked], "done", "untracked", 2, 1),
        (adopted, name[adopted], "done", "adopted", 2, 1),
    ]
    assert pick(harness.events, "end_without_task", "worker", "job", "why") == [
        (untracked, "stray", "job_unknown")
    ]
    assert pick(
        harness.events,
        "ends_stored",
        "worker",
        "number",
        "foreign_done",
        "without_task",
    ) == [(untracked, 2, 1, 1), (adopted, 1, 1, 0)]
    silent = pick(
        harness.events,
        "takeover_worker_silent",
        "worker",
        "reason",
        "waited_ms",
        "lease_ms",
        "confirmed_age_ms",
    )
    assert [line[:2] for line in silent] == [(ended, "ended"), (cut, "lapsed")]
    # The lease of the cut one has ended, and the confirmation is younger than its end.
    _, _, waited_ms, lease_ms, age_ms = silent[1]
    assert isinstance(waited_ms, int) and isinstance(lease_ms, int)
    assert waited_ms + lease_ms == pytest.approx(5550, abs=2)
    assert age_ms == 0 and lease_ms < 0
    (settled,) = pick(
        harness.events, "takeover_settled", "waited_ms", "answered", "silent"
    )
    assert settled == (waited_ms, {adopted: 1, untracked: 1}, 2)
    ((ages_ms, confirmed_age_ms),) = pick(
        harness.events, "worker_dead", "list_ages_ms", "confirmed_age_ms"
    )
    assert isinstance(ages_ms, list)
    assert [len(ages_ms), confirmed_age_ms] == [2, 0]
    assert ages_ms[0] > ages_ms[1]
    metrics = harness.owner.metrics.render().decode()
    for sample in (
        'clementinespar_ends_without_task_total{why="job_unknown"} 1.0',
        "clementinespar_takeover_wait_seconds_count 1.0",
    ):
        assert sample in metrics
    assert not workers.violations


@pytest.mark.parametrize(
    ("key", "why"),
    [
        (model.TaskKey("done", 0, 0, 0), "job_final"),
        (model.TaskKey("due", 0, 0, 0), "occurrence_over"),
        (model.TaskKey("due", 5, 0, 0), "task_unknown"),
        (STRAY, "job_unknown"),
    ],
)
@paused_clock.test
async def test_end_without_an_open_task_says_why(key: model.TaskKey, why: str) -> None:
    """Guards against ends that are acknowledged without a trace."""
    workers = fakes.FakeWorkers(1)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("done", 1))
    due = dataclasses.replace(
        helpers.make_spec("due", 1), occurrences=2, period_ms=10**15
    )
    await harness.submit(due)
    async with helpers.run_owner(harness):
        await asyncio.sleep(3.0)
        assert not pick(harness.events, "end")
        add_end(workers, "quotes-0", key)
        await asyncio.sleep(1.5)
    assert pick(harness.events, "end_without_task", "why") == [(why,)]
    assert pick(harness.events, "ends_stored", "without_task") == [(1,)]


@paused_clock.test
async def test_end_whose_handling_fails_is_named_once_and_not_acknowledged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an end that is lost by an error that does not name it."""

    def fail(*_: object) -> bool:
        raise RuntimeError("a fault")

    monkeypatch.setattr(crash_counts, "acquit", fail)
    workers = fakes.FakeWorkers(1)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1))
    async with helpers.run_owner(harness):
        await asyncio.sleep(3.0)
    assert pick(harness.events, "unexpected_error", "subject", "job", "kind") == [
        ("end", "a", "done")
    ]
    assert len(pick(harness.events, "end")) <= 1
    assert not pick(harness.events, "ends_stored")
    assert not workers.acknowledged_done


@paused_clock.test
async def test_lines_of_a_gap_in_ownership_show_it_and_the_check_of_the_fence() -> None:
    """Guards against a confirmation after a gap that the log does not show."""
    harness = test_ownership.ManagerHarness(frozenset({test_ownership.PARTITION}))
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        harness.group.drops_calls = True
        await asyncio.sleep(3.0)
        harness.group.drops_calls = False
        harness.assign(6, test_ownership.PARTITION)
        await asyncio.sleep(3.0)
    ((gap_ms, *gap),) = pick(
        harness.events,
        "ownership_gap",
        "gap_ms",
        "former_generation",
        "generation",
        "partitions",
    )
    assert isinstance(gap_ms, int) and gap_ms > 3000
    assert gap == [1, 6, [test_ownership.PARTITION]]
    assert pick(harness.events, "fence_checked", "partition", "epoch") == [
        (test_ownership.PARTITION, 1)
    ]
    ((unanswered_ms, generation),) = pick(
        harness.events, "ownership_confirmed_again", "unanswered_ms", "generation"
    )
    assert isinstance(unanswered_ms, int) and 2000 < unanswered_ms <= gap_ms
    assert generation == 6
