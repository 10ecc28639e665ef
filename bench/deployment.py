"""Entry nodes and stand-ins as separate processes, for benchmarks."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import sys
import tempfile
from collections.abc import AsyncIterator, Mapping

import pydantic

from clementinespar.commands import client
from clementinespar.documents import model
from clementinespar.documents import state as documents_state
from demo import deployment as demo_deployment
from demo import processes as demo_processes

ADDRESS = "127.0.0.1"
_UNUSED_PORT = 9  # port of targets that receive no requests and so need no process
_DOCUMENT = pydantic.TypeAdapter(model.Document)


@dataclasses.dataclass(slots=True)
class Node:
    """An entry node process."""

    name: str
    caller_port: int
    admin_port: int
    peer_port: int
    process: demo_processes.Process

    @property
    def pid(self) -> int:
        """Process id of the node."""
        return self.process.child.pid

    @property
    def admin(self) -> str:
        """``IP:port`` of the admin port."""
        return f"{ADDRESS}:{self.admin_port}"


@dataclasses.dataclass(slots=True)
class Deployment:
    """Nodes with the stand-ins of the log and of the platform."""

    nodes: list[Node]
    log_port: int
    platform_port: int
    admin: client.AdminClient
    log_process: demo_processes.Process

    @property
    def use_by_port(self) -> dict[int, str]:
        """Use of each listening port: log, platform, peers or admin."""
        uses = {self.log_port: "log", self.platform_port: "platform"}
        uses |= {node.peer_port: "peers" for node in self.nodes}
        return uses | {node.admin_port: "admin" for node in self.nodes}

    async def publish(
        self, environment: str, document: model.Document, replaces: int
    ) -> Mapping[str, object]:
        """Publish a document through the first node and return the reply."""
        body = {
            "replaces": replaces,
            "author": "bench",
            "document": _DOCUMENT.dump_python(document, mode="json"),
        }
        path = f"/v1/documents/{environment}"
        return await self._post(path, body)

    async def promote(self, trial_revision: int, replaces: int) -> Mapping[str, object]:
        """Promote the trial document and return the reply."""
        body = {
            "trial_revision": trial_revision,
            "replaces": replaces,
            "author": "bench",
        }
        return await self._post("/v1/promotions", body)

    async def _post(self, path: str, body: client.Json) -> Mapping[str, object]:
        reply = await self.admin.call(self.nodes[0].admin, "POST", path, body=body)
        if isinstance(reply, client.NoReply) or not reply.is_done:
            raise RuntimeError(f"POST {path}: {reply}")
        return reply.values


async def put_in_force(deployment: Deployment, document: model.Document) -> None:
    """Publish the first document on trial and promote it to production."""
    trial = await deployment.publish("trial", document, 0)
    revision = trial["revision"]
    assert isinstance(revision, int)
    await deployment.promote(revision, 0)


@contextlib.asynccontextmanager
async def running(
    document: model.Document,
    node_count: int,
    target_port_by_host_id: Mapping[str, int] | None = None,
) -> AsyncIterator[Deployment]:
    """Run entry nodes from the source tree, and stand-ins, until the context exits."""
    with tempfile.TemporaryDirectory(prefix="clementinespar-bench-") as name:
        directory = pathlib.Path(name)
        async with demo_processes.group(directory, {}) as group:
            yield await _start(
                group, directory, document, node_count, target_port_by_host_id or {}
            )


async def _start(
    group: demo_processes.ProcessGroup,
    directory: pathlib.Path,
    document: model.Document,
    node_count: int,
    target_port_by_host_id: Mapping[str, int],
) -> Deployment:
    listen = ("--address", ADDRESS, "--port", "0")
    log = await group.start_module("log", "standins.log_service", *listen)
    home_pool_by_host = documents_state.home_pool_by_host(document)
    hosts = [
        {
            "host_id": host_id,
            "data_centre": host.data_centre,
            "rack": host.rack,
            "pool": home_pool_by_host[host_id],
            "address": ADDRESS,
            "port": target_port_by_host_id.get(host_id, _UNUSED_PORT),
        }
        for host_id, host in document.hosts.items()
    ]
    hosts_path = directory / "hosts.json"
    hosts_path.write_text(json.dumps(hosts), encoding="utf-8")
    platform = await group.start_module(
        "platform", "standins.platform", *listen, "--hosts", str(hosts_path)
    )
    ports = demo_deployment.free_ports(3 * node_count)
    seeds = ", ".join(f"{ADDRESS}:{port}" for port in ports[2::3][:3])
    nodes = []
    for index in range(node_count):
        caller, admin, peer = ports[3 * index : 3 * index + 3]
        settings = directory / f"node-{index}.ini"
        settings.write_text(
            f"[node]\nname = node-{index}\ndata_centre = dc-{index % 6}\n"
            f"[callers]\naddress = {ADDRESS}\nport = {caller}\n"
            f"[admin]\naddress = {ADDRESS}\nport = {admin}\n"
            f"[peers]\naddress = {ADDRESS}\nport = {peer}\nseeds = {seeds}\n"
            f"[log]\nurl = http://{ADDRESS}:{log.first_line['port']}\n"
            f"[platform]\nurl = http://{ADDRESS}:{platform.first_line['port']}\n",
            encoding="utf-8",
        )
        process = await group.start(
            f"node-{index}",
            (
                sys.executable,
                "-m",
                "clementinespar",
                "node",
                "--settings",
                str(settings),
            ),
            prints_line=False,
        )
        nodes.append(Node(f"node-{index}", caller, admin, peer, process))
    deployment = Deployment(
        nodes,
        log.first_line["port"],
        platform.first_line["port"],
        client.AdminClient([node.admin for node in nodes], timeout_s=10.0),
        log,
    )
    for node in nodes:
        await _wait_ready(deployment, node)
    return deployment


async def _wait_ready(deployment: Deployment, node: Node) -> None:
    async with asyncio.timeout(60.0):
        while True:
            reply = await deployment.admin.call(node.admin, "GET", "/readyz")
            if isinstance(reply, client.Reply) and reply.status == 200:
                return
            if not node.process.is_running:
                raise RuntimeError(node.process.log_tail())
            await asyncio.sleep(0.1)
