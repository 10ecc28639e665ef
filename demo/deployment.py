"""One user's deployment: stand-ins of the log and platform, targets and entry nodes."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import socket
import sys
from collections.abc import AsyncIterator

from tornado import httpclient

from clementinespar.commands import client
from clementinespar.documents import model
from clementinespar.documents import state as documents_state
from demo import processes

_ADDRESS = "127.0.0.1"
_READY_LIMIT_S = 30.0
_POLL_S = 0.1
# Drains and reboots take minutes on real hosts; short ones keep the demo short.
_PLATFORM_TIMES = ("--drain-s", "1", "--reboot-s", "1.5", "--list-lag-s", "0.5")


class CommandFailedError(Exception):
    """A command of the program exited with a status other than 0."""


@dataclasses.dataclass(slots=True)
class Node:
    """An entry node."""

    name: str
    data_centre: str
    caller_port: int
    admin_port: int
    peer_port: int
    process: processes.Process | None = None
    is_ready: bool = False  # result of the last readiness check
    was_killed: bool = False  # by SIGKILL, which breaks its connections

    @property
    def admin(self) -> str:
        """``IP:port`` of the admin port."""
        return f"{_ADDRESS}:{self.admin_port}"

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{_ADDRESS}:{self.caller_port}"


@dataclasses.dataclass(slots=True)
class Deployment:
    """Processes of one user's deployment, and a client of its nodes."""

    name: str
    program: pathlib.Path
    directory: pathlib.Path
    group: processes.ProcessGroup
    admin: client.AdminClient
    nodes: list[Node] = dataclasses.field(default_factory=list)
    targets_by_host: dict[str, processes.Process] = dataclasses.field(
        default_factory=dict
    )
    log_service: processes.Process | None = None
    platform: processes.Process | None = None

    @property
    def live_nodes(self) -> list[Node]:
        """Nodes whose process is running."""
        return [n for n in self.nodes if n.process is not None and n.process.is_running]

    async def run_command(self, *arguments: str) -> dict[str, object]:
        """Run a command of the program against the live nodes and return its JSON.

        Raises
        ------
        CommandFailedError
            The exit status is not 0.
        """
        nodes = [part for n in self.live_nodes for part in ("--node", n.admin)]
        child = await asyncio.create_subprocess_exec(
            *(sys.executable, str(self.program), *arguments, *nodes, "--json"),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, **self.group.environment},
        )
        try:
            stdout, stderr = await child.communicate()
        except asyncio.CancelledError:
            child.kill()
            await child.wait()
            raise
        if child.returncode != 0:
            raise CommandFailedError(
                f"{' '.join(arguments)}: exit status {child.returncode}: "
                f"{stderr.decode().strip()} {stdout.decode().strip()}"
            )
        values = json.loads(stdout)
        assert isinstance(values, dict)
        return values

    async def get(self, node: Node, path: str) -> client.Reply | None:
        """Send a GET request to a node's admin port; None if it does not reply."""
        reply = await self.admin.call(node.admin, "GET", path)
        return reply if isinstance(reply, client.Reply) else None

    async def fail_host(self, host_id: str) -> None:
        """Make the platform stand-in mark a host as failed in its host list."""
        assert self.platform is not None
        url = f"http://{_ADDRESS}:{self.platform.first_line['port']}/faults"
        body = json.dumps({"fail": {"hosts": [host_id]}})
        await httpclient.AsyncHTTPClient().fetch(url, method="POST", body=body)

    async def watch_readiness(self) -> None:
        """Poll the readiness of all nodes until cancelled, as a load balancer does."""
        while True:
            for node in self.nodes:
                node.is_ready = await self._is_ready(node)
            await asyncio.sleep(_POLL_S)

    async def _is_ready(self, node: Node) -> bool:
        if node.process is None or not node.process.is_running:
            return False
        reply = await self.admin.call(node.admin, "GET", "/readyz")
        return isinstance(reply, client.Reply) and reply.status == 200

    async def wait_ready(self) -> None:
        """Wait until all nodes are ready.

        Raises
        ------
        processes.StartError
            A node ended, or is not ready in time.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + _READY_LIMIT_S
        for node in self.nodes:
            assert node.process is not None
            while not await self._is_ready(node):
                if not node.process.is_running or loop.time() > until:
                    raise processes.StartError(
                        f"{node.name} ended or is not ready in time\n"
                        f"{node.process.log_tail()}"
                    )
                await asyncio.sleep(_POLL_S)


@contextlib.asynccontextmanager
async def start(
    name: str,
    program: pathlib.Path,
    directory: pathlib.Path,
    document: model.Document,
) -> AsyncIterator[Deployment]:
    """Start a deployment, yield it when its nodes are ready, and end it on exit."""
    directory.mkdir()
    environment = {"SHIV_ROOT": str(directory.parent / "shiv")}
    async with processes.group(directory, environment) as group:
        with client.connect([], timeout_s=5.0) as admin:
            deployment = Deployment(name, program, directory, group, admin)
            await _start_platform(deployment, document)
            await _start_nodes(deployment, document)
            await deployment.wait_ready()
            yield deployment


async def _start_platform(deployment: Deployment, document: model.Document) -> None:
    """Start the targets and the stand-ins of the log and of the platform."""
    group = deployment.group
    listen = ("--address", _ADDRESS, "--port", "0")
    async with asyncio.TaskGroup() as tasks:
        log_task = tasks.create_task(
            group.start_module("log", "standins.log_service", *listen)
        )
        target_tasks = {
            host_id: tasks.create_task(
                group.start_module(
                    f"target-{host_id}",
                    "standins.target",
                    *listen,
                    "--host-id",
                    host_id,
                )
            )
            for host_id in document.hosts
        }
    deployment.log_service = log_task.result()
    home_by_host = documents_state.home_pool_by_host(document)
    hosts = []
    for host_id, task in target_tasks.items():
        deployment.targets_by_host[host_id] = task.result()
        host = document.hosts[host_id]
        port = task.result().first_line["port"]
        hosts.append(
            {
                "host_id": host_id,
                "data_centre": host.data_centre,
                "rack": host.rack,
                "pool": home_by_host[host_id],
                "address": _ADDRESS,
                "port": port,
                "faults_port": port,
            }
        )
    hosts_path = deployment.directory / "hosts.json"
    hosts_path.write_text(json.dumps(hosts))
    deployment.platform = await group.start_module(
        "platform",
        "standins.platform",
        *(*listen, "--hosts", str(hosts_path), *_PLATFORM_TIMES),
    )
    await _write_settings(deployment, document, deployment.platform)


async def _write_settings(
    deployment: Deployment, document: model.Document, platform: processes.Process
) -> None:
    """Write the settings of three nodes, spread over the first two data centres."""
    assert deployment.log_service is not None
    data_centres = sorted({host.data_centre for host in document.hosts.values()})
    ports = free_ports(9)
    for i in range(3):
        callers, admin, peers = ports[3 * i : 3 * i + 3]
        deployment.nodes.append(
            Node(f"entry-{i + 1}", data_centres[i % 2], callers, admin, peers)
        )
    seeds = ", ".join(f"{_ADDRESS}:{node.peer_port}" for node in deployment.nodes)
    for node in deployment.nodes:
        _settings_path(deployment, node).write_text(
            f"""\
[node]
name = {node.name}
data_centre = {node.data_centre}

[callers]
address = {_ADDRESS}
port = {node.caller_port}

[admin]
address = {_ADDRESS}
port = {node.admin_port}

[peers]
address = {_ADDRESS}
port = {node.peer_port}
seeds = {seeds}

[log]
url = http://{_ADDRESS}:{deployment.log_service.first_line["port"]}

[platform]
url = http://{_ADDRESS}:{platform.first_line["port"]}
"""
        )


async def _start_nodes(deployment: Deployment, document: model.Document) -> None:
    for node in deployment.nodes:
        settings = str(_settings_path(deployment, node))
        node.process = await deployment.group.start(
            node.name,
            (sys.executable, str(deployment.program), "node", "--settings", settings),
            prints_line=False,
        )


def _settings_path(deployment: Deployment, node: Node) -> pathlib.Path:
    return deployment.directory / f"{node.name}.ini"


def free_ports(count: int) -> list[int]:
    """Return free ports; all are bound before any is closed, so that they differ."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            listener = stack.enter_context(socket.socket())
            listener.bind((_ADDRESS, 0))
            ports.append(listener.getsockname()[1])
    return ports
