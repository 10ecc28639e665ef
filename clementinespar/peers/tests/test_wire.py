"""Tests of the peer protocol over loopback sockets."""

import asyncio
import contextlib
import dataclasses
import pathlib
import ssl
from collections.abc import AsyncIterator, Callable

import pytest

from clementinespar import codes, errors, options
from clementinespar.log import service as log_service
from clementinespar.peers import client, membership, peer_pb2, server
from clementinespar.requests import model
from standins import stream_server

_SETTINGS = options.PeersSettings(address="127.0.0.1", port=0)


class FakeOwner:
    """A dispatcher that waits until the test sets the event of each step."""

    before_start: asyncio.Event
    before_end: asyncio.Event
    arrived: asyncio.Event
    was_cancelled: asyncio.Event
    body: bytes
    arrivals: int

    def __init__(self) -> None:
        self.before_start = asyncio.Event()
        self.before_end = asyncio.Event()
        self.arrived = asyncio.Event()
        self.was_cancelled = asyncio.Event()
        self.body = b"answer"
        self.arrivals = 0

    async def handle(
        self, request: model.Request, on_started: Callable[[], None]
    ) -> model.Outcome:
        self.arrived.set()
        self.arrivals += 1
        try:
            await self.before_start.wait()
            on_started()
            await self.before_end.wait()
        except asyncio.CancelledError:
            self.was_cancelled.set()
            raise
        return model.Outcome(
            model.OutcomeKind.ANSWERED,
            codes.ResultCode.OK,
            body=self.body,
            host_id="host-1",
            attempts=1,
        )


class FakeEntries:
    """Source of ten entries and a snapshot that is sent in several parts."""

    state = bytes(range(256)) * 1024

    def recent_entries(
        self, from_offset: int, limit: int
    ) -> list[log_service.LogEntry]:
        entries = [log_service.LogEntry(i, i * 10, b"x") for i in range(10)]
        return entries[from_offset:][:limit]

    def snapshot(self) -> tuple[int, bytes]:
        return 9, self.state


@dataclasses.dataclass
class Connection:
    """A node that serves the peer protocol, and a client of it."""

    owner: FakeOwner
    client: client.PeerClient
    stop: Callable[[], None]  # ends the server and its connections


@contextlib.asynccontextmanager
async def connected(
    settings: options.PeersSettings = _SETTINGS,
    client_settings: options.PeersSettings = _SETTINGS,
) -> AsyncIterator[Connection]:
    owner = FakeOwner()
    members = membership.Membership(
        options.NodeSettings(name="owner", data_centre="dc"),
        settings,
        lambda address: client.PeerClient(address, settings),
        membership.Report,
    )
    service = server.PeerService(
        members, FakeEntries(), owner, settings.max_message_bytes
    )
    listener = server.bind("127.0.0.1", 0)
    endpoint = f"127.0.0.1:{listener.getsockname()[1]}"
    async with contextlib.AsyncExitStack() as stack:
        grpc_server = await stack.enter_async_context(
            server.serving(service, settings, listener)
        )
        await stack.enter_async_context(members.running(endpoint))
        peer_client = client.PeerClient(
            endpoint,
            client_settings,
            server.make_ssl_context(client_settings, ssl.Purpose.SERVER_AUTH),
        )
        stack.push_async_callback(peer_client.wait_closed)
        stack.callback(peer_client.close)
        yield Connection(owner, peer_client, grpc_server.close)


def _request(body: bytes = b"{}", timeout_s: float = 30.0) -> model.Request:
    deadline = asyncio.get_running_loop().time() + timeout_s
    return model.Request("1-a", "orders", "cut", body, "text/plain", deadline)


async def _handle(
    peer_client: client.PeerClient, request: model.Request, started: asyncio.Event
) -> model.Outcome:
    owner = client.RemoteOwner(peer_client, "ingress")
    return await owner.handle(request, started.set)


def test_answer_larger_than_a_message_is_received_completely() -> None:
    """Guards against answers that are limited to the size of one message."""

    async def main() -> None:
        async with connected() as connection:
            started = asyncio.Event()
            connection.owner.body = bytes(range(256)) * 4096 * 6
            connection.owner.before_start.set()
            connection.owner.before_end.set()
            outcome = await _handle(connection.client, _request(), started)
            assert outcome.kind is model.OutcomeKind.ANSWERED
            assert outcome.body == connection.owner.body
            assert outcome.host_id == "host-1"
            assert started.is_set()

    asyncio.run(main())


def test_more_requests_than_the_default_http2_streams_wait_at_the_owner() -> None:
    """Guards against senders that treat a busy owner as lost.

    They would wait for a stream and then try another node.
    """

    async def main() -> None:
        async with connected() as connection:
            tasks = [
                asyncio.create_task(
                    _handle(connection.client, _request(), asyncio.Event())
                )
                for _ in range(300)
            ]
            async with asyncio.timeout(30):
                while connection.owner.arrivals < len(tasks):
                    await asyncio.sleep(0.01)
                    early = [task.result() for task in tasks if task.done()]
                    assert not early, f"given up before all arrived: {early[0]}"
            connection.owner.before_start.set()
            connection.owner.before_end.set()
            outcomes = await asyncio.gather(*tasks)
            assert {o.kind for o in outcomes} == {model.OutcomeKind.ANSWERED}

    asyncio.run(main())


@pytest.mark.parametrize("is_started", [False, True])
def test_request_whose_owner_stops_has_unknown_outcome(is_started: bool) -> None:
    """Guards against a not-run outcome of a request that may have run.

    The event of its start may not have arrived.
    """

    async def main() -> None:
        async with connected() as connection:
            started = asyncio.Event()
            task = asyncio.create_task(_handle(connection.client, _request(), started))
            await connection.owner.arrived.wait()
            if is_started:
                connection.owner.before_start.set()
                await started.wait()
            connection.stop()
            outcome = await task
            assert outcome.kind is model.OutcomeKind.UNKNOWN
            assert outcome.code == codes.ResultCode.OWNER_LOST
            assert started.is_set() == is_started

    asyncio.run(main())


def test_request_to_an_unreachable_owner_was_not_run() -> None:
    """Guards against an unknown outcome for a request that was never sent."""

    async def main() -> None:
        listener = server.bind("127.0.0.1", 0)
        endpoint = f"127.0.0.1:{listener.getsockname()[1]}"
        listener.close()
        peer_client = client.PeerClient(endpoint, _SETTINGS)
        outcome = await _handle(peer_client, _request(), asyncio.Event())
        assert outcome.kind is model.OutcomeKind.NOT_RUN
        assert outcome.code == codes.ResultCode.OWNER_UNREACHABLE
        peer_client.close()

    asyncio.run(main())


def test_cancelled_request_is_cancelled_at_the_owner() -> None:
    """Guards against queued requests at the owner whose caller has left."""

    async def main() -> None:
        async with connected() as connection:
            task = asyncio.create_task(
                _handle(connection.client, _request(), asyncio.Event())
            )
            await connection.owner.arrived.wait()
            task.cancel()
            await connection.owner.was_cancelled.wait()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    asyncio.run(main())


def test_request_over_the_limit_is_refused_on_both_sides() -> None:
    """Guards against an unknown outcome for a request that was too large to run."""

    async def main() -> None:
        async with connected() as connection:
            body = bytes(_SETTINGS.max_message_bytes)
            outcome = await _handle(connection.client, _request(body), asyncio.Event())
            assert outcome.code == codes.ResultCode.REQUEST_TOO_LARGE
        small = options.PeersSettings(
            address="127.0.0.1", port=0, max_message_bytes=4096
        )
        async with connected(small) as connection:
            outcome = await _handle(
                connection.client, _request(bytes(9000)), asyncio.Event()
            )
            assert outcome.kind is model.OutcomeKind.NOT_RUN
            assert outcome.code == codes.ResultCode.OWNER_UNREACHABLE
            assert not connection.owner.arrived.is_set()

    asyncio.run(main())


def test_entries_and_snapshot_are_received_completely() -> None:
    """Guards against entries and parts of a snapshot that are not received."""

    async def main() -> None:
        async with connected() as connection:
            entries = await connection.client.fetch_entries(3, 4)
            assert [entry.offset for entry in entries] == [3, 4, 5, 6]
            assert await connection.client.fetch_snapshot() == (9, FakeEntries.state)

    asyncio.run(main())


@contextlib.asynccontextmanager
async def _unresponsive_listener() -> AsyncIterator[str]:
    """Accept connections and read from them without ever answering."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while await reader.read(65536):
                pass

    async with stream_server.serving(serve) as listener:
        yield f"127.0.0.1:{stream_server.port_of(listener)}"


def test_calls_on_an_unresponsive_connection_time_out() -> None:
    """Guards against calls that end only at their deadlines, or never."""

    async def main() -> None:
        async with _unresponsive_listener() as endpoint, asyncio.timeout(20):
            peer_client = client.PeerClient(endpoint, _SETTINGS)
            outcome = await _handle(
                peer_client, _request(timeout_s=3600), asyncio.Event()
            )
            assert outcome.kind is model.OutcomeKind.UNKNOWN
            assert outcome.code == codes.ResultCode.OWNER_LOST
            with pytest.raises(errors.PeerUnavailableError):
                await peer_client.fetch_entries(0, 1)
            peer_client.close()

    asyncio.run(main())


def test_new_connection_is_used_after_a_heartbeat_timeout() -> None:
    """Guards against heartbeats that stay on an unresponsive connection."""

    async def main() -> None:
        async with connected() as connection, _unresponsive_listener() as endpoint:
            owner_endpoint = connection.client.endpoint
            connection.client.endpoint = endpoint
            with pytest.raises(errors.PeerUnavailableError):
                await connection.client.heartbeat(_heartbeat(), 0.05)
            connection.client.reset_connection()
            connection.client.endpoint = owner_endpoint
            reply = await connection.client.heartbeat(_heartbeat(), 5.0)
            assert reply.sender.name == "owner"

    asyncio.run(main())


def test_closed_client_leaves_no_connection_to_a_node_that_does_not_read() -> None:
    """Guards against a stop that leaves connections whose bytes are never sent."""

    async def wait(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.Event().wait()

    async def main() -> None:
        async with stream_server.serving(wait) as listener, asyncio.timeout(10):
            endpoint = f"127.0.0.1:{stream_server.port_of(listener)}"
            peer_client = client.PeerClient(endpoint, _SETTINGS)
            body = bytes(_SETTINGS.max_message_bytes // 2)
            task = asyncio.create_task(
                _handle(peer_client, _request(body), asyncio.Event())
            )
            await asyncio.sleep(0.1)
            (transport,) = peer_client._connections._lost_by_transport
            peer_client.close()
            async with asyncio.timeout(client.CLOSE_TIMEOUT_S + 1):
                await peer_client.wait_closed()
            assert transport.get_extra_info("socket").fileno() == -1
            assert (await task).kind is not model.OutcomeKind.ANSWERED

    asyncio.run(main())


def test_connection_reset_does_not_interrupt_in_flight_requests() -> None:
    """Guards against a heartbeat timeout that makes outcomes of requests unknown."""

    async def main() -> None:
        async with connected() as connection:
            task = asyncio.create_task(
                _handle(connection.client, _request(), asyncio.Event())
            )
            await connection.owner.arrived.wait()
            connection.client.reset_connection()
            assert (
                await connection.client.heartbeat(_heartbeat(), 5.0)
            ).sender.name == "owner"
            connection.owner.before_start.set()
            connection.owner.before_end.set()
            assert (await task).kind is model.OutcomeKind.ANSWERED

    asyncio.run(main())


def _heartbeat() -> peer_pb2.HeartbeatMessage:
    return peer_pb2.HeartbeatMessage(
        sender=peer_pb2.Member(name="ingress", endpoint="127.0.0.1:1", incarnation=1)
    )


def _tls(owner: str, authority: str) -> options.PeersSettings:
    keys = pathlib.Path(__file__).parent / "keys"
    return options.PeersSettings(
        address="127.0.0.1",
        port=0,
        tls_certificate=keys / f"{owner}.pem",
        tls_key=keys / f"{owner}-key.pem",
        tls_authority=keys / f"{authority}-authority.pem",
    )


@pytest.mark.parametrize(
    ("server_settings", "client_settings", "is_accepted"),
    [
        (_tls("fleet", "fleet"), _tls("fleet", "fleet"), True),
        (_tls("fleet", "fleet"), _tls("stranger", "fleet"), False),
        (_tls("stranger", "fleet"), _tls("fleet", "fleet"), False),
        (_tls("fleet", "fleet"), _SETTINGS, False),
        (_SETTINGS, _tls("fleet", "fleet"), False),
    ],
    ids=["same authority", "foreign client", "foreign server", "no key", "no TLS"],
)
def test_only_keys_of_the_authority_are_accepted(
    server_settings: options.PeersSettings,
    client_settings: options.PeersSettings,
    is_accepted: bool,
) -> None:
    """Guards against a process on the network that connects without a certificate."""

    async def main() -> None:
        async with connected(server_settings, client_settings) as connection:
            connection.owner.before_start.set()
            connection.owner.before_end.set()
            outcome = await _handle(connection.client, _request(), asyncio.Event())
            assert connection.owner.arrived.is_set() == is_accepted
            if is_accepted:
                assert outcome.kind is model.OutcomeKind.ANSWERED
                reply = await connection.client.heartbeat(_heartbeat(), 5.0)
                assert reply.sender.name == "owner"
                return
            assert outcome.kind is not model.OutcomeKind.ANSWERED
            with pytest.raises(errors.PeerUnavailableError):
                await connection.client.heartbeat(_heartbeat(), 5.0)

    asyncio.run(main())
