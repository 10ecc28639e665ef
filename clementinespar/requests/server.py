"""HTTP server for callers.

Every answer states the outcome in ``X-Outcome`` and the result code in
``X-Result-Code``. A request that is refused here has not been sent to an owner, so it
certainly did not run.
"""

import asyncio
import contextlib
import json
import string
from collections.abc import AsyncIterator
from typing import Any

import logbook
import tornado.httpserver
import tornado.httputil
import tornado.iostream
import tornado.netutil
import tornado.web
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

from clementinespar import codes, http_servers, identifiers, options
from clementinespar.fleet import source as fleet_source
from clementinespar.requests import model
from clementinespar.requests import router as request_router

MAX_ID_LENGTH = 120  # limit of `claims.messages.Claim.request_id`
MAX_TEAM_LENGTH = 80
_ID_CHARACTERS = frozenset(string.ascii_letters + string.digits + "-_.:")
# Most bytes of bodies in memory at once. Connections are limited only in number, and a
# node has 128 MB for everything.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
_MAX_RUN_MS = 86_400_000  # one day; services set lower limits for deadlines
# The body of a refused request is read and discarded up to this size, so that the
# caller can read the refusal; closing at once would reset the connection before that.
_MAX_DISCARDED_BODY_BYTES = 64 * 1024 * 1024

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
    _bytes_by_handler: dict[object, int]  # bytes of the body read so far
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
    http_server = _LimitedHttpServer(
        application,
        max_connections=settings.max_connections,
        max_header_size=settings.max_header_bytes,
        max_body_size=settings.max_body_bytes + _MAX_DISCARDED_BODY_BYTES,
        chunk_size=64 * 1024,
        idle_connection_timeout=settings.idle_timeout_s,
        body_timeout=settings.idle_timeout_s,
    )
    sockets = tornado.netutil.bind_sockets(settings.port, settings.address)
    server.port = sockets[0].getsockname()[1]
    async with http_servers.serving(http_server, application, sockets):
        try:
            yield server
        finally:
            server.begin_drain()
            http_server.stop()
            await server._idle.wait()


class _LimitedHttpServer(tornado.httpserver.HTTPServer):
    """HTTP server with a limit on open connections."""

    max_connections: int  # connections over this number are closed at once
    open_connections: int

    def initialize(  # type: ignore[override]
        self, *args: Any, max_connections: int, **kwargs: Any
    ) -> None:
        super().initialize(*args, **kwargs)
        self.max_connections = max_connections
        self.open_connections = 0

    def handle_stream(
        self, stream: tornado.iostream.IOStream, address: tuple[Any, ...]
    ) -> None:
        if self.open_connections >= self.max_connections:
            stream.close()
            return
        self.open_connections += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        self.open_connections -= 1
        super().on_close(server_conn)


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
        status = 504
        if outcome.kind is model.OutcomeKind.NOT_RUN:
            status = _STATUS_BY_NOT_RUN_CODE.get(outcome.code, 503)
        if self.server.is_draining:
            self.set_header("Connection", "close")
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        error = {
            "code": int(outcome.code),
            "name": outcome.code.name,
            "message": outcome.reason,
        }
        self.written = self.finish(json.dumps(error))

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

    chunks: list[bytes]  # parts of the body read so far
    size: int  # bytes of the body read so far
    request_id: str
    accepted_at: float  # event-loop time at which the headers were read
    task: "asyncio.Task[model.Outcome] | None"  # runs `Router.handle`

    def prepare(self) -> None:
        """Refuse a request whose headers are invalid, before its body is read."""
        self.chunks = []
        self.size = 0
        self.task = None
        self.accepted_at = asyncio.get_running_loop().time()
        self.request_id = _request_id_of(self.request.headers)
        if self.request.method != "POST":
            return  # tornado answers with 405
        try:
            self._check_head()
        except _RefusedError as error:
            self.write_outcome(self.request_id, error.outcome)
        else:
            self.server.begin_request(self, self.request_id)

    def _check_head(self) -> None:
        declared_size = self.request.headers.get("Content-Length", "0")
        if declared_size.isdigit():
            self._check_size(int(declared_size))
        if self.server.is_draining:
            raise _RefusedError(
                codes.ResultCode.NODE_STOPPING, "this entry node is stopping"
            )
        if self.server.source.state.documents.production is None:
            raise _RefusedError(
                codes.ResultCode.NOT_READY, "this node has no document in force yet"
            )
        check_headers(self.request.headers)

    def _check_size(self, size: int) -> None:
        limit = self.server.settings.max_body_bytes
        if size > limit:
            raise _RefusedError(
                codes.ResultCode.REQUEST_TOO_LARGE,
                f"the body exceeds {limit} bytes",
            )

    def data_received(self, chunk: bytes) -> None:
        """Append a part of the body; refuses a request whose body is too large."""
        if self._finished:
            return
        self.size += len(chunk)
        self.chunks.append(chunk)
        try:
            self._check_size(self.size)
            if not self.server.reserve_body_bytes(self, len(chunk)):
                raise _RefusedError(
                    codes.ResultCode.QUEUE_FULL,
                    "the request bodies on this node would exceed the memory limit",
                )
        except _RefusedError as error:
            self.chunks.clear()
            self.write_outcome(self.request_id, error.outcome)
            self.server.end_request(self)

    async def post(self, service: str, kind: str) -> None:
        """Route one request."""
        if self._finished:
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
            body=b"".join(self.chunks),
            content_type=headers.get("Content-Type", "application/octet-stream"),
            deadline=self.accepted_at + deadline_ms / 1000,
            team=headers.get("X-Team"),
            is_urgent=headers.get("X-Priority", "normal") == "urgent",
            declared_run_ms=_parse_count(headers, "X-Declared-Run-Ms", _MAX_RUN_MS),
            traceparent=carrier.get("traceparent"),
        )


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
