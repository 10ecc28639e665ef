"""Replays of overload: which jobs are rejected, and what that does to the others."""

import asyncio
import collections
import dataclasses
import functools
import json
import math
import random
import statistics
import types

import pytest

from clementinespar import http_calls
from clementinespar.jobs import (
    admission,
    model,
    pool_owner,
    retry_after,
    wait_estimate,
)
from clementinespar.jobs.tests import fakes, helpers, test_service
from clementinespar.tests import paused_clock

WORKERS = 6
WORKER_CPU = 16_000
WORKER_MB = 64_000
TASK_S = 1.0
# Two steps of four tasks on 4 cores each: the pool completes three jobs a second.
TASKS = 4
TASK_CPU = 4_000
CAPACITY = WORKERS * WORKER_CPU / (2 * TASKS * TASK_CPU * TASK_S)  # jobs a second
STEP = model.StepSpec(TASKS, TASK_CPU, 4_000, estimate_ms=int(TASK_S * 1000))
OBJECTIVE_S = 1.6 * 2 * TASK_S + 0.6
ID_STEP = 0x9E3779B97F4A7C15  # spreads the ids over their range
Rates = tuple[tuple[float, float], ...]  # jobs a second, and for how many seconds
POLL_S = 0.25  # callers ask for states, and the answers carry the estimates


def make_job(job_id: str, **fields: object) -> model.JobSpec:
    """Return a job of two steps, one after the other."""
    spec = model.JobSpec(
        job_id,
        "q",
        "quotes",
        "payload",
        (STEP, dataclasses.replace(STEP, after=(0,))),
        accepted_ms=2**42,  # later than any real clock: the age counts as 0
        objective_ms=600,
        stretch=1.6,
    )
    return dataclasses.replace(spec, **fields)  # type: ignore[arg-type]


@dataclasses.dataclass
class Result:
    """What became of the jobs of a replay."""

    submitted: dict[str, float]  # job id: event-loop time
    ended: dict[str, float]
    rejected: dict[str, tuple[float, admission.Rejection]]
    payload_bytes: int
    errors_ms: list[float]  # actual waits less the estimates

    def count_later(self, limit_s: float) -> int:
        """Return how many accepted jobs ended later than this."""
        return sum(
            self.ended.get(job_id, math.inf) - at > limit_s
            for job_id, at in self.submitted.items()
            if job_id not in self.rejected
        )

    @property
    def in_time(self) -> int:
        """Jobs that ended within their objective."""
        accepted = len(self.submitted) - len(self.rejected)
        return accepted - self.count_later(OBJECTIVE_S)

    @property
    def worthless(self) -> int:
        """Accepted jobs that ended too late to be of use."""
        return self.count_later(admission.WORTHLESS_AFTER * OBJECTIVE_S)


class Replay:
    """One pool with its owner, and a node that sees the owner's answers."""

    def __init__(self, memory_mb: int = WORKER_MB) -> None:
        workers = fakes.FakeWorkers(WORKERS, cpu=WORKER_CPU)
        for worker_id, entry in list(workers.by_id.items()):
            entry = dataclasses.replace(entry, memory_mb=memory_mb)
            workers.by_id[worker_id] = entry
            workers.workers[worker_id].entry = entry
        workers.task_s = TASK_S
        self.harness = helpers.OwnerHarness(workers)
        self.views = admission.LoadViews()
        self.result = Result({}, {}, {}, 0, [])

    async def run(
        self, rates: Rates, is_rejecting: bool, is_told: bool = True
    ) -> Result:
        """Submit at each rate for its seconds, then wait until nothing can be of use.

        Without `is_rejecting`, all jobs are accepted, as they were without estimates.
        """
        loop = asyncio.get_running_loop()
        async with helpers.run_owner(self.harness) as owner:
            owner.metrics.observe_wait_error = self.observe_wait_error  # type: ignore[method-assign]
            await asyncio.sleep(1.0)
            watch = asyncio.create_task(self._watch(owner, is_told))
            number = 0
            for rate, length_s in rates:
                until = loop.time() + length_s
                while loop.time() < until:
                    job_id = f"{number * ID_STEP % 2**64:016x}"
                    await self._submit(job_id, is_rejecting)
                    number += 1
                    await asyncio.sleep(1 / rate)
            await asyncio.sleep(3 * OBJECTIVE_S)
            watch.cancel()
            await asyncio.gather(watch, return_exceptions=True)
        return self.result

    def observe_wait_error(self, error_ms: float, was_in_time: bool) -> None:
        """Stand in for the metric, for the jobs that were expected to be in time."""
        if was_in_time:
            self.result.errors_ms.append(error_ms)

    async def _submit(self, job_id: str, is_rejecting: bool) -> None:
        now = asyncio.get_running_loop().time()
        spec = make_job(job_id)
        self.result.submitted[job_id] = now
        rejection = admission.decide(
            spec, self.views.find(helpers.PARTITION, "quotes"), now, False
        )
        if rejection is not None and is_rejecting:
            self.result.rejected[job_id] = (now, rejection)
        else:
            await self.harness.submit(spec)

    async def _watch(self, owner: pool_owner.PoolOwner, is_told: bool) -> None:
        """Take over the estimates as a node does, and record the ends of jobs."""
        loop = asyncio.get_running_loop()
        told_at = 0.0
        while True:
            if is_told and loop.time() - told_at >= POLL_S:
                told_at = loop.time()
                text = json.dumps(owner.waits.describe(told_at))
                self.result.payload_bytes += len(text) - 2
                self.views.note_answer(helpers.PARTITION, json.loads(text), told_at)
            for job_id, job in owner.jobs_by_id.items():
                if job.is_final:
                    self.result.ended.setdefault(job_id, loop.time())
            await asyncio.sleep(0.05)


@functools.cache
def replay(
    rates: Rates, memory_mb: int = WORKER_MB, is_told: bool = True
) -> tuple[Result, Result]:
    """Return the results without and with rejections."""
    results = [
        paused_clock.run(Replay(memory_mb).run(rates, is_rejecting, is_told))
        for is_rejecting in (False, True)
    ]
    for name, result in zip(("accept all", "reject"), results, strict=True):
        errors = statistics.quantiles(result.errors_ms, n=10)
        print(
            f"TABLE {name}: {len(result.submitted)} jobs, {result.in_time} in time,"
            f" {result.worthless} worthless, {len(result.rejected)} rejected; errors"
            f" {errors[0]:.0f} to {errors[-1]:.0f} ms; {result.payload_bytes} bytes"
        )
    return results[0], results[1]


def vary_rates(factor: float, length_s: int, seed: int) -> Rates:
    """Return a rate for each second, about `factor` times what the pool completes."""
    rng = random.Random(seed)
    return tuple(
        (factor * CAPACITY * rng.uniform(0.4, 1.6), 1.0) for _ in range(length_s)
    )


ENDLESS = vary_rates(2.0, 40, 1)


@pytest.mark.parametrize("memory_mb", [WORKER_MB, 8_000])
def test_peak_that_the_pool_can_work_off_rejects_nothing(memory_mb: int) -> None:
    """Guards against the loss of jobs at the usual peaks, with either resource scarce.

    With 8 GB, a worker has room for two tasks instead of four.
    """
    capacity = CAPACITY * (1.0 if memory_mb == WORKER_MB else 0.5)
    baseline, result = replay(
        ((0.3 * capacity, 2.0), (1.5 * capacity, 4.0), (0.3 * capacity, 4.0)), memory_mb
    )
    assert not result.rejected
    assert result.in_time >= baseline.in_time
    _, result = replay(((0.7 * capacity, 4.0),), memory_mb)
    assert result.payload_bytes == 0  # no wait is long


@pytest.mark.parametrize("rates", [((2.0 * CAPACITY, 40.0),), ENDLESS])
def test_endless_overload_rejects_what_cannot_end(rates: Rates) -> None:
    """Guards against jobs that wait for a long time only to be worth nothing."""
    baseline, result = replay(rates)
    assert result.rejected
    assert result.in_time >= baseline.in_time
    assert result.worthless < baseline.worthless


def test_returns_after_rejections_do_not_arrive_together() -> None:
    """Guards against a second peak, made of the callers that were rejected."""
    _, result = replay(ENDLESS)
    returns = collections.Counter(
        round(at + rejection.return_s) for at, rejection in result.rejected.values()
    )
    # At most twice as many a second as were submitted at a constant rate.
    assert max(returns.values()) <= 2 * 2.0 * CAPACITY
    waits = {r.return_s for _, r in result.rejected.values()}
    assert min(waits) >= 1 and max(waits) < 10 + retry_after.OVERLOAD_SPREAD_S
    # Rejected at the same moment for the same wait.
    same = collections.Counter(
        rejection.return_s
        for rejection in (decide(make_job(f"{n:016x}")) for n in range(400))
        if rejection is not None
    )
    assert len(same) == retry_after.OVERLOAD_SPREAD_S
    assert max(same.values()) <= 100


def test_node_without_recent_estimates_accepts() -> None:
    """Guards against rejections while the owner of the pool is lost."""
    _, result = replay(((2.0 * CAPACITY, 15.0),), is_told=False)
    assert not result.rejected


@paused_clock.test
async def test_estimates_reach_a_node_with_the_answers_of_the_owner() -> None:
    """Guards against a node that never learns of the load, or pays for idle pools."""
    partition = test_service.PARTITION_MAP.find("quotes")
    loads: dict[str, object] = {}
    owner = types.SimpleNamespace(
        is_lost=False,
        is_loaded=True,
        count_waiting=lambda queue: 7,
        waits=types.SimpleNamespace(describe=lambda now: loads),
    )
    owner_node = test_service.ServiceHarness()
    owner_node.ownership_manager.owners_by_partition[partition] = owner  # type: ignore[assignment]
    client = http_calls.HttpClient()

    async def call(address, method, path, **fields):  # type: ignore[no-untyped-def]
        _, own_partition, rest = path.split("/", 2)
        reply = owner_node.jobs.answer_peer(int(own_partition), "/" + rest)
        return http_calls.Response(200, json.dumps(reply).encode())

    client.call = call  # type: ignore[assignment, method-assign]
    node = test_service.ServiceHarness(http_client=client)
    node.group.owners = {partition: "10.0.0.1:1/5/1000"}
    queue = model.Queue("q", "h", "/q/", "quotes", 0, 600, 1, 0, 1.6)
    job = make_job(PLAIN_ID)
    assert owner_node.jobs.answer_peer(partition, "/waiting/q") == {"waiting": 7}
    assert await node.jobs.count_waiting(queue, 1.0) == 7
    assert node.jobs.check_load(job) is None
    waits = wait_estimate.PoolWaits({0: LONG_WAIT}, {})
    loads["quotes"] = wait_estimate.encode(waits, 0.05)
    await asyncio.sleep(1.0)  # until the count is asked for again
    assert await node.jobs.count_waiting(queue, 1.0) == 7
    assert node.jobs.check_load(job) is not None
    assert owner_node.jobs.check_load(job) is not None
    await node.submit(job.job_id)
    assert node.jobs.check_load(job) is None  # an append of it was sent
    await asyncio.sleep(1.5)
    assert node.jobs.check_load(make_job("0" * 15 + "2")) is None


@paused_clock.test
async def test_operator_is_told_why_a_job_waited() -> None:
    """Guards against a late job without a reason."""
    workers = fakes.FakeWorkers(1, cpu=TASK_CPU)
    harness = helpers.OwnerHarness(workers)
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(0.5)
        for number in range(3):
            await harness.submit(make_job(f"{number:016x}"))
            await asyncio.sleep(0.3)
        explained = owner.explain(f"{2:016x}")
        assert explained is not None
        texts = "; ".join(explained.because)
        assert "it has waited 0.3 s for its first start" in texts
        assert "waits in its pool" in texts
        await harness.wait_state(f"{0:016x}", model.JobState.DONE)
        explained = owner.explain(f"{0:016x}")
        assert explained is not None
        assert "0.0 s were estimated at its arrival" in "; ".join(explained.because)


LONG_WAIT = wait_estimate.PriorityWait(30_000.0, (25_000.0,) * 8)
PLAIN_ID = "0" * 15 + "1"  # not one of the probes


def decide(
    job: model.JobSpec, age_s: float = 0.2, is_sent: bool = False, team: str = ""
) -> admission.Rejection | None:
    """Return the decision for a job in a pool with a wait of 30 s."""
    by_priority = {} if team else {0: LONG_WAIT}
    by_team = {team: LONG_WAIT} if team else {}
    waits = wait_estimate.PoolWaits(by_priority, by_team)
    return admission.decide(
        job, admission.LoadView(waits, 100.0 - age_s), 100.0, is_sent
    )


def test_only_jobs_that_would_be_worth_nothing_are_rejected() -> None:
    """Guards against rejections of jobs that must be accepted under any load."""
    job = make_job(PLAIN_ID)
    rejection = decide(job)
    assert rejection is not None and 10 <= rejection.return_s < 15
    assert decide(job, age_s=1.6) is None
    assert decide(job, is_sent=True) is None
    assert decide(dataclasses.replace(job, first_due_ms=1)) is None
    assert decide(dataclasses.replace(job, occurrences=2, period_ms=10)) is None
    lasting = dataclasses.replace(STEP, is_lasting=True)
    assert decide(dataclasses.replace(job, steps=(lasting,))) is None
    # More urgent than all work that waits.
    assert decide(dataclasses.replace(job, priority=-1)) is None
    # The objective is far enough away.
    assert decide(dataclasses.replace(job, objective_ms=9_000)) is None
    assert decide(dataclasses.replace(job, objective_ms=0, stretch=1.0)) is None
    # The cap of another team does not matter.
    assert decide(job, team="a") is None
    assert decide(dataclasses.replace(job, team="a"), team="a") is not None
    probes = [n for n in range(1_600) if decide(make_job(f"{n:016x}")) is None]
    assert 60 <= len(probes) <= 140


def make_waiting(team: str, cores: int, slack_ms: float) -> wait_estimate.WaitingWork:
    """Return the work of one second on a number of cores, with 4 GB for each."""
    work = wait_estimate.Amount(cores * 1e6, cores * 4e6)
    return wait_estimate.WaitingWork(work, 0, team, slack_ms)


def test_wait_counts_what_comes_first_and_the_scarce_resource() -> None:
    """Guards against estimates that miss memory, or count what comes later."""
    waiting = [make_waiting("", 100, -1.0), make_waiting("", 300, 2_500.0)]
    supply = wait_estimate.PoolSupply(wait_estimate.Amount(100e3, 200e3), 1.0)
    wait = wait_estimate.estimate_pool(waiting, supply, {}).find(0)
    assert wait is not None
    assert wait.wait_ms == 8_000.0  # by memory; by cores it is half as long
    assert wait.find_ahead_ms(1_200.0) == 2_000.0
    assert wait.find_ahead_ms(3_500.0) == 8_000.0
    idle = dataclasses.replace(supply, used_share=0.5)
    assert wait_estimate.estimate_pool(waiting, idle, {}) == wait_estimate.NO_WAITS


def test_work_beyond_the_cap_of_a_team_delays_only_that_team() -> None:
    """Guards against rejecting the jobs of all teams for the backlog of one."""
    waiting = [make_waiting("a", 1_000, 2_500.0), make_waiting("b", 20, 2_500.0)]
    supply = wait_estimate.PoolSupply(wait_estimate.Amount(100e3, 0.0), 1.0)
    caps = {"a": wait_estimate.Amount(20e3, 0.0)}
    waits = wait_estimate.estimate_pool(waiting, supply, caps)
    assert waits.by_team["a"].wait_ms == 50_000.0
    assert "b" not in waits.by_team
    assert waits.find(0) is None  # 0.25 s: what the cap lets through, and team b


def test_estimates_survive_their_way_to_another_node() -> None:
    """Guards against estimates that a node reads otherwise than they were made."""
    waits = wait_estimate.PoolWaits({2: LONG_WAIT}, {"a": LONG_WAIT})
    load = json.loads(json.dumps({"quotes": wait_estimate.encode(waits, 0.1)}))
    views = admission.LoadViews()
    views.note_answer(3, load, 50.0)
    assert views.find(3, "quotes") == admission.LoadView(waits, 49.9)
    views.note_answer(3, {"quotes": {**load["quotes"], "at_age_ms": 400}}, 50.1)
    assert views.find(3, "quotes") == admission.LoadView(waits, 49.9)  # an older one
    views.note_answer(3, {"quotes": {"wait_ms": {"x": []}}}, 50.2)
    assert views.find(3, "quotes") is None
    views.note_answer(3, load, 51.0)
    views.note_answer(3, None, 51.1)
    assert views.find(3, "quotes") is None
