"""Callers of all services, and a record of what became of each of their requests."""

import asyncio
import dataclasses
import enum
import json
import math
import random

import pycurl
from tornado import curl_httpclient, httpclient

from clementinespar import identifiers
from clementinespar.documents import model
from demo import deployment

_CALLERS_PER_SERVICE = 3
_CALLERS_AT_PEAK = 45  # together they ask for more slots than a pool of the demo has
_PAUSE_S = 0.08  # mean pause of a caller between two requests
_MAX_RUN_MS = 600  # long work is cut to this, so that the demo stays short
_DEADLINE_MS = 5_000
# An outcome that comes later than this after the deadline counts as lost.
_GRACE_S = 3.0
_NO_NODE_PAUSE_S = 0.05
# Callers must never wait for one another, or a slow request would hide the others.
_MAX_CLIENTS = 1_000
_ERRORS_BEFORE_SENDING = frozenset({pycurl.E_COULDNT_CONNECT})


class Result(enum.Enum):
    """What a caller knows of its request."""

    PENDING = "pending"
    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    CUT = "cut"  # the connection broke before the outcome
    LOST = "lost"  # neither outcome nor end of the connection in time


@dataclasses.dataclass(slots=True)
class Asked:
    """One request of a caller."""

    request_id: str
    service: str
    kind: str
    is_repeatable: bool
    node: deployment.Node
    sent_at: float  # event-loop time
    result: Result = Result.PENDING
    result_code: str = ""  # X-Result-Code of the reply
    is_wrong_answer: bool = False  # the answer belongs to another request
    detail: str = ""  # error or body of an odd reply


class Load:
    """Sends requests to ready nodes until it is stopped."""

    asked: list[Asked]
    _deployment: deployment.Deployment
    _client: curl_httpclient.CurlAsyncHTTPClient
    _random: random.Random
    _is_stopping: bool

    def __init__(self, deployed: deployment.Deployment, seed: int) -> None:
        self.asked = []
        self._deployment = deployed
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=_MAX_CLIENTS
        )
        self._random = random.Random(seed)
        self._is_stopping = False

    async def run(self, document: model.Document) -> None:
        """Run the callers of all services until `stop`; all outcomes are then known."""
        async with asyncio.TaskGroup() as callers:
            for name, service in document.services.items():
                for _ in range(_CALLERS_PER_SERVICE):
                    callers.create_task(self._call_until(name, service, math.inf))
        # Not closed after a cancellation, as in `clementinespar.commands.client`.
        self._client.close()

    def stop(self) -> None:
        """Send no further requests."""
        self._is_stopping = True

    async def peak(self, document: model.Document, seconds: float) -> None:
        """Let each service in turn be asked for more than its pool holds."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as callers:
            for name, service in document.services.items():
                until = loop.time() + seconds
                for _ in range(_CALLERS_AT_PEAK):
                    callers.create_task(self._call_until(name, service, until))
                await asyncio.sleep(seconds)

    async def _call_until(
        self, name: str, service: model.Service, until: float
    ) -> None:
        loop = asyncio.get_running_loop()
        while not self._is_stopping and loop.time() < until:
            await asyncio.sleep(self._random.uniform(0, 2 * _PAUSE_S))
            ready = [node for node in self._deployment.nodes if node.is_ready]
            if not ready:
                await asyncio.sleep(_NO_NODE_PAUSE_S)
                continue
            kind_name = self._random.choice(sorted(service.kinds))
            kind = service.kinds[kind_name]
            asked = Asked(
                identifiers.new_id(),
                name,
                kind_name,
                kind.repeatable,
                self._random.choice(ready),
                asyncio.get_running_loop().time(),
            )
            self.asked.append(asked)
            if not await self._send(asked, min(kind.declared_run_ms, _MAX_RUN_MS)):
                self.asked.remove(asked)

    async def _send(self, asked: Asked, run_ms: int) -> bool:
        """Send one request; False if no byte of it left, so that nothing was asked."""
        request = httpclient.HTTPRequest(
            f"{asked.node.url}/v1/{asked.service}/{asked.kind}",
            method="POST",
            headers={
                "Content-Type": "application/json",
                "X-Request-Id": asked.request_id,
                "X-Deadline-Ms": str(_DEADLINE_MS),
            },
            body=json.dumps({"run_ms": run_ms}),
            connect_timeout=2.0,
            request_timeout=_DEADLINE_MS / 1000 + _GRACE_S,
            follow_redirects=False,
            prepare_curl_callback=_use_new_connection,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except curl_httpclient.CurlError as error:
            asked.detail = error.message or ""
            if error.errno in _ERRORS_BEFORE_SENDING:
                return False
            is_late = error.errno == pycurl.E_OPERATION_TIMEDOUT
            asked.result = Result.LOST if is_late else Result.CUT
            return True
        _classify(asked, response)
        return True


def _use_new_connection(curl: pycurl.Curl) -> None:
    """Keep libcurl from sending a POST again when a reused connection breaks."""
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _classify(asked: Asked, response: httpclient.HTTPResponse) -> None:
    asked.result_code = response.headers.get("X-Result-Code", "")
    match response.headers.get("X-Outcome"):
        case "answered":
            asked.result = Result.ANSWERED
            is_own_header = response.headers.get("X-Request-Id") == asked.request_id
            try:
                values = json.loads(response.body)
                is_own_body = values.get("request_id") == asked.request_id
            except (ValueError, AttributeError):
                is_own_body = False
            asked.is_wrong_answer = not (is_own_header and is_own_body)
        case "not-run":
            asked.result = Result.REFUSED
        case "unknown":
            asked.result = Result.UNKNOWN
        case _:
            asked.result = Result.LOST
            asked.detail = f"status {response.code}: {response.body[:200]!r}"
