"""Tests of requests about jobs whose queue has been sent to another pool."""

import asyncio

import pytest

from clementinespar import codes
from clementinespar.jobs import model, service
from clementinespar.jobs.tests import helpers, moved_deployment
from clementinespar.tests import paused_clock


async def repeat(node: service.JobService) -> codes.ResultCode:
    """Submit the job again, as its caller does."""
    queue = node.configuration.current.queues_by_name["q-added"]  # type: ignore[union-attr]
    spec = helpers.make_spec("a", is_lasting=True, pool=queue.pool)
    return await node.submit(
        queue.pool, spec, moved_deployment.DEADLINE_S, queue.former
    )


async def cancel(node: service.JobService) -> codes.ResultCode:
    """Cancel the job, as its caller does."""
    queue = node.configuration.current.queues_by_name["q-added"]  # type: ignore[union-attr]
    return await node.cancel(queue.pool, "a", moved_deployment.DEADLINE_S, queue.former)


@pytest.mark.parametrize("node_kind", ["owner", "other", "restarted"])
@paused_clock.test
async def test_repeated_submission_remains_one_job(node_kind: str) -> None:
    """Guards against a job that runs in both pools after its queue was moved."""
    async with moved_deployment.run_deployment() as deployment:
        owner_configurations = deployment.first.configuration
        assert isinstance(owner_configurations, moved_deployment.Configurations)
        owner_configurations.apply(moved_deployment.AFTER)
        node = deployment.first
        if node_kind != "owner":
            seen = (
                (moved_deployment.BEFORE, moved_deployment.AFTER)
                if node_kind == "other"
                else (moved_deployment.AFTER,)
            )
            node = deployment.start_node(*seen)
        if node_kind == "restarted":
            await node.moved_queues.learn(lambda: frozenset({2, 3}))
        assert await repeat(node) is moved_deployment.OK
        await asyncio.sleep(2.0)
        assert len(deployment.workers.starts) == 2


@pytest.mark.parametrize(
    "versions",
    [(moved_deployment.BEFORE, moved_deployment.AFTER), (moved_deployment.AFTER,)],
)
@paused_clock.test
async def test_cancellation_reaches_the_earlier_pool(
    versions: tuple[model.JobConfiguration, ...],
) -> None:
    """Guards against an acknowledged cancellation of a job that runs on."""
    async with moved_deployment.run_deployment() as deployment:
        assert await cancel(deployment.start_node(*versions)) is moved_deployment.OK
        await asyncio.sleep(1.0)
        assert not any(w.running for w in deployment.workers.workers.values())


@paused_clock.test
async def test_outcome_is_unknown_while_the_earlier_pool_cannot_be_asked() -> None:
    """Guards against a second job, and against a refusal of one that runs."""
    async with moved_deployment.run_deployment() as deployment:
        node = deployment.start_node(moved_deployment.BEFORE, moved_deployment.AFTER)
        client = node._http_client
        assert isinstance(client, moved_deployment.PeerClient)
        client.is_silent = True
        assert await repeat(node) is codes.ResultCode.STORE_UNANSWERED
        assert await cancel(node) is codes.ResultCode.STORE_UNANSWERED
        client.is_silent = False
        assert await repeat(node) is moved_deployment.OK
        await asyncio.sleep(1.0)
        assert len(deployment.workers.starts) == 2


@paused_clock.test
async def test_waiting_jobs_of_the_earlier_pool_are_counted() -> None:
    """Guards against a count without the jobs that were there before the change."""
    async with moved_deployment.run_deployment() as deployment:
        for number in range(3):
            spec = helpers.make_spec(f"b{number}", cpu=9_000, pool=moved_deployment.OLD)
            await deployment.first.submit(
                moved_deployment.OLD, spec, moved_deployment.DEADLINE_S
            )
        await asyncio.sleep(1.0)
        node = deployment.start_node(moved_deployment.BEFORE, moved_deployment.AFTER)
        configuration = node.configuration.current
        assert configuration is not None
        queue = configuration.queues_by_name["q-added"]
        assert await node.count_waiting(queue, moved_deployment.DEADLINE_S) == 3


@paused_clock.test
async def test_new_job_is_stored_in_the_present_pool_only() -> None:
    """Guards against jobs that go on to the earlier pool."""
    async with moved_deployment.run_deployment() as deployment:
        node = deployment.start_node(moved_deployment.BEFORE, moved_deployment.AFTER)
        spec = helpers.make_spec("c", pool=moved_deployment.NEW)
        assert (
            await node.submit(
                moved_deployment.NEW,
                spec,
                moved_deployment.DEADLINE_S,
                {("q", moved_deployment.OLD)},
            )
            is moved_deployment.OK
        )
        await asyncio.sleep(1.0)
        used = {
            worker
            for task, _, worker in deployment.workers.starts
            if task.job_id == "c"
        }
        assert used <= {f"{moved_deployment.NEW}-0", f"{moved_deployment.NEW}-1"}
        assert used
