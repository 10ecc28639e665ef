"""Appends of one owner to its partition, in order, each retried until it is stored."""

import asyncio
from collections.abc import Sequence

from clementinespar import codes, errors
from clementinespar.jobs import services


class FencedLog:
    """Numbers the appends of one epoch, so that the store recognizes a repeated one.

    Parameters
    ----------
    retry_s : float
        Pause before an append is repeated, in seconds.
    """

    _sequence: int  # of the next append
    # Keeps the order: the store refuses an append whose predecessor is missing.
    _append_lock: asyncio.Lock

    def __init__(
        self,
        store: services.JobStore,
        topic: services.Topic,
        partition: int,
        epoch: int,
        retry_s: float,
        log_event: services.EventLog,
    ) -> None:
        self._store = store
        self._topic = topic
        self._partition = partition
        self._epoch = epoch
        self._retry_s = retry_s
        self._log_event = log_event
        self._sequence = 0
        self._append_lock = asyncio.Lock()

    async def append(self, records: Sequence[services.KeyedRecord]) -> None:
        """Append records; retries until the store has answered.

        Raises
        ------
        errors.ClementinesparError
            With ``STORE_FENCED``: the store has seen a later owner.
        """
        async with self._append_lock:
            sequence = self._sequence
            self._sequence += 1
            while True:
                try:
                    await self._store.append_fenced(
                        self._topic, self._partition, self._epoch, sequence, records
                    )
                    return
                except errors.ClementinesparError as error:
                    if error.code is codes.ResultCode.STORE_FENCED:
                        raise
                    self._log_event("append_retried", code=int(error.code))
                await asyncio.sleep(self._retry_s)
