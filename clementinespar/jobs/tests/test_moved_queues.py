"""Tests of requests about jobs whose queue has been sent to another pool."""

import asyncio

import pytest

from clementinespar import codes
from clementinespar.jobs import job_location, model, moved_queues, service
from clementinespar.jobs.tests import helpers, moved_deployment
from clementinespar.tests import paused_clock

# The record of queues if it began with the newer configuration.
RECORD_OF_AFTER = {("h", "/a/"): {("q-added", moved_deployment.NEW)}}


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


@pytest.mark.parametrize("node_kind", ["owner", "other", "restarted", "asking"])
@paused_clock.test
async def test_repeated_submission_remains_one_job(node_kind: str) -> None:
    """Guards against a job that runs in both pools after its queue was moved."""
    async with moved_deployment.run_deployment() as deployment:
        owner_configurations = deployment.first.configuration
        assert isinstance(owner_configurations, moved_deployment.Configurations)
        owner_configurations.apply(moved_deployment.AFTER)
        node = deployment.first
        if node_kind == "other":
            node = deployment.start_node(
                moved_deployment.BEFORE, moved_deployment.AFTER
            )
        elif node_kind == "restarted":
            node = await deployment.restart_node(moved_deployment.AFTER)
        elif node_kind == "asking":  # the queue was moved before the store kept that
            owner_configurations.use(
                moved_queues.with_history(moved_deployment.AFTER, RECORD_OF_AFTER)
            )
            node = deployment.start_node(moved_deployment.AFTER)
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


@pytest.mark.parametrize(
    ("ownerless", "expected"),
    [
        (moved_deployment.NEW, moved_deployment.OK),
        (moved_deployment.OLD, codes.ResultCode.STORE_UNANSWERED),
    ],
)
@paused_clock.test
async def test_cancellation_beside_a_pool_without_an_owner(
    ownerless: str, expected: codes.ResultCode
) -> None:
    """Guards against a failed question that is taken for the answer "not here"."""
    async with moved_deployment.run_deployment(is_split=True) as deployment:
        await deployment.drop_owner(ownerless)
        for node in (
            deployment.start_node(moved_deployment.AFTER),
            await deployment.restart_node(moved_deployment.AFTER),
        ):
            assert await cancel(node) is expected
            await asyncio.sleep(1.0)
            is_running = any(w.running for w in deployment.workers.workers.values())
            assert is_running is (expected is not moved_deployment.OK)


@paused_clock.test
async def test_repeated_submission_of_a_done_job_after_the_loss_of_all_nodes() -> None:
    """Guards against a second run in another pool, as a done job has no command."""
    async with moved_deployment.run_deployment() as deployment:
        deployment.workers.task_s = 0.5
        spec = helpers.make_spec("b", pool=moved_deployment.OLD)
        timeout_s = moved_deployment.DEADLINE_S
        await deployment.first.submit(moved_deployment.OLD, spec, timeout_s)
        await asyncio.sleep(3.0)
        assert not deployment.find_command("jb", moved_deployment.OLD)
        await deployment.replace_owners()
        node = await deployment.restart_node(moved_deployment.AFTER)
        assert await submit_b(node) is moved_deployment.OK
        await asyncio.sleep(3.0)
        assert find_starts_of_b(deployment) == [0, 1]
        assert await describe_b(node) is model.JobState.DONE


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


@pytest.mark.parametrize("is_restarted", [False, True])
@paused_clock.test
async def test_waiting_jobs_of_the_earlier_pool_are_counted(is_restarted: bool) -> None:
    """Guards against a count without the jobs that were there before the change."""
    async with moved_deployment.run_deployment() as deployment:
        for number in range(3):
            spec = helpers.make_spec(f"b{number}", cpu=9_000, pool=moved_deployment.OLD)
            await deployment.first.submit(
                moved_deployment.OLD, spec, moved_deployment.DEADLINE_S
            )
        await asyncio.sleep(1.0)
        if is_restarted:
            node = await deployment.restart_node(moved_deployment.AFTER)
        else:
            versions = (moved_deployment.BEFORE, moved_deployment.AFTER)
            node = deployment.start_node(*versions)
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


async def submit_b(node: service.JobService) -> codes.ResultCode:
    """Submit a job as a caller does, by the configuration of a node."""
    configurations = node.configuration
    assert isinstance(configurations, moved_deployment.Configurations)
    queue = configurations.queue
    spec = helpers.make_spec("b", pool=queue.pool)
    timeout_s = moved_deployment.DEADLINE_S
    return await node.submit(queue.pool, spec, timeout_s, queue.former)


async def claim_b(node: service.JobService) -> job_location.FoundJob | None:
    """Ask for the job before it is stored, as a node does that is then lost."""
    configurations = node.configuration
    assert isinstance(configurations, moved_deployment.Configurations)
    queue = configurations.queue
    return await node.locator.claim(
        queue.pool, queue.former, "b", moved_deployment.DEADLINE_S
    )


async def describe_b(node: service.JobService) -> model.JobState | None:
    """Return the state of the job as a caller sees it."""
    configurations = node.configuration
    assert isinstance(configurations, moved_deployment.Configurations)
    queue = configurations.queue
    timeout_s = moved_deployment.DEADLINE_S
    return await node.describe(queue.pool, "b", timeout_s, queue.former)


def find_starts_of_b(deployment: moved_deployment.Deployment) -> list[int]:
    """Return the indexes of the tasks of the job that have started, sorted."""
    starts = deployment.workers.starts
    return sorted(task.index for task, _, _ in starts if task.job_id == "b")


@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize("is_owner_replaced", [False, True])
@pytest.mark.parametrize("is_restarted", [False, True])
@paused_clock.test
async def test_submission_on_its_way_to_the_earlier_pool_runs_once(
    is_late: bool, is_owner_replaced: bool, is_restarted: bool
) -> None:
    """Guards against a job that runs in both pools, as its first request comes late.

    Either a node with the earlier configuration held it up, or the store did. The node
    that the repetition comes to has seen the queue move, or has started since.
    """
    async with moved_deployment.run_deployment() as deployment:
        first = deployment.start_node(moved_deployment.BEFORE)
        if is_late:
            deployment.store.late_s = 7.0
            assert await submit_b(first) is codes.ResultCode.STORE_UNANSWERED
            deployment.store.late_s = 0.0
        if is_restarted:
            second = await deployment.restart_node(moved_deployment.AFTER)
        else:
            versions = (moved_deployment.BEFORE, moved_deployment.AFTER)
            second = deployment.start_node(*versions)
        assert await submit_b(second) is moved_deployment.OK
        if is_owner_replaced:
            await deployment.replace_owners()
        if not is_late:
            assert await submit_b(first) is moved_deployment.OK
        await asyncio.sleep(10.0)
        assert find_starts_of_b(deployment) == [0, 1]
        assert not deployment.find_command("jb", moved_deployment.OLD)


@pytest.mark.parametrize("is_owner_replaced", [False, True])
@paused_clock.test
async def test_accepted_job_runs_if_the_node_that_asked_for_it_is_lost(
    is_owner_replaced: bool,
) -> None:
    """Guards against a job that was answered with 200 and that no pool starts."""
    async with moved_deployment.run_deployment(is_split=True) as deployment:
        first = deployment.start_node(moved_deployment.BEFORE)
        second = deployment.start_node(moved_deployment.BEFORE, moved_deployment.AFTER)
        assert await claim_b(second) is None
        if is_owner_replaced:
            await deployment.replace_owners()
        client = deployment.find_client(0)
        client.is_silent = True
        assert await submit_b(first) is moved_deployment.OK
        await asyncio.sleep(1.0)
        assert await describe_b(first) is model.JobState.QUEUED
        assert not find_starts_of_b(deployment)
        client.is_silent = False
        await asyncio.sleep(3.0)
        assert find_starts_of_b(deployment) == [0, 1]
        assert await describe_b(second) is model.JobState.RUNNING


@pytest.mark.parametrize("pause_s", [0.0, 0.5])
@pytest.mark.parametrize("delays_s", [None, (0.0, 0.0), (0.3, 0.0), (0.0, 0.3)])
@pytest.mark.parametrize("is_owner_replaced", [False, True])
@pytest.mark.parametrize("is_old_first", [False, True])
@paused_clock.test
async def test_one_pool_runs_a_job_that_both_have_released(
    pause_s: float,
    delays_s: tuple[float, float] | None,
    is_owner_replaced: bool,
    is_old_first: bool,
) -> None:
    """Guards against none or two runs after a queue was moved there and back."""
    is_split = delays_s is not None
    async with moved_deployment.run_deployment(is_split) as deployment:
        for owner_node, delay_s in enumerate(delays_s or ()):
            deployment.find_client(owner_node).answer_delay_s = delay_s
        versions = (moved_deployment.BEFORE, moved_deployment.AFTER)
        there, back = deployment.start_node(*versions), deployment.start_node(*versions)
        assert await claim_b(there) is None
        back_configurations = back.configuration
        assert isinstance(back_configurations, moved_deployment.Configurations)
        back_configurations.apply(moved_deployment.BEFORE)
        assert await claim_b(back) is None
        if is_owner_replaced:
            await deployment.replace_owners()
        commands = [(back, moved_deployment.OLD), (there, moved_deployment.NEW)]
        for node, pool in commands if is_old_first else reversed(commands):
            spec = helpers.make_spec("b", pool=pool)
            timeout_s = moved_deployment.DEADLINE_S
            assert await node.submit(pool, spec, timeout_s) is moved_deployment.OK
            await asyncio.sleep(pause_s)
        await asyncio.sleep(3.0)
        assert find_starts_of_b(deployment) == [0, 1]


@paused_clock.test
async def test_cancelled_job_does_not_start_in_the_earlier_pool() -> None:
    """Guards against a start, by a late first request, of a job that was cancelled."""
    async with moved_deployment.run_deployment() as deployment:
        first = deployment.start_node(moved_deployment.BEFORE)
        deployment.store.late_s = 5.0
        assert await submit_b(first) is codes.ResultCode.STORE_UNANSWERED
        deployment.store.late_s = 0.0
        second = deployment.start_node(moved_deployment.BEFORE, moved_deployment.AFTER)
        assert await submit_b(second) is moved_deployment.OK
        await asyncio.sleep(1.0)
        queue = first.configuration.current.queues_by_name["q"]  # type: ignore[union-attr]
        timeout_s = moved_deployment.DEADLINE_S
        code = await first.cancel(queue.pool, "b", timeout_s, queue.former)
        assert code is moved_deployment.OK
        await asyncio.sleep(10.0)
        assert find_starts_of_b(deployment) == [0, 1]
        assert await describe_b(second) is model.JobState.CANCELLED


@paused_clock.test
async def test_cancellation_follows_a_job_to_the_pool_that_has_it() -> None:
    """Guards against a cancelled job that runs on, as its command was only held."""
    async with moved_deployment.run_deployment(is_split=True) as deployment:
        first = deployment.start_node(moved_deployment.BEFORE)
        second = deployment.start_node(moved_deployment.BEFORE, moved_deployment.AFTER)
        assert await submit_b(second) is moved_deployment.OK
        client = deployment.find_client(0)
        client.is_silent = True
        assert await submit_b(first) is moved_deployment.OK
        await asyncio.sleep(0.1)  # until its command is held
        timeout_s = moved_deployment.DEADLINE_S
        code = await first.cancel(moved_deployment.OLD, "b", timeout_s)
        assert code is moved_deployment.OK
        # The earlier pool may drop the job before it has read the cancellation.
        assert deployment.find_command("cb", moved_deployment.NEW)
        client.is_silent = False
        await asyncio.sleep(2.0)
        assert find_starts_of_b(deployment) == [0, 1]
        assert await describe_b(second) is model.JobState.CANCELLED


@paused_clock.test
async def test_release_counts_once_it_is_stored() -> None:
    """Guards against a job that the next owner of the earlier pool starts as well."""
    async with moved_deployment.run_deployment() as deployment:
        second = deployment.start_node(moved_deployment.BEFORE, moved_deployment.AFTER)
        deployment.store.cut_epochs.add(1)
        assert await submit_b(second) is codes.ResultCode.STORE_UNANSWERED
        assert not deployment.find_command("jb", moved_deployment.NEW)
        deployment.store.cut_epochs.clear()
        await asyncio.sleep(2.0)
        assert await submit_b(second) is moved_deployment.OK


@paused_clock.test
async def test_slow_store_does_not_hold_up_a_moved_submission() -> None:
    """Guards against an append for each question about a release that is on its way."""
    async with moved_deployment.run_deployment() as deployment:
        second = deployment.start_node(moved_deployment.BEFORE, moved_deployment.AFTER)
        deployment.store.fenced_append_s = 0.3
        assert await submit_b(second) is moved_deployment.OK


@paused_clock.test
async def test_recorded_move_makes_nodes_ask_about_no_other_queue() -> None:
    """Guards against releases for the jobs of all queues after the start of a node."""
    async with moved_deployment.run_deployment() as deployment:
        jobs = deployment.first.ownership_manager.owners_by_partition[
            moved_deployment.PARTITION_MAP.find(moved_deployment.OLD)
        ].jobs_by_id.values()
        node = await deployment.restart_node(moved_deployment.AFTER)
        recorded = node.configuration.current
        begun_with = moved_queues.with_history(moved_deployment.AFTER, RECORD_OF_AFTER)
        assert not moved_queues.holds_unrecorded_jobs(jobs, recorded)
        assert moved_queues.holds_unrecorded_jobs(jobs, begun_with)
