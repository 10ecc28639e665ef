"""Holds conclusions about runs until no later owner can have known better.

An owner may conclude that a run is over without its end being listed: from a list of
hosts, from a later life of its worker or from the end of a lease. Unless a later owner
has adopted the run, seen it end as done and acknowledged that, its task starts again.
So a conclusion counts only once ownership is confirmed by a call that was sent after
the observation: by a join of the group, or by an append, which the store refuses as
soon as a later owner has begun.
"""

import asyncio
import dataclasses
import math
from collections.abc import Callable

from clementinespar.jobs import services, telemetry, worker_lease

# Deaths come in groups, and a join of the group confirms each 0.4 s without an append.
APPEND_SPACING_S = 0.1
LOGGED_WAIT_S = 0.25  # a longer wait is logged; an append usually takes less
MAX_NAMED = 5  # conclusions in one line of the log


@dataclasses.dataclass(frozen=True, slots=True)
class _Conclusion:
    seen_at: float
    name: str
    apply: Callable[[], None]


class Conclusions:
    """The conclusions of one owner that wait for a confirmation.

    Parameters
    ----------
    owner_confirmed_at : callable
        Returns the event-loop time at which the last join that confirmed ownership was
        sent; None if it is not confirmed.
    flush_wanted : asyncio.Event
        Requests an append.
    """

    is_append_wanted: bool  # also if there is nothing else to store
    _pending: list[_Conclusion]  # in the order in which they were drawn
    _has_pending: asyncio.Event
    _appended_at: float  # event-loop time from which the last done append was sent
    _asked_at: float  # event-loop time of the last request for an append
    _is_logged: bool  # that some wait

    def __init__(
        self,
        owner_confirmed_at: Callable[[], float | None],
        flush_wanted: asyncio.Event,
        log_event: services.EventLog,
    ) -> None:
        self.is_append_wanted = False
        self._owner_confirmed_at = owner_confirmed_at
        self._flush_wanted = flush_wanted
        self._log_event = log_event
        self._pending = []
        self._has_pending = asyncio.Event()
        self._appended_at = -math.inf
        self._asked_at = -math.inf
        self._is_logged = False

    def confirmed_at(self) -> float | None:
        """Return up to when no later owner had begun; None if that is unknown.

        Leases need the confirmation of the group: the store does not say until when it
        gives the partition to no other owner.
        """
        joined_at = self._owner_confirmed_at()
        confirmed = max(
            -math.inf if joined_at is None else joined_at, self._appended_at
        )
        return None if confirmed == -math.inf else confirmed

    def add(self, seen_at: float, name: str, apply: Callable[[], None]) -> None:
        """Apply a conclusion once ownership is confirmed; at once if it is already.

        Parameters
        ----------
        seen_at : float
            Event-loop time of the observation; -inf if no later owner matters to it.
        name : str
            Describes it in the log.
        apply : callable
            Has to check that nothing newer is known by then.
        """
        confirmed = self.confirmed_at()
        if seen_at == -math.inf or (confirmed is not None and confirmed >= seen_at):
            self._apply(_Conclusion(seen_at, name, apply))
            return
        self._pending.append(_Conclusion(seen_at, name, apply))
        self._has_pending.set()
        self._ask_for_append()

    def note_append(self, began_at: float) -> None:
        """Record that the store has done an append that was sent at a time or later."""
        self._appended_at = max(self._appended_at, began_at)
        self._apply_confirmed()

    async def run(self) -> None:
        """Apply what joins confirm, and ask for appends, until cancelled."""
        while True:
            await self._has_pending.wait()
            await asyncio.sleep(worker_lease.CONFIRMATION_CHECK_S)
            self._apply_confirmed()
            if self._pending:
                self._ask_for_append()
                self._log_wait()

    def _ask_for_append(self) -> None:
        now = asyncio.get_running_loop().time()
        is_asked = all(item.seen_at <= self._asked_at for item in self._pending)
        if not is_asked and now - self._asked_at >= APPEND_SPACING_S:
            self._asked_at = now
            self.is_append_wanted = True
            self._flush_wanted.set()

    def _apply_confirmed(self) -> None:
        confirmed = self.confirmed_at()
        if not self._pending or confirmed is None:
            return
        counting = [item for item in self._pending if item.seen_at <= confirmed]
        self._pending = [item for item in self._pending if item.seen_at > confirmed]
        if not self._pending:
            self._has_pending.clear()
            self._is_logged = False
        if counting:
            self._log_confirmed(counting)
        for item in counting:
            self._apply(item)

    def _apply(self, item: _Conclusion) -> None:
        """Apply a conclusion; an error costs only its own task."""
        try:
            item.apply()
        except Exception as error:
            telemetry.log_unexpected(
                self._log_event, "conclusion", error, name=item.name
            )

    def _log_wait(self) -> None:
        """Log once that some wait, until none does."""
        now = asyncio.get_running_loop().time()
        waited_s = now - min(item.seen_at for item in self._pending)
        if waited_s > LOGGED_WAIT_S and not self._is_logged:
            self._is_logged = True
            self._log("conclusions_pending", self._pending, waited_s)

    def _log_confirmed(self, counting: list[_Conclusion]) -> None:
        now = asyncio.get_running_loop().time()
        waited_s = now - min(item.seen_at for item in counting)
        if waited_s > LOGGED_WAIT_S:
            self._log("conclusions_confirmed", counting, waited_s)

    def _log(self, event: str, items: list[_Conclusion], waited_s: float) -> None:
        self._log_event(
            event,
            count=len(items),
            waited_ms=round(waited_s * 1000),
            first=[item.name for item in items[:MAX_NAMED]],
        )
