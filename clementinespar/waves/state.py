"""Folded state of maintenance waves."""

import dataclasses

from clementinespar import codes
from clementinespar.log import service as log_service
from clementinespar.waves import messages

_FINISHED_LENGTH = 50  # finished waves kept for the operators' status command


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
    """Running waves by pool, and recent ended ones."""

    waves_by_pool: dict[str, Wave] = dataclasses.field(default_factory=dict)
    finished: list[FinishedWave] = dataclasses.field(default_factory=list)

    def find(self, wave_id: str) -> Wave | None:
        """Return a running wave by its id."""
        for wave in self.waves_by_pool.values():
            if wave.wave_id == wave_id:
                return wave
        return None


def apply_started(
    state: WavesState, record: messages.WaveStarted, entry: log_service.LogEntry
) -> codes.ResultCode:
    """Start a wave if the pool has none."""
    if record.pool in state.waves_by_pool:
        return codes.ResultCode.WAVE_CONFLICT
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
    del state.waves_by_pool[wave.pool]
    state.finished.append(FinishedWave(wave, entry.timestamp_ms, record.reason))
    del state.finished[:-_FINISHED_LENGTH]
    return codes.ResultCode.OK


def check_host(
    state: WavesState, wave_id: str | None, host_id: str
) -> codes.ResultCode:
    """Tell whether a running wave covers a host."""
    wave = None if wave_id is None else state.find(wave_id)
    if wave is None or host_id not in wave.host_ids:
        return codes.ResultCode.WAVE_UNKNOWN
    return codes.ResultCode.OK
