"""The folded state of the fleet.

`apply_entry` is a deterministic function of the state and the entry: it reads no clock,
no settings and nothing from the network. All nodes that apply the same entries have the
same state and the same result code for every record.

The state has one part per module, such as documents or pools; the fold is the repeated
application of `apply_entry` from the first entry on.
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

# A record that was issued longer than this before its append is refused, so that a
# retry cannot apply a second time after its id is no longer kept.
DEDUP_WINDOW_MS = 120_000
# Records of authors whose clocks are further ahead are refused. Otherwise, a record
# issued in the future could be accepted a second time after its id is no longer kept.
MAX_CLOCK_AHEAD_MS = 60_000
# Record ids are kept for this long in log time, which is the time during which an
# accepted record could be accepted again. A record that was refused as too far ahead
# may still be accepted after that, but only once.
_RESULT_RETENTION_MS = DEDUP_WINDOW_MS + MAX_CLOCK_AHEAD_MS
_MAX_PENDING_SNAPSHOTS = 4  # incomplete snapshots whose chunks are counted


@dataclasses.dataclass(frozen=True, slots=True)
class RecordResult:
    """Result of a record at its first offset in the log."""

    code: codes.ResultCode
    offset: int
    timestamp_ms: int


@dataclasses.dataclass(slots=True)
class SnapshotsState:
    """Snapshots in the log, from which nodes decide whether to publish another."""

    as_of_offset: int = -1  # of the newest complete snapshot
    published_ms: int = 0  # log time of the last chunk of that snapshot
    last_chunk_offset: int = -1  # offset of the last chunk of that snapshot
    # Chunk indexes of incomplete snapshots, oldest snapshot first.
    pending_by_snapshot_id: dict[str, list[int]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class FleetState:
    """State on which all nodes agree."""

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
        raise ValueError(
            f"entry at offset {entry.offset} does not follow offset {state.offset}"
        )
    state.offset = entry.offset
    state.log_time_ms = max(state.log_time_ms, entry.timestamp_ms)
    if entry.timestamp_ms < state.log_time_ms:
        # Records see a log time that never decreases, even if the log's own does.
        entry = dataclasses.replace(entry, timestamp_ms=state.log_time_ms)
    _expire_results(state)
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
            # Every node fails at this entry in the same way. If the error were raised,
            # none could apply later entries while this one is in the log.
            _log.exception("applying the record at offset {} failed", entry.offset)
            code = codes.ResultCode.INTERNAL_ERROR
    state.results_by_record_id[record.record_id] = RecordResult(
        code, entry.offset, entry.timestamp_ms
    )
    return code


def _expire_results(state: FleetState) -> None:
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
    """Dispatch one record to the module that folds its part of the state."""
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
            return _apply_snapshot_chunk(state.snapshots, record, entry)
        case _:
            return codes.ResultCode.RECORD_INVALID


def _apply_production(
    state: FleetState, document: document_model.Document, entry: log_service.LogEntry
) -> None:
    """Update hosts and waves for a document that came into force in production."""
    pools_state.apply_document(state.pools, document, entry.offset)
    waves_state.apply_document(state.waves, document, entry)


def _apply_snapshot_chunk(
    state: SnapshotsState,
    record: fleet_messages.SnapshotChunk,
    entry: log_service.LogEntry,
) -> codes.ResultCode:
    """Count a chunk and record its snapshot once all chunks are in the log."""
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
