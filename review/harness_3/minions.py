"""Stand-ins of the minions and of the platform's list of machines.

A job's `spec` tells the minions what its tasks do: JSON with one object a step, see
`Work`. Times are those of the monotonic clock, in seconds.
"""

import asyncio
import dataclasses
import itertools
import json
import time
from collections.abc import Callable
from typing import Any

import store as store_module
import wire

POLL_S = 0.005
BEAT_S = 1.5
LIST_SIZE = 500
_numbers = itertools.count(1)


@dataclasses.dataclass(frozen=True)
class Work:
    """What the tasks of a step do."""

    work_s: float = 0.5
    lasts: bool = False
    startup_s: float = 0.6  # of a task that lasts
    fails: bool = False  # each run ends `failed`
    gang: int = 0  # members


@dataclasses.dataclass
class Run:
    """One run on a minion."""

    task: str
    number: int
    work: Work
    began_at: float
    works_since: float | None  # a gang works once all members are there
    stopping_until: float | None = None

    def percent(self, now: float) -> int:
        """Return the progress as listed."""
        if self.works_since is None:
            return 0
        done_s = now - self.works_since
        if self.work.lasts:
            return 100 if done_s >= self.work.startup_s else 0
        return min(99, int(100 * done_s / self.work.work_s))


class Minion:
    """One life of a machine."""

    def __init__(self, machine: "Machine", fleet: "Fleet") -> None:
        self.machine = machine
        self.fleet = fleet
        self.id = f"i-{next(_numbers):04d}"
        self.born_ms = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.fence = 0
        self.lease_until = 0.0  # monotonic
        self.runs: dict[str, Run] = {}
        self.ended: list[list[Any]] = []
        self.last_end = 0
        self.ended_runs: dict[str, int] = {}
        self.is_up = True
        self.is_draining = False
        self.server = wire.Server(self.handle)

    def clock_ms(self) -> int:
        """Return the time on the minion's own clock."""
        return int((time.monotonic() - self.started_at) * 1000)

    def entry(self) -> dict[str, object]:
        """Return its entry in the store."""
        return {
            "service": self.machine.pool,
            "addr": self.server.address,
            "zone": "z",
            "version": "1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "coldLeftMs": 0,
            "seq": next(_numbers),
            "capacity": {"cpu": self.machine.cpu, "memMb": 32_768, "gpu": 0},
            "labels": ["a", self.machine.rack],
            "born": self.born_ms,
        }

    async def start(self) -> None:
        """Listen and register."""
        await self.server.start()
        self.fleet.store.put("keyed.servers", self.id, self.entry())

    def advance(self) -> None:
        """End what is done, stopped or without a lease."""
        now = time.monotonic()
        for run in list(self.runs.values()):
            if run.stopping_until is not None and now >= run.stopping_until:
                self.end(run, "stopped")
            elif now > self.lease_until:
                self.end(run, "lapsed")
            elif run.works_since is None:
                if now - run.began_at >= self.fleet.gang_s:
                    self.end(run, "alone")
            elif not run.work.lasts and now - run.works_since >= run.work.work_s:
                self.end(run, "failed" if run.work.fails else "done")

    def end(self, run: Run, how: str) -> None:
        """End a run and list that."""
        if self.runs.pop(run.task, None) is None:
            return
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, how, ""])
        self.ended_runs[run.task] = max(run.number, self.ended_runs.get(run.task, 0))
        self.fleet.note("end", task=run.task, run=run.number, how=how, minion=self.id)
        if run.work.gang:
            self.fleet.end_gang(run, how)

    def crash(self) -> None:
        """Lose everything at once; nothing is listed."""
        self.is_up = False
        self.server.go_down()
        for run in self.runs.values():
            self.fleet.note("lost", task=run.task, run=run.number, minion=self.id)
        self.runs.clear()

    async def handle(self, call: wire.Call) -> wire.Reply | None:
        """Answer one call."""
        await asyncio.sleep(0.001)
        if not self.is_up:
            return None
        expected = call.headers.get("x-clementinespar-expect-instance")
        if expected not in (None, self.id):
            return self._reply(421, {})
        self.advance()
        fields = call.fields()
        if fields.get("fence", 0) < self.fence:
            return self._reply(409, {"reason": "fence"})
        self.fence = fields.get("fence", 0)
        if "untilMs" in fields:
            until = self.started_at + fields["untilMs"] / 1000
            latest = time.monotonic() + self.fleet.hold_max_s
            self.lease_until = max(self.lease_until, min(until, latest))
        if call.path == "/v1/run-start":
            return self._start(fields)
        if call.path == "/v1/run-stop":
            return self._stop(fields)
        if call.path == "/v1/pace":
            return self._reply(200, {})
        if call.path == "/v1/hold":
            return await self._hold(fields)
        return self._reply(404, {})

    def _reply(self, status: int, fields: dict[str, object]) -> wire.Reply:
        return wire.reply(
            status, {"clockMs": self.clock_ms(), "born": self.born_ms, **fields}
        )

    def _start(self, fields: dict[str, Any]) -> wire.Reply:
        task, number = fields["task"], fields["run"]
        here = self.runs.get(task)
        if here is not None and here.number == number:
            return self._reply(200, {})
        if number <= self.ended_runs.get(task, 0):
            return self._reply(409, {"reason": "old"})
        if fields["untilMs"] <= self.clock_ms():
            return self._reply(409, {"reason": "late"})
        work = Work(**json.loads(fields["spec"])["steps"][int(task.split(".")[2])])
        refusal = self.fleet.check_ticket(task, self, fields.get("ticket", ""))
        if refusal:
            self.fleet.note("refused", task=task, run=number, reason=refusal)
            return self._reply(409, {"reason": refusal})
        now = time.monotonic()
        run = Run(task, number, work, now, None if work.gang else now)
        self.fleet.note(
            "start", task=task, run=number, minion=self.id, fence=self.fence
        )
        self.fleet.on_start(self, run)
        self.runs[task] = run
        if work.gang:
            self.fleet.join_gang(run)
        return self._reply(200, {})

    def _stop(self, fields: dict[str, Any]) -> wire.Reply:
        task, number = fields["task"], fields["run"]
        self.fleet.note("stop", task=task, run=number, minion=self.id)
        here = self.runs.get(task)
        if here is not None and here.number == number:
            if here.stopping_until is None:
                self.fleet.on_stop(self, here)
                here.stopping_until = time.monotonic() + 0.5 * self.fleet.stop_s
        else:
            self.ended_runs[task] = max(number, self.ended_runs.get(task, 0))
        return self._reply(200, {})

    async def _hold(self, fields: dict[str, Any]) -> wire.Reply | None:
        upto = fields.get("ackedUpto", 0)
        for row in self.ended:
            if row[0] <= upto:
                self.fleet.on_noted(row)
        self.ended = [row for row in self.ended if row[0] > upto]
        end = time.monotonic() + fields.get("waitMs", 0) / 1000
        last = self.last_end
        while self.last_end == last and time.monotonic() < end and self.is_up:
            await asyncio.sleep(POLL_S)
            self.advance()
        if not self.is_up:
            return None
        now = time.monotonic()
        return self._reply(
            200,
            {
                "running": [
                    [run.task, run.number, "", run.percent(now), 0]
                    for run in self.runs.values()
                ],
                "ended": self.ended[:LIST_SIZE],
            },
        )


class Machine:
    """A machine; at most one minion lives on it."""

    def __init__(self, name: str, pool: str, rack: str, cpu: int) -> None:
        self.name = name
        self.pool = pool
        self.rack = rack
        self.cpu = cpu
        self.state = "down"
        self.minion: Minion | None = None

    def describe(self) -> dict[str, object]:
        """Return its row in the list of machines."""
        return {
            "machine": self.name,
            "pool": self.pool,
            "state": self.state,
            "zone": "z",
            "labels": ["a", self.rack],
            "capacity": {"cpu": self.cpu, "memMb": 32_768, "gpu": 0},
            "id": "" if self.minion is None else self.minion.id,
        }


class Fleet:
    """All machines, and the service that lists and changes them."""

    gang_s = 3.0
    stop_s = 0.2
    hold_max_s = 6.0
    move_s = 1.5
    upkeep_s = 2.0

    def __init__(self, store: store_module.Store, note: Callable[..., None]) -> None:
        self.store = store
        self.note = note
        self.machines: dict[str, Machine] = {}
        self.upkept: dict[int, set[str]] = {}  # by wave
        self.server = wire.Server(self.handle)
        self._gangs: dict[tuple[str, int], dict[str, Run]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    # What a case may look at.

    def on_start(self, minion: Minion, run: Run) -> None:
        """Take note of a start that is carried out."""

    def on_stop(self, minion: Minion, run: Run) -> None:
        """Take note of a stop of a run that is there."""

    def on_noted(self, row: list[Any]) -> None:
        """Take note of an end that `ackedUpto` has reached."""

    def on_order(self, call: wire.Call, fields: dict[str, Any]) -> None:
        """Take note of an order for a machine."""

    def check_ticket(self, task: str, minion: Minion, ticket: str) -> str:
        """Return why a start is refused, or an empty string."""
        return ""

    # Machines.

    async def add(self, name: str, pool: str, rack: str, cpu: int = 16_000) -> None:
        """Add a machine and start its minion."""
        machine = self.machines[name] = Machine(name, pool, rack, cpu)
        await self.boot(machine)

    async def boot(self, machine: Machine) -> None:
        """Start a new minion on a machine."""
        machine.minion = Minion(machine, self)
        await machine.minion.start()
        machine.state = "up"
        self.note("up", machine=machine.name, minion=machine.minion.id)

    def crash(self, name: str) -> None:
        """Let a minion crash; its entry goes after three heartbeat intervals."""
        machine = self.machines[name]
        minion, machine.minion = machine.minion, None
        machine.state = "down"
        if minion is None:
            return
        self.note("crash", machine=name, minion=minion.id)
        minion.crash()
        self.later(3 * BEAT_S, lambda: self._expire(minion))

    def _expire(self, minion: Minion) -> None:
        self.store.put("keyed.servers", minion.id, None)

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something after a while."""

        async def wait() -> None:
            await asyncio.sleep(delay_s)
            action()

        self.spawn(wait())

    def spawn(self, work: Any) -> None:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def minions(self) -> list[Minion]:
        """Return the minions that are up."""
        return [m.minion for m in self.machines.values() if m.minion is not None]

    def find_runs(self, prefix: str) -> list[Run]:
        """Return the runs of tasks whose names begin with a prefix."""
        return [
            run
            for minion in self.minions()
            for run in minion.runs.values()
            if run.task.startswith(prefix)
        ]

    async def live(self) -> None:
        """Advance all minions and write their heartbeats until cancelled."""
        beat_at = time.monotonic() + BEAT_S
        while True:
            await asyncio.sleep(0.01)
            for minion in self.minions():
                minion.advance()
            if time.monotonic() >= beat_at:
                beat_at += BEAT_S
                for minion in self.minions():
                    self.store.put("keyed.servers", minion.id, minion.entry())

    async def handle(self, call: wire.Call) -> wire.Reply | None:
        """Answer a call for the list of machines, or an order for one."""
        await asyncio.sleep(0.004)
        if call.path == "/v1/machines":
            rows = [machine.describe() for machine in self.machines.values()]
            return wire.reply(200, {"machines": rows, "nextToken": None})
        fields = call.fields()
        self.on_order(call, fields)
        machine = self.machines.get(fields["machine"])
        if machine is None:
            return wire.reply(400, {})
        if call.path == "/v1/machine-upkeep":
            begun = self.upkept.setdefault(fields["wave"], set())
            if machine.name in begun:
                return wire.reply(200, {})
            if machine.state != "up":
                return wire.reply(409, {"reason": "busy"})
            begun.add(machine.name)
            self._take(machine, "upkeep", self.upkeep_s)
            return wire.reply(200, {})
        if machine.pool == fields["pool"]:
            return wire.reply(200, {})
        if machine.state != "up":
            return wire.reply(409, {"reason": "busy"})
        machine.pool = fields["pool"]
        self._take(machine, "moving", self.move_s)
        return wire.reply(200, {})

    def _take(self, machine: Machine, state: str, seconds: float) -> None:
        """End all on a machine; a new minion comes later."""
        minion, machine.minion = machine.minion, None
        machine.state = state
        if minion is not None:
            minion.crash()
            self._expire(minion)

        async def come_back() -> None:
            await asyncio.sleep(seconds)
            await self.boot(machine)

        self.spawn(come_back())

    # Gangs.

    def join_gang(self, run: Run) -> None:
        """Let a gang work once all members of a run are there."""
        key = (run.task.rpartition(".")[0], run.number)
        members = self._gangs.setdefault(key, {})
        members[run.task] = run
        here = [r for m in self.minions() for r in m.runs.values()]
        present = [r for r in members.values() if r in here]
        if len(present) >= run.work.gang:
            now = time.monotonic()
            for member in present:
                member.works_since = now

    def end_gang(self, run: Run, how: str) -> None:
        """Let the other members end with one of them."""
        key = (run.task.rpartition(".")[0], run.number)
        if run.works_since is None:
            return
        for minion in self.minions():
            for other in list(minion.runs.values()):
                if (other.task.rpartition(".")[0], other.number) == key:
                    minion.end(other, "done" if how == "done" else "broken")
