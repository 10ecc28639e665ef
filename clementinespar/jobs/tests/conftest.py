"""Fixtures of the tests of jobs."""

import asyncio
import time

import pytest


@pytest.fixture
def loop_wall_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the wall clock follow the event loop's, so that Unix times pass as well."""
    monkeypatch.setattr(time, "time", lambda: asyncio.get_running_loop().time())
