"""Owners of several partitions and ledgers, on fakes and a network that has faults."""

import asyncio
import collections
import contextlib
import dataclasses
import random
from collections.abc import Mapping

from clementinespar import http_calls
from clementinespar.jobs import (
    model,
    partitions,
    pool_owner,
    quota_exchange,
    resources,
    services,
    state,
    team_use,
    teams,
    telemetry,
)
from clementinespar.jobs.tests import fake_adviser, fakes, helpers

TTL_S = 1.5  # of a member of the group
CAPS_MAX_AGE_S = 3.0
CAPS_GRACE_S = 3.0  # a configuration applies within this time
PARTITION_MAP = partitions.PartitionMap(24)


def make_configuration(
    caps: Mapping[str, resources.Resources], pools: list[str], version: int = 1
) -> model.JobConfiguration:
    """Return a configuration of teams and pools."""
    return model.JobConfiguration(
        version,
        {},
        {name: model.Pool(name, False) for name in pools},
        1_000,
        {},
        {name: teams.Team(name, frozenset(), 1.0, cap) for name, cap in caps.items()},
    )


def make_job(
    job_id: str,
    team: str,
    pool: str,
    counts: tuple[int, ...] = (2,),
    cpu: int = 1000,
    memory: int = 100,
    is_lasting: bool = False,
    is_gang: bool = False,
) -> model.JobSpec:
    """Return a job of a chain of steps."""
    spec = helpers.make_spec(job_id, 1, cpu, is_lasting=is_lasting, pool=pool)
    steps = tuple(
        dataclasses.replace(
            spec.steps[0],
            task_count=count,
            memory_mb=memory,
            is_gang=is_gang,
            after=(number - 1,) if number else (),
            max_per_worker=0,
        )
        for number, count in enumerate(counts)
    )
    return dataclasses.replace(spec, steps=steps, team=team)


class FakeNode:
    """A node as `quota_exchange` sees it, in place of the ownership manager.

    It owns one partition, or runs the ledger.
    """

    address: str
    owners_by_partition: dict[int, pool_owner.PoolOwner]
    is_fleet_owner: bool
    generation: int
    gap_count: int
    is_cut: bool  # no call leaves or reaches it
    frozen_at: float | None  # time of its last confirmation; None: just now
    configuration: "FakeConfiguration"
    exchange: quota_exchange.QuotaExchange

    def __init__(self, fleet: "QuotaFleet", number: int) -> None:
        self.address = f"node-{number}"
        self.owners_by_partition = {}
        self.is_fleet_owner = False
        self.generation = number
        self.gap_count = 0
        self.is_cut = False
        self.frozen_at = None
        self.configuration = FakeConfiguration(self, fleet.configuration)
        self.stack = contextlib.AsyncExitStack()
        self._fleet = fleet
        self.exchange = quota_exchange.QuotaExchange(
            self,  # type: ignore[arg-type]
            PARTITION_MAP,
            lambda: frozenset(fleet.partitions),
            self.configuration,  # type: ignore[arg-type]
            _NodeTransport(fleet, self),
            TTL_S,
            CAPS_MAX_AGE_S,
            fleet.log_event,
            fleet.metrics,
        )

    def confirmed_at(self) -> float:
        """Return when ownership was last confirmed."""
        now = asyncio.get_running_loop().time()
        return now if self.frozen_at is None else self.frozen_at

    def known_owner(self, partition: int) -> str | None:
        return self._fleet.find_address(partition)

    async def find_owner(self, partition: int, is_fresh: bool = False) -> str | None:
        return self._fleet.find_address(partition)


class FakeConfiguration:
    """`services.ConfigurationSource` that is confirmed together with ownership."""

    current: model.JobConfiguration | None

    def __init__(self, node: FakeNode, current: model.JobConfiguration) -> None:
        self.current = current
        self._node = node

    @property
    def confirmed_at(self) -> float:
        return self._node.confirmed_at()


class _NodeTransport:
    """`quota_exchange.Transport` of one node."""

    def __init__(self, fleet: "QuotaFleet", source: FakeNode) -> None:
        self._fleet = fleet
        self._source = source

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: str = "",
        timeout_s: float = 1.0,
    ) -> http_calls.Response:
        self._fleet.calls[path.rpartition("/")[2]] += 1
        answer = asyncio.create_task(self._deliver(address, path, body))
        done, _ = await asyncio.wait({answer}, timeout=timeout_s)
        if not done:
            # The call may still arrive: the caller has given it up.
            self._fleet.late_calls.add(answer)
            answer.add_done_callback(self._fleet.late_calls.discard)
            raise http_calls.CallUnansweredError("timeout")
        response = answer.result()
        if response is None:
            raise http_calls.CallUnansweredError("lost")
        return response

    async def _deliver(
        self, address: str, path: str, body: bytes
    ) -> http_calls.Response | None:
        fleet = self._fleet
        await asyncio.sleep(fleet.draw_delay_s())
        target = fleet.nodes_by_address.get(address)
        is_lost = fleet.draw_loss()
        if target is None or target.is_cut or self._source.is_cut or is_lost:
            await asyncio.sleep(1.0)
            return None
        copies = 2 if fleet.draw_loss() else 1
        for _ in range(copies):
            if path == "/quota/request":
                status, reply = await target.exchange.answer_request(body)
            else:
                partition = int(path.split("/")[1])
                status, reply = target.exchange.answer_recall(partition, body)
            await asyncio.sleep(fleet.draw_delay_s())
        if fleet.draw_loss() or target.is_cut or self._source.is_cut:
            await asyncio.sleep(1.0)
            return None
        return http_calls.Response(status, reply)


class QuotaFleet:
    """The partitions, their owners, the ledger, and what certainly runs."""

    partitions: dict[int, str]  # their pools
    violations: list[str]
    peak_by_team: dict[str, resources.Resources]  # that ran at one time
    calls: collections.Counter[str]  # by the last part of the path
    last_epoch: int  # of an owner or a ledger
    fault_rate: float
    max_delay_s: float
    events: list[tuple[str, dict[str, object]]]

    def __init__(
        self,
        caps: Mapping[str, resources.Resources],
        count: int = 3,
        workers: int = 3,
        seed: int = 0,
    ) -> None:
        self.partitions = {number: f"pool{number}" for number in range(count)}
        self.metrics = telemetry.JobMetrics()
        self.store = fakes.FakeStore()
        self.workers = {
            number: fakes.FakeWorkers(workers, pool, 8000)
            for number, pool in self.partitions.items()
        }
        for fake in self.workers.values():
            fake.on_start = self._check_start
        self.nodes_by_address: dict[str, FakeNode] = {}
        self.owner_nodes: dict[int, FakeNode] = {}
        self.ledger_node: FakeNode | None = None
        self.violations = []
        self.peak_by_team = {}
        self.calls = collections.Counter()
        self.late_calls: set[asyncio.Task[http_calls.Response | None]] = set()
        self.fault_rate = 0.0
        self.max_delay_s = 0.002
        self.events = []
        self._random = random.Random(seed)
        self.last_epoch = 0
        self._specs: dict[str, model.JobSpec] = {}
        self._caps_log: list[tuple[float, Mapping[str, resources.Resources]]] = []
        self.configuration = make_configuration(caps, list(self.partitions.values()))
        self._caps_log.append((0.0, dict(caps)))

    def log_event(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))

    def draw_delay_s(self) -> float:
        """Return the delay of a message."""
        return self._random.uniform(0.0, self.max_delay_s)

    def draw_loss(self) -> bool:
        """Whether a message is lost or doubled."""
        return self._random.random() < self.fault_rate

    def find_address(self, partition: int) -> str | None:
        """Return the address of the current owner of a partition."""
        node = self.owner_nodes.get(partition)
        if partition == PARTITION_MAP.fleet_partition:
            node = self.ledger_node
        return None if node is None else node.address

    # Owners and ledgers.

    def _make_node(self) -> FakeNode:
        self.last_epoch += 1
        node = FakeNode(self, self.last_epoch)
        self.nodes_by_address[node.address] = node
        return node

    async def start_all(self) -> None:
        """Start the ledger and an owner of each partition."""
        await self.start_ledger()
        for partition in self.partitions:
            await self.start_owner(partition)

    async def start_owner(self, partition: int) -> pool_owner.PoolOwner:
        """Start an owner with a later epoch; an earlier one may go on."""
        node = self._make_node()
        pool = self.partitions[partition]
        owner = pool_owner.PoolOwner(
            partition,
            node.generation,
            lambda name: name == pool,
            node.confirmed_at,
            lambda owner: None,
            self.store,
            self.workers[partition],
            self.workers[partition],
            fake_adviser.make_calls(fake_adviser.FakeAdviser()),
            self.workers[partition],
            pool_owner.OwnerSettings(helpers.LEASE_MAX_S),
            self.log_event,
            self.metrics,
            node.exchange,
        )
        await node.stack.enter_async_context(pool_owner.own_partition(owner))
        node.owners_by_partition[partition] = owner
        self.owner_nodes[partition] = node
        return owner

    async def start_ledger(self) -> None:
        """Start a ledger with a later epoch; an earlier one may go on."""
        node = self._make_node()
        node.is_fleet_owner = True
        await node.stack.enter_async_context(node.exchange.run_ledger(node.generation))
        self.ledger_node = node

    async def stop_node(self, node: FakeNode) -> None:
        """Stop a node as planned."""
        await node.stack.aclose()
        node.owners_by_partition.clear()
        node.is_fleet_owner = False
        self.nodes_by_address.pop(node.address, None)

    async def lose_node(self, node: FakeNode, is_cut: bool) -> None:
        """Let the ownership of a node expire; it goes on, and may be cut off."""
        if node.frozen_at is None:
            node.frozen_at = asyncio.get_running_loop().time()
        node.is_cut = is_cut
        await asyncio.sleep(TTL_S)

    async def close(self) -> None:
        """Stop everything."""
        for node in list(self.nodes_by_address.values()):
            await self.stop_node(node)
        for call in tuple(self.late_calls):
            call.cancel()
        await asyncio.gather(*self.late_calls, return_exceptions=True)
        await asyncio.sleep(0.01)

    # Policy and jobs.

    def set_caps(
        self, caps: Mapping[str, resources.Resources], max_delay_s: float = 0.0
    ) -> None:
        """Write a configuration, which each node reads with another delay."""
        loop = asyncio.get_running_loop()
        self._caps_log.append((loop.time(), dict(caps)))
        self.configuration = make_configuration(
            caps, list(self.partitions.values()), len(self._caps_log)
        )
        for node in self.nodes_by_address.values():
            delay_s = self._random.uniform(0.0, max_delay_s)
            loop.call_later(delay_s, self._apply_configuration, node)

    def _apply_configuration(self, node: FakeNode) -> None:
        if node.frozen_at is None:
            node.configuration.current = self.configuration

    async def submit(self, partition: int, spec: model.JobSpec) -> None:
        """Store a job."""
        self._specs[spec.job_id] = spec
        fake = self.workers[partition]
        for number, step in enumerate(spec.steps):
            fake.cpu_by_step[spec.job_id, number] = step.cpu_millis
            if step.is_lasting:
                fake.lasting_jobs.add(spec.job_id)
        await self.store.append(
            services.Topic.COMMANDS,
            partition,
            [services.KeyedRecord("j" + spec.job_id, state.encode_spec(spec))],
        )

    async def cancel(self, partition: int, job_id: str) -> None:
        """Store a cancellation."""
        await self.store.append(
            services.Topic.COMMANDS,
            partition,
            [services.KeyedRecord("c" + job_id, b"1")],
        )

    # What certainly runs.

    def count_running(self) -> dict[str, resources.Resources]:
        """Return what the tasks use that execute on workers, by team."""
        use: dict[str, resources.Resources] = {}
        for fake in self.workers.values():
            for worker in fake.workers.values():
                fake.advance(worker)
                for task in worker.running:
                    spec = self._specs[task.job_id]
                    need = team_use.needs(spec.steps[task.step])
                    use[spec.team] = use.get(spec.team, resources.ZERO).plus(need)
        return use

    def find_cap(self, team: str) -> resources.Resources | None:
        """Return the highest cap that may be in force; None if there may be none."""
        now = asyncio.get_running_loop().time()
        newest_old = max(
            (at for at, _ in self._caps_log if at <= now - CAPS_GRACE_S), default=0.0
        )
        highest = resources.ZERO
        for at, caps in self._caps_log:
            if at < newest_old:
                continue
            cap = caps.get(team)
            if cap is None or not any(cap):
                return None
            highest = highest.max_with(
                resources.Resources(*(amount or 10**9 for amount in cap))
            )
        return highest

    def _check_start(self, task: model.TaskKey) -> None:
        spec = self._specs[task.job_id]
        need = team_use.needs(spec.steps[task.step])
        use = self.count_running().get(spec.team, resources.ZERO).plus(need)
        peak = self.peak_by_team.get(spec.team, resources.ZERO)
        self.peak_by_team[spec.team] = peak.max_with(use)
        cap = self.find_cap(spec.team)
        if cap is not None and any(
            used > limit and needed
            for used, limit, needed in zip(use, cap, need, strict=True)
        ):
            self.violations.append(f"{spec.team} uses {use} of {cap} with {task}")

    def find_violations(self) -> list[str]:
        """Return the starts beyond a cap, and what the workers found."""
        return self.violations + [
            violation for fake in self.workers.values() for violation in fake.violations
        ]
