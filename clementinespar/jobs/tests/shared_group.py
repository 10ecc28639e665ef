"""Fake of the store's group with many members, and the nodes that join it."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Mapping

from clementinespar.jobs import ownership, pool_owner, services, standby, telemetry
from clementinespar.jobs.tests import fake_adviser, fakes, helpers, test_ownership

TTL_S = 1.5
PARTITIONS = 24


@dataclasses.dataclass
class _Member:
    seen_at: float
    parts: set[int] = dataclasses.field(default_factory=set)
    leaving: dict[int, int] = dataclasses.field(default_factory=dict)  # generations


class SharedGroup:
    """Assigns partitions evenly; moved ones stay with a member until it confirms."""

    def __init__(self) -> None:
        self.members: dict[str, _Member] = {}
        self.generation = 0
        self.change_count = 0  # of owners of partitions

    def join(self, name: str, generation: int) -> services.Assignment:
        """Renew a membership, which confirms the assignment of a generation."""
        now = asyncio.get_running_loop().time()
        member = self.members.setdefault(name, _Member(now))
        member.seen_at = now
        member.leaving = {p: g for p, g in member.leaving.items() if g > generation}
        self.rebalance()
        return services.Assignment(self.generation, frozenset(member.parts))

    def leave(self, name: str) -> None:
        """End a membership."""
        self.members.pop(name, None)
        self.rebalance()

    def rebalance(self) -> None:
        """Drop expired members and assign their partitions evenly."""
        now = asyncio.get_running_loop().time()
        for name, member in list(self.members.items()):
            if now - member.seen_at > TTL_S:
                del self.members[name]
        if not self.members:
            return
        owned = {p for m in self.members.values() for p in (*m.parts, *m.leaving)}
        generation = self.generation + 1
        for partition in sorted(set(range(PARTITIONS)) - owned):
            name = min(self.members, key=lambda n: (len(self.members[n].parts), n))
            self.members[name].parts.add(partition)
            self.change_count += 1
            self.generation = generation
        # Partitions that are about to move count for the members that will get them.
        sizes = {name: len(member.parts) for name, member in self.members.items()}
        for _ in range(sum(len(member.leaving) for member in self.members.values())):
            sizes[min(sizes, key=lambda n: (sizes[n], n))] += 1
        while True:
            largest = max(sizes, key=lambda n: (sizes[n], n))
            smallest = min(sizes, key=lambda n: (sizes[n], n))
            if sizes[largest] <= sizes[smallest] + 1:
                break
            sizes[largest] -= 1
            sizes[smallest] += 1
            member = self.members[largest]
            member.leaving[member.parts.pop()] = generation
            self.generation = generation

    def owners(self) -> dict[int, str]:
        """Return the member that owns each partition."""
        self.rebalance()
        return {
            partition: name
            for name, member in self.members.items()
            for partition in (*member.parts, *member.leaving)
        }


class GroupMember(fakes.FakeGroup):
    """The group as one node sees it, with the faults of `fakes.FakeGroup`."""

    def __init__(self, group: SharedGroup, member: str) -> None:
        super().__init__(frozenset())
        self.member = member
        self._group = group

    async def join(self, generation: int) -> services.Assignment:
        await super().join(generation)
        return self._group.join(self.member, generation)

    async def leave(self) -> None:
        if not self.drops_calls:
            self._group.leave(self.member)

    async def list_owners(self) -> Mapping[int, str]:
        self.owners = self._group.owners()
        return await super().list_owners()


class Node:
    """One process, which owns the partition of the pool while it is assigned."""

    def __init__(self, nodes: "Nodes", name: str) -> None:
        self.group = GroupMember(nodes.group, name)
        self.stack = contextlib.AsyncExitStack()
        self.owner: pool_owner.PoolOwner | None = None  # the newest one
        self._nodes = nodes
        self.manager = ownership.OwnershipManager(
            self.group,
            self._make_owner,
            _own_fleet,
            test_ownership.FLEET_PARTITION,
            lambda: frozenset({helpers.PARTITION}),
            standby.parse_core_millis(name),
            fakes.ignore_event,
            nodes.random.random,
        )

    def _make_owner(self, partition: int, epoch: int) -> pool_owner.PoolOwner:
        workers = self._nodes.workers
        self.owner = pool_owner.PoolOwner(
            partition,
            epoch,
            lambda pool: True,
            self.manager.confirmed_at,
            lambda owner: None,
            self._nodes.store,
            workers,
            workers,
            fake_adviser.make_calls(fake_adviser.FakeAdviser()),
            workers,
            pool_owner.OwnerSettings(helpers.LEASE_MAX_S),
            fakes.ignore_event,
            telemetry.JobMetrics(),
        )
        return self.owner


class Nodes:
    """Nodes with one store, one group and one pool of workers."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.group = SharedGroup()
        self.store = fakes.FakeStore()
        self.workers = fakes.FakeWorkers(12)
        self.by_number: dict[int, Node] = {}
        self.lost: list[Node] = []  # run on, but cannot reach the group
        self._births = 0

    async def start(self, number: int, core_millis: int = 1_000) -> None:
        """Start a process of a node; each has the same address and a new name."""
        self._births += 1
        name = standby.format_member(f"10.0.0.{number}:1", self._births, core_millis)
        node = self.by_number[number] = Node(self, name)
        await node.stack.enter_async_context(
            ownership.run_ownership_manager(node.manager)
        )

    async def stop(self, number: int, is_killed: bool = False) -> None:
        """Stop a node; one that is killed does not leave the group."""
        node = self.by_number.pop(number)
        node.group.drops_calls = is_killed
        await node.stack.aclose()

    def owner_numbers(self, partition: int | None = None) -> set[int]:
        """Return the nodes that own a partition, or any one."""
        owners = self.group.owners()
        names = set(owners.values()) if partition is None else {owners.get(partition)}
        return {n for n, node in self.by_number.items() if node.group.member in names}


@contextlib.asynccontextmanager
async def _own_fleet(epoch: int) -> AsyncIterator[test_ownership.FakeFleetOwner]:
    yield test_ownership.FakeFleetOwner(epoch)


@contextlib.asynccontextmanager
async def run_nodes(seed: int = 0) -> AsyncIterator[Nodes]:
    """Stop all nodes at the end of the context."""
    nodes = Nodes(seed)
    try:
        yield nodes
    finally:
        for node in (*nodes.by_number.values(), *nodes.lost):
            await node.stack.aclose()
