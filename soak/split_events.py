"""What happens inside a split: workers that die or restart, and a paused owner."""

import asyncio
import dataclasses
import enum
import random
import signal
import time
from collections.abc import Callable

from clementinespar_adapter import standin
from soak import fleet, proxy

HOSTS_CUT_SHARE = 0.4  # of the splits cut the node off from the list of hosts, too
ONE_WAY_SHARE = 0.2  # of the splits let orders across arrive and drop the answers
PAUSE_SHARE = 0.2
WORKER_EVENT_SHARE = 0.8
NEAR_SHARE = 0.2  # of the worker events, on the side of the owner
# The others follow an end that the next owner has acknowledged, or come this long after
# the loss of the store. A membership ends after 1.5 s, leases after 5.4 s.
EVENT_RANGE_S = (1.0, 5.0)
FOLLOW_RANGE_S = (0.1, 1.5)  # after the acknowledgement
PAUSE_START_RANGE_S = (0.0, 4.0)
PAUSE_RANGE_S = (0.3, 3.0)


class WorkerEvent(enum.Enum):
    """What happens to a worker."""

    DIE = "die"  # until the split ends
    RESTART = "restart"  # under its id
    CROSS = "cross"  # restarts and changes the side
    MEET = "meet"  # restarts and is reached from both sides


@dataclasses.dataclass(frozen=True)
class Sides:
    """The two sides of a split."""

    node: fleet.Node
    others: list[fleet.Node]
    near: set[str]  # addresses of workers
    link_mode: proxy.Mode
    ports: list[int]  # of all workers, the one with the most followed tasks first


class SplitEvents:
    """Events of one split, drawn from `rng` at its start.

    Parameters
    ----------
    log : callable
        Writes a line of the fields that it is called with.
    """

    cuts_hosts: bool
    is_one_way: bool

    def __init__(
        self,
        platform: standin.Platform,
        rng: random.Random,
        log: Callable[..., None],
    ) -> None:
        self.cuts_hosts = rng.random() < HOSTS_CUT_SHARE
        self.is_one_way = rng.random() < ONE_WAY_SHARE
        self._platform = platform
        self._log = log
        self._worker_event = rng.choice([WorkerEvent.DIE, *WorkerEvent])
        self._has_worker_event = rng.random() < WORKER_EVENT_SHARE
        self._is_near = rng.random() < NEAR_SHARE
        self._event_s = rng.uniform(*EVENT_RANGE_S)
        self._follow_s = rng.uniform(*FOLLOW_RANGE_S)
        self._resets_calls = rng.random() < 0.5
        self._has_new_id = rng.random() < 0.5
        self._has_pause = rng.random() < PAUSE_SHARE
        self._pause_start_s = rng.uniform(*PAUSE_START_RANGE_S)
        self._pause_s = rng.uniform(*PAUSE_RANGE_S)
        self._dead_worker: standin.Worker | None = None

    async def run(self, sides: Sides) -> None:
        """Let the events happen; called when the store is cut off."""
        async with asyncio.TaskGroup() as group:
            if self._has_pause:
                group.create_task(self._pause(sides.node))
            if self._has_worker_event:
                group.create_task(self._disturb_worker(sides))

    def end(self) -> None:
        """Let a worker that died be back."""
        if self._dead_worker is not None and self._dead_worker.is_dead:
            self._platform.revive(self._dead_worker, self._has_new_id)

    async def _pause(self, node: fleet.Node) -> None:
        await asyncio.sleep(self._pause_start_s)
        self._log(event="pause", pause_s=round(self._pause_s, 2))
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(self._pause_s)
        node.signal(signal.SIGCONT)

    async def _disturb_worker(self, sides: Sides) -> None:
        cut_at = time.monotonic()
        found = None
        while time.monotonic() < cut_at + self._event_s:
            await asyncio.sleep(standin.POLL_INTERVAL_S)
            if found := self._find_worker(sides, cut_at):
                await asyncio.sleep(self._follow_s)
                break
        worker = found or self._find_worker(sides, 0.0)
        if worker is None or worker.is_dead:
            return
        self._log(
            event=self._worker_event.value,
            worker=worker.worker_id,
            is_near=self._is_near,
            is_after_end=found is not None,
            runs=[f"{task} run {row[0]}" for task, row in worker.running.items()],
        )
        if self._worker_event is WorkerEvent.DIE:
            self._dead_worker = worker
            self._platform.kill(worker, self._resets_calls)
            return
        self._platform.crash(worker)
        if self._worker_event is WorkerEvent.RESTART:
            return
        target = f"127.0.0.1:{worker.port}"
        is_crossing = self._worker_event is WorkerEvent.CROSS
        sides.node.links_by_target[target].set_cut(
            sides.link_mode if is_crossing and self._is_near else None
        )
        for other in sides.others:
            other.links_by_target[target].set_cut(
                sides.link_mode if is_crossing and not self._is_near else None
            )

    def _find_worker(self, sides: Sides, ended_after: float) -> standin.Worker | None:
        """Return a worker of the side with an end that a later owner acknowledged.

        With 0.0, any worker of the side that is alive.
        """
        for port in sides.ports:
            worker = self._platform.workers_by_port[port]
            is_near = f"127.0.0.1:{port}" in sides.near
            if (
                is_near is self._is_near
                and not worker.is_dead
                and worker.adopted_end_at >= ended_after
            ):
                return worker
        return None
