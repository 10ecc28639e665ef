"""Runs a case: starts the world and the nodes, judges, ends all processes."""

import asyncio
import contextlib
import os
import pathlib
import sys
import tempfile
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

from harness_2 import callers, minions, record, store, system

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0


class Stage:
    """All parts of a running case."""

    def __init__(self, log: record.Record, run_time_s: Callable[[str], float]) -> None:
        self.log = log
        self.store = store.Store()
        self.world = minions.World(self.store, log, run_time_s)
        self.cloud = minions.Cloud(self.world)
        self.nodes: list[system.Node] = []
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.callers = callers.Callers(self.world, self.nodes, log)

    @contextlib.asynccontextmanager
    async def run(
        self,
        node_count: int,
        minions_by_pool: dict[str, int],
        queues: Sequence[callers.Queue],
    ) -> AsyncIterator[None]:
        """Run the world and the nodes inside the context."""
        with tempfile.TemporaryDirectory() as folder:
            await self.store.open()
            await self.cloud.open()
            services = sorted(minions_by_pool)
            fields = callers.configuration(1, queues, services)
            self.store.put("keyed.op", "config", fields)
            for pool, count in minions_by_pool.items():
                for number in range(count):
                    worker_id = f"i-{pool}-{number}"
                    rack = f"r1-{number // 4}"
                    minion = minions.Minion(self.world, worker_id, pool, rack)
                    await minion.start()
            for number in range(1, node_count + 1):
                node = system.Node(
                    number,
                    pathlib.Path(folder),
                    self.store.address,
                    self.cloud.address,
                    self.log,
                )
                self.nodes.append(node)
            try:
                for node in self.nodes:
                    node.start()
                for queue in queues:
                    if not await self.callers.wait_served(queue, 30.0):
                        raise RuntimeError("the system does not serve")
                await asyncio.sleep(2.0)
                yield
            finally:
                for node in self.nodes:
                    await node.end()
                self._keep_logs()

    def find_holder(self, job_id: str) -> system.Node | None:
        """Return the node that holds the partition in which a job was stored."""
        for (_, number), partition in self.store.partitions.items():
            if any(key.endswith(job_id) for key in partition.newest):
                member = self.store.holder(number)
                for node in self.nodes:
                    if member.startswith(f"{node.ip}:"):
                        return node
        return None

    def _keep_logs(self) -> None:
        """Copy the nodes' logs to a folder that `KEEP_LOGS` names, for a look."""
        folder = os.environ.get("KEEP_LOGS")
        if folder:
            for node in self.nodes:
                (pathlib.Path(folder) / f"{node.name}.log").write_text(node.read_log())


def main(
    file: str,
    play: Callable[[Stage], Awaitable[None]],
    run_time_s: Callable[[str], float],
) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, else 2."""
    log = record.Record(pathlib.Path(file).resolve().parent / "record.txt")
    stage = Stage(log, run_time_s)
    log.add("with the disruption" if stage.is_troubled else "without the disruption")

    async def limited() -> None:
        async with asyncio.timeout(LIMIT_S):
            await play(stage)

    try:
        asyncio.run(limited())
    except Exception:
        log.add("could not run: " + traceback.format_exc())
        log.close()
        sys.exit(NOT_RUN)
    status = BROKEN if log.broken else HELD
    log.add("the rule was broken" if status else "the rule held")
    log.close()
    sys.exit(status)
