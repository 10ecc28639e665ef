"""Runs coroutines in the background of a context or of a component."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, TypeVar

_T = TypeVar("_T")


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


async def keep_running(
    make_work: Callable[[], Coroutine[Any, Any, None]],
    on_failure: Callable[[Exception], None],
    pause_s: float,
) -> None:
    """Run a coroutine, and run it anew whenever an unexpected error has ended it.

    Parameters
    ----------
    make_work : callable
        Returns the coroutine to run next.
    on_failure : callable
        Gets the error, before the pause.
    pause_s : float
        Time between an error and the next run, in seconds.
    """
    while True:
        try:
            return await make_work()
        except Exception as error:
            on_failure(error)
        await asyncio.sleep(pause_s)


class Tasks:
    """Tasks that a component has started and that nothing else waits for."""

    _tasks: set[asyncio.Task[Any]]

    def __init__(self) -> None:
        self._tasks = set()

    def __len__(self) -> int:
        """Return the number of tasks that have not ended."""
        return len(self._tasks)

    def start(
        self, work: Coroutine[Any, Any, _T], name: str | None = None
    ) -> asyncio.Task[_T]:
        """Run a coroutine as a task."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def pending(self) -> set[asyncio.Task[Any]]:
        """Return the tasks that have not ended."""
        return set(self._tasks)

    async def end(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        await end_all(self._tasks)


async def end_all(tasks: set[asyncio.Task[Any]]) -> None:
    """Cancel tasks and wait until they, and the tasks that they start, have ended.

    Parameters
    ----------
    tasks : set of asyncio.Task
        Tasks are removed from it when they end, and added when they start.
    """
    while tasks:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
