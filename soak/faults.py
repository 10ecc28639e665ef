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
DRAIN_RANGE_S = (2.0, 4.0)
REPLACE_RANGE_S = (0.2, 1.5)  # until another worker registers for one that has left
SHRINK_RANGE_S = (3.0, 7.0)  # some shrinks outlast the notice that owners get
SHRUNK_SHARES = (0.25, 0.5)
_ENTRY = (
    b'{"service":%s,"addr":"127.0.0.1:%s","zone":"a","state":"ready","labels":%s,'
    b'"capacity":{"cpu":%s,"memMb":32768}}'
)
# Entries of another writer; each has broken a reader of the entries before.
ODD_ENTRIES = (
    b"[" * 100_000,
    b"\xff",
    _ENTRY % (b'"work"', b"9", b"[" * 900 + b"]" * 900, b"16000"),
    _ENTRY % (b'"work"', b"9", b"[]", b"Infinity"),
    _ENTRY % (b'"work"', b"9", b"[]", b"1e999"),
    _ENTRY % (b'"work"', b"99999", b"[]", b"16000"),
    _ENTRY % (b'"\\ud800"', b"9", b"[]", b"16000"),
)


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
            self._kill_worker,
            self._kill_worker,
            self._drain_worker,
            self._shrink_worker,
            self._lose_worker_and_node,
            self._leave_odd_entry,
        ]

    async def run(self, seconds: float, is_held: Callable[[], bool]) -> None:
        """Start faults for some seconds and wait until they end.

        A fault that is due while `is_held` is true is left out.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                fault = self._rng.choice(self._faults)
                if not is_held():
                    self.count += 1
                    group.create_task(self._inject(fault))
                await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_RANGE_S))

    def end_faults(self) -> None:
        """End all faults and start the nodes that are down."""
        self._platform.store_fault = ""
        for worker in self._platform.workers_by_port.values():
            worker.is_unresponsive = False
            worker.loses_answers = False
        self._platform.disturb()
        for node in self._nodes:
            node.set_platform_mode(proxy.Mode.PASS)
            node.signal(signal.SIGCONT)
            node.start()

    async def _inject(self, fault: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self._platform.disturb()
        await fault()
        self._platform.disturb()

    async def _wait_duration(self) -> None:
        await asyncio.sleep(self._rng.uniform(*FAULT_DURATION_RANGE_S))

    def _choose_node(self) -> fleet.Node:
        return self._rng.choice(self._nodes)

    def _choose_worker_port(self) -> int:
        return self._rng.choice(sorted(self._platform.workers_by_port))

    def _choose_ready_worker(self) -> standin.Worker | None:
        workers = self._platform.workers_by_port
        ready = [
            workers[port]
            for port in sorted(workers)
            if not workers[port].is_dead and not workers[port].is_draining
        ]
        return self._rng.choice(ready) if ready else None

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
        node.set_platform_mode(self._rng.choice(list(proxy.Mode)))
        await self._wait_duration()
        node.set_platform_mode(proxy.Mode.PASS)

    async def _disturb_store(self) -> None:
        self._platform.store_fault = self._rng.choice(["busy", "silent", "lost"])
        await self._wait_duration()
        self._platform.store_fault = ""

    async def _drop_history(self) -> None:
        self._platform.drop_history()

    async def _crash_worker(self) -> None:
        if (worker := self._choose_ready_worker()) is not None:
            self._platform.crash(worker)

    async def _kill_worker(self) -> None:
        """Kill a worker, which is back later, possibly under another id."""
        if (worker := self._choose_ready_worker()) is None:
            return
        self._platform.kill(worker, resets_calls=self._rng.random() < 0.5)
        await self._wait_duration()
        self._platform.revive(worker, has_new_id=self._rng.random() < 0.5)

    async def _drain_worker(self) -> None:
        """Drain a worker, which then leaves; another one registers."""
        if (worker := self._choose_ready_worker()) is None:
            return
        self._platform.drain(worker)
        await asyncio.sleep(self._rng.uniform(*DRAIN_RANGE_S))
        if not self._platform.is_current(worker):
            return  # it has died and is back
        self._platform.leave(worker)
        await asyncio.sleep(self._rng.uniform(*REPLACE_RANGE_S))
        self._platform.replace(worker)

    async def _shrink_worker(self) -> None:
        if (worker := self._choose_ready_worker()) is None:
            return
        full = self._platform.capacity
        share = self._rng.choice(SHRUNK_SHARES)
        self._platform.set_capacity(worker, int(full * share))
        await asyncio.sleep(self._rng.uniform(*SHRINK_RANGE_S))
        if self._platform.is_current(worker) and not worker.is_dead:
            self._platform.set_capacity(worker, full)

    async def _lose_worker_and_node(self) -> None:
        """Lose a worker beside a node, which may own its pool."""
        end_node = self._rng.choice([self._kill, self._terminate])
        end_worker = self._rng.choice([self._kill_worker, self._drain_worker])
        await asyncio.gather(end_node(), end_worker())

    async def _leave_odd_entry(self) -> None:
        """Let another writer leave an entry among those of the workers for a while."""
        key = f"i-odd-{self._rng.randrange(100)}"
        self._platform.put_raw("keyed.servers", key, self._rng.choice(ODD_ENTRIES))
        await self._wait_duration()
        self._platform.delete("keyed.servers", key)

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
