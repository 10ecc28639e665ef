"""Connections to targets through libcurl.

An attempt counts as not started only in two cases: libcurl never reached the point of
sending on a connection, or the target refused it and stated that nothing had started.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import socket
import urllib.parse
from collections.abc import AsyncIterator
from typing import Any

import pycurl
from opentelemetry import propagate, trace
from opentelemetry.trace.propagation import tracecontext
from tornado import curl_httpclient, httpclient, httputil

from clementinespar import codes, curl_clients
from clementinespar.requests import model

MAX_CLIENTS = 1024  # tornado's default of 10 would queue requests inside the client
CONNECT_TIMEOUT_S = 1.0  # data centres are 1 ms apart; leaves time for three SYNs
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3  # a dead idle connection is closed after 11 s
# A connection with unacknowledged bytes is closed after this time, instead of the
# kernel's default of 15 minutes.
USER_TIMEOUT_MS = 10_000
# Connections are not reused after this idle time, as they may have broken unnoticed.
MAX_IDLE_S = 30
MAX_ANSWER_BYTES = 16 * 1024 * 1024

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
_tracer = trace.get_tracer("clementinespar")


@dataclasses.dataclass(slots=True)
class _Progress:
    """Progress of one attempt inside libcurl."""

    may_have_sent: bool = False  # set immediately before the first byte is sent


class CurlTargetTransport:
    """`TargetTransport` over tornado's curl client; needs a running event loop.

    Parameters
    ----------
    connections_per_target : int
        Limit on the connections to one target at any moment.
    """

    _client: curl_httpclient.CurlAsyncHTTPClient
    # Targets whose pooled connections may be broken unnoticed: event-loop time until
    # which every attempt opens a dedicated connection.
    _fresh_until_by_endpoint: dict[tuple[str, int], float]

    def __init__(self, connections_per_target: int = 64) -> None:
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_body_size=MAX_ANSWER_BYTES,
        )
        self._client._multi.setopt(
            pycurl.M_MAX_HOST_CONNECTIONS, connections_per_target
        )
        # libcurl's default is four connections per running transfer, which closes most
        # pooled connections whenever few requests run.
        self._client._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CLIENTS)
        self._fresh_until_by_endpoint = {}

    def close(self) -> None:
        """Close all connections."""
        curl_clients.close_client(self._client)

    async def send(
        self,
        target: model.Target,
        request: model.Request,
        timeout_s: float,
        repeatable: bool,
    ) -> model.Attempt:
        """Send one attempt; never raises for a failure of the target."""
        context = _PROPAGATOR.extract({"traceparent": request.traceparent or ""})
        with _tracer.start_as_current_span(
            "target attempt",
            context=context,
            kind=trace.SpanKind.CLIENT,
            attributes={
                "clementinespar.request_id": request.request_id,
                "clementinespar.host_id": target.host_id,
            },
        ) as span:
            attempt = await self._send(target, request, timeout_s, repeatable)
            span.set_attribute("clementinespar.attempt", attempt.kind.value)
            span.set_attribute("clementinespar.code", int(attempt.code))
            return attempt

    async def status(
        self, target: model.Target, timeout_s: float
    ) -> model.TargetStatus | None:
        """Return the target's own status, or None if it did not answer."""
        try:
            response = await self._client.fetch(
                httpclient.HTTPRequest(
                    _url(target, "/status"),
                    connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
                    request_timeout=timeout_s,
                    follow_redirects=False,
                    prepare_curl_callback=lambda curl: _prepare(
                        curl, _Progress(), is_fresh=True
                    ),
                )
            )
            body = json.loads(response.body)
            return model.TargetStatus(
                busy_slots=int(body["busy_slots"]),
                slots=int(body["slots"]),
                is_leaving=bool(body["is_leaving"]),
            )
        except (
            httpclient.HTTPError,
            OSError,
            ValueError,
            KeyError,
            TypeError,
            RuntimeError,  # the client was closed
        ):
            return None

    async def _send(
        self,
        target: model.Target,
        request: model.Request,
        timeout_s: float,
        repeatable: bool,
    ) -> model.Attempt:
        if timeout_s < 0.001:  # libcurl treats 0 ms as no limit
            return model.Attempt(
                model.AttemptKind.NOT_STARTED,
                codes.ResultCode.DEADLINE_PASSED,
                "the deadline left no time for the attempt",
            )
        loop = asyncio.get_running_loop()
        endpoint = (target.address, target.port)
        fresh_until = self._fresh_until_by_endpoint.get(endpoint, 0.0)
        # libcurl sends a POST again by itself if a reused connection closes before the
        # first byte of the answer, so a request that is not repeatable needs a
        # dedicated connection.
        is_fresh = not repeatable or loop.time() < fresh_until
        progress = _Progress()
        headers = {
            "X-Request-Id": request.request_id,
            "X-Deadline-Ms": str(max(1, int((request.deadline - loop.time()) * 1000))),
            "Content-Type": request.content_type,
        }
        propagate.inject(headers)
        if "traceparent" not in headers and request.traceparent:
            headers["traceparent"] = request.traceparent
        path = f"/work/{_quote(request.service)}/{_quote(request.kind)}"
        try:
            response = await self._client.fetch(
                httpclient.HTTPRequest(
                    _url(target, path),
                    method="POST",
                    headers=httputil.HTTPHeaders(headers),
                    body=request.body,
                    connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
                    request_timeout=timeout_s,
                    follow_redirects=False,
                    decompress_response=False,
                    prepare_curl_callback=lambda curl: _prepare(
                        curl, progress, is_fresh
                    ),
                ),
                raise_error=False,
            )
        except (httpclient.HTTPError, OSError, ValueError, RuntimeError) as error:
            attempt = _failed_attempt(error, progress)
        else:
            if response.error is not None and response.code == 599:
                attempt = _failed_attempt(response.error, progress)
            else:
                attempt = _read_answer(response, request.request_id)
        if attempt.code == codes.ResultCode.TARGET_SILENT:
            self._fresh_until_by_endpoint[endpoint] = loop.time() + MAX_IDLE_S
        elif fresh_until and not loop.time() < fresh_until:
            self._fresh_until_by_endpoint.pop(endpoint, None)
        return attempt


@contextlib.asynccontextmanager
async def open_transport(
    connections_per_target: int = 64,
) -> AsyncIterator[CurlTargetTransport]:
    """Open a transport; close its connections on exit."""
    transport = CurlTargetTransport(connections_per_target)
    try:
        yield transport
    finally:
        transport.close()


def _quote(segment: str) -> str:
    # libcurl would resolve dot segments, so their dots are escaped.
    quoted = urllib.parse.quote(segment, safe="")
    return quoted.replace(".", "%2E") if quoted.strip(".") == "" else quoted


def _url(target: model.Target, path: str) -> str:
    host = f"[{target.address}]" if ":" in target.address else target.address
    return f"http://{host}:{target.port}{path}"


def _prepare(curl: Any, progress: _Progress, is_fresh: bool) -> None:
    def mark_sending(*addresses: object) -> int:
        progress.may_have_sent = True
        return int(pycurl.PREREQFUNC_OK)

    curl.setopt(pycurl.PREREQFUNCTION, mark_sending)
    curl.setopt(pycurl.SOCKOPTFUNCTION, _set_socket_options)
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.FRESH_CONNECT, 1 if is_fresh else 0)
    # Dedicated connections that stay open would exhaust the target's connection limit.
    curl.setopt(pycurl.FORBID_REUSE, 1 if is_fresh else 0)
    curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_S)
    # Ignores proxy settings in environment variables.
    curl.setopt(pycurl.PROXY, "")


def _set_socket_options(descriptor: int, purpose: int) -> int:
    duplicate = socket.socket(fileno=os.dup(descriptor))
    with contextlib.closing(duplicate):
        options = (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        )
        for level, option, value in options:
            duplicate.setsockopt(level, option, value)
    return int(pycurl.SOCKOPT_OK)


def _failed_attempt(error: BaseException, progress: _Progress) -> model.Attempt:
    if not progress.may_have_sent:
        return model.Attempt(
            model.AttemptKind.NOT_STARTED,
            codes.ResultCode.TARGETS_REFUSED,
            f"no connection to the target: {error}",
        )
    if getattr(error, "errno", None) == pycurl.E_OPERATION_TIMEDOUT:
        return model.Attempt(
            model.AttemptKind.UNKNOWN,
            codes.ResultCode.TARGET_SILENT,
            "the target did not answer within the timeout",
        )
    return model.Attempt(
        model.AttemptKind.UNKNOWN,
        codes.ResultCode.TARGET_CONNECTION_LOST,
        f"the connection to the target broke: {error}",
    )


def _read_answer(response: httpclient.HTTPResponse, request_id: str) -> model.Attempt:
    headers = response.headers
    is_leaving = headers.get("X-Leaving") == "1"
    echoed = headers.get("X-Request-Id")
    is_refusal = response.code == 503 and headers.get("X-Not-Started") == "1"
    # A refusal sent before the target has parsed the request may lack the request id.
    if echoed != request_id and not (is_refusal and echoed is None):
        return model.Attempt(
            model.AttemptKind.UNKNOWN,
            codes.ResultCode.ANSWER_MISMATCH,
            "the answer belongs to another request",
            is_leaving=is_leaving,
        )
    if is_refusal:
        return model.Attempt(
            model.AttemptKind.NOT_STARTED,
            codes.ResultCode.TARGETS_REFUSED,
            "the target refused the request before it started",
            status=response.code,
            is_leaving=is_leaving,
        )
    # Without a length, a broken connection cannot be told from the end of the answer.
    is_complete = (
        "Content-Length" in headers
        or headers.get("Transfer-Encoding", "").lower() == "chunked"
    )
    if response.code != 200 or not is_complete:
        return model.Attempt(
            model.AttemptKind.UNKNOWN,
            codes.ResultCode.OUTCOME_UNKNOWN,
            f"the target answered with status {response.code}"
            + ("" if is_complete else " and an answer of unknown length"),
            status=response.code,
            is_leaving=is_leaving,
        )
    return model.Attempt(
        model.AttemptKind.ANSWERED,
        codes.ResultCode.OK,
        status=response.code,
        body=response.body,
        content_type=headers.get("Content-Type", "application/octet-stream"),
        is_leaving=is_leaving,
    )
