"""Faults from outside the processes, decided by the seed."""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from clementinespar_adapter import standin
from soak import fleet, proxy

GAP_S = (0.1, 1.6)  # between the beginnings of two faults; they overlap
LENGTH_S = (0.3, 4.0)


class Injector:
    """Begins faults and ends them."""

    count: int

    def __init__(
        self, platform: standin.Platform, nodes: list[fleet.Node], chance: random.Random
    ) -> None:
        self.count = 0
        self._platform = platform
        self._nodes = nodes
        self._chance = chance
        self._kinds: list[Callable[[], Coroutine[Any, Any, None]]] = [
            self._kill,
            self._terminate,
            self._pause,
            self._disturb_store_path,
            self._disturb_store_path,
            self._disturb_store,
            self._drop_history,
            self._crash_worker,
            self._silence_worker,
            self._lose_worker_answers,
        ]

    async def run(self, seconds: float) -> None:
        """Begin faults for some seconds and wait for their ends."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                self.count += 1
                group.create_task(self._chance.choice(self._kinds)())
                await asyncio.sleep(self._chance.uniform(*GAP_S))

    def heal(self) -> None:
        """End everything that may still be on."""
        self._platform.store_fault = ""
        for worker in self._platform.workers_by_port.values():
            worker.is_silent = False
            worker.loses_answers = False
        for node in self._nodes:
            node.store_proxy.set_mode(proxy.Mode.PASS)
            node.signal(signal.SIGCONT)
            node.start()

    async def _wait(self) -> None:
        await asyncio.sleep(self._chance.uniform(*LENGTH_S))

    def _node(self) -> fleet.Node:
        return self._chance.choice(self._nodes)

    def _worker_port(self) -> int:
        return self._chance.choice(sorted(self._platform.workers_by_port))

    async def _kill(self) -> None:
        node = self._node()
        node.signal(signal.SIGKILL)
        await self._restart(node)

    async def _terminate(self) -> None:
        node = self._node()
        node.signal(signal.SIGTERM)
        await asyncio.sleep(fleet.STOP_LIMIT_S)
        node.signal(signal.SIGKILL)
        await self._restart(node)

    async def _restart(self, node: fleet.Node) -> None:
        await self._wait()
        # An overlapping fault may have started it already; that is no process to wait
        # for.
        node.start()

    async def _pause(self) -> None:
        node = self._node()
        node.signal(signal.SIGSTOP)
        await self._wait()
        node.signal(signal.SIGCONT)

    async def _disturb_store_path(self) -> None:
        node = self._node()
        node.store_proxy.set_mode(self._chance.choice(list(proxy.Mode)))
        await self._wait()
        node.store_proxy.set_mode(proxy.Mode.PASS)

    async def _disturb_store(self) -> None:
        self._platform.store_fault = self._chance.choice(["busy", "silent", "lost"])
        await self._wait()
        self._platform.store_fault = ""

    async def _drop_history(self) -> None:
        self._platform.drop_history()

    async def _crash_worker(self) -> None:
        port = self._worker_port()
        self._platform.crash(self._platform.workers_by_port[port])

    async def _silence_worker(self) -> None:
        port = self._worker_port()
        self._platform.workers_by_port[port].is_silent = True
        await self._wait()
        self._platform.workers_by_port[port].is_silent = False

    async def _lose_worker_answers(self) -> None:
        port = self._worker_port()
        self._platform.workers_by_port[port].loses_answers = True
        await self._wait()
        self._platform.workers_by_port[port].loses_answers = False
