"""HTTP server on the internal port: queries of other nodes and metrics."""

import contextlib
import json
import urllib.parse
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import tornado.netutil
import tornado.web

from clementinespar import codes, errors, http_intake, http_servers, intake
from clementinespar.jobs import quota_exchange, service, services, telemetry

_INVALID_CODES = frozenset(
    {
        codes.ResultCode.JOB_INVALID,
        codes.ResultCode.JOB_TOO_LARGE,
        codes.ResultCode.KEY_UNKNOWN,
    }
)
_UNKNOWN_CODES = frozenset(
    {
        codes.ResultCode.JOB_UNKNOWN,
        codes.ResultCode.QUEUE_UNKNOWN,
        codes.ResultCode.TEAM_UNKNOWN,
    }
)
# The largest messages of nodes are commands, which the store limits to 256 KiB.
_NODE_LIMITS = intake.CallerLimits(
    max_body_bytes=4 * 1024 * 1024, idle_timeout_s=60.0, header_timeout_s=10.0
)


class _PeerRequestHandler(http_servers.Handler):
    """Answers a query of a peer about a partition that this node owns."""

    def initialize(self, jobs: service.JobService) -> None:
        self._jobs = jobs

    def compute_etag(self) -> None:
        """Send no entity tag, since peers do not cache."""

    def get(self, partition: str) -> None:
        """Answer as the owner; with 503 if this node is not, 400 if it is malformed."""
        path = (self.request.uri or "")[len(partition) + 1 :]
        try:
            reply = self._jobs.answer_peer(int(partition), path, self.request.body)
        except errors.ClementinesparError as error:
            self.set_status(503)
            reply = {"code": int(error.code), "message": error.message}
        except (ValueError, KeyError) as error:
            self.set_status(400)
            reply = {"message": repr(error)}
        self.finish(json.dumps(reply))

    def post(self, partition: str) -> None:
        """Answer a question that has a body, as `get`."""
        self.get(partition)


class _CommandHandler(http_servers.Handler):
    """Appends a command of a caller that reached a peer."""

    def initialize(self, jobs: service.JobService) -> None:
        self._jobs = jobs

    async def post(self, partition: str, key: str) -> None:
        """Answer 200 once it is stored, 503 if it is not, 504 if that is unknown."""
        record = services.KeyedRecord(urllib.parse.unquote(key), self.request.body)
        try:
            await self._jobs.append_for_peer(int(partition), record)
        except errors.ClementinesparError as error:
            is_refused = error.code is codes.ResultCode.STORE_REFUSED
            self.set_status(503 if is_refused else 504)
            self.finish(json.dumps({"code": int(error.code)}))
        except ValueError as error:
            self.set_status(400)
            self.finish(json.dumps({"message": str(error)}))
        else:
            load = self._jobs.describe_waits(int(partition))
            self.finish(json.dumps({"load": load}) if load else "{}")


class _OperatorHandler(http_servers.Handler):
    """Answers a query of operators, whichever node owns what it is about."""

    async def answer(self, query: Awaitable[dict[str, Any]]) -> None:
        """Answer with the result, or with the code of the failure."""
        try:
            reply = await query
        except errors.ClementinesparError as error:
            status = 404 if error.code in _UNKNOWN_CODES else 503
            self.set_status(400 if error.code in _INVALID_CODES else status)
            reply = {
                "code": int(error.code),
                "name": error.code.name,
                "message": error.message,
            }
        self.finish(json.dumps(reply))


class _ExplanationHandler(_OperatorHandler):
    """Explains a job, a team or an image."""

    def initialize(self, explain: Callable[[str], Awaitable[dict[str, Any]]]) -> None:
        self._explain = explain

    async def get(self, name: str) -> None:
        """Answer with the explanation of what the path names."""
        await self.answer(self._explain(name))


class _PlacementHandler(_OperatorHandler):
    """Shows where a job would be placed, without submitting it."""

    def initialize(self, jobs: service.JobService) -> None:
        self._jobs = jobs

    async def post(self) -> None:
        """Answer with what would become of the job in the body."""
        await self.answer(
            self._jobs.explain_placement(self.request.body, self.request.host)
        )


class _QuotaRequestHandler(http_servers.Handler):
    """Answers an owner that asks the ledger of the teams' caps for a share."""

    def initialize(self, quotas: quota_exchange.QuotaExchange) -> None:
        self._quotas = quotas

    async def post(self) -> None:
        """Answer 503 if this node is not the ledger, 400 if it is malformed."""
        status, body = await self._quotas.answer_request(self.request.body)
        self.set_status(status)
        self.finish(body)


class _QuotaRecallHandler(http_servers.Handler):
    """Answers the ledger that recalls what a partition does not use."""

    def initialize(self, quotas: quota_exchange.QuotaExchange) -> None:
        self._quotas = quotas

    def post(self, partition: str) -> None:
        """Answer 409 to an earlier ledger, 503 if this node is not the owner."""
        status, body = self._quotas.answer_recall(int(partition), self.request.body)
        self.set_status(status)
        self.finish(body)


class _MetricsHandler(http_servers.Handler):
    """Serves the metrics of the node."""

    def initialize(self, metrics: telemetry.JobMetrics) -> None:
        self._metrics = metrics

    def get(self) -> None:
        """Answer with all metrics in the text format of Prometheus."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._metrics.render())


@contextlib.asynccontextmanager
async def serve_peers(
    address: str,
    port: int,
    jobs: service.JobService,
    quotas: quota_exchange.QuotaExchange,
    metrics: telemetry.JobMetrics,
    limits: intake.Limits,
) -> AsyncIterator[None]:
    """Serve peers inside the context."""
    application = http_servers.Application(
        [
            (r"/metrics", _MetricsHandler, {"metrics": metrics}),
            (
                r"/v1/jobs/([0-9A-Za-z]+)",
                _ExplanationHandler,
                {"explain": jobs.explain},
            ),
            (
                r"/v1/teams/([^/]+)",
                _ExplanationHandler,
                {"explain": jobs.describe_team},
            ),
            (
                r"/v1/images/(.+)",
                _ExplanationHandler,
                {"explain": jobs.explain_image},
            ),
            (r"/quota/request", _QuotaRequestHandler, {"quotas": quotas}),
            (r"/(\d+)/quota/recall", _QuotaRecallHandler, {"quotas": quotas}),
            (r"/v1/placement", _PlacementHandler, {"jobs": jobs}),
            (r"/(\d+)/commands/([^/]+)", _CommandHandler, {"jobs": jobs}),
            (r"/(\d+)/.*", _PeerRequestHandler, {"jobs": jobs}),
        ]
    )
    sockets = tornado.netutil.bind_sockets(port, address)
    policy = http_intake.FixedPolicy(_NODE_LIMITS)
    async with http_intake.serving(application, limits, policy, sockets):
        yield
