"""Appends records to the log in batches and finds out what became of them."""

import asyncio
import collections
import dataclasses
import random
import time
from collections.abc import Callable

import logbook

from clementinespar import codes, errors
from clementinespar.fleet import source as fleet_source
from clementinespar.fleet import state as fleet_state
from clementinespar.log import base, records, service

_log = logbook.Logger("log.appender")

_MAX_BATCH_RECORDS = 200
_MAX_BATCH_BYTES = 4 * 1024 * 1024
# The log takes several hundred appends a second from all nodes. A refusal lengthens the
# delay between appends and each append that works shortens it a little, so that the
# nodes settle at their share. With 9 nodes, 100 claims a second each and a limit of 300
# appends a second, the p99 of a claim was 602 ms to 1004 ms when refusals doubled the
# delay and successes halved it.
_FIRST_BACKOFF_S = 0.01
_BACKOFF_GROWTH = 1.2
_BACKOFF_DECAY = 0.95
_MIN_BACKOFF_S = 0.001  # shorter delays are dropped
# Also the longest delay between attempts during an outage.
_MAX_BACKOFF_S = 0.25
_READ_BACK_S = 1.0  # longest read-back between two attempts
# A call on a connection that has become silent must not hold up other records until it
# times out: the next batch then goes out beside it, on another connection.
_PARALLEL_AFTER_S = 0.25
_MAX_CALLS_IN_FLIGHT = 4
# Likewise, a read of the follower that has become silent must not hold up results.
_READ_AFTER_S = 0.25


@dataclasses.dataclass(slots=True, eq=False)
class _Pending:
    """A record on its way into the log."""

    record_id: str
    issued_ms: int
    payload: bytes
    deadline: float  # loop time until which append calls may start
    result: "asyncio.Future[fleet_state.RecordResult]"
    may_be_in_log: bool = False  # an append call with it was sent without a refusal


class Appender:
    """Appends records at most once each and returns their results.

    Parameters
    ----------
    log : service.LogService
        The platform's log.
    source : fleet_source.FleetSource
        Holder of the folded state, which tells the results.
    author : str
        Name of this node, for records that other modules make.
    batch_delay_s : float
        How long the first record of a batch waits for others, in seconds.
    wall_ms : callable, optional
        Wall clock in milliseconds; tests with a paused clock pass the fake log's.
    """

    author: str  # name of this node

    _log_service: service.LogService
    _source: fleet_source.FleetSource
    _batch_delay_s: float
    _wall_ms: Callable[[], int]
    _queue: "collections.deque[_Pending]"  # records that wait for an append call
    _flush_task: "asyncio.Task[None] | None"  # runs while records wait
    _calls: "set[asyncio.Task[None]]"  # append calls in flight
    _refresh_task: "asyncio.Task[bool] | None"  # read that results wait for
    _result_tasks: "set[asyncio.Task[None]]"  # wait until appended records are folded
    _is_clock_refused: bool  # the newest result refused a record for its time
    _backoff_s: float  # extra delay after refusals
    _random: random.Random  # differs between nodes, and repeats in tests

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
        self._calls = set()
        self._refresh_task = None
        self._result_tasks = set()
        self._is_clock_refused = False
        self._backoff_s = 0.0
        self._random = random.Random(author)

    def now_ms(self) -> int:
        """Return the time for ``issued_ms`` of a new record.

        It is the wall time, or the log's time if the wall clock of this host is behind
        it: a record that looks too old is refused.
        """
        return max(self._wall_ms(), self._source.state.log_time_ms)

    async def append(
        self, record: base.Record, timeout_s: float
    ) -> fleet_state.RecordResult:
        """Append a record and return what became of it.

        Parameters
        ----------
        record : base.Record
            The record; calling again with the same record never applies it twice.
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
        pending = _Pending(
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
            # The wait cancels the future, so no later attempt takes this record.
            raise _failure(pending, "no result before the deadline") from None

    def _start_flush(self) -> None:
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.create_task(self._flush(), name="log appender")

    async def _flush(self) -> None:
        """Append the waiting records in batches until none waits."""
        while self._queue:
            is_full = len(self._queue) >= _MAX_BATCH_RECORDS
            delay_s = 0.0 if is_full else self._batch_delay_s
            # The random factor keeps nodes that were refused together apart.
            delay_s += self._backoff_s * self._random.uniform(0.5, 1.5)
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            while len(self._calls) >= _MAX_CALLS_IN_FLIGHT:
                await asyncio.wait(self._calls, return_when=asyncio.FIRST_COMPLETED)
            batch = self._take_batch()
            if batch:
                call = asyncio.create_task(self._append_batch(batch))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
                await asyncio.wait({call}, timeout=_PARALLEL_AFTER_S)

    def _take_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        size = 0
        while self._queue and len(batch) < _MAX_BATCH_RECORDS:
            pending = self._queue[0]
            if batch and size + len(pending.payload) > _MAX_BATCH_BYTES:
                break
            self._queue.popleft()
            if not self._is_finished(pending):
                batch.append(pending)
                size += len(pending.payload)
        return batch

    def _is_finished(self, pending: _Pending) -> bool:
        """Whether no further append call is needed or allowed for a record."""
        if pending.result.done():
            return True
        known = self._source.state.results_by_record_id.get(pending.record_id)
        if known is not None:
            pending.result.set_result(known)
            return True
        age_ms = self._source.state.log_time_ms - pending.issued_ms
        if age_ms > fleet_state.DEDUP_WINDOW_MS:
            pending.result.set_exception(
                _failure(pending, "the record is older than the deduplication window")
            )
            return True
        return False

    async def _append_batch(self, batch: list[_Pending]) -> None:
        was_sent_before = [pending.may_be_in_log for pending in batch]
        for pending in batch:
            # Set before the call: whoever gives up meanwhile must not rule it out.
            pending.may_be_in_log = True
        try:
            first_offset = await self._log_service.append([p.payload for p in batch])
        except errors.LogUnavailableError as error:
            # Nothing of this call was appended; what earlier calls did stays unknown.
            for pending, was_sent in zip(batch, was_sent_before, strict=True):
                pending.may_be_in_log = was_sent
            self._back_off()
            self._retry(batch, error)
        except Exception as error:
            if not isinstance(error, errors.LogReplyLostError):
                _log.exception("an append failed in an unexpected way")
            self._back_off()
            await self._source.refresh(_READ_BACK_S)
            self._retry(batch, error)
        else:
            self._backoff_s *= _BACKOFF_DECAY
            if self._backoff_s < _MIN_BACKOFF_S:
                self._backoff_s = 0.0
            task = asyncio.create_task(self._give_results(first_offset, batch))
            self._result_tasks.add(task)
            task.add_done_callback(self._result_tasks.discard)

    def _back_off(self) -> None:
        self._backoff_s = min(
            max(self._backoff_s * _BACKOFF_GROWTH, _FIRST_BACKOFF_S), _MAX_BACKOFF_S
        )

    def _retry(self, batch: list[_Pending], error: Exception) -> None:
        """Queue the records again whose result is not known after a read-back."""
        _log.debug("an append of {} records is tried again: {}", len(batch), error)
        for pending in reversed(batch):
            if not self._is_finished(pending):
                self._queue.appendleft(pending)
        if self._queue:
            self._start_flush()

    async def _give_results(self, first_offset: int, batch: list[_Pending]) -> None:
        """Hand out the results once the fold has reached the appended records."""
        await self._wait_applied(first_offset + len(batch) - 1, batch)
        for pending in batch:
            if pending.result.done():
                continue
            known = self._source.state.results_by_record_id.get(pending.record_id)
            if known is not None:
                self._check_clock(known)
                pending.result.set_result(known)
            else:
                pending.result.set_exception(
                    errors.LogReplyLostError(
                        f"the result of record {pending.record_id} is forgotten"
                    )
                )

    def _check_clock(self, result: fleet_state.RecordResult) -> None:
        """Warn once when this host's clock makes the fold refuse its records."""
        is_refused = result.code in (
            codes.ResultCode.RECORD_TOO_OLD,
            codes.ResultCode.RECORD_ISSUED_AHEAD,
        )
        if is_refused and not self._is_clock_refused:
            _log.error("records are refused for this host's clock: {}", result.code)
        self._is_clock_refused = is_refused

    async def _wait_applied(self, offset: int, batch: list[_Pending]) -> None:
        """Wait until an offset is applied or no caller waits any more."""
        while not all(pending.result.done() for pending in batch):
            try:
                async with asyncio.timeout(_READ_AFTER_S):
                    await self._source.wait_applied(offset)
                return
            except TimeoutError:
                # One read serves all batches that wait, to spare a slow log.
                if self._refresh_task is None or self._refresh_task.done():
                    self._refresh_task = asyncio.create_task(
                        self._source.refresh(_READ_BACK_S)
                    )
                await asyncio.wait({self._refresh_task})


def _read_wall_clock() -> int:
    return time.time_ns() // 1_000_000


def _failure(pending: _Pending, reason: str) -> errors.ClementinesparError:
    if pending.may_be_in_log:
        return errors.LogReplyLostError(f"record {pending.record_id}: {reason}")
    return errors.LogUnavailableError(f"record {pending.record_id}: {reason}")
