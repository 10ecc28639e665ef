"""A deployment whose only queue is sent to another pool, for tests."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable

import pytest

from clementinespar import codes, errors, http_calls
from clementinespar.jobs import (
    model,
    moved_queues,
    ownership,
    partitions,
    pool_owner,
    service,
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


class Configurations:
    """`services.ConfigurationSource` that follows the queue of one path."""

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
        traced = moved_queues.trace_former(queues, self._known)
        (self.queue,) = traced.values()
        self.current = model.JobConfiguration(
            configuration.version, traced, configuration.pools_by_name, 262_144
        )


BEFORE = make_configuration(1, "q", OLD)
AFTER = make_configuration(7, "q-added", NEW)


class PeerClient(http_calls.HttpClient):
    """Passes queries to the node that owns the partitions."""

    is_silent = False

    def __init__(self, peer: service.JobService) -> None:
        super().__init__()
        self._peer = peer

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
            reply = self._peer.answer_peer(int(partition), f"/{query}", body)
        except errors.ClementinesparError:
            return http_calls.Response(503, b"{}")
        return http_calls.Response(200, json.dumps(reply).encode())


class Deployment:
    """A node that owns the partitions of both pools, and one that owns nothing."""

    def __init__(self) -> None:
        self.store = fakes.FakeStore()
        self.workers = fakes.FakeWorkers(2, OLD)
        self.workers.task_s = 60.0
        for number in range(2):
            self.workers.add(f"{NEW}-{number}", NEW)
        owned = frozenset(map(PARTITION_MAP.find, (OLD, NEW)))
        self.managers: list[ownership.OwnershipManager] = []
        self.first = self._make_node(owned, Configurations(BEFORE), None)

    def start_node(self, *versions: model.JobConfiguration) -> service.JobService:
        """Return another node, which has seen some versions of the configuration."""
        client = PeerClient(self.first)
        return self._make_node(frozenset(), Configurations(*versions), client)

    def _make_node(
        self,
        owned: frozenset[int],
        configurations: Configurations,
        client: http_calls.HttpClient | None,
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
        return service.JobService(
            manager,
            PARTITION_MAP,
            configurations,
            self.store,
            client or http_calls.HttpClient(),
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
            fake_adviser.FakeAdviser(),
            self.workers,
            pool_owner.OwnerSettings(6.0),
            fakes.ignore_event,
            telemetry.JobMetrics(),
        )


@contextlib.asynccontextmanager
async def run_deployment() -> AsyncIterator[Deployment]:
    """Run the node that owns the partitions; a job lasts in the old pool."""
    deployment = Deployment()
    deployment.workers.lasting_jobs.add("a")
    async with ownership.run_ownership_manager(deployment.managers[0]):
        await asyncio.sleep(1.0)
        spec = helpers.make_spec("a", is_lasting=True, pool=OLD)
        assert await deployment.first.submit(OLD, spec, DEADLINE_S) is OK
        await asyncio.sleep(1.0)
        assert len(deployment.workers.starts) == 2
        yield deployment
        for node in deployment.managers:
            await node.close()
    assert not deployment.workers.violations
