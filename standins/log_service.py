"""HTTP stand-in of the platform's append-only log.

``POST /append`` takes a JSON list of payloads, each a text or ``{"base64": text}``, and
answers ``{"first_offset": n}``. ``GET /read?offset=&limit=&wait_s=`` answers with
``entries``, ``first_offset`` and ``end_offset``, or 410 with ``first_offset`` when the
offset has expired. ``POST /faults`` sets fault switches: ``down``, ``silent``,
``slow_ms``, ``late_ms``, ``lose_reply`` (a number or ``"all"``), ``retention``
(``{"entries": n, "age_ms": n}``) and ``max_appends_per_s``; it answers with all
switches.
"""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import click
from tornado import httpserver, netutil

from clementinespar import errors, http_servers
from clementinespar.log import http as log_http
from standins import fake_log

_MAX_BODY_BYTES = 16 * 1024 * 1024
_MAX_READ_ENTRIES = 1_000
_MAX_WAIT_S = 30.0


class _Handler(http_servers.Handler):
    log: fake_log.FakeLog

    def initialize(self, log: fake_log.FakeLog) -> None:
        self.log = log

    def reply(self, status: int, body: object) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))


class _AppendHandler(_Handler):
    async def post(self) -> None:
        try:
            values = json.loads(self.request.body)
            if not isinstance(values, list) or not values:
                raise ValueError("expected a list of payloads that is not empty")
            payloads = [log_http.decode_payload(value) for value in values]
        except ValueError as error:
            self.reply(400, {"message": str(error)})
            return
        try:
            first_offset = await self.log.append(payloads)
        except errors.LogReplyLostError:
            self.detach().close()
        except errors.LogUnavailableError as error:
            self.reply(503, {"message": error.message})
        else:
            self.reply(200, {"first_offset": first_offset})


class _ReadHandler(_Handler):
    async def get(self) -> None:
        try:
            offset = max(0, int(self.get_query_argument("offset")))
            limit = int(self.get_query_argument("limit", "100"))
            wait_s = float(self.get_query_argument("wait_s", "0"))
        except ValueError as error:
            self.reply(400, {"message": str(error)})
            return
        try:
            page = await self.log.read(
                offset,
                min(max(limit, 1), _MAX_READ_ENTRIES),
                min(max(wait_s, 0.0), _MAX_WAIT_S),
            )
        except errors.LogRecordsExpiredError as error:
            self.reply(410, {"first_offset": error.first_offset})
        except errors.LogUnavailableError as error:
            self.reply(503, {"message": error.message})
        else:
            self.reply(
                200,
                {
                    "entries": [
                        {
                            "offset": entry.offset,
                            "timestamp_ms": entry.timestamp_ms,
                            "payload": log_http.encode_payload(entry.payload),
                        }
                        for entry in page.entries
                    ],
                    "first_offset": page.first_offset,
                    "end_offset": page.end_offset,
                },
            )


class _FaultsHandler(_Handler):
    def post(self) -> None:
        try:
            switches = json.loads(self.request.body)
            set_faults(self.log, switches)
        except (ValueError, TypeError, AttributeError) as error:
            self.reply(400, {"message": str(error)})
            return
        self.get()

    def get(self) -> None:
        faults = self.log.faults
        self.reply(
            200,
            {
                "down": faults.down,
                "silent": faults.silent,
                "slow_ms": faults.slow_ms,
                "late_ms": faults.late_ms,
                "lose_reply": faults.lose_replies,
                "retention": {
                    "entries": self.log.retention_entries,
                    "age_ms": self.log.retention_ms,
                },
                "max_appends_per_s": self.log.max_appends_per_s,
                "append_count": self.log.append_count,
                "read_count": self.log.read_count,
            },
        )


def set_faults(log: fake_log.FakeLog, switches: dict[str, Any]) -> None:
    """Set the given switches; the others keep their values.

    Raises
    ------
    ValueError, TypeError
        A switch is unknown or has a value of the wrong type.
    """
    for name, value in switches.items():
        match name:
            case "down":
                log.faults.down = bool(value)
            case "silent":
                log.faults.silent = bool(value)
            case "slow_ms":
                log.faults.slow_ms = float(value)
            case "late_ms":
                log.faults.late_ms = float(value)
            case "lose_reply":
                count = fake_log.ALL if value == "all" else int(value)
                log.faults.lose_replies = count
            case "retention":
                entries, age_ms = value.get("entries"), value.get("age_ms")
                log.retention_entries = None if entries is None else int(entries)
                log.retention_ms = None if age_ms is None else int(age_ms)
            case "max_appends_per_s":
                log.max_appends_per_s = None if value is None else float(value)
            case _:
                raise ValueError(f"unknown fault switch {name}")


def make_application(log: fake_log.FakeLog) -> http_servers.Application:
    """Return the HTTP application that serves a log."""
    arguments = {"log": log}
    return http_servers.Application(
        [
            (r"/append", _AppendHandler, arguments),
            (r"/read", _ReadHandler, arguments),
            (r"/faults", _FaultsHandler, arguments),
        ],
    )


@contextlib.asynccontextmanager
async def serving(log: fake_log.FakeLog, address: str, port: int) -> AsyncIterator[int]:
    """Serve a log while the context is entered; yield its port."""
    log.faults.client_timeout_s = None
    application = make_application(log)
    server = httpserver.HTTPServer(
        application,
        max_body_size=_MAX_BODY_BYTES,
        idle_connection_timeout=600,
    )
    sockets = netutil.bind_sockets(port, address)
    async with http_servers.serving(server, application, sockets):
        yield sockets[0].getsockname()[1]


@click.command()
@click.option(
    "--port", type=int, default=0, help="TCP port; 0 for one that the system chooses."
)
@click.option("--address", default="127.0.0.1", help="IP address to listen on.")
@click.option("--retention-entries", type=int, help="Number of newest entries to keep.")
@click.option(
    "--retention-ms", type=int, help="Age up to which entries are kept, in ms."
)
@click.option(
    "--max-appends-per-s", type=float, help="Rate above which appends are refused."
)
def main(
    port: int,
    address: str,
    retention_entries: int | None,
    retention_ms: int | None,
    max_appends_per_s: float | None,
) -> None:
    """Serve a log over HTTP and print the port as one JSON line."""

    async def serve() -> None:
        log = fake_log.FakeLog(
            retention_entries=retention_entries,
            retention_ms=retention_ms,
            max_appends_per_s=max_appends_per_s,
        )
        async with serving(log, address, port) as actual_port:
            print(json.dumps({"port": actual_port}), flush=True)
            await asyncio.Event().wait()

    try:
        asyncio.run(serve())
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
