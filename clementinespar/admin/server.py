"""The admin port: JSON over HTTP for operators, metrics and health checks."""

import contextlib
import json
import socket
import urllib.parse
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any

import logbook
import pydantic_core
import tornado.httpserver
import tornado.web

from clementinespar import codes, errors, http_servers, options
from clementinespar.admin import publishing, views
from clementinespar.documents import messages
from clementinespar.telemetry import metrics

_log = logbook.Logger("admin")

_MAX_HEADER_BYTES = 16 * 1024
_IDLE_TIMEOUT_S = 60.0
_BODY_TIMEOUT_S = 10.0
# Bytes over the limit of a body that are read and discarded, so that a client that is
# still sending receives the error; a larger body closes the connection.
_DISCARDED_BODY_BYTES = 16 * 1024 * 1024
_MAX_PROBLEMS = 50  # problems of a document in one reply

# HTTP status of a result code; all others are errors of the client, 400.
_STATUS_BY_CODE = {
    codes.ResultCode.OK: 200,
    codes.ResultCode.DOCUMENT_CONFLICT: 409,
    codes.ResultCode.DOCUMENT_NOT_ON_TRIAL: 409,
    codes.ResultCode.DOCUMENT_TOO_LARGE: 413,
    codes.ResultCode.REQUEST_TOO_LARGE: 413,
    codes.ResultCode.HOST_UNKNOWN: 404,
    codes.ResultCode.POOL_UNKNOWN: 404,
    codes.ResultCode.WAVE_UNKNOWN: 404,
    codes.ResultCode.NOT_READY: 503,
    codes.ResultCode.NODE_STOPPING: 503,
    codes.ResultCode.LOG_UNAVAILABLE: 503,
    codes.ResultCode.LOG_REPLY_LOST: 504,
    codes.ResultCode.INTERNAL_ERROR: 500,
}
# Result codes of errors that tornado raises; all others are REQUEST_INVALID.
_CODE_BY_STATUS = {
    413: codes.ResultCode.REQUEST_TOO_LARGE,
    500: codes.ResultCode.INTERNAL_ERROR,
}


def status_of(code: codes.ResultCode) -> int:
    """Return the HTTP status of a result code."""
    return _STATUS_BY_CODE.get(code, 400)


def encode_json(value: object) -> bytes:
    """Return the compact JSON of a data class, a model or a plain value."""
    return pydantic_core.to_json(value, fallback=str)


class _Handler(http_servers.Handler):
    """Base of all handlers: JSON replies and errors."""

    def initialize(self, admin: "AdminServer") -> None:
        self.admin = admin

    def set_default_headers(self) -> None:
        self.clear_header("Server")
        self.set_header("Content-Type", "application/json; charset=utf-8")
        self.set_header("Cache-Control", "no-store")

    def reply(self, value: object, status: int = 200) -> None:
        """Finish with a JSON reply."""
        self.set_status(status)
        self.finish(encode_json(value) + b"\n")

    def fail(
        self, code: codes.ResultCode, message: str, status: int, **extra: object
    ) -> None:
        """Finish with an error; ``extra`` adds fields to the reply."""
        self.reply(
            {"code": int(code), "name": code.name, "message": message, **extra}, status
        )

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Reply to an exception that a handler raised."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        match error:
            case views.UnknownSubjectError():
                self.fail(error.code, error.message, 404)
            case errors.ClementinesparError():
                self.fail(error.code, error.message, status_of(error.code))
            case BaseExceptionGroup():
                self._fail_group(error)
            case tornado.web.HTTPError():
                code = _CODE_BY_STATUS.get(
                    status_code, codes.ResultCode.REQUEST_INVALID
                )
                message = error.log_message or self._reason
                self.fail(code, message, status_code)
            case _:
                self.fail(
                    codes.ResultCode.INTERNAL_ERROR,
                    "the node failed to handle the call; its log has the traceback",
                    500,
                )

    def _fail_group(self, group: BaseExceptionGroup[BaseException]) -> None:
        problems = [
            problem
            for problem in group.exceptions
            if isinstance(problem, errors.ClementinesparError)
        ]
        code = problems[0].code if problems else codes.ResultCode.INTERNAL_ERROR
        self.fail(
            code,
            f"{group.message}: " + "; ".join(p.message for p in problems[:3]),
            status_of(code),
            problems=[
                {"code": int(p.code), "name": p.code.name, "message": p.message}
                for p in problems[:_MAX_PROBLEMS]
            ],
        )

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log unexpected exceptions only, not those that report an invalid call."""
        is_expected = isinstance(
            value,
            errors.ClementinesparError | BaseExceptionGroup | tornado.web.HTTPError,
        )
        if not is_expected:
            _log.error(
                "{} {} failed",
                self.request.method,
                self.request.path,
                exc_info=(typ, value, tb),
            )

    def environment(self, text: str | None) -> messages.Environment:
        """Return an environment, or raise an error if there is none of this name."""
        match text:
            case "trial":
                return "trial"
            case "production":
                return "production"
        raise errors.ClementinesparError(
            codes.ResultCode.REQUEST_INVALID,
            f"environment: expected trial or production, not {text!r}",
        )


class _NotFound(_Handler):
    def prepare(self) -> None:
        raise tornado.web.HTTPError(404, f"no such path: {self.request.path}")


class _Live(_Handler):
    def get(self) -> None:
        self.reply({"is_live": True})


class _Ready(_Handler):
    def get(self) -> None:
        node = self.admin.admin_views.node
        if node.is_ready:
            self.reply({"is_ready": True})
            return
        self.fail(
            codes.ResultCode.NOT_READY,
            "; ".join(node.not_ready_reasons),
            503,
            is_ready=False,
        )


class _Metrics(_Handler):
    def get(self) -> None:
        self.admin.refresh_metrics()
        self.set_header("Content-Type", metrics.CONTENT_TYPE)
        self.finish(metrics.render())


class _Status(_Handler):
    def get(self) -> None:
        environment = self.environment(self.get_argument("environment", "production"))
        self.reply(self.admin.admin_views.status(environment))


class _Plan(_Handler):
    def get(self) -> None:
        environment = self.environment(self.get_argument("environment", "production"))
        self.reply(self.admin.admin_views.plan(environment))


class _Explain(_Handler):
    def get(self, subject: str, name: str) -> None:
        admin_views = self.admin.admin_views
        explain: Callable[[str], object] = {
            "hosts": admin_views.host,
            "pools": admin_views.pool,
            "waves": admin_views.wave,
            "requests": admin_views.request,
        }[subject]
        explained = explain(urllib.parse.unquote(name))
        value = pydantic_core.to_jsonable_python(explained, fallback=str)
        code = codes.ResultCode(value["code"])
        is_missing = subject in ("hosts", "pools") and status_of(code) == 404
        value["name"] = code.name
        if is_missing:
            value.setdefault("message", "; ".join(value["because"]))
        self.reply(value, 404 if is_missing else 200)


class _History(_Handler):
    def get(self, environment: str) -> None:
        self.reply(self.admin.admin_views.history(self.environment(environment)))


@tornado.web.stream_request_body
class _Document(_Handler):
    def prepare(self) -> None:
        """Refuse a body whose declared size exceeds the limit before it is read."""
        self.chunks: list[bytes] = []
        self.size = 0
        self._check_size(int(self.request.headers.get("Content-Length", "0")))

    def data_received(self, chunk: bytes) -> None:
        """Append a part of the body; refuse a body that exceeds the limit."""
        if self._finished:
            return
        self.size += len(chunk)
        self._check_size(self.size)
        self.chunks.append(chunk)

    def _check_size(self, size: int) -> None:
        limit = self.admin.max_body_bytes
        if size > limit:
            raise errors.ClementinesparError(
                codes.ResultCode.REQUEST_TOO_LARGE, f"the body exceeds {limit} bytes"
            )

    def get(self, environment: str) -> None:
        self.reply(self.admin.admin_views.document(self.environment(environment)))

    async def post(self, environment: str) -> None:
        checked = self.environment(environment)
        await self.submit(lambda body: self.admin.publisher.publish(checked, body))

    async def submit(
        self,
        action: Callable[[Mapping[str, object]], Awaitable[publishing.Publication]],
    ) -> None:
        """Run a publication or promotion and reply with its result."""
        body = parse_body(b"".join(self.chunks))
        publication = await action(body)
        self.reply(publication, status_of(publication.code))


class _Promotion(_Document):
    def get(self, environment: str = "") -> None:
        raise tornado.web.HTTPError(405)

    async def post(self, environment: str = "") -> None:
        await self.submit(self.admin.publisher.promote)


def parse_body(text: bytes) -> Mapping[str, object]:
    """Return the JSON object in a body."""
    try:
        body = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.ClementinesparError(
            codes.ResultCode.REQUEST_INVALID, f"the body is not JSON: {error}"
        ) from error
    if not isinstance(body, dict):
        raise errors.ClementinesparError(
            codes.ResultCode.REQUEST_INVALID, "the body is not a JSON object"
        )
    return body


class AdminServer:
    """Serves the admin port.

    Parameters
    ----------
    settings : options.AdminSettings
        Address, port and limit of request bodies.
    admin_views : views.Views
        Builds the replies to GET.
    publisher : publishing.Publisher
        Publishes and promotes documents.
    refresh_metrics : callable
        Sets the gauges before the metrics are rendered.
    """

    admin_views: views.Views
    publisher: publishing.Publisher
    refresh_metrics: Callable[[], None]
    max_body_bytes: int  # larger bodies are refused

    def __init__(
        self,
        settings: options.AdminSettings,
        admin_views: views.Views,
        publisher: publishing.Publisher,
        refresh_metrics: Callable[[], None] = lambda: None,
    ) -> None:
        self.max_body_bytes = settings.max_body_bytes
        self.admin_views = admin_views
        self.publisher = publisher
        self.refresh_metrics = refresh_metrics

    @contextlib.asynccontextmanager
    async def serving(self, listener: socket.socket) -> AsyncIterator[None]:
        """Serve on a bound socket while the context is entered."""
        shared = {"admin": self}
        application = http_servers.Application(
            [
                (r"/livez", _Live, shared),
                (r"/readyz", _Ready, shared),
                (r"/metrics", _Metrics, shared),
                (r"/v1/status", _Status, shared),
                (r"/v1/plan", _Plan, shared),
                (r"/v1/(hosts|pools|waves|requests)/([^/]+)", _Explain, shared),
                (r"/v1/documents/([^/]+)", _Document, shared),
                (r"/v1/documents/([^/]+)/history", _History, shared),
                (r"/v1/promotions", _Promotion, shared),
            ],
            default_handler_class=_NotFound,
            default_handler_args=shared,
        )
        server = tornado.httpserver.HTTPServer(
            application,
            max_body_size=self.max_body_bytes + _DISCARDED_BODY_BYTES,
            max_header_size=_MAX_HEADER_BYTES,
            idle_connection_timeout=_IDLE_TIMEOUT_S,
            body_timeout=_BODY_TIMEOUT_S,
        )
        listener.listen(128)
        async with http_servers.serving(server, application, [listener]):
            yield
