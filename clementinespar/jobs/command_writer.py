"""Group commit of commands: one append holds all commands that wait for a partition.

The load it answers: the store appends to a partition one call at a time. While it is
slow, single appends of many nodes exceed what it takes, and it refuses most of them.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from clementinespar import background, codes, errors
from clementinespar.jobs import services

MAX_BATCH_BYTES = 200_000  # below the largest call that a store takes
# A second append goes out while one is not answered, so that a lost answer does not
# hold up the commands that came after it.
MAX_APPENDS = 2
# A command that was not sent by then is refused, while its caller still waits. The
# appends of a store that is slow by a factor of 60 follow each other in 0.24 s.
UNSENT_MAX_S = 0.5
# How often the owner at this node is asked whether it has read a command.
KNOWN_CHECK_S = 0.05


class CommandStore(Protocol):
    """The part of `services.JobStore` that a writer uses."""

    async def append(
        self,
        topic: services.Topic,
        partition: int,
        records: Sequence[services.KeyedRecord],
    ) -> None:
        """Append all records or none."""
        ...


class _Waiting:
    """A command that waits for its append."""

    __slots__ = ("record", "stored", "is_sent")

    record: services.KeyedRecord
    stored: asyncio.Future[None]
    is_sent: bool

    def __init__(self, record: services.KeyedRecord) -> None:
        self.record = record
        self.stored = asyncio.get_running_loop().create_future()
        self.is_sent = False


class CommandWriter:
    """Appends the commands that reach this node to their partitions in batches.

    Parameters
    ----------
    may_send : callable
        Whether the commands of a partition may be sent; else they are refused.
    is_known : callable
        Whether a command of a partition was read from the store, so that its append
        needs no answer.
    """

    _store: CommandStore
    _waiting_by_partition: dict[int, list[_Waiting]]
    _appends_by_partition: dict[int, set[asyncio.Task[None]]]

    def __init__(
        self,
        store: CommandStore,
        may_send: Callable[[int], bool] = lambda _: True,
        is_known: Callable[[int, services.KeyedRecord], bool] = lambda *_: False,
    ) -> None:
        self._store = store
        self._may_send = may_send
        self._is_known = is_known
        self._waiting_by_partition = {}
        self._appends_by_partition = {}

    async def append(self, partition: int, record: services.KeyedRecord) -> None:
        """Append a command together with others; raises as `JobStore.append`.

        A command that is not sent within `UNSENT_MAX_S` is refused.
        """
        waiting = _Waiting(record)
        self._waiting_by_partition.setdefault(partition, []).append(waiting)
        self._start_appends(partition)
        try:
            loop = asyncio.get_running_loop()
            unsent_until = loop.time() + UNSENT_MAX_S
            while not waiting.stored.done():
                await asyncio.wait({waiting.stored}, timeout=KNOWN_CHECK_S)
                if waiting.stored.done():
                    break
                if self._is_known(partition, record):
                    waiting.stored.set_result(None)
                elif not waiting.is_sent and loop.time() >= unsent_until:
                    raise errors.ClementinesparError(
                        codes.ResultCode.STORE_REFUSED, "the store answers too slowly"
                    )
            waiting.stored.result()
        finally:
            waiting.stored.cancel()  # what is not sent yet, is not sent any more

    async def close(self) -> None:
        """Cancel the appends that are not answered, and wait until they have ended.

        Commands that wait for an append are cancelled as well: the end of an append
        would start the next one.
        """
        for waiting in self._waiting_by_partition.values():
            for item in waiting:
                item.stored.cancel()
        self._waiting_by_partition.clear()
        for appends in self._appends_by_partition.values():
            await background.end_all(appends)

    def _start_appends(self, partition: int) -> None:
        appends = self._appends_by_partition.setdefault(partition, set())
        if self._waiting_by_partition.get(partition) and len(appends) < MAX_APPENDS:
            append = asyncio.create_task(self._append_batch(partition))
            appends.add(append)
            append.add_done_callback(appends.discard)
            append.add_done_callback(lambda _: self._start_appends(partition))

    def _take_batch(self, partition: int) -> list[_Waiting]:
        waiting = [
            item
            for item in self._waiting_by_partition.get(partition, ())
            if not item.stored.done()  # its caller has left
        ]
        size = 0
        count = 0
        for item in waiting:
            size += len(item.record.key) + len(item.record.value)
            if count and size > MAX_BATCH_BYTES:
                break
            item.is_sent = True
            count += 1
        self._waiting_by_partition[partition] = waiting[count:]
        return waiting[:count]

    def _refuse_waiting(self, partition: int) -> None:
        for item in self._waiting_by_partition.pop(partition, ()):
            if not item.stored.done():
                item.stored.set_exception(
                    errors.ClementinesparError(
                        codes.ResultCode.STORE_REFUSED, "the store does not answer"
                    )
                )

    async def _append_batch(self, partition: int) -> None:
        """Send a batch, taken as late as possible: until then, callers may leave."""
        if not self._may_send(partition):
            self._refuse_waiting(partition)
        batch = self._take_batch(partition)
        if not batch:
            return
        self._start_appends(partition)
        task = asyncio.current_task()
        assert task is not None

        def make_room(_: object) -> None:
            if all(i.stored.done() and not i.stored.cancelled() for i in batch):
                task.cancel()  # all are known to be stored without the answer

        for item in batch:
            item.stored.add_done_callback(make_room)
        outcome: BaseException | None = None
        try:
            await self._store.append(
                services.Topic.COMMANDS, partition, [item.record for item in batch]
            )
        except (errors.ClementinesparError, asyncio.CancelledError) as error:
            outcome = error
        for item in batch:
            if item.stored.done():
                continue  # its caller has left
            if outcome is None:
                item.stored.set_result(None)
            elif isinstance(outcome, asyncio.CancelledError):
                item.stored.cancel()
            else:
                item.stored.set_exception(outcome)
