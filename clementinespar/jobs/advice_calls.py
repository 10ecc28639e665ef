"""Calls of a node to the adviser: one at a time, the most urgent first."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Protocol

from clementinespar import codes, errors
from clementinespar.jobs import model, services

# For a queue that is no longer in the configuration.
UNKNOWN_TIMES = model.AdviceTimes(decide_s=1.0, each_s=0.1, valid_s=3.0)
NETWORK_S = 0.5  # for the way there and back, and for a node that is slow
MARGIN = 1.5  # of the time that the adviser should take
# Largest factor by which the adviser is expected to take longer than its queue says.
MAX_SLOWNESS = 4.0
# Each so many turns, one goes to the call that has waited longest.
FAIR_TURN = 4
_LEAST_WORK_S = 0.001

StepKey = tuple[str, int, int]  # job id, occurrence, number of the step


class Waiting(Protocol):
    """A call that waits for its turn."""

    rank: tuple[float, ...]  # the lowest goes first; may change while the call waits


class AdviceCalls:
    """The adviser as all owners of a node call it.

    The adviser handles the calls of one node in turn, also those that the node has
    given up. So the limit of a call includes what may be left of them.
    """

    _free_at: float  # event-loop time by which it should have done all earlier calls
    _slowness: float  # time taken by the last call, by the time it should take; from 1
    _has_turn: bool  # whether a call is in flight
    _waiting: list[tuple[Waiting, asyncio.Future[None]]]  # in the order of arrival
    _turns: int  # given so far

    def __init__(
        self,
        adviser: services.Adviser,
        find_configured: Callable[[str], model.AdviceTimes | None],
    ) -> None:
        """Take the adviser.

        Parameters
        ----------
        find_configured : callable
            Returns the times that the configuration in force has for a queue, by the
            name of the queue; None if it has none.
        """
        self._adviser = adviser
        self._find_configured = find_configured
        self._free_at = 0.0
        self._slowness = 1.0
        self._has_turn = False
        self._waiting = []
        self._turns = 0

    def find_times(self, queue: str) -> model.AdviceTimes:
        """Return the times of the adviser for a queue."""
        return self._find_configured(queue) or UNKNOWN_TIMES

    @contextlib.asynccontextmanager
    async def take_turn(self, waiting: Waiting) -> AsyncIterator[None]:
        """Wait until no call of this node is in flight and none of a lower rank waits.

        The context holds the turn until it exits.
        """
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = (waiting, turn)
        self._waiting.append(entry)
        self._give_turn()
        try:
            await turn
            yield
        finally:
            if turn.cancelled():
                self._waiting.remove(entry)
            else:
                self._has_turn = False
                self._give_turn()

    def _give_turn(self) -> None:
        """Let a waiting call go on if none is in flight.

        It is the most urgent one, or at times the oldest one: a step whose tickets
        expire before it can start would else keep the turn for good.
        """
        # A cancelled call is still listed until its task has gone on.
        waiting = [entry for entry in self._waiting if not entry[1].cancelled()]
        if self._has_turn or not waiting:
            return
        self._turns += 1
        entry = waiting[0]
        if self._turns % FAIR_TURN:
            entry = min(waiting, key=lambda entry: entry[0].rank)
        self._waiting.remove(entry)
        self._has_turn = True
        entry[1].set_result(None)

    async def request_tickets(
        self, step: StepKey, worker_ids: Sequence[str], times: model.AdviceTimes
    ) -> model.IssuedTickets:
        """Return the tickets for a step on some of the workers.

        Only for the holder of the turn. Raises as `services.Adviser` does.
        """
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        begins_at = max(sent_at, self._free_at)
        work_s = times.call_s(len(worker_ids))
        ahead_s = begins_at - sent_at
        timeout_s = NETWORK_S + ahead_s + MARGIN * self._slowness * work_s
        self._free_at = begins_at + self._slowness * work_s
        try:
            issued = await self._adviser.request_tickets(*step, worker_ids, timeout_s)
        except errors.ClementinesparError as error:
            if error.code != codes.ResultCode.CALL_UNANSWERED:
                self._free_at = begins_at  # the call was refused, or not sent
            elif loop.time() - sent_at > timeout_s - NETWORK_S:  # not lost before
                self._slowness = min(MAX_SLOWNESS, 2 * self._slowness)
                self._free_at = begins_at + self._slowness * work_s
            raise
        self._free_at = loop.time()
        worked_s = self._free_at - sent_at - NETWORK_S
        slowness = worked_s / max(_LEAST_WORK_S, ahead_s + work_s)
        self._slowness = min(MAX_SLOWNESS, max(1.0, slowness))
        return issued
