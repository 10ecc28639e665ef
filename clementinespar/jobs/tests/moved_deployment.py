"""A deployment whose only queue is sent to another pool, for tests."""

import asyncio
import contextlib
import json
import random
from collections.abc import AsyncIterator, Callable, Mapping

import pytest

from clementinespar import background, codes, errors, http_calls
from clementinespar.jobs import (
    late_jobs,
    model,
    moved_queues,
    ownership,
    partitions,
    pool_owner,
    queue_history,
    service,
    services,
    telemetry,
)
from clementinespar.jobs.tests import fake_adviser, fakes, helpers

PARTITION_MAP = partitions.PartitionMap(12)
OLD, NEW = "quotes", "orders"  # pools of two partitions
DEADLINE_S = 2.8
OK = codes.ResultCode.OK


def make_configuration(version: int, name: str, pool: str) -> model.JobConfiguration:
    """Return a configuration whose only queue is in a pool."""
    queue = model.Queue(name, "h", "/a/", pool, 3000, 600, 3, 0, 1.6)
    pools = {pool: model.Pool(pool, False) for pool in (OLD, NEW)}
    return model.JobConfiguration(version, {name: queue}, pools, 262_144)


def make_history(store: fakes.FakeStore, seed: int = 0) -> queue_history.QueueHistory:
    """Return the history of queues as a process knows it that has just started."""
    return queue_history.QueueHistory(store, random.Random(seed), fakes.ignore_event)


class Configurations:
    """`services.ConfigurationSource` that has seen some versions."""

    current: model.JobConfiguration | None
    confirmed_at: float | None = None

    def __init__(self, *versions: model.JobConfiguration) -> None:
        self._known: dict[tuple[str, str], set[tuple[str, str]]] = {("h", "/a/"): set()}
        self.queue: model.Queue
        for version in versions:
            self.apply(version)

    def apply(self, configuration: model.JobConfiguration) -> None:
        queues = configuration.queues_by_name.values()
        self._known["h", "/a/"] |= {(queue.name, queue.pool) for queue in queues}
        self.use(moved_queues.with_history(configuration, self._known))

    def use(self, configuration: model.JobConfiguration) -> None:
        """Bring a configuration with the earlier pools of its queue into force."""
        (self.queue,) = configuration.queues_by_name.values()
        self.current = configuration


BEFORE = make_configuration(1, "q", OLD)
AFTER = make_configuration(7, "q-added", NEW)


class PeerClient(http_calls.HttpClient):
    """Passes queries to the node that owns the partition."""

    is_silent = False
    answer_delay_s = 0.0

    def __init__(self, nodes_by_partition: Mapping[int, service.JobService]) -> None:
        super().__init__()
        self._nodes_by_partition = nodes_by_partition

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: str = "",
        timeout_s: float = 1.0,
        may_send: Callable[[], bool] | None = None,
        limit_s: float | None = None,
    ) -> http_calls.Response:
        await asyncio.sleep(0.001)
        if self.is_silent:
            raise http_calls.CallNotSentError("no connection")
        _, partition, query = path.split("/", 2)
        try:
            peer = self._nodes_by_partition[int(partition)]
            reply = peer.answer_peer(int(partition), f"/{query}", body)
        except errors.ClementinesparError:
            return http_calls.Response(503, b"{}")
        await asyncio.sleep(self.answer_delay_s)
        return http_calls.Response(200, json.dumps(reply).encode())


class Deployment:
    """Nodes that own the partitions of both pools, and others that own nothing.

    Parameters
    ----------
    is_split : bool
        Whether the owners are at two nodes, not at one.
    """

    def __init__(self, is_split: bool = False) -> None:
        self.store = fakes.FakeStore()
        self.workers = fakes.FakeWorkers(2, OLD)
        self.workers.task_s = 60.0
        for number in range(2):
            self.workers.add(f"{NEW}-{number}", NEW)
        old, new = map(PARTITION_MAP.find, (OLD, NEW))
        self.managers: list[ownership.OwnershipManager] = []
        self._groups: list[fakes.FakeGroup] = []
        self._nodes_by_partition: dict[int, service.JobService] = {}
        self.owner_nodes: list[service.JobService] = []
        for owned in ({old}, {new}) if is_split else ({old, new},):
            node = self._make_node(frozenset(owned), Configurations(BEFORE))
            self.owner_nodes.append(node)
            self._nodes_by_partition |= dict.fromkeys(owned, node)
        self.first = self.owner_nodes[0]

    def start_node(self, *versions: model.JobConfiguration) -> service.JobService:
        """Return another node, which has seen some versions of the configuration."""
        return self._make_node(frozenset(), Configurations(*versions))

    async def restart_node(
        self, configuration: model.JobConfiguration
    ) -> service.JobService:
        """Return a node whose process has just read its first configuration."""
        included = await make_history(self.store).include(configuration)
        assert included is not None
        configurations = Configurations()
        configurations.use(included)
        return self._make_node(frozenset(), configurations)

    def find_client(self, owner_node: int) -> PeerClient:
        """Return the client of a node that owns partitions."""
        client = self.owner_nodes[owner_node]._http_client
        assert isinstance(client, PeerClient)
        return client

    def find_command(self, key: str, pool: str) -> bytes | None:
        """Return the newest command with a key in the partition of a pool."""
        topic = services.Topic.COMMANDS, PARTITION_MAP.find(pool)
        return self.store.values[topic].get(key)

    async def replace_owners(self) -> None:
        """Take the partitions from their owners and let new ones begin."""
        groups = self._groups[: len(self.owner_nodes)]
        owned = [group.assignment.partitions for group in groups]
        for generation, is_owned in ((2, False), (3, True)):
            for group, partitions_owned in zip(groups, owned, strict=True):
                group.assignment = services.Assignment(
                    generation, partitions_owned if is_owned else frozenset()
                )
            await asyncio.sleep(2.0)

    async def drop_owner(self, pool: str) -> None:
        """Take the partition of a pool from its owner, and give it to none."""
        node = self._nodes_by_partition[PARTITION_MAP.find(pool)]
        self._groups[self.owner_nodes.index(node)].assignment = services.Assignment(
            2, frozenset()
        )
        await asyncio.sleep(2.0)

    def _make_node(
        self, owned: frozenset[int], configurations: Configurations
    ) -> service.JobService:
        group = fakes.FakeGroup(owned)
        group.owners = dict.fromkeys(
            map(PARTITION_MAP.find, (OLD, NEW)), "10.0.0.1:1/1/1000"
        )
        manager = ownership.OwnershipManager(
            group,
            self._make_owner,
            lambda epoch: pytest.fail("the fleet partition is not assigned"),
            PARTITION_MAP.fleet_partition,
            lambda: owned,
            1_000,
            fakes.ignore_event,
        )
        self.managers.append(manager)
        self._groups.append(group)
        return service.JobService(
            manager,
            PARTITION_MAP,
            configurations,
            self.store,
            PeerClient(self._nodes_by_partition),
        )

    def _make_owner(self, partition: int, epoch: int) -> pool_owner.PoolOwner:
        return pool_owner.PoolOwner(
            partition,
            epoch,
            lambda pool: PARTITION_MAP.find(pool) == partition,
            self.managers[0].confirmed_at,
            lambda owner: None,
            self.store,
            self.workers,
            self.workers,
            fake_adviser.make_calls(fake_adviser.FakeAdviser()),
            self.workers,
            pool_owner.OwnerSettings(6.0),
            fakes.ignore_event,
            telemetry.JobMetrics(),
        )


@contextlib.asynccontextmanager
async def run_deployment(is_split: bool = False) -> AsyncIterator[Deployment]:
    """Run the nodes that own the partitions; a job lasts in the old pool."""
    deployment = Deployment(is_split)
    deployment.workers.lasting_jobs.add("a")
    async with contextlib.AsyncExitStack() as stack:
        for node in deployment.owner_nodes:
            manager = node.ownership_manager
            late = late_jobs.LateJobs(manager, node, fakes.ignore_event)
            await stack.enter_async_context(ownership.run_ownership_manager(manager))
            await stack.enter_async_context(background.running(late.run()))
        assert await make_history(deployment.store).include(BEFORE) is not None
        await asyncio.sleep(1.0)
        spec = helpers.make_spec("a", is_lasting=True, pool=OLD)
        assert await deployment.first.submit(OLD, spec, DEADLINE_S) is OK
        await asyncio.sleep(1.0)
        assert len(deployment.workers.starts) == 2
        yield deployment
        for manager in deployment.managers:
            await manager.close()
    assert not deployment.workers.violations
