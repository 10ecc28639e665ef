"""Load from callers of all services, and the result of each of their requests."""

import asyncio
import dataclasses
import enum
import json
import math
import random

import pycurl
from tornado import curl_httpclient, httpclient

from clementinespar import curl_clients, identifiers
from clementinespar.documents import model
from demo import deployment

_CALLERS_PER_SERVICE = 3
_CALLERS_AT_PEAK = 45  # need more slots than a pool of the demo has
_MEAN_PAUSE_S = 0.08  # pause of a caller between two requests
_MAX_RUN_MS = 600  # limits long work, so that the demo stays short
_DEADLINE_MS = 5_000
# A request without an outcome this long after its deadline counts as lost.
_OUTCOME_GRACE_S = 3.0
_NO_NODE_PAUSE_S = 0.05
# More than all callers together: with fewer, requests would queue in the HTTP client
# behind slow ones.
_MAX_CLIENTS = 1_000
_ERRORS_BEFORE_SENDING = frozenset({pycurl.E_COULDNT_CONNECT})


class Result(enum.Enum):
    """Result of a request as its caller sees it."""

    PENDING = "pending"
    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    DISCONNECTED = "disconnected"  # the connection broke before the outcome
    LOST = "lost"  # no outcome and no end of the connection in time


@dataclasses.dataclass(slots=True)
class SentRequest:
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
    detail: str = ""  # error, or status and body of a reply without an outcome


class LoadGenerator:
    """Sends requests to ready nodes until stopped."""

    requests: list[SentRequest]
    _deployment: deployment.Deployment
    _client: curl_httpclient.CurlAsyncHTTPClient
    _random: random.Random
    _is_stopping: bool

    def __init__(self, deployed: deployment.Deployment, seed: int) -> None:
        self.requests = []
        self._deployment = deployed
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=_MAX_CLIENTS
        )
        self._random = random.Random(seed)
        self._is_stopping = False

    async def run(self, document: model.Document) -> None:
        """Run callers of all services until `stop`; wait for their last outcomes."""
        try:
            async with asyncio.TaskGroup() as callers:
                for name, service in document.services.items():
                    for _ in range(_CALLERS_PER_SERVICE):
                        callers.create_task(self._run_caller(name, service, math.inf))
        finally:
            curl_clients.close_client(self._client)

    def stop(self) -> None:
        """Make the callers end after their current request."""
        self._is_stopping = True

    async def run_peaks(self, document: model.Document, seconds: float) -> None:
        """Overload the pool of each service, one service after the other."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as callers:
            for name, service in document.services.items():
                until = loop.time() + seconds
                for _ in range(_CALLERS_AT_PEAK):
                    callers.create_task(self._run_caller(name, service, until))
                await asyncio.sleep(seconds)

    async def _run_caller(
        self, name: str, service: model.Service, until: float
    ) -> None:
        loop = asyncio.get_running_loop()
        while not self._is_stopping and loop.time() < until:
            await asyncio.sleep(self._random.uniform(0, 2 * _MEAN_PAUSE_S))
            ready = [node for node in self._deployment.nodes if node.is_ready]
            if not ready:
                await asyncio.sleep(_NO_NODE_PAUSE_S)
                continue
            kind_name = self._random.choice(sorted(service.kinds))
            kind = service.kinds[kind_name]
            request = SentRequest(
                identifiers.new_id(),
                name,
                kind_name,
                kind.repeatable,
                self._random.choice(ready),
                asyncio.get_running_loop().time(),
            )
            self.requests.append(request)
            if not await self._send(request, min(kind.declared_run_ms, _MAX_RUN_MS)):
                self.requests.remove(request)

    async def _send(self, request: SentRequest, run_ms: int) -> bool:
        """Send one request; False if it was certainly not sent."""
        http_request = httpclient.HTTPRequest(
            f"{request.node.url}/v1/{request.service}/{request.kind}",
            method="POST",
            headers={
                "Content-Type": "application/json",
                "X-Request-Id": request.request_id,
                "X-Deadline-Ms": str(_DEADLINE_MS),
            },
            body=json.dumps({"run_ms": run_ms}),
            connect_timeout=2.0,
            request_timeout=_DEADLINE_MS / 1000 + _OUTCOME_GRACE_S,
            follow_redirects=False,
            prepare_curl_callback=_use_new_connection,
        )
        try:
            response = await self._client.fetch(http_request, raise_error=False)
        except curl_httpclient.CurlError as error:
            request.detail = error.message or ""
            if error.errno in _ERRORS_BEFORE_SENDING:
                return False
            is_timeout = error.errno == pycurl.E_OPERATION_TIMEDOUT
            request.result = Result.LOST if is_timeout else Result.DISCONNECTED
            return True
        _classify(request, response)
        return True


def _use_new_connection(curl: pycurl.Curl) -> None:
    """Prevent libcurl from resending a POST when a reused connection breaks."""
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _classify(request: SentRequest, response: httpclient.HTTPResponse) -> None:
    request.result_code = response.headers.get("X-Result-Code", "")
    match response.headers.get("X-Outcome"):
        case "answered":
            request.result = Result.ANSWERED
            is_own_header = response.headers.get("X-Request-Id") == request.request_id
            try:
                body = json.loads(response.body)
                is_own_body = body.get("request_id") == request.request_id
            except (ValueError, AttributeError):
                is_own_body = False
            request.is_wrong_answer = not (is_own_header and is_own_body)
        case "not-run":
            request.result = Result.REFUSED
        case "unknown":
            request.result = Result.UNKNOWN
        case _:
            request.result = Result.LOST
            request.detail = f"status {response.code}: {response.body[:200]!r}"
