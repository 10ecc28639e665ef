"""Splits the network: the owner of a pool is alone with some of the workers."""

import asyncio
import json
import pathlib
import random
import time

from clementinespar.jobs import partitions, standby
from clementinespar_adapter import standin
from soak import callers, fleet, proxy, split_events

POOL = "work"
PARTITIONS = partitions.PartitionMap(24)  # as many as the stand-in of the store grants
PAUSE_RANGE_S = (0.5, 3.0)  # before each split
DURATION_RANGE_S = (4.0, 9.0)  # an owner's leases end 5.4 s after its confirmation
TAIL_S = 4.0  # the last split ends at most this long after the last other fault
# Routes fail one after the other: the store is cut off this long after the workers.
# Renewals of leases are 0.8 s apart.
LEAD_RANGE_S = (0.0, 2.0)
WORKER_SHARES = (0.25, 0.5, 0.75)  # of the workers on the side of the owner
FAR_TASKS_SHARE = 0.75  # of the splits with the most followed tasks on the other side
LASTING_JOBS = 3  # submitted before each split
# Finite tasks that the next owner finds at work, or that it finds ended.
FINITE_JOBS = 2  # submitted before the wait for an owner, and as many after it
FINITE_RANGE_S = (2.0, 5.0)
FINITE_LEAD_RANGE_S = (0.1, 0.6)  # from the submission of the later ones to the split
OWNER_AGE_S = 1.5  # an owner has found the runs on its workers by then
OWNER_WAIT_S = 6.0  # for such an owner; then any owner or a random node is cut off
QUIET_SHARE = 0.6  # of the splits during which no other fault starts
MODES = (proxy.Mode.SILENT, proxy.Mode.RESET)
DISTURB_INTERVAL_S = 0.5  # tasks that stand still are not judged during a split


class Splitter:
    """Splits the network again and again, with values that it draws from `rng`.

    On one side are the owner of the pool and some of the workers, on the other the
    store, the other nodes and the other workers. Callers reach all nodes. Each split is
    written to a log beside those of the nodes. Lasting tasks and finite ones of medium
    length run meanwhile.
    """

    count: int  # splits started
    is_quiet: bool  # whether no other fault is to start now

    def __init__(
        self,
        platform: standin.Platform,
        nodes: list[fleet.Node],
        load: callers.Callers,
        rng: random.Random,
        event_rng: random.Random,
        folder: pathlib.Path,
    ) -> None:
        self.count = 0
        self.is_quiet = False
        self._load = load
        self._log = folder / "splits.log"
        self._platform = platform
        self._nodes = nodes
        self._rng = rng
        self._event_rng = event_rng
        self._followed: set[str] = set()  # ids of jobs, beside all that last

    async def run(self, seconds: float) -> None:
        """Split the network for some seconds and wait until the last split ends."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds + TAIL_S
        async with asyncio.TaskGroup() as submissions:
            while True:
                rng = random.Random(self._rng.random())
                for _ in range(LASTING_JOBS):
                    submissions.create_task(self._load.submit_lasting(rng))
                await asyncio.sleep(self._rng.uniform(*PAUSE_RANGE_S))
                duration = self._rng.uniform(*DURATION_RANGE_S)
                any_node = self._rng.choice(self._nodes)
                self._submit_finite(submissions)
                node = await self._wait_owner() or any_node
                self._submit_finite(submissions)
                await asyncio.sleep(self._event_rng.uniform(*FINITE_LEAD_RANGE_S))
                lead = self._rng.uniform(*LEAD_RANGE_S)
                if loop.time() + lead + duration > end:
                    return
                self.is_quiet = self._rng.random() < QUIET_SHARE
                await self._split(node, lead, duration)
                self.is_quiet = False

    def _submit_finite(self, submissions: asyncio.TaskGroup) -> None:
        rng = random.Random(self._event_rng.random())
        for _ in range(FINITE_JOBS):
            job_id = f"{rng.getrandbits(64):016x}"
            self._followed.add(job_id)
            task_s = rng.uniform(*FINITE_RANGE_S)
            submissions.create_task(self._load.submit_finite(job_id, task_s, rng))

    async def _split(self, node: fleet.Node, lead_s: float, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        near = self._choose_near_workers()
        links = self._find_links(node, near)
        mode = self._rng.choice(MODES)
        events = split_events.SplitEvents(
            self._platform, random.Random(self._event_rng.random()), self._log_line
        )
        sides = split_events.Sides(
            node,
            [other for other in self._nodes if other is not node],
            near,
            proxy.Mode.CUT_BACK if events.is_one_way else mode,
            sorted(
                self._platform.workers_by_port,
                key=lambda port: -len(self._list_runs(port)),
            ),
        )
        self.count += 1
        self._log_line(
            **self._describe(sides),
            mode=mode.value,
            cuts_hosts=events.cuts_hosts,
            lead_s=round(lead_s, 2),
            duration_s=round(duration_s, 2),
        )
        self._platform.disturb()
        for link in links:
            link.set_cut(sides.link_mode)
        await asyncio.sleep(lead_s)
        node.store_proxy.set_cut(mode)
        if events.cuts_hosts:
            node.hosts_proxy.set_cut(mode)
        end = loop.time() + duration_s
        async with asyncio.TaskGroup() as group:
            group.create_task(events.run(sides))
            while loop.time() < end:
                self._platform.disturb()
                await asyncio.sleep(min(DISTURB_INTERVAL_S, end - loop.time()))
        for each in self._nodes:
            for link in (*each.links_by_target.values(), each.store_proxy):
                link.set_cut(None)
        node.hosts_proxy.set_cut(None)
        events.end()
        self._platform.disturb()

    async def _wait_owner(self) -> fleet.Node | None:
        """Wait for an owner that has followed tasks running; return the present one."""
        loop = asyncio.get_running_loop()
        end = loop.time() + OWNER_WAIT_S
        owner, since = self._find_owner(), loop.time()
        while loop.time() < end:
            await asyncio.sleep(standin.POLL_INTERVAL_S)
            if (present := self._find_owner()) is not owner:
                owner, since = present, loop.time()
            ports = self._platform.workers_by_port
            has_runs = any(self._list_runs(port) for port in ports)
            if owner and has_runs and loop.time() > since + OWNER_AGE_S:
                break
        return owner

    def _choose_near_workers(self) -> set[str]:
        """Return the addresses of the workers on the side of the owner."""
        ports = sorted(self._platform.workers_by_port)
        count = round(self._rng.choice(WORKER_SHARES) * len(ports))
        self._rng.shuffle(ports)
        if self._rng.random() < FAR_TASKS_SHARE:
            fullest = max(ports, key=lambda port: len(self._list_runs(port)))
            ports.remove(fullest)
            ports.append(fullest)
        return {f"127.0.0.1:{port}" for port in ports[:count]}

    def _list_runs(self, port: int) -> list[str]:
        worker = self._platform.workers_by_port[port]
        return [
            f"{task} run {run} on {worker.worker_id}"
            for task, (run, _, _) in worker.running.items()
            if task.split(".")[0] in self._platform.lasting | self._followed
        ]

    def _describe(self, sides: split_events.Sides) -> dict[str, object]:
        runs: dict[str, list[str]] = {"near": [], "far": []}
        for port in sides.ports:
            side = "near" if f"127.0.0.1:{port}" in sides.near else "far"
            runs[side] += self._list_runs(port)
        return {
            "node": f"node-{self._nodes.index(sides.node)}",
            "is_owner": sides.node is self._find_owner(),
            "is_quiet": self.is_quiet,
            "link_mode": sides.link_mode.value,
            "runs": runs,
        }

    def _log_line(self, **fields: object) -> None:
        line = {"t": round(time.time(), 3), **fields}
        with self._log.open("a") as log:
            log.write(json.dumps(line) + "\n")

    def _find_owner(self) -> fleet.Node | None:
        partition = PARTITIONS.find(POOL)
        owners = {
            standby.parse_address(name)
            for name, member in self._platform.members.items()
            if partition in member.parts
        }
        return next((node for node in self._nodes if node.internal in owners), None)

    def _find_links(self, node: fleet.Node, near: set[str]) -> list[proxy.Proxy]:
        """Return the proxies between the two sides but that to the store."""
        links = [
            link for target, link in node.links_by_target.items() if target not in near
        ]
        for other in self._nodes:
            if other is not node:
                links += [
                    link
                    for target, link in other.links_by_target.items()
                    if target in near or target == node.internal
                ]
        return links
