"""HTTP server on the internal port: queries of other nodes and metrics."""

import contextlib
import json
import urllib.parse
from collections.abc import AsyncIterator

import tornado.httpserver
import tornado.netutil
import tornado.web

from clementinespar import codes, errors
from clementinespar.jobs import service, services, telemetry


class _PeerRequestHandler(tornado.web.RequestHandler):
    """Answers a query of a peer about a partition that this node owns."""

    def initialize(self, jobs: service.JobService) -> None:
        self._jobs = jobs

    def compute_etag(self) -> None:
        """Send no entity tag, since peers do not cache."""

    def get(self, partition: str) -> None:
        """Answer as the owner; with 503 if this node is not, 400 if it is malformed."""
        path = (self.request.uri or "")[len(partition) + 1 :]
        try:
            reply = self._jobs.answer_peer(int(partition), path)
        except errors.ClementinesparError as error:
            self.set_status(503)
            reply = {"code": int(error.code), "message": error.message}
        except (ValueError, KeyError) as error:
            self.set_status(400)
            reply = {"message": repr(error)}
        self.finish(json.dumps(reply))


class _CommandHandler(tornado.web.RequestHandler):
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
            self.finish("{}")


class _JobHandler(tornado.web.RequestHandler):
    """Explains a job to operators, whichever node owns it."""

    def initialize(self, jobs: service.JobService) -> None:
        self._jobs = jobs

    async def get(self, job_id: str) -> None:
        """Answer with the explanation, or with the code of the failure."""
        try:
            reply = await self._jobs.explain(job_id)
        except errors.ClementinesparError as error:
            is_unknown = error.code is codes.ResultCode.JOB_UNKNOWN
            self.set_status(404 if is_unknown else 503)
            reply = {
                "code": int(error.code),
                "name": error.code.name,
                "message": error.message,
            }
        self.finish(json.dumps(reply))


class _ImageHandler(tornado.web.RequestHandler):
    """Explains to operators which images interfere with each other."""

    def initialize(self, jobs: service.JobService) -> None:
        self._jobs = jobs

    async def get(self, image: str) -> None:
        """Answer with the explanation, or with the code of the failure."""
        try:
            reply = await self._jobs.explain_image(image)
        except errors.ClementinesparError as error:
            self.set_status(503)
            reply = {
                "code": int(error.code),
                "name": error.code.name,
                "message": error.message,
            }
        self.finish(json.dumps(reply))


class _MetricsHandler(tornado.web.RequestHandler):
    """Serves the metrics of the node."""

    def initialize(self, metrics: telemetry.JobMetrics) -> None:
        self._metrics = metrics

    def get(self) -> None:
        """Answer with all metrics in the text format of Prometheus."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._metrics.render())


@contextlib.asynccontextmanager
async def serve_peers(
    address: str, port: int, jobs: service.JobService, metrics: telemetry.JobMetrics
) -> AsyncIterator[None]:
    """Serve peers inside the context."""
    application = tornado.web.Application(
        [
            (r"/metrics", _MetricsHandler, {"metrics": metrics}),
            (r"/v1/jobs/([0-9A-Za-z]+)", _JobHandler, {"jobs": jobs}),
            (r"/v1/images/(.+)", _ImageHandler, {"jobs": jobs}),
            (r"/(\d+)/commands/([^/]+)", _CommandHandler, {"jobs": jobs}),
            (r"/(\d+)/.*", _PeerRequestHandler, {"jobs": jobs}),
        ],
        log_function=lambda handler: None,
    )
    server = tornado.httpserver.HTTPServer(application)
    server.add_sockets(tornado.netutil.bind_sockets(port, address))
    try:
        yield
    finally:
        server.stop()
        await server.close_all_connections()
