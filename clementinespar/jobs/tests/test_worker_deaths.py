"""Tests of workers that have ended and of lists of hosts that prove nothing."""

import asyncio
import json
from collections.abc import Callable, Iterator, Sequence

import pytest

from clementinespar import background, errors
from clementinespar.jobs import model, worker_deaths, worker_use
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

RESTART_S = 3.0  # well below the lease


class ScriptedHosts:
    """`services.HostService` that gives one list after the other, the last repeatedly.

    A list is given by the ids of its workers; None stands for a failed call.
    """

    def __init__(self, lists: Sequence[Sequence[str] | None]) -> None:
        self._lists: Iterator[Sequence[str] | None] = iter(lists)
        self._current: Sequence[str] | None = None

    async def list_hosts(self) -> list[model.HostEntry]:
        self._current = next(self._lists, self._current)
        if self._current is None:
            raise errors.PlatformUnavailableError("the platform does not answer")
        return [
            model.HostEntry(f"h{n}", "quotes", "up", "a", "r", worker_id)
            for n, worker_id in enumerate(self._current)
        ]

    async def move(
        self, host_id: str, pool: str, fence: int, may_send: Callable[[], bool]
    ) -> bool:
        return False

    async def start_maintenance(
        self, host_id: str, wave: int, fence: int, may_send: Callable[[], bool]
    ) -> bool:
        return False


@pytest.mark.parametrize(
    ("lists", "age_s", "is_dead"),
    [
        pytest.param([["b", "c", ""]], 60.0, True, id="not listed"),
        pytest.param([["a", "b", "c"]], 60.0, False, id="cut off, but listed"),
        pytest.param([["b", "c"], ["a", "b", "c"]], 60.0, False, id="missing once"),
        pytest.param([["b", "c"]], 0.0, False, id="younger than the list"),
        pytest.param([[]], 60.0, False, id="empty list"),
        pytest.param([["x", "y"]], 60.0, False, id="others that answer are missing"),
        pytest.param([["b"]], 60.0, False, id="one that answers is missing"),
        pytest.param([None], 60.0, False, id="no list"),
    ],
)
def test_death_needs_two_plausible_lists_without_the_worker(
    lists: list[list[str] | None], age_s: float, is_dead: bool
) -> None:
    """Guards against work that is started twice since a list was wrong or stale."""

    async def watch() -> list[str]:
        now = asyncio.get_running_loop().time()
        dead: list[str] = []
        death_watch = worker_deaths.WorkerDeathWatch(
            ScriptedHosts(lists),
            lambda: {} if dead else {"a": now - age_s},
            lambda: {"b", "c"},
            dead.append,
            fakes.ignore_event,
        )
        async with background.running(death_watch.run()):
            await asyncio.sleep(worker_deaths.LIST_LAG_S - 0.1)
        return dead

    assert paused_clock.run(watch()) == (["a"] if is_dead else [])


@paused_clock.test
async def test_list_proves_nothing_while_no_worker_answers() -> None:
    """Guards against deaths taken from a list that nothing confirms."""
    now = asyncio.get_running_loop().time()
    dead: list[str] = []
    death_watch = worker_deaths.WorkerDeathWatch(
        ScriptedHosts([["x-of-another-pool"]]),
        lambda: {"a": now - 60.0},
        set,
        dead.append,
        fakes.ignore_event,
    )
    async with background.running(death_watch.run()):
        await asyncio.sleep(2.0)
    assert not dead


@paused_clock.test
async def test_worker_that_answers_while_the_list_is_on_its_way_is_not_dead() -> None:
    """Guards against two runs: the list is older than the worker's new life."""
    workers = fakes.FakeWorkers(3)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 3, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(3.0)
        ended = workers.starts[0][2]
        workers.list_s = 1.0
        workers.end(ended)
        while workers.host_lists < 2:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.1)
        workers.crash(ended)
        workers.add("new", "quotes")  # later, so that the task restarts where it was
        await asyncio.sleep(4.0)
    assert not workers.violations


@paused_clock.test
async def test_reborn_worker_that_the_list_does_not_show_yet_is_not_dead() -> None:
    """Guards against two runs: the list lags behind a worker that is back."""
    workers = fakes.FakeWorkers(3)
    workers.list_lag_s = worker_deaths.LIST_LAG_S
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 3, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(3.0)
        reborn = workers.starts[0][2]
        workers.crash(reborn)
        while len(workers.starts) == 3:
            await asyncio.sleep(0.02)
        workers.add("new", "quotes")
        workers.workers[reborn].is_unresponsive = True  # cut off, runs on
        await asyncio.sleep(3.0)
    assert not workers.violations


@paused_clock.test
async def test_worker_that_answers_late_for_the_first_time_is_not_dead() -> None:
    """Guards against two runs: the worker was down when its session opened."""
    workers = fakes.FakeWorkers(3)
    workers.list_lag_s = worker_deaths.LIST_LAG_S
    workers.end("quotes-0")
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await asyncio.sleep(4.3)
        workers.crash("quotes-0")
        await harness.submit(helpers.make_spec("a", 3, is_lasting=True))
        await _wait_starts(workers, 3)
        workers.add("new", "quotes")
        workers.workers["quotes-0"].is_unresponsive = True  # cut off, runs on
        await asyncio.sleep(3.0)
    assert not workers.violations


@paused_clock.test
async def test_live_worker_that_a_partial_list_omits_keeps_its_task() -> None:
    """Guards against two runs: the worker is cut off and its host is not listed."""
    workers = fakes.FakeWorkers(3)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(3.0)
        cut_off = workers.starts[0][2]
        workers.omitted_hosts.add(cut_off)
        workers.workers[cut_off].is_unresponsive = True  # runs on
        await asyncio.sleep(RESTART_S)
    assert not workers.violations


@pytest.mark.parametrize("is_lasting", [True, False])
@paused_clock.test
async def test_tasks_of_a_dead_worker_run_again_before_its_lease_ends(
    is_lasting: bool,
) -> None:
    """Guards against tasks that stand still for the lease of a worker that is gone."""
    workers = fakes.FakeWorkers(3)
    workers.task_s = 60.0
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1, is_lasting=is_lasting))
    async with helpers.run_owner(harness):
        await asyncio.sleep(3.0)
        workers.end(workers.starts[0][2])
        await asyncio.sleep(RESTART_S)
        assert len(workers.starts) == 2
        assert not workers.violations


@paused_clock.test
async def test_next_owner_does_not_wait_for_the_lease_of_a_dead_worker() -> None:
    """Guards against lasting tasks that each new owner holds back for a whole lease."""
    workers = fakes.FakeWorkers(3)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(2.0)
        workers.end(workers.starts[0][2])
    async with helpers.run_owner(harness):
        await asyncio.sleep(RESTART_S)
        assert len(workers.starts) == 2


@paused_clock.test
async def test_dead_worker_without_a_list_of_hosts_is_waited_for() -> None:
    """Guards against a second run while the first may execute."""
    workers = fakes.FakeWorkers(3)
    workers.lists_hosts = False
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(2.0)
        workers.end(workers.starts[0][2])
        await asyncio.sleep(RESTART_S)
        assert len(workers.starts) == 1
        await asyncio.sleep(helpers.LEASE_MAX_S)
        assert len(workers.starts) == 2


@paused_clock.test
async def test_start_without_an_answer_outlives_the_death_of_its_worker() -> None:
    """Guards against two runs: a worker that is back may carry out an old order."""
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await asyncio.sleep(2.0)
        for worker in workers.workers.values():
            worker.drops_starts = True
        await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
        await asyncio.sleep(0.3)
        for worker_id, worker in workers.workers.items():
            worker.drops_starts = False
            if worker_id in workers.dropped_starts:
                workers.end(worker_id)
        await asyncio.sleep(RESTART_S)
        assert not workers.starts


@paused_clock.test
async def test_stop_that_a_former_life_has_answered_settles_no_start() -> None:
    """Guards against two runs: a worker that is back does not know of the stop."""
    workers = fakes.FakeWorkers(2)
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness):
        await asyncio.sleep(2.0)
        for worker in workers.workers.values():
            worker.drops_starts = True
        await harness.submit(helpers.make_spec("a", 1, is_lasting=True))
        while not any(worker.ended_runs for worker in workers.workers.values()):
            await asyncio.sleep(0.001)
        ((used, order),) = workers.dropped_starts.items()
        workers.end(used)
        workers.drain(used)  # so that the task starts on the other worker
        for worker in workers.workers.values():
            worker.drops_starts = False
        await asyncio.sleep(1.0)
        workers.crash(used)
        await _wait_starts(workers, 1)
        await workers.start(workers.by_id[used], order)  # carried out late
        assert not workers.violations


@paused_clock.test
async def test_hosts_are_listed_only_while_a_worker_is_silent() -> None:
    """Guards against calls to the platform that nobody needs."""
    workers = fakes.FakeWorkers(3)
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 2, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(10.0)
    assert workers.host_lists == 0


async def _wait_starts(workers: fakes.FakeWorkers, count: int) -> float:
    """Wait until so many runs have started; return for how long."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    while len(workers.starts) < count:
        await asyncio.sleep(0.02)
    return loop.time() - began_at


@pytest.mark.parametrize("is_new", [False, True])
@paused_clock.test
async def test_next_owner_waits_for_the_list_only_for_new_workers(is_new: bool) -> None:
    """Guards against a whole list lag at each takeover, and two runs without one.

    A new worker is cut off and runs on, but its host is not listed yet.
    """
    workers = fakes.FakeWorkers(3)
    workers.list_lag_s = worker_deaths.LIST_LAG_S
    harness = helpers.OwnerHarness(workers)
    await harness.submit(helpers.make_spec("a", 3, is_lasting=True))
    async with helpers.run_owner(harness):
        await asyncio.sleep(4.0)
        used = workers.starts[0][2]
        if is_new:
            workers.crash(used)
            await _wait_starts(workers, 4)
            workers.workers[used].is_unresponsive = True
        else:
            workers.end(used)
        started = len(workers.starts)
    workers.add("new", "quotes")
    async with helpers.run_owner(harness):
        if is_new:
            await asyncio.sleep(worker_deaths.LIST_LAG_S + 1.0)
            assert len(workers.starts) == started
        else:
            assert await _wait_starts(workers, started + 1) < worker_deaths.LIST_LAG_S
    assert not workers.violations


@paused_clock.test
async def test_record_names_new_workers() -> None:
    """Guards against a worker that counts as listed in its first moments."""
    now = asyncio.get_running_loop().time()
    use = worker_use.WorkerUse(asyncio.get_running_loop().time)
    use.restore(b'{"used":["a","b"],"former":{"c":2.0},"new":["b"]}', now, 5.0)
    assert use.known_since("a") == use.known_since("c") == now - 1.5
    assert use.known_since("b") == now
    old_build = worker_use.WorkerUse(asyncio.get_running_loop().time)
    old_build.restore(b'{"used":["a"],"former":{"c":2.0}}', now, 5.0)
    assert old_build.known_since("a") == old_build.known_since("c") == now
    assert use.may_start("a")
    use.add("a", now)  # an answer: the worker may have a new life since the record
    assert use.is_due()
    assert not use.may_start("a")
    encoded = use.encode()
    use.add("a", now + 0.1)  # reborn while the record is on its way
    use.mark_stored()
    assert json.loads(encoded)["new"] == ["a", "b"]
    assert not use.may_start("a")
    await asyncio.sleep(worker_deaths.LIST_LAG_S + 0.2)
    assert use.may_start("a")
    assert use.is_due()  # without new workers
    assert json.loads(use.encode())["new"] == []


@paused_clock.test
async def test_silent_worker_without_a_lease_makes_no_record_due() -> None:
    """Guards against a record with each append for as long as a worker is silent."""
    now = asyncio.get_running_loop().time()
    use = worker_use.WorkerUse(asyncio.get_running_loop().time)
    use.encode()
    use.add("a", now)  # while the append is on its way
    use.release_silent("a", now - 1.0)
    use.mark_stored()
    for _ in range(2):
        await asyncio.sleep(worker_deaths.LIST_LAG_S + 1.0)
        use.encode()
        use.mark_stored()
    assert not use.is_due()
    use.add("a", now)  # it answers again, in the same life
    assert use.is_due()
