"""Finds the tasks, connections and threads that a test has left behind.

Otherwise the garbage collector closes them during a later test, or never.
"""

import asyncio
import contextlib
import threading
from collections.abc import Iterator
from typing import Any
from unittest import mock

# A thread that is waiting to end is not left behind: asyncio's thread that waits for a
# child process reports its end to the loop before the thread itself has ended.
_THREAD_END_S = 1.0


@contextlib.contextmanager
def recording() -> Iterator[list[str]]:
    """Yield a list that names, after the exit, what was left behind in the context.

    Event loops are examined when they are closed, or when their `asyncio.Runner` is,
    which cancels the tasks that are left.
    """
    found: list[str] = []
    examined: list[asyncio.AbstractEventLoop] = []
    threads = set(threading.enumerate())
    close_runner = asyncio.Runner.close
    close_loop = asyncio.SelectorEventLoop.close

    def examine(loop: asyncio.AbstractEventLoop) -> None:
        if loop not in examined and not loop.is_closed():
            examined.append(loop)
            found.extend(find_open(loop))

    def examine_and_close_runner(runner: asyncio.Runner) -> None:
        try:
            loop = runner.get_loop()
        except RuntimeError:  # the runner is closed
            return
        examine(loop)
        close_runner(runner)

    def examine_and_close_loop(loop: asyncio.SelectorEventLoop) -> None:
        examine(loop)
        close_loop(loop)

    with (
        mock.patch.object(asyncio.Runner, "close", examine_and_close_runner),
        mock.patch.object(asyncio.SelectorEventLoop, "close", examine_and_close_loop),
    ):
        yield found
    for thread in set(threading.enumerate()) - threads:
        thread.join(_THREAD_END_S)
        if thread.is_alive():
            found.append(repr(thread))


def find_open(loop: Any) -> list[str]:
    """Return descriptions of a loop's unfinished tasks and open connections."""
    found = [repr(task) for task in asyncio.all_tasks(loop)]
    known_fds = {loop._ssock.fileno()}  # the loop's own, which wakes it
    for fd, transport in loop._transports.items():
        # The socket of a transport is open until `connection_lost` has been called.
        if transport.get_extra_info("socket").fileno() != -1:
            known_fds.add(fd)
            found.append(f"{transport!r} of {transport.get_protocol()!r}")
    for key in loop._selector.get_map().values():
        if key.fd not in known_fds:
            found.append(f"{key.fileobj!r}, watched by {key.data!r}")
    return found
