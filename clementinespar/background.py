"""Work beside the body of a context."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine
from typing import Any


@contextlib.asynccontextmanager
async def running(work: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Run work in a task while the context is entered; raises its failure at the end.

    Parameters
    ----------
    work : Coroutine
        Cancelled at the end of the context, if it still runs then.
    """
    task = asyncio.create_task(work)
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
