"""Lease on one worker: when it ends on the worker's clock, and when it certainly has.

All that runs on a worker ends with its lease. The lease counts from the newest
confirmation of ownership, so the next owner knows when the last one of this owner ends.

A worker that restarts under its id has a new clock. An order with a lease on the former
clock may reach it, and then lasts for the longest time that workers grant, counted from
its arrival.
"""

import asyncio
import dataclasses
import enum
import math
from collections.abc import Callable

from clementinespar.jobs import worker_run

# A worker's clock may run 2% slow, so a lease lasts that much longer in real time.
MIN_CLOCK_RATE = 0.98
LEASE_MARGIN_S = 0.15  # network and timer delay beyond the end of a lease
# An owner without a lease to grant looks this often for a new confirmation. Between two
# joins of the group, `ownership.JOIN_INTERVAL_S`, it does so several times.
CONFIRMATION_CHECK_S = 0.05
LEASE_SHARE = 0.9  # of the longest lease that workers grant
LATE_ORDER_S = 3.0  # an order without an answer may be carried out this much later


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Lease of one order.

    Attributes
    ----------
    until_ms : int
        Its end on the worker's clock.
    sent_ms : int
        Time on that clock before which the order cannot arrive.
    life : int
        Number of the life of the worker to which the clock belongs.
    """

    until_ms: int
    sent_ms: int
    life: int


class Obstacle(enum.Enum):
    """Why a worker cannot get a lease at present."""

    UNCONFIRMED = "ownership is not confirmed"
    CONFIRMATION_OLD = "the confirmation of ownership is too old"
    CLOCK_UNKNOWN = "the worker's clock is unknown"
    UNRECORDED = "the store does not list the worker as in use"


def find_owner_obstacle(
    confirmed: float | None, lease_s: float, now: float
) -> Obstacle | None:
    """Return why an owner grants no lease to any worker, or None if it may.

    Parameters
    ----------
    confirmed : float, optional
        Event-loop time at which the last confirmation of ownership was sent.
    lease_s : float
        Longest lease in seconds, counted from the confirmation.
    now : float
        Event-loop time.
    """
    if confirmed is None:
        return Obstacle.UNCONFIRMED
    if confirmed + lease_s - now < LEASE_MARGIN_S:
        return Obstacle.CONFIRMATION_OLD
    return None


async def wait_until_grantable(
    confirmed_at: Callable[[], float | None], lease_s: float
) -> None:
    """Wait until an owner may grant leases; returns at once if it may now.

    Parameters
    ----------
    confirmed_at : callable
        Returns when the last call that confirmed ownership was sent.
    lease_s : float
        Longest lease in seconds, counted from the confirmation.
    """
    loop = asyncio.get_running_loop()
    while find_owner_obstacle(confirmed_at(), lease_s, loop.time()) is not None:
        await asyncio.sleep(CONFIRMATION_CHECK_S)


class WorkerLease:
    """The lease on one worker, as one owner grants it.

    Parameters
    ----------
    lease_max_s : float
        Longest lease that the worker grants, in seconds. Leases of this owner are
        shorter and count from the confirmation of ownership.
    previous_end : float
        Event-loop time at which the leases of previous owners have ended.
    """

    # Event-loop time by which all leases granted so far have ended, unless an order has
    # reached a later life of the worker than the one that is known.
    end: float
    # The same of leases that may be longer than the next owner assumes.
    extended_end: float
    _longest_s: float  # longest duration of a lease in real time
    _granted_at: float  # event-loop time of the newest grant
    _life: int  # number of lives seen
    _clock_ms: int | None  # newest reading of the worker's clock
    _clock_at: float  # event-loop time of that reading

    def __init__(
        self,
        worker_id: str,
        lease_max_s: float,
        previous_end: float,
        events: worker_run.RunEvents,
    ) -> None:
        self.end = previous_end
        self._lease_s = find_granted_s(lease_max_s)
        self._longest_s = find_longest_s(lease_max_s)
        self.extended_end = -math.inf
        self._granted_at = -math.inf
        self._life = 0
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

    def begin_life(self) -> None:
        """Record that the worker has begun another life, whose clock is not known yet.

        Orders on the former clock may reach it and extend the lease of all that runs
        there.
        """
        now = asyncio.get_running_loop().time()
        self.end = max(self.end, now + self._longest_s, self._later_life_end())
        self.extended_end = self.end + LEASE_MARGIN_S
        self._life += 1
        self._clock_ms = None

    def check_answer(self, grant: Grant, clock_ms: int) -> bool:
        """Whether the answer to an order shows that another life has begun."""
        if grant.life != self._life or clock_ms >= grant.sent_ms:
            return False
        self.begin_life()
        return True

    def grant(self) -> Grant | None:
        """Return the lease for the next order.

        Returns None if there is an obstacle. Otherwise also advances `end`.
        """
        confirmed = self._events.confirmed_at()
        if self.find_obstacle() is not None or confirmed is None:
            return None
        assert self._clock_ms is not None
        end = confirmed + self._lease_s
        self.end = max(self.end, end)
        self._granted_at = asyncio.get_running_loop().time()
        return Grant(
            self._clock_ms + int(MIN_CLOCK_RATE * (end - self._clock_at) * 1000),
            self._clock_ms
            + int(MIN_CLOCK_RATE * (self._granted_at - self._clock_at) * 1000),
            self._life,
        )

    def find_obstacle(self) -> Obstacle | None:
        """Return why the worker gets no lease at present, or None if it does."""
        now = asyncio.get_running_loop().time()
        obstacle = find_owner_obstacle(self._events.confirmed_at(), self._lease_s, now)
        if obstacle is not None:
            return obstacle
        if self._clock_ms is None:
            return Obstacle.CLOCK_UNKNOWN
        if not self._events.may_lease(self._worker_id):
            return Obstacle.UNRECORDED
        return None

    def find_end(self, is_start_settled: bool) -> float:
        """Return the event-loop time by which the lease of a run has ended.

        A run whose start has no answer may execute in a later life of the worker.
        """
        return self.end if is_start_settled else max(self.end, self._later_life_end())

    def _later_life_end(self) -> float:
        """Return when the leases end that orders so far have in a later life."""
        return self._granted_at + LATE_ORDER_S + self._longest_s

    def has_ended(self, is_start_settled: bool = True) -> bool:
        """Whether no lease of this owner or of a later one lasts for a run.

        A later owner renews the leases on the workers that it reaches. So ownership has
        to be confirmed after the end of this owner's lease.
        """
        end = self.find_end(is_start_settled)
        confirmed = self._events.confirmed_at()
        if confirmed is None or confirmed < end:
            return False
        return asyncio.get_running_loop().time() >= end + LEASE_MARGIN_S

    def end_now(self) -> None:
        """Record that nothing runs on the worker."""
        now = asyncio.get_running_loop().time()
        self.end = min(self.end, now - LEASE_MARGIN_S)

    def describe(self) -> dict[str, object]:
        """Return the fields of a log line that show what a decision relies on."""
        now = asyncio.get_running_loop().time()
        return {
            "lease_ms": round((self.end - now) * 1000),
            "confirmed_age_ms": find_age_ms(self._events.confirmed_at()),
        }


def find_age_ms(confirmed: float | None) -> int | None:
    """Return the age of a confirmation of ownership as logged, in milliseconds.

    Parameters
    ----------
    confirmed : float, optional
        Event-loop time at which it was sent; None: ownership is not confirmed.
    """
    now = asyncio.get_running_loop().time()
    return None if confirmed is None else round((now - confirmed) * 1000)


def find_granted_s(lease_max_s: float) -> float:
    """Return the longest lease that owners grant.

    Parameters
    ----------
    lease_max_s : float
        Longest lease that a worker grants, in seconds.

    Returns
    -------
    float
        The lease in seconds, counted from a confirmation of ownership.
    """
    return lease_max_s * LEASE_SHARE


def find_previous_s(lease_max_s: float) -> float:
    """Return how long to wait for leases that a previous owner granted.

    Parameters
    ----------
    lease_max_s : float
        Longest lease that a worker grants, in seconds.

    Returns
    -------
    float
        The time in seconds, counted from the last confirmation of that owner.
    """
    return find_granted_s(lease_max_s) + LEASE_MARGIN_S


def find_longest_s(lease_max_s: float) -> float:
    """Return the longest time for which a lease lasts after its order has arrived.

    Parameters
    ----------
    lease_max_s : float
        Longest lease that a worker grants, in seconds of its clock.

    Returns
    -------
    float
        The time in seconds of the event loop.
    """
    return lease_max_s / MIN_CLOCK_RATE
