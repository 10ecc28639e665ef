"""Figures at the planned size, extrapolated from measured slopes.

Rates that cannot be measured are estimates and marked as such in the table.
"""

import dataclasses
from collections.abc import Mapping

from bench import fits, fleets, tables

DAY_S = 86_400.0
DOCUMENT_CHANGES_PER_DAY = 1_900
HOSTS_FAILED_PER_DAY = 15
HOSTS_REPLACED_PER_DAY = 110
MAINTENANCE_INTERVAL_DAYS = 28
# Three duties, each renewed at half of its lease of ten seconds.
LEASE_RENEWALS_PER_DAY = 3 * DAY_S / 5
SNAPSHOTS_PER_DAY = DAY_S / 300
# Rate of non-repeatable requests, each of which needs a claim; estimate at 1,100 hosts.
ORDERS_PER_S = 50.0
CLAIM_RETENTION_S = 600.0
ENTRY_NODES = 18  # estimate at 1,100 hosts

# Records are compressed and sent as base64 in the JSON replies of the log stand-in.
BASE64_EXPANSION = 4 / 3
BASE85_EXPANSION = 5 / 4  # encoding of snapshot chunks
SNAPSHOT_CLAIMS = 5_000  # in the snapshot measured by `bench.capacity.probe`

LIMIT_CORE_SHARE = 0.017
LIMIT_MB = 128.0
LIMIT_BYTES_PER_S = 8_000.0
LIMIT_IN_FORCE_S = 4.0

Fits = Mapping[tuple[str, str], fits.Fit]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One extrapolated figure and its limit."""

    role: str
    figure: str
    value: float
    unit: str
    limit: float | None
    basis: str  # measured slopes, or the estimate that it depends on
    mechanism: str

    def cells(self) -> tuple[str, ...]:
        """Return the cells of the table row."""
        margin = "" if self.limit is None else f"{self.limit / self.value:.1f} x"
        limit = "" if self.limit is None else f"{self.limit:g}"
        return (
            self.role,
            self.figure,
            f"{self.value:.3g} {self.unit}",
            limit,
            margin,
            self.basis,
            self.mechanism,
        )


def rows(measured: Fits) -> list[Row]:
    """Return all rows of the table of the planned size."""
    hosts = fleets.PLANNED_HOSTS

    def at(figure: str, against: str = "hosts", size: float = hosts) -> float:
        return measured[figure, against].at(size)

    maintenance_per_day = hosts / MAINTENANCE_INTERVAL_DAYS
    # Each maintenance appends two records (out, returned), and each wave of about three
    # hosts two more (started, finished).
    host_records_per_day = (
        maintenance_per_day * (2 + 2 / 3)
        + (HOSTS_FAILED_PER_DAY + HOSTS_REPLACED_PER_DAY) * 2
    )
    claim_records_per_s = ORDERS_PER_S / 10
    claims_held = ORDERS_PER_S * CLAIM_RETENTION_S
    # At 40 hosts, claims make up nearly all of the snapshot.
    bytes_per_claim = (
        at("snapshot_bytes", size=fleets.CURRENT_SIZE.hosts) / SNAPSHOT_CLAIMS
    )
    snapshot_bytes = at("snapshot_bytes") + bytes_per_claim * (
        claims_held - SNAPSHOT_CLAIMS
    )
    log_bytes_per_s = (
        DOCUMENT_CHANGES_PER_DAY * at("publication_bytes") * BASE64_EXPANSION
        + host_records_per_day * at("host_record_bytes")
        + LEASE_RENEWALS_PER_DAY * at("lease_record_bytes")
        + SNAPSHOTS_PER_DAY * snapshot_bytes * BASE85_EXPANSION
    ) / DAY_S + claim_records_per_s * at("claims_record_bytes") * BASE64_EXPANSION
    fold_core_share = (
        DOCUMENT_CHANGES_PER_DAY * at("publication_us")
        + host_records_per_day * at("host_record_us")
        + LEASE_RENEWALS_PER_DAY * at("lease_record_us")
    ) / 1e6 / DAY_S + claim_records_per_s * at("claims_record_us") / 1e6
    claims_mb = claims_held * at("claim_memory_bytes") / 1e6
    peers_slope = measured["peers_bytes_per_s", "nodes, 40 hosts"].slope
    core_slope = measured["core_share_mean", "nodes, 40 hosts"].slope
    peers_bytes = at("peers_bytes_per_s", "nodes, 40 hosts", ENTRY_NODES)
    core_share = at("core_share_mean", "hosts, 3 nodes")
    core_share_max = at("core_share_max", "hosts, 3 nodes")
    additional_nodes = ENTRY_NODES - 3
    list_changes_per_day = (
        HOSTS_FAILED_PER_DAY + HOSTS_REPLACED_PER_DAY
    ) * 2 + maintenance_per_day * 3
    list_bytes = hosts * 130.0
    list_bytes_per_s = list_changes_per_day * list_bytes / DAY_S + 770.0
    appends_per_s = (
        DOCUMENT_CHANGES_PER_DAY + host_records_per_day + LEASE_RENEWALS_PER_DAY
    ) / DAY_S + claim_records_per_s
    memory_mb = at("memory_mb_max", "hosts, 3 nodes") + claims_mb
    return [
        Row(
            "every node",
            "processor time at rest",
            core_share + core_slope * additional_nodes + fold_core_share,
            "of a core",
            LIMIT_CORE_SHARE,
            f"measured; {ENTRY_NODES} nodes and {ORDERS_PER_S:.0f} orders/s estimated",
            "fold, long polls, paired heartbeats",
        ),
        Row(
            "node on duty",
            "processor time at rest",
            core_share_max + core_slope * additional_nodes + fold_core_share,
            "of a core",
            LIMIT_CORE_SHARE,
            "measured, as above",
            "duty leases; planning interval hosts/250 s",
        ),
        Row(
            "every node",
            "memory",
            memory_mb,
            "MB",
            LIMIT_MB,
            f"measured; {claims_held:.0f} claims held estimated",
            "fold in memory, claims expire after 600 s",
        ),
        Row(
            "every node",
            "log, read",
            log_bytes_per_s,
            "B/s",
            LIMIT_BYTES_PER_S,
            "record sizes measured, rates given or estimated",
            "fold of the log",
        ),
        Row(
            "every node",
            "host list",
            list_bytes_per_s,
            "B/s",
            LIMIT_BYTES_PER_S,
            f"{list_changes_per_day:.0f} changes a day from the given failures",
            "ETag, whole list on a change",
        ),
        Row(
            "every node",
            f"heartbeats of {ENTRY_NODES} nodes",
            peers_bytes,
            "B/s",
            LIMIT_BYTES_PER_S,
            f"measured slope {peers_slope:.0f} B/s for each node",
            "full mesh, paired",
        ),
        Row(
            "every node",
            "bytes for control, all together",
            log_bytes_per_s + list_bytes_per_s + peers_bytes,
            "B/s",
            LIMIT_BYTES_PER_S,
            "sum of the three",
            "",
        ),
        Row(
            "log",
            "appends",
            appends_per_s,
            "1/s",
            300.0,
            "given rates, claims in batches of ten estimated",
            "batching",
        ),
        Row(
            "log",
            "snapshot",
            snapshot_bytes / 1e6,
            "MB",
            None,
            f"measured; {claims_held:.0f} claims held estimated",
            "one every 300 s, in chunks",
        ),
        Row(
            "new node",
            "rebuild from a snapshot",
            at("snapshot_rebuild_ms"),
            "ms",
            None,
            "measured with 5,000 claims",
            "newest whole snapshot or a peer",
        ),
        Row(
            "documents",
            "in force on all nodes",
            at("publish_max_s", "hosts, 3 nodes"),
            "s",
            LIMIT_IN_FORCE_S,
            "measured, slowest of ten, 3 nodes",
            "long polls of the log, peers relay",
        ),
        Row(
            "waves",
            "planning round",
            at("wave_round_ms"),
            "ms",
            None,
            "measured, all hosts due",
            "one node on duty",
        ),
        Row(
            "capacity",
            "planning round",
            at("capacity_round_ms"),
            "ms",
            None,
            "measured",
            "one node on duty",
        ),
    ]


def table(measured: Fits) -> str:
    """Return the Markdown table of the planned size."""
    return tables.markdown(
        (
            "role",
            "figure",
            "at the planned size",
            "limit",
            "margin",
            "basis",
            "carries",
        ),
        [row.cells() for row in rows(measured)],
    )
