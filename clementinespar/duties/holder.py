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
    """Holds a duty on this node while it can.

    A duty saves work only: whoever acts on it still relies on the fold for correctness.

    Parameters
    ----------
    duty : str
        Name of the duty.
    appender : log_appender.Appender
        Appends claims and releases.
    source : fleet_source.FleetSource
        Holder of the folded state.
    author : str
        Name of this node.
    lease_ms : int
        Length of the lease in milliseconds, at most `duties.state.MAX_LEASE_MS`.
    """

    duty: str  # name of the duty

    _appender: log_appender.Appender
    _source: fleet_source.FleetSource
    _author: str
    _lease_ms: int
    _since_offset: int | None  # offset of the first claim of this process, if it holds
    _held_until: float  # loop time at which the lease ends, counted from before sending
    _loop: asyncio.AbstractEventLoop | None  # loop whose clock ends the lease
    _random: random.Random  # differs between nodes, and repeats in tests

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
        self._held_until = float("-inf")
        self._loop = None
        self._random = random.Random(f"{author} {duty}")

    @property
    def is_held(self) -> bool:
        """Whether this node holds the duty by log time and by its own clock."""
        if self._loop is None or self._loop.time() >= self._held_until:
            return False
        lease = self._lease()
        return (
            lease is not None
            # The offset tells this tenure from all others, also of the same node name.
            and lease.since_offset == self._since_offset
            and self._source.state.log_time_ms < lease.until_ms
        )

    @property
    def fencing_offset(self) -> int | None:
        """Offset of the claim that began the tenure, or None while not held."""
        return self._since_offset if self.is_held else None

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Claim and renew while the context is open; release at its end."""
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
                    # Log time stands still without appends, so the wait is by the
                    # loop's clock. The jitter keeps all nodes from claiming at once.
                    jitter = self._random.uniform(0.0, self._lease_ms / 10_000)
                    await asyncio.sleep(remaining_ms / 1000 + jitter)
                    if self._lease() != lease:
                        continue  # renewed or passed on meanwhile
            await asyncio.sleep(await self._claim())

    async def _claim(self) -> float:
        """Claim or renew once and return the seconds until the next claim."""
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
            # block the duty if it went on renewing, so it lets the lease run out.
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
            _log.info("this node holds duty {} now", self.duty)
        self._since_offset = lease.since_offset
        self._held_until = sent + self._lease_ms / 1000
        return max(0.0, sent + self._lease_ms / 2000 - loop.time())

    async def _release(self) -> None:
        """Give up the duty, so that another node need not wait for the lease to end."""
        was_held = self.is_held
        self._held_until = float("-inf")
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
            _log.info("duty {} ends with its lease: {}", self.duty, error)
