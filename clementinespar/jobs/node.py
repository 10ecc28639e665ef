"""Assembles the components of a node for jobs."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from clementinespar import background, http_calls
from clementinespar.jobs import (
    advice_calls,
    fleet,
    late_jobs,
    model,
    options,
    ownership,
    partitions,
    peer_server,
    pool_owner,
    quota_exchange,
    service,
    services,
    team_rate,
    telemetry,
)

STORE_ANSWER_MAX_AGE_S = 4.0  # a node is not ready if the last answer is older


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformServices:
    """Services of the platform that a node uses."""

    store: services.JobStore
    group: services.OwnershipGroup
    workers: services.WorkerClient
    adviser: services.Adviser
    directory: services.WorkerDirectory
    configuration: services.ConfigurationSource
    hosts: services.HostService
    waves: services.WaveSource


class JobNode:
    """A node; started by `run_node`."""

    jobs: service.JobService
    ownership_manager: ownership.OwnershipManager
    metrics: telemetry.JobMetrics
    quotas: quota_exchange.QuotaExchange
    is_stopping: bool
    _partition_map: partitions.PartitionMap
    _platform_services: PlatformServices

    def __init__(
        self,
        settings: options.JobNodeSettings,
        platform_services: PlatformServices,
        http_client: http_calls.HttpClient,
        log_event: services.EventLog,
    ) -> None:
        self.metrics = telemetry.JobMetrics()
        self.is_stopping = False
        self._platform_services = platform_services
        self._partition_map = partitions.PartitionMap(settings.store.partitions)
        advice = advice_calls.AdviceCalls(
            platform_services.adviser, self._find_advice_times
        )
        owner_settings = pool_owner.OwnerSettings(settings.jobs.lease_max_ms / 1000)

        def make_owner(partition: int, epoch: int) -> pool_owner.PoolOwner:
            return pool_owner.PoolOwner(
                partition,
                epoch,
                lambda pool: self._partition_map.find(pool) == partition,
                self.ownership_manager.confirmed_at,
                lambda owner: None,
                platform_services.store,
                platform_services.directory,
                platform_services.workers,
                advice,
                platform_services.hosts,
                owner_settings,
                log_event,
                self.metrics,
                self.quotas,
                self._find_weight,
            )

        @contextlib.asynccontextmanager
        async def own_fleet(epoch: int) -> AsyncIterator[fleet.FleetOwner]:
            fleet_owner = fleet.FleetOwner(
                self._partition_map.fleet_partition,
                epoch,
                self.ownership_manager,
                self.jobs,
                platform_services.store,
                platform_services.hosts,
                platform_services.waves,
                platform_services.configuration,
                settings.hosts.holder_lease_ms / 1000,
                settings.hosts.upkeep_s,
                log_event,
                self.metrics,
            )
            async with self.quotas.run_ledger(epoch), fleet.own_fleet(fleet_owner):
                yield fleet_owner

        self.ownership_manager = ownership.OwnershipManager(
            platform_services.group,
            make_owner,
            own_fleet,
            self._partition_map.fleet_partition,
            self.wanted_partitions,
            settings.node.core_millis,
            log_event,
        )
        self.quotas = quota_exchange.QuotaExchange(
            self.ownership_manager,
            self._partition_map,
            self.wanted_partitions,
            platform_services.configuration,
            http_client,
            platform_services.group.ttl_s,
            settings.jobs.keys_max_age_ms / 1000,
            log_event,
            self.metrics,
        )
        self.jobs = service.JobService(
            self.ownership_manager,
            self._partition_map,
            platform_services.configuration,
            platform_services.store,
            http_client,
        )
        self.late_jobs = late_jobs.LateJobs(
            self.ownership_manager, self.jobs, log_event
        )

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may route callers to this node."""
        reached = self.ownership_manager.reached_at
        now = asyncio.get_running_loop().time()
        return (
            not self.is_stopping
            and self._platform_services.configuration.current is not None
            and reached is not None
            and now - reached < STORE_ANSWER_MAX_AGE_S
        )

    def _find_weight(self, team: str) -> float:
        """Return the weight of a team in the configuration in force."""
        configuration = self._platform_services.configuration.current
        known = {} if configuration is None else configuration.teams_by_name
        return known[team].weight if team in known else team_rate.default_weight(team)

    def _find_advice_times(self, queue: str) -> model.AdviceTimes | None:
        """Return the times of a queue's adviser in the configuration in force."""
        configuration = self._platform_services.configuration.current
        known = {} if configuration is None else configuration.queues_by_name
        return known[queue].advice if queue in known else None

    def wanted_partitions(self) -> frozenset[int]:
        """Return the partitions that need an owner, as they may have jobs."""
        return self.jobs.locator.partitions_with_pools()

    def needs_directory(self) -> bool:
        """Whether this node owns a partition with pools, so it must know workers."""
        return bool(self.ownership_manager.assigned & self.wanted_partitions())


@contextlib.asynccontextmanager
async def run_node(
    node: JobNode, settings: options.JobNodeSettings
) -> AsyncIterator[None]:
    """Serve peers and run the ownership manager inside the context."""
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(node.jobs.close)
        await stack.enter_async_context(
            peer_server.serve_peers(
                settings.node.address,
                settings.node.first_internal_port,
                node.jobs,
                node.quotas,
                node.metrics,
                settings.node.derive_node_limits(),
            )
        )
        await stack.enter_async_context(
            ownership.run_ownership_manager(node.ownership_manager)
        )
        await stack.enter_async_context(
            background.running(node.jobs.moved_queues.learn(node.wanted_partitions))
        )
        await stack.enter_async_context(
            background.running(
                background.keep_running(
                    node.late_jobs.run,
                    node.late_jobs.log_failure,
                    late_jobs.FAILURE_PAUSE_S,
                )
            )
        )
        yield
