"""Ends the connections and handlers of tornado's HTTP servers.

Tornado's own shutdown closes connections, but does not end a handler that waits for
something else, such as an append.
"""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Sequence
from typing import Any

import tornado.httpserver
import tornado.web

from clementinespar import background


class Application(tornado.web.Application):
    """Application whose handlers `serving` ends; they derive from `Handler`."""

    running_tasks: "set[asyncio.Task[Any]]"  # of handlers

    def __init__(self, routes: Sequence[Any], **settings: Any) -> None:
        self.running_tasks = set()
        super().__init__(list(routes), log_function=_log_nothing, **settings)


class Handler(tornado.web.RequestHandler):
    """Handler of an `Application`."""

    async def _execute(self, *args: Any, **kwargs: Any) -> None:
        assert isinstance(self.application, Application)
        task = asyncio.current_task()
        assert task is not None
        self.application.running_tasks.add(task)
        task.add_done_callback(self.application.running_tasks.discard)
        await super()._execute(*args, **kwargs)


@contextlib.asynccontextmanager
async def serving(
    server: tornado.httpserver.HTTPServer,
    application: Application,
    sockets: Sequence[socket.socket],
) -> AsyncIterator[None]:
    """Serve while the context is entered; on exit, end connections and handlers."""
    server.add_sockets(list(sockets))
    try:
        yield
    finally:
        server.stop()
        await server.close_all_connections()
        await background.end_all(application.running_tasks)


def _log_nothing(handler: tornado.web.RequestHandler) -> None:
    """Replace tornado's log of requests."""
