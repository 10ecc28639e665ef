"""A small HTTP/1.1 server and client on loopback."""

import asyncio
import json
import urllib.parse
from collections.abc import Awaitable, Callable, Mapping

LOOPBACK = "127.0.0.1"
# Status and body; None ends the connection without an answer.
Answer = tuple[int, bytes] | None
Handler = Callable[
    [str, str, Mapping[str, str], Mapping[str, str], bytes], Awaitable[Answer]
]


def encode(body: object) -> bytes:
    """Return a body in JSON."""
    return json.dumps(body, separators=(",", ":")).encode()


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, the headers and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


class Server:
    """Serves one handler on a free port; each connection takes one call at a time."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.port = 0

    async def open(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, 0, limit=8_000_000
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(" ", 2)
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query))
                answer = await self._handler(method, parts.path, query, headers, body)
                if answer is None:
                    break
                status, content = answer
                writer.write(
                    f"HTTP/1.1 {status} Status\r\nContent-Length: {len(content)}"
                    "\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.transport.abort()


async def call(
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, dict[str, object]]:
    """Make one call; the status is 0 if there was no complete answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            lines = {"Host": LOOPBACK, "Content-Length": str(len(body))} | dict(
                headers or {}
            )
            head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            first, _, content = await _read_message(reader)
            status = int(first.split(" ")[1])
            return status, json.loads(content) if content else {}
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.transport.abort()
