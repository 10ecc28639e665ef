"""The interface through which a node fetches log entries from its peers."""

from collections.abc import Sequence
from typing import Protocol

from clementinespar.log import service


class PeerRelay(Protocol):
    """Entries and state that other entry nodes have applied.

    The fetch calls raise `errors.ClementinesparError` when no peer answers.
    """

    def highest_offset(self) -> int:
        """Return the highest offset that a live peer has applied, or -1."""
        ...

    async def fetch_entries(
        self, from_offset: int, limit: int
    ) -> Sequence[service.LogEntry]:
        """Return entries from ``from_offset`` on; empty if no peer keeps them."""
        ...

    async def fetch_snapshot(self) -> tuple[int, bytes] | None:
        """Return ``as_of_offset`` and the compressed state of a peer, if any."""
        ...
