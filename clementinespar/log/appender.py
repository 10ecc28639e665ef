"""Appends records to the log in batches and returns the result of each record."""

import asyncio
import collections
import contextlib
import dataclasses
import random
import time
from collections.abc import AsyncIterator, Callable

import logbook

from clementinespar import background, codes, errors
from clementinespar.fleet import source as fleet_source
from clementinespar.fleet import state as fleet_state
from clementinespar.log import base, records, service

_log = logbook.Logger("log.appender")

_MAX_BATCH_RECORDS = 200
_MAX_BATCH_BYTES = 4 * 1024 * 1024
# The log accepts several hundred appends a second from all nodes together. A refusal
# lengthens the delay between appends and each successful append shortens it by less, so
# that the nodes converge on an even split of the rate. Doubling and halving the delay
# instead gave a p99 claim latency of 602 ms to 1004 ms with 9 nodes, 100 claims a
# second each and a limit of 300 appends a second.
_FIRST_BACKOFF_S = 0.01
_BACKOFF_GROWTH = 1.2
_BACKOFF_DECAY = 0.95
_MIN_BACKOFF_S = 0.001  # shorter delays become 0
# Also bounds the delay between attempts during an outage.
_MAX_BACKOFF_S = 0.25
_READ_BACK_TIMEOUT_S = 1.0  # for reading the log back between two attempts
# An append call that is unanswered for this long no longer delays the next batch, which
# is then sent on another connection.
_PARALLEL_CALL_DELAY_S = 0.25
_MAX_CALLS_IN_FLIGHT = 4
# If the follower has not applied the records after this time, the appender reads the
# log itself, so that an unanswered read of the follower does not delay results.
_READ_BACK_DELAY_S = 0.25


@dataclasses.dataclass(slots=True, eq=False)
class _PendingRecord:
    """A record that has no result yet."""

    record_id: str
    issued_ms: int
    payload: bytes
    deadline: float  # loop time until which append calls may start
    result: "asyncio.Future[fleet_state.RecordResult]"
    may_be_in_log: bool = False  # sent in an append call that was not refused


class Appender:
    """Appends records at most once each and returns their results.

    Parameters
    ----------
    log : service.LogService
        The platform's log.
    source : fleet_source.FleetSource
        Source of the folded state, which holds the results of records.
    author : str
        Name of this node, which other modules set as the author of their records.
    batch_delay_s : float
        How long the first record of a batch waits for others, in seconds.
    wall_ms : callable, optional
        Wall clock in milliseconds; tests with a paused clock pass that of the fake log.
    """

    author: str  # name of this node

    _log_service: service.LogService
    _source: fleet_source.FleetSource
    _batch_delay_s: float
    _wall_ms: Callable[[], int]
    _queue: "collections.deque[_PendingRecord]"  # records that wait for an append call
    _flush_task: "asyncio.Task[None] | None"  # runs while records wait
    _calls: background.Tasks  # in-flight append calls
    _refresh_task: "asyncio.Task[bool] | None"  # in-flight read that results wait for
    _tasks: background.Tasks  # all tasks but the append calls
    _is_clock_refused: bool  # the latest record was refused for its issue time
    _backoff_s: float  # extra delay after refusals
    # Seeded by the author: differs between nodes, and tests are reproducible.
    _random: random.Random

    def __init__(
        self,
        log: service.LogService,
        source: fleet_source.FleetSource,
        author: str,
        batch_delay_s: float,
        wall_ms: Callable[[], int] | None = None,
    ) -> None:
        self.author = author
        self._log_service = log
        self._source = source
        self._batch_delay_s = batch_delay_s
        self._wall_ms = _read_wall_clock if wall_ms is None else wall_ms
        self._queue = collections.deque()
        self._flush_task = None
        self._calls = background.Tasks()
        self._refresh_task = None
        self._tasks = background.Tasks()
        self._is_clock_refused = False
        self._backoff_s = 0.0
        self._random = random.Random(author)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Append while the context is entered; end all calls on exit.

        Records that have no result by then get none, as after a lost reply.
        """
        try:
            yield
        finally:
            # The flush starts calls, and a call that fails starts a flush.
            while len(self._tasks) or len(self._calls):
                await self._tasks.end()
                await self._calls.end()

    def now_ms(self) -> int:
        """Return the time for ``issued_ms`` of a new record.

        It is the later of the wall time and the log's time, because the fold refuses
        records that appear too old.
        """
        return max(self._wall_ms(), self._source.state.log_time_ms)

    async def append(
        self, record: base.Record, timeout_s: float
    ) -> fleet_state.RecordResult:
        """Append a record and return its result.

        Parameters
        ----------
        record : base.Record
            The record; appending the same record again never applies it twice.
        timeout_s : float
            Longest time until the result is known, in seconds.

        Raises
        ------
        errors.LogUnavailableError
            The record certainly did not and will not take effect.
        errors.LogReplyLostError
            The record may have taken effect or may still take effect.
        errors.ClementinesparError
            With ``RECORD_INVALID`` when the record is too large.
        """
        payload = records.encode_record(record)
        if len(payload) > records.MAX_RECORD_BYTES:
            raise errors.ClementinesparError(
                codes.ResultCode.RECORD_INVALID,
                f"record of {len(payload)} bytes exceeds {records.MAX_RECORD_BYTES}",
            )
        loop = asyncio.get_running_loop()
        pending = _PendingRecord(
            record.record_id,
            record.issued_ms,
            payload,
            loop.time() + timeout_s,
            loop.create_future(),
        )
        self._queue.append(pending)
        self._start_flush()
        try:
            async with asyncio.timeout_at(pending.deadline):
                return await pending.result
        except TimeoutError:
            # The timeout cancels the future, so no later attempt sends this record.
            raise _append_error(pending, "no result before the deadline") from None

    def _start_flush(self) -> None:
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = self._tasks.start(self._flush(), "log appender")

    async def _flush(self) -> None:
        """Append the queued records in batches until the queue is empty."""
        while self._queue:
            is_full = len(self._queue) >= _MAX_BATCH_RECORDS
            delay_s = 0.0 if is_full else self._batch_delay_s
            # Jitter keeps nodes that were refused together from retrying together.
            delay_s += self._backoff_s * self._random.uniform(0.5, 1.5)
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            while len(self._calls) >= _MAX_CALLS_IN_FLIGHT:
                await asyncio.wait(
                    self._calls.pending(), return_when=asyncio.FIRST_COMPLETED
                )
            batch = self._dequeue_batch()
            if batch:
                call = self._calls.start(self._append_batch(batch))
                await asyncio.wait({call}, timeout=_PARALLEL_CALL_DELAY_S)

    def _dequeue_batch(self) -> list[_PendingRecord]:
        batch: list[_PendingRecord] = []
        size = 0
        while self._queue and len(batch) < _MAX_BATCH_RECORDS:
            pending = self._queue[0]
            if batch and size + len(pending.payload) > _MAX_BATCH_BYTES:
                break
            self._queue.popleft()
            if not self._finish_if_decided(pending):
                batch.append(pending)
                size += len(pending.payload)
        return batch

    def _finish_if_decided(self, pending: _PendingRecord) -> bool:
        """Finish a record that needs or allows no further append call.

        Returns
        -------
        bool
            Whether the record has a result, or an error that rules out another attempt.
        """
        if pending.result.done():
            return True
        result = self._source.state.results_by_record_id.get(pending.record_id)
        if result is not None:
            pending.result.set_result(result)
            return True
        age_ms = self._source.state.log_time_ms - pending.issued_ms
        if age_ms > fleet_state.DEDUP_WINDOW_MS:
            pending.result.set_exception(
                _append_error(
                    pending, "the record is older than the deduplication window"
                )
            )
            return True
        return False

    async def _append_batch(self, batch: list[_PendingRecord]) -> None:
        was_sent_before = [pending.may_be_in_log for pending in batch]
        for pending in batch:
            # Set before the call, so that a deadline that passes during the call is
            # reported with an unknown outcome.
            pending.may_be_in_log = True
        try:
            first_offset = await self._log_service.append([p.payload for p in batch])
        except errors.LogUnavailableError as error:
            # This call appended nothing; the outcome of earlier calls is still unknown.
            for pending, was_sent in zip(batch, was_sent_before, strict=True):
                pending.may_be_in_log = was_sent
            self._back_off()
            self._retry(batch, error)
        except Exception as error:
            if not isinstance(error, errors.LogReplyLostError):
                _log.exception("append failed with an unexpected error")
            self._back_off()
            await self._source.refresh(_READ_BACK_TIMEOUT_S)
            self._retry(batch, error)
        else:
            self._backoff_s *= _BACKOFF_DECAY
            if self._backoff_s < _MIN_BACKOFF_S:
                self._backoff_s = 0.0
            self._tasks.start(self._set_results(first_offset, batch))

    def _back_off(self) -> None:
        self._backoff_s = min(
            max(self._backoff_s * _BACKOFF_GROWTH, _FIRST_BACKOFF_S), _MAX_BACKOFF_S
        )

    def _retry(self, batch: list[_PendingRecord], error: Exception) -> None:
        """Queue the records again whose results are still unknown."""
        _log.debug("retrying an append of {} records: {}", len(batch), error)
        for pending in reversed(batch):
            if not self._finish_if_decided(pending):
                self._queue.appendleft(pending)
        if self._queue:
            self._start_flush()

    async def _set_results(
        self, first_offset: int, batch: list[_PendingRecord]
    ) -> None:
        """Set the results once this node has applied the appended records."""
        await self._wait_applied(first_offset + len(batch) - 1, batch)
        for pending in batch:
            if pending.result.done():
                continue
            result = self._source.state.results_by_record_id.get(pending.record_id)
            if result is not None:
                self._check_clock(result)
                pending.result.set_result(result)
            else:
                pending.result.set_exception(
                    errors.LogReplyLostError(
                        f"the result of record {pending.record_id} is no longer kept"
                    )
                )

    def _check_clock(self, result: fleet_state.RecordResult) -> None:
        """Log an error once when records are refused because of this host's clock."""
        is_refused = result.code in (
            codes.ResultCode.RECORD_TOO_OLD,
            codes.ResultCode.RECORD_ISSUED_AHEAD,
        )
        if is_refused and not self._is_clock_refused:
            _log.error(
                "records are refused because of this host's clock: {}", result.code
            )
        self._is_clock_refused = is_refused

    async def _wait_applied(self, offset: int, batch: list[_PendingRecord]) -> None:
        """Wait until an offset is applied or every record of the batch is finished."""
        while not all(pending.result.done() for pending in batch):
            try:
                async with asyncio.timeout(_READ_BACK_DELAY_S):
                    await self._source.wait_applied(offset)
                return
            except TimeoutError:
                # All waiting batches share one read, to limit the load on a slow log.
                if self._refresh_task is None or self._refresh_task.done():
                    self._refresh_task = self._tasks.start(
                        self._source.refresh(_READ_BACK_TIMEOUT_S)
                    )
                await asyncio.wait({self._refresh_task})


def _read_wall_clock() -> int:
    return time.time_ns() // 1_000_000


def _append_error(pending: _PendingRecord, reason: str) -> errors.ClementinesparError:
    if pending.may_be_in_log:
        return errors.LogReplyLostError(f"record {pending.record_id}: {reason}")
    return errors.LogUnavailableError(f"record {pending.record_id}: {reason}")
