"""Small HTTP/1.1 server and client on asyncio, for the stand-ins of this review."""

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

Reply = tuple[int, bytes]
Handle = Callable[["Call"], Awaitable[Reply | None]]


class Call:
    """One call that a server has received."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        path, _, query = target.partition("?")
        self.method = method
        self.path = path
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        self.headers = headers
        self.body = body

    def fields(self) -> dict[str, Any]:
        """Return the decoded JSON body."""
        found: dict[str, Any] = json.loads(self.body or b"{}")
        return found


def reply(status: int, fields: object) -> Reply:
    """Return a JSON reply."""
    return status, json.dumps(fields).encode()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Return first line, headers and body of a message; None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return first, headers, body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()


class Server:
    """Server on a free loopback port; `is_up` False resets what arrives."""

    def __init__(self, handle: Handle) -> None:
        self.port = 0
        self.is_up = True
        self._handle = handle
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return ``IP:port``."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def go_down(self) -> None:
        """Reset all connections, and new ones until `is_up` is set."""
        self.is_up = False
        for writer in list(self._writers):
            reset(writer)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self.go_down()
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.is_up:
            reset(writer)
            return
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                answer = await self._handle(Call(method, target, headers, body))
                if answer is None or not self.is_up:
                    reset(writer)
                    return
                status, content = answer
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Length: {len(content)}\r\n"
                    "Content-Type: application/json\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: str = "",
    timeout_s: float = 3.0,
) -> tuple[int, bytes]:
    """Make one call on a new connection; status 0: it had no complete answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
                f"X-Clementinespar-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
                f"Content-Type: application/json\r\n{headers}"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            message = await read_message(reader)
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.transport.abort()
    if message is None:
        return 0, b""
    return int(message[0].split(" ")[1]), message[2]


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind(("127.0.0.1", 0))
            ports.append(sock.getsockname()[1])
    return ports
