"""Nodes of the product as processes of their own."""

import asyncio
import contextlib
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator

from clementinespar_adapter import standin
from soak import proxy

ROOT = pathlib.Path(__file__).resolve().parent.parent
STOP_LIMIT_S = 3

_SETTINGS = """[node]
name = node-{number}
data_centre = z
address = 127.0.0.1
callers = 127.0.0.1:{callers}
readiness = 127.0.0.1:{readiness}
first_internal_port = {internal}
stop_limit_s = {stop_limit}
[store]
address = 127.0.0.1:{store}
[hosts]
address = 127.0.0.1:{hosts}
[jobs]
lease_max_ms = 6000
"""


# Ports of a node are free while it is down. Linux gives out those from 32,768 on to
# proxies and outgoing connections. Each process of the soak has a block of its own.
FIRST_PORT = 12_000
PORT_BLOCK = 200
PORT_BLOCKS = 100
_ports = itertools.count(FIRST_PORT + os.getpid() % PORT_BLOCKS * PORT_BLOCK)


def find_ports(count: int) -> list[int]:
    """Return free ports of the loopback address, other ones with each call."""
    found: list[int] = []
    while len(found) < count:
        port = next(_ports)
        with contextlib.suppress(OSError), socket.socket() as bound:
            bound.bind(("127.0.0.1", port))
            found.append(port)
    return found


class Node:
    """One node: its settings, its proxies to the store and the hosts, its process."""

    callers: str  # ``IP:port`` for callers
    internal: str  # ``IP:port`` for other nodes, which the name of a member begins with
    store_proxy: proxy.Proxy
    hosts_proxy: proxy.Proxy  # to the list of hosts
    links_by_target: dict[str, proxy.Proxy]  # by ``IP:port`` of a worker or node
    process: subprocess.Popen[bytes] | None

    def __init__(
        self,
        number: int,
        folder: pathlib.Path,
        store_proxy: proxy.Proxy,
        hosts_proxy: proxy.Proxy,
    ) -> None:
        ports = find_ports(3)
        self.callers = f"127.0.0.1:{ports[0]}"
        self.internal = f"127.0.0.1:{ports[2]}"
        self.store_proxy = store_proxy
        self.hosts_proxy = hosts_proxy
        self.links_by_target = {}
        self.process = None
        self._log = folder / f"node-{number}.log"
        self._settings = folder / f"node-{number}.ini"
        self._settings.write_text(
            _SETTINGS.format(
                number=number,
                callers=ports[0],
                readiness=ports[1],
                internal=ports[2],
                store=store_proxy.port,
                hosts=hosts_proxy.port,
                stop_limit=STOP_LIMIT_S,
            )
        )

    def set_platform_mode(self, mode: proxy.Mode) -> None:
        """Apply a mode to the connections to the store and the list of hosts."""
        self.store_proxy.set_mode(mode)
        self.hosts_proxy.set_mode(mode)

    def start(self) -> None:
        """Start the process unless it is running."""
        if self.process is not None and self.process.poll() is None:
            return
        with self._log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "platform/serve.py"],
                cwd=ROOT,
                env={**os.environ, "CLEMENTINESPAR_NODE_FILE": str(self._settings)},
                stdout=output,
                stderr=output,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@contextlib.asynccontextmanager
async def run_nodes(
    count: int, folder: pathlib.Path, store: str, platform: standin.Platform
) -> AsyncIterator[list[Node]]:
    """Run nodes inside the context; kill their processes at the end.

    Each node reaches each worker and each other node through a proxy of its own.
    """
    async with contextlib.AsyncExitStack() as stack:
        nodes = []
        for number in range(count):
            store_proxy = await stack.enter_async_context(proxy.open_proxy(store))
            hosts_proxy = await stack.enter_async_context(proxy.open_proxy(store))
            nodes.append(Node(number, folder, store_proxy, hosts_proxy))
        for node in nodes:
            caller = f"127.0.0.1:{node.store_proxy.port}"
            targets = [f"127.0.0.1:{port}" for port in platform.workers_by_port]
            targets += [other.internal for other in nodes if other is not node]
            for target in targets:
                link = await stack.enter_async_context(proxy.open_proxy(target))
                node.links_by_target[target] = link
                platform.addresses.replace(caller, target, f"127.0.0.1:{link.port}")
        try:
            for node in nodes:
                node.start()
            yield nodes
        finally:
            for node in nodes:
                node.signal(signal.SIGKILL)
                if node.process is not None:
                    await asyncio.to_thread(node.process.wait)
