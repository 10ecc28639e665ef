"""Callers: they submit jobs, cancel them and ask for their states."""

import asyncio
import dataclasses
import json
import random
import time
from collections.abc import Sequence
from typing import Any

from harness_2 import minions, record, system, web

DEADLINE_MS = 3000
RETRY_S = 0.3


@dataclasses.dataclass(frozen=True)
class Queue:
    """A route of the configuration, and the queue that it is."""

    name: str
    service: str
    route: str = "r-1"  # with the name, the name of the route
    host: str = "jobs.example"
    max_attempts: int = 4

    @property
    def prefix(self) -> str:
        """Return the path prefix."""
        return f"/{self.name}/"


def configuration(
    version: int, queues: Sequence[Queue], services: Sequence[str]
) -> dict[str, object]:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"{queue.route}-{queue.name}",
                "host": queue.host,
                "pathPrefix": queue.prefix,
                "kind": "unsafe",
                "timeoutMs": DEADLINE_MS,
                "targetDurationMs": 600,
                "service": queue.service,
                "maxAttempts": queue.max_attempts,
                "stretch": 1.6,
            }
            for queue in queues
        ],
        "services": [{"name": name} for name in services],
        "limits": {"maxBodyBytes": 262_144},
    }


class Callers:
    """All callers of a case."""

    def __init__(
        self,
        world: minions.World,
        nodes: Sequence[system.Node],
        log: record.Record,
        seed: int = 1,
    ) -> None:
        self._world = world
        self._nodes = nodes
        self._log = log
        self._random = random.Random(seed)
        self.accepted_at: dict[str, float] = {}  # by job id, on the monotonic clock

    def make_id(self) -> str:
        """Return a new id of a job."""
        return f"{self._random.getrandbits(64):016x}"

    async def _call(
        self, node: system.Node, method: str, queue: Queue, path: str, body: object
    ) -> tuple[int, bytes]:
        status, answer = await web.call(
            node.callers,
            method,
            queue.prefix + path,
            body,
            {
                "Host": queue.host,
                "Content-Type": "application/json",
                "X-Clementinespar-Deadline-Ms": str(DEADLINE_MS),
            },
            DEADLINE_MS / 1000,
        )
        text = answer.decode(errors="replace")
        if len(text) > 120:
            text = text[:120] + "..."
        self._log.add(f"{method} {queue.prefix}{path} at {node.name}: {status} {text}")
        return status, answer

    async def submit(
        self,
        queue: Queue,
        steps: list[dict[str, Any]],
        job_id: str = "",
        attempts: int = 5,
        nodes: Sequence[system.Node] = (),
    ) -> str:
        """Submit a job, at another node after each attempt; returns its id."""
        job_id = job_id or self.make_id()
        spec = f"spec of {job_id}"
        self._world.steps_by_job[job_id] = steps
        self._world.spec_by_job[job_id] = spec
        for _ in range(attempts):
            node = self._random.choice(nodes or self._nodes)
            status, _ = await self._call(
                node, "POST", queue, job_id, {"spec": spec, "steps": steps}
            )
            if 200 <= status < 300:
                self.accepted_at.setdefault(job_id, time.monotonic())
                return job_id
            await asyncio.sleep(RETRY_S)
        return job_id

    async def ask(
        self, node: system.Node, queue: Queue, job_id: str
    ) -> tuple[int, str]:
        """Ask one node for the state of a job; returns the status and the state."""
        status, answer = await self._call(node, "GET", queue, job_id, None)
        state = str(json.loads(answer).get("state", "")) if status == 200 else ""
        return status, state

    async def count_waiting(self, node: system.Node, queue: Queue) -> int | None:
        """Ask one node for the number of waiting jobs; None without an answer."""
        status, answer = await self._call(node, "GET", queue, "", None)
        return int(json.loads(answer)["waiting"]) if status == 200 else None

    async def cancel(self, node: system.Node, queue: Queue, job_id: str) -> int:
        """Cancel a job at one node; returns the status."""
        status, _ = await self._call(node, "DELETE", queue, job_id, None)
        return status

    async def wait_served(self, queue: Queue, timeout_s: float) -> bool:
        """Wait until all nodes answer for a queue; False if they don't in time."""
        end = time.monotonic() + timeout_s
        for node in self._nodes:
            while True:
                status, _ = await self._call(node, "GET", queue, "", None)
                if status == 200:
                    break
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.3)
        return True
