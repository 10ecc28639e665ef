"""A small deployment of the system for a case, and calls of its clients."""

import asyncio
import contextlib
import os
import pathlib
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from harness import minions, record, store, system, web

RETRY_PAUSE_S = 0.5
ATTEMPTS = 5  # the first one and four retries
DEADLINE_MS = 3_000
HELD, BROKEN, NOT_RUN = 0, 1, 2
CASE_LIMIT_S = 110.0


def has_trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Scenario:
    """The parts of a deployment; `open_scenario` starts them."""

    def __init__(self, notes: record.Record) -> None:
        self.record = notes
        self.checks = record.Checks(notes)
        self.store = store.Store()
        self.work_s: dict[str, float] = {}  # of the tasks of a job, by its id
        self.pool_by_id: dict[str, str] = {}  # service of a job, by its id
        self.fleet = minions.Fleet(
            self.store, notes, self.checks, lambda task: self.work_s[task.split(".")[0]]
        )
        self.nodes: list[system.Node] = []
        self.accepted: dict[str, float] = {}  # by job id: time of the 2xx

    def find_owner(self, pool: str) -> system.Node | None:
        """Return the node that owns the partition with the jobs of a service."""
        for number in range(store.PARTS):
            newest = self.store.partition("keyed.commands", number).newest
            if any(self.pool_by_id.get(key[1:]) == pool for key in newest):
                member = self.store.group.owner_of(number)
                return next(
                    (n for n in self.nodes if member.startswith(f"{n.endpoint}/")),
                    None,
                )
        return None

    async def submit(
        self,
        prefix: str,
        job_id: str,
        body: dict[str, Any],
        work_s: float,
        pool: str,
        first: int = 0,
    ) -> bool:
        """Hand a job in as a client does; True once it was accepted."""
        self.work_s[job_id] = work_s
        self.pool_by_id[job_id] = pool
        self.checks.specs[job_id] = body
        for attempt in range(ATTEMPTS):
            node = self.nodes[(first + attempt) % len(self.nodes)]
            status, _ = await self.call(node, "POST", f"{prefix}{job_id}", body)
            if 200 <= status < 300:
                self.accepted.setdefault(job_id, self.record.now())
                return True
            await asyncio.sleep(RETRY_PAUSE_S)
        return False

    async def call(
        self, node: system.Node, method: str, path: str, body: dict[str, Any] | None
    ) -> tuple[int, dict[str, Any]]:
        """Make one call of a client and record it."""
        content = b"" if body is None else web.encode(body)
        status, reply = await web.call(
            node.callers,
            method,
            path,
            content,
            {
                "Content-Type": "application/json",
                "X-Clementinespar-Deadline-Ms": str(DEADLINE_MS),
            },
            DEADLINE_MS / 1000,
        )
        self.record.write(
            method, node=node.name, path=path, status=status, reply=record.dump(reply)
        )
        return status, reply

    async def read_state(self, prefix: str, job_id: str) -> str:
        """Ask all nodes in turn for a job; return its state, or the last status."""
        answer = "0"
        for node in self.nodes:
            status, reply = await self.call(node, "GET", f"{prefix}{job_id}", None)
            answer = str(reply.get("state", status))
            if status == 200:
                break
        return answer


@contextlib.asynccontextmanager
async def open_scenario(
    folder: pathlib.Path,
    config: dict[str, Any],
    minion_counts: dict[str, int],
    node_count: int = 3,
    open_link: Callable[[int], Awaitable[int]] | None = None,
    prepare: Callable[[Scenario], None] | None = None,
) -> AsyncIterator[Scenario]:
    """Run a deployment; all of it ends with the context.

    Parameters
    ----------
    open_link : callable
        Opens a way from a node to the port of the store and returns the port of it.
    prepare : callable
        Called before the store is open.
    """
    notes = record.Record(folder / "record.txt")
    scene = Scenario(notes)
    try:
        if prepare is not None:
            prepare(scene)
        await scene.store.open()
        await scene.fleet.cloud.open()
        scene.store.put("keyed.op", "config", config)
        for service, count in minion_counts.items():
            for _ in range(count):
                await scene.fleet.add(service)
        for number in range(node_count):
            port = scene.store.port
            if open_link is not None:
                port = await open_link(port)
            scene.nodes.append(
                system.Node(number + 1, port, scene.fleet.cloud.port, notes)
            )
        for node in scene.nodes:
            node.start()
        yield scene
    finally:
        for node in scene.nodes:
            node.end()
        scene.fleet.close()
        scene.store.close()
        notes.close()


def make_config(
    version: int, services: dict[str, str], **fields: object
) -> dict[str, Any]:
    """Return a configuration with one route a prefix, to the named service."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{prefix.strip('/')}",
                "host": web.LOOPBACK,
                "pathPrefix": prefix,
                "kind": "unsafe",
                "timeoutMs": 3000,
                "targetDurationMs": 2500,
                "priority": 0,
                "service": service,
                "maxAttempts": 3,
                "stretch": 2.2,
                **fields,
            }
            for prefix, service in services.items()
        ],
        "services": [
            {
                "name": service,
                "healthPath": "/health",
                "maxConns": 64,
                "protocol": "h1",
                "tls": False,
                "rejectsOverload": False,
                "spare": False,
            }
            for service in sorted(set(services.values()))
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def run_case(play: Callable[[], Awaitable[list[str] | None]]) -> None:
    """Play a case and exit with 1 if a rule was broken, 0 if not, 2 if it can't run.

    Parameters
    ----------
    play : callable
        Returns what broke the rule; None if the case could not run.
    """

    async def play_in_time() -> list[str] | None:
        async with asyncio.timeout(CASE_LIMIT_S):
            return await play()

    try:
        problems = asyncio.run(play_in_time())
    except (TimeoutError, OSError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    if problems is None:
        print("the case could not run")
        sys.exit(NOT_RUN)
    for problem in problems:
        print(problem)
    print("the rule was broken" if problems else "the rule held")
    sys.exit(BROKEN if problems else HELD)
