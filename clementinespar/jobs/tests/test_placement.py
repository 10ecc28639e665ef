"""Tests of the order of jobs, the choice of workers and the pacing of fillers."""

import asyncio
import collections

import pytest

from clementinespar.jobs import model, placement, state, worker_run, worker_session
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock


def estimate_ms(spec: model.StepSpec) -> float:
    """Return the declared run time."""
    return float(spec.estimate_ms)


@pytest.mark.parametrize(
    ("is_lasting", "is_placed", "slack_s", "wanted"),
    [
        (True, False, -100.0, placement.LASTING),
        (False, True, 0.0, placement.STARTED),
        (False, True, -0.1, placement.STARTED),
        (False, True, -1.0, placement.LATE),
        (False, False, 1.0, placement.NEW),
        (False, False, 0.01, placement.LATE),  # likely to end just after its objective
        (False, False, -1.0, placement.LATE),
    ],
)
def test_class_of_a_job(
    is_lasting: bool, is_placed: bool, slack_s: float, wanted: int
) -> None:
    """Guards against an order in which, under overload, all jobs end slightly late."""
    job = state.JobProgress(helpers.make_spec("a", is_lasting=is_lasting))
    job.is_placed = is_placed
    job.deadline = 10.0 + 0.5 + slack_s  # the chain of steps takes 500 ms
    assert placement.rank(job, 10.0, estimate_ms)[0] == wanted


def make_session(
    worker_id: str, cpu: int = 4000, rack: str = "r"
) -> worker_session.WorkerSession:
    """Return a session of an idle worker."""
    entry = model.WorkerEntry(
        worker_id, "p", "127.0.0.1:1", "a", False, cpu, 8000, 0, ("gpu-less",), rack, 0
    )

    class NoEvents:
        pass

    return worker_session.WorkerSession(
        entry,
        1,
        5.0,
        0.0,
        fakes.FakeWorkers(0),
        NoEvents(),  # type: ignore[arg-type]
        fakes.ignore_event,
    )


@pytest.mark.parametrize(
    ("spec", "counts", "avoided", "wanted"),
    [
        (model.StepSpec(1, 1000, 10), {}, set(), "big"),
        (model.StepSpec(1, 1000, 10), {}, {"big"}, "small"),
        (model.StepSpec(1, 6000, 10), {}, {"big"}, "big"),
        (model.StepSpec(1, 9000, 10), {}, set(), None),
        (model.StepSpec(1, 10, 9000), {}, set(), None),
        (model.StepSpec(1, 10, 10, label="other"), {}, set(), None),
        (model.StepSpec(1, 10, 10, data_rack="r2"), {}, set(), "small"),
        (model.StepSpec(1, 10, 10, max_per_worker=1), {"big": 1}, set(), "small"),
        (model.StepSpec(1, 9000, 10, is_filler=True), {}, set(), "big"),
    ],
)
def test_choice_of_a_worker(
    spec: model.StepSpec,
    counts: dict[str, int],
    avoided: set[str],
    wanted: str | None,
) -> None:
    """Guards against starts beyond the free capacity, the label or the limit."""

    async def scenario() -> None:
        sessions = [make_session("small"), make_session("big", 8000)]
        sessions[0].entry = make_session("small", rack="r2").entry
        chosen = placement.FreeCapacity(sessions).choose(
            spec, collections.Counter(counts), avoided
        )
        assert (None if chosen is None else chosen.entry.worker_id) == wanted

    asyncio.run(scenario())


@pytest.mark.parametrize(("size", "wanted"), [(4, True), (12, True), (13, False)])
def test_gang_is_placed_whole_or_not_at_all(size: int, wanted: bool) -> None:
    """Guards against members of a gang that wait for others that cannot start."""

    async def scenario() -> None:
        sessions = [make_session("a", 4000, "r1"), make_session("b", 8000, "r2")]
        spec = model.StepSpec(size, 1000, 10, is_gang=True, is_same_rack=True)
        chosen = placement.FreeCapacity(sessions).choose_gang(spec, size)
        assert (chosen is not None) is wanted

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("tail_ms", "pace", "wanted"),
    [(50, 100, None), (90, 100, 50), (120, 100, 0), (50, 40, 60), (70, 40, None)],
)
def test_fillers_slow_down_before_the_target(
    tail_ms: int, pace: int, wanted: int | None
) -> None:
    """Guards against fillers that keep the latency of serving tasks over the target."""

    async def scenario() -> None:
        session = make_session("a")
        paces = []
        session.pace = lambda run, percent: paces.append(percent)  # type: ignore[method-assign]
        for number, spec in enumerate(
            (
                model.StepSpec(1, latency_target_ms=100),
                model.StepSpec(1, is_filler=True),
            )
        ):
            key = model.TaskKey("j", 0, 0, number)
            run = worker_run.Run(key, 1, spec, session, 0.0)
            run.status = worker_run.RunStatus.RUNNING
            run.usage = tail_ms
            run.pace = pace
            session.add_run(run)
        placement.pace_fillers(session, 10.0)
        assert paces == ([] if wanted is None else [wanted])

    asyncio.run(scenario())


def place_lasting(
    sessions: list[worker_session.WorkerSession], number: int, spec: model.StepSpec
) -> collections.Counter[str]:
    """Place all tasks of a lasting step; return the tasks on each worker."""
    counts: collections.Counter[str] = collections.Counter()
    for index in range(spec.task_count):
        chosen = placement.FreeCapacity(sessions).choose(spec, counts, set())
        assert chosen is not None
        key = model.TaskKey(f"job-{number}", 0, 0, index)
        chosen.add_run(worker_run.Run(key, 1, spec, chosen, 0.0))
        counts[chosen.entry.worker_id] += 1
    return counts


@paused_clock.test
async def test_lasting_work_leaves_hosts_for_the_peaks_of_other_pools() -> None:
    """Guards against lasting tasks that keep nearly every host of a quiet pool.

    The load of a large pool between its peaks: two lasting jobs on 48 workers of 16
    cores. Spread over all of them, they kept 47 hosts busy at a sixth of their cores,
    while a pool at its peak waited for hosts.
    """
    sessions = [make_session(f"w-{n}", 16_000, f"r-{n // 12}") for n in range(48)]
    for session in sessions:
        session.free_memory = 32_000
    spread = model.StepSpec(36, 1800, 3792, is_lasting=True, may_miss=3)
    apart = model.StepSpec(
        16, 1550, 8496, is_lasting=True, may_miss=1, max_per_worker=1
    )
    counts = place_lasting(sessions, 1, spread)
    assert max(counts.values()) == 3  # the loss of a host stays within `may_miss`
    place_lasting(sessions, 2, apart)
    busy = sum(1 for session in sessions if session.runs)
    assert busy <= 16


@paused_clock.test
async def test_lasting_tasks_that_disturb_each_other_are_spread() -> None:
    """Guards against serving tasks whose latency suffers from others beside them."""
    sessions = [make_session(f"w-{n}", 16_000) for n in range(8)]
    serving = model.StepSpec(8, 1000, 10, is_lasting=True, latency_target_ms=50)
    assert set(place_lasting(sessions, 1, serving).values()) == {1}
    filler = model.StepSpec(8, 1000, 10, is_lasting=True, is_filler=True)
    assert set(place_lasting(sessions, 2, filler).values()) == {1}


@paused_clock.test
async def test_lasting_tasks_beyond_what_may_miss_find_a_worker() -> None:
    """Guards against tasks that wait although a worker has capacity."""
    sessions = [make_session("w-0", 16_000)]
    spec = model.StepSpec(5, 1000, 10, is_lasting=True, may_miss=1)
    assert place_lasting(sessions, 1, spec) == {"w-0": 5}


@paused_clock.test
async def test_packed_tasks_leave_room_for_a_wide_one() -> None:
    """Guards against small gaps on all workers while a wide task waits."""
    narrow, wide = model.StepSpec(1, 1000, 10), model.StepSpec(1, 4000, 10)
    for is_packed, has_room in ((False, False), (True, True)):
        sessions = [make_session(str(number)) for number in range(4)]
        free_capacity = placement.FreeCapacity(sessions, is_packed=is_packed)
        for number in range(4):
            chosen = free_capacity.choose(narrow, collections.Counter(), set())
            assert chosen is not None
            key = model.TaskKey("a", 0, 0, number)
            chosen.add_run(worker_run.Run(key, 1, narrow, chosen, 0.0))
        found = free_capacity.choose(wide, collections.Counter(), set())
        assert (found is not None) == has_room
