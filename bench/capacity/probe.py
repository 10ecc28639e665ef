"""Measures one figure at one size in a fresh process and prints it as JSON.

``python -m bench.capacity.probe NAME HOSTS POOLS TEAMS`` keeps measurements apart, so
that memory that one of them leaves behind does not count in the next.
"""

import gc
import json
import sys
import time
from collections.abc import Callable

from bench import fleets, processes
from clementinespar import codes, identifiers
from clementinespar.claims import messages as claim_messages
from clementinespar.duties import messages as duty_messages
from clementinespar.fleet import state as fleet_state
from clementinespar.log import base
from clementinespar.pools import messages as pool_messages
from clementinespar.waves import messages as wave_messages

_CLAIMS = 20_000  # claims held when their memory is measured
_CLAIMS_PER_RECORD = 10  # typical batch of one node
_REPEATS = 20  # publications whose mean processor time is taken

Figures = dict[str, float]


def _header(record_class_author: str = "bench") -> dict[str, object]:
    issued_ms = fleets.now_ms()
    return {
        "record_id": identifiers.new_id(issued_ms),
        "issued_ms": issued_ms,
        "author": record_class_author,
    }


class _Meter:
    """Applies records and adds up bytes, count and processor time."""

    state: fleet_state.FleetState  # state that the records change
    count: int  # records applied
    payload_bytes: int  # encoded size of these records
    processor_s: float  # time in apply_entry alone

    def __init__(self, state: fleet_state.FleetState) -> None:
        self.state = state
        self.count = 0
        self.payload_bytes = 0
        self.processor_s = 0.0

    def apply(self, record: base.Record) -> None:
        """Apply one record that must take effect."""
        entry = fleets.make_entry(self.state, record)
        began = time.process_time()
        code = fleet_state.apply_entry(self.state, entry)
        self.processor_s += time.process_time() - began
        if code != codes.ResultCode.OK:
            raise RuntimeError(f"{record!r:.200} gave {code.name}")
        self.count += 1
        self.payload_bytes += len(entry.payload)

    def figures(self, name: str) -> Figures:
        """Return means for one record."""
        return {
            f"{name}_us": self.processor_s / self.count * 1e6,
            f"{name}_bytes": self.payload_bytes / self.count,
        }


def measure_publication(size: fleets.FleetSize) -> Figures:
    """Fold of a whole document that replaces the one in force."""
    meter = _Meter(fleets.make_state(size))
    document = fleets.make_document(size)
    for _ in range(_REPEATS):
        revision = meter.state.documents.revision_of("production")
        meter.apply(fleets.make_publication(document, revision))
    return meter.figures("publication")


def measure_host_operations(size: fleets.FleetSize) -> Figures:
    """Fold of one maintenance of each host: wave, out, returned."""
    state = fleets.make_state(size)
    meter = _Meter(state)
    for pool in list(state.pools.host_ids_by_pool):
        host_ids = tuple(state.pools.host_ids_by_pool[pool])
        wave = wave_messages.WaveStarted.model_validate(
            {**_header(), "pool": pool, "host_ids": host_ids}
        )
        meter.apply(wave)
        for host_id in host_ids:
            out = pool_messages.HostTakenOut.model_validate(
                {
                    **_header(),
                    "host_id": host_id,
                    "pool": pool,
                    "host_revision": state.pools.hosts_by_id[host_id].revision,
                    "reason": "maintenance",
                    "wave_id": wave.record_id,
                }
            )
            meter.apply(out)
            returned = pool_messages.HostReturned.model_validate(
                {**_header(), "host_id": host_id, "operation_id": out.record_id}
            )
            meter.apply(returned)
        finished = wave_messages.WaveFinished.model_validate(
            {**_header(), "wave_id": wave.record_id, "reason": "complete"}
        )
        meter.apply(finished)
    return meter.figures("host_record")


def measure_claims(size: fleets.FleetSize) -> Figures:
    """Fold and memory of claims, in batches of ten."""
    state = fleets.make_state(size)
    gc.collect()
    before = processes.resident_bytes()
    meter = _Meter(state)
    for _ in range(_CLAIMS // _CLAIMS_PER_RECORD):
        header = _header()
        claims = tuple(
            claim_messages.Claim(
                request_id=identifiers.new_id(), claim_id=identifiers.new_id()
            )
            for _ in range(_CLAIMS_PER_RECORD)
        )
        meter.apply(
            claim_messages.RequestClaims.model_validate({**header, "claims": claims})
        )
    gc.collect()
    held = len(state.claims.claims_by_request_id)
    grown = processes.resident_bytes() - before
    return meter.figures("claims_record") | {"claim_memory_bytes": grown / held}


def measure_lease(size: fleets.FleetSize) -> Figures:
    """Fold of a duty lease renewal."""
    meter = _Meter(fleets.make_state(size))
    for _ in range(2_000):
        meter.apply(
            duty_messages.DutyClaimed.model_validate(
                {**_header(), "duty": "maintenance", "lease_ms": 10_000}
            )
        )
    return meter.figures("lease_record")


def measure_state_memory(size: fleets.FleetSize) -> Figures:
    """Resident memory of the imports and of the state of a document in force."""
    gc.collect()
    before = processes.resident_bytes()
    states = [fleets.make_state(size) for _ in range(5)]
    gc.collect()
    grown = processes.resident_bytes() - before
    return {
        "import_memory_mb": before / 1e6,
        "state_memory_mb": grown / len(states) / 1e6,
    }


PROBES: dict[str, Callable[[fleets.FleetSize], Figures]] = {
    "publication": measure_publication,
    "host_operations": measure_host_operations,
    "claims": measure_claims,
    "lease": measure_lease,
    "state_memory": measure_state_memory,
}


def main() -> None:
    """Run one probe named on the command line."""
    name, hosts, pools, teams = sys.argv[1:5]
    size = fleets.FleetSize(int(hosts), int(pools), int(teams))
    print(json.dumps(PROBES[name](size)))


if __name__ == "__main__":
    main()
