"""Applies the limits of an `intake.Intake` to an HTTP server of tornado.

Handlers see only messages that are whole and within the limits. A refusal is written as
soon as it is known. The rest of the body is then discarded for a while, because closing
a connection with unread bytes resets it, and the caller could not read the refusal.
"""

import asyncio
import contextlib
import dataclasses
import functools
import http
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any, Protocol

import tornado.httpserver
import tornado.httputil
import tornado.iostream
import tornado.log

from clementinespar import background, codes, http_servers, intake, read_turns

READ_BYTES = 16 * 1024  # at once from a connection
FREE_READS = 32  # of each message: all that an ordinary one needs
SWEEP_S = 1.0
# Refused bodies are discarded at 8 MB/s in all, so that they leave the event loop time.
_DISCARD_PAUSE_S = 0.002
_MAX_BUFFER_BYTES = 1024 * 1024  # the larger limit is that of header blocks
_UNLIMITED = 2**62  # tornado closes above its own limit without an answer that is read


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An answer to a message that is not whole."""

    status: int
    body: bytes
    header_by_name: Mapping[str, str] = dataclasses.field(default_factory=dict)


class Policy(Protocol):
    """What a listener decides itself."""

    def caller_limits(self) -> intake.CallerLimits:
        """Return the limits of each connection that are in force now."""

    def make_refusal(
        self, reason: intake.Reason, headers: tornado.httputil.HTTPHeaders
    ) -> Refusal:
        """Return the answer to a message that is refused."""

    def report(self, state: intake.Intake) -> None:
        """Take note of the state; called about once a second."""


class FixedPolicy:
    """`Policy` of a listener for other nodes and for the balancer."""

    _limits: intake.CallerLimits

    def __init__(self, limits: intake.CallerLimits) -> None:
        self._limits = limits

    def caller_limits(self) -> intake.CallerLimits:
        """Return the limits, which do not change."""
        return self._limits

    def make_refusal(
        self, reason: intake.Reason, headers: tornado.httputil.HTTPHeaders
    ) -> Refusal:
        """Return an answer that says that the message had no effect."""
        status = 413 if reason is intake.Reason.BODY_TOO_LARGE else 503
        body = {
            "code": int(codes.ResultCode.CALLERS_OVER_LIMIT),
            "message": reason.value,
        }
        return Refusal(status, json.dumps(body).encode())

    def report(self, state: intake.Intake) -> None:
        """Report nothing."""


class _MeteredStream(tornado.iostream.IOStream):
    """Stream that reports what is read, and lets others read in between."""

    connection: intake.Connection
    delegate: "_LimitedDelegate | None"  # of the message that is read
    _on_read: Callable[["_MeteredStream", int], None]
    _turns: read_turns.ReadTurns
    _free_reads: int  # left of this message; they do not count toward a turn

    def __init__(
        self,
        sock: socket.socket,
        connection: intake.Connection,
        on_read: Callable[["_MeteredStream", int], None],
        turns: read_turns.ReadTurns,
    ) -> None:
        super().__init__(
            sock, max_buffer_size=_MAX_BUFFER_BYTES, read_chunk_size=READ_BYTES
        )
        self.connection = connection
        self.delegate = None
        self._on_read = on_read
        self._turns = turns
        self._free_reads = FREE_READS

    def begin_message(self, delegate: "_LimitedDelegate") -> None:
        """Read the next message for a delegate."""
        self.delegate = delegate
        self._free_reads = FREE_READS

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read as the base class does, maybe in a later turn of the event loop."""
        return self._read_in_turn(
            functools.partial(super().read_until, delimiter, max_bytes)
        )

    def read_bytes(self, num_bytes: int, partial: bool = False) -> Awaitable[bytes]:
        """Read as the base class does, maybe in a later turn of the event loop."""
        return self._read_in_turn(
            functools.partial(super().read_bytes, num_bytes, partial)
        )

    def _read_in_turn(self, read: Callable[[], Awaitable[bytes]]) -> Awaitable[bytes]:
        if self._free_reads:
            self._free_reads -= 1
            return read()
        if self._turns.take():
            return read()
        return asyncio.create_task(self._read_later(read))

    async def _read_later(self, read: Callable[[], Awaitable[bytes]]) -> bytes:
        await self._turns.wait()
        return await read()

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read as the base class does."""
        size = super().read_from_fd(buf)
        if size:
            self._on_read(self, size)
        return size


class _LimitedDelegate(tornado.httputil.HTTPMessageDelegate):
    """Passes one message on until it is refused."""

    _inner: tornado.httputil.HTTPMessageDelegate
    _body_bytes: int
    _headers: tornado.httputil.HTTPHeaders | None  # None until they are whole
    _is_refused: bool

    def __init__(
        self,
        server: "Server",
        stream: _MeteredStream,
        request: tornado.httputil.HTTPConnection,
        inner: tornado.httputil.HTTPMessageDelegate,
    ) -> None:
        self._server = server
        self._stream = stream
        self._request = request
        self._inner = inner
        self._body_bytes = 0
        self._headers = None
        self._is_refused = False

    def headers_received(
        self,
        start_line: (
            tornado.httputil.RequestStartLine | tornado.httputil.ResponseStartLine
        ),
        headers: tornado.httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        self._headers = headers
        fields = sum(1 for _ in headers.get_all())
        self._server.state.begin_body(self._stream.connection, fields)
        started = self._inner.headers_received(start_line, headers)
        if self._server.state.is_head_too_large(self._stream.connection):
            self.refuse(intake.Reason.MEMORY)
            self._stream.close()
            return started
        # Python refuses to convert thousands of digits; 18 exceed every limit.
        declared = headers.get("Content-Length", "")[:18]
        is_number = declared.isascii() and declared.isdigit()
        if is_number and int(declared) > self._max_body_bytes():
            self.refuse(intake.Reason.BODY_TOO_LARGE)
            if "Expect" in headers:
                self._request.finish()  # the caller sends no body after the refusal
        return started

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if not self._is_refused:
            self._body_bytes += len(chunk)
            if self._body_bytes <= self._max_body_bytes():
                return self._inner.data_received(chunk)
            self.refuse(intake.Reason.BODY_TOO_LARGE)
        discarding = self._server.state.count_by_phase[intake.Phase.REFUSED]
        return asyncio.sleep(_DISCARD_PAUSE_S * discarding)

    def finish(self) -> None:
        if self._is_refused:
            self._request.finish()
            self._stream.close()
            return
        connection = self._stream.connection
        self._server.state.begin_answer(connection, self._server.now())
        self._inner.finish()

    def on_connection_close(self) -> None:
        if not self._is_refused:
            self._inner.on_connection_close()

    def refuse(self, reason: intake.Reason) -> None:
        """Answer now; without whole headers, close the connection only."""
        self._server.state.refuse(self._stream.connection, reason, self._server.now())
        if self._headers is None:
            self._stream.close()
            return
        self._is_refused = True
        self._inner.on_connection_close()
        refusal = self._server.policy.make_refusal(reason, self._headers)
        headers = tornado.httputil.HTTPHeaders(dict(refusal.header_by_name))
        headers["Connection"] = "close"
        headers["Content-Length"] = str(len(refusal.body))
        phrase = http.HTTPStatus(refusal.status).phrase
        start_line = tornado.httputil.ResponseStartLine(
            "HTTP/1.1", refusal.status, phrase
        )
        self._request.write_headers(start_line, headers, refusal.body)

    def _max_body_bytes(self) -> int:
        return self._server.policy.caller_limits().max_body_bytes


class Server(tornado.httpserver.HTTPServer):
    """HTTP server whose connections are limited; used with `serving`."""

    state: intake.Intake
    policy: Policy
    _stream_by_connection: dict[intake.Connection, _MeteredStream]
    _turns: read_turns.ReadTurns
    _is_relieving: bool

    def initialize(  # type: ignore[override]
        self,
        application: http_servers.Application,
        limits: intake.Limits,
        policy: Policy,
    ) -> None:
        """Set the server up, as tornado's constructor does."""
        super().initialize(application, chunk_size=READ_BYTES, max_body_size=_UNLIMITED)
        self.state = intake.Intake(limits)
        self.policy = policy
        self._stream_by_connection = {}
        self._turns = read_turns.ReadTurns()
        self._is_relieving = False

    def now(self) -> float:
        """Return the time of the event loop, in seconds."""
        return asyncio.get_running_loop().time()

    def handle_stream(
        self, stream: tornado.iostream.IOStream, address: tuple[Any, ...]
    ) -> None:
        """Serve a new connection; if there are too many, others are closed first."""
        if self.state.is_full():
            for chosen in self.state.choose_connections(self.now()):
                self._end(chosen, intake.Reason.CONNECTIONS, closes=True)
        if self.state.is_full():
            self.state.count_by_reason[intake.Reason.CONNECTIONS] += 1
            stream.close()
            return
        connection = self.state.open(self.now())
        metered = _MeteredStream(
            stream.socket, connection, self._count_read, self._turns
        )
        self._stream_by_connection[connection] = metered
        super().handle_stream(metered, address)

    def start_request(
        self, server_conn: Any, request_conn: tornado.httputil.HTTPConnection
    ) -> tornado.httputil.HTTPMessageDelegate:
        """Begin a message on a connection, with the limits that are in force now."""
        stream: _MeteredStream = server_conn.stream
        self.conn_params.max_header_size = self.policy.caller_limits().max_header_bytes
        self.state.begin_message(stream.connection, self.now())
        inner = super().start_request(server_conn, request_conn)
        delegate = _LimitedDelegate(self, stream, request_conn, inner)
        stream.begin_message(delegate)
        return delegate

    def on_close(self, server_conn: Any) -> None:
        """Forget a connection whose serving has ended."""
        stream: _MeteredStream = server_conn.stream
        if stream.connection.phase is intake.Phase.HEADERS and (
            stream.connection.held_bytes > self.conn_params.max_header_size
        ):
            self.state.count_by_reason[intake.Reason.HEADERS_TOO_LARGE] += 1
        stream.delegate = None
        self._forget(stream.connection)
        super().on_close(server_conn)

    def sweep(self) -> None:
        """End what is overdue, and report."""
        limits = self.policy.caller_limits()
        for connection, reason in self.state.find_overdue(limits, self.now()):
            self._end(connection, reason, reason is not intake.Reason.BODY_STOPPED)
        self.policy.report(self.state)

    def _count_read(self, stream: _MeteredStream, size: int) -> None:
        self.state.receive(stream.connection, size, self.now())
        if self.state.is_over_memory() and not self._is_relieving:
            # Not at once: the stream that reads may be one of those that are closed.
            self._is_relieving = True
            asyncio.get_running_loop().call_soon(self._relieve)

    def _relieve(self) -> None:
        self._is_relieving = False
        if self.state.is_over_memory():
            for connection in self.state.choose_messages(self.now()):
                closes = not connection.frees_when_refused
                self._end(connection, intake.Reason.MEMORY, closes)

    def _end(
        self, connection: intake.Connection, reason: intake.Reason, closes: bool
    ) -> None:
        """Refuse the message on a connection; close that if `closes`."""
        stream = self._stream_by_connection.get(connection)
        if stream is None or stream.delegate is None:
            return
        if connection.phase is intake.Phase.REFUSED:
            self.state.count_by_reason[reason] += 1
        else:
            stream.delegate.refuse(reason)
        if closes:
            stream.close()
            # Its place is free now, though its serving ends only later.
            self._forget(connection)

    def _forget(self, connection: intake.Connection) -> None:
        self.state.close(connection)
        self._stream_by_connection.pop(connection, None)


@contextlib.asynccontextmanager
async def serving(
    application: http_servers.Application,
    limits: intake.Limits,
    policy: Policy,
    sockets: list[socket.socket],
) -> AsyncIterator[Server]:
    """Serve within limits while the context is entered; on exit, end connections."""
    for sock in sockets:
        # Accepted sockets inherit it.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, intake.RECEIVE_BUFFER_BYTES
        )
    server = Server(application, limits=limits, policy=policy)

    async def sweep() -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            server.sweep()

    sweeping = background.keep_running(sweep, _log_failure, SWEEP_S)
    async with (
        http_servers.serving(server, application, sockets),
        background.running(sweeping),
    ):
        yield server


def _log_failure(error: Exception) -> None:
    tornado.log.app_log.error("a sweep of connections failed: %r", error)
