"""Fake admin port in a thread, with replies from a test's function."""

import asyncio
import contextlib
import dataclasses
import json
import threading
from collections.abc import Callable, Iterator
from typing import Any

import tornado.httpserver
import tornado.netutil

from clementinespar import http_servers

Handle = Callable[[str, str, dict[str, Any] | None], tuple[int, dict[str, Any]] | None]


@dataclasses.dataclass(slots=True)
class FakeAdmin:
    """Address of the fake admin port and the calls that it received."""

    node: str = ""  # IP:port
    # Method and path of each call.
    calls: list[tuple[str, str]] = dataclasses.field(default_factory=list)


@contextlib.contextmanager
def serve(handle: Handle) -> Iterator[FakeAdmin]:
    """Serve an admin port; the connection is closed if ``handle`` returns None."""
    fake = FakeAdmin()
    started = threading.Event()
    stop: list[Callable[[], object]] = []

    class Handler(http_servers.Handler):
        def _reply(self) -> None:
            method, path = str(self.request.method), self.request.path
            fake.calls.append((method, path))
            body = json.loads(self.request.body) if self.request.body else None
            reply = handle(method, path, body)
            if reply is None:
                self.request.connection.stream.close()  # type: ignore[union-attr]
                return
            self.set_status(reply[0])
            self.write(reply[1])

        def get(self) -> None:
            self._reply()

        def post(self) -> None:
            self._reply()

    async def main() -> None:
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        application = http_servers.Application([(".*", Handler)])
        server = tornado.httpserver.HTTPServer(application)
        fake.node = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        stop.append(lambda: loop.call_soon_threadsafe(stopping.set))
        async with http_servers.serving(server, application, sockets):
            started.set()
            await stopping.wait()

    thread = threading.Thread(target=lambda: asyncio.run(main()))
    thread.start()
    started.wait()
    try:
        yield fake
    finally:
        stop[0]()
        thread.join()
