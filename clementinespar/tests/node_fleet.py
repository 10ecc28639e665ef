"""Small fleet in one process: stand-ins and nodes over loopback sockets."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import sys
import tempfile
from collections.abc import AsyncIterator, Callable
from typing import Any

from tornado import httpclient

from clementinespar import node as entry_node
from clementinespar import options
from standins import fake_log, fake_platform, log_service, platform, target

DOCUMENT: dict[str, Any] = {
    "user": "test",
    "hosts": {
        f"h{i}{side}": {"data_centre": f"dc{side}", "rack": f"r{side}"}
        for i in range(6)
        for side in (1, 2)
    },
    # One pool per service, because the services of a pool have the same owner.
    "pools": {
        f"p{i}": {
            "host_ids": [f"h{i}1", f"h{i}2"],
            "budget": {
                "min_available": 1,
                "max_out_per_rack": 1,
                "max_out_per_data_centre": 1,
            },
        }
        for i in range(6)
    },
    "services": {
        f"service-{i}": {
            "pool": f"p{i}",
            "kinds": {"read": {"repeatable": True}, "order": {"repeatable": False}},
        }
        for i in range(6)
    },
    "maintenance": {"survive": "none", "paused": True},
}


@dataclasses.dataclass
class NodeProcess:
    """A node in a process of its own."""

    child: asyncio.subprocess.Process
    line: dict[str, Any]  # JSON that it printed when it was ready


class Fleet:
    """Stand-ins of the log, the platform and targets, and the nodes on them."""

    log: fake_log.FakeLog
    targets: list[target.TargetState]
    _log_port: int
    _platform_port: int
    _client: httpclient.AsyncHTTPClient

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["Fleet"]:
        """Run the stand-ins while the context is entered."""
        self._client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=100)
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._client.close)
            self.log = fake_log.FakeLog()
            self._log_port = await stack.enter_async_context(
                log_service.serving(self.log, "127.0.0.1", 0)
            )
            self.targets = [
                target.TargetState(host_id) for host_id in DOCUMENT["hosts"]
            ]
            seeds = [
                fake_platform.HostSeed(
                    state.host_id,
                    f"dc{state.host_id[2]}",
                    f"r{state.host_id[2]}",
                    f"p{state.host_id[1]}",
                    port=await stack.enter_async_context(target.serve(state)),
                )
                for state in self.targets
            ]
            hosts = fake_platform.FakePlatform(seeds)
            hosts.faults.list_lag_s = 0.0
            self._platform_port = await stack.enter_async_context(
                platform.serving(hosts, "127.0.0.1", 0)
            )
            yield self

    def settings(
        self, name: str, seeds: tuple[str, ...] = (), stop_limit_s: float = 30.0
    ) -> options.Settings:
        """Return the settings of a node; the system chooses its ports."""
        return options.Settings(
            node=options.NodeSettings(name, "dc1", stop_limit_s=stop_limit_s),
            callers=options.CallersSettings("127.0.0.1", 0),
            admin=options.AdminSettings("127.0.0.1", 0),
            peers=options.PeersSettings(
                "127.0.0.1", 0, seeds=seeds, heartbeat_interval_s=0.1
            ),
            log=options.LogSettings(f"http://127.0.0.1:{self._log_port}"),
            platform=options.PlatformSettings(
                f"http://127.0.0.1:{self._platform_port}", poll_interval_s=0.2
            ),
        )

    @contextlib.asynccontextmanager
    async def node(
        self, name: str, *seeds: entry_node.Node, stop_limit_s: float = 30.0
    ) -> AsyncIterator[entry_node.Node]:
        """Run a node with other nodes as seeds, without waiting until it is ready."""
        endpoints = tuple(f"127.0.0.1:{seed.ports['peers']}" for seed in seeds)
        node = entry_node.Node(self.settings(name, endpoints, stop_limit_s))
        async with node.running():
            yield node
            node.request_stop()

    @contextlib.asynccontextmanager
    async def process(
        self, name: str, *seeds: entry_node.Node, stop_limit_s: float = 30.0
    ) -> AsyncIterator[NodeProcess]:
        """Run a node in its own process and wait until its seeds see it as ready."""
        endpoints = ", ".join(f"127.0.0.1:{seed.ports['peers']}" for seed in seeds)
        settings = self.settings(name)
        with tempfile.TemporaryDirectory() as directory:
            ini = pathlib.Path(directory) / "node.ini"
            ini.write_text(
                f"[node]\nname = {name}\ndata_centre = dc1\n"
                f"stop_limit_s = {stop_limit_s}\n"
                "[callers]\naddress = 127.0.0.1\nport = 0\n"
                "[admin]\naddress = 127.0.0.1\nport = 0\n"
                "[peers]\naddress = 127.0.0.1\nport = 0\nheartbeat_interval_s = 0.1\n"
                f"seeds = {endpoints}\n"
                f"[log]\nurl = {settings.log.url}\n"
                f"[platform]\nurl = {settings.platform.url}\n"
            )
            child = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "clementinespar", "node", "--settings"),
                str(ini),
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE,
            )
            assert child.stdout is not None
            try:
                line = json.loads(await child.stdout.readline())
                await self.wait_until(lambda: all(_sees(seed, name) for seed in seeds))
                yield NodeProcess(child, line)
            finally:
                if child.returncode is None:
                    child.kill()
                    await child.wait()

    @contextlib.asynccontextmanager
    async def nodes(self, count: int) -> AsyncIterator[list[entry_node.Node]]:
        """Run nodes that are ready, know each other and have the document in force."""
        async with contextlib.AsyncExitStack() as stack:
            nodes: list[entry_node.Node] = []
            for i in range(count):
                nodes.append(
                    await stack.enter_async_context(self.node(f"n{i}", *nodes[:1]))
                )
            for node in nodes:
                assert await node.wait_ready()
            await self.wait_until(
                lambda: all(
                    len(node.peers.members.live_peers()) == count - 1 for node in nodes
                )
            )
            reply = await self.publish(nodes[0], "production", 0)
            assert reply["code"] == 0, reply
            await self.wait_until(
                lambda: all(
                    [c.node for c in node.peers.candidates("service-0")]
                    == [c.node for c in nodes[0].peers.candidates("service-0")]
                    and len(node.peers.candidates("service-0")) == count
                    for node in nodes
                )
            )
            yield nodes

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition; the timeout keeps a failing test from hanging."""
        async with asyncio.timeout(30):
            while not condition():
                await asyncio.sleep(0.01)

    async def admin(
        self, node: entry_node.Node, path: str, body: object = None
    ) -> tuple[int, dict[str, Any]]:
        """Call the admin port of a node, with POST if there is a body."""
        response = await self._client.fetch(
            f"http://127.0.0.1:{node.ports['admin']}{path}",
            method="GET" if body is None else "POST",
            body=None if body is None else json.dumps(body),
            raise_error=False,
        )
        return response.code, json.loads(response.body)

    async def publish(
        self,
        node: entry_node.Node,
        environment: str,
        replaces: int,
        author: str = "op",
    ) -> dict[str, Any]:
        """Publish `DOCUMENT` in an environment and return the reply."""
        body = {"replaces": replaces, "author": author, "document": DOCUMENT}
        return (await self.admin(node, f"/v1/documents/{environment}", body))[1]

    async def request(
        self,
        node: entry_node.Node,
        service: str,
        kind: str = "read",
        run_ms: float = 5,
        request_id: str | None = None,
        port: int | None = None,
    ) -> httpclient.HTTPResponse:
        """Send a caller's request; ``port`` overrides the callers' port of ``node``."""
        headers = {} if request_id is None else {"X-Request-Id": request_id}
        port = node.ports["callers"] if port is None else port
        return await self._client.fetch(
            f"http://127.0.0.1:{port}/v1/{service}/{kind}",
            method="POST",
            body=json.dumps({"run_ms": run_ms}),
            headers=headers,
            raise_error=False,
            request_timeout=60,
        )


def _sees(node: entry_node.Node, name: str) -> bool:
    """Return whether a node sees another one as live and ready."""
    return any(
        peer.name == name and peer.report.is_ready
        for peer in node.peers.members.live_peers()
    )
