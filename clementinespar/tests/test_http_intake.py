"""Tests of refusals of messages that are not whole, over HTTP."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable

import pytest
import tornado.httputil
import tornado.iostream
import tornado.netutil

from clementinespar import http_intake, http_servers, intake

MAX_BODY_BYTES = 50_000
MOST_READS = 2_000  # between two turns of any other task
HEAD = "POST / HTTP/1.1\r\nHost: x\r\n"


class Policy:
    """`http_intake.Policy` whose refusals name the reason."""

    def caller_limits(self) -> intake.CallerLimits:
        return intake.CallerLimits(max_body_bytes=MAX_BODY_BYTES)

    def make_refusal(
        self, reason: intake.Reason, headers: tornado.httputil.HTTPHeaders
    ) -> http_intake.Refusal:
        return http_intake.Refusal(503, reason.value.encode(), {"Retry-After": "1"})

    def report(self, state: intake.Intake) -> None:
        pass


class Handler(http_servers.Handler):
    """Answers with the size of the body."""

    def post(self) -> None:
        self.finish(str(len(self.request.body)))


@contextlib.asynccontextmanager
async def run_server(
    held_bytes: int = 1_000_000, connections: int = 20
) -> AsyncIterator[tuple[http_intake.Server, int]]:
    """Yield a server and its port."""
    sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
    limits = intake.Limits(connections, held_bytes)
    application = http_servers.Application([("/", Handler)])
    async with (
        asyncio.timeout(20),
        http_intake.serving(application, limits, Policy(), sockets) as server,
    ):
        yield server, sockets[0].getsockname()[1]


class Client:
    """A connection of a caller."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def read_answer(self) -> tuple[str, bytes]:
        """Return the status line and the body of an answer."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        headers = tornado.httputil.HTTPHeaders.parse(head.split("\r\n", 1)[1])
        body = await self.reader.readexactly(int(headers["Content-Length"]))
        return head.split("\r\n")[0], body


@contextlib.asynccontextmanager
async def connect(port: int, sent: str) -> AsyncIterator[Client]:
    """Yield a connection on which something was sent."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(sent.encode())
        yield Client(reader, writer)
    finally:
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()


def make_post(size: int, sent: int | None = None) -> str:
    """Return a request, or its beginning."""
    body = "x" * (size if sent is None else sent)
    return f"{HEAD}Content-Length: {size}\r\n\r\n{body}"


@pytest.mark.parametrize("is_chunked", [False, True])
def test_sender_of_an_oversized_body_can_read_the_refusal(is_chunked: bool) -> None:
    """Guards against a reset while the caller still sends, which hides the answer."""

    async def main() -> None:
        async with run_server() as (server, port):
            size = 2_000_000
            request = make_post(size)
            if is_chunked:
                body = "x" * size
                request = f"{HEAD}Transfer-Encoding: chunked\r\n\r\n{size:x}\r\n{body}"
                request += "\r\n0\r\n\r\n"
            async with connect(port, request) as client:
                await client.writer.drain()
                status, reason = await client.read_answer()
                assert status == "HTTP/1.1 503 Service Unavailable"
                assert reason == intake.Reason.BODY_TOO_LARGE.value.encode()
                assert await client.reader.read() == b""
            assert server.state.held_bytes == 0

    asyncio.run(main())


def test_announced_body_is_refused_before_it_is_sent() -> None:
    """Guards against a caller that waits for the leave to send and gets no answer."""

    async def main() -> None:
        async with run_server() as (_, port):
            request = f"{HEAD}Expect: 100-continue\r\nContent-Length: 9999999\r\n\r\n"
            async with connect(port, request) as client:
                status, _ = await client.read_answer()
                assert status == "HTTP/1.1 503 Service Unavailable"
                assert await client.reader.read() == b""

    asyncio.run(main())


@pytest.mark.parametrize(
    ("length", "status"),
    [("9" * 9_000, "503"), ("\u00b2", "400"), ("-1", "400")],
)
def test_odd_length_is_refused_without_an_error(
    length: str, status: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a traceback in the log for each malformed request."""

    async def main() -> bytes:
        async with run_server() as (_, port), connect(port, "") as client:
            request = f"{HEAD}Content-Length: {length}\r\n\r\n"
            client.writer.write(request.encode("latin1"))
            return await client.reader.readline()

    assert asyncio.run(main()).startswith(f"HTTP/1.1 {status}".encode())
    assert not [record for record in caplog.records if record.exc_info]


def test_stopped_bodies_make_way_for_a_small_one() -> None:
    """Guards against a crowd of stopped bodies that keeps ordinary callers out."""

    async def main() -> None:
        async with run_server(held_bytes=100_000) as (_, port):
            stopped = make_post(MAX_BODY_BYTES, MAX_BODY_BYTES - 1)
            async with contextlib.AsyncExitStack() as stack:
                crowd = [
                    await stack.enter_async_context(connect(port, stopped))
                    for _ in range(4)
                ]
                async with connect(port, make_post(500)) as client:
                    assert (await client.read_answer())[1] == b"500"
                status, body = await crowd[0].read_answer()
                assert status == "HTTP/1.1 503 Service Unavailable"
                assert body == intake.Reason.MEMORY.value.encode()

    asyncio.run(main())


def test_silent_connections_make_way_for_a_caller() -> None:
    """Guards against silent connections that use up the descriptors."""

    async def main() -> None:
        async with (
            run_server(connections=5) as (server, port),
            contextlib.AsyncExitStack() as stack,
        ):
            for _ in range(20):
                await stack.enter_async_context(connect(port, ""))
            async with connect(port, make_post(500)) as client:
                assert (await client.read_answer())[1] == b"500"
            assert len(server.state.connections) <= 5

    asyncio.run(main())


@pytest.mark.parametrize(
    ("sent", "answer"),
    [("", b""), ("POST / HT", b""), (make_post(100, 9), b"HTTP/1.1 503")],
)
def test_connections_that_stop_are_ended(sent: str, answer: bytes) -> None:
    """Guards against header blocks and bodies that never end."""

    async def main() -> None:
        async with run_server() as (server, port), connect(port, sent) as client:
            while not server.state.connections or (
                sent and not server.state.held_bytes
            ):
                await asyncio.sleep(0.01)
            (connection,) = server.state.connections
            connection.began_at = connection.heard_at = server.now() - 100
            server.sweep()
            assert (await client.reader.read(12)) == answer
            # A refused body is not discarded for ever.
            connection.began_at = server.now() - 100
            server.sweep()
            assert not server.state.connections

    asyncio.run(main())


def test_small_chunks_leave_the_event_loop_to_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against renewals and readiness that wait for a crowd of small chunks."""
    reads = 0
    read_until = tornado.iostream.IOStream.read_until

    def count_read(
        stream: tornado.iostream.IOStream, delimiter: bytes, max_bytes: int | None
    ) -> Awaitable[bytes]:
        nonlocal reads
        reads += 1
        return read_until(stream, delimiter, max_bytes)

    monkeypatch.setattr(tornado.iostream.IOStream, "read_until", count_read)

    async def main() -> int:
        nonlocal reads
        most = 0
        head = f"{HEAD}Transfer-Encoding: chunked\r\n\r\n"
        chunks = b"1\r\nx\r\n" * 2_000
        async with (
            run_server(connections=60) as (_, port),
            contextlib.AsyncExitStack() as stack,
        ):
            crowd = [
                await stack.enter_async_context(connect(port, head)) for _ in range(40)
            ]
            async with connect(port, head) as client:
                for other in crowd:
                    other.writer.write(chunks)
                client.writer.write(chunks + b"0\r\n\r\n")
                answer = asyncio.create_task(client.read_answer())
                while not answer.done():
                    reads = 0
                    await asyncio.sleep(0)
                    most = max(most, reads)
                assert answer.result()[1] == b"2000"
        return most

    assert asyncio.run(main()) <= MOST_READS
