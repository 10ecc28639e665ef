"""Tests of submissions on a paused clock."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from clementinespar import codes, http_calls
from clementinespar.jobs import (
    model,
    ownership,
    partitions,
    service,
    store_health,
)
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

DEADLINE_S = 2.8


class NoConfiguration:
    """`services.ConfigurationSource` before the first version."""

    current: model.JobConfiguration | None = None
    confirmed_at: float | None = None


PARTITION_MAP = partitions.PartitionMap(24)


class ServiceHarness:
    """A node's service on a store and a group that can become unavailable."""

    def __init__(
        self,
        store: fakes.FakeStore | None = None,
        http_client: http_calls.HttpClient | None = None,
    ) -> None:
        self.store = store or fakes.FakeStore()
        self.group = fakes.FakeGroup(frozenset())
        self.ownership_manager = ownership.OwnershipManager(
            self.group,
            lambda partition, epoch: pytest.fail("no partition is assigned"),
            lambda epoch: pytest.fail("the fleet partition is not assigned"),
            PARTITION_MAP.fleet_partition,
            frozenset,
            1_000,
            fakes.ignore_event,
        )
        self.jobs = service.JobService(
            self.ownership_manager,
            PARTITION_MAP,
            NoConfiguration(),
            self.store,
            http_client or http_calls.HttpClient(),
        )

    def set_unavailable(self, is_unavailable: bool) -> None:
        """Make the store answer no call, or answer again."""
        self.store.drops_calls = is_unavailable
        self.group.drops_calls = is_unavailable

    async def submit(self, job_id: str) -> tuple[codes.ResultCode, float]:
        """Submit a job; return the answer and the seconds it took."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        spec = helpers.make_spec(job_id)
        code = await self.jobs.submit(spec.pool, spec, DEADLINE_S)
        return code, loop.time() - began_at


@contextlib.asynccontextmanager
async def run_service() -> AsyncIterator[ServiceHarness]:
    """Run an ownership manager and a service inside the context."""
    harness = ServiceHarness()
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(1.0)
        yield harness


@paused_clock.test
async def test_in_flight_submission_is_given_up_early() -> None:
    """Guards against callers that wait until their deadline for the store."""
    async with run_service() as harness:
        harness.set_unavailable(True)
        code, took_s = await harness.submit("a")
        assert code is codes.ResultCode.STORE_UNANSWERED  # it may be stored
        assert took_s <= 2 * store_health.STORE_UNAVAILABLE_S


@paused_clock.test
async def test_submission_is_refused_while_the_store_is_unavailable() -> None:
    """Guards against a refusal of a job that was sent to the store.

    A caller may rely on a refused job never to run.
    """
    async with run_service() as harness:
        harness.set_unavailable(True)
        await asyncio.sleep(2.0)
        code, took_s = await harness.submit("a")
        assert code is codes.ResultCode.STORE_REFUSED
        assert took_s < 0.01
        harness.set_unavailable(False)
        await asyncio.sleep(2.0)
        assert not any(harness.store.values.values())


@paused_clock.test
async def test_submission_is_accepted_once_the_store_is_back() -> None:
    """Guards against a node that still refuses jobs after the end of an outage."""
    async with run_service() as harness:
        harness.set_unavailable(True)
        await asyncio.sleep(3.0)
        harness.set_unavailable(False)
        await asyncio.sleep(2.0)
        code, _ = await harness.submit("a")
        assert code is codes.ResultCode.OK


@paused_clock.test
async def test_lost_answers_do_not_make_a_store_unavailable() -> None:
    """Guards against refusing jobs while the store answers other calls."""
    async with run_service() as harness:
        harness.store.loses_answers = True
        submission = asyncio.create_task(harness.submit("a"))
        await asyncio.sleep(0.5)
        harness.store.loses_answers = False
        code, _ = await submission
        assert code is codes.ResultCode.OK
