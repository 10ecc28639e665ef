"""Tests of the owner of a pool on a paused clock."""

import asyncio
import dataclasses

import pytest

from clementinespar import errors
from clementinespar.jobs import model, pool_owner, services, worker_lease
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock


@paused_clock.test
async def test_job_is_done_and_its_ends_are_acknowledged() -> None:
    """Guards against ends without acknowledgement, which workers list forever."""
    harness = helpers.OwnerHarness(fakes.FakeWorkers())
    async with helpers.run_owner(harness):
        await harness.submit(helpers.make_spec("a", task_count=5))
        await harness.wait_state("a", model.JobState.DONE)
        await asyncio.sleep(2.0)
        assert all(not worker.ended for worker in harness.workers.workers.values())
    assert len(harness.workers.starts) == 5
    assert not harness.workers.violations


@paused_clock.test
async def test_done_is_stored_before_it_is_shown() -> None:
    """Guards against a job shown as done that runs again after its owner is lost."""
    harness = helpers.OwnerHarness(fakes.FakeWorkers())
    async with helpers.run_owner(harness) as owner:
        await harness.submit(helpers.make_spec("a", task_count=1))
        while not harness.workers.starts:
            await asyncio.sleep(0.01)
        harness.store.is_down = True
        await asyncio.sleep(3.0)
        assert owner.describe("a") is model.JobState.RUNNING
        harness.store.is_down = False
        await harness.wait_state("a", model.JobState.DONE)


@paused_clock.test
async def test_all_nodes_lost_after_an_acknowledgement() -> None:
    """Guards against an accepted job that is lost when all nodes lose power."""
    harness = helpers.OwnerHarness(fakes.FakeWorkers())
    await harness.submit(helpers.make_spec("a"))
    async with helpers.run_owner(harness):
        await asyncio.sleep(0.1)
    async with helpers.run_owner(harness):
        await harness.wait_state("a", model.JobState.DONE)
    assert not harness.workers.violations


@paused_clock.test
async def test_next_owner_adopts_what_runs() -> None:
    """Guards against a second run of a task that the previous owner started."""
    workers = fakes.FakeWorkers()
    workers.task_s = 3.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=4))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
    assert len(workers.starts) == 4
    async with helpers.run_owner(harness):
        await harness.wait_state("a", model.JobState.DONE)
    assert len(workers.starts) == 4


@paused_clock.test
async def test_next_owner_waits_for_a_worker_that_it_cannot_reach() -> None:
    """Guards against a second run while the first executes behind a network cut."""
    workers = fakes.FakeWorkers()
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=2))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
    used = {worker_id for _, _, worker_id in workers.starts}
    unresponsive = sorted(used)[0]
    workers.workers[unresponsive].is_unresponsive = True
    async with helpers.run_owner(harness):
        await asyncio.sleep(20.0)
    assert not workers.violations
    runs = sorted(
        run for _, run, worker_id in workers.starts if worker_id != unresponsive
    )
    assert runs[-1] > 1000  # started again with a number above those of the first owner


@paused_clock.test
async def test_new_job_starts_while_a_previous_worker_is_unresponsive() -> None:
    """Guards against a pool in which nothing starts after a change of owner."""
    workers = fakes.FakeWorkers(3)
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("old", task_count=3))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
    workers.workers["quotes-0"].is_unresponsive = True
    async with helpers.run_owner(harness):
        await asyncio.sleep(0.5)
        await harness.submit(helpers.make_spec("new", task_count=1))
        await asyncio.sleep(0.5)
        assert any(task.job_id == "new" for task, _, _ in workers.starts)


@paused_clock.test
async def test_lease_of_an_unresponsive_worker_ends() -> None:
    """Guards against renewals without answers that keep a lease from ever ending.

    A lasting task of a crashed worker would not start again.
    """
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=1, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
        first = workers.starts[0][2]
        workers.workers[first].is_unresponsive = True
        await asyncio.sleep(helpers.LEASE_MAX_S + 3.0)
        assert len(workers.starts) == 2
        assert workers.starts[1][2] != first
    assert not workers.violations


@paused_clock.test
async def test_speculative_copy_starts_while_the_worker_is_unresponsive() -> None:
    """Guards against waiting for the lease to end where a copy may run in parallel."""
    workers = fakes.FakeWorkers(2)
    workers.task_s = 3.0
    harness = helpers.OwnerHarness(workers)
    spec = helpers.make_spec("a", task_count=1)
    step = dataclasses.replace(spec.steps[0], is_speculative=True)
    await harness.submit(dataclasses.replace(spec, steps=(step,)))
    async with helpers.run_owner(harness):
        await asyncio.sleep(0.5)
        workers.workers[workers.starts[0][2]].is_unresponsive = True
        await harness.wait_state("a", model.JobState.DONE, helpers.LEASE_MAX_S - 0.5)
    assert len(workers.starts) == 2


@paused_clock.test
async def test_flapping_worker_gets_a_pause() -> None:
    """Guards against an idle worker that attracts work each time it returns."""
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(0.5)
        pauses = []
        for _ in range(3):
            workers.workers["quotes-0"].is_unresponsive = True
            await asyncio.sleep(2.0)
            workers.workers["quotes-0"].is_unresponsive = False
            await asyncio.sleep(0.8)
            now = asyncio.get_running_loop().time()
            session = owner.sessions_by_id["quotes-0"]
            pauses.append(max(0.0, session.ejected_until - now))
        assert pauses[0] == 0.0
        assert 0.0 < pauses[1] < pauses[2]
        assert owner.sessions_by_id["quotes-1"].ejected_until == 0.0


@paused_clock.test
async def test_start_without_an_answer_is_closed_before_the_next() -> None:
    """Guards against a second run beside one whose start had no answer."""
    workers = fakes.FakeWorkers(2)
    workers.task_s = 5.0
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await asyncio.sleep(0.5)
        for worker in workers.workers.values():
            worker.loses_answers = True
        await harness.submit(helpers.make_spec("a", task_count=2))
        await asyncio.sleep(1.0)
        for worker in workers.workers.values():
            worker.loses_answers = False
        await harness.wait_state("a", model.JobState.DONE, 60.0)
    assert not workers.violations


@paused_clock.test
async def test_nothing_starts_without_confirmed_ownership() -> None:
    """Guards against orders of an owner whose confirmation by the store is too old."""
    workers = fakes.FakeWorkers()
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
        harness.confirmed_at = asyncio.get_running_loop().time() - helpers.LEASE_MAX_S
        await harness.submit(helpers.make_spec("a"))
        await asyncio.sleep(2.0)
        assert not workers.starts
        harness.confirmed_at = None
        await harness.wait_state("a", model.JobState.DONE)


@paused_clock.test
async def test_fenced_owner_gives_up() -> None:
    """Guards against an owner that acts after the next owner has taken over."""
    workers = fakes.FakeWorkers()
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness) as first:
        await asyncio.sleep(0.5)
        async with helpers.run_owner(harness) as second:
            await harness.submit(helpers.make_spec("a", task_count=6))
            await harness.wait_state("a", model.JobState.DONE)
            assert first.is_lost
            assert not second.is_lost
    assert not workers.violations


@paused_clock.test
async def test_worker_is_not_free_before_the_next_owner_has_read_it() -> None:
    """Guards against maintenance that ends lasting tasks after a change of owner.

    The next owner has no session with the worker yet, so it does not know its runs.
    """
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=2, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
    workers.is_loaded = False
    async with helpers.run_owner(harness) as owner:
        while not owner.is_loaded:
            await asyncio.sleep(0.01)
        drain = model.EvacuationUrgency.DRAIN
        assert not owner.evacuate("quotes-0", 1.0, drain)


@paused_clock.test
async def test_evacuation_moves_no_more_lasting_tasks_than_may_miss() -> None:
    """Guards against an evacuation that takes two tasks of a step down at once."""
    workers = fakes.FakeWorkers(4)
    harness = helpers.OwnerHarness(workers)
    spec = helpers.make_spec("a", task_count=2, is_lasting=True, may_miss=1)
    await harness.submit(spec)
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(1.0)
        used = [worker_id for _, _, worker_id in workers.starts]
        drain = model.EvacuationUrgency.DRAIN
        lowest = 2
        for _ in range(200):
            for worker_id in used:
                owner.evacuate(worker_id, 5.0, drain)
            await asyncio.sleep(0.01)
            running = sum(len(w.running) for w in workers.workers.values())
            lowest = min(lowest, running)
        assert lowest == 1
        assert all(not workers.workers[worker_id].running for worker_id in used)


@paused_clock.test
async def test_pools_of_one_partition_stay_apart() -> None:
    """Guards against a start on a worker of another pool of the same partition.

    Pools are assigned to partitions by a hash, so two of them may share one.
    """
    workers = fakes.FakeWorkers(2, pool="quotes")
    workers.add("batches-0", "batches", cpu=64_000)
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await harness.submit(helpers.make_spec("a", task_count=6, pool="quotes"))
        await harness.wait_state("a", model.JobState.DONE)
    assert {worker_id for _, _, worker_id in workers.starts} <= {"quotes-0", "quotes-1"}


@paused_clock.test
async def test_unknown_job_is_not_reported_from_an_old_view() -> None:
    """Guards against reporting an accepted job as unknown while reads fail.

    A read of the commands may hang on a connection that no longer answers.
    """
    harness = helpers.OwnerHarness(fakes.FakeWorkers())
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(1.0)
        assert owner.describe("missing") is None
        harness.store.is_down = True
        await asyncio.sleep(4.0)
        with pytest.raises(errors.ClementinesparError):
            owner.describe("missing")


@paused_clock.test
async def test_explanation_names_runs_and_what_is_awaited() -> None:
    """Guards against an explanation without the reason why a job does not proceed."""
    workers = fakes.FakeWorkers(1)
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=2))
    async with helpers.run_owner(harness):
        await asyncio.sleep(0.5)
    workers.workers["quotes-0"].is_unresponsive = True
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(0.5)
        explained = owner.explain("a")
        assert explained is not None
        assert explained.waits_for == "unresponsive workers of the previous owner"
        assert any("0 of 2 tasks done" in line for line in explained.because)
        assert owner.explain("missing") is None


@paused_clock.test
async def test_only_advised_workers_run_a_step() -> None:
    """Guards against starts on workers that refuse them without a ticket."""
    workers = fakes.FakeWorkers(4)
    harness = helpers.OwnerHarness(workers)
    harness.adviser.is_busy = True
    spec = dataclasses.replace(helpers.make_spec("a", 6), needs_advice=True)
    async with helpers.run_owner(harness):
        await harness.submit(spec)
        await asyncio.sleep(1.0)
        assert not workers.starts
        harness.adviser.is_busy = False
        harness.adviser.allowed_ids = {"quotes-2"}
        await harness.wait_state("a", model.JobState.DONE)
    assert {worker_id for _, _, worker_id in workers.starts} == {"quotes-2"}
    assert harness.adviser.calls < 10


@pytest.mark.parametrize("count", [100, 106, 250])
@paused_clock.test
async def test_advice_in_a_large_pool(count: int) -> None:
    """Guards against a step for whose only workers the adviser is never asked.

    A request names at most 100 workers, those with the most free cores.
    """
    workers = fakes.FakeWorkers(count - 2)
    for number in range(2):
        workers.add(f"small-{number}", "quotes", 2_000)
    harness = helpers.OwnerHarness(workers)
    harness.adviser.allowed_ids = {"small-0", "small-1"}
    spec = dataclasses.replace(helpers.make_spec("a", 6), needs_advice=True)
    async with helpers.run_owner(harness):
        await harness.submit(spec)
        await harness.wait_state("a", model.JobState.DONE, 10.0)
        workers.workers["small-0"].is_unresponsive = True
        workers.workers["small-1"].is_unresponsive = True
        await asyncio.sleep(2.0)
        harness.adviser.allowed_ids.add("quotes-0")
        await harness.submit(dataclasses.replace(spec, job_id="b"))
        await harness.wait_state("b", model.JobState.DONE, 15.0)
    assert {w for _, _, w in workers.starts} == {"small-0", "small-1", "quotes-0"}
    assert max(harness.adviser.asked) <= 100


@paused_clock.test
async def test_cancelled_job_stops_and_stays_cancelled() -> None:
    """Guards against tasks of a cancelled job that go on or start again."""
    workers = fakes.FakeWorkers()
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=2))
    async with helpers.run_owner(harness):
        await asyncio.sleep(0.5)
        await harness.cancel("a")
        await asyncio.sleep(0.5)
        assert all(not worker.running for worker in workers.workers.values())
    async with helpers.run_owner(harness) as owner:
        await harness.submit(helpers.make_spec("a", task_count=2))
        await asyncio.sleep(1.0)
        assert owner.describe("a") is model.JobState.CANCELLED
    assert len(workers.starts) == 2


@paused_clock.test
async def test_failures_count_once_over_a_change_of_owner() -> None:
    """Guards against a job that fails early because a failed end is listed again."""
    workers = fakes.FakeWorkers(1)
    worker = workers.workers["quotes-0"]
    worker.end_kind = model.EndKind.FAILED
    worker.loses_acknowledgements = True
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=1, max_attempts=2))
    async with helpers.run_owner(harness):
        while not worker.ended:
            await asyncio.sleep(0.02)
        worker.end_kind = model.EndKind.DONE
        workers.task_s = 3.0  # the second run is executing when the owner changes
        await asyncio.sleep(1.0)
    async with helpers.run_owner(harness):
        await harness.wait_state("a", model.JobState.DONE)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{",
        b"[]",
        b'{"epoch":1,"occurrences":{"0":{}}}',
        b'{"epoch":1,"occurrences":[]}',
        b'{"epoch":1,"occurrences":{"0":{"done":{},"failed":{},"crashed":[]}}}',
        b'{"epoch":"x"}',
    ],
)
def test_progress_that_cannot_be_read_is_left_out(value: bytes) -> None:
    """Guards against one invalid entry that keeps a partition from loading."""

    async def scenario() -> None:
        harness = helpers.OwnerHarness(fakes.FakeWorkers())
        await harness.submit(helpers.make_spec("bad"))
        await harness.submit(helpers.make_spec("good"))
        progress = harness.store.values[services.Topic.PROGRESS, helpers.PARTITION]
        progress["pbad"] = value
        async with helpers.run_owner(harness):
            await harness.wait_state("good", model.JobState.DONE)

    paused_clock.run(scenario())


@paused_clock.test
async def test_changes_of_owner_do_not_prolong_the_wait_for_a_worker() -> None:
    """Guards against a wait for previous leases that restarts with each owner.

    If the owner changes every few seconds, a lasting task of an unresponsive rack would
    stay down for as long; it was down for 20 s.
    """
    workers = fakes.FakeWorkers(3)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=1, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
    used = workers.starts[0][2]
    workers.workers[used].is_unresponsive = True
    for _ in range(5):
        async with helpers.run_owner(harness):
            await asyncio.sleep(helpers.LEASE_MAX_S / 3)
    assert [worker_id for _, _, worker_id in workers.starts[1:]] != []
    assert not workers.violations


@paused_clock.test
async def test_lease_is_extended_only_where_the_next_owner_waits_for_it() -> None:
    """Guards against a lease on a worker that the store does not know to be in use.

    A worker that responds again just before a change of owner would continue the runs
    of the first owner, and the next owner would not wait for them.
    """
    workers = fakes.FakeWorkers(2)
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=1, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
    used = workers.workers[workers.starts[0][2]]
    used.is_unresponsive = True
    async with helpers.run_owner(harness):
        await asyncio.sleep(helpers.LEASE_MAX_S / 2)
        harness.store.is_down = True
        used.is_unresponsive = False
        await asyncio.sleep(1.0)
        used.is_unresponsive = True
    harness.store.is_down = False
    async with helpers.run_owner(harness):
        await asyncio.sleep(2 * helpers.LEASE_MAX_S)
    assert len(workers.starts) == 2
    assert not workers.violations


@paused_clock.test
async def test_unreadable_record_of_the_workers_in_use() -> None:
    """Guards against a second run when the previous owner's record is unreadable."""
    workers = fakes.FakeWorkers(2)
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=1))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
    workers.workers[workers.starts[0][2]].is_unresponsive = True
    await harness.store.append(
        services.Topic.PROGRESS,
        helpers.PARTITION,
        [services.KeyedRecord("workers", b"[1]")],
    )
    async with helpers.run_owner(harness):
        await asyncio.sleep(2 * helpers.LEASE_MAX_S)
    assert len(workers.starts) == 2
    assert not workers.violations


@paused_clock.test
async def test_next_owner_extends_leases_before_its_first_record() -> None:
    """Guards against leases that end while the store is unavailable after a takeover.

    Leases of adopted runs must not wait for the first record of the next owner.
    """
    workers = fakes.FakeWorkers(1)
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=2))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
    async with helpers.run_owner(harness) as owner:
        while not owner.is_loaded:
            await asyncio.sleep(0.001)
        harness.store.is_down = True
        await asyncio.sleep(2 * helpers.LEASE_MAX_S)
        assert len(workers.workers["quotes-0"].running) == 2
    assert not workers.violations


@paused_clock.test
@pytest.mark.parametrize("is_evacuated", [True, False])
async def test_next_owner_does_not_wait_for_idle_workers(is_evacuated: bool) -> None:
    """Guards against waiting for the lease of a worker without runs.

    Its host was moved, or it became unresponsive while idle. A lasting task would stay
    down for a whole lease, 6 s, if the owner changes meanwhile.
    """
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=1, is_lasting=True))
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(1.0)
        used = workers.starts[0][2]
        idle = next(worker_id for worker_id in workers.workers if worker_id != used)
        if is_evacuated:
            assert owner.evacuate(idle, 5.0, model.EvacuationUrgency.IF_IDLE)
        workers.workers[idle].is_unresponsive = True
        await asyncio.sleep(0.2 if is_evacuated else 4.0)
    workers.crash(used)
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
    assert [worker_id for _, _, worker_id in workers.starts] == [used, used]
    assert not workers.violations


@paused_clock.test
async def test_worker_with_a_run_after_its_release_stays_in_use() -> None:
    """Guards against a run on a worker that the next owner does not wait for."""
    workers = fakes.FakeWorkers(1)
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(1.0)
        assert owner.evacuate("quotes-0", 0.3, model.EvacuationUrgency.IF_IDLE)
        await harness.submit(helpers.make_spec("a", task_count=1))
        await asyncio.sleep(2.0)
        assert len(workers.starts) == 1
    workers.workers["quotes-0"].is_unresponsive = True
    workers.add("quotes-1", "quotes")
    async with helpers.run_owner(harness):
        await asyncio.sleep(helpers.LEASE_MAX_S - 1.5)
        assert len(workers.starts) == 1
        await asyncio.sleep(3.0)
        assert len(workers.starts) == 2
    assert not workers.violations


@paused_clock.test
async def test_run_that_may_be_working_is_kept_while_others_are_down() -> None:
    """Guards against stopping a run that may have started working since its report.

    An evacuation would take down more tasks of the step than `may_miss` allows.
    """
    workers = fakes.FakeWorkers(3)
    harness = helpers.OwnerHarness(workers)
    spec = helpers.make_spec("a", task_count=2, is_lasting=True, may_miss=1)
    await harness.submit(spec)
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(1.0)
        down, kept = (worker_id for _, _, worker_id in workers.starts)
        workers.workers[down].is_unresponsive = True
        await asyncio.sleep(3.0)
        for run in owner.sessions_by_id[kept].runs.values():
            run.percent = 50  # as last reported
        assert not owner.evacuate(kept, 5.0, model.EvacuationUrgency.DRAIN)
        await asyncio.sleep(0.3)
        assert workers.workers[kept].running


@paused_clock.test
async def test_next_owner_waits_only_for_the_rest_of_a_silent_lease() -> None:
    """Guards against jobs that wait for a whole lease after a change of owner.

    The load of a rack that is lost some seconds before a rolling restart: the next
    owner waited another 10 s for the leases of workers that had been silent for 7 s.
    """
    workers = fakes.FakeWorkers(2)
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=2, cpu=4000))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
        assert len(workers.starts) == 2
        workers.workers["quotes-0"].is_unresponsive = True
        await asyncio.sleep(helpers.LEASE_MAX_S * 0.7)
        # Adopted by this owner, and no worker has room for it.
        await harness.submit(helpers.make_spec("b", task_count=1, cpu=4000))
        await asyncio.sleep(0.2)
    workers.add("quotes-2", "quotes")
    workers.add("quotes-3", "quotes")  # for the task of the silent worker
    took_over_at = asyncio.get_running_loop().time()
    async with helpers.run_owner(harness):
        while not any(key.job_id == "b" for key, _, _ in workers.starts):
            await asyncio.sleep(0.05)
        waited_s = asyncio.get_running_loop().time() - took_over_at
        await asyncio.sleep(2 * helpers.LEASE_MAX_S)
    assert waited_s < helpers.LEASE_MAX_S / 2
    assert not workers.violations


@paused_clock.test
async def test_silent_worker_gets_no_lease_until_it_is_recorded_again() -> None:
    """Guards against a second run beside one whose lease the next owner ignores.

    The worker answers again while the store is down, so that no record has it in use.
    """
    workers = fakes.FakeWorkers(2)
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=2, cpu=4000))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
        silent = workers.workers["quotes-0"]
        silent.is_unresponsive = True
        await asyncio.sleep(3.0)
        harness.store.is_down = True
        silent.is_unresponsive = False
        await asyncio.sleep(1.0)
        silent.is_unresponsive = True
    harness.store.is_down = False
    async with helpers.run_owner(harness):
        await asyncio.sleep(2 * helpers.LEASE_MAX_S)
    assert not workers.violations


@paused_clock.test
async def test_silent_worker_that_answers_keeps_its_work() -> None:
    """Guards against work given up on a worker that was only slow to report."""
    workers = fakes.FakeWorkers(1)
    workers.task_s = 20.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=1))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
        for _ in range(3):
            workers.workers["quotes-0"].is_unresponsive = True
            await asyncio.sleep(3.0)
            workers.workers["quotes-0"].is_unresponsive = False
            await asyncio.sleep(2.0)
        await harness.wait_state("a", model.JobState.DONE)
    assert len(workers.starts) == 1
    assert not workers.violations


@paused_clock.test
async def test_released_worker_gets_no_lease_while_the_record_has_no_answer() -> None:
    """Guards against a lease that the next owner does not know of.

    The record without the worker is stored, but its answer is lost; the worker answers
    again meanwhile.
    """
    workers = fakes.FakeWorkers(2)
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=2, cpu=4000))
    async with helpers.run_owner(harness):
        await asyncio.sleep(1.0)
        silent = workers.workers["quotes-0"]
        silent.is_unresponsive = True
        await asyncio.sleep(1.0)
        harness.store.loses_answers = True
        await asyncio.sleep(helpers.LEASE_MAX_S / 2)
        lease_until_ms = silent.lease_until_ms
        silent.is_unresponsive = False
        await asyncio.sleep(1.0)
        assert silent.lease_until_ms == lease_until_ms
    harness.store.loses_answers = False
    async with helpers.run_owner(harness):
        await asyncio.sleep(2 * helpers.LEASE_MAX_S)
    assert not workers.violations


@paused_clock.test
async def test_load_tells_draining_workers_and_the_hosts_of_lasting_tasks() -> None:
    """Guards against a draining worker that counts as capacity of its pool.

    The lasting task on it would have nowhere to go.
    """
    workers = fakes.FakeWorkers(3)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=3, is_lasting=True))
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(2.0)
        workers.drain("quotes-1")
        await asyncio.sleep(1.0)
        load = owner.describe_load("quotes")
    assert load["lasting_hosts"] == 3
    described = load["workers"]
    assert isinstance(described, dict)
    leaving = [name for name, worker in described.items() if worker["is_leaving"]]
    assert leaving == ["quotes-1"]


@paused_clock.test
async def test_next_owner_waits_no_longer_than_leases_are_granted() -> None:
    """Guards against a wait for the longest lease where shorter ones are granted."""
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=1, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(2.0)
    used = workers.starts[0][2]
    workers.workers[used].is_unresponsive = True
    granted_s = worker_lease.find_granted_s(helpers.LEASE_MAX_S)
    margin_s = worker_lease.LEASE_MARGIN_S + pool_owner.HOUSEKEEPING_INTERVAL_S
    async with helpers.run_owner(harness):
        await asyncio.sleep(granted_s + margin_s + 0.1)
        assert len(workers.starts) == 2
    assert not workers.violations


@paused_clock.test
async def test_starts_respect_a_capacity_that_shrinks_and_grows() -> None:
    """Guards against starts beyond what a worker says of itself at the time."""
    workers = fakes.FakeWorkers(1, cpu=4000)
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=3))
    async with helpers.run_owner(harness):
        await asyncio.sleep(2.0)
        assert len(workers.starts) == 3
        workers.resize("quotes-0", 2000)
        await asyncio.sleep(1.0)
        await harness.submit(helpers.make_spec("b", task_count=3))
        await asyncio.sleep(2.0)
        assert len(workers.starts) == 3
    async with helpers.run_owner(harness):
        await asyncio.sleep(2.0)
        assert len(workers.starts) == 3
        workers.resize("quotes-0", 5000)
        await asyncio.sleep(2.0)
        assert len(workers.starts) == 5
    assert not workers.violations


@paused_clock.test
async def test_run_that_is_being_stopped_counts_against_a_smaller_capacity() -> None:
    """Guards against a start in the room of a run that has not ended yet."""
    workers = fakes.FakeWorkers(1, cpu=2000)
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", task_count=2))
    async with helpers.run_owner(harness):
        await asyncio.sleep(2.0)
        workers.resize("quotes-0", 1000)
        await asyncio.sleep(1.0)
        await harness.submit(helpers.make_spec("b", task_count=1))
        await harness.cancel("a")
        await asyncio.sleep(2.0)
        assert [key.job_id for key, _, _ in workers.starts] == ["a", "a", "b"]
    assert not workers.violations


@paused_clock.test
async def test_end_of_a_new_life_is_not_acknowledged_by_a_number_of_the_old_one() -> (
    None
):
    """Guards against a task that runs again although its end was acknowledged.

    A worker that has restarted unnoticed carries a start out, and its ends are numbered
    from one again.
    """
    workers = fakes.FakeWorkers(1)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 3))
    async with helpers.run_owner(harness):
        await harness.wait_state("a", model.JobState.DONE)
        await asyncio.sleep(2.0)
        workers.task_s = 60.0
        await harness.submit(helpers.make_spec("b", 1))
        while len(workers.starts) < 4:
            await asyncio.sleep(0.01)
        task, run, worker_id = workers.starts[-1]
        workers.crash(worker_id)
        reborn = workers.workers[worker_id]
        reborn.ended.append(model.EndedTask(1, task, run, model.EndKind.DONE, ""))
        reborn.next_number = 2
        await harness.wait_state("b", model.JobState.DONE)
    assert len(workers.starts) == 4
    assert not workers.violations


@paused_clock.test
async def test_acknowledgement_without_an_answer_is_not_sent_to_a_new_life() -> None:
    """Guards against an end that a worker forgets before its owner has read it.

    The worker dies after an acknowledgement without an answer. Its next life carries a
    start out, and numbers its ends from one again.
    """
    workers = fakes.FakeWorkers(1)
    harness = helpers.OwnerHarness(workers)
    workers.task_s = 60.0
    await harness.submit(helpers.make_spec("b", 1))
    async with helpers.run_owner(harness) as owner:
        while not workers.starts:
            await asyncio.sleep(0.01)
        task, run, worker_id = workers.starts[0]
        workers.task_s = 0.3
        await harness.submit(helpers.make_spec("a", 1))
        while not owner.sessions_by_id[worker_id].ends.processed:
            await asyncio.sleep(0.001)
        workers.workers[worker_id].loses_answers = True
        while not owner.sessions_by_id[worker_id].is_silent:
            await asyncio.sleep(0.001)
        workers.crash(worker_id)
        reborn = workers.workers[worker_id]
        reborn.ended.append(model.EndedTask(1, task, run, model.EndKind.DONE, ""))
        reborn.next_number = 2
        await harness.wait_state("b", model.JobState.DONE)
    assert len(workers.starts) == 2
    assert not workers.violations
