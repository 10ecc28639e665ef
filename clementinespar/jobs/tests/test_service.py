"""Tests of submissions on a paused clock."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from clementinespar import codes, http_calls
from clementinespar.jobs import model, ownership, service
from clementinespar.jobs.tests import fakes, helpers
from clementinespar.tests import paused_clock

DEADLINE_S = 2.8


class NoConfiguration:
    """`services.ConfigurationSource` before the first version."""

    current: model.JobConfiguration | None = None


class ServiceBench:
    """A node's service on a store and a group that can go silent."""

    def __init__(self) -> None:
        self.store = fakes.FakeStore()
        self.group = fakes.FakeGroup(frozenset())
        self.keeper = ownership.OwnershipKeeper(
            self.group,
            lambda partition, epoch: pytest.fail("no partition is assigned"),
            lambda epoch: pytest.fail("no host is held"),
            frozenset,
            1_000,
            fakes.ignore_event,
        )
        self.jobs = service.JobService(
            self.keeper, NoConfiguration(), self.store, http_calls.HttpClient()
        )

    def set_silent(self, is_silent: bool) -> None:
        """Let the store answer no call, or answer again."""
        self.store.is_silent = is_silent
        self.group.is_silent = is_silent

    async def submit(self, job_id: str) -> tuple[codes.ResultCode, float]:
        """Submit a job; return the answer and the seconds it took."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        spec = helpers.make_spec(job_id)
        code = await self.jobs.submit(spec.pool, spec, DEADLINE_S)
        return code, loop.time() - began_at


@contextlib.asynccontextmanager
async def run_service() -> AsyncIterator[ServiceBench]:
    """Run a keeper and a service while the context is entered."""
    bench = ServiceBench()
    async with ownership.keep_ownership(bench.keeper):
        await asyncio.sleep(1.0)
        yield bench


@paused_clock.test
async def test_submission_in_flight_is_given_up_early() -> None:
    """Guards against callers that are held until their deadline by a silent store."""
    async with run_service() as bench:
        bench.set_silent(True)
        code, took_s = await bench.submit("a")
        assert code is codes.ResultCode.STORE_UNANSWERED  # it may be stored
        assert took_s <= 2 * service.SILENT_STORE_S


@paused_clock.test
async def test_submission_is_refused_while_the_store_is_silent() -> None:
    """Guards against a refusal of a job that was sent to the store.

    The caller may take it as true that a refused job never runs.
    """
    async with run_service() as bench:
        bench.set_silent(True)
        await asyncio.sleep(2.0)
        code, took_s = await bench.submit("a")
        assert code is codes.ResultCode.STORE_REFUSED
        assert took_s < 0.01
        bench.set_silent(False)
        await asyncio.sleep(2.0)
        assert not any(bench.store.values.values())


@paused_clock.test
async def test_submission_is_accepted_once_the_store_is_back() -> None:
    """Guards against a node that refuses callers after the end of an outage."""
    async with run_service() as bench:
        bench.set_silent(True)
        await asyncio.sleep(3.0)
        bench.set_silent(False)
        await asyncio.sleep(2.0)
        code, _ = await bench.submit("a")
        assert code is codes.ResultCode.OK


@paused_clock.test
async def test_lost_answers_do_not_make_a_store_silent() -> None:
    """Guards against refusals while the store answers other calls."""
    async with run_service() as bench:
        bench.store.loses_answers = True
        submission = asyncio.create_task(bench.submit("a"))
        await asyncio.sleep(0.5)
        bench.store.loses_answers = False
        code, _ = await submission
        assert code is codes.ResultCode.OK
