"""HTTP/1.1 client with persistent connections and few system calls per call.

An owner makes hundreds of calls a second, and tornado's curl client takes 5 to 10 ms
per call on the operators' machines. httptools parses the responses. A connection
carries one call at a time, and is reset when the call is given up, so that a request
which is still on its way is not carried out late.
"""

import asyncio
import dataclasses
import socket
import struct
from collections.abc import Callable

import httptools

from clementinespar import codes, errors

CONNECT_TIMEOUT_S = 0.4  # round trips to all addresses take a few milliseconds
MAX_IDLE_PER_ADDRESS = 8
MAX_IDLE_S = 10.0  # not reused after that, as the peer may be unresponsive
# Linger for 0 s: closing resets the connection, and the kernel drops what it has not
# delivered. It applies to the end of the process as well.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_RESPONSE_BYTES = 16 * 1024 * 1024  # body of a response; the store sends 1 MB a page


class CallNotSentError(errors.ClementinesparError):
    """The call was not sent, so it had no effect."""

    def __init__(self, message: str) -> None:
        super().__init__(codes.ResultCode.CALL_NOT_SENT, message)


class CallUnansweredError(errors.ClementinesparError):
    """The call was sent and got no complete response; it may still take effect."""

    def __init__(self, message: str) -> None:
        super().__init__(codes.ResultCode.CALL_UNANSWERED, message)


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response."""

    status: int
    body: bytes


class _Connection(asyncio.Protocol):
    """A connection with at most one call in flight."""

    transport: asyncio.Transport | None
    is_closed: bool
    lost: asyncio.Event  # set once the connection is closed
    idle_since: float  # event-loop time
    _received_at: float  # event-loop time of the newest data
    _timer: asyncio.TimerHandle | None  # ends the call in flight
    _parser: httptools.HttpResponseParser
    _waiter: "asyncio.Future[Response] | None"
    _body: bytearray
    _open_connections: "set[_Connection]"

    def __init__(self, open_connections: "set[_Connection]") -> None:
        self.transport = None
        self.is_closed = False
        self.lost = asyncio.Event()
        self._open_connections = open_connections
        self.idle_since = 0.0
        self._received_at = 0.0
        self._timer = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter = None
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._open_connections.add(self)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True
        self.lost.set()
        self._open_connections.discard(self)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(
                CallUnansweredError(f"the connection was lost: {exc}")
            )

    def data_received(self, data: bytes) -> None:
        self._received_at = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self._waiter is not None and not self._waiter.done():
                self._waiter.set_exception(
                    CallUnansweredError(f"the response is not HTTP: {error}")
                )
            self.close()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; one that is too large ends the connection."""
        self._body += body
        if len(self._body) > MAX_RESPONSE_BYTES:
            self._body.clear()
            if self._waiter is not None and not self._waiter.done():
                self._waiter.set_exception(
                    CallUnansweredError(
                        f"the response has over {MAX_RESPONSE_BYTES} bytes"
                    )
                )
            self.close()

    def on_message_complete(self) -> None:
        """Complete the pending call with the response."""
        if not self._parser.should_keep_alive():
            self.is_closed = True
        body = bytes(self._body)
        self._body = bytearray()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(Response(self._parser.get_status_code(), body))

    async def call(
        self, request: bytes, timeout_s: float, limit_s: float | None
    ) -> Response:
        """Send one request and wait for its response; see `HttpClient.call`."""
        assert self.transport is not None
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[Response] = loop.create_future()
        self._waiter = waiter
        self.transport.write(request)
        began_at = self._received_at = loop.time()
        end = began_at + (timeout_s if limit_s is None else limit_s)
        self._watch(waiter, timeout_s, began_at, end)
        try:
            return await waiter
        except BaseException:
            self.close()
            raise
        finally:
            if self._timer is not None:
                self._timer.cancel()
            self._waiter = None

    def _watch(
        self,
        waiter: "asyncio.Future[Response]",
        timeout_s: float,
        began_at: float,
        end: float,
    ) -> None:
        """End the call once its response is overdue; else look again when it may be."""
        if waiter.done():
            return
        loop = asyncio.get_running_loop()
        now = loop.time()
        due = min(end, self._received_at + timeout_s)
        if now < due:
            self._timer = loop.call_at(
                due, self._watch, waiter, timeout_s, began_at, end
            )
            return
        waiter.set_exception(
            CallUnansweredError(
                f"no complete response in {(now - began_at) * 1000:.0f} ms"
            )
        )

    def close(self) -> None:
        """Reset the connection; bytes that have not arrived are lost."""
        self.is_closed = True
        if self.transport is not None:
            self.transport.abort()


class HttpClient:
    """Calls any address and pools the connections; needs a running event loop."""

    _idle_by_address: dict[str, list[_Connection]]
    _open_connections: set[_Connection]  # idle or in use
    calls: int  # number of calls sent

    def __init__(self) -> None:
        self._idle_by_address = {}
        self._open_connections = set()
        self.calls = 0

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: str = "",
        timeout_s: float = 1.0,
        may_send: Callable[[], bool] | None = None,
        limit_s: float | None = None,
    ) -> Response:
        """Make one call and return its response.

        Parameters
        ----------
        address : str
            ``IP:port``.
        headers : str
            Additional header lines, each terminated by CRLF.
        timeout_s : float
            Longest wait for the complete response in seconds, from the moment at which
            the connection is open.
        may_send : callable, optional
            Asked once the connection is open, right before the call is sent. Opening it
            takes time, after which an order may no longer be valid.
        limit_s : float, optional
            For a large response on a narrow link: the longest wait for all of it, in
            seconds. Then `timeout_s` is the longest time without a further part.

        Raises
        ------
        CallNotSentError
            No connection could be opened, or `may_send` has returned False.
        CallUnansweredError
            The call may have been executed.
        """
        connection = await self._acquire_connection(address)
        if may_send is not None and not may_send():
            self._release_connection(address, connection)
            raise CallNotSentError("the call was no longer valid")
        self.calls += 1
        request = (
            f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
            f"Content-Length: {len(body)}\r\n{headers}\r\n"
        ).encode() + body
        response = await connection.call(request, timeout_s, limit_s)
        self._release_connection(address, connection)
        return response

    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address that may be unresponsive."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    async def close(self) -> None:
        """Close all connections and wait until they are closed."""
        self._idle_by_address.clear()
        connections = list(self._open_connections)
        for connection in connections:
            connection.close()
        await asyncio.gather(*(connection.lost.wait() for connection in connections))

    async def _acquire_connection(self, address: str) -> _Connection:
        loop = asyncio.get_running_loop()
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_closed or loop.time() - connection.idle_since > MAX_IDLE_S:
                connection.close()
                continue
            return connection
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, opened = await loop.create_connection(
                    lambda: _Connection(self._open_connections), host, int(port)
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            raise CallNotSentError(f"no connection to {address}: {error!r}") from error
        return opened

    def _release_connection(self, address: str, connection: _Connection) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        if connection.is_closed or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        idle.append(connection)
