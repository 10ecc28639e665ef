"""The interface of the platform's append-only log.

Only implementations of `LogService` know the wire format of the log.
"""

import dataclasses
from collections.abc import Sequence
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """One payload with its position in the log."""

    offset: int  # position in the log, counted from 0 without gaps
    timestamp_ms: int  # append time set by the log, never decreases with offset
    payload: bytes  # encoded record


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Part of the log, in offset order."""

    entries: tuple[LogEntry, ...]  # in offset order, may be empty
    first_offset: int  # oldest offset that the log still keeps
    end_offset: int  # offset of the next entry to be appended


class LogService(Protocol):
    """The platform's append-only log."""

    async def append(self, payloads: Sequence[bytes]) -> int:
        """Append payloads in one call and return the offset of the first one.

        Raises
        ------
        errors.LogUnavailableError
            Nothing was appended.
        errors.LogReplyLostError
            The payloads may have been appended.
        """
        ...

    async def read(self, offset: int, limit: int, wait_s: float) -> LogPage:
        """Return at most ``limit`` entries from ``offset`` on.

        Waits up to ``wait_s`` seconds for the first entry.

        Raises
        ------
        errors.LogUnavailableError
            The log did not answer.
        errors.LogRecordsExpiredError
            ``offset`` is older than the oldest kept entry.
        """
        ...
