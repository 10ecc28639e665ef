"""Folded state of pool membership and of hosts that are out of service."""

import dataclasses

from clementinespar import codes
from clementinespar.documents import model
from clementinespar.documents import state as documents_state
from clementinespar.log import service as log_service
from clementinespar.pools import budget, messages

NO_REVISION = -1  # revision of a host that no record has changed yet

_MAX_REMOVED_HOSTS = 1_000  # bounds the size of the state and its snapshots


@dataclasses.dataclass(frozen=True, slots=True)
class HostOut:
    """Why a host is out of service."""

    # Record id of host_taken_out, followed by "@" and the offset of a document's record
    # if that document restarted the operation.
    operation_id: str
    offset: int  # of the record that began the operation; fencing token of host actions
    reason: messages.OutReason
    author: str  # node that took the host out
    since_ms: int  # log time
    to_pool: str | None  # destination of a move
    wave_id: str | None  # wave of a maintenance
    is_moved: bool = False  # the host already belongs to to_pool


@dataclasses.dataclass(slots=True)
class HostState:
    """One host of the production document."""

    host_id: str
    data_centre: str
    rack: str
    home: str  # pool that the document names
    pool: str  # pool that the host belongs to now
    is_lent: bool = False  # a move, not a document, placed the host outside its home
    revision: int = NO_REVISION  # offset of the last record that changed the host
    out: HostOut | None = None
    failed_since_ms: int | None = None  # log time of the host_failed record
    maintained_ms: int = 0  # log time of the last finished maintenance, 0 if never

    @property
    def is_available(self) -> bool:
        """Whether the host counts as in service."""
        return self.out is None and self.failed_since_ms is None


@dataclasses.dataclass(slots=True)
class PoolsState:
    """Hosts by id, with an index by pool."""

    hosts_by_id: dict[str, HostState] = dataclasses.field(default_factory=dict)
    # Hosts that a document removed while they were out, oldest first. A host that a
    # later document adds again is still drained or rebooting, so it is not in service.
    removed_out_by_host_id: dict[str, HostOut] = dataclasses.field(default_factory=dict)
    # Values are ordered sets: dicts whose values are unused.
    host_ids_by_pool: dict[str, dict[str, None]] = dataclasses.field(
        default_factory=dict
    )

    def copy(self) -> "PoolsState":
        """Return a copy that can be changed without changing this state."""
        return PoolsState(
            {i: dataclasses.replace(host) for i, host in self.hosts_by_id.items()},
            dict(self.removed_out_by_host_id),
            {pool: dict(ids) for pool, ids in self.host_ids_by_pool.items()},
        )

    def hosts_of(self, pool: str) -> list[HostState]:
        """Return the hosts that belong to a pool now."""
        return [self.hosts_by_id[i] for i in self.host_ids_by_pool.get(pool, {})]

    def members_after_moves(self, pool: str) -> list[HostState]:
        """Return the hosts that belong to a pool once all moves are complete."""
        staying = [h for h in self.hosts_of(pool) if not budget.is_leaving(h)]
        incoming = [
            host
            for host in self.hosts_by_id.values()
            if host.out is not None
            and host.out.to_pool == pool
            and budget.is_leaving(host)
        ]
        return staying + incoming

    def set_pool(self, host: HostState, pool: str) -> None:
        """Move a host to a pool and update the index."""
        self.host_ids_by_pool.get(host.pool, {}).pop(host.host_id, None)
        host.pool = pool
        self.host_ids_by_pool.setdefault(pool, {})[host.host_id] = None


def apply_document(state: PoolsState, document: model.Document, offset: int) -> None:
    """Update the hosts to match a production document that came into force.

    New hosts join their home pool, hosts that the document no longer names leave, and
    hosts in a pool that no longer exists join their home pool. Other hosts stay where
    they are: a host changes pool only through a drain.

    A host in service whose pool no longer exists stays in service, because renaming a
    pool must not take out all of its hosts at once. It becomes due for maintenance,
    which reboots it into its home pool within the budget. The operation of a host that
    is out continues under a new operation id and fencing offset, because the steps done
    so far prepared the host for a pool that no longer exists.
    """
    home_by_host = documents_state.home_pool_by_host(document)
    for host_id in [i for i in state.hosts_by_id if i not in home_by_host]:
        host = state.hosts_by_id.pop(host_id)
        state.host_ids_by_pool.get(host.pool, {}).pop(host_id, None)
        if host.out is not None:
            state.removed_out_by_host_id[host_id] = host.out
    for host_id in list(state.removed_out_by_host_id)[:-_MAX_REMOVED_HOSTS]:
        del state.removed_out_by_host_id[host_id]
    for host_id, home in home_by_host.items():
        place = document.hosts[host_id]
        known = state.hosts_by_id.get(host_id)
        if known is None:
            known = HostState(host_id, place.data_centre, place.rack, home, home)
            state.hosts_by_id[host_id] = known
            state.set_pool(known, home)
            out = state.removed_out_by_host_id.pop(host_id, None)
            if out is not None:
                known.out = _restart(out, offset, home, is_moved=True)
                known.revision = offset
        if known.home != home:
            known.home = home
            known.is_lent = False
        known.data_centre = place.data_centre
        known.rack = place.rack
        if known.pool not in document.pools:
            state.set_pool(known, home)
            known.is_lent = False
            known.maintained_ms = 0
            if known.out is not None:
                known.out = _restart(known.out, offset, home, is_moved=True)
            known.revision = offset
        elif (
            known.out is not None
            and budget.is_leaving(known)
            and known.out.to_pool not in document.pools
        ):
            known.out = _restart(known.out, offset, None, is_moved=False)
            known.revision = offset
    for pool in [p for p in state.host_ids_by_pool if p not in document.pools]:
        del state.host_ids_by_pool[pool]


def _restart(
    out: HostOut, offset: int, to_pool: str | None, *, is_moved: bool
) -> HostOut:
    """Return the operation that replaces one whose pool a document removed."""
    first_id = out.operation_id.partition("@")[0]
    return dataclasses.replace(
        out,
        operation_id=f"{first_id}@{offset}",
        offset=offset,
        reason="move",
        to_pool=to_pool,
        wave_id=None,
        is_moved=is_moved,
    )


def apply_taken_out(
    state: PoolsState,
    document: model.Document | None,
    record: messages.HostTakenOut,
    entry: log_service.LogEntry,
) -> codes.ResultCode:
    """Take a host out if its pool's availability budget still holds afterwards."""
    host = state.hosts_by_id.get(record.host_id)
    if host is None or document is None:
        return codes.ResultCode.HOST_UNKNOWN
    if host.pool != record.pool:
        return codes.ResultCode.HOST_NOT_IN_POOL
    if host.out is not None:
        return codes.ResultCode.HOST_ALREADY_OUT
    if host.revision != record.host_revision:
        return codes.ResultCode.HOST_REVISION_CONFLICT
    code = _check_take_out(state, document, record, host)
    if code != codes.ResultCode.OK:
        return code
    host.out = HostOut(
        operation_id=record.record_id,
        offset=entry.offset,
        reason=record.reason,
        author=record.author,
        since_ms=entry.timestamp_ms,
        to_pool=record.to_pool,
        wave_id=record.wave_id,
    )
    host.revision = entry.offset
    return codes.ResultCode.OK


def _check_take_out(
    state: PoolsState,
    document: model.Document,
    record: messages.HostTakenOut,
    host: HostState,
) -> codes.ResultCode:
    """Check the conditions that depend on the reason of a take-out."""
    survive: budget.Survive = "none"
    if record.reason == "maintenance":
        if record.to_pool is not None:
            return codes.ResultCode.RECORD_INVALID
        survive = document.maintenance.survive
    else:
        if record.wave_id is not None:
            return codes.ResultCode.RECORD_INVALID
        if record.to_pool not in document.pools or record.to_pool == host.pool:
            return codes.ResultCode.POOL_UNKNOWN
        is_full = (
            len(state.members_after_moves(record.to_pool))
            >= document.pools[record.to_pool].max_hosts
        )
        if is_full and host.home != record.to_pool:
            return codes.ResultCode.BUDGET_EXCEEDED
    return budget.check_take_out(
        document.pools[host.pool],
        state.hosts_of(host.pool),
        host,
        record.reason,
        survive,
    )


def apply_moved(
    state: PoolsState,
    document: model.Document | None,
    record: messages.HostMoved,
    entry: log_service.LogEntry,
) -> codes.ResultCode:
    """Change the pool of a host that is out for a move."""
    host = state.hosts_by_id.get(record.host_id)
    if host is None or document is None:
        return codes.ResultCode.HOST_UNKNOWN
    if host.out is None or host.out.operation_id != record.operation_id:
        return codes.ResultCode.HOST_NOT_OUT
    if host.out.to_pool is None or host.out.is_moved:
        return codes.ResultCode.HOST_REVISION_CONFLICT
    if host.out.to_pool not in document.pools:
        return codes.ResultCode.POOL_UNKNOWN
    state.set_pool(host, host.out.to_pool)
    host.is_lent = host.pool != host.home
    host.out = dataclasses.replace(host.out, is_moved=True)
    host.revision = entry.offset
    return codes.ResultCode.OK


def apply_returned(
    state: PoolsState,
    record: messages.HostReturned,
    entry: log_service.LogEntry,
) -> codes.ResultCode:
    """Put a host back into service."""
    host = state.hosts_by_id.get(record.host_id)
    if host is None:
        return codes.ResultCode.HOST_UNKNOWN
    if host.out is None or host.out.operation_id != record.operation_id:
        return codes.ResultCode.HOST_NOT_OUT
    if budget.is_leaving(host):
        # A drained host that has not yet changed pool is not prepared for either pool.
        return codes.ResultCode.HOST_REVISION_CONFLICT
    if host.out.reason == "maintenance":
        host.maintained_ms = entry.timestamp_ms
    host.out = None
    host.revision = entry.offset
    return codes.ResultCode.OK


def apply_failed(
    state: PoolsState, record: messages.HostFailed, entry: log_service.LogEntry
) -> codes.ResultCode:
    """Mark a host as failed."""
    host = state.hosts_by_id.get(record.host_id)
    if host is None:
        return codes.ResultCode.HOST_UNKNOWN
    if record.host_revision not in (None, host.revision):
        return codes.ResultCode.HOST_REVISION_CONFLICT
    if host.failed_since_ms is None:
        host.failed_since_ms = entry.timestamp_ms
        host.revision = entry.offset
    return codes.ResultCode.OK


def apply_recovered(
    state: PoolsState, record: messages.HostRecovered, entry: log_service.LogEntry
) -> codes.ResultCode:
    """Mark a failed host as recovered."""
    host = state.hosts_by_id.get(record.host_id)
    if host is None:
        return codes.ResultCode.HOST_UNKNOWN
    if record.host_revision not in (None, host.revision):
        return codes.ResultCode.HOST_REVISION_CONFLICT
    if host.failed_since_ms is not None:
        host.failed_since_ms = None
        host.revision = entry.offset
    return codes.ResultCode.OK
