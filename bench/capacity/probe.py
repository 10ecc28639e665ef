"""Measures one figure at one size in a fresh process and prints it as JSON.

``python -m bench.capacity.probe NAME HOSTS POOLS TEAMS`` runs one measurement, so that
memory retained by one does not count in the next.
"""

import gc
import json
import sys
import time
from collections.abc import Callable, Iterator

from bench import fleets, processes
from clementinespar import codes, identifiers
from clementinespar.capacity import demand
from clementinespar.capacity import planner as capacity_planner
from clementinespar.claims import messages as claim_messages
from clementinespar.claims import state as claims_state
from clementinespar.documents import model
from clementinespar.duties import messages as duty_messages
from clementinespar.fleet import snapshot
from clementinespar.fleet import state as fleet_state
from clementinespar.log import base
from clementinespar.platform import service as platform_service
from clementinespar.pools import availability
from clementinespar.pools import messages as pool_messages
from clementinespar.waves import messages as wave_messages
from clementinespar.waves import planner as wave_planner

_CLAIMS = 20_000  # claims in the state when their memory is measured
_CLAIMS_PER_RECORD = 10  # typical batch of one node
_SNAPSHOT_CLAIMS = 5_000  # claims in the measured snapshot
_REPEATS = 20  # number of publications that are averaged

Figures = dict[str, float]


def _record_fields() -> dict[str, object]:
    issued_ms = fleets.now_ms()
    return {
        "record_id": identifiers.new_id(issued_ms),
        "issued_ms": issued_ms,
        "author": "bench",
    }


class _Meter:
    """Applies records and sums their number, encoded size and processor time."""

    state: fleet_state.FleetState  # state to which records are applied
    count: int  # records applied
    payload_bytes: int  # encoded size of these records
    processor_s: float  # time in apply_entry alone

    def __init__(self, state: fleet_state.FleetState) -> None:
        self.state = state
        self.count = 0
        self.payload_bytes = 0
        self.processor_s = 0.0

    def apply(self, record: base.Record) -> None:
        """Apply one record, which must be accepted."""
        entry = fleets.make_entry(self.state, record)
        began = time.process_time()
        code = fleet_state.apply_entry(self.state, entry)
        self.processor_s += time.process_time() - began
        if code != codes.ResultCode.OK:
            raise RuntimeError(f"{record!r:.200} was refused with {code.name}")
        self.count += 1
        self.payload_bytes += len(entry.payload)

    def figures(self, name: str) -> Figures:
        """Return the mean processor time and encoded size of a record."""
        return {
            f"{name}_us": self.processor_s / self.count * 1e6,
            f"{name}_bytes": self.payload_bytes / self.count,
        }


def measure_publication(size: fleets.FleetSize) -> Figures:
    """Measure the fold of a document that replaces the one in force."""
    meter = _Meter(fleets.make_state(size))
    document = fleets.make_document(size)
    for _ in range(_REPEATS):
        revision = meter.state.documents.revision_of("production")
        meter.apply(fleets.make_publication(document, revision))
    return meter.figures("publication")


def measure_host_operations(size: fleets.FleetSize) -> Figures:
    """Measure the fold of one maintenance of each host: wave, out, returned."""
    state = fleets.make_state(size, has_waves=True)
    meter = _Meter(state)
    for pool, host_ids in list(state.pools.host_ids_by_pool.items()):
        for batch in _batches(tuple(host_ids), model.Maintenance().max_wave_hosts):
            _run_wave(meter, pool, batch)
    return meter.figures("host_record")


def _batches(host_ids: tuple[str, ...], length: int) -> Iterator[tuple[str, ...]]:
    for start in range(0, len(host_ids), length):
        yield host_ids[start : start + length]


def _run_wave(meter: _Meter, pool: str, host_ids: tuple[str, ...]) -> None:
    hosts_by_id = meter.state.pools.hosts_by_id
    wave = wave_messages.WaveStarted.model_validate(
        {**_record_fields(), "pool": pool, "host_ids": host_ids}
    )
    meter.apply(wave)
    for host_id in host_ids:
        out = pool_messages.HostTakenOut.model_validate(
            {
                **_record_fields(),
                "host_id": host_id,
                "pool": pool,
                "host_revision": hosts_by_id[host_id].revision,
                "reason": "maintenance",
                "wave_id": wave.record_id,
            }
        )
        meter.apply(out)
        returned = pool_messages.HostReturned.model_validate(
            {**_record_fields(), "host_id": host_id, "operation_id": out.record_id}
        )
        meter.apply(returned)
    finished = wave_messages.WaveFinished.model_validate(
        {**_record_fields(), "wave_id": wave.record_id, "reason": "complete"}
    )
    meter.apply(finished)


def measure_claims(size: fleets.FleetSize) -> Figures:
    """Measure the fold and the memory of claims, in batches."""
    state = fleets.make_state(size)
    gc.collect()
    before = processes.resident_bytes()
    meter = _Meter(state)
    for _ in range(_CLAIMS // _CLAIMS_PER_RECORD):
        record_fields = _record_fields()
        claims = tuple(
            claim_messages.Claim(
                request_id=identifiers.new_id(), claim_id=identifiers.new_id()
            )
            for _ in range(_CLAIMS_PER_RECORD)
        )
        meter.apply(
            claim_messages.RequestClaims.model_validate(
                {**record_fields, "claims": claims}
            )
        )
    gc.collect()
    claim_count = len(state.claims.claims_by_request_id)
    growth_bytes = processes.resident_bytes() - before
    return meter.figures("claims_record") | {
        "claim_memory_bytes": growth_bytes / claim_count
    }


def measure_lease(size: fleets.FleetSize) -> Figures:
    """Measure the fold of the renewal of a duty lease."""
    meter = _Meter(fleets.make_state(size))
    for _ in range(2_000):
        meter.apply(
            duty_messages.DutyClaimed.model_validate(
                {**_record_fields(), "duty": "maintenance", "lease_ms": 10_000}
            )
        )
    return meter.figures("lease_record")


def measure_state_memory(size: fleets.FleetSize) -> Figures:
    """Measure the memory of the imports, and of the state with a document in force."""
    gc.collect()
    before = processes.resident_bytes()
    states = [fleets.make_state(size) for _ in range(5)]
    gc.collect()
    growth_bytes = processes.resident_bytes() - before
    return {
        "import_memory_mb": before / 1e6,
        "state_memory_mb": growth_bytes / len(states) / 1e6,
    }


def measure_snapshot(size: fleets.FleetSize) -> Figures:
    """Measure the size of a snapshot with claims, and the time to encode and decode."""
    state = fleets.make_state(size)
    now_ms = state.log_time_ms
    for _ in range(_SNAPSHOT_CLAIMS):
        request_id = identifiers.new_id(now_ms)
        state.claims.claims_by_request_id[request_id] = claims_state.StoredClaim(
            identifiers.new_id(now_ms), "bench", now_ms
        )
    began = time.process_time()
    encoded = snapshot.encode_state(state)
    encoded_at = time.process_time()
    snapshot.decode_state(encoded)
    decoded_at = time.process_time()
    return {
        "snapshot_bytes": float(len(encoded)),
        "snapshot_encode_ms": (encoded_at - began) * 1e3,
        "snapshot_rebuild_ms": (decoded_at - encoded_at) * 1e3,
    }


class _HostList:
    """`HostListSource` with every host live."""

    latest: platform_service.HostList | None
    age_s: float = 0.0

    def __init__(self, state: fleet_state.FleetState) -> None:
        self.latest = platform_service.HostList(
            0,
            {
                host.host_id: platform_service.ListedHost(
                    host.host_id, host.data_centre, host.rack, "127.0.0.1", 1, "live"
                )
                for host in state.pools.hosts_by_id.values()
            },
        )


def measure_planning(size: fleets.FleetSize) -> Figures:
    """Measure a round of wave and of capacity planning with all hosts due."""
    state = fleets.make_state(size, has_waves=True)
    document = state.documents.production
    assert document is not None
    # Advances log time by 40 days, past the maintenance interval, so that all hosts are
    # due. Lease renewals advance it in a running fleet.
    state.log_time_ms += 40 * 24 * 3_600_000
    demands = {
        name: demand.ServiceDemand(name, 8.0, 0.0, 100.0) for name in document.services
    }
    host_list = _HostList(state)
    repeats = 10
    began = time.process_time()
    for _ in range(repeats):
        observation = availability.observe(state.pools, host_list, frozenset())
        wave_planner.plan(
            wave_planner.Situation(
                document, state.pools, state.waves, state.log_time_ms, observation
            )
        )
    waves_done_at = time.process_time()
    for _ in range(repeats):
        observation = availability.observe(state.pools, host_list, frozenset())
        situation = capacity_planner.Situation(
            document, state.pools, demands, 100.0, observation
        )
        needs = capacity_planner.compute_needs(situation)
        capacity_planner.plan(situation, needs, capacity_planner.History())
    capacity_done_at = time.process_time()
    return {
        "wave_round_ms": (waves_done_at - began) / repeats * 1e3,
        "capacity_round_ms": (capacity_done_at - waves_done_at) / repeats * 1e3,
    }


PROBES: dict[str, Callable[[fleets.FleetSize], Figures]] = {
    "publication": measure_publication,
    "host_operations": measure_host_operations,
    "claims": measure_claims,
    "lease": measure_lease,
    "state_memory": measure_state_memory,
    "snapshot": measure_snapshot,
    "planning": measure_planning,
}


def main() -> None:
    """Run one probe named on the command line."""
    name, hosts, pools, teams = sys.argv[1:5]
    size = fleets.FleetSize(int(hosts), int(pools), int(teams))
    print(json.dumps(PROBES[name](size)))


if __name__ == "__main__":
    main()
