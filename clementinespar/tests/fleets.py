"""Small fleets and folds for the tests of pools, waves and capacity."""

import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Any

from clementinespar import codes, identifiers
from clementinespar.capacity import demand as capacity_demand
from clementinespar.capacity import runner as capacity_runner
from clementinespar.documents import messages as document_messages
from clementinespar.documents import model
from clementinespar.fleet import appending
from clementinespar.fleet import state as fleet_state
from clementinespar.log import base, records
from clementinespar.log import service as log_service
from clementinespar.platform import service as platform_service
from clementinespar.platform import watcher as platform_watcher
from clementinespar.pools import operations as pool_operations
from clementinespar.pools import state as pools_state
from clementinespar.tests import log_nodes
from clementinespar.waves import runner as wave_runner
from standins import fake_log, fake_platform

# Wall time at the start. Hosts that were never maintained count from 0, so all of them
# are overdue.
EPOCH_MS = 1_700_000_000_000


def make_document(
    pools: Mapping[str, Sequence[str]],
    *,
    min_available: int | dict[str, int] = 2,
    spare: str | None = None,
    max_out_per_rack: int = 1,
    max_out_per_data_centre: int = 2,
    services: dict[str, str] | None = None,
    weights: model.Weights | None = None,
    **maintenance: Any,
) -> model.Document:
    """Return a document; host ``c1r2-x`` is in rack r2 of data centre c1."""
    hosts = {
        host_id: model.Host(data_centre=host_id[:2], rack=host_id[2:4])
        for host_ids in pools.values()
        for host_id in host_ids
    }
    return model.Document(
        user="test",
        hosts=hosts,
        pools={
            name: model.Pool(
                host_ids=tuple(host_ids),
                budget=model.Budget(
                    min_available[name]
                    if isinstance(min_available, dict)
                    else min_available,
                    max_out_per_rack,
                    max_out_per_data_centre,
                ),
                spare=name == spare,
            )
            for name, host_ids in pools.items()
        },
        services={
            name: model.Service(pool=pool) for name, pool in (services or {}).items()
        },
        weights=weights or model.Weights(),
        maintenance=model.Maintenance(**{"survive": "none"} | maintenance),
    )


def host_ids(name: str, count: int, data_centres: int = 2, racks: int = 2) -> list[str]:
    """Return host ids spread evenly over data centres and racks."""
    return [
        f"c{i % data_centres}r{i // data_centres % racks}-{name}{i}"
        for i in range(count)
    ]


class Fold:
    """A fold to which records are applied one by one."""

    def __init__(self) -> None:
        self.state = fleet_state.FleetState()
        self.entries: list[log_service.LogEntry] = []
        self.now_ms = EPOCH_MS
        self.record_count = 0  # keeps record ids unique

    def apply(self, record: base.Record) -> codes.ResultCode:
        return self.apply_payload(records.encode_record(record))

    def apply_payload(self, payload: bytes) -> codes.ResultCode:
        offset = self.state.offset + 1
        entry = log_service.LogEntry(offset, self.now_ms, payload)
        self.entries.append(entry)
        return fleet_state.apply_entry(self.state, entry)

    def make(self, record_type: type[base.Record], **fields: Any) -> base.Record:
        self.record_count += 1
        return record_type(
            record_id=f"{self.now_ms}-{self.record_count}",
            issued_ms=self.now_ms,
            author="test",
            **fields,
        )

    def add(self, record_type: type[base.Record], **fields: Any) -> codes.ResultCode:
        """Make and apply a record, by default with the current revision of its host."""
        if "host_revision" in record_type.model_fields:
            host = self.state.pools.hosts_by_id.get(fields["host_id"])
            fields.setdefault("host_revision", -1 if host is None else host.revision)
        return self.apply(self.make(record_type, **fields))

    def publish(self, document: model.Document) -> codes.ResultCode:
        return self.add(
            document_messages.DocumentPublished,
            environment="production",
            replaces=self.state.documents.revision_of("production"),
            document=document,
        )


def check_budget(state: fleet_state.FleetState, host: pools_state.HostState) -> None:
    """Check I1, the budget, after a host that was in service was taken out."""
    document = state.documents.production
    assert document is not None
    limits = document.pools[host.pool].budget
    members = [h for h in state.pools.hosts_by_id.values() if h.pool == host.pool]
    serving = [h for h in members if h.out is None and h.failed_since_ms is None]
    assert len(serving) >= limits.min_available
    out = [h for h in members if h not in serving and not (h.out and h.out.is_moved)]
    in_data_centre = [h for h in out if h.data_centre == host.data_centre]
    assert len(in_data_centre) <= limits.max_out_per_data_centre
    in_rack = [h for h in in_data_centre if h.rack == host.rack]
    assert len(in_rack) <= limits.max_out_per_rack


def check_membership(state: fleet_state.FleetState) -> None:
    """Check I2: every host of the document belongs to exactly one of its pools."""
    document = state.documents.production
    assert document is not None
    assert state.pools.hosts_by_id.keys() == document.hosts.keys()
    counts = collections.Counter(
        host_id for ids in state.pools.host_ids_by_pool.values() for host_id in ids
    )
    assert counts == collections.Counter(document.hosts.keys())
    for host in state.pools.hosts_by_id.values():
        assert host.pool in document.pools
        assert host.host_id in state.pools.host_ids_by_pool[host.pool]


def seeds_of(document: model.Document) -> list[fake_platform.HostSeed]:
    """Return the hosts of a document as hosts of the fake platform."""
    return [
        fake_platform.HostSeed(i, host.data_centre, host.rack, name)
        for name, pool in document.pools.items()
        for i in pool.host_ids
        for host in [document.hosts[i]]
    ]


def full_list(document: model.Document, observed_ms: int) -> platform_service.HostList:
    """Return a host list in which all hosts of a document are live."""
    return platform_service.HostList(
        observed_ms,
        {
            i: platform_service.ListedHost(
                i, host.data_centre, host.rack, "127.0.0.1", 1, "live"
            )
            for i, host in document.hosts.items()
        },
    )


@dataclasses.dataclass
class FixedHostList:
    """Host list whose content and age are set by tests."""

    latest: platform_service.HostList | None
    age_s: float = 0.0


@dataclasses.dataclass
class FixedDemand:
    """Demand source whose values are set by tests."""

    slots_by_service: dict[str, float] = dataclasses.field(default_factory=dict)
    refused_per_s: float = 0.0
    age_s: float = 0.0
    ejected: frozenset[str] = frozenset()

    def demand_by_service(self) -> dict[str, capacity_demand.ServiceDemand]:
        observed_at = asyncio.get_running_loop().time() - self.age_s
        return {
            name: capacity_demand.ServiceDemand(
                name, slots, self.refused_per_s, observed_at
            )
            for name, slots in self.slots_by_service.items()
        }

    def ejected_host_ids(self) -> frozenset[str]:
        return self.ejected


@dataclasses.dataclass
class FleetNode:
    """A node with the components that plan and execute host operations."""

    log_node: log_nodes.LogNode
    watcher: platform_watcher.HostListWatcher
    operations: pool_operations.HostOperations
    waves: wave_runner.WaveRunner
    capacity: capacity_runner.CapacityRunner
    demand: FixedDemand

    @property
    def state(self) -> fleet_state.FleetState:
        return self.log_node.follower.state

    async def run_rounds(self, duration_s: float) -> None:
        """Run a round of both runners every second."""
        for _ in range(int(duration_s)):
            await self.waves.run_round()
            await self.capacity.run_round()
            await asyncio.sleep(1)

    async def publish(
        self,
        document: model.Document,
        environment: document_messages.Environment = "production",
    ) -> None:
        issued_ms = self.log_node.appender.now_ms()
        record = document_messages.DocumentPublished(
            record_id=identifiers.new_id(issued_ms),
            issued_ms=issued_ms,
            author="operator",
            environment=environment,
            replaces=self.state.documents.revision_of(environment),
            document=document,
        )
        result = await self.log_node.appender.append(record, 5.0)
        assert result.code == codes.ResultCode.OK


@contextlib.asynccontextmanager
async def running_fleet_node(
    log: fake_log.FakeLog,
    platform: platform_service.PlatformService,
    name: str = "node-a",
    appender: appending.RecordAppender | None = None,
) -> AsyncIterator[FleetNode]:
    """Run a node on a fake log and platform."""
    watcher = platform_watcher.HostListWatcher(platform, 1.0)
    demand = FixedDemand()
    async with log_nodes.running_node(log, name) as log_node, watcher.running():
        used = appender or log_node.appender
        follower = log_node.follower
        operations = pool_operations.HostOperations(platform, used, follower, name)
        arguments = (follower, used, operations, watcher, demand, name)
        yield FleetNode(
            log_node,
            watcher,
            operations,
            wave_runner.WaveRunner(*arguments),
            capacity_runner.CapacityRunner(*arguments),
            demand,
        )
