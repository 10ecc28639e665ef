"""Synthetic fleets for benchmarks: documents of a given size and their records."""

import dataclasses
import time

from clementinespar import identifiers
from clementinespar.documents import messages as document_messages
from clementinespar.documents import model
from clementinespar.fleet import state as fleet_state
from clementinespar.log import base, records
from clementinespar.log import service as log_service

DATA_CENTRES = 6
HOSTS_PER_RACK = 4
PLANNED_HOSTS = 1_100
PLANNED_POOLS = 358
PLANNED_TEAMS = 37


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """Size of a synthetic fleet."""

    hosts: int
    pools: int
    teams: int


CURRENT_SIZE = FleetSize(hosts=40, pools=5, teams=0)
# From an eighth of the planned size to all of it.
SIZES = tuple(
    FleetSize(
        hosts=round(PLANNED_HOSTS * share),
        pools=round(PLANNED_POOLS * share),
        teams=round(PLANNED_TEAMS * share),
    )
    for share in (0.125, 0.25, 0.5, 1.0)
)


def make_document(size: FleetSize, has_waves: bool = False) -> model.Document:
    """Return a document with one service for each pool.

    Hosts are assigned to pools round robin, so a pool has about three hosts at the
    planned size and eight at the current size.
    """
    host_ids_by_pool: dict[str, list[str]] = {
        f"pool-{i}": [] for i in range(size.pools)
    }
    hosts: dict[str, model.Host] = {}
    for index in range(size.hosts):
        host_id = f"host-{index:04d}"
        data_centre = f"dc-{index % DATA_CENTRES}"
        rack = f"{data_centre}-rack-{index // (DATA_CENTRES * HOSTS_PER_RACK)}"
        hosts[host_id] = model.Host(data_centre=data_centre, rack=rack)
        host_ids_by_pool[f"pool-{index % size.pools}"].append(host_id)
    pools = {
        name: model.Pool(
            host_ids=tuple(host_ids),
            budget=model.Budget(min_available=max(len(host_ids) - 2, 0)),
            spare=name == "pool-0",
        )
        for name, host_ids in host_ids_by_pool.items()
    }
    services = {
        name.replace("pool", "service"): model.Service(
            pool=name,
            kinds={"quote": model.Kind(), "order": model.Kind(repeatable=False)},
        )
        for name in pools
    }
    teams = {f"team-{i}": model.Team(max_slots=16) for i in range(size.teams)}
    return model.Document(
        user="synthetic",
        hosts=hosts,
        pools=pools,
        services=services,
        teams=teams,
        maintenance=model.Maintenance(paused=not has_waves),
    )


def now_ms() -> int:
    """Return the wall-clock time in milliseconds."""
    return time.time_ns() // 1_000_000


def make_entry(
    state: fleet_state.FleetState, record: base.Record
) -> log_service.LogEntry:
    """Return a log entry that holds a record, at the next offset of the state."""
    return log_service.LogEntry(
        state.offset + 1, record.issued_ms, records.encode_record(record)
    )


def make_publication(
    document: model.Document, replaces: int
) -> document_messages.DocumentPublished:
    """Return a record that publishes a document to production, without a trial."""
    issued_ms = now_ms()
    return document_messages.DocumentPublished(
        record_id=identifiers.new_id(issued_ms),
        issued_ms=issued_ms,
        author="bench",
        environment="production",
        replaces=replaces,
        document=document,
    )


def make_state(size: FleetSize, has_waves: bool = False) -> fleet_state.FleetState:
    """Return the folded state of a fleet with its document in force."""
    state = fleet_state.FleetState()
    record = make_publication(make_document(size, has_waves), replaces=0)
    fleet_state.apply_entry(state, make_entry(state, record))
    return state
