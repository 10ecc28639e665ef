"""HTTP stand-in of the platform's hosts.

``GET /hosts`` answers the hosts with an ``Etag`` and with ``X-Observed-Ms``, the wall
time of the list; a request with ``If-None-Match`` is answered 304 while the hosts are
unchanged. ``POST /hosts/ID/drain`` and ``/reboot`` take ``operation_id``,
``fencing_offset`` and, for a reboot, ``pool``; they answer 200, or 409 when the action
is refused. ``GET /operations/ID/STEP`` answers ``state``. ``POST /hosts/ID/throttle``
and ``/checkpoint`` take ``request_id``.
``POST /tasks`` with ``task_id``, ``host_id`` and ``lease_s`` grants or renews a lease;
``GET /tasks`` lists the leases.

``POST /faults`` sets fault switches: ``down``, ``silent``, ``slow_ms``, ``lose_reply``
(a number or ``"all"``), ``list_lag_s``, ``drain_s``, ``reboot_s``, and ``fail`` or
``recover`` with any of ``hosts``, ``rack`` and ``data_centre``. ``GET /actions``
answers the history of actions by host.

If a host has a ``faults_port``, its target is notified of a drain and of the end of a
reboot: ``POST /faults`` with ``{"leaving": true}`` or ``false``.
"""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
from collections.abc import AsyncIterator
from typing import Any

import click
import pydantic
from tornado import httpclient, httpserver, netutil

from clementinespar import background, errors, http_servers
from clementinespar.platform import service
from standins import fake_platform

_SEEDS = pydantic.TypeAdapter(list[fake_platform.HostSeed])
_NOTICE_TIMEOUT_S = 2.0
_NOTICE_ATTEMPTS = 3


class TargetNotices:
    """Notifies targets whether their hosts are leaving."""

    _tasks: background.Tasks  # notices that are being sent

    def __init__(self) -> None:
        self._tasks = background.Tasks()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Send notices while the context is entered; end those in progress on exit."""
        try:
            yield
        finally:
            await self._tasks.end()

    def send(self, seed: fake_platform.HostSeed, is_leaving: bool) -> None:
        """Send a notice in the background if the host's target accepts one."""
        if seed.faults_port is None:
            return
        url = f"http://{seed.address}:{seed.faults_port}/faults"
        self._tasks.start(_post(url, {"leaving": is_leaving}))


async def _post(url: str, fields: dict[str, Any]) -> None:
    client = httpclient.AsyncHTTPClient()
    for _ in range(_NOTICE_ATTEMPTS):
        try:
            await client.fetch(
                url,
                method="POST",
                body=json.dumps(fields),
                request_timeout=_NOTICE_TIMEOUT_S,
            )
        except (OSError, httpclient.HTTPError):
            await asyncio.sleep(_NOTICE_TIMEOUT_S / 10)
        else:
            return


class _Handler(http_servers.Handler):
    platform: fake_platform.FakePlatform

    def initialize(self, platform: fake_platform.FakePlatform) -> None:
        self.platform = platform

    def reply(self, status: int, body: object) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))

    def log_exception(self, *args: Any) -> None:
        """Log no tracebacks of errors; `write_error` answers with them."""

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, errors.PlatformRefusedError):
            self.reply(409, {"message": error.message})
        elif isinstance(error, fake_platform.ReplyLostError):
            self.detach().close()
        elif isinstance(error, errors.PlatformUnavailableError):
            self.reply(503, {"message": error.message})
        elif isinstance(error, ValueError | TypeError | KeyError):
            self.reply(400, {"message": repr(error)})
        else:
            self.reply(status_code, {"message": repr(error)})

    def fields(self) -> dict[str, Any]:
        """Return the JSON object in the body, or raise ValueError."""
        value = json.loads(self.request.body)
        if not isinstance(value, dict):
            raise ValueError("expected a JSON object")
        return value


class _HostsHandler(_Handler):
    async def get(self) -> None:
        host_list = await self.platform.list_hosts()
        hosts = [dataclasses.asdict(host) for host in host_list.hosts_by_id.values()]
        self.set_header("X-Observed-Ms", str(host_list.observed_ms))
        # Tornado computes the Etag of the body and answers 304 if it is unchanged.
        self.reply(200, hosts)


class _ActionHandler(_Handler):
    async def post(self, host_id: str, step: str) -> None:
        fields = self.fields()
        if step == "throttle":
            await self.platform.throttle(host_id, str(fields["request_id"]))
        elif step == "checkpoint":
            await self.platform.checkpoint(host_id, str(fields["request_id"]))
        else:
            operation = service.Operation(
                str(fields["operation_id"]), int(fields["fencing_offset"])
            )
            if step == "drain":
                await self.platform.drain(host_id, operation)
            else:
                await self.platform.reboot(host_id, operation, str(fields["pool"]))
        self.reply(200, {})


class _StatusHandler(_Handler):
    async def get(self, operation_id: str, step: service.OperationStep) -> None:
        state = await self.platform.operation_status(operation_id, step)
        self.reply(200, {"state": state})


class _TasksHandler(_Handler):
    async def post(self) -> None:
        fields = self.fields()
        lease = await self.platform.lease_task(
            str(fields["task_id"]), str(fields["host_id"]), float(fields["lease_s"])
        )
        self.reply(200, dataclasses.asdict(lease))

    def get(self) -> None:
        leases = self.platform.leases_by_task_id.values()
        self.reply(200, {"tasks": [dataclasses.asdict(lease) for lease in leases]})


class _FaultsHandler(_Handler):
    def post(self) -> None:
        set_faults(self.platform, self.fields())
        self.get()

    def get(self) -> None:
        faults = self.platform.faults
        self.reply(
            200,
            {
                "down": faults.down,
                "silent": faults.silent,
                "slow_ms": faults.slow_ms,
                "lose_reply": faults.lose_replies,
                "list_lag_s": faults.list_lag_s,
                "drain_s": self.platform.drain_s,
                "reboot_s": self.platform.reboot_s,
                "failed": sorted(self.platform.failed_host_ids),
            },
        )


class _ActionsHandler(_Handler):
    def get(self) -> None:
        by_host: dict[str, list[dict[str, Any]]] = {}
        for action in self.platform.actions:
            by_host.setdefault(action.host_id, []).append(dataclasses.asdict(action))
        self.reply(200, {"actions": by_host, "pools": self.platform.pool_by_host_id})


def set_faults(platform: fake_platform.FakePlatform, switches: dict[str, Any]) -> None:
    """Set the given switches; the others keep their values.

    Raises
    ------
    ValueError, TypeError, KeyError
        A switch or host is unknown or has a value of the wrong type.
    """
    for name, value in switches.items():
        match name:
            case "down":
                platform.faults.down = bool(value)
            case "silent":
                platform.faults.silent = bool(value)
            case "slow_ms":
                platform.faults.slow_ms = float(value)
            case "lose_reply":
                count = fake_platform.ALL if value == "all" else int(value)
                platform.faults.lose_replies = count
            case "list_lag_s":
                platform.faults.list_lag_s = float(value)
            case "drain_s":
                platform.drain_s = float(value)
            case "reboot_s":
                platform.reboot_s = float(value)
            case "fail":
                platform.fail(_select_host_ids(platform, value))
            case "recover":
                platform.recover(_select_host_ids(platform, value))
            case _:
                raise ValueError(f"unknown fault switch {name}")


def _select_host_ids(
    platform: fake_platform.FakePlatform, selection: dict[str, Any]
) -> list[str]:
    """Return the ids of the hosts in a selection; none if it is empty."""
    host_ids = [str(host_id) for host_id in selection.get("hosts", ())]
    data_centre, rack = selection.get("data_centre"), selection.get("rack")
    if data_centre is not None or rack is not None:
        host_ids += platform.host_ids_in(data_centre, rack)
    return host_ids


def make_application(platform: fake_platform.FakePlatform) -> http_servers.Application:
    """Return the HTTP application that serves a platform."""
    arguments = {"platform": platform}
    return http_servers.Application(
        [
            (r"/hosts", _HostsHandler, arguments),
            (
                r"/hosts/([^/]+)/(drain|reboot|throttle|checkpoint)",
                _ActionHandler,
                arguments,
            ),
            (r"/operations/([^/]+)/(drain|reboot)", _StatusHandler, arguments),
            (r"/tasks", _TasksHandler, arguments),
            (r"/faults", _FaultsHandler, arguments),
            (r"/actions", _ActionsHandler, arguments),
        ],
        compress_response=True,
    )


@contextlib.asynccontextmanager
async def serving(
    platform: fake_platform.FakePlatform, address: str, port: int
) -> AsyncIterator[int]:
    """Serve a platform while the context is entered; yield its port."""
    application = make_application(platform)
    server = httpserver.HTTPServer(application, idle_connection_timeout=600)
    sockets = netutil.bind_sockets(port, address)
    async with http_servers.serving(server, application, sockets):
        yield sockets[0].getsockname()[1]


@click.command()
@click.option(
    "--port", type=int, default=0, help="TCP port; 0 for one that the system chooses."
)
@click.option("--address", default="127.0.0.1", help="IP address to listen on.")
@click.option(
    "--hosts",
    type=click.Path(exists=True, path_type=pathlib.Path),
    required=True,
    help="JSON list of hosts: host_id, data_centre, rack, pool, address, port.",
)
@click.option("--drain-s", type=float, default=5.0, help="Duration of a drain.")
@click.option("--reboot-s", type=float, default=20.0, help="Duration of a reboot.")
@click.option("--list-lag-s", type=float, default=1.0, help="Age of the host list.")
def main(
    port: int,
    address: str,
    hosts: pathlib.Path,
    drain_s: float,
    reboot_s: float,
    list_lag_s: float,
) -> None:
    """Serve hosts over HTTP and print the port as one JSON line."""
    seeds = _SEEDS.validate_json(hosts.read_bytes())

    async def serve() -> None:
        notices = TargetNotices()
        platform = fake_platform.FakePlatform(
            seeds, drain_s=drain_s, reboot_s=reboot_s, on_leaving=notices.send
        )
        platform.faults.list_lag_s = list_lag_s
        async with (
            notices.running(),
            serving(platform, address, port) as actual_port,
        ):
            print(json.dumps({"port": actual_port}), flush=True)
            await asyncio.Event().wait()

    try:
        asyncio.run(serve())
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
