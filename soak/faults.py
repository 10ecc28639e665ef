"""Injects faults into nodes, workers, the store and connections to it."""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from clementinespar_adapter import standin
from soak import fleet, proxy

FAULT_INTERVAL_RANGE_S = (0.1, 1.6)  # between the starts of two faults; they overlap
FAULT_DURATION_RANGE_S = (0.3, 4.0)


class Injector:
    """Starts and ends faults that it draws from `rng`."""

    count: int  # faults started

    def __init__(
        self, platform: standin.Platform, nodes: list[fleet.Node], rng: random.Random
    ) -> None:
        self.count = 0
        self._platform = platform
        self._nodes = nodes
        self._rng = rng
        self._faults: list[Callable[[], Coroutine[Any, Any, None]]] = [
            self._kill,
            self._terminate,
            self._pause,
            self._disturb_store_connection,
            self._disturb_store_connection,
            self._disturb_store,
            self._drop_history,
            self._crash_worker,
            self._make_worker_unresponsive,
            self._lose_worker_answers,
        ]

    async def run(self, seconds: float) -> None:
        """Start faults for some seconds and wait until they end."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                self.count += 1
                group.create_task(self._rng.choice(self._faults)())
                await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_RANGE_S))

    def end_faults(self) -> None:
        """End all faults and start the nodes that are down."""
        self._platform.store_fault = ""
        for worker in self._platform.workers_by_port.values():
            worker.is_unresponsive = False
            worker.loses_answers = False
        for node in self._nodes:
            node.store_proxy.set_mode(proxy.Mode.PASS)
            node.signal(signal.SIGCONT)
            node.start()

    async def _wait_duration(self) -> None:
        await asyncio.sleep(self._rng.uniform(*FAULT_DURATION_RANGE_S))

    def _choose_node(self) -> fleet.Node:
        return self._rng.choice(self._nodes)

    def _choose_worker_port(self) -> int:
        return self._rng.choice(sorted(self._platform.workers_by_port))

    async def _kill(self) -> None:
        node = self._choose_node()
        node.signal(signal.SIGKILL)
        await self._restart(node)

    async def _terminate(self) -> None:
        node = self._choose_node()
        node.signal(signal.SIGTERM)
        await asyncio.sleep(fleet.STOP_LIMIT_S)
        node.signal(signal.SIGKILL)
        await self._restart(node)

    async def _restart(self, node: fleet.Node) -> None:
        await self._wait_duration()
        # Does not wait for the old process: an overlapping fault may have replaced it
        # by one that does not end.
        node.start()

    async def _pause(self) -> None:
        node = self._choose_node()
        node.signal(signal.SIGSTOP)
        await self._wait_duration()
        node.signal(signal.SIGCONT)

    async def _disturb_store_connection(self) -> None:
        node = self._choose_node()
        node.store_proxy.set_mode(self._rng.choice(list(proxy.Mode)))
        await self._wait_duration()
        node.store_proxy.set_mode(proxy.Mode.PASS)

    async def _disturb_store(self) -> None:
        self._platform.store_fault = self._rng.choice(["busy", "silent", "lost"])
        await self._wait_duration()
        self._platform.store_fault = ""

    async def _drop_history(self) -> None:
        self._platform.drop_history()

    async def _crash_worker(self) -> None:
        port = self._choose_worker_port()
        self._platform.crash(self._platform.workers_by_port[port])

    async def _make_worker_unresponsive(self) -> None:
        port = self._choose_worker_port()
        self._platform.workers_by_port[port].is_unresponsive = True
        await self._wait_duration()
        self._platform.workers_by_port[port].is_unresponsive = False

    async def _lose_worker_answers(self) -> None:
        port = self._choose_worker_port()
        self._platform.workers_by_port[port].loses_answers = True
        await self._wait_duration()
        self._platform.workers_by_port[port].loses_answers = False
