"""Assembles the parts of a node for jobs."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from clementinespar import http_calls
from clementinespar.jobs import (
    fleet,
    options,
    ownership,
    peer_server,
    pool_owner,
    service,
    services,
    telemetry,
)

READY_WITHIN_S = 4.0  # a node that has not reached the store for longer is not ready


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformParts:
    """What the platform provides, behind the product's protocols."""

    store: services.JobStore
    group: services.OwnershipGroup
    workers: services.WorkerClient
    adviser: services.Adviser
    directory: services.WorkerDirectory
    configuration: services.ConfigurationSource
    hosts: services.HostService
    waves: services.WaveSource


class JobNode:
    """One running node; made by `run_node`."""

    jobs: service.JobService
    keeper: ownership.OwnershipKeeper
    metrics: telemetry.JobMetrics
    is_stopping: bool
    _parts: PlatformParts

    def __init__(
        self,
        settings: options.JobNodeSettings,
        parts: PlatformParts,
        caller: http_calls.HttpClient,
        record: services.JobRecorder,
    ) -> None:
        self.metrics = telemetry.JobMetrics()
        self.is_stopping = False
        self._parts = parts
        owner_settings = pool_owner.OwnerSettings(settings.jobs.lease_max_ms / 1000)

        def make_owner(partition: int, epoch: int) -> pool_owner.PoolOwner:
            return pool_owner.PoolOwner(
                partition,
                epoch,
                lambda pool: ownership.partition_of(pool) == partition,
                self.keeper.confirmed_at,
                lambda owner: None,
                parts.store,
                parts.directory,
                parts.workers,
                parts.adviser,
                owner_settings,
                record,
                self.metrics,
            )

        def hold_fleet(
            epoch: int,
        ) -> contextlib.AbstractAsyncContextManager[fleet.FleetOwner]:
            return fleet.own_fleet(
                fleet.FleetOwner(
                    epoch,
                    self.keeper,
                    self.jobs,
                    parts.store,
                    parts.hosts,
                    parts.waves,
                    parts.configuration,
                    settings.hosts.holder_lease_ms / 1000,
                    settings.hosts.upkeep_s,
                    record,
                )
            )

        self.keeper = ownership.OwnershipKeeper(
            parts.group,
            make_owner,
            hold_fleet,
            self.wanted_partitions,
            settings.node.core_millis,
            record,
        )
        self.jobs = service.JobService(
            self.keeper, parts.configuration, parts.store, caller
        )

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send callers here."""
        reached = self.keeper.reached_at
        now = asyncio.get_running_loop().time()
        return (
            not self.is_stopping
            and self._parts.configuration.current is not None
            and reached is not None
            and now - reached < READY_WITHIN_S
        )

    def wanted_partitions(self) -> frozenset[int]:
        """Return the partitions that hold a pool of the configuration."""
        configuration = self._parts.configuration.current
        if configuration is None:
            return frozenset()
        return frozenset(
            ownership.partition_of(name) for name in configuration.pools_by_name
        )

    def needs_directory(self) -> bool:
        """Whether this node owns a pool and so must know its workers."""
        return bool(self.keeper.assigned & self.wanted_partitions())


@contextlib.asynccontextmanager
async def run_node(
    node: JobNode, settings: options.JobNodeSettings
) -> AsyncIterator[None]:
    """Own partitions and answer peers while the context is entered."""
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(
            peer_server.serve_peers(
                settings.node.address,
                settings.node.first_internal_port,
                node.jobs,
                node.metrics,
            )
        )
        await stack.enter_async_context(ownership.keep_ownership(node.keeper))
        yield
