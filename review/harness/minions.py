"""Stand-ins of minions, which run tasks, and of the service that lists machines."""

import asyncio
import dataclasses
import json
import time
from collections.abc import Callable, Mapping

from harness import record, store, web

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6_000
STOP_S = 0.02
LASTING_S = 500.0  # a task that works longer than this lasts
STARTUP_S = 0.9  # of a task that lasts
CAPACITY = {"cpu": 16_000, "memMb": 32_768, "gpu": 0}


@dataclasses.dataclass
class Run:
    """One run of a task on a minion."""

    task: str
    number: int
    started_at: float
    ends_at: float
    fence: int


class Minion:
    """One minion with its entry in the store."""

    def __init__(
        self, fleet: "Fleet", service: str, minion_id: str, machine: str, rack: str
    ) -> None:
        self.fleet = fleet
        self.service = service
        self.minion_id = minion_id
        self.machine = machine
        self.labels = ["a", rack]
        self.capacity = dict(CAPACITY)
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.is_up = True
        self.fence = 0
        self.lease_ms = 0
        self.sequence = 0
        self.runs: dict[str, Run] = {}
        self.ended: list[list[object]] = []
        self.end_count = 0
        self.closed_runs: dict[str, int] = {}  # stopped or ended, by task
        self.lapsed_at = 0.0
        self.server = web.Server(self._handle)
        self._began_at = time.monotonic()

    def clock_ms(self) -> int:
        """Return the time on the minion's steady clock."""
        return int((time.monotonic() - self._began_at) * 1000) + 480_000

    def describe(self) -> dict[str, object]:
        """Return the minion's report about itself."""
        return {
            "service": self.service,
            "addr": f"{web.LOOPBACK}:{self.server.port}",
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clockMs": self.clock_ms(),
            "seq": self.sequence,
            "born": self.born,
        }

    async def beat(self) -> None:
        """Write the entry at intervals."""
        while self.is_up:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self) -> None:
        """Write the entry now."""
        self.sequence += 1
        self.fleet.store.put("keyed.servers", self.minion_id, self.describe())

    def drain(self) -> None:
        """Report that it will leave."""
        self.state = "draining"
        self.write_entry()
        self.fleet.record.write("minion drains", minion=self.minion_id)

    def leave(self) -> None:
        """End with all that runs here, and remove the entry."""
        self.is_up = False
        self.server.close()
        self.runs.clear()
        self.fleet.store.put_raw("keyed.servers", self.minion_id, b"")
        self.fleet.record.write("minion has left", minion=self.minion_id)

    def advance(self) -> None:
        """End the runs that are due or whose lease is over."""
        now = time.monotonic()
        if self.clock_ms() >= self.lease_ms:
            self.lapsed_at = self.fleet.record.now()
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        for run in list(self.runs.values()):
            if now >= run.ends_at:
                self.end(run, "done")

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.closed_runs[run.task] = max(run.number, self.closed_runs.get(run.task, 0))
        self.fleet.checks.on_end(self, run, how, self.end_count)

    async def _handle(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        headers: Mapping[str, str],
        body: bytes,
    ) -> web.Answer:
        if not self.is_up:
            return None
        if method == "GET":
            return 200, b""
        expected = headers.get("x-clementinespar-expect-instance", self.minion_id)
        if expected != self.minion_id:
            return self._answer(421, {})
        self.advance()
        order = json.loads(body)
        fence = int(order.get("fence", 0))
        if fence < self.fence:
            return self._answer(409, {"reason": "fence"})
        self.fence = fence
        if "untilMs" in order and path != "/v1/pace":
            until = min(int(order["untilMs"]), self.clock_ms() + HOLD_MAX_MS)
            self.lease_ms = max(self.lease_ms, until)
        if path == "/v1/run-start":
            return self._start(order)
        if path == "/v1/run-stop":
            return await self._stop(order)
        if path == "/v1/hold":
            return await self._hold(order)
        return self._answer(200, {})

    def _answer(self, status: int, body: dict[str, object]) -> web.Answer:
        return status, web.encode(
            {"clockMs": self.clock_ms(), "born": self.born, **body}
        )

    def _start(self, order: dict[str, object]) -> web.Answer:
        task, number = str(order["task"]), int(str(order["run"]))
        if task in self.runs and self.runs[task].number == number:
            return self._answer(200, {})
        if number <= self.closed_runs.get(task, 0):
            return self._answer(409, {"reason": "old"})
        if int(str(order["untilMs"])) <= self.clock_ms():
            return self._answer(409, {"reason": "late"})
        now = time.monotonic()
        run = Run(task, number, now, now + self.fleet.work_s(task), self.fence)
        self.fleet.checks.on_start(self, run, order)
        self.runs[task] = run
        return self._answer(200, {})

    async def _stop(self, order: dict[str, object]) -> web.Answer:
        task, number = str(order["task"]), int(str(order["run"]))
        self.closed_runs[task] = max(number, self.closed_runs.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number == number:
            await asyncio.sleep(STOP_S)
            self.end(run, "stopped")
        return self._answer(200, {})

    async def _hold(self, order: dict[str, object]) -> web.Answer:
        upto = int(str(order.get("ackedUpto", 0)))
        for row in self.ended:
            if int(str(row[0])) <= upto:
                self.fleet.checks.on_acknowledged(self, row)
        self.ended = [row for row in self.ended if int(str(row[0])) > upto]
        end = time.monotonic() + int(str(order.get("waitMs", 0))) / 1000
        count = self.end_count
        while self.end_count == count and time.monotonic() < end and self.is_up:
            await asyncio.sleep(0.01)
            self.advance()
        if not self.is_up:
            return None
        now = time.monotonic()
        running = [
            [
                run.task,
                run.number,
                "",
                self._find_percent(run, now),
                0,
            ]
            for run in self.runs.values()
        ]
        return self._answer(200, {"running": running, "ended": self.ended[:500]})

    def _find_percent(self, run: Run, now: float) -> int:
        """Return how far a run is; a task that lasts is at work after its startup."""
        total_s = run.ends_at - run.started_at
        if total_s > LASTING_S:
            total_s = STARTUP_S
        return int(100 * min(1.0, (now - run.started_at) / total_s))


class Fleet:
    """All minions, and the service that lists their machines.

    Parameters
    ----------
    work_s : callable
        Returns how long a task works, by its name.
    """

    def __init__(
        self,
        log: store.Store,
        notes: record.Record,
        checks: "record.Checks",
        work_s: Callable[[str], float],
    ) -> None:
        self.store = log
        self.record = notes
        self.checks = checks
        self.work_s = work_s
        self.minions: list[Minion] = []
        self.cloud = web.Server(self._handle)
        self._beats: set[asyncio.Task[None]] = set()

    async def add(self, service: str) -> Minion:
        """Start a minion on a machine of its own."""
        number = len(self.minions)
        minion = Minion(
            self, service, f"i-{number:04x}", f"m-{number:04x}", f"r1-{number // 4}"
        )
        await minion.server.open()
        self.minions.append(minion)
        beat = asyncio.create_task(minion.beat())
        self._beats.add(beat)
        beat.add_done_callback(self._beats.discard)
        return minion

    def close(self) -> None:
        """End all minions."""
        for beat in self._beats:
            beat.cancel()
        for minion in self.minions:
            minion.server.close()
        self.cloud.close()

    def up(self, service: str) -> list[Minion]:
        """Return the minions of a service that are up and don't drain."""
        return [
            m
            for m in self.minions
            if m.service == service and m.is_up and m.state == "ready"
        ]

    async def _handle(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        headers: Mapping[str, str],
        body: bytes,
    ) -> web.Answer:
        if method == "GET":
            machines = [
                {
                    "machine": minion.machine,
                    "pool": minion.service,
                    "state": "up",
                    "zone": "z1",
                    "labels": minion.labels,
                    "capacity": minion.capacity,
                    "id": minion.minion_id,
                }
                for minion in self.minions
                if minion.is_up
            ]
            return 200, web.encode({"machines": machines, "nextToken": None})
        self.record.write("order to a machine", path=path, body=body.decode())
        return 409, web.encode({"reason": "busy"})
