"""Tests that one odd worker or job costs its partition no other one."""

import asyncio
import dataclasses
import json
from collections.abc import Awaitable, Callable
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies

from clementinespar.jobs import command_intake, model, partitions, services, state
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

ODD_NAME = "\ud800"  # JSON can hold it, UTF-8 cannot


@paused_clock.test
async def test_pool_whose_name_utf8_cannot_encode() -> None:
    """Guards against partitions that no owner can load while such an entry is there.

    Each owner ended when it opened the sessions, and each next owner as well.
    """
    workers = fakes.FakeWorkers(2)
    workers.add("odd", ODD_NAME)
    harness = helpers.OwnerHarness(workers)
    partition_map = partitions.PartitionMap(12)
    harness.owns_pool = lambda pool: partition_map.find(pool) == 3
    await harness.submit(helpers.make_spec("a"))
    for _ in range(2):
        async with helpers.run_owner(harness) as owner:
            await asyncio.sleep(3.0)
            assert not owner.has_failed
            assert owner.is_loaded
    assert harness.owner.describe("a") is model.JobState.DONE


def fail_for(job_id: str, handle: Callable[..., Any]) -> Callable[..., Any]:
    """Return a handler of jobs that raises for one of them."""

    def handle_or_fail(self: Any, job: state.JobProgress) -> Any:
        if job.spec.job_id == job_id:
            raise OverflowError("cannot convert")
        return handle(self, job)

    return handle_or_fail


@pytest.mark.parametrize("is_adopted", [False, True])
def test_job_that_cannot_be_taken_over(
    monkeypatch: pytest.MonkeyPatch, is_adopted: bool
) -> None:
    """Guards against a partition that no owner can load because of one job."""

    @paused_clock.test
    async def play() -> None:
        harness = helpers.OwnerHarness(fakes.FakeWorkers(2))
        harness.workers.task_s = 2.0
        for job_id in ("odd", "sound"):
            await harness.submit(helpers.make_spec(job_id, task_count=1))
        if is_adopted:
            async with helpers.run_owner(harness):
                await asyncio.sleep(0.5)
        intake = command_intake.CommandIntake
        monkeypatch.setattr(
            intake, "set_deadline", fail_for("odd", intake.set_deadline)
        )
        async with helpers.run_owner(harness) as owner:
            await harness.wait_state("sound", model.JobState.DONE)
            assert not owner.has_failed
        named = [
            fields for name, fields in harness.events if name == "unexpected_error"
        ]
        assert {fields["job"] for fields in named} == {"odd"}
        # A later build that can handle the job goes on with it.
        monkeypatch.undo()
        async with helpers.run_owner(harness):
            await harness.wait_state("odd", model.JobState.DONE)
        assert not harness.workers.violations

    play()


def fail_first(count: int, call: Callable[..., Awaitable[Any]]) -> Callable[..., Any]:
    """Return a call that raises an unexpected error the first times."""
    calls = 0

    async def call_or_fail(*arguments: Any, **options: Any) -> Any:
        nonlocal calls
        calls += 1
        if calls <= count:
            raise OverflowError("port must be 0-65535")
        return await call(*arguments, **options)

    return call_or_fail


@pytest.mark.parametrize("method", ["renew", "start", "stop"])
def test_unexpected_error_of_a_call_to_a_worker(
    monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    """Guards against a worker or a task that nothing cares for after such an error."""

    @paused_clock.test
    async def play() -> None:
        workers = fakes.FakeWorkers(1)
        monkeypatch.setattr(workers, method, fail_first(3, getattr(workers, method)))
        harness = helpers.OwnerHarness(workers)
        await harness.submit(helpers.make_spec("a", task_count=4))
        async with helpers.run_owner(harness):
            await harness.wait_state("a", model.JobState.DONE)
            await asyncio.sleep(1.0)
            assert not harness.owner.sessions_by_id["quotes-0"].runs
        assert not workers.violations
        if method != "stop":  # nothing has to be stopped
            assert "unexpected_error" in {name for name, _ in harness.events}

    play()


ODD_VALUES = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats(-1e30, 1e30)
    | strategies.sampled_from(["", "x", "1e999", "-1", "0.0", "9" * 40])
    | strategies.lists(strategies.integers(-2, 3), max_size=2)
    | strategies.dictionaries(
        strategies.sampled_from(["0", "0.0", "0.9", "-1", "x"]),
        strategies.integers(-2, 10**6) | strategies.lists(strategies.integers(0, 3)),
        max_size=2,
    )
)


@strategies.composite
def odd_records(draw: strategies.DrawFn) -> dict[str, dict[str, bytes]]:
    """Return records of jobs, by topic and key, some of whose fields are odd."""
    records: dict[str, dict[str, bytes]] = {"commands": {}, "progress": {}}
    for number in range(draw(strategies.integers(1, 4))):
        spec = dataclasses.replace(
            helpers.make_spec(f"odd{number}", is_lasting=draw(strategies.booleans())),
            occurrences=draw(strategies.sampled_from([0, 0, 3])),
        )
        command = json.loads(state.encode_spec(spec))
        job = state.JobProgress(spec)
        job.first_epoch = 1
        job.open_due_occurrences(1e15)
        progress = json.loads(state.encode_progress(job))
        for fields in (command, command["steps"][0], progress):
            for name in draw(strategies.lists(strategies.sampled_from(sorted(fields)))):
                if name != "steps":
                    fields[name] = draw(ODD_VALUES)
        if draw(strategies.booleans()):
            progress |= {"state": "done", "final_ms": draw(ODD_VALUES)}
        records["commands"][f"jodd{number}"] = json.dumps(command).encode()
        if draw(strategies.booleans()):
            records["progress"][f"podd{number}"] = json.dumps(progress).encode()
        if draw(strategies.booleans()):
            records["commands"][f"codd{number}"] = b"1"
    if draw(strategies.booleans()):
        workers = {"former": draw(ODD_VALUES), "used": draw(ODD_VALUES)}
        records["progress"]["workers"] = json.dumps(workers).encode()
    return records


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(odd_records())
def test_owner_goes_on_beside_odd_records(
    records: dict[str, dict[str, bytes]],
) -> None:
    """Guards against a partition that stands still because of one stored record."""

    @paused_clock.test
    async def play() -> None:
        harness = helpers.OwnerHarness(fakes.FakeWorkers(3))
        for topic in (services.Topic.COMMANDS, services.Topic.PROGRESS):
            stored = harness.store.values[topic, helpers.PARTITION]
            stored.update(records[topic.value])
        await harness.submit(helpers.make_spec("sound", task_count=1, cpu=1))
        async with helpers.run_owner(harness) as owner:
            await asyncio.sleep(12.0)  # beyond the leases of previous owners
            assert not owner.has_failed
            assert owner.describe("sound") is model.JobState.DONE

    play()
