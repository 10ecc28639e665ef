"""Folded state of maintenance waves."""

import dataclasses

from clementinespar import codes
from clementinespar.documents import model
from clementinespar.log import service as log_service
from clementinespar.pools import messages as pool_messages
from clementinespar.pools import state as pools_state
from clementinespar.waves import messages

_MAX_FINISHED_WAVES = 50  # kept for the operators' status command


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """A running wave over hosts of one pool."""

    wave_id: str
    pool: str
    host_ids: tuple[str, ...]
    author: str  # node that started the wave
    started_ms: int  # log time


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedWave:
    """A wave that has ended."""

    wave: Wave
    finished_ms: int  # log time
    reason: str


@dataclasses.dataclass(slots=True)
class WavesState:
    """Running waves by pool, and the waves that ended last."""

    waves_by_pool: dict[str, Wave] = dataclasses.field(default_factory=dict)
    finished: list[FinishedWave] = dataclasses.field(default_factory=list)

    def find(self, wave_id: str) -> Wave | None:
        """Return a running wave by its id."""
        for wave in self.waves_by_pool.values():
            if wave.wave_id == wave_id:
                return wave
        return None


def apply_document(
    state: WavesState, document: model.Document, entry: log_service.LogEntry
) -> None:
    """End the waves of pools that a production document no longer names."""
    for pool in [p for p in state.waves_by_pool if p not in document.pools]:
        _finish(state, state.waves_by_pool[pool], entry, "a document removed the pool")


def apply_started(
    state: WavesState,
    pools: pools_state.PoolsState,
    document: model.Document | None,
    record: messages.WaveStarted,
    entry: log_service.LogEntry,
) -> codes.ResultCode:
    """Start a wave over hosts of one pool if the pool has none."""
    if document is None or record.pool not in document.pools:
        return codes.ResultCode.POOL_UNKNOWN
    if record.pool in state.waves_by_pool:
        return codes.ResultCode.WAVE_CONFLICT
    if document.maintenance.paused:
        return codes.ResultCode.WAVE_PAUSED
    if not 0 < len(record.host_ids) <= document.maintenance.max_wave_hosts:
        return codes.ResultCode.RECORD_INVALID
    members = pools.host_ids_by_pool.get(record.pool, {})
    if any(host_id not in members for host_id in record.host_ids):
        return codes.ResultCode.HOST_NOT_IN_POOL
    state.waves_by_pool[record.pool] = Wave(
        record.record_id,
        record.pool,
        record.host_ids,
        record.author,
        entry.timestamp_ms,
    )
    return codes.ResultCode.OK


def apply_finished(
    state: WavesState, record: messages.WaveFinished, entry: log_service.LogEntry
) -> codes.ResultCode:
    """End a running wave."""
    wave = state.find(record.wave_id)
    if wave is None:
        return codes.ResultCode.WAVE_UNKNOWN
    _finish(state, wave, entry, record.reason)
    return codes.ResultCode.OK


def _finish(
    state: WavesState, wave: Wave, entry: log_service.LogEntry, reason: str
) -> None:
    del state.waves_by_pool[wave.pool]
    state.finished.append(FinishedWave(wave, entry.timestamp_ms, reason))
    del state.finished[:-_MAX_FINISHED_WAVES]


def check_maintenance(
    state: WavesState,
    document: model.Document | None,
    record: pool_messages.HostTakenOut,
) -> codes.ResultCode:
    """Check that a running wave of the host's pool covers a maintenance."""
    wave = state.waves_by_pool.get(record.pool)
    if wave is None or wave.wave_id != record.wave_id:
        return codes.ResultCode.WAVE_UNKNOWN
    if record.host_id not in wave.host_ids:
        return codes.ResultCode.WAVE_UNKNOWN
    if document is not None and document.maintenance.paused:
        return codes.ResultCode.WAVE_PAUSED
    return codes.ResultCode.OK
