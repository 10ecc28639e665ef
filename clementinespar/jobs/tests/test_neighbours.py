"""Tests of the evidence from sessions, and of what is decided on it."""

import asyncio
import collections
import dataclasses
import json

import pytest

from clementinespar.jobs import (
    interference,
    model,
    neighbours,
    placement,
    telemetry,
    worker_run,
    worker_session,
)
from clementinespar.jobs.tests import fakes, helpers, test_placement, test_service
from clementinespar.tests import paused_clock

RUN_TIME = interference.Measure.RUN_TIME
TAIL = interference.Measure.TAIL


def add_verdict(
    learnt: interference.InterferenceModel,
    measure: interference.Measure,
    victim: str,
    other: str,
    effect: float = 0.5,
) -> None:
    """Let a model reach a verdict."""
    for number in range(80):
        x = float(number % 2)
        exposures = {other: x} if x else {}
        worker_id, job, now = f"w{number % 4}", f"j{number // 2 % 4}", number / 20
        y = 0.3 + effect * x
        if measure is TAIL:
            learnt.add_tail(victim, worker_id, y, exposures, {other: job}, now)
        else:
            run_ms = 1000 * (1 + effect) ** x
            learnt.add_run_time(victim, worker_id, job, run_ms, exposures, now)
    learnt.refresh(4.0)
    assert learnt.find_verdict(measure, victim, other)


def start_run(
    session: worker_session.WorkerSession, image: str, since: float, pace: int = 100
) -> worker_run.Run:
    key = model.TaskKey(f"{image}-{since}", 0, 0, 0)
    spec = model.StepSpec(1, 100, 10, image=image, is_filler=pace != 100)
    run = worker_run.Run(key, 1, spec, session, since)
    run.status = worker_run.RunStatus.RUNNING
    run.pace = pace
    session.add_run(run)
    return run


def test_exposures_are_weighted_by_time_and_pace() -> None:
    """Guards against an image that is blamed although it ran beside a task briefly."""
    taken: dict[str, float] = {}

    async def scenario() -> None:
        session = test_placement.make_session("w")
        evidence = neighbours.Neighbours(fakes.ignore_event, telemetry.JobMetrics())
        victim = start_run(session, "victim", 10.0)
        start_run(session, "always", 9.0)
        start_run(session, "half", 11.0)
        start_run(session, "paced", 9.0, 50)
        start_run(session, "brief", 11.9)
        early = start_run(session, "early", 9.0)
        for run, at in ((early, 10.5), (victim, 12.0)):
            session.drop_run(run)
            evidence.add_end(session, run, model.EndKind.DONE, at)
        adopted = start_run(session, "adopted", 11.0)
        adopted.is_adopted = True  # its run time is not known
        session.drop_run(adopted)
        evidence.add_end(session, adopted, model.EndKind.DONE, 12.0)
        assert not evidence.models_by_pool["p"].find_estimates("adopted")
        for item in evidence.models_by_pool["p"].find_estimates("victim"):
            if item.victim == "victim":
                taken[item.neighbour] = item.exposure

    asyncio.run(scenario())
    weight = interference.WEIGHT_BY_MEASURE[RUN_TIME]
    assert {name: (x / weight) ** 0.5 for name, x in taken.items()} == pytest.approx(
        {"always": 1.0, "half": 0.5, "paced": 0.5, "early": 0.25}
    )


def test_evidence_line_is_short_and_bounded_in_rate() -> None:
    """Guards against lines that are cut, or a line for each run."""
    lines: list[dict[str, object]] = []

    async def scenario() -> None:
        evidence = neighbours.Neighbours(
            lambda event, **fields: lines.append({"event": event, **fields}),
            telemetry.JobMetrics(),
        )
        session = test_placement.make_session("w")
        for second in range(100, 112):
            for number in range(60):
                start_run(session, f"other-{'x' * 60}-{number}", second - 0.5)
            run = start_run(session, "victim" + "y" * 60, second - 0.5)
            session.drop_run(run)
            evidence.add_end(session, run, model.EndKind.DONE, float(second))
            session.runs.clear()
            evidence.refresh(float(second))

    asyncio.run(scenario())
    assert [line["event"] for line in lines] == ["interference_evidence"] * 3
    assert all(len(json.dumps(line)) < 2000 for line in lines)


@paused_clock.test
async def test_worker_without_a_bad_neighbour_is_chosen() -> None:
    """Guards against estimates that go before room, or that no choice uses."""
    sessions = [test_placement.make_session(f"w{number}", 4000) for number in range(3)]
    start_run(sessions[1], "bad", 0.0)
    start_run(sessions[2], "good", 0.0)
    start_run(sessions[2], "good", 1.0)
    sessions[0].free_cpu = 500  # no room for a task
    learnt = interference.InterferenceModel()
    spec = model.StepSpec(1, 1000, 10, image="victim")
    counts: collections.Counter[str] = collections.Counter()

    def choose(for_spec: model.StepSpec) -> str | None:
        chosen = placement.FreeCapacity(sessions, learnt).choose(
            for_spec, counts, set()
        )
        return None if chosen is None else chosen.entry.worker_id

    assert choose(spec) == "w1"  # it has the most free cores
    add_verdict(learnt, RUN_TIME, "victim", "bad")
    assert choose(spec) == "w2"
    assert choose(dataclasses.replace(spec, image="unknown")) == "w1"
    assert choose(dataclasses.replace(spec, cpu_millis=3850)) == "w1"


@dataclasses.dataclass
class FixedConfiguration:
    """`services.ConfigurationSource` of one version."""

    current: model.JobConfiguration | None
    confirmed_at: float | None = None


class MovableFleet:
    """An owner whose lasting fillers run at a low pace beside a serving task."""

    def __init__(self, may_miss: int | None) -> None:
        self.harness = helpers.OwnerHarness(fakes.FakeWorkers(4))
        step = model.StepSpec(
            2,
            10,
            10,
            is_lasting=True,
            image="bad",
            is_filler=True,
            may_miss=may_miss,
            max_per_worker=1,
        )
        self.spec = dataclasses.replace(
            helpers.make_spec("filler", is_lasting=True), steps=(step,)
        )

    async def run(self, has_verdict: bool, seconds: float) -> list[float]:
        """Return the times of starts after the first ones, and keep the pace low."""
        loop = asyncio.get_running_loop()
        starts: list[float] = []
        async with helpers.run_owner(self.harness) as owner:
            await self.harness.submit(self.spec)
            await asyncio.sleep(2.0)
            learnt = interference.InterferenceModel()
            if has_verdict:
                add_verdict(learnt, TAIL, "shop", "bad")
                learnt.refresh = lambda now: []  # type: ignore[method-assign]
                owner._neighbours.models_by_pool["quotes"] = learnt
            serving = model.StepSpec(1, 10, 10, image="shop", latency_target_ms=100)
            sessions = list(owner.sessions_by_id.values())
            for session in [s for s in sessions if s.runs]:
                key = model.TaskKey(session.entry.worker_id, 0, 0, 0)
                run = worker_run.Run(key, 1, serving, session, loop.time())
                run.usage = 70  # neither more nor less pace
                session.add_run(run)
                session.runs[(key, 1)].status = worker_run.RunStatus.OPEN
                run.answered_at = loop.time() + 1000.0  # stays although not listed
            known = len(self.harness.workers.starts)
            end = loop.time() + seconds
            while loop.time() < end:
                for session in sessions:
                    session.predictions_paused_until = loop.time() + 10.0
                    for run in session.runs.values():
                        if run.spec.is_filler:
                            run.pace = 20
                            run.paced_at = loop.time()
                await asyncio.sleep(0.1)
                new = len(self.harness.workers.starts) - known
                starts += [loop.time()] * (new - len(starts))
        return starts


@pytest.mark.parametrize(
    ("has_verdict", "may_miss", "wanted"), [(True, 1, 2), (True, 0, 0), (False, 1, 0)]
)
def test_lasting_tasks_are_moved_one_at_a_time_where_it_pays(
    has_verdict: bool, may_miss: int, wanted: int
) -> None:
    """Guards against moves without evidence, of many tasks at once, or back again."""

    @paused_clock.test
    async def scenario() -> None:
        fleet = MovableFleet(may_miss)
        starts = await fleet.run(has_verdict, 20.0)
        assert len(starts) == wanted
        if wanted:
            assert starts[1] - starts[0] > 0.3
            workers = [worker_id for _, _, worker_id in fleet.harness.workers.starts]
            assert len(set(workers)) == 4

    scenario()


@paused_clock.test
async def test_image_is_explained_by_the_owners_of_all_pools() -> None:
    """Guards against an explanation that knows only the pools of one node."""
    harness = helpers.OwnerHarness(fakes.FakeWorkers(1))
    name = "registry/shop:1"
    async with helpers.run_owner(harness) as owner:
        await asyncio.sleep(1.0)
        learnt = interference.InterferenceModel()
        add_verdict(learnt, TAIL, name, "bad")
        owner._neighbours.models_by_pool["quotes"] = learnt
        service_harness = test_service.ServiceHarness()
        partition = test_service.PARTITION_MAP.find("quotes")
        service_harness.ownership_manager.owners_by_partition[partition] = owner
        configuration = model.JobConfiguration(
            1, {}, {"quotes": model.Pool("quotes", False)}, 1
        )
        service_harness.jobs.configuration.current = configuration
        reply = await service_harness.jobs.explain_image(name)
        assert reply["state"] == "verdicts: 1"
        assert "bad beside one of registry/shop:1 adds 0." in reply["because"][0]
        reply = await service_harness.jobs.explain_image("other")
        assert reply["state"] == "no evidence"
