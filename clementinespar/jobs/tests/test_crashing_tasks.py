"""Tests of tasks that crash each worker on which they start."""

import asyncio
import collections

import pytest

from clementinespar.jobs import crash_counts, model, state
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

MAX_CRASHES = 3  # workers that one task may crash under one owner
# A task is not started three times more after it has crashed three workers.
MAX_STARTS = 5


def count_starts(workers: fakes.FakeWorkers) -> collections.Counter[tuple[str, int]]:
    """Return the number of starts of each task."""
    return collections.Counter((key.job_id, key.index) for key, _, _ in workers.starts)


def count_deadly_starts(workers: fakes.FakeWorkers) -> int:
    """Return the largest number of starts of a deadly task."""
    starts = count_starts(workers)
    return max(starts[task] for task in workers.deadly)


def is_failed(harness: helpers.OwnerHarness) -> bool:
    """Whether the owner has given the bad job up."""
    job = harness.owner.jobs_by_id.get("bad")
    return job is not None and job.state is model.JobState.FAILED


@pytest.mark.parametrize("after_s", [0.0, 0.2])
@pytest.mark.parametrize("is_lasting", [False, True])
@paused_clock.test
async def test_task_that_crashes_its_workers_is_given_up(
    after_s: float, is_lasting: bool
) -> None:
    """Guards against one task that crashes worker after worker."""
    workers = fakes.FakeWorkers(6)
    workers.deadly = {("bad", 0)}
    workers.deadly_after_s = after_s
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await harness.submit(helpers.make_spec("bad", 2, is_lasting=is_lasting))
        await harness.wait_state("bad", model.JobState.FAILED, timeout_s=60.0)
        await asyncio.sleep(10.0)
    assert count_deadly_starts(workers) <= MAX_CRASHES
    assert not workers.violations


@pytest.mark.parametrize("bad_tasks", [1, 6])
@paused_clock.test
async def test_job_that_crashes_workers_leaves_the_others_done(bad_tasks: int) -> None:
    """Guards against innocent jobs that fail beside one that crashes workers.

    A whole step of such tasks must not crash every worker again and again.
    """
    workers = fakes.FakeWorkers(6)
    workers.deadly = {("bad", index) for index in range(bad_tasks)}
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        for number in range(8):
            await harness.submit(helpers.make_spec(f"good{number}", 2, cpu=500))
        await harness.submit(helpers.make_spec("bad", 6, cpu=500))
        await harness.wait_state("bad", model.JobState.FAILED, timeout_s=60.0)
        for number in range(8):
            await harness.wait_state(f"good{number}", model.JobState.DONE, 60.0)
    assert count_deadly_starts(workers) <= MAX_CRASHES
    total = sum(
        count for task, count in count_starts(workers).items() if task[0] == "bad"
    )
    assert total <= 6 + MAX_CRASHES
    assert not workers.violations


@paused_clock.test
async def test_tasks_that_start_beside_the_cause_of_crashes_are_not_given_up() -> None:
    """Guards against jobs that fail for starts that were never carried out.

    The starts of one round go to the same workers, and none of them is answered.
    """
    workers = fakes.FakeWorkers(2, cpu=16_000)
    workers.deadly = {("bad", 0)}
    workers.back_after_s = 1.0
    harness = helpers.OwnerHarness(workers)
    for number in range(14):
        await harness.submit(
            helpers.make_spec(f"good{number}", 1, is_lasting=number < 2)
        )
    await harness.submit(helpers.make_spec("bad", 1))
    async with helpers.run_owner(harness):
        await harness.wait_state("bad", model.JobState.FAILED, timeout_s=60.0)
        for number in range(2, 14):
            await harness.wait_state(f"good{number}", model.JobState.DONE, 60.0)
        for number in range(2):
            assert harness.owner.describe(f"good{number}") is model.JobState.RUNNING
    assert count_deadly_starts(workers) <= MAX_STARTS


@pytest.mark.parametrize("is_lasting", [False, True])
@pytest.mark.parametrize("delay_s", [0.0, 0.1, 1.0, 2.5])
@paused_clock.test
async def test_crashes_are_counted_over_changes_of_owner(
    delay_s: float, is_lasting: bool
) -> None:
    """Guards against a count that begins anew with each owner.

    The owner dies some time after each crash, before or after it has noticed that.
    """
    workers = fakes.FakeWorkers(6)
    workers.deadly = {("bad", 0)}
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("bad", 1, is_lasting=is_lasting))
    for changes in range(1, 4):
        async with helpers.run_owner(harness):
            async with asyncio.timeout(60.0):
                while len(workers.starts) < changes and not is_failed(harness):
                    await asyncio.sleep(0.02)
            await asyncio.sleep(delay_s)
        await asyncio.sleep(1.0)
    async with helpers.run_owner(harness):
        await harness.wait_state("bad", model.JobState.FAILED, timeout_s=60.0)
        await asyncio.sleep(10.0)
    assert len(workers.starts) <= MAX_STARTS


@pytest.mark.parametrize("times", [2, 3])
@paused_clock.test
async def test_jobs_survive_the_repeated_loss_of_a_rack(times: int) -> None:
    """Guards against jobs that are given up because their workers lose power."""
    workers = fakes.FakeWorkers(6)
    workers.task_s = 3.0
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await harness.submit(helpers.make_spec("lasting", 3, is_lasting=True))
        for number in range(4):
            await harness.submit(helpers.make_spec(f"job{number}", 4, cpu=500))
        for turn in range(times):
            await asyncio.sleep(3.5)
            rack = [f"quotes-{3 * (turn % 2) + number}" for number in range(3)]
            for worker_id in rack:
                workers.end(worker_id)
            await asyncio.sleep(2.0)
            for worker_id in rack:
                workers.crash(worker_id)
        for number in range(4):
            await harness.wait_state(f"job{number}", model.JobState.DONE, 60.0)
        assert harness.owner.describe("lasting") is model.JobState.RUNNING


@pytest.mark.parametrize("fault", ["cut", "drained", "evacuated"])
@paused_clock.test
async def test_only_deaths_of_workers_count(fault: str) -> None:
    """Guards against tasks that are given up since their workers were cut or left."""
    workers = fakes.FakeWorkers(6)
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(2.0)
        await harness.submit(helpers.make_spec("a", 1))
        await asyncio.sleep(0.2)
        worker_id = workers.starts[0][2]
        if fault == "cut":
            workers.workers[worker_id].is_unresponsive = True
        elif fault == "drained":
            workers.drain(worker_id)
            await asyncio.sleep(0.6)
            workers.end(worker_id)
        else:
            owner.evacuate(worker_id, 10.0, model.EvacuationUrgency.DRAIN)
            workers.end(worker_id)
        await asyncio.sleep(10.0)
        task = owner.jobs_by_id["a"].occurrences[0].steps[0].tasks[0]
        assert not task.crashed_runs
        # A worker that has left is no longer waited for.
        del workers.by_id[worker_id]
        await asyncio.sleep(10.0)
        assert not task.at_risk
    assert len(workers.starts) == 2
    assert not [event for event, _ in harness.events if event == "task_crash"]


@pytest.mark.parametrize(
    ("after_s", "back_after_s"), [(0.0, 3.0), (0.0, 0.2), (0.2, 0.2)]
)
@pytest.mark.parametrize("fault", ["drained", "evacuated"])
@paused_clock.test
async def test_crashes_count_of_workers_that_were_to_leave(
    fault: str, after_s: float, back_after_s: float
) -> None:
    """Guards against starts without a limit if crashed workers were about to leave.

    A worker may be back before the list of hosts shows that it has ended.
    """
    workers = fakes.FakeWorkers(12)
    workers.deadly = {("bad", 0)}
    workers.deadly_after_s = after_s
    workers.back_after_s = back_after_s
    harness = helpers.OwnerHarness(workers)

    def take_away(task: model.TaskKey) -> None:
        worker_id = workers.starts[-1][2]
        if fault == "drained":
            workers.drain(worker_id)
        else:
            harness.owner.evacuate(worker_id, 60.0, model.EvacuationUrgency.DRAIN)

    workers.on_start = take_away
    async with helpers.run_owner(harness):
        await harness.submit(helpers.make_spec("bad", 1))
        await harness.wait_state("bad", model.JobState.FAILED, timeout_s=60.0)
    assert len(workers.starts) <= MAX_STARTS


@pytest.mark.parametrize(
    ("crashes", "is_stored", "may_start"),
    [(1, False, True), (2, False, False), (2, True, True)],
)
def test_count_near_its_limit_is_stored_before_the_next_start(
    crashes: int, is_stored: bool, may_start: bool
) -> None:
    """Guards against crashes that are lost with the owner while the store is down."""
    job = state.JobProgress(helpers.make_spec("a", 2))
    task = job.occurrences[0].steps[0].tasks[1]
    for run in range(crashes):
        assert crash_counts.record(job, task, run + 1, f"w{run}")
    if is_stored:
        job.stored_crash_version = job.crash_version
    assert crash_counts.may_start(job) is may_start


@paused_clock.test
async def test_suspect_task_waits_while_appends_fail() -> None:
    """Guards against deaths that are lost with an owner whose appends fail.

    Only a task that has seen a death waits; the others start without a record.
    """
    workers = fakes.FakeWorkers(6)
    workers.deadly = {("bad", 0)}
    workers.back_after_s = 1.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("bad", 1))
    await harness.submit(helpers.make_spec("good", 600))
    async with helpers.run_owner(harness) as owner:
        while not any(event == "task_crash" for event, _ in harness.events):
            await asyncio.sleep(0.001)
        job = owner.jobs_by_id["bad"]
        while job.stored_crash_version != job.crash_version:
            await asyncio.sleep(0.001)
        harness.store.is_down = True
        before = count_starts(workers)
        good_starts = sum(key.job_id == "good" for key, _, _ in workers.starts)
        await asyncio.sleep(6.0)
        assert count_starts(workers)["bad", 0] == before["bad", 0]
        starts = sum(key.job_id == "good" for key, _, _ in workers.starts)
        assert starts > good_starts
    harness.store.is_down = False
    async with helpers.run_owner(harness):
        await harness.wait_state("bad", model.JobState.FAILED, timeout_s=60.0)
    assert count_deadly_starts(workers) <= MAX_STARTS


@paused_clock.test
async def test_deaths_count_that_their_owner_did_not_survive() -> None:
    """Guards against starts without a limit if each owner is lost with the worker."""
    workers = fakes.FakeWorkers(6)
    workers.deadly = {("bad", 0)}
    started = asyncio.Event()
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("bad", 1))
    async with helpers.run_owner(harness) as owner:
        while not any(event == "task_crash" for event, _ in harness.events):
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)
        assert owner.jobs_by_id["bad"].stored_crash_version
    workers.on_start = lambda task: started.set()
    for _ in range(6):
        started.clear()
        async with helpers.run_owner(harness):
            while not started.is_set() and not is_failed(harness):
                await asyncio.sleep(0.001)
    assert is_failed(harness)
    assert len(workers.starts) <= MAX_STARTS


@paused_clock.test
async def test_crashes_of_a_job_that_goes_on_become_stored() -> None:
    """Guards against a job that never starts again since its count is not stored."""
    workers = fakes.FakeWorkers(6)
    workers.task_s = 1.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 12))
    async with helpers.run_owner(harness):
        for _ in range(2):
            await asyncio.sleep(0.5)
            for number in range(5):
                workers.end(f"quotes-{number}")
            await asyncio.sleep(2.5)
            for number in range(5):
                workers.crash(f"quotes-{number}")
        await harness.wait_state("a", model.JobState.DONE, timeout_s=60.0)
    assert [event for event, _ in harness.events if event == "task_crash"]


@pytest.mark.parametrize("bad_jobs", [1, 2])
@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.25])
@pytest.mark.parametrize("is_gang", [False, True])
@paused_clock.test
async def test_deadly_task_beside_a_stream_of_jobs(
    bad_jobs: int, after_s: float, is_gang: bool
) -> None:
    """Guards against suspicion that falls on starts after the worker had died."""
    workers = fakes.FakeWorkers(6, cpu=64_000)
    workers.deadly = {(f"bad{i}", 0) for i in range(bad_jobs)}
    workers.deadly_after_s = after_s
    harness = helpers.OwnerHarness(workers)
    step = model.StepSpec(2, 100, 100, estimate_ms=500, is_gang=is_gang)
    if not is_gang:
        step = model.StepSpec(1, 100, 100, estimate_ms=500)
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
        for turn in range(150):
            if turn % 25 == 0 and turn // 25 < bad_jobs:
                await harness.submit(helpers.make_spec(f"bad{turn // 25}", 1, cpu=100))
            await harness.submit(
                model.JobSpec(
                    f"good{turn}",
                    "q",
                    "quotes",
                    "p",
                    (step,),
                    max_attempts=3,
                    objective_ms=600,
                    stretch=1.6,
                )
            )
            await asyncio.sleep(0.1)
        await asyncio.sleep(60.0)
    starts = [
        sum(key.job_id == f"bad{i}" for key, _, _ in workers.starts)
        for i in range(bad_jobs)
    ]
    assert max(starts) <= MAX_STARTS


def test_job_leaves_probation_after_its_gang_is_done() -> None:
    """Guards against a job that runs one task at a time for good."""
    spec = model.JobSpec(
        "a",
        "q",
        "quotes",
        "payload",
        (
            model.StepSpec(3, 1000, 100, is_gang=True),
            model.StepSpec(50, 1000, 100, after=(0,)),
        ),
    )
    job = state.JobProgress(spec)
    step = job.occurrences[0].steps[0]
    crash_counts.record(job, step.tasks[0], 1, "w0")
    crash_counts.record(job, step.tasks[1], 2, "w1")
    # As `PoolOwner.on_end` and `_finish_gang` do if member 2 is listed first.
    crash_counts.acquit(job, step.tasks[2])
    for task in step.tasks:
        state.mark_done(step, task)
    assert not crash_counts.is_on_probation(job)


@paused_clock.test
async def test_adopted_run_is_no_longer_stored_as_at_risk() -> None:
    """Guards against a later, unrelated death that counts for an adopted run."""
    workers = fakes.FakeWorkers(2)
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1))
    async with helpers.run_owner(harness):
        while not workers.starts:
            await asyncio.sleep(0.02)
        used = workers.starts[0][2]
        await asyncio.sleep(0.1)
        workers.workers[used].is_unresponsive = True
        await asyncio.sleep(1.4)
    workers.workers[used].is_unresponsive = False
    async with helpers.run_owner(harness):
        await asyncio.sleep(12.0)
    workers.crash(used)
    async with helpers.run_owner(harness):
        await asyncio.sleep(8.0)
    assert not [fields for event, fields in harness.events if event == "task_crash"]


@pytest.mark.parametrize("after_s", [0.0, 0.2])
@pytest.mark.parametrize("count", [1, 2])
@pytest.mark.parametrize("back_s", [3.0, 8.0])
@paused_clock.test
async def test_deadly_task_on_a_pool_whose_workers_all_die(
    after_s: float, count: int, back_s: float
) -> None:
    """Guards against deaths that lapse uncounted as no worker proves the list."""
    workers = fakes.FakeWorkers(count)
    workers.deadly = {("bad", 0)}
    workers.deadly_after_s = after_s
    workers.back_after_s = back_s
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await harness.submit(helpers.make_spec("bad", 1))
        await asyncio.sleep(120.0)
        assert harness.owner.describe("bad") is model.JobState.FAILED
    assert count_deadly_starts(workers) <= MAX_STARTS


@pytest.mark.parametrize(
    ("crashes", "at_risk", "is_held"),
    [(0, 6, False), (3, 1, False), (4, 0, False), (1, 4, True), (4, 1, True)],
)
def test_unresolved_runs_hold_only_a_task_that_has_seen_a_death(
    crashes: int, at_risk: int, is_held: bool
) -> None:
    """Guards against tasks that wait although no worker has died under them."""
    job = state.JobProgress(helpers.make_spec("a", 1))
    task = job.occurrences[0].steps[0].tasks[0]
    task.crashed_runs = set(range(crashes))
    task.at_risk = {10 + run: ("w", 1) for run in range(at_risk)}
    assert crash_counts.is_held(task) is is_held
    assert crash_counts.has_ready_tasks(job, 1.0) is not is_held


@paused_clock.test
async def test_held_task_goes_on_once_the_list_of_hosts_is_back() -> None:
    """Guards against a job that waits for good for workers that never come back."""
    workers = fakes.FakeWorkers(6)
    workers.deadly = {("bad", 0)}
    workers.back_after_s = 600.0
    workers.lists_hosts = False
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await harness.submit(helpers.make_spec("bad", 1))
        while len(workers.starts) < MAX_STARTS:
            await asyncio.sleep(0.1)
        workers.crash(workers.starts[0][2])
        await asyncio.sleep(20.0)
        assert len(workers.starts) == MAX_STARTS
        workers.lists_hosts = True
        await harness.wait_state("bad", model.JobState.FAILED, timeout_s=10.0)


@paused_clock.test
async def test_deadly_task_without_a_list_of_hosts() -> None:
    """Guards against deaths that count too late while the list is not answered."""
    workers = fakes.FakeWorkers(6)
    workers.deadly = {("bad", 0)}
    workers.back_after_s = 8.0
    workers.lists_hosts = False
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await harness.submit(helpers.make_spec("bad", 1))
        await asyncio.sleep(120.0)
    assert count_deadly_starts(workers) <= MAX_STARTS
