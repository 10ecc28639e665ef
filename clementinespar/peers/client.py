"""Client side of the peer protocol.

Every call has a deadline by the event loop's clock. After a timeout or a failed
heartbeat, new calls use a new connection. The old one stays open for the requests that
are in flight on it; HTTP/2 pings and the TCP user timeout end it if the other side is
unresponsive.
"""

import asyncio
import contextlib
import hashlib
import socket
import ssl
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Any

import grpclib
import grpclib.client
import grpclib.config
import grpclib.exceptions
import grpclib.protocol
import h2.exceptions
import logbook

from clementinespar import codes, errors, options
from clementinespar.log import service as log_service
from clementinespar.peers import peer_grpc, peer_pb2
from clementinespar.requests import model

_log = logbook.Logger("peers.client")

# Heartbeats detect an unresponsive connection first. Pings detect it on connections
# that are no longer used for new calls, and on the server side.
PING_INTERVAL_S = 5.0
# A connection ends when sent bytes are not acknowledged for this long.
TCP_USER_TIMEOUT_MS = 3_000
SERVER_PING_INTERVAL_S = 10.0
_MIN_PING_INTERVAL_S = 0.1
# A connection whose ping is not answered within this time is closed, so the outcome of
# requests in flight on it becomes unknown; they survive shorter pauses of a node.
PING_TIMEOUT_S = 2.5
# TLS waits for the other side to close a connection, which may be unresponsive.
CLOSE_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 1.0  # TCP and TLS, within one data centre or between nearby ones
# The owner sends headers as soon as it has read a request, so an unresponsive
# connection is detected long before the request's deadline.
ACCEPT_TIMEOUT_S = 1.5
# The owner decides at the deadline; its outcome may arrive this much later.
OUTCOME_GRACE_S = 1.0
# Size of the largest answer body that is accepted from an owner.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
_FETCH_TIMEOUT_S = 5.0  # one FetchEntries call
_SNAPSHOT_TIMEOUT_S = 30.0  # one whole snapshot


def limit_message_size(
    stream: Any,
    max_bytes: int,
    make_error: Callable[[str], Exception] = grpclib.exceptions.StreamTerminatedError,
) -> None:
    """Limit the size of messages that a grpclib stream receives.

    grpclib itself reads messages of up to 4 GiB into memory.

    Parameters
    ----------
    stream : grpclib client or server stream
        A client stream must have sent its request.
    max_bytes : int
        Size of the largest message.
    make_error : callable
        Returns the error that is raised for a larger message.
    """
    transport_stream = stream._stream
    receive = transport_stream.recv_data

    async def receive_within_limit(size: int) -> bytes:
        if size > max_bytes:
            raise make_error(f"message of {size} bytes exceeds {max_bytes} bytes")
        data: bytes = await receive(size)
        return data

    transport_stream.recv_data = receive_within_limit


def set_tcp_user_timeout(transport: asyncio.BaseTransport) -> None:
    """Make the kernel end a connection on which sent bytes are not acknowledged."""
    raw = transport.get_extra_info("socket")
    if raw is None or raw.family not in (socket.AF_INET, socket.AF_INET6):
        return
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


class OpenConnections:
    """Connections of one side that are not closed yet."""

    _lost_by_transport: dict[asyncio.BaseTransport, asyncio.Event]

    def __init__(self) -> None:
        self._lost_by_transport = {}

    def watch(self, protocol: grpclib.protocol.H2Protocol) -> None:
        """Add the connection of a protocol once it is open, until it is closed."""
        connection_made = protocol.connection_made
        connection_lost = protocol.connection_lost
        lost = asyncio.Event()
        transports: list[asyncio.BaseTransport] = []

        def add(transport: asyncio.BaseTransport) -> None:
            transports.append(transport)
            self._lost_by_transport[transport] = lost
            connection_made(transport)

        def remove(exc: BaseException | None) -> None:
            for transport in transports:
                self._lost_by_transport.pop(transport, None)
            lost.set()
            connection_lost(exc)

        protocol.connection_made = add  # type: ignore[method-assign]
        protocol.connection_lost = remove  # type: ignore[method-assign]

    async def wait_closed(self) -> None:
        """Wait until all connections are closed, which their owner has requested.

        A connection is aborted if the other side does not take part in closing it.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._wait_lost()
        for transport in self._lost_by_transport:
            assert isinstance(transport, asyncio.WriteTransport)
            transport.abort()
        await self._wait_lost()

    async def _wait_lost(self) -> None:
        await asyncio.gather(
            *(lost.wait() for lost in self._lost_by_transport.values())
        )


class _Channel(grpclib.client.Channel):
    """Channel whose connections end when the peer is unresponsive."""

    connections: OpenConnections  # of all channels of a client

    def _protocol_factory(self) -> grpclib.protocol.H2Protocol:
        protocol = _Protocol(
            grpclib.client.Handler(),
            self._config,
            self._h2_config,
        )
        self.connections.watch(protocol)
        return protocol

    def ping_now(self) -> None:
        """Send a ping now; without a reply in `PING_TIMEOUT_S` the connection ends."""
        if self._connected and self._protocol is not None:
            with contextlib.suppress(h2.exceptions.H2Error, AttributeError):
                self._protocol.connection._ping()


class _Protocol(grpclib.protocol.H2Protocol):
    """HTTP/2 connection with the TCP user timeout."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        set_tcp_user_timeout(transport)
        super().connection_made(transport)


def make_configuration(
    max_message_bytes: int, ping_interval_s: float = PING_INTERVAL_S
) -> grpclib.config.Configuration:
    """Return the HTTP/2 configuration of one side."""
    window = min(max(max_message_bytes, 65_535), 2**31 - 1)
    return grpclib.config.Configuration(
        _keepalive_time=ping_interval_s,
        _keepalive_timeout=PING_TIMEOUT_S,
        _keepalive_permit_without_calls=False,
        _http2_max_pings_without_data=0,  # no limit
        _http2_min_sent_ping_interval_without_data=_MIN_PING_INTERVAL_S,
        http2_connection_window_size=window,
        http2_stream_window_size=window,
    )


class NotSentError(Exception):
    """The message was not sent completely, so the peer cannot have handled it."""


class PeerClient:
    """Calls to the node behind one endpoint; implements `membership.PeerLink`.

    Parameters
    ----------
    endpoint : str
        ``IP:port`` of the peer protocol.
    settings : options.PeersSettings
        Limit on the size of messages.
    ssl_context : ssl.SSLContext or None
        TLS certificate and key of this node, or None for plain TCP.
    """

    endpoint: str
    max_message_bytes: int
    _ssl_context: ssl.SSLContext | None
    _channel: _Channel | None  # for new calls
    _retired_channels: list[_Channel]  # closed once the calls on them have ended
    _calls_by_channel: dict[_Channel, int]
    _connections: OpenConnections
    _heartbeats: Any  # grpclib stream of the heartbeats, None while none is open
    is_closed: bool  # accepts no new calls

    def __init__(
        self,
        endpoint: str,
        settings: options.PeersSettings,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        self.endpoint = endpoint
        self.max_message_bytes = settings.max_message_bytes
        self._ssl_context = ssl_context
        self._channel = None
        self._retired_channels = []
        self._calls_by_channel = {}
        self._connections = OpenConnections()
        self._heartbeats = None
        self.is_closed = False

    @contextlib.contextmanager
    def acquire_channel(self) -> Iterator[tuple[_Channel, peer_grpc.PeerStub]]:
        """Yield the channel for a new call, which stays open until the call ends."""
        if self.is_closed:
            raise NotSentError(f"peer {self.endpoint} is no longer a member")
        if self._channel is None:
            host, _, port = self.endpoint.rpartition(":")
            self._channel = _Channel(
                host.strip("[]"),
                int(port),
                ssl=self._ssl_context,
                config=make_configuration(self.max_message_bytes),
            )
            self._channel.connections = self._connections
        channel = self._channel
        self._calls_by_channel[channel] = self._calls_by_channel.get(channel, 0) + 1
        try:
            yield channel, peer_grpc.PeerStub(channel)
        finally:
            self._calls_by_channel[channel] -= 1
            if self._calls_by_channel[channel] == 0:
                del self._calls_by_channel[channel]
                if channel in self._retired_channels:
                    self._retired_channels.remove(channel)
                    channel.close()

    def reset_connection(self) -> None:
        """Use a new connection for the next call."""
        channel, self._channel = self._channel, None
        self._heartbeats = None
        if channel is None:
            return
        if self._calls_by_channel.get(channel):
            self._retired_channels.append(channel)
            channel.ping_now()
        else:
            channel.close()

    def reset_connection_if_current(self, channel: _Channel) -> None:
        """Use a new connection, unless the channel has already been replaced."""
        if self._channel is channel:
            self.reset_connection()

    def close(self) -> None:
        """Accept no new calls and close connections once the calls on them end."""
        self.is_closed = True
        self.reset_connection()

    async def wait_closed(self) -> None:
        """Wait, after `close` and the end of all calls, until nothing is open."""
        await self._connections.wait_closed()

    async def heartbeat(
        self, message: peer_pb2.HeartbeatMessage, timeout_s: float
    ) -> peer_pb2.HeartbeatMessage:
        """Exchange heartbeats on one long-lived stream; see `membership.PeerLink`."""
        try:
            async with asyncio.timeout(timeout_s):
                if self._heartbeats is None:
                    await self._open_heartbeats()
                stream = self._heartbeats
                await stream.send_message(message)
                reply = await stream.recv_message()
                if reply is None:
                    raise errors.PeerUnavailableError(
                        "the peer ended the heartbeat stream"
                    )
        except BaseException as error:
            # A late reply must not be taken for the reply to a later heartbeat.
            await self._end_heartbeats(error)
            if isinstance(error, _CALL_ERRORS):
                raise errors.PeerUnavailableError(describe_error(error)) from error
            raise
        assert isinstance(reply, peer_pb2.HeartbeatMessage)
        return reply

    async def _open_heartbeats(self) -> None:
        # The stream does not count as a call, so it keeps no retired connection open.
        with self.acquire_channel() as (_, stub):
            self._heartbeats = stub.Heartbeat.open()
            await self._heartbeats.__aenter__()
            await self._heartbeats.send_request()
            limit_message_size(self._heartbeats, self.max_message_bytes)

    async def _end_heartbeats(self, error: BaseException) -> None:
        stream, self._heartbeats = self._heartbeats, None
        if stream is not None:
            # With an error, the stream is reset immediately instead of being finished.
            with contextlib.suppress(*_CALL_ERRORS):
                await stream.__aexit__(type(error), error, None)

    async def fetch_entries(
        self, from_offset: int, limit: int
    ) -> list[log_service.LogEntry]:
        """Fetch entries that the peer has applied.

        Raises
        ------
        errors.PeerUnavailableError
            The peer did not send them in time.
        """
        entries: list[log_service.LogEntry] = []
        try:
            with self.acquire_channel() as (channel, stub):
                try:
                    async with (
                        asyncio.timeout(_FETCH_TIMEOUT_S),
                        stub.FetchEntries.open(timeout=_FETCH_TIMEOUT_S) as stream,
                    ):
                        await stream.send_message(
                            peer_pb2.FetchEntriesRequest(
                                from_offset=from_offset, limit=limit
                            ),
                            end=True,
                        )
                        limit_message_size(stream, self.max_message_bytes)
                        async for item in stream:
                            entries.append(
                                log_service.LogEntry(
                                    item.offset, item.timestamp_ms, item.payload
                                )
                            )
                except TimeoutError:
                    self.reset_connection_if_current(channel)
                    raise
        except _CALL_ERRORS as error:
            raise errors.PeerUnavailableError(describe_error(error)) from error
        return entries

    async def fetch_snapshot(self) -> tuple[int, bytes] | None:
        """Fetch a snapshot of the peer's state, or None if it has none.

        Returns
        -------
        tuple of (int, bytes) or None
            Offset of the last entry in the state, and the compressed state.

        Raises
        ------
        errors.PeerUnavailableError
            The peer did not send the whole snapshot in time, or its digest differs.
        """
        parts: list[bytes] = []
        offset = -1
        is_complete = False
        try:
            with self.acquire_channel() as (channel, stub):
                try:
                    async with (
                        asyncio.timeout(_SNAPSHOT_TIMEOUT_S),
                        stub.FetchSnapshot.open(timeout=_SNAPSHOT_TIMEOUT_S) as stream,
                    ):
                        await stream.send_message(
                            peer_pb2.FetchSnapshotRequest(), end=True
                        )
                        limit_message_size(stream, self.max_message_bytes)
                        async for part in stream:
                            offset = part.as_of_offset
                            parts.append(part.data)
                            is_complete = bool(part.digest)
                            if is_complete:
                                check_digest(parts, part.digest)
                except TimeoutError:
                    self.reset_connection_if_current(channel)
                    raise
        except _CALL_ERRORS as error:
            raise errors.PeerUnavailableError(describe_error(error)) from error
        if not parts:
            return None
        if not is_complete:
            raise errors.PeerUnavailableError("the snapshot ended before its last part")
        return offset, b"".join(parts)


def check_digest(parts: Sequence[bytes], digest: str) -> None:
    """Raise PeerUnavailableError unless the parts have the digest."""
    actual = hashlib.sha256(b"".join(parts)).hexdigest()
    if actual != digest:
        raise errors.PeerUnavailableError(
            "the snapshot does not match its SHA-256 digest"
        )


# Errors that a call may raise when the peer or the connection fails. TimeoutError and
# the errors of ssl are OSErrors.
_CALL_ERRORS = (
    OSError,
    grpclib.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
    h2.exceptions.H2Error,
    NotSentError,
    AttributeError,  # raised by grpclib when a connection closes during a call
)


def describe_error(error: BaseException) -> str:
    """Return an error as one line of at most 200 characters."""
    text = str(error) or type(error).__name__
    return text.splitlines()[0][:200]


class RemoteOwner:
    """Forwards requests to the node that owns their queue.

    Implements `requests.model.RequestHandler`.

    Parameters
    ----------
    client : PeerClient
        Calls to the owner.
    ingress : str
        Name of this node.
    """

    _client: PeerClient
    _ingress: str

    def __init__(self, client: PeerClient, ingress: str) -> None:
        self._client = client
        self._ingress = ingress

    async def handle(
        self, request: model.Request, on_started: Callable[[], None]
    ) -> model.Outcome:
        """Return the owner's outcome.

        If the owner is unavailable, the outcome is not-run where the request certainly
        did not reach its handler, and unknown otherwise.
        """
        message = _encode_request(request, self._ingress)
        if message.ByteSize() > self._client.max_message_bytes:
            return model.Outcome(
                model.OutcomeKind.NOT_RUN,
                codes.ResultCode.REQUEST_TOO_LARGE,
                f"the request exceeds {self._client.max_message_bytes} bytes "
                "between nodes",
            )
        try:
            with self._client.acquire_channel() as (channel, stub):
                try:
                    return await self._dispatch(stub, message, request, on_started)
                except TimeoutError:
                    self._client.reset_connection_if_current(channel)
                    raise
        except NotSentError as error:
            return model.Outcome(
                model.OutcomeKind.NOT_RUN,
                codes.ResultCode.OWNER_UNREACHABLE,
                f"owner at {self._client.endpoint}: {describe_error(error)}",
            )
        except _CALL_ERRORS as error:
            if _is_refused_before_handling(error):
                return model.Outcome(
                    model.OutcomeKind.NOT_RUN,
                    codes.ResultCode.OWNER_UNREACHABLE,
                    f"owner at {self._client.endpoint}: {describe_error(error)}",
                )
            return self._owner_lost_outcome(error)
        except Exception as error:
            # For example a message that cannot be parsed. The request may have run.
            _log.exception("request {} at its owner failed", request.request_id)
            return self._owner_lost_outcome(error)

    def _owner_lost_outcome(self, error: Exception) -> model.Outcome:
        return model.Outcome(
            model.OutcomeKind.UNKNOWN,
            codes.ResultCode.OWNER_LOST,
            f"owner at {self._client.endpoint}: {describe_error(error)}",
        )

    async def _dispatch(
        self,
        stub: peer_grpc.PeerStub,
        message: peer_pb2.DispatchRequest,
        request: model.Request,
        on_started: Callable[[], None],
    ) -> model.Outcome:
        remaining_s = request.deadline - asyncio.get_running_loop().time()
        outcome: model.Outcome | None = None
        try:
            async with (
                asyncio.timeout(max(0.0, remaining_s) + OUTCOME_GRACE_S),
                stub.Dispatch.open() as stream,
            ):
                await self._send(stream, message)
                outcome = await self._receive(stream, on_started)
        except _CALL_ERRORS:
            # The end of the stream may be lost after the outcome has arrived.
            if outcome is None:
                raise
        if outcome is None:
            raise grpclib.exceptions.StreamTerminatedError("the owner sent no outcome")
        return outcome

    async def _send(self, stream: Any, message: peer_pb2.DispatchRequest) -> None:
        """Send the request.

        The owner cannot parse the request before the last byte of the message is
        written, so an error raised here proves that the request was not handled.
        """
        try:
            await _await_with_timeout(stream.send_request(), CONNECT_TIMEOUT_S)
            await stream.send_message(message, end=True)
        except _CALL_ERRORS as error:
            raise NotSentError(describe_error(error)) from error

    async def _receive(
        self, stream: Any, on_started: Callable[[], None]
    ) -> model.Outcome | None:
        limit_message_size(stream, self._client.max_message_bytes)
        await _await_with_timeout(stream.recv_initial_metadata(), ACCEPT_TIMEOUT_S)
        body = bytearray()
        async for event in stream:
            match event.WhichOneof("event"):
                case "started":
                    on_started()
                case "body_part":
                    body += event.body_part
                    if len(body) > MAX_ANSWER_BYTES:
                        raise grpclib.exceptions.StreamTerminatedError(
                            f"the answer exceeds {MAX_ANSWER_BYTES} bytes"
                        )
                case "outcome":
                    return _decode_outcome(event.outcome, bytes(body))
        return None


async def _await_with_timeout(step: Awaitable[None], timeout_s: float) -> None:
    async with asyncio.timeout(timeout_s):
        await step


def _is_refused_before_handling(error: BaseException) -> bool:
    """Whether the owner's server refused the call without calling the handler.

    The server uses these two statuses only for an unknown method and for a message
    that it did not read.
    """
    return isinstance(error, grpclib.GRPCError) and error.status in (
        grpclib.Status.UNIMPLEMENTED,
        grpclib.Status.RESOURCE_EXHAUSTED,
    )


def _encode_request(request: model.Request, ingress: str) -> peer_pb2.DispatchRequest:
    remaining_s = request.deadline - asyncio.get_running_loop().time()
    return peer_pb2.DispatchRequest(
        request_id=request.request_id,
        service=request.service,
        kind=request.kind,
        body=request.body,
        content_type=request.content_type,
        remaining_ms=max(0, int(remaining_s * 1000)),
        team=request.team or "",
        is_urgent=request.is_urgent,
        declared_run_ms=request.declared_run_ms or 0,
        traceparent=request.traceparent or "",
        ingress=ingress,
    )


def _decode_outcome(message: peer_pb2.OutcomeMessage, body: bytes) -> model.Outcome:
    try:
        kind = model.OutcomeKind(message.kind)
        code = codes.ResultCode(message.code)
    except ValueError:
        # A newer version sent a kind or code that this version does not know.
        kind, code = model.OutcomeKind.UNKNOWN, codes.ResultCode.OUTCOME_UNKNOWN
    return model.Outcome(
        kind,
        code,
        reason=message.reason,
        status=message.status,
        body=body,
        content_type=message.content_type,
        host_id=message.host_id or None,
        attempts=message.attempts,
        waited_s=message.waited_s,
    )
