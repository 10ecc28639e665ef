"""The folded state of the fleet.

`apply_entry` is a deterministic function of the state and the entry: it reads no clock,
no settings and no view of the network. Every node that applies the same entries has the
same state and gives every record the same result code.
"""

import collections
import dataclasses

import logbook

from clementinespar import codes, errors
from clementinespar.claims import messages as claim_messages
from clementinespar.claims import state as claims_state
from clementinespar.documents import messages as document_messages
from clementinespar.documents import model as document_model
from clementinespar.documents import state as documents_state
from clementinespar.duties import messages as duty_messages
from clementinespar.duties import state as duties_state
from clementinespar.fleet import messages as fleet_messages
from clementinespar.log import base, records
from clementinespar.log import service as log_service
from clementinespar.pools import messages as pool_messages
from clementinespar.pools import state as pools_state
from clementinespar.waves import messages as wave_messages
from clementinespar.waves import state as waves_state

_log = logbook.Logger("fleet.state")

# A record issued earlier than this before its append is refused, so a retry that comes
# after its id was forgotten cannot apply twice.
DEDUP_WINDOW_MS = 120_000
# Records of authors whose clocks are further ahead are refused. Without this bound, a
# record issued in the future would outlive the memory of its id and apply twice.
MAX_CLOCK_AHEAD_MS = 60_000
# Record ids are remembered for this long in log time, which is as long as a record that
# was accepted could be accepted again. A record that was refused as too far ahead could
# still be accepted after that, but only once.
_RESULT_RETENTION_MS = DEDUP_WINDOW_MS + MAX_CLOCK_AHEAD_MS
_MAX_PENDING_SNAPSHOTS = 4  # snapshots whose chunks are counted at once


@dataclasses.dataclass(frozen=True, slots=True)
class RecordResult:
    """What became of a record at its first place in the log."""

    code: codes.ResultCode
    offset: int
    timestamp_ms: int


@dataclasses.dataclass(slots=True)
class SnapshotsState:
    """Which snapshots are in the log, so that nodes publish no needless ones."""

    as_of_offset: int = -1  # of the newest whole snapshot
    published_ms: int = 0  # log time of the last chunk of that snapshot
    last_chunk_offset: int = -1  # offset of the last chunk of that snapshot
    # Chunk indexes seen of snapshots that are not whole yet, oldest snapshot first.
    pending_by_snapshot_id: dict[str, list[int]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class FleetState:
    """Everything that all nodes agree on."""

    offset: int = -1  # offset of the last applied entry
    log_time_ms: int = 0  # append time of the last applied entry
    documents: documents_state.DocumentsState = dataclasses.field(
        default_factory=documents_state.DocumentsState
    )
    pools: pools_state.PoolsState = dataclasses.field(
        default_factory=pools_state.PoolsState
    )
    waves: waves_state.WavesState = dataclasses.field(
        default_factory=waves_state.WavesState
    )
    claims: claims_state.ClaimsState = dataclasses.field(
        default_factory=claims_state.ClaimsState
    )
    duties: duties_state.DutiesState = dataclasses.field(
        default_factory=duties_state.DutiesState
    )
    snapshots: SnapshotsState = dataclasses.field(default_factory=SnapshotsState)
    results_by_record_id: collections.OrderedDict[str, RecordResult] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )


def apply_entry(state: FleetState, entry: log_service.LogEntry) -> codes.ResultCode:
    """Apply the next entry of the log.

    Parameters
    ----------
    state : FleetState
        State as of ``entry.offset - 1``; changed in place.
    entry : log_service.LogEntry
        The next entry.

    Returns
    -------
    codes.ResultCode
        ``OK``, or why the record has no effect.

    Raises
    ------
    ValueError
        The entry is not the next one.
    """
    if entry.offset != state.offset + 1:
        raise ValueError(f"entry {entry.offset} does not follow {state.offset}")
    state.offset = entry.offset
    state.log_time_ms = max(state.log_time_ms, entry.timestamp_ms)
    if entry.timestamp_ms < state.log_time_ms:
        # Slices see one log time that never decreases, even if the log breaks that.
        entry = dataclasses.replace(entry, timestamp_ms=state.log_time_ms)
    _forget_old_results(state)
    claims_state.expire(state.claims, state.log_time_ms)
    try:
        record = records.parse_record(entry.payload)
    except errors.ClementinesparError as error:
        return error.code
    if record.record_id in state.results_by_record_id:
        return codes.ResultCode.RECORD_DUPLICATE
    if record.issued_ms < state.log_time_ms - DEDUP_WINDOW_MS:
        code = codes.ResultCode.RECORD_TOO_OLD
    elif record.issued_ms > state.log_time_ms + MAX_CLOCK_AHEAD_MS:
        code = codes.ResultCode.RECORD_ISSUED_AHEAD
    else:
        try:
            code = _apply_record(state, record, entry)
        except (MemoryError, RecursionError):
            raise  # depends on this process, so other nodes may have applied the record
        except Exception:
            # The same fault happens on every node. Raising would stop all of them at
            # this entry for as long as it is in the log.
            _log.exception("the fold failed at offset {}", entry.offset)
            code = codes.ResultCode.INTERNAL_ERROR
    state.results_by_record_id[record.record_id] = RecordResult(
        code, entry.offset, entry.timestamp_ms
    )
    return code


def _forget_old_results(state: FleetState) -> None:
    results = state.results_by_record_id
    oldest_ms = state.log_time_ms - _RESULT_RETENTION_MS
    while results:
        record_id, result = next(iter(results.items()))
        if result.timestamp_ms >= oldest_ms:
            return
        del results[record_id]


def _apply_record(
    state: FleetState, record: base.Record, entry: log_service.LogEntry
) -> codes.ResultCode:
    """Dispatch one record to the slice that owns its state."""
    document = state.documents.production
    match record:
        case document_messages.DocumentPublished():
            code = documents_state.apply_published(state.documents, record, entry)
            if record.environment == "production" and code == codes.ResultCode.OK:
                _apply_production(state, record.document, entry)
            return code
        case document_messages.DocumentPromoted():
            code = documents_state.apply_promoted(state.documents, record, entry)
            promoted = state.documents.production
            if code == codes.ResultCode.OK and promoted is not None:
                _apply_production(state, promoted, entry)
            return code
        case claim_messages.RequestClaims():
            return claims_state.apply_claims(state.claims, record, entry)
        case claim_messages.RequestReleases():
            return claims_state.apply_releases(state.claims, record, entry)
        case duty_messages.DutyClaimed():
            return duties_state.apply_claimed(state.duties, record, entry)
        case duty_messages.DutyReleased():
            return duties_state.apply_released(state.duties, record, entry)
        case pool_messages.HostTakenOut():
            if record.reason == "maintenance":
                code = waves_state.check_maintenance(state.waves, document, record)
                if code != codes.ResultCode.OK:
                    return code
            return pools_state.apply_taken_out(state.pools, document, record, entry)
        case pool_messages.HostMoved():
            return pools_state.apply_moved(state.pools, document, record, entry)
        case pool_messages.HostReturned():
            return pools_state.apply_returned(state.pools, record, entry)
        case pool_messages.HostFailed():
            return pools_state.apply_failed(state.pools, record, entry)
        case pool_messages.HostRecovered():
            return pools_state.apply_recovered(state.pools, record, entry)
        case wave_messages.WaveStarted():
            return waves_state.apply_started(
                state.waves, state.pools, document, record, entry
            )
        case wave_messages.WaveFinished():
            return waves_state.apply_finished(state.waves, record, entry)
        case fleet_messages.SnapshotChunk():
            return _count_chunk(state.snapshots, record, entry)
        case _:
            return codes.ResultCode.RECORD_INVALID


def _apply_production(
    state: FleetState, document: document_model.Document, entry: log_service.LogEntry
) -> None:
    """Bring hosts and waves in line with a document that came into force."""
    pools_state.apply_document(state.pools, document, entry.offset)
    waves_state.apply_document(state.waves, document, entry)


def _count_chunk(
    state: SnapshotsState,
    record: fleet_messages.SnapshotChunk,
    entry: log_service.LogEntry,
) -> codes.ResultCode:
    """Note a snapshot once all its chunks are in the log."""
    if record.index >= record.count or record.as_of_offset >= entry.offset:
        return codes.ResultCode.RECORD_INVALID
    pending = state.pending_by_snapshot_id
    indexes = pending.setdefault(record.snapshot_id, [])
    if record.index not in indexes:
        indexes.append(record.index)
    if len(indexes) == record.count:
        del pending[record.snapshot_id]
        if record.as_of_offset > state.as_of_offset:
            state.as_of_offset = record.as_of_offset
            state.published_ms = entry.timestamp_ms
            state.last_chunk_offset = entry.offset
    while len(pending) > _MAX_PENDING_SNAPSHOTS:
        del pending[next(iter(pending))]
    return codes.ResultCode.OK
