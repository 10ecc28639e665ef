"""Shares the turns of the event loop among connections with many small reads.

Tornado reads each chunk of a body by itself and goes on while more has arrived. Many
connections with small chunks would make one turn of the loop last for seconds.
"""

import asyncio
import collections

READS_PER_TURN = 600  # of all connections together
RESUMED_PER_TURN = 4  # connections that continue, in the order in which they stopped


class ReadTurns:
    """Allows a number of reads in each turn of the event loop."""

    _left: int  # reads in this turn
    _waiting: "collections.deque[asyncio.Future[None]]"
    _is_counting: bool  # a new turn is scheduled

    def __init__(self) -> None:
        self._left = READS_PER_TURN
        self._waiting = collections.deque()
        self._is_counting = False

    def take(self) -> bool:
        """Whether a read is allowed in this turn; it counts if so."""
        if not self._left:
            return False
        self._left -= 1
        self._count()
        return True

    async def wait(self) -> None:
        """Wait for a later turn, behind those that wait already."""
        resumed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(resumed)
        self._count()
        await resumed

    def _count(self) -> None:
        if not self._is_counting:
            self._is_counting = True
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_counting = False
        self._left = READS_PER_TURN
        for _ in range(min(RESUMED_PER_TURN, len(self._waiting))):
            resumed = self._waiting.popleft()
            if not resumed.done():
                resumed.set_result(None)
        if self._waiting:
            self._count()
