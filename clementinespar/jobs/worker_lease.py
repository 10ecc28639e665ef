"""Lease on one worker: when it ends on the worker's clock, and when it certainly has.

All that runs on a worker ends with its lease. The lease counts from the newest
confirmation of ownership, so the next owner knows when the last one of this owner ends.
"""

import asyncio
import enum

from clementinespar.jobs import worker_run

# A worker's clock may run 2% slow, so a lease lasts that much longer in real time.
MIN_CLOCK_RATE = 0.98
LEASE_MARGIN_S = 0.15  # network and timer delay beyond the end of a lease


class Obstacle(enum.Enum):
    """Why a worker cannot get a lease at present."""

    UNCONFIRMED = "ownership is not confirmed"
    CONFIRMATION_OLD = "the confirmation of ownership is too old"
    CLOCK_UNKNOWN = "the worker's clock is unknown"
    UNRECORDED = "the store does not list the worker as in use"


class WorkerLease:
    """The lease on one worker, as one owner grants it.

    Parameters
    ----------
    lease_s : float
        Longest lease in seconds, counted from the confirmation of ownership.
    previous_end : float
        Event-loop time at which the leases of previous owners have ended.
    """

    end: float  # event-loop time by which all leases granted so far have ended
    _clock_ms: int | None  # newest reading of the worker's clock
    _clock_at: float  # event-loop time of that reading

    def __init__(
        self,
        worker_id: str,
        lease_s: float,
        previous_end: float,
        events: worker_run.RunEvents,
    ) -> None:
        self.end = previous_end
        self._lease_s = lease_s
        self._worker_id = worker_id
        self._events = events
        self._clock_ms = None
        self._clock_at = 0.0

    def set_clock(self, clock_ms: int) -> None:
        """Set the worker's clock to the time in a report.

        Answers to orders do not say of which life of the worker their time is.
        """
        self._clock_ms = clock_ms
        self._clock_at = asyncio.get_running_loop().time()

    def grant_until_ms(self) -> int | None:
        """Return the end of the next lease on the worker's clock, in ms.

        Returns None if there is an obstacle. Otherwise also advances `end`.
        """
        confirmed = self._events.confirmed_at()
        if self.find_obstacle() is not None or confirmed is None:
            return None
        assert self._clock_ms is not None
        end = confirmed + self._lease_s
        self.end = max(self.end, end)
        left_s = end - self._clock_at
        return self._clock_ms + int(MIN_CLOCK_RATE * left_s * 1000)

    def find_obstacle(self) -> Obstacle | None:
        """Return why the worker gets no lease at present, or None if it does."""
        confirmed = self._events.confirmed_at()
        if confirmed is None:
            return Obstacle.UNCONFIRMED
        if self._clock_ms is None:
            return Obstacle.CLOCK_UNKNOWN
        if not self._events.may_lease(self._worker_id):
            return Obstacle.UNRECORDED
        now = asyncio.get_running_loop().time()
        if confirmed + self._lease_s - now < LEASE_MARGIN_S:
            return Obstacle.CONFIRMATION_OLD
        return None

    def has_ended(self) -> bool:
        """Whether no lease of this owner or of a later one lasts.

        A later owner renews the leases on the workers that it reaches. So ownership has
        to be confirmed after the end of this owner's lease.
        """
        confirmed = self._events.confirmed_at()
        if confirmed is None or confirmed < self.end:
            return False
        return asyncio.get_running_loop().time() >= self.end + LEASE_MARGIN_S

    def end_now(self) -> None:
        """Record that nothing runs on the worker."""
        now = asyncio.get_running_loop().time()
        self.end = min(self.end, now - LEASE_MARGIN_S)

    def describe(self) -> dict[str, object]:
        """Return the fields of a log line that show what a decision relies on."""
        now = asyncio.get_running_loop().time()
        confirmed = self._events.confirmed_at()
        age_ms = None if confirmed is None else round((now - confirmed) * 1000)
        return {
            "lease_ms": round((self.end - now) * 1000),
            "confirmed_age_ms": age_ms,
        }
