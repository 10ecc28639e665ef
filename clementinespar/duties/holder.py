"""Claims a duty for this node and renews its lease."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

import logbook

from clementinespar import codes, errors, identifiers
from clementinespar.duties import messages, state
from clementinespar.fleet import source as fleet_source
from clementinespar.log import appender as log_appender

_log = logbook.Logger("duties.holder")

_RETRY_DELAY_S = 0.5  # after a claim without a result
_RELEASE_TIMEOUT_S = 2.0  # bounds how long a stop waits for the log


class DutyHolder:
    """Acquires and renews the lease of a duty for this node.

    The lease only avoids needless work: what its holder does is still checked by the
    fold.

    Parameters
    ----------
    duty : str
        Name of the duty.
    appender : log_appender.Appender
        Appends claims and releases.
    source : fleet_source.FleetSource
        Provides the folded state.
    author : str
        Name of this node.
    lease_ms : int
        Length of the lease in milliseconds, at most `duties.state.MAX_LEASE_MS`.
    """

    duty: str

    _appender: log_appender.Appender
    _source: fleet_source.FleetSource
    _author: str
    _lease_ms: int
    _since_offset: int | None  # offset of the claim that began the lease, if held
    _lease_ends_at: float  # loop time, counted from before the claim was sent
    _loop: asyncio.AbstractEventLoop | None  # loop whose clock ends the lease
    _random: random.Random  # seeded by node and duty; repeatable in tests

    def __init__(
        self,
        duty: str,
        appender: log_appender.Appender,
        source: fleet_source.FleetSource,
        author: str,
        lease_ms: int,
    ) -> None:
        self.duty = duty
        self._appender = appender
        self._source = source
        self._author = author
        self._lease_ms = min(lease_ms, state.MAX_LEASE_MS)
        self._since_offset = None
        self._lease_ends_at = float("-inf")
        self._loop = None
        self._random = random.Random(f"{author} {duty}")

    @property
    def is_held(self) -> bool:
        """Whether this node holds the lease by both log time and its own clock."""
        if self._loop is None or self._loop.time() >= self._lease_ends_at:
            return False
        lease = self._lease()
        return (
            lease is not None
            # The offset identifies the lease, also among leases of the same node name.
            and lease.since_offset == self._since_offset
            and self._source.state.log_time_ms < lease.until_ms
        )

    @property
    def fencing_offset(self) -> int | None:
        """Offset of the claim that began the lease, or None while it is not held."""
        return self._since_offset if self.is_held else None

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Claim and renew the duty while the context is open; release it at its end."""
        task = asyncio.create_task(self._run(), name=f"duty {self.duty}")
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await self._release()

    def _lease(self) -> state.Lease | None:
        return self._source.state.duties.leases_by_duty.get(self.duty)

    async def _run(self) -> None:
        while True:
            lease = self._lease()
            if lease is not None and lease.holder != self._author:
                remaining_ms = lease.until_ms - self._source.state.log_time_ms
                if remaining_ms > 0:
                    # Log time does not advance without appends, so the wait uses the
                    # loop's clock. The jitter keeps nodes from claiming all at once.
                    jitter = self._random.uniform(0.0, self._lease_ms / 10_000)
                    await asyncio.sleep(remaining_ms / 1000 + jitter)
                    if self._lease() != lease:
                        continue  # renewed, or claimed by another node meanwhile
            await asyncio.sleep(await self._claim())

    async def _claim(self) -> float:
        """Claim or renew once; return the delay until the next claim in seconds."""
        loop = asyncio.get_running_loop()
        self._loop = loop
        sent = loop.time()
        issued_ms = self._appender.now_ms()
        record = messages.DutyClaimed(
            record_id=identifiers.new_id(issued_ms),
            issued_ms=issued_ms,
            author=self._author,
            duty=self.duty,
            lease_ms=self._lease_ms,
        )
        try:
            result = await self._appender.append(record, self._lease_ms / 2000)
        except errors.LogReplyLostError as error:
            # The claim may be in the log. A node that can append but not read would
            # block the duty by further renewals, so it lets the lease expire.
            _log.info("claim of duty {} got no result: {}", self.duty, error)
            return self._lease_ms / 1000 + _RETRY_DELAY_S
        except errors.ClementinesparError as error:
            _log.info("duty {} cannot be claimed: {}", self.duty, error)
            return _RETRY_DELAY_S
        lease = self._lease()
        if result.code != codes.ResultCode.OK:
            return 0.0 if result.code == codes.ResultCode.DUTY_HELD else _RETRY_DELAY_S
        if lease is None or lease.holder != self._author:
            return 0.0
        if not self.is_held:
            _log.info("this node now holds the lease of duty {}", self.duty)
        self._since_offset = lease.since_offset
        self._lease_ends_at = sent + self._lease_ms / 1000
        return max(0.0, sent + self._lease_ms / 2000 - loop.time())

    async def _release(self) -> None:
        """Release the duty, so that another node need not wait for the lease to end."""
        was_held = self.is_held
        self._lease_ends_at = float("-inf")
        self._since_offset = None
        if not was_held:
            return
        issued_ms = self._appender.now_ms()
        record = messages.DutyReleased(
            record_id=identifiers.new_id(issued_ms),
            issued_ms=issued_ms,
            author=self._author,
            duty=self.duty,
        )
        try:
            await self._appender.append(record, _RELEASE_TIMEOUT_S)
        except errors.ClementinesparError as error:
            _log.info(
                "duty {} was not released and ends with its lease: {}", self.duty, error
            )
