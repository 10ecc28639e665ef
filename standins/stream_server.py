"""TCP server on loopback that closes the connections it has accepted."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

_Handle = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def serving(handle: _Handle) -> AsyncIterator[asyncio.Server]:
    """Serve connections while the context is entered; yield the server.

    On exit, handlers that are still running are cancelled and all connections are
    closed. `asyncio.Server` itself does neither before Python 3.12.

    Parameters
    ----------
    handle : callable
        Called with the reader and the writer of each connection, which is closed once
        it returns.
    """
    writers_by_task: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await handle(reader, writer)
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()
        finally:
            await abort(writer)

    def start(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(run(reader, writer))
        writers_by_task[task] = writer
        task.add_done_callback(writers_by_task.pop)

    server = await asyncio.start_server(start, "127.0.0.1", 0)
    try:
        yield server
    finally:
        server.close()
        await server.wait_closed()
        remaining = dict(writers_by_task)
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)
        # A task that was cancelled before its first step has not closed its writer.
        for writer in remaining.values():
            await abort(writer)


def port_of(server: asyncio.Server) -> int:
    """Return the port on which a server listens."""
    return int(server.sockets[0].getsockname()[1])


async def abort(writer: asyncio.StreamWriter) -> None:
    """Close a connection without sending what is still buffered."""
    writer.transport.abort()
    # A task that was cancelled while it waited for the end has cancelled that wait for
    # all others too, so this must not raise the error.
    closed = asyncio.ensure_future(writer.wait_closed())
    # In a callback, since this task may be cancelled once more while it waits.
    closed.add_done_callback(_retrieve_error)
    await asyncio.wait([closed])


def _retrieve_error(closed: "asyncio.Future[None]") -> None:
    if not closed.cancelled():
        closed.exception()
