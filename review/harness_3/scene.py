"""What all cases share: the deployment, the record, and the exit status."""

import asyncio
import contextlib
import json
import os
import pathlib
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import minions
import nodes
import store as store_module
import wire

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREFIX = "/shop/"


class UnplayableError(Exception):
    """The case could not run."""


class Record:
    """Lines of what was sent, answered and run, with the time in seconds."""

    def __init__(self) -> None:
        self.began_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the time since the begin."""
        return time.monotonic() - self.began_at

    def __call__(self, event: str, **fields: object) -> None:
        """Add a line."""
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{self.now():8.3f} {event} {rest}".rstrip())


class Scene:
    """A small deployment of nodes and stand-ins."""

    def __init__(self, folder: pathlib.Path, record: Record, parts: int = 24) -> None:
        self.folder = folder
        self.note = record
        self.parts = parts
        self.store = store_module.Store(parts)
        self.fleet = minions.Fleet(self.store, record)
        self.nodes: list[nodes.Node] = []
        self.adviser = ""

    def configure(
        self, services: list[dict[str, object]], route: dict[str, object], version: int
    ) -> None:
        """Write the configuration as the operator does."""
        fields = {
            "name": "shop",
            "host": "shop.example",
            "pathPrefix": PREFIX,
            "maxAttempts": 3,
            "priority": 0,
            "stretch": 1.6,
            "targetDurationMs": 600,
            "timeoutMs": 3000,
            **route,
        }
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": version,
                "routes": [fields],
                "services": services,
                "limits": {"maxBodyBytes": 262_144},
            },
        )

    async def start_nodes(self, count: int) -> None:
        """Start nodes and wait until they are ready."""
        for number in range(count):
            node = nodes.Node(
                f"node-{number}",
                self.folder,
                self.store.server.address,
                self.fleet.server.address,
                self.adviser,
                self.parts,
            )
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            if not await node.wait_ready():
                raise UnplayableError(f"{node.name} is not ready")

    async def call(
        self,
        method: str,
        job: str,
        body: object = None,
        node: int = 0,
        timeout_s: float = 3.0,
    ) -> tuple[int, dict[str, Any]]:
        """Make a client's call, and record it with its answer."""
        content = b"" if body is None else json.dumps(body).encode()
        status, answer = await wire.call(
            self.nodes[node].callers, method, PREFIX + job, content, "", timeout_s
        )
        fields: dict[str, Any] = {}
        with contextlib.suppress(ValueError):
            fields = json.loads(answer)
        self.note(
            "client", call=method, job=job, node=node, status=status, answer=fields
        )
        return status, fields

    async def submit(
        self, job: str, steps: list[dict[str, object]], works: list[minions.Work]
    ) -> None:
        """Submit a job until it is accepted."""
        spec = json.dumps({"steps": [vars(work) for work in works]})
        for attempt in range(20):
            status, _ = await self.call(
                "POST",
                job,
                {"spec": spec, "steps": steps},
                node=attempt % len(self.nodes),
            )
            if 200 <= status < 300:
                return
            await asyncio.sleep(0.3)
        raise UnplayableError(f"job {job} was not accepted")


async def wait_for(condition: Callable[[], bool], limit_s: float) -> bool:
    """Wait until a condition holds; False if it does not in time."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(0.01)
    return condition()


@contextlib.asynccontextmanager
async def open_scene(record: Record, parts: int = 24) -> AsyncIterator[Scene]:
    """Run the stand-ins inside the context; end all processes at the end."""
    with tempfile.TemporaryDirectory() as folder:
        scene = Scene(pathlib.Path(folder), record, parts)
        await scene.store.server.start()
        await scene.fleet.server.start()
        living = asyncio.ensure_future(scene.fleet.live())
        try:
            yield scene
        finally:
            living.cancel()
            for node in scene.nodes:
                await node.end()
            kept = os.environ.get("KEEP_LOGS")
            if kept:
                for node in scene.nodes:
                    target = pathlib.Path(kept) / node.log.name
                    target.write_bytes(node.log.read_bytes())


def play(case: str, work: Callable[[Record], Awaitable[list[str]]]) -> None:
    """Play a case, write its record, and exit with 1 if a rule was broken."""
    record = Record()
    status = 2
    try:
        broken = asyncio.run(asyncio.wait_for(work(record), 115.0))
        for line in broken:
            record("BROKEN", what=line)
        status = 1 if broken else 0
    except (UnplayableError, TimeoutError) as error:
        record("NOT PLAYED", why=repr(error))
    trouble = "with" if HAS_TROUBLE else "without"
    record("result", trouble=trouble, exit=status)
    pathlib.Path(case, "record.txt").write_text("\n".join(record.lines) + "\n")
    print("\n".join(line for line in record.lines[-12:]))
    sys.exit(status)
