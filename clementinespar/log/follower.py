"""Follows the log, or peers during an outage, and maintains the folded state."""

import asyncio
import collections
import contextlib
import heapq
import itertools
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Final

import logbook

from clementinespar import codes, errors
from clementinespar.fleet import messages as fleet_messages
from clementinespar.fleet import snapshot as fleet_snapshot
from clementinespar.fleet import state as fleet_state
from clementinespar.log import records, service
from clementinespar.log import relay as log_relay

_log = logbook.Logger("log.follower")

Listener = Callable[[service.LogEntry, codes.ResultCode], None]

_PAGE_ENTRIES: Final = 200  # folding a page blocks the event loop for a few ms
_MAX_RECENT_BYTES = 8 * 1024 * 1024  # recent entries kept for peers; a node has 128 MB
_ENTRY_OVERHEAD_BYTES = 200  # approximate memory of an entry besides its payload
# If the log has more entries than this (about 1 s of replay), a node that starts looks
# for a snapshot first.
_MAX_REPLAY_ENTRIES = 20_000
# Entries are fetched from peers that are ahead when the log has not answered for this
# long. It is well below the objective of 4 s until a document is in force everywhere.
_PEER_FALLBACK_DELAY_S = 0.5
_RETRY_DELAY_S = 0.2  # between attempts while the log is unavailable
_MAX_RETRY_DELAY_S = 1.0


class Follower:
    """Maintains the newest folded state; implements `fleet.source.FleetSource`.

    Parameters
    ----------
    log : service.LogService
        The platform's log.
    relay : log_relay.PeerRelay or None
        Peers to fetch entries from while the log is unavailable or behind them.
    poll_wait_s : float
        Longest wait of one read for new entries, in seconds.
    """

    is_ready: bool  # the log or a peer has answered and all of its entries are applied
    is_log_answering: bool  # the last read of the log was answered
    last_error: str  # why the log is unavailable, empty while it answers

    _log_service: service.LogService
    _relay: log_relay.PeerRelay | None
    _poll_wait_s: float
    _state: fleet_state.FleetState
    _recent: collections.deque[service.LogEntry]  # newest entries, without gaps
    _recent_bytes: int  # size of the entries in _recent
    _listeners: list[Listener]
    _waiters: list[tuple[int, int, asyncio.Future[None]]]  # heap by offset
    _waiter_numbers: "itertools.count[int]"  # breaks ties between equal offsets
    _cached_snapshot: tuple[int, bytes] | None  # offset and encoded state

    def __init__(
        self,
        log: service.LogService,
        relay: log_relay.PeerRelay | None,
        poll_wait_s: float,
    ) -> None:
        self.is_ready = False
        self.is_log_answering = False
        self.last_error = ""
        self._log_service = log
        self._relay = relay
        self._poll_wait_s = poll_wait_s
        self._state = fleet_state.FleetState()
        self._recent = collections.deque()
        self._recent_bytes = 0
        self._listeners = []
        self._waiters = []
        self._waiter_numbers = itertools.count()
        self._cached_snapshot = None

    @property
    def state(self) -> fleet_state.FleetState:
        """The newest folded state; callers never change it."""
        return self._state

    @property
    def oldest_kept_offset(self) -> int:
        """Offset of the oldest entry that `recent_entries` can return."""
        return self._recent[0].offset if self._recent else self._state.offset + 1

    def add_listener(self, callback: Listener) -> None:
        """Register a callback that runs after each applied entry.

        Entries that a loaded snapshot covers are not reported.
        """
        self._listeners.append(callback)

    def recent_entries(
        self, from_offset: int, limit: int
    ) -> tuple[service.LogEntry, ...]:
        """Return recent entries from an offset on; empty if its entry is not kept."""
        start = from_offset - self.oldest_kept_offset
        if start < 0:
            return ()
        return tuple(itertools.islice(self._recent, start, start + limit))

    def snapshot(self) -> tuple[int, bytes]:
        """Return an offset and the compressed state as of that offset, for a peer.

        The previous result is reused while the entries after it are still kept, because
        encoding the state costs far more than sending the entries.
        """
        if (
            self._cached_snapshot is None
            or self._cached_snapshot[0] + 1 < self.oldest_kept_offset
        ):
            encoded = fleet_snapshot.encode_state(self._state)
            self._cached_snapshot = (self._state.offset, encoded)
        return self._cached_snapshot

    async def wait_applied(self, offset: int) -> None:
        """Wait until the entry at an offset has been applied."""
        if self._state.offset >= offset:
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, (offset, next(self._waiter_numbers), future))
        await future

    async def refresh(self, timeout_s: float) -> bool:
        """Apply everything in the log; return False if it did not answer in time.

        Also returns False if the answer comes from an old copy of the log, which lacks
        entries that this node or a live peer had before the call.
        """
        known_offset = self._state.offset
        if self._relay is not None:
            known_offset = max(known_offset, self._relay.highest_offset())
        try:
            async with asyncio.timeout(timeout_s):
                # The read starts after this method is called, so its end offset covers
                # every append that was complete before the call.
                page = await self._read_log(0.0)
                end_offset = page.end_offset
                if end_offset <= known_offset:
                    return False
                while self._state.offset + 1 < end_offset:
                    before = self._state.offset
                    await self._read_log(0.0)
                    if self._state.offset == before:
                        return False
                return True
        except (TimeoutError, errors.ClementinesparError):
            return False

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Follow the log in a task while the context is open."""
        task = asyncio.create_task(self._follow(), name="log follower")
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _follow(self) -> None:
        """Read the log until cancelled; fetch what it cannot provide from peers."""
        retry_delay_s = _RETRY_DELAY_S
        while True:
            try:
                page = await self._read_log_or_peers()
            except errors.ClementinesparError as error:
                if self.is_log_answering or not self.last_error:
                    _log.warning("the log is unavailable: {}", error)
                self.is_log_answering = False
                self.last_error = str(error)
                await self._fetch_from_peers(is_log_failing=True)
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(retry_delay_s * 2, _MAX_RETRY_DELAY_S)
                continue
            except Exception:
                # An unexpected error in one round must not end the task, or the node
                # would serve an old state from then on.
                _log.exception("reading the log failed with an unexpected error")
                await asyncio.sleep(_MAX_RETRY_DELAY_S)
                continue
            if not self.is_log_answering and self.last_error:
                _log.notice(
                    "the log is available again at offset {}", self._state.offset
                )
            retry_delay_s = _RETRY_DELAY_S
            is_log_ahead = self._state.offset + 1 < page.end_offset
            if not page.entries and (is_log_ahead or self._is_behind_peers()):
                # The page lacks entries that the log or a peer already has.
                await self._fetch_from_peers(is_log_failing=False)
                await asyncio.sleep(_RETRY_DELAY_S)

    async def _read_log_or_peers(self) -> service.LogPage:
        """Read the log; while the read is unanswered, fetch entries from peers."""
        is_caught_up = self.is_ready and self.is_log_answering
        wait_s = self._poll_wait_s if is_caught_up else 0.0
        read = asyncio.ensure_future(self._read_log(wait_s))
        try:
            while True:
                done, _ = await asyncio.wait({read}, timeout=_PEER_FALLBACK_DELAY_S)
                if done:
                    return read.result()
                if self._is_behind_peers() or not self.is_ready:
                    await self._fetch_from_peers(is_log_failing=True)
        finally:
            read.cancel()

    def _is_behind_peers(self) -> bool:
        if self._relay is None:
            return False
        return self._relay.highest_offset() > self._state.offset

    async def _read_log(self, wait_s: float) -> service.LogPage:
        """Read one page from the log and apply it."""
        try:
            page = await self._log_service.read(
                self._state.offset + 1, _PAGE_ENTRIES, wait_s
            )
        except errors.LogRecordsExpiredError as error:
            return await self._recover_from_expiry(error.first_offset)
        if (
            self._state.offset < 0
            and page.end_offset - page.first_offset > _MAX_REPLAY_ENTRIES
        ):
            await self._load_from_log(page.first_offset, page.end_offset)
        self._apply(page.entries)
        self.is_log_answering = True
        self.last_error = ""
        if self._state.offset + 1 >= page.end_offset:
            self.is_ready = True
        return page

    async def _recover_from_expiry(self, first_offset: int) -> service.LogPage:
        """Load a state from which the entries that the log still keeps can be applied.

        Raises
        ------
        errors.LogRecordsExpiredError
            Neither the log nor a peer has such a state.
        """
        page = await self._log_service.read(first_offset, 1, 0.0)
        if not await self._load_from_log(page.first_offset, page.end_offset):
            await self._load_from_peer()
        if self._state.offset + 1 < page.first_offset:
            raise errors.LogRecordsExpiredError(page.first_offset)
        return page

    async def _load_from_log(self, first_offset: int, end_offset: int) -> bool:
        """Load the newest complete snapshot after which the log keeps every entry.

        Reads backwards, because the newest snapshot is close to the end of the log.
        """
        collector = fleet_snapshot.ChunkCollector()
        stop = end_offset
        while stop > first_offset:
            start = max(first_offset, stop - _PAGE_ENTRIES)
            entries: list[service.LogEntry] = []
            while start + len(entries) < stop:
                offset = start + len(entries)
                page = await self._log_service.read(offset, stop - offset, 0.0)
                if not page.entries:
                    return False
                entries.extend(page.entries)
                first_offset = page.first_offset
            for entry in reversed(entries):
                loaded = _load_chunk(collector, entry)
                if loaded is not None and loaded.offset + 1 >= first_offset:
                    return self._load(loaded, "the log")
            stop = start
        return False

    async def _load_from_peer(self) -> bool:
        if self._relay is None:
            return False
        try:
            fetched = await self._relay.fetch_snapshot()
            if fetched is None:
                return False
            loaded = fleet_snapshot.decode_state(fetched[1])
        except errors.ClementinesparError as error:
            _log.warning("loading a snapshot from peers failed: {}", error)
            return False
        return self._load(loaded, "a peer")

    def _load(self, loaded: fleet_state.FleetState, origin: str) -> bool:
        """Replace the state if the loaded one is newer."""
        if loaded.offset <= self._state.offset:
            return False
        self._state = loaded
        self._recent.clear()
        self._recent_bytes = 0
        self._wake_waiters()
        _log.notice("loaded a snapshot as of offset {} from {}", loaded.offset, origin)
        return True

    async def _fetch_from_peers(self, is_log_failing: bool) -> None:
        """Apply entries, or load a snapshot, from peers that are ahead of this node."""
        if self._relay is None:
            return
        target = self._relay.highest_offset()
        if target < 0:
            return
        try:
            while self._state.offset < target:
                before = self._state.offset
                entries = await self._relay.fetch_entries(before + 1, _PAGE_ENTRIES)
                self._apply(entries)
                if self._state.offset == before and not await self._load_from_peer():
                    return
        except errors.ClementinesparError as error:
            _log.debug("fetching entries from peers failed: {}", error)
            return
        if is_log_failing:
            self.is_ready = True

    def _apply(self, entries: Iterable[service.LogEntry]) -> None:
        """Apply the next entries; skip those already applied and stop at a gap."""
        for entry in entries:
            if entry.offset <= self._state.offset:
                continue
            if entry.offset > self._state.offset + 1:
                break
            code = fleet_state.apply_entry(self._state, entry)
            self._add_recent_entry(entry)
            for listener in self._listeners:
                try:
                    listener(entry, code)
                except Exception:
                    # An error in a listener must not stop the fold.
                    _log.exception("listener failed at offset {}", entry.offset)
        self._wake_waiters()

    def _add_recent_entry(self, entry: service.LogEntry) -> None:
        self._recent.append(entry)
        self._recent_bytes += len(entry.payload) + _ENTRY_OVERHEAD_BYTES
        while self._recent_bytes > _MAX_RECENT_BYTES and len(self._recent) > 1:
            dropped = self._recent.popleft()
            self._recent_bytes -= len(dropped.payload) + _ENTRY_OVERHEAD_BYTES

    def _wake_waiters(self) -> None:
        while self._waiters and self._waiters[0][0] <= self._state.offset:
            _, _, future = heapq.heappop(self._waiters)
            if not future.done():
                future.set_result(None)


def _load_chunk(
    collector: fleet_snapshot.ChunkCollector, entry: service.LogEntry
) -> fleet_state.FleetState | None:
    """Return the state if the entry is the last missing chunk of a snapshot."""
    if b'"snapshot_chunk"' not in entry.payload:
        return None  # avoids parsing records of other kinds
    try:
        record = records.parse_record(entry.payload)
    except errors.ClementinesparError:
        return None
    if not isinstance(record, fleet_messages.SnapshotChunk):
        return None
    return collector.add(record)
