"""Entries and snapshots from other nodes, for a node that cannot read the log."""

from collections.abc import Callable, Sequence

from clementinespar import errors
from clementinespar.log import service as log_service
from clementinespar.peers import client, membership


class Relay:
    """Fetches entries and snapshots from live peers; implements `log.relay.PeerRelay`.

    Parameters
    ----------
    members : membership.Membership
        Live peers with their applied offsets.
    client_of : callable
        Returns the `client.PeerClient` of an endpoint.
    """

    _members: membership.Membership
    _client_of: Callable[[str], client.PeerClient | None]

    def __init__(
        self,
        members: membership.Membership,
        client_of: Callable[[str], client.PeerClient | None],
    ) -> None:
        self._members = members
        self._client_of = client_of

    def highest_offset(self) -> int:
        """Return the highest offset that a live peer has applied, -1 if none has."""
        return max(
            (peer.report.applied_offset for peer in self._members.live_peers()),
            default=-1,
        )

    async def fetch_entries(
        self, from_offset: int, limit: int
    ) -> Sequence[log_service.LogEntry]:
        """Return entries from an offset on, in order, or none if no peer has them.

        The entries start at ``from_offset`` and have no gaps.
        """
        for peer in self._by_offset():
            report = peer.report
            if not report.oldest_kept_offset <= from_offset <= report.applied_offset:
                continue
            peer_client = self._client_of(peer.member.endpoint)
            if peer_client is None:
                continue
            try:
                entries = await peer_client.fetch_entries(from_offset, limit)
            except errors.PeerUnavailableError:
                continue
            run = _contiguous_prefix(entries, from_offset)
            if run:
                return run
        return ()

    async def fetch_snapshot(self) -> tuple[int, bytes] | None:
        """Return the snapshot with the highest offset, or None if no peer sends one."""
        for peer in self._by_offset():
            peer_client = self._client_of(peer.member.endpoint)
            if peer_client is None or peer.report.applied_offset < 0:
                continue
            try:
                snapshot = await peer_client.fetch_snapshot()
            except errors.PeerUnavailableError:
                continue
            if snapshot is not None:
                return snapshot
        return None

    def _by_offset(self) -> list[membership.PeerState]:
        return sorted(
            self._members.live_peers(),
            key=lambda peer: peer.report.applied_offset,
            reverse=True,
        )


def _contiguous_prefix(
    entries: Sequence[log_service.LogEntry], from_offset: int
) -> list[log_service.LogEntry]:
    run: list[log_service.LogEntry] = []
    for entry in entries:
        if entry.offset != from_offset + len(run):
            break
        run.append(entry)
    return run
