"""Server side of the peer protocol."""

import asyncio
import contextlib
import hashlib
import socket
import ssl
import weakref
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any, Protocol

import grpclib
import grpclib.protocol
import grpclib.server
import h2.settings

from clementinespar import codes, options
from clementinespar.log import service as log_service
from clementinespar.peers import client, membership, peer_grpc, peer_pb2
from clementinespar.requests import model
from clementinespar.telemetry import metrics, traces

# Size of one part of a snapshot or an answer, small enough not to delay other calls on
# the same connection.
PART_BYTES = 64 * 1024
MAX_FETCHED_ENTRIES = 1_000  # entries of one FetchEntries call
# Each request that waits in a queue occupies a stream, and a queue can have thousands
# of requests. With the default of 100, senders would wait for a stream and treat the
# owner as lost.
MAX_CONCURRENT_STREAMS = 100_000
_MAX_STREAMS_SETTING = h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS


class EntrySource(Protocol):
    """State that this node sends to others; `log.follower.Follower` in a node."""

    def recent_entries(
        self, from_offset: int, limit: int
    ) -> Sequence[log_service.LogEntry]:
        """Return entries still in memory, in order, starting at an offset."""
        ...

    def snapshot(self) -> tuple[int, bytes]:
        """Return the offset of the last applied entry and the compressed state."""
        ...


class PeerService(peer_grpc.PeerBase):
    """Handlers of the peer protocol.

    Parameters
    ----------
    members : membership.Membership
        Processes heartbeats.
    entries : EntrySource
        Provides entries and snapshots.
    owner : model.RequestHandler
        This node's own dispatcher.
    max_message_bytes : int
        Size of the largest message that is accepted.
    has_targets : callable
        Whether the dispatcher has the folded state and the targets. Until then,
        requests of other nodes are refused.
    """

    _members: membership.Membership
    _entries: EntrySource
    _owner: model.RequestHandler
    _max_message_bytes: int
    _has_targets: Callable[[], bool]
    _request_ids: dict[object, str]  # request ids of in-flight Dispatch calls by stream
    _idle: asyncio.Event  # set while no Dispatch call is in flight

    def __init__(
        self,
        members: membership.Membership,
        entries: EntrySource,
        owner: model.RequestHandler,
        max_message_bytes: int,
        has_targets: Callable[[], bool] = lambda: True,
    ) -> None:
        self._members = members
        self._entries = entries
        self._owner = owner
        self._max_message_bytes = max_message_bytes
        self._has_targets = has_targets
        self._request_ids = {}
        self._idle = asyncio.Event()
        self._idle.set()

    async def wait_idle(self, timeout_s: float) -> list[str]:
        """Wait for forwarded requests to end; return the ids of those still running."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._idle.wait(), timeout_s)
        return sorted(self._request_ids.values())

    async def _receive(self, stream: Any) -> Any:
        client.limit_message_size(stream, self._max_message_bytes, _make_size_error)
        message = await stream.recv_message()
        if message is None:
            raise grpclib.GRPCError(
                grpclib.Status.INVALID_ARGUMENT, "the call has no request message"
            )
        return message

    async def Heartbeat(
        self,
        stream: grpclib.server.Stream[
            peer_pb2.HeartbeatMessage, peer_pb2.HeartbeatMessage
        ],
    ) -> None:
        """Reply to each heartbeat."""
        client.limit_message_size(stream, self._max_message_bytes, _make_size_error)
        async for message in stream:
            await stream.send_message(self._members.on_heartbeat(message))

    async def FetchEntries(
        self,
        stream: grpclib.server.Stream[
            peer_pb2.FetchEntriesRequest, peer_pb2.EntryMessage
        ],
    ) -> None:
        """Send entries that are still in memory."""
        message = await self._receive(stream)
        limit = min(message.limit, MAX_FETCHED_ENTRIES)
        for entry in self._entries.recent_entries(message.from_offset, limit):
            await stream.send_message(
                peer_pb2.EntryMessage(
                    offset=entry.offset,
                    timestamp_ms=entry.timestamp_ms,
                    payload=entry.payload,
                )
            )

    async def FetchSnapshot(
        self,
        stream: grpclib.server.Stream[
            peer_pb2.FetchSnapshotRequest, peer_pb2.SnapshotPart
        ],
    ) -> None:
        """Send a snapshot of the folded state, or nothing before the first entry."""
        await self._receive(stream)
        offset, data = self._entries.snapshot()
        if offset < 0:
            return
        digest = hashlib.sha256(data).hexdigest()
        for start in range(0, max(1, len(data)), PART_BYTES):
            is_last = start + PART_BYTES >= len(data)
            await stream.send_message(
                peer_pb2.SnapshotPart(
                    as_of_offset=offset,
                    data=data[start : start + PART_BYTES],
                    digest=digest if is_last else "",
                )
            )

    async def Dispatch(
        self,
        stream: grpclib.server.Stream[peer_pb2.DispatchRequest, peer_pb2.DispatchEvent],
    ) -> None:
        """Handle a request forwarded by another node and send its outcome."""
        message = await self._receive(stream)
        # The headers are sent first to show the sender that the connection works.
        await stream.send_initial_metadata()
        self._request_ids[stream] = message.request_id
        self._idle.clear()
        try:
            with traces.hop_span(
                "forwarded request",
                message.traceparent,
                request_id=message.request_id,
                ingress=message.ingress,
            ) as span:
                request = _decode_request(message, span.traceparent)
                outcome = await self._handle(stream, request)
                span.set("outcome", outcome.kind.value)
            metrics.FORWARDED_REQUESTS.labels(request.service, outcome.kind.value).inc()
        finally:
            del self._request_ids[stream]
            if not self._request_ids:
                self._idle.set()

    async def _handle(self, stream: Any, request: model.Request) -> model.Outcome:
        """Handle a request, and send its events and outcome to the sender."""
        if not self._has_targets():
            outcome = model.Outcome(
                model.OutcomeKind.NOT_RUN,
                codes.ResultCode.NOT_READY,
                "the owner node does not have the list of targets yet",
            )
            await stream.send_message(
                peer_pb2.DispatchEvent(outcome=_encode_outcome(outcome))
            )
            return outcome
        started = asyncio.Event()
        handling = asyncio.create_task(self._owner.handle(request, started.set))
        sending_started = asyncio.create_task(_send_started(stream, started))
        try:
            outcome = await handling
            if started.is_set():
                await sending_started
            for start in range(0, len(outcome.body), PART_BYTES):
                await stream.send_message(
                    peer_pb2.DispatchEvent(
                        body_part=outcome.body[start : start + PART_BYTES]
                    )
                )
            await stream.send_message(
                peer_pb2.DispatchEvent(outcome=_encode_outcome(outcome))
            )
            return outcome
        finally:
            for task in (handling, sending_started):
                task.cancel()
            await asyncio.gather(handling, sending_started, return_exceptions=True)


async def _send_started(stream: Any, started: asyncio.Event) -> None:
    await started.wait()
    await stream.send_message(peer_pb2.DispatchEvent(started=peer_pb2.Started()))


def _make_size_error(text: str) -> Exception:
    return grpclib.GRPCError(grpclib.Status.RESOURCE_EXHAUSTED, text)


def _decode_request(
    message: peer_pb2.DispatchRequest, traceparent: str | None
) -> model.Request:
    return model.Request(
        request_id=message.request_id,
        service=message.service,
        kind=message.kind,
        body=message.body,
        content_type=message.content_type,
        deadline=asyncio.get_running_loop().time() + message.remaining_ms / 1000,
        team=message.team or None,
        is_urgent=message.is_urgent,
        declared_run_ms=message.declared_run_ms or None,
        traceparent=traceparent,
    )


def _encode_outcome(outcome: model.Outcome) -> peer_pb2.OutcomeMessage:
    return peer_pb2.OutcomeMessage(
        kind=outcome.kind.value,
        code=int(outcome.code),
        reason=outcome.reason,
        status=outcome.status,
        content_type=outcome.content_type,
        host_id=outcome.host_id or "",
        attempts=outcome.attempts,
        waited_s=outcome.waited_s,
    )


def make_ssl_context(
    settings: options.PeersSettings, purpose: ssl.Purpose
) -> ssl.SSLContext | None:
    """Return the context of one side, or None for plain TCP.

    Both sides must present a certificate signed by ``tls_authority``, which signs only
    certificates of entry nodes. Host names are not checked, since a node may be
    replaced at any address; heartbeats identify the node.
    """
    if settings.tls_certificate is None or settings.tls_key is None:
        return None
    protocol = (
        ssl.PROTOCOL_TLS_SERVER
        if purpose is ssl.Purpose.CLIENT_AUTH
        else ssl.PROTOCOL_TLS_CLIENT
    )
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    context.load_verify_locations(settings.tls_authority)
    context.set_alpn_protocols(["h2"])
    return context


class Server(grpclib.server.Server):
    """Server that ends unresponsive connections, and all connections on close."""

    _protocols: "weakref.WeakSet[grpclib.protocol.H2Protocol]"
    _connections: client.OpenConnections

    def __init__(self, service: PeerService, max_message_bytes: int) -> None:
        super().__init__([service], config=client.make_configuration(max_message_bytes))
        self._protocols = weakref.WeakSet()
        self._connections = client.OpenConnections()

    def _protocol_factory(self) -> grpclib.protocol.H2Protocol:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        connection_made = protocol.connection_made

        def configured_connection_made(transport: asyncio.BaseTransport) -> None:
            client.set_tcp_user_timeout(transport)
            connection_made(transport)
            http2 = protocol.connection._connection
            http2.update_settings({_MAX_STREAMS_SETTING: MAX_CONCURRENT_STREAMS})
            protocol.connection.flush()

        protocol.connection_made = configured_connection_made  # type: ignore[method-assign]
        self._connections.watch(protocol)
        return protocol

    def close(self) -> None:
        """Stop serving and close all connections.

        grpclib cancels the calls but leaves their connections open, so the other side
        would wait until the deadlines of its calls.
        """
        super().close()
        for protocol in list(self._protocols):
            if hasattr(protocol, "processor"):
                protocol.processor.close("the node stops")

    async def wait_closed(self) -> None:
        """Wait until all calls have ended and all connections are closed."""
        await super().wait_closed()
        await self._connections.wait_closed()


@contextlib.asynccontextmanager
async def serving(
    service: PeerService, settings: options.PeersSettings, listener: socket.socket
) -> AsyncIterator[Server]:
    """Serve the peer protocol on a bound socket while the context is entered."""
    server = Server(service, settings.max_message_bytes)
    await server.start(
        sock=listener, ssl=make_ssl_context(settings, ssl.Purpose.CLIENT_AUTH)
    )
    try:
        yield server
    finally:
        server.close()
        await server.wait_closed()


def bind(address: str, port: int) -> socket.socket:
    """Return a TCP socket bound to an IP address; port 0 selects a free port."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address, port))
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
