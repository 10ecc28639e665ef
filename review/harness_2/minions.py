"""Minions and their machines, which judge what they are told to run."""

import asyncio
import dataclasses
import time
from collections.abc import Callable
from typing import Any

from harness_2 import record, store, web

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_S = 0.02
LASTING_STARTUP_S = 0.3
REPORTED_ENDS = 500


@dataclasses.dataclass
class Kind:
    """The kind of a minion: its capacity and its first label."""

    name: str = "a"
    cpu: int = 16_000
    memory_mb: int = 32_768


@dataclasses.dataclass
class Run:
    """One run of a task."""

    task: str
    number: int
    cpu: int
    memory_mb: int
    is_lasting: bool
    began_at: float
    ends_at: float
    stops_at: float = float("inf")

    def percent(self, now: float) -> int:
        """Return its progress."""
        whole = LASTING_STARTUP_S if self.is_lasting else self.ends_at - self.began_at
        share = (now - self.began_at) / max(0.001, whole)
        return min(100 if self.is_lasting else 99, int(100 * share))


class World:
    """What all minions share: the jobs as submitted, and the judgement of runs.

    Parameters
    ----------
    run_time_s : callable
        Returns how long a task works, by its name.
    """

    def __init__(
        self,
        platform: store.Store,
        log: record.Record,
        run_time_s: Callable[[str], float],
    ) -> None:
        self.store = platform
        self.log = log
        self.run_time_s = run_time_s
        self.minions: list[Minion] = []
        self.steps_by_job: dict[str, list[dict[str, Any]]] = {}
        self.spec_by_job: dict[str, str] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        self.done_at: dict[str, float] = {}  # task: first end as done taken note of
        self._done_runs: dict[str, str] = {}
        self._stopped: set[str] = set()  # tasks at work that an order has ended

    def find_step(self, task: str) -> dict[str, Any]:
        """Return the step of a task as submitted."""
        job_id, _, step, _ = task.split(".")
        return self.steps_by_job[job_id][int(step)]

    def note_start(self, minion: "Minion", run: Run) -> None:
        """Judge a start."""
        now = time.monotonic()
        where = f"{minion.worker_id} (born {minion.born})"
        self.starts.append((now, run.task, run.number, minion.worker_id))
        self.log.add(f"start {run.task} run {run.number} on {where}")
        for other in self.minions:
            if other.is_up:
                for known in other.runs.values():
                    if known.task == run.task and known is not run:
                        self.log.add_break(
                            f"TWICE: {run.task} runs as run {known.number} on"
                            f" {other.worker_id} and as run {run.number} on {where}"
                        )
        if run.task in self.done_at:
            self.log.add_break(
                f"TWICE: {run.task} starts as run {run.number} on {where}, after its"
                f" end as done by {self._done_runs[run.task]} was taken note of"
            )
        label = self.find_step(run.task).get("needs", "")
        if label and label not in (minion.kind.name, minion.rack):
            self.log.add_break(
                f"ROUTE: {run.task} needs label {label}, and {where} is of kind"
                f" {minion.kind.name}"
            )
        used = sum(known.cpu for known in minion.runs.values())
        if used > minion.kind.cpu:
            self.log.add_break(
                f"LIMIT: {run.task} brings {where} to {used} of {minion.kind.cpu}"
                " thousandths of a core"
            )

    def note_stop(self, minion: "Minion", run: Run) -> None:
        """Judge an order that stops a run."""
        now = time.monotonic()
        may_miss = self.find_step(run.task).get("mayMiss", 0)
        if not may_miss or run.percent(now) < 100 or run.stops_at < float("inf"):
            return
        step = run.task.rpartition(".")[0]
        at_work = {
            known.task
            for other in self.minions
            for known in other.runs.values()
            if known.percent(now) >= 100 and known.stops_at == float("inf")
        }
        self._stopped -= at_work
        away = [task for task in self._stopped if task.rpartition(".")[0] == step]
        self._stopped.add(run.task)
        if len(away) >= may_miss:
            self.log.add_break(
                f"AVAIL: an order ends {run.task} at work on {minion.worker_id}, while"
                f" {len(away)} others of its step are away by such orders, and"
                f" {may_miss} may be"
            )

    def note_done(self, task: str, text: str) -> None:
        """Record that an end as done was taken note of."""
        self.done_at.setdefault(task, time.monotonic())
        self._done_runs.setdefault(task, text)


class Minion:
    """One address at which one life of a minion runs after the other."""

    def __init__(self, world: World, worker_id: str, pool: str, rack: str) -> None:
        self.world = world
        self.worker_id = worker_id
        self.machine = f"m-{worker_id}"
        self.pool = pool
        self.rack = rack
        self.kind = Kind()
        self.is_up = False
        self.is_unhealthy = False  # it does nothing for a start and answers 503
        self.port = 0
        self.born = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.ended: list[list[Any]] = []
        self._server: web.Server | None = None
        self._task: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()
        self._began_at = 0.0
        self._fence = 0
        self._until_ms = 0
        self._ends = 0
        self._stopped: dict[str, int] = {}
        world.minions.append(self)

    async def start(self, kind: Kind | None = None) -> None:
        """Begin a life: write its entry, then answer calls."""
        if kind is not None:
            self.kind = kind
        self.born = int(time.time() * 1000)
        self._began_at = time.monotonic()
        self._fence = self._until_ms = self._ends = 0
        self.runs = {}
        self.ended = []
        self._stopped = {}
        if not self.port:
            self._server = web.Server(self._handle)
            await self._server.open("127.0.0.1")
            self.port = self._server.port
            self.write_entry()
        else:
            self.write_entry()
            self._server = web.Server(self._handle)
            await self._server.open("127.0.0.1", self.port)
        self.is_up = True
        self._task = asyncio.create_task(self._live())
        self.world.log.add(
            f"{self.worker_id} begins a life (born {self.born}) of kind"
            f" {self.kind.name}, {self.kind.cpu} thousandths of a core"
        )

    def crash(self) -> None:
        """End the life: all that runs is gone, connections are reset."""
        if not self.is_up:
            return
        gone = ", ".join(f"{run.task} run {run.number}" for run in self.runs.values())
        self.world.log.add(f"{self.worker_id} crashes with [{gone}]")
        self.is_up = False
        self.runs = {}
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()

    def write_entry(self) -> None:
        """Write its entry in the store."""
        entry = {
            "service": self.pool,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": self.kind.cpu, "memMb": self.kind.memory_mb, "gpu": 0},
            "labels": [self.kind.name, self.rack],
            "born": self.born,
            "seq": self._ends,
        }
        self.world.store.put("keyed.servers", self.worker_id, entry)

    async def _live(self) -> None:
        beat_at = time.monotonic() + HEARTBEAT_S
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            if now >= beat_at:
                beat_at = now + HEARTBEAT_S
                self.write_entry()
            lapses_at = self._began_at + self._until_ms / 1000
            for run in list(self.runs.values()):
                if now >= lapses_at:
                    self._end(run, "lapsed")
                elif now >= run.stops_at:
                    self._end(run, "stopped")
                elif now >= run.ends_at:
                    self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task, run.number]
        self._ends += 1
        self._stopped[run.task] = max(run.number, self._stopped.get(run.task, 0))
        self.ended.append([self._ends, run.task, run.number, how, ""])
        self.world.log.add(f"end {run.task} run {run.number} {how}, {self.worker_id}")
        self._changed.set()
        self._changed = asyncio.Event()

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._began_at) * 1000)

    async def _handle(self, request: web.Request) -> web.Reply:
        call = request.path.rpartition("/")[2]
        if call == "health":
            return web.reply_json(200, {})
        expected = request.headers.get("x-clementinespar-expect-instance")
        if expected not in (None, self.worker_id):
            return web.reply_json(421, {})
        body = request.json()
        fence = body.get("fence", 0)
        if fence < self._fence:
            fields = {"clockMs": self._clock_ms(), "reason": "fence"}
            return web.reply_json(409, fields)
        self._fence = fence
        status, answer = 200, {}
        if call == "run-start":
            status, answer = self._start(body)
        elif call == "run-stop":
            self._stop(body)
        elif call == "hold":
            answer = await self._hold(body)
        return web.reply_json(
            status, {"clockMs": self._clock_ms(), "born": self.born, **answer}
        )

    def _extend(self, until_ms: int) -> None:
        limit = self._clock_ms() + HOLD_MAX_MS
        self._until_ms = max(self._until_ms, min(until_ms, limit))

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["run"]
        if self.is_unhealthy:
            self.world.log.add(f"503 to start {task} run {number}, {self.worker_id}")
            return 503, {}
        if body["untilMs"] <= self._clock_ms():
            return 409, {"reason": "late"}
        self._extend(body["untilMs"])
        if (task, number) in self.runs:
            return 200, {}
        if number <= self._stopped.get(task, 0):
            return 409, {"reason": "old"}
        step = self.world.find_step(task)
        now = time.monotonic()
        is_lasting = bool(step.get("longRunning"))
        ends_at = float("inf")
        if not is_lasting:
            ends_at = now + self.world.run_time_s(task)
        cpu = 0 if step.get("fills") else step.get("cpu", 0)
        run = Run(task, number, cpu, step.get("memMb", 0), is_lasting, now, ends_at)
        self.runs[task, number] = run
        if body.get("spec", "") != self.world.spec_by_job[task.split(".")[0]]:
            self.world.log.add_break(f"UNASKED: {task} starts with another spec")
        self.world.note_start(self, run)
        return 200, {}

    def _stop(self, body: dict[str, Any]) -> None:
        task, number = body["task"], body["run"]
        self.world.log.add(f"stop {task} run {number} at {self.worker_id}")
        run = self.runs.get((task, number))
        if run is not None:
            self.world.note_stop(self, run)
            run.stops_at = min(run.stops_at, time.monotonic() + STOP_S)
        self._stopped[task] = max(number, self._stopped.get(task, 0))

    async def _hold(self, body: dict[str, Any]) -> dict[str, Any]:
        self._extend(body.get("untilMs", 0))
        up_to = body.get("ackedUpto", 0)
        for number, task, run, how, _ in self.ended:
            if number <= up_to and how == "done":
                self.world.note_done(task, f"run {run} on {self.worker_id}")
        self.ended = [row for row in self.ended if row[0] > up_to]
        changed = self._changed
        if body.get("waitMs"):
            try:
                async with asyncio.timeout(min(2000, body["waitMs"]) / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        return {
            "running": [
                [run.task, run.number, "", run.percent(now), run.cpu]
                for run in self.runs.values()
            ],
            "ended": self.ended[:REPORTED_ENDS],
        }


class Cloud:
    """The list of machines; it takes no orders for them."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.server = web.Server(self._handle)
        self.address = ""

    async def open(self) -> None:
        """Listen on a free port."""
        await self.server.open("127.0.0.1")
        self.address = f"127.0.0.1:{self.server.port}"

    async def _handle(self, request: web.Request) -> web.Reply:
        if request.method == "POST":
            return web.reply_json(409, {"reason": "busy"})
        machines = [
            {
                "machine": minion.machine,
                "pool": minion.pool,
                "state": "up" if minion.is_up else "down",
                "zone": "z",
                "labels": [minion.kind.name, minion.rack],
                "capacity": {
                    "cpu": minion.kind.cpu,
                    "memMb": minion.kind.memory_mb,
                    "gpu": 0,
                },
                "id": minion.worker_id if minion.is_up else "",
            }
            for minion in self._world.minions
        ]
        return web.reply_json(200, {"machines": machines, "nextToken": None})
