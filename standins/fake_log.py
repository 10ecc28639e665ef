"""In-memory stand-in of the platform's append-only log, with fault switches.

Tests and benches use `FakeLog` directly; `standins.log_service` serves it over HTTP.
Its time is the event loop's, so tests with a paused clock control retention and
timestamps.
"""

import asyncio
import collections
import dataclasses
import time
from collections.abc import Sequence

from clementinespar import errors
from clementinespar.log import service

ALL = -1  # value of `Faults.lose_replies` that loses every reply


@dataclasses.dataclass(slots=True)
class Faults:
    """Fault switches; all are off by default."""

    down: bool = False  # refuses appends and reads at once
    silent: bool = False  # calls have no effect and no answer; the client times out
    # Timeout of a client that gets no answer; None if the log is served over HTTP to
    # clients with timeouts of their own.
    client_timeout_s: float | None = 2.0
    slow_ms: float = 0.0  # delay before an append or read is served
    lose_replies: int = 0  # number of next appends that take effect without a reply
    late_ms: float = 0.0  # delay until an append with a lost reply takes effect
    visible_end: int | None = None  # reads see only lower offsets, as of a stale copy

    async def apply(self, is_append: bool) -> None:
        """Delay a call, leave it unanswered or refuse it, as the switches say."""
        if self.slow_ms > 0:
            await asyncio.sleep(self.slow_ms / 1000)
        if self.silent:
            try:
                async with asyncio.timeout(self.client_timeout_s):
                    await asyncio.Event().wait()
            except TimeoutError:
                if is_append:
                    raise errors.LogReplyLostError(
                        "the log did not answer (fault switch silent)"
                    ) from None
                raise errors.LogUnavailableError(
                    "the log did not answer (fault switch silent)"
                ) from None
        if self.down:
            raise errors.LogUnavailableError("the log is down")

    def use_lost_reply(self) -> bool:
        """Return whether the current append loses its reply, and count it."""
        if self.lose_replies > 0:
            self.lose_replies -= 1
            return True
        return self.lose_replies == ALL


class FakeLog:
    """Append-only log in memory that implements `log.service.LogService`.

    Parameters
    ----------
    epoch_ms : int, optional
        Wall time in milliseconds at the first use of the log; the real wall time by
        default.
    retention_entries : int, optional
        Number of newest entries kept; all by default.
    retention_ms : int, optional
        Age up to which entries are kept; unlimited by default.
    max_appends_per_s : float, optional
        Appends above this rate are refused; unlimited by default.
    """

    faults: Faults  # fault switches, changed by tests at any time
    retention_entries: int | None  # newest entries kept, None for all
    retention_ms: int | None  # age up to which entries are kept, None for any
    max_appends_per_s: float | None  # rate limit, None for no limit
    append_count: int  # appends that took effect, with or without a reply
    read_count: int  # reads received

    _entries: collections.deque[service.LogEntry]  # kept entries in offset order
    _end_offset: int  # offset of the next append
    _epoch_ms: int | None  # wall time at the first use
    _epoch_loop_s: float | None  # loop time at the first use
    _last_ms: int  # timestamp of the newest append
    _tokens: float  # appends that the rate limit allows now
    _tokens_updated_s: float  # loop time at which `_tokens` was computed
    _appended: asyncio.Event  # set and replaced at every append

    def __init__(
        self,
        *,
        epoch_ms: int | None = None,
        retention_entries: int | None = None,
        retention_ms: int | None = None,
        max_appends_per_s: float | None = None,
    ) -> None:
        self.faults = Faults()
        self.retention_entries = retention_entries
        self.retention_ms = retention_ms
        self.max_appends_per_s = max_appends_per_s
        self.append_count = 0
        self.read_count = 0
        self._entries = collections.deque()
        self._end_offset = 0
        self._epoch_ms = epoch_ms
        self._epoch_loop_s = None
        self._last_ms = 0
        self._tokens = 0.0
        self._tokens_updated_s = float("-inf")
        self._appended = asyncio.Event()

    @property
    def entries(self) -> tuple[service.LogEntry, ...]:
        """The kept entries."""
        return tuple(self._entries)

    @property
    def end_offset(self) -> int:
        """Offset that the next append gets."""
        return self._end_offset

    def now_ms(self) -> int:
        """Return the log's clock in milliseconds of wall time."""
        now_s = asyncio.get_running_loop().time()
        if self._epoch_ms is None:
            self._epoch_ms = time.time_ns() // 1_000_000
        if self._epoch_loop_s is None:
            self._epoch_loop_s = now_s
        return self._epoch_ms + int((now_s - self._epoch_loop_s) * 1000)

    async def append(self, payloads: Sequence[bytes]) -> int:
        """Append payloads in one call and return the offset of the first one."""
        await self.faults.apply(is_append=True)
        if not self._take_token():
            raise errors.LogUnavailableError("the append exceeds the rate limit")
        return self.append_with(self.faults, payloads)

    def append_with(self, faults: Faults, payloads: Sequence[bytes]) -> int:
        """Append payloads, unless the switches lose the reply."""
        if not faults.use_lost_reply():
            return self.append_now(payloads)
        if faults.late_ms > 0:
            asyncio.get_running_loop().call_later(
                faults.late_ms / 1000, self.append_now, list(payloads)
            )
        else:
            self.append_now(payloads)
        raise errors.LogReplyLostError("the reply to the append was lost")

    def append_now(self, payloads: Sequence[bytes]) -> int:
        """Append payloads regardless of faults and return the first offset."""
        self._last_ms = max(self._last_ms, self.now_ms())
        first_offset = self._end_offset
        for payload in payloads:
            self._entries.append(
                service.LogEntry(self._end_offset, self._last_ms, bytes(payload))
            )
            self._end_offset += 1
        self.append_count += 1
        self._expire()
        self._appended.set()
        self._appended = asyncio.Event()
        return first_offset

    async def read(self, offset: int, limit: int, wait_s: float) -> service.LogPage:
        """Return at most ``limit`` entries from ``offset`` on."""
        self.read_count += 1
        await self.faults.apply(is_append=False)
        return await self.read_with(self.faults, offset, limit, wait_s)

    async def read_with(
        self, faults: Faults, offset: int, limit: int, wait_s: float
    ) -> service.LogPage:
        """Wait for entries and return them, unless the log fails during the wait."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while offset >= self._visible_end(faults) and loop.time() < deadline:
            try:
                async with asyncio.timeout_at(deadline):
                    await self._appended.wait()
            except TimeoutError:
                break
        if faults.down or faults.silent:
            await dataclasses.replace(faults, slow_ms=0.0).apply(is_append=False)
        visible_end = self._visible_end(faults)
        page = self.read_now(offset, limit)
        return service.LogPage(
            tuple(entry for entry in page.entries if entry.offset < visible_end),
            page.first_offset,
            visible_end,
        )

    def _visible_end(self, faults: Faults) -> int:
        if faults.visible_end is None:
            return self._end_offset
        return min(faults.visible_end, self._end_offset)

    def read_now(self, offset: int, limit: int) -> service.LogPage:
        """Return a page at once, regardless of faults."""
        self._expire()
        first_offset = self._end_offset - len(self._entries)
        if offset < first_offset:
            raise errors.LogRecordsExpiredError(first_offset)
        start = offset - first_offset
        stop = min(start + limit, len(self._entries))
        entries = tuple(self._entries[i] for i in range(start, stop))
        return service.LogPage(entries, first_offset, self._end_offset)

    def _take_token(self) -> bool:
        """Take a token for an append from a bucket that holds one second's worth."""
        rate = self.max_appends_per_s
        if rate is None:
            return True
        now_s = asyncio.get_running_loop().time()
        refill = (now_s - self._tokens_updated_s) * rate
        self._tokens = min(rate, self._tokens + refill)
        self._tokens_updated_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _expire(self) -> None:
        if self.retention_entries is not None:
            while len(self._entries) > self.retention_entries:
                self._entries.popleft()
        if self.retention_ms is not None:
            oldest_ms = self.now_ms() - self.retention_ms
            while self._entries and self._entries[0].timestamp_ms < oldest_ms:
                self._entries.popleft()


class LogAccess:
    """One node's access to a shared `FakeLog`, with fault switches of its own."""

    log: FakeLog  # the shared log
    faults: Faults  # switches that affect only this node

    def __init__(self, log: FakeLog) -> None:
        self.log = log
        self.faults = Faults()

    async def append(self, payloads: Sequence[bytes]) -> int:
        """Append payloads in one call and return the offset of the first one."""
        await self.faults.apply(is_append=True)
        if self.faults.lose_replies:
            return self.log.append_with(self.faults, payloads)
        return await self.log.append(payloads)

    async def read(self, offset: int, limit: int, wait_s: float) -> service.LogPage:
        """Return at most ``limit`` entries from ``offset`` on."""
        await self.faults.apply(is_append=False)
        await self.log.faults.apply(is_append=False)
        return await self.log.read_with(self.faults, offset, limit, wait_s)
