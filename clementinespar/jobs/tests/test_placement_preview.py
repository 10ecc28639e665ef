"""Tests of the answer to where a job would be placed, against what becomes of it."""

import asyncio
import contextlib
import dataclasses
import json
import random
import socket
from collections.abc import AsyncIterator, Mapping
from typing import Any

import pytest

from clementinespar import codes, errors, http_calls, intake
from clementinespar.jobs import (
    model,
    peer_server,
    placement_preview,
    pool_owner,
    resources,
    state,
    teams,
)
from clementinespar.jobs.tests import (
    fakes,
    helpers,
    quota_fleet,
    test_neighbours,
    test_quota_exchange,
    test_service,
)
from clementinespar.tests import paused_clock

QUEUE = model.Queue("q", "h", "/q/", "quotes", 3000, 600, 3, 0, 1.6, is_public=True)
CONFIGURATION = model.JobConfiguration(
    1,
    {"q": QUEUE, "keyed": dataclasses.replace(QUEUE, name="keyed", is_public=False)},
    {"quotes": model.Pool("quotes", False)},
    10_000,
    {},
    {"t": teams.Team("t", frozenset())},
)
STEP = {"task_count": 1, "cpu_millis": 1000, "memory_mb": 10, "estimate_ms": 500}


def encode(job: object, queue: str = "q", team: str = "") -> bytes:
    """Return the body of a question."""
    return json.dumps({"queue": queue, "team": team, "job": job}).encode()


class Harness:
    """An owner, and a node that callers and operators ask."""

    def __init__(
        self, owner: pool_owner.PoolOwner, fake: helpers.OwnerHarness, is_remote: bool
    ) -> None:
        self.owner = owner
        self.fake = fake
        partition = test_service.PARTITION_MAP.find("quotes")
        at_owner = test_service.ServiceHarness()
        at_owner.ownership_manager.owners_by_partition[partition] = owner
        self.node = at_owner
        if is_remote:
            client = http_calls.HttpClient()

            async def call(address, method, path, body=b"", **fields):  # type: ignore[no-untyped-def]
                assert (method, path) == ("POST", f"/{partition}/placement/")
                reply = at_owner.jobs.answer_peer(partition, "/placement/", body)
                return http_calls.Response(200, json.dumps(reply).encode())

            client.call = call  # type: ignore[assignment, method-assign]
            self.node = test_service.ServiceHarness(http_client=client)
            self.node.group.owners = {partition: "10.0.0.1:1/5/1000"}
        for harness in (at_owner, self.node):
            harness.jobs.configuration = test_neighbours.FixedConfiguration(
                CONFIGURATION
            )

    async def ask(self, job: Mapping[str, object], queue: str = "q") -> dict[str, Any]:
        """Ask where a job would be placed."""
        body = encode(job, queue, "" if queue == "q" else "t")
        reply = await self.node.jobs.explain_placement(body, "10.0.0.2:1")
        json.dumps(reply)
        return reply


@contextlib.asynccontextmanager
async def run(cpus: tuple[int, ...], is_remote: bool = False) -> AsyncIterator[Harness]:
    """Run an owner of workers w0, w1, ... of these sizes."""
    workers = fakes.FakeWorkers(0)
    workers.task_s = 1000.0  # no task ends between an answer and the placement
    for number, cpu in enumerate(cpus):
        workers.add(f"w{number}", "quotes", cpu)
    fake = helpers.OwnerHarness(workers)
    async with helpers.run_owner(fake) as owner:
        await asyncio.sleep(1.0)
        yield Harness(owner, fake, is_remote)


def find_verdicts(reply: dict[str, Any]) -> dict[str, str]:
    """Return the verdict by worker."""
    return {item["worker"]: item["verdict"] for item in reply["workers"]}


@pytest.mark.parametrize("seed", range(12))
def test_job_goes_where_the_answer_says(seed: int) -> None:
    """Guards against an answer that differs from the placement."""

    @paused_clock.test
    async def scenario() -> None:
        rng = random.Random(seed)
        cpus = tuple(rng.choice((2000, 4000, 8000)) for _ in range(5))
        async with run(cpus, is_remote=seed % 2 == 1) as harness:
            for number in range(12):
                step = {
                    **STEP,
                    "cpu_millis": rng.randrange(500, 5000),
                    "is_lasting": rng.random() < 0.2,
                    "is_filler": rng.random() < 0.1,
                    "max_per_worker": rng.randrange(2),
                    "is_gang": rng.random() < 0.2,
                }
                job_id = f"{number:016x}"
                job = {"job_id": job_id, "steps": [step]}
                reply = await harness.ask(job)
                chosen = [w for w, v in find_verdicts(reply).items() if v == "chosen"]
                assert job_id not in harness.owner.jobs_by_id
                await harness.fake.submit(
                    placement_preview.parse_request(encode(job), CONFIGURATION)
                )
                await asyncio.sleep(0.1)
                started = {
                    run.session.entry.worker_id
                    for session in harness.owner.sessions_by_id.values()
                    for run in session.runs.values()
                    if run.key.job_id == job_id
                }
                assert started == set(chosen)
                assert reply["state"] == (
                    f"would start on {chosen[0]}" if chosen else "would wait for room"
                )

    scenario()


@pytest.mark.parametrize(
    ("step", "wanted"),
    [
        ({}, {"w1": "chosen", "w0": "more_room_elsewhere"}),
        ({"cpu_millis": 6000}, {"w1": "chosen", "w0": "no_cores"}),
        ({"memory_mb": 10**9}, {"w0": "no_memory", "w1": "no_memory"}),
        ({"gpus": 9}, {"w0": "no_accelerators", "w1": "no_accelerators"}),
        ({"label": "other"}, {"w0": "no_label", "w1": "no_label"}),
        (
            {"task_count": 3, "cpu_millis": 5000, "is_gang": True},
            {"w0": "no_cores", "w1": "no_room_for_gang"},
        ),
    ],
)
def test_reasons(step: dict[str, object], wanted: dict[str, str]) -> None:
    """Guards against a worker that is passed over without the reason."""

    @paused_clock.test
    async def scenario() -> None:
        async with run((4000, 8000, 4000, 4000, 4000, 4000)) as harness:
            sessions = harness.owner.sessions_by_id
            sessions["w2"].is_evacuating = True
            harness.fake.workers.drain("w3")
            await asyncio.sleep(1.0)
            sessions["w4"].ejected_until = 1e9
            sessions["w5"].is_silent = True
            reply = await harness.ask({"steps": [{**STEP, **step}]})
            wanted_all = {
                **wanted,
                "w2": "evacuated",
                "w3": "draining",
                "w4": "ejected",
                "w5": "silent",
            }
            assert find_verdicts(reply) == wanted_all
            assert reply["owner"] == {
                "node": "10.0.0.2:1",
                "partition": helpers.PARTITION,
                "epoch": 1,
                "is_confirmed": True,
            }
            harness.owner.mark_lost("test")
            with pytest.raises(errors.ClementinesparError):
                await harness.ask({"steps": [STEP]})

    scenario()


@paused_clock.test
async def test_refusal_is_the_one_that_the_job_gets() -> None:
    """Guards against an answer that promises a place to a job that is rejected."""
    async with run((1000,), is_remote=True) as harness:
        reply = await harness.ask({"steps": [STEP]})
        assert reply["rejection"] is None and reply["before"]["jobs"] == 0
        for number in range(40):
            spec = helpers.make_spec(f"{number:016x}", 4)
            # Later than any real clock: the age counts as 0.
            await harness.fake.submit(dataclasses.replace(spec, accepted_ms=2**42))
        await asyncio.sleep(0.4)
        job = {"steps": [STEP]}
        reply = await harness.ask(job)
        rejection = harness.node.jobs.check_load(
            placement_preview.parse_request(encode(job), CONFIGURATION)
        )
        # This node has learnt the load with the answer.
        assert rejection is not None
        assert reply["rejection"] == placement_preview.describe_rejection(rejection)
        assert reply["state"] == "would be rejected with 627 POOL_OVERLOADED"
        assert reply["before"]["jobs"] >= 1 and reply["wait"]["wait_ms"] > 0


@pytest.mark.parametrize(
    ("body", "wanted"),
    [
        (b"{", codes.ResultCode.JOB_INVALID),
        (b"[]", codes.ResultCode.JOB_INVALID),
        (b'{"queue": 1}', codes.ResultCode.JOB_INVALID),
        (b" " * 10_001, codes.ResultCode.JOB_TOO_LARGE),
        (encode({"steps": [STEP]}, "none"), codes.ResultCode.QUEUE_UNKNOWN),
        (encode({"steps": [STEP]}, team="none"), codes.ResultCode.TEAM_UNKNOWN),
        (encode({"steps": [STEP]}, "keyed"), codes.ResultCode.KEY_UNKNOWN),
        (encode(None), codes.ResultCode.JOB_INVALID),
        (encode({"steps": []}), codes.ResultCode.JOB_INVALID),
        (encode({"steps": [1]}), codes.ResultCode.JOB_INVALID),
        (encode({"steps": [STEP], "speed": 1}), codes.ResultCode.JOB_INVALID),
        (encode({"steps": [{**STEP, "cpu": 1}]}), codes.ResultCode.JOB_INVALID),
        (encode({"steps": [{**STEP, "gpus": "1"}]}), codes.ResultCode.JOB_INVALID),
        (encode({"steps": [{**STEP, "gpus": -1}]}), codes.ResultCode.JOB_INVALID),
        (encode({"steps": [{**STEP, "after": [0]}]}), codes.ResultCode.JOB_INVALID),
        (b"[" * 9_000, codes.ResultCode.JOB_INVALID),
        (encode({"steps": [{"task_count": 6000}] * 2}), codes.ResultCode.JOB_INVALID),
        (encode({"steps": [{"task_count": 0}]}), codes.ResultCode.JOB_INVALID),
    ],
)
def test_malformed_questions(body: bytes, wanted: codes.ResultCode) -> None:
    """Guards against an answer about another job than the one that was meant."""
    with pytest.raises(errors.ClementinesparError) as caught:
        placement_preview.parse_request(body, CONFIGURATION)
    assert caught.value.code is wanted


def test_stored_form_of_a_job_is_understood() -> None:
    """Guards against fields that the product stores but the question rejects."""
    spec = dataclasses.replace(helpers.make_spec("a", may_miss=0), first_due_ms=1)
    job = json.loads(state.encode_spec(spec))
    parsed = placement_preview.parse_request(encode(job), CONFIGURATION)
    assert parsed.steps == spec.steps and parsed.pool == QUEUE.pool


@paused_clock.test
async def test_team_and_jobs_without_due_steps() -> None:
    """Guards against a failure for a job of a team or one that is due later."""
    async with run((4000,)) as harness:
        reply = await harness.ask({"steps": [STEP]}, "keyed")
        assert reply["team"]["name"] == "t" and reply["team"]["has_room"]
        later = {"steps": [STEP], "first_due_ms": 2**42, "occurrences": 2}
        reply = await harness.ask(later)
        assert reply["step"] is None and reply["workers"] == []
        due = {"steps": [STEP], "occurrences": 10**9}
        assert find_verdicts(await harness.ask(due)) == {"w0": "chosen"}
        harness.owner.check_fence()  # starts wait until the store has answered
        reply = await harness.ask({"steps": [STEP]})
        assert "until the ownership of the pool is confirmed" in reply["state"]


@paused_clock.test
async def test_questions_do_not_count_against_the_rate_of_a_team() -> None:
    """Guards against questions that use up the rate, or an answer that ignores it."""
    async with run((4000,)) as harness:
        for number, is_over_rate in enumerate((False,) * 5 + (True,) * 2):
            job = {"job_id": f"{number:016x}", "steps": [STEP]}
            for _ in range(4):
                reply = await harness.ask(job, "keyed")
                assert reply["order"]["is_over_rate"] is is_over_rate
            await harness.fake.submit(
                placement_preview.parse_request(
                    encode(job, "keyed", "t"), CONFIGURATION
                )
            )
            await asyncio.sleep(0.05)
            kept = harness.owner.jobs_by_id[f"{number:016x}"]
            assert kept.is_over_rate is is_over_rate


@paused_clock.test
async def test_lasting_task_stays_away_from_suspects() -> None:
    """Guards against an answer that leaves out the workers that are avoided."""
    async with run((4000, 8000)) as harness:
        spec = placement_preview.parse_request(encode({"steps": [STEP]}), CONFIGURATION)
        await harness.fake.submit(spec)
        await asyncio.sleep(0.1)
        (suspect,) = harness.owner.sessions_by_id["w1"].runs.values()
        suspect.is_suspect = True
        reply = await harness.ask({"steps": [{**STEP, "is_lasting": True}]})
        assert find_verdicts(reply) == {"w0": "chosen", "w1": "failed_there"}


@paused_clock.test
async def test_team_without_room_is_told() -> None:
    """Guards against a free worker that hides the cap of a team."""
    caps = {"a": resources.Resources(4000, 0, 0)}
    async with test_quota_exchange.run_fleet(caps, 1) as fleet:
        test_quota_exchange.set_run_time(fleet, 5.0)
        owner = fleet.owner_nodes[0].owners_by_partition[0]
        specs = [quota_fleet.make_job(f"j{n}", "a", "pool0", (4,)) for n in range(2)]
        await fleet.submit(0, specs[0])
        await asyncio.sleep(0.5)
        confirmed = {"owner": {"is_confirmed": True}, "rejection": None}
        reply = {**owner.preview.describe(specs[1]), **confirmed}
        assert not reply["team"]["has_room"]
        assert placement_preview.find_state(reply) == "would wait for its team's share"
        await fleet.submit(0, specs[1])
        await asyncio.sleep(0.5)
        assert test_quota_exchange.count_cores(fleet) == 4


@pytest.mark.parametrize(
    ("body", "status", "code"),
    [
        (encode({"steps": [STEP]}), 200, codes.ResultCode.OK),
        (encode({"steps": [STEP]}, "none"), 404, codes.ResultCode.QUEUE_UNKNOWN),
        (encode({}), 400, codes.ResultCode.JOB_INVALID),
    ],
)
def test_answer_of_the_port(body: bytes, status: int, code: int) -> None:
    """Guards against a route that another one hides, or a wrong status."""

    async def scenario() -> None:
        with contextlib.closing(socket.socket()) as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        client = http_calls.HttpClient()
        async with run((4000,)) as harness:
            jobs = harness.node.jobs
            limits = intake.Limits(connections=20, held_bytes=1_000_000)
            serving = peer_server.serve_peers(
                "127.0.0.1",
                port,
                jobs,
                None,  # type: ignore[arg-type]
                None,  # type: ignore[arg-type]
                limits,
            )
            async with serving:
                response = await client.call(
                    f"127.0.0.1:{port}", "POST", "/v1/placement", body
                )
                await client.close()
        assert response.status == status
        assert json.loads(response.body)["code"] == code

    asyncio.run(scenario())
