"""The interface through which planners append records."""

from typing import Protocol

from clementinespar.fleet import state
from clementinespar.log import base


class RecordAppender(Protocol):
    """Appends records and returns what the fold made of them."""

    async def append(self, record: base.Record, timeout_s: float) -> state.RecordResult:
        """Append a record and wait until this node has applied it.

        Raises
        ------
        errors.LogUnavailableError
            The record was not appended.
        errors.LogReplyLostError
            The record may have been appended.
        """
        ...
