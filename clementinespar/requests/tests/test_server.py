"""Tests of the whole path over real sockets."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

from tornado import httpclient

from clementinespar import identifiers, options
from clementinespar.requests import dispatcher, model, router, server, transport
from clementinespar.requests.tests import helpers
from standins import target as target_standin


class _LocalOwner:
    """`OwnerDirectory` in which this node owns everything."""

    def __init__(self, handler: model.RequestHandler) -> None:
        self.handler = handler

    def candidates(self, service: str) -> list[model.OwnerCandidate]:
        return [model.OwnerCandidate("n1", self.handler, True)]


class _Node:
    """One entry node with one target."""

    def __init__(self) -> None:
        self.target = target_standin.TargetState("h0")
        self.source = helpers.FakeSource(helpers.make_document(1))
        self.directory = helpers.FakeTargetDirectory(["h0"])
        self.claims = helpers.FakeClaimService()

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
            async with server.make_server(ingress, self.source, settings) as callers:
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
    """Guards against errors without JSON, code or outcome."""
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
                told = json.loads(response.body)
                assert response.code == status, (path, headers, told)
                assert response.headers["X-Outcome"] == outcome
                assert response.headers["X-Result-Code"] == str(code)
                assert "X-Request-Id" in response.headers
                if status == 200:
                    assert told["request_id"] == response.headers["X-Request-Id"]
                else:
                    assert told["code"] == code
                    assert told["message"]

    asyncio.run(main())


def test_repeated_order_runs_once() -> None:
    """Guards against a second run of a request that may not be repeated."""

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
