"""A small HTTP/1.1 server and client on asyncio."""

import asyncio
import contextlib
import dataclasses
import json
import urllib.parse
from collections.abc import Awaitable, Callable, Mapping
from typing import Any


@dataclasses.dataclass
class Request:
    """A request that was read whole."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the decoded body."""
        decoded: dict[str, Any] = json.loads(self.body or b"{}")
        return decoded

    def number(self, name: str, default: int = 0) -> int:
        """Return a number of the query."""
        return int(self.query.get(name, default))


@dataclasses.dataclass
class Reply:
    """An answer; `is_closed` ends the connection in place of it."""

    status: int = 200
    body: bytes = b""
    is_closed: bool = False


Handler = Callable[[Request], Awaitable[Reply]]


def reply_json(status: int, body: object) -> Reply:
    """Return an answer with a JSON body."""
    return Reply(status, json.dumps(body).encode())


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first, headers


class Server:
    """Serves one address until it is closed."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def open(self, host: str, port: int = 0) -> None:
        """Listen; port 0 means any free one."""
        self._server = await asyncio.start_server(
            self._serve, host, port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                method, target, _ = first.split(" ", 2)
                parts = urllib.parse.urlsplit(target)
                request = Request(
                    method,
                    urllib.parse.unquote(parts.path),
                    dict(urllib.parse.parse_qsl(parts.query)),
                    headers,
                    body,
                )
                reply = await self._handler(request)
                if reply.is_closed:
                    break
                writer.write(
                    f"HTTP/1.1 {reply.status} -\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(reply.body)}\r\n\r\n".encode()
                    + reply.body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # the peer or the case has ended
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, bytes]:
    """Make one call on a connection of its own.

    Returns the status and the body; status 0 if there was no complete answer.
    """
    content = b"" if body is None else json.dumps(body).encode()
    fields = {"Host": address, "Content-Length": str(len(content))}
    fields.update(headers or {})
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + content)
            first, answered = await _read_head(reader)
            size = int(answered.get("content-length", "0"))
            answer = await reader.readexactly(size) if size else b""
            return int(first.split(" ")[1]), answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
