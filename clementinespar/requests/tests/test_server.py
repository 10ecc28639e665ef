"""Tests of the request path from the HTTP server to a target over real sockets."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest
from tornado import httpclient, iostream, tcpclient

from clementinespar import codes, identifiers, options
from clementinespar.requests import dispatcher, model, router, server, transport
from clementinespar.requests.tests import helpers
from standins import target as target_standin


class _LocalOwner:
    """`OwnerDirectory` in which this node owns every service."""

    def __init__(self, handler: model.RequestHandler) -> None:
        self.handler = handler

    def candidates(self, service: str) -> list[model.OwnerCandidate]:
        return [model.OwnerCandidate("n1", self.handler, True)]


class _Node:
    """One entry node with one target."""

    def __init__(self, slots: int = 8, has_document: bool = True) -> None:
        self.target = target_standin.TargetState("h0", slots)
        self.source = helpers.FakeSource(
            helpers.make_document(1) if has_document else None
        )
        self.directory = helpers.FakeTargetDirectory(["h0"])
        self.claims = helpers.FakeClaimService(self.source)

    @contextlib.asynccontextmanager
    async def serve(self, **limits: Any) -> AsyncIterator[server.CallersServer]:
        settings = options.CallersSettings("127.0.0.1", 0, **limits)
        async with (
            target_standin.serve(self.target) as target_port,
            transport.open_transport() as curl,
        ):
            targets = [model.Target("h0", "127.0.0.1", target_port, "d1", "r1")]
            self.directory.targets_of = (  # type: ignore[method-assign]
                lambda service: targets
            )
            self.dispatcher = dispatcher.Dispatcher(
                self.source, self.directory, curl, self.claims
            )
            ingress = router.Router(_LocalOwner(self.dispatcher), self.source)
            async with (
                self.dispatcher.running(),
                server.make_server(ingress, self.source, settings) as callers,
            ):
                self.port = callers.port
                yield callers

    async def post(
        self, path: str, headers: dict[str, str] | None = None, body: bytes = b"{}"
    ) -> httpclient.HTTPResponse:
        return await httpclient.AsyncHTTPClient().fetch(
            f"http://127.0.0.1:{self.port}{path}",
            method="POST",
            body=body,
            headers=headers,
            raise_error=False,
        )


def test_answers_and_refusals_state_their_outcome() -> None:
    """Guards against errors without a JSON body, result code or outcome."""
    cases = [
        ("/v1/scale/plan", {}, 200, "answered", 0),
        ("/v1/scale/order", {}, 200, "answered", 0),
        ("/v1/none/plan", {}, 404, "not-run", 300),
        ("/v1/scale/none", {}, 400, "not-run", 301),
        ("/other", {}, 404, "not-run", 300),
        ("/v1/scale/plan", {"X-Deadline-Ms": "soon"}, 400, "not-run", 301),
        ("/v1/scale/plan", {"X-Deadline-Ms": "0"}, 400, "not-run", 301),
        ("/v1/scale/plan", {"X-Deadline-Ms": "99999999"}, 400, "not-run", 301),
        ("/v1/scale/plan", {"X-Priority": "high"}, 400, "not-run", 301),
        ("/v1/scale/plan", {"X-Request-Id": "a b"}, 400, "not-run", 301),
    ]

    async def main() -> None:
        node = _Node()
        async with node.serve():
            for path, headers, status, outcome, code in cases:
                response = await node.post(path, headers)
                body = json.loads(response.body)
                assert response.code == status, (path, headers, body)
                assert response.headers["X-Outcome"] == outcome
                assert response.headers["X-Result-Code"] == str(code)
                assert "X-Request-Id" in response.headers
                if status == 200:
                    assert body["request_id"] == response.headers["X-Request-Id"]
                else:
                    assert body["code"] == code
                    assert body["message"]

    asyncio.run(main())


def test_repeated_order_runs_once() -> None:
    """Guards against a second run of a request that is not repeatable."""

    async def main() -> None:
        node = _Node()
        async with node.serve():
            request_id = identifiers.new_id()
            first = await node.post("/v1/scale/order", {"X-Request-Id": request_id})
            second = await node.post("/v1/scale/order", {"X-Request-Id": request_id})
        assert first.headers["X-Outcome"] == "answered"
        assert second.headers["X-Outcome"] == "unknown"
        assert second.code == 504
        assert node.target.runs_by_request_id[request_id] == 1

    asyncio.run(main())


async def _read_status(stream: iostream.IOStream) -> tuple[int, bytes]:
    """Read an answer; return its status and body."""
    head = (await stream.read_until(b"\r\n\r\n")).decode().split("\r\n")
    lengths = [line[15:] for line in head if line.lower().startswith("content-length")]
    return int(head[0].split()[1]), await stream.read_bytes(int(lengths[0]))


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"Content-Length: 2000\r\n\r\n" + b"x" * 2000,
        b"Transfer-Encoding: chunked\r\n\r\n" + b"3e8\r\n" + b"x" * 1000 + b"\r\n3e8",
    ],
)
def test_large_body_is_refused_as_json(request_bytes: bytes) -> None:
    """Guards against unbounded memory, and refusals that only close the connection."""

    async def main() -> None:
        node = _Node()
        async with node.serve(max_body_bytes=1000):
            stream = await tcpclient.TCPClient().connect("127.0.0.1", node.port)
            head = b"POST /v1/scale/plan HTTP/1.1\r\nHost: x\r\n"
            await stream.write(head + request_bytes)
            if b"chunked" in request_bytes:
                await stream.write(b"\r\n" + b"x" * 1000 + b"\r\n0\r\n\r\n")
            status, body = await _read_status(stream)
            stream.close()
        assert status == 413
        assert json.loads(body)["code"] == codes.ResultCode.REQUEST_TOO_LARGE
        assert not node.target.runs_by_request_id

    asyncio.run(main())


def test_buffered_bodies_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against many callers whose bodies together exhaust the memory."""
    monkeypatch.setattr(server, "MAX_BUFFERED_BYTES", 1000)

    async def main() -> None:
        node = _Node()
        async with node.serve():
            body = b'{"run_ms": 300, "filler": "' + b"x" * 600 + b'"}'
            first = asyncio.create_task(node.post("/v1/scale/plan", body=body))
            while not node.target.busy_slots:
                await asyncio.sleep(0.005)
            refused = await node.post("/v1/scale/plan", body=body)
            assert refused.code == 429
            assert refused.headers["X-Outcome"] == "not-run"
            assert (await first).code == 200
            assert (await node.post("/v1/scale/plan", body=body)).code == 200

    asyncio.run(main())


def test_not_ready_and_stopping_refuse_as_not_run() -> None:
    """Guards against requests that a node accepts and cannot finish."""

    async def main() -> None:
        node = _Node(has_document=False)
        async with node.serve() as callers:
            not_ready = await node.post("/v1/scale/plan")
            callers.begin_drain()
            stopping = await node.post("/v1/scale/plan")
        for response, code in (
            (not_ready, codes.ResultCode.NOT_READY),
            (stopping, codes.ResultCode.NODE_STOPPING),
        ):
            assert response.code == 503
            assert response.headers["X-Outcome"] == "not-run"
            assert json.loads(response.body)["code"] == code

    asyncio.run(main())


def test_stop_lets_answers_in_flight_finish() -> None:
    """Guards against a planned stop that aborts a request."""

    async def main() -> None:
        node = _Node()
        async with node.serve():
            answer = asyncio.create_task(
                node.post("/v1/scale/plan", body=b'{"run_ms": 300}')
            )
            while not node.target.busy_slots:
                await asyncio.sleep(0.005)
        assert (await answer).code == 200

    asyncio.run(main())


def test_caller_that_disconnects_while_queued_is_dropped() -> None:
    """Guards against work for callers that have left."""

    async def main() -> None:
        node = _Node(slots=1)
        async with node.serve() as callers:
            running = asyncio.create_task(
                node.post("/v1/scale/plan", body=b'{"run_ms": 300}')
            )
            while not node.target.busy_slots:
                await asyncio.sleep(0.005)
            stream = await tcpclient.TCPClient().connect("127.0.0.1", node.port)
            await stream.write(
                b"POST /v1/scale/plan HTTP/1.1\r\nHost: x\r\nX-Request-Id: gone-1"
                b"\r\nContent-Length: 2\r\n\r\n{}"
            )
            while node.dispatcher.explain("scale")["queued_short"] == 0:
                await asyncio.sleep(0.005)
            stream.close()
            assert (await running).code == 200
            assert not await callers.wait_idle(5.0)
            assert not await node.dispatcher.wait_idle(5.0)
        assert "gone-1" not in node.target.runs_by_request_id

    asyncio.run(main())


def test_connections_over_the_limit_are_closed() -> None:
    """Guards against callers that exhaust the file descriptors."""

    async def main() -> None:
        node = _Node()
        async with node.serve(max_connections=1):
            head = b"POST /v1/scale/plan HTTP/1.1\r\nHost: x\r\n"
            first = await tcpclient.TCPClient().connect("127.0.0.1", node.port)
            await first.write(head)
            # A request that is not whole makes way.
            second = await tcpclient.TCPClient().connect("127.0.0.1", node.port)
            with pytest.raises(iostream.StreamClosedError):
                await first.read_bytes(1)
            await second.write(head + b'Content-Length: 15\r\n\r\n{"run_ms": 300}')
            while not node.target.busy_slots:
                await asyncio.sleep(0.005)
            # One that is whole does not.
            third = await tcpclient.TCPClient().connect("127.0.0.1", node.port)
            with pytest.raises(iostream.StreamClosedError):
                await third.read_bytes(1)
            assert (await _read_status(second))[0] == 200
            second.close()

    asyncio.run(main())


def test_stopped_bodies_do_not_keep_a_small_request_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a crowd of bodies that stop short and hold all the memory."""
    monkeypatch.setattr(server, "MAX_BUFFERED_BYTES", 1000)

    async def main() -> None:
        node = _Node()
        async with node.serve():
            stopped = await tcpclient.TCPClient().connect("127.0.0.1", node.port)
            head = b"POST /v1/scale/plan HTTP/1.1\r\nHost: x\r\n"
            await stopped.write(head + b"Content-Length: 991\r\n\r\n" + b"x" * 990)
            await asyncio.sleep(0.1)
            response = await node.post("/v1/scale/plan", body=b'{"run_ms": 30}')
            stopped.close()
        assert response.code == 200

    asyncio.run(main())
