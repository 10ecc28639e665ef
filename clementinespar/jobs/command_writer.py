"""Group commit of commands: one append holds all commands that wait for a partition.

The load it answers: the store appends to a partition one call at a time. While it is
slow, single appends of many nodes exceed what it takes, and it refuses most of them.
"""

import asyncio

from clementinespar import background, errors
from clementinespar.jobs import services

MAX_BATCH_BYTES = 200_000  # below the largest call that a store takes
# A second append goes out while one is not answered, so that a lost answer does not
# hold up the commands that came after it.
MAX_APPENDS = 2


class _Waiting:
    """A command that waits for its append."""

    __slots__ = ("record", "stored")

    record: services.KeyedRecord
    stored: asyncio.Future[None]

    def __init__(self, record: services.KeyedRecord) -> None:
        self.record = record
        self.stored = asyncio.get_running_loop().create_future()


class CommandWriter:
    """Appends the commands that reach this node to their partitions in batches."""

    _store: services.JobStore
    _waiting_by_partition: dict[int, list[_Waiting]]
    _appends_by_partition: dict[int, set[asyncio.Task[None]]]

    def __init__(self, store: services.JobStore) -> None:
        self._store = store
        self._waiting_by_partition = {}
        self._appends_by_partition = {}

    async def append(self, partition: int, record: services.KeyedRecord) -> None:
        """Append a command together with others; raises as `JobStore.append`."""
        waiting = _Waiting(record)
        self._waiting_by_partition.setdefault(partition, []).append(waiting)
        self._start_appends(partition)
        await waiting.stored

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
        while self._waiting_by_partition.get(partition) and len(appends) < MAX_APPENDS:
            append = asyncio.create_task(
                self._append_batch(partition, self._take_batch(partition))
            )
            appends.add(append)
            append.add_done_callback(appends.discard)
            append.add_done_callback(lambda _: self._start_appends(partition))

    def _take_batch(self, partition: int) -> list[_Waiting]:
        waiting = self._waiting_by_partition[partition]
        size = 0
        count = 0
        for item in waiting:
            size += len(item.record.key) + len(item.record.value)
            if count and size > MAX_BATCH_BYTES:
                break
            count += 1
        self._waiting_by_partition[partition] = waiting[count:]
        return waiting[:count]

    async def _append_batch(self, partition: int, batch: list[_Waiting]) -> None:
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
