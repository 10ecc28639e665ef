"""Tests of steps that run only on workers with a ticket of the adviser."""

import asyncio
import dataclasses
import time
from collections.abc import Callable
from typing import Any

import pytest

from clementinespar.jobs import model
from clementinespar.jobs.tests import fake_adviser, fakes, helpers
from clementinespar.tests import paused_clock

LOST_AFTER_S = 3.0  # a job with room may have nothing running for this long


def make_spec(
    job_id: str, task_count: int = 2, cpu: int = 1000, **step_fields: Any
) -> model.JobSpec:
    """Return a job of one step that needs advice."""
    spec = helpers.make_spec(job_id, task_count, cpu)
    step = dataclasses.replace(spec.steps[0], **step_fields)
    return dataclasses.replace(spec, steps=(step,), needs_advice=True)


def find_workers(workers: fakes.FakeWorkers, job_id: str) -> list[str]:
    """Return the workers on which tasks of a job have started, in order."""
    return [worker for key, _, worker in workers.starts if key.job_id == job_id]


async def wait_started(workers: fakes.FakeWorkers, job_id: str, limit_s: float) -> None:
    """Wait until a task of a job has started."""
    async with asyncio.timeout(limit_s):
        while not find_workers(workers, job_id):
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("decide_s", "each_s", "slowness", "lost_answers", "limit_s"),
    [
        pytest.param(0.3, 0.1, 1.0, 0, 4.0, id="3 s for all workers"),
        pytest.param(8.0, 0.0, 1.0, 0, 9.0, id="8 s for each call"),
        pytest.param(0.3, 0.1, 1.0, 1, 16.0, id="answer lost"),
        pytest.param(4.0, 0.0, 2.5, 0, 21.0, id="slower than configured"),
    ],
)
@paused_clock.test
async def test_slow_advice_is_waited_for(
    decide_s: float, each_s: float, slowness: float, lost_answers: int, limit_s: float
) -> None:
    """Guards against a job that never starts, as each call is given up too early.

    A call that is given up still holds the adviser, so the next one takes longer.
    """
    workers = fakes.FakeWorkers(30)
    harness = helpers.OwnerHarness(workers)
    harness.adviser.times = model.AdviceTimes(decide_s, each_s, 20.0)
    harness.adviser.slowness = slowness
    harness.adviser.lost_answers = lost_answers
    harness.adviser.allowed_ids = set(workers.workers)
    async with helpers.run_owner(harness):
        await harness.submit(make_spec("a"))
        await wait_started(workers, "a", limit_s)
    assert not harness.adviser.refused


def join(workers: fakes.FakeWorkers, adviser: fake_adviser.FakeAdviser) -> None:
    """Let a worker join that the policy allows."""
    workers.add("late-0", "quotes")
    adviser.allowed_ids.add("late-0")


def restart(workers: fakes.FakeWorkers, adviser: fake_adviser.FakeAdviser) -> None:
    """Restart a worker under its id; the policy allows its new life."""
    adviser.allowed_ids.add("quotes-1")
    workers.crash("quotes-1")


def come_back(workers: fakes.FakeWorkers, adviser: fake_adviser.FakeAdviser) -> None:
    """Let a worker answer again that the policy allows."""
    adviser.allowed_ids.add("quotes-3")
    workers.workers["quotes-3"].is_unresponsive = False


@pytest.mark.parametrize("is_gang", [False, True])
@pytest.mark.parametrize("change", [join, restart, come_back])
@paused_clock.test
async def test_worker_that_comes_later_gets_a_waiting_step(
    change: Callable[[fakes.FakeWorkers, fake_adviser.FakeAdviser], None],
    is_gang: bool,
) -> None:
    """Guards against a step that waits beside an empty worker it may run on.

    A ticket for a worker without enough room kept the owner from asking about others.
    """
    workers = fakes.FakeWorkers(4)
    workers.task_s = 60.0
    workers.workers["quotes-3"].is_unresponsive = True
    harness = helpers.OwnerHarness(workers)
    harness.adviser.times = model.AdviceTimes(0.1, 0.01, 30.0)
    harness.adviser.allowed_ids = {"quotes-0"}
    async with helpers.run_owner(harness):
        await harness.submit(make_spec("full", 4 - is_gang))
        await wait_started(workers, "full", 2.0)
        await harness.submit(make_spec("a", 2, is_gang=is_gang))
        await asyncio.sleep(2.0)
        assert not find_workers(workers, "a")
        change(workers, harness.adviser)
        await wait_started(workers, "a", LOST_AFTER_S)


@paused_clock.test
async def test_failed_task_gets_another_worker() -> None:
    """Guards against starts where a task failed while others were not asked about."""
    workers = fakes.FakeWorkers(3)
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    harness.adviser.times = model.AdviceTimes(0.01, 1.0, 30.0)
    harness.adviser.allowed_ids = {"quotes-1", "quotes-2"}
    async with helpers.run_owner(harness):
        await harness.submit(make_spec("a", 1))
        await wait_started(workers, "a", 5.0)
        failed_on = find_workers(workers, "a")[0]
        workers.fail_runs(failed_on)
        await asyncio.sleep(5.0)
    first, second = find_workers(workers, "a")
    assert first != second


@pytest.mark.parametrize(
    ("times", "allowed", "limit_s", "most_asked", "most_calls"),
    [
        pytest.param((0.3, 0.1, 20.0), 30, 1.0, 4, 1, id="any will do"),
        pytest.param((0.05, 0.02, 3.0), 1, 2.5, 35, 8, id="one in forty"),
        pytest.param((0.0, 0.0, 3.0), 40, 0.5, 40, 1, id="no cost"),
    ],
)
@paused_clock.test
async def test_calls_name_what_a_step_needs(
    times: tuple[float, float, float],
    allowed: int,
    limit_s: float,
    most_asked: int,
    most_calls: int,
) -> None:
    """Guards against calls that are long for no use, and hold up all other steps."""
    workers = fakes.FakeWorkers(40)
    harness = helpers.OwnerHarness(workers)
    harness.adviser.times = model.AdviceTimes(*times)
    names = sorted(workers.workers)
    harness.adviser.allowed_ids = set(names[-allowed:])
    async with helpers.run_owner(harness):
        await harness.submit(make_spec("a"))
        await wait_started(workers, "a", limit_s)
    assert max(harness.adviser.asked) <= most_asked
    assert harness.adviser.calls <= most_calls


@pytest.mark.parametrize("is_early", [False, True])
@pytest.mark.parametrize("times", [(0.05, 0.1, 0.5), (1.0, 0.1, 1.5)])
@paused_clock.test
async def test_tickets_that_expire_soon(
    times: tuple[float, float, float], is_early: bool
) -> None:
    """Guards against a step whose tickets have always expired on their way."""
    workers = fakes.FakeWorkers(40)
    harness = helpers.OwnerHarness(workers)
    workers.accepts_ticket = harness.adviser.accepts
    harness.adviser.times = model.AdviceTimes(*times)
    harness.adviser.is_early = is_early
    harness.adviser.allowed_ids = set(sorted(workers.workers)[-3:])
    async with helpers.run_owner(harness):
        await harness.submit(make_spec("a"))
        await wait_started(workers, "a", 20.0)
    assert harness.adviser.rejected <= 6


@paused_clock.test
async def test_hopeless_step_asks_ever_less_often() -> None:
    """Guards against a step that no worker may run and that keeps the adviser busy.

    A worker that joins during a pause is asked about at once.
    """
    workers = fakes.FakeWorkers(4)
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await harness.submit(make_spec("a"))
        await asyncio.sleep(60.0)
        assert 5 <= harness.adviser.calls <= 15
        join(workers, harness.adviser)
        await wait_started(workers, "a", LOST_AFTER_S)


@pytest.mark.parametrize("priority", [0, 1])
@paused_clock.test
async def test_urgent_step_goes_before_others(priority: int) -> None:
    """Guards against a step that waits behind all calls for less urgent ones.

    None of those can start: the policy refuses them, and they came first.
    """
    workers = fakes.FakeWorkers(30)
    harness = helpers.OwnerHarness(workers)
    harness.adviser.times = model.AdviceTimes(0.3, 0.1, 20.0)
    async with helpers.run_owner(harness):
        for number in range(40):
            spec = make_spec(f"other-{number}")
            await harness.submit(dataclasses.replace(spec, priority=1))
        await asyncio.sleep(40.0 if priority else 1.0)
        harness.adviser.allowed_ids = set(workers.workers)
        await harness.submit(dataclasses.replace(make_spec("a"), priority=priority))
        await wait_started(workers, "a", LOST_AFTER_S)
    assert not harness.adviser.refused


@pytest.mark.parametrize("cancelled", [(0,), (1,), (2,), (0, 2)])
@paused_clock.test
async def test_turn_goes_on_after_a_cancelled_call(cancelled: tuple[int, ...]) -> None:
    """Guards against a closed owner that keeps the turn of its node for good."""
    calls = fake_adviser.make_calls(fake_adviser.FakeAdviser())
    ended: list[int] = []

    class Call:
        def __init__(self, number: int) -> None:
            self.number = number
            self.rank: tuple[float, ...] = (-number,)

        async def run(self) -> None:
            async with calls.take_turn(self):
                await asyncio.sleep(1.0)
                ended.append(self.number)

    tasks = [asyncio.create_task(Call(number).run()) for number in range(3)]
    await asyncio.sleep(0.5)
    for number in cancelled:
        tasks[number].cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert ended == [number for number in (0, 2, 1) if number not in cancelled]


@paused_clock.test
async def test_turn_comes_to_a_call_of_low_rank() -> None:
    """Guards against a step that is never asked about, as more urgent ones ask on."""
    calls = fake_adviser.make_calls(fake_adviser.FakeAdviser())
    turns: list[float] = []

    class Call:
        def __init__(self, rank: float) -> None:
            self.rank: tuple[float, ...] = (rank,)

        async def run(self, count: int) -> None:
            for _ in range(count):
                async with calls.take_turn(self):
                    turns.append(self.rank[0])
                    await asyncio.sleep(1.0)

    await asyncio.gather(Call(0.0).run(20), Call(0.0).run(20), Call(1.0).run(1))
    assert 1.0 in turns[:10]


@paused_clock.test
async def test_advice_is_kept_only_for_open_occurrences() -> None:
    """Guards against a node that runs out of memory over a job that is repeated."""
    harness = helpers.OwnerHarness(fakes.FakeWorkers(2))
    harness.adviser.allowed_ids = {"quotes-0"}
    spec = dataclasses.replace(
        make_spec("a"),
        first_due_ms=int(time.time() * 1000) - 60_000,
        period_ms=10,
        occurrences=20,
    )
    async with helpers.run_owner(harness) as owner:
        await harness.submit(spec)
        async with asyncio.timeout(30.0):
            while len(find_workers(harness.workers, "a")) < 10 * 2:
                await asyncio.sleep(0.1)
        assert len(owner.tickets) <= 11


@paused_clock.test
async def test_lasting_task_stays_where_no_other_worker_may_run_it() -> None:
    """Guards against a stop on a draining worker for the sake of refused ones."""
    workers = fakes.FakeWorkers(4)
    harness = helpers.OwnerHarness(workers)
    harness.adviser.allowed_ids = {"quotes-0"}
    spec = make_spec("a", 1, is_lasting=True, max_per_worker=1, may_miss=1)
    async with helpers.run_owner(harness):
        await harness.submit(spec)
        await wait_started(workers, "a", 2.0)
        workers.drain("quotes-0")
        await asyncio.sleep(5.0)
        assert workers.workers["quotes-0"].running
        join(workers, harness.adviser)
        await asyncio.sleep(5.0)
    assert find_workers(workers, "a") == ["quotes-0", "late-0"]


@paused_clock.test
async def test_gang_gets_its_tickets_together() -> None:
    """Guards against a gang whose first ticket expires while it asks for the next."""
    workers = fakes.FakeWorkers(6)
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    workers.accepts_ticket = harness.adviser.accepts
    harness.adviser.times = model.AdviceTimes(1.0, 0.1, 1.5)
    harness.adviser.allowed_ids = {"quotes-0", "quotes-5"}
    async with helpers.run_owner(harness):
        for number in range(4):
            harness.adviser.refused_jobs.add(f"other-{number}")
            await harness.submit(make_spec(f"other-{number}"))
        await asyncio.sleep(30.0)
        await harness.submit(make_spec("a", 4, cpu=2000, is_gang=True))
        await wait_started(workers, "a", 20.0)


@pytest.mark.parametrize(
    ("estimate_ms", "limit_s", "racks"), [(500, 3.0, 2), (60_000, 20.0, 1)]
)
@paused_clock.test
async def test_gang_waits_for_one_rack_only_where_it_pays(
    estimate_ms: int, limit_s: float, racks: int
) -> None:
    """Guards against a short gang that waits for advice beside workers with tickets."""
    workers = fakes.FakeWorkers(20)
    for number, worker_id in enumerate(sorted(workers.workers)):
        workers.workers[worker_id].entry = workers.by_id[worker_id] = (
            dataclasses.replace(workers.by_id[worker_id], rack=f"r{number // 2}")
        )
    rack_by_id = {worker_id: entry.rack for worker_id, entry in workers.by_id.items()}
    harness = helpers.OwnerHarness(workers)
    harness.adviser.times = model.AdviceTimes(0.3, 0.1, 20.0)
    harness.adviser.allowed_ids = set(sorted(workers.workers)[::2])
    harness.adviser.allowed_ids |= set(sorted(workers.workers)[-2:])
    spec = make_spec(
        "a", 4, 2000, is_gang=True, is_same_rack=True, estimate_ms=estimate_ms
    )
    async with helpers.run_owner(harness):
        await harness.submit(spec)
        await wait_started(workers, "a", limit_s)
        await asyncio.sleep(0.1)
    started = find_workers(workers, "a")
    assert len(started) == 4
    assert len({rack_by_id[worker_id] for worker_id in started}) == racks
