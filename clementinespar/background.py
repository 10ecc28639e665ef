"""Runs a coroutine in the background of a context."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine
from typing import Any


@contextlib.asynccontextmanager
async def running(work: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Run a coroutine as a task while the context is entered.

    If the coroutine has failed, its exception is raised when the context exits.

    Parameters
    ----------
    work : Coroutine
        Cancelled when the context exits, if it is still running.
    """
    task = asyncio.create_task(work)
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
