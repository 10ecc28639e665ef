"""Calls that append commands, with a record of which are answered."""

import asyncio
import contextlib
import math
from collections.abc import Iterator, Sequence

from clementinespar import codes, errors
from clementinespar.jobs import services, store_health


class TrackedStore:
    """Appends commands to the store and records which calls are answered."""

    sent: store_health.SentCommands
    _store: services.JobStore
    _health_by_partition: dict[int, store_health.RouteHealth]

    def __init__(
        self, store: services.JobStore, sent: store_health.SentCommands
    ) -> None:
        self.sent = sent
        self._store = store
        self._health_by_partition = {}

    def find_health(self, partition: int) -> store_health.RouteHealth:
        """Return the state of this node's appends to a partition."""
        return self._health_by_partition.setdefault(
            partition, store_health.RouteHealth()
        )

    def stored_at(self) -> float:
        """Return the event-loop time of the last successful append."""
        healths = self._health_by_partition.values()
        return max((health.stored_at for health in healths), default=-math.inf)

    def is_losing(self, now: float, pending_s: float) -> bool:
        """Whether calls to any partition have no answer, see `RouteHealth`."""
        return any(
            health.is_losing(now, pending_s)
            for health in self._health_by_partition.values()
        )

    async def append(
        self,
        topic: services.Topic,
        partition: int,
        records: Sequence[services.KeyedRecord],
    ) -> None:
        """Append records; raises as `services.JobStore.append`."""
        keys = [record.key for record in records]
        with tracking(self.find_health(partition), self.sent, partition, keys):
            await self._store.append(topic, partition, records)


class Call:
    """A call that appends commands, from its sending to its outcome."""

    __slots__ = ("is_answered", "is_unreachable")

    is_answered: bool  # the peer answered, although the effect is unknown
    is_unreachable: bool  # the call was not sent

    def __init__(self) -> None:
        self.is_answered = False
        self.is_unreachable = False


@contextlib.contextmanager
def tracking(
    health: store_health.RouteHealth,
    sent: store_health.SentCommands,
    partition: int,
    keys: Sequence[str],
) -> Iterator[Call]:
    """Record the outcome of a call that appends the commands of some keys."""
    loop = asyncio.get_running_loop()
    call = Call()
    number = health.begin(loop.time())
    for key in keys:
        sent.begin(key, loop.time())
    is_refused = is_stored = False
    try:
        yield call
        is_stored = True
    except errors.ClementinesparError as error:
        is_refused = error.code is codes.ResultCode.STORE_REFUSED
        raise
    finally:
        is_answered = is_stored or is_refused or call.is_answered
        if is_answered and not call.is_unreachable:
            health.note_answer(number, loop.time(), is_stored)
        else:
            health.note_loss(number, loop.time())
        for key in keys:
            sent.note_outcome(key, partition, is_stored, is_refused)
