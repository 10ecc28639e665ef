"""HTTP server for callers.

Every answer states the outcome in ``X-Outcome`` and the result code in
``X-Result-Code``. A request that is refused here has not been sent to an owner, so it
certainly did not run.
"""

import asyncio
import collections
import contextlib
import json
import string
from collections.abc import AsyncIterator
from typing import Any

import logbook
import tornado.httputil
import tornado.iostream
import tornado.netutil
import tornado.web
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

from clementinespar import (
    codes,
    http_intake,
    http_servers,
    identifiers,
    intake,
    options,
)
from clementinespar.fleet import source as fleet_source
from clementinespar.requests import model
from clementinespar.requests import router as request_router

MAX_ID_LENGTH = 120  # limit of `claims.messages.Claim.request_id`
MAX_TEAM_LENGTH = 80
_ID_CHARACTERS = frozenset(string.ascii_letters + string.digits + "-_.:")
# Most bytes of bodies of requests in flight, and of requests that are not whole. A node
# has 128 MB for everything.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
MAX_INCOMPLETE_BYTES = 16 * 1024 * 1024
_MAX_RUN_MS = 86_400_000  # one day; services set lower limits for deadlines
_NO_MEMORY = "the request bodies on this node would exceed the memory limit"

_STATUS_BY_NOT_RUN_CODE = {
    codes.ResultCode.SERVICE_UNKNOWN: 404,
    codes.ResultCode.REQUEST_INVALID: 400,
    codes.ResultCode.REQUEST_TOO_LARGE: 413,
    codes.ResultCode.QUEUE_FULL: 429,
    codes.ResultCode.TEAM_QUOTA_EXCEEDED: 429,
    codes.ResultCode.REQUEST_ID_TOO_OLD: 400,
}

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
_tracer = trace.get_tracer("clementinespar")
_log = logbook.Logger(__name__)


class _RefusedError(Exception):
    """A request that is refused before it reaches the router."""

    outcome: model.Outcome  # written to the caller

    def __init__(self, code: codes.ResultCode, reason: str) -> None:
        super().__init__(reason)
        self.outcome = model.Outcome(model.OutcomeKind.NOT_RUN, code, reason)


class CallersServer:
    """A running HTTP server for callers; created by `make_server`."""

    port: int  # TCP port in use
    router: request_router.Router
    source: fleet_source.FleetSource
    settings: options.CallersSettings
    is_draining: bool
    _request_ids: dict[object, str]  # request id of each handler in flight
    _bytes_by_handler: dict[object, int]  # of the body
    _buffered_bytes: int  # sum over all handlers
    _idle: asyncio.Event  # set while no request is in flight

    def __init__(
        self,
        router: request_router.Router,
        source: fleet_source.FleetSource,
        settings: options.CallersSettings,
    ) -> None:
        self.port = settings.port
        self.router = router
        self.source = source
        self.settings = settings
        self.is_draining = False
        self._request_ids = {}
        self._bytes_by_handler = {}
        self._buffered_bytes = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def begin_drain(self) -> None:
        """Refuse new requests as not run; requests in flight are finished."""
        self.is_draining = True

    async def wait_idle(self, timeout_s: float) -> list[str]:
        """Wait for requests in flight; return the request ids of those that remain."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._idle.wait(), timeout_s)
        return sorted(self._request_ids.values())

    def begin_request(self, handler: object, request_id: str) -> None:
        """Add a handler whose request is in flight."""
        self._request_ids[handler] = request_id
        self._idle.clear()

    def reserve_body_bytes(self, handler: object, size: int) -> bool:
        """Count bytes of a body; False, without counting, if the limit is exceeded."""
        if self._buffered_bytes + size > MAX_BUFFERED_BYTES:
            return False
        self._bytes_by_handler[handler] = self._bytes_by_handler.get(handler, 0) + size
        self._buffered_bytes += size
        return True

    def end_request(self, handler: object) -> None:
        """Remove a handler after its answer was written or its caller left."""
        self._request_ids.pop(handler, None)
        self._buffered_bytes -= self._bytes_by_handler.pop(handler, 0)
        if not self._request_ids:
            self._idle.set()


@contextlib.asynccontextmanager
async def make_server(
    router: request_router.Router,
    source: fleet_source.FleetSource,
    settings: options.CallersSettings,
) -> AsyncIterator[CallersServer]:
    """Serve callers; on exit, stop listening and finish the requests in flight.

    The exit waits for these requests without a time limit. To limit it, call
    `CallersServer.wait_idle` first and cancel the task.
    """
    server = CallersServer(router, source, settings)
    application = http_servers.Application(
        [(r"/v1/([^/]+)/([^/]+)", _RequestHandler, {"server": server})],
        default_handler_class=_UnknownPathHandler,
        default_handler_args={"server": server},
    )
    sockets = tornado.netutil.bind_sockets(settings.port, settings.address)
    server.port = sockets[0].getsockname()[1]
    limits = intake.Limits(settings.max_connections, MAX_INCOMPLETE_BYTES)
    policy = _Policy(settings)
    async with http_intake.serving(application, limits, policy, sockets) as http_server:
        try:
            yield server
        finally:
            server.begin_drain()
            http_server.stop()
            await server._idle.wait()


class _Policy:
    """`http_intake.Policy` of the listener for callers."""

    _limits: intake.CallerLimits
    _reported: collections.Counter[intake.Reason]

    def __init__(self, settings: options.CallersSettings) -> None:
        self._limits = intake.CallerLimits(
            max_header_bytes=settings.max_header_bytes,
            max_body_bytes=settings.max_body_bytes,
            header_timeout_s=settings.idle_timeout_s,
            idle_timeout_s=settings.idle_timeout_s,
        )
        self._reported = collections.Counter()

    def caller_limits(self) -> intake.CallerLimits:
        """Return the limits of the settings."""
        return self._limits

    def make_refusal(
        self, reason: intake.Reason, headers: tornado.httputil.HTTPHeaders
    ) -> http_intake.Refusal:
        """Return the answer to a request that certainly did not run."""
        if reason is intake.Reason.BODY_TOO_LARGE:
            code = codes.ResultCode.REQUEST_TOO_LARGE
            message = f"the body exceeds {self._limits.max_body_bytes} bytes"
        elif reason is intake.Reason.BODY_STOPPED:
            code = codes.ResultCode.REQUEST_INVALID
            message = f"no part of the body for {self._limits.idle_timeout_s:g} s"
        else:
            code = codes.ResultCode.QUEUE_FULL
            message = _NO_MEMORY
        outcome = model.Outcome(model.OutcomeKind.NOT_RUN, code, message)
        return http_intake.Refusal(
            _find_status(outcome),
            _describe_error(outcome),
            {
                "X-Request-Id": _request_id_of(headers),
                "X-Outcome": outcome.kind.value,
                "X-Result-Code": str(int(code)),
                "Content-Type": "application/json",
            },
        )

    def report(self, state: intake.Intake) -> None:
        """Log the refusals since the last report."""
        refusals = state.count_by_reason - self._reported
        self._reported = state.count_by_reason.copy()
        if refusals.keys() - {intake.Reason.IDLE}:
            _log.warning(
                "callers refused: {}; {} connections hold {} bytes",
                ", ".join(f"{reason.value} {n}" for reason, n in refusals.items()),
                len(state.connections),
                state.held_bytes,
            )


class _JsonHandler(http_servers.Handler):
    """Base of handlers that answer with outcomes; errors are JSON."""

    server: CallersServer
    written: "asyncio.Future[None] | None"  # done once the answer has been sent

    def initialize(self, server: CallersServer) -> None:
        self.server = server
        self.written = None

    def write_outcome(self, request_id: str, outcome: model.Outcome) -> None:
        """Write an outcome as the complete answer."""
        self.set_header("X-Request-Id", request_id)
        self.set_header("X-Outcome", outcome.kind.value)
        self.set_header("X-Result-Code", str(int(outcome.code)))
        if outcome.kind is model.OutcomeKind.ANSWERED:
            self.set_status(200)
            self.set_header("Content-Type", outcome.content_type)
            self.written = self.finish(outcome.body)
            return
        if self.server.is_draining:
            self.set_header("Connection", "close")
        self.set_status(_find_status(outcome))
        self.set_header("Content-Type", "application/json")
        self.written = self.finish(_describe_error(outcome))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Write an error that tornado raises or an exception of a handler."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        code = codes.ResultCode.INTERNAL_ERROR
        reason = "internal error"
        if isinstance(error, tornado.web.HTTPError) and status_code < 500:
            code = codes.ResultCode.REQUEST_INVALID
            reason = f"{self.request.method} {self.request.path} is not supported"
        self.set_header("X-Result-Code", str(int(code)))
        self.set_header("Content-Type", "application/json")
        self.finish(
            json.dumps({"code": int(code), "name": code.name, "message": reason})
        )


class _UnknownPathHandler(_JsonHandler):
    def prepare(self) -> None:
        """Refuse every path that no handler serves."""
        outcome = model.Outcome(
            model.OutcomeKind.NOT_RUN,
            codes.ResultCode.SERVICE_UNKNOWN,
            "unknown path; requests go to /v1/SERVICE/KIND",
        )
        self.write_outcome(_request_id_of(self.request.headers), outcome)


@tornado.web.stream_request_body
class _RequestHandler(_JsonHandler):
    SUPPORTED_METHODS = ("POST",)

    body: bytearray  # read so far
    refusal: model.Outcome | None  # written once the body is whole, so that it is read
    request_id: str
    accepted_at: float  # event-loop time at which the headers were read
    task: "asyncio.Task[model.Outcome] | None"  # runs `Router.handle`
    has_left: bool  # the caller, or its request was refused by the listener

    def initialize(self, server: CallersServer) -> None:
        super().initialize(server)
        self.body = bytearray()
        self.refusal = None
        self.task = None
        self.has_left = False

    def prepare(self) -> None:
        """Check the headers, before the body is read."""
        if self.has_left:
            return
        self.accepted_at = asyncio.get_running_loop().time()
        self.request_id = _request_id_of(self.request.headers)
        if self.request.method != "POST":
            return  # tornado answers with 405
        try:
            self._check_head()
        except _RefusedError as error:
            self.refusal = error.outcome
        else:
            self.server.begin_request(self, self.request_id)

    def _check_head(self) -> None:
        if self.server.is_draining:
            raise _RefusedError(
                codes.ResultCode.NODE_STOPPING, "this entry node is stopping"
            )
        if self.server.source.state.documents.production is None:
            raise _RefusedError(
                codes.ResultCode.NOT_READY, "this node has no document in force yet"
            )
        check_headers(self.request.headers)

    def data_received(self, chunk: bytes) -> None:
        """Append a part of the body."""
        if self.refusal is None:
            self.body += chunk

    async def post(self, service: str, kind: str) -> None:
        """Route one request."""
        if self.refusal is None:
            size = len(self.body)
            if not self.server.reserve_body_bytes(self, size):
                self.refusal = model.Outcome(
                    model.OutcomeKind.NOT_RUN, codes.ResultCode.QUEUE_FULL, _NO_MEMORY
                )
        if self.refusal is not None:
            self.write_outcome(self.request_id, self.refusal)
            self.server.end_request(self)
            return
        span_context = _PROPAGATOR.extract(
            {"traceparent": self.request.headers.get("traceparent", "")}
        )
        try:
            with _tracer.start_as_current_span(
                "caller request",
                context=span_context,
                kind=trace.SpanKind.SERVER,
                attributes={
                    "clementinespar.service": service,
                    "clementinespar.kind": kind,
                    "clementinespar.request_id": self.request_id,
                },
            ) as span:
                outcome = await self._route(service, kind)
                span.set_attribute("clementinespar.outcome", outcome.kind.value)
                span.set_attribute("clementinespar.code", int(outcome.code))
            self.write_outcome(self.request_id, outcome)
            if self.written is not None:
                with contextlib.suppress(tornado.iostream.StreamClosedError):
                    await self.written
        except asyncio.CancelledError:
            if self.task is None or not self.task.cancelled():
                raise
        finally:
            self.server.end_request(self)

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that left."""
        super().on_connection_close()
        self.has_left = True
        if self.task is not None:
            self.task.cancel()
        else:
            self.server.end_request(self)

    async def _route(self, service: str, kind: str) -> model.Outcome:
        try:
            request = self._make_request(service, kind)
        except _RefusedError as error:
            return error.outcome
        self.task = asyncio.get_running_loop().create_task(
            self.server.router.handle(request)
        )
        try:
            return await self.task
        except Exception:
            _log.exception("request {} failed at its entry node", self.request_id)
            return model.Outcome(
                model.OutcomeKind.UNKNOWN,
                codes.ResultCode.INTERNAL_ERROR,
                "internal error; the request may have run",
            )

    def _make_request(self, service: str, kind: str) -> model.Request:
        document = self.server.source.state.documents.production
        declared = None if document is None else document.services.get(service)
        if declared is None:
            raise _RefusedError(
                codes.ResultCode.SERVICE_UNKNOWN,
                f"the document has no service {service}",
            )
        headers = self.request.headers
        deadline_ms = _parse_count(headers, "X-Deadline-Ms", declared.max_deadline_ms)
        if deadline_ms is None:
            deadline_ms = min(declared.default_deadline_ms, declared.max_deadline_ms)
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier)
        return model.Request(
            request_id=self.request_id,
            service=service,
            kind=kind,
            body=bytes(self.body),
            content_type=headers.get("Content-Type", "application/octet-stream"),
            deadline=self.accepted_at + deadline_ms / 1000,
            team=headers.get("X-Team"),
            is_urgent=headers.get("X-Priority", "normal") == "urgent",
            declared_run_ms=_parse_count(headers, "X-Declared-Run-Ms", _MAX_RUN_MS),
            traceparent=carrier.get("traceparent"),
        )


def _find_status(outcome: model.Outcome) -> int:
    """Return the HTTP status of an outcome without an answer."""
    if outcome.kind is not model.OutcomeKind.NOT_RUN:
        return 504
    return _STATUS_BY_NOT_RUN_CODE.get(outcome.code, 503)


def _describe_error(outcome: model.Outcome) -> bytes:
    error = {
        "code": int(outcome.code),
        "name": outcome.code.name,
        "message": outcome.reason,
    }
    return json.dumps(error).encode()


def check_headers(headers: tornado.httputil.HTTPHeaders) -> None:
    """Raise `_RefusedError` for headers that are invalid for every service."""
    request_id = headers.get("X-Request-Id")
    if request_id is not None and not _is_id(request_id):
        raise _RefusedError(
            codes.ResultCode.REQUEST_INVALID,
            f"X-Request-Id must consist of 1 to {MAX_ID_LENGTH} letters, digits or "
            "characters of -_.:",
        )
    team = headers.get("X-Team")
    if team is not None and not (0 < len(team) <= MAX_TEAM_LENGTH):
        raise _RefusedError(
            codes.ResultCode.REQUEST_INVALID,
            f"X-Team must have 1 to {MAX_TEAM_LENGTH} characters",
        )
    if headers.get("X-Priority", "normal") not in ("normal", "urgent"):
        raise _RefusedError(
            codes.ResultCode.REQUEST_INVALID, "X-Priority must be normal or urgent"
        )
    _parse_count(headers, "X-Deadline-Ms", _MAX_RUN_MS)
    _parse_count(headers, "X-Declared-Run-Ms", _MAX_RUN_MS)


def _parse_count(
    headers: tornado.httputil.HTTPHeaders, name: str, limit: int
) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    is_number = text.isascii() and text.isdigit() and len(text) <= 12
    if not is_number or not 1 <= int(text) <= limit:
        raise _RefusedError(
            codes.ResultCode.REQUEST_INVALID,
            f"{name} must be a whole number from 1 to {limit}",
        )
    return int(text)


def _is_id(text: str) -> bool:
    return 0 < len(text) <= MAX_ID_LENGTH and _ID_CHARACTERS.issuperset(text)


def _request_id_of(headers: tornado.httputil.HTTPHeaders) -> str:
    """Return the caller's request id, or a new one if it is missing or not valid."""
    request_id = headers.get("X-Request-Id", "")
    return request_id if _is_id(request_id) else identifiers.new_id()
