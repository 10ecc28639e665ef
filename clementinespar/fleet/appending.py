"""The interface through which planners append records."""

from typing import Protocol

from clementinespar.fleet import state
from clementinespar.log import base


class RecordAppender(Protocol):
    """Appends records and returns their results."""

    def now_ms(self) -> int:
        """Return the time for ``issued_ms`` of a new record."""
        ...

    async def append(self, record: base.Record, timeout_s: float) -> state.RecordResult:
        """Append a record and wait until this node has applied it.

        Raises
        ------
        errors.LogUnavailableError
            The record did not and will not take effect.
        errors.LogReplyLostError
            The record may have taken effect or may still take effect.
        """
        ...
