"""Snapshots of the folded state: encoding, chunks, decoding and publication."""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import hashlib
import zlib
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from typing import Final

import logbook
import pydantic

from clementinespar import codes, errors, identifiers
from clementinespar.claims import state as claims_state
from clementinespar.fleet import messages, source, state
from clementinespar.log import appender as log_appender

_log = logbook.Logger("fleet.snapshot")

# Bounds the memory that a damaged or malicious snapshot can make a node allocate. The
# state of a fleet of the planned size is a few MB.
MAX_STATE_BYTES: Final = 64 * 1024 * 1024
_CHUNK_BYTES = 240_000  # compressed bytes per chunk, 300,000 bytes in base85
_APPEND_TIMEOUT_S = 30.0  # per chunk; an incomplete snapshot is useless
_CHECK_INTERVAL_S = 1.0  # time between checks whether a snapshot is due

# Claims and results are encoded in parts of this many items. Encoding a part blocks the
# event loop for about 10 ms; other tasks run between parts.
_ITEMS_PER_PART = 5_000
# Level 1 takes less than half the time of level 6 for 7% more bytes, because most of
# the data is random ids: 80 ms and 4.0 MB against 183 ms and 3.7 MB for 100,000 claims.
_COMPRESSION_LEVEL = 1

_STATE_ADAPTER: pydantic.TypeAdapter[state.FleetState] = pydantic.TypeAdapter(
    state.FleetState
)
_Claims = dict[str, claims_state.StoredClaim]
_CLAIMS_ADAPTER: pydantic.TypeAdapter[_Claims] = pydantic.TypeAdapter(_Claims)
_Results = dict[str, state.RecordResult]
_RESULTS_ADAPTER: pydantic.TypeAdapter[_Results] = pydantic.TypeAdapter(_Results)


class SnapshotError(errors.ClementinesparError):
    """A snapshot is incomplete or damaged."""

    def __init__(self, message: str) -> None:
        super().__init__(codes.ResultCode.RECORD_INVALID, message)


def encode_state(fleet: state.FleetState) -> bytes:
    """Return the whole state, compressed.

    The text has one JSON value per line: first the state without claims and results,
    then parts of the claims, prefixed with ``C``, and of the results, with ``R``.
    """
    return b"".join(_encoded_parts(fleet))


async def encode_state_in_parts(fleet: state.FleetState) -> bytes:
    """Return what `encode_state` returns, but let other tasks run between parts.

    The result is the state at the time of the call, even if entries are applied during
    encoding.
    """
    parts = []
    for part in _encoded_parts(fleet):
        parts.append(part)
        await asyncio.sleep(0)
    return b"".join(parts)


def _encoded_parts(fleet: state.FleetState) -> Iterator[bytes]:
    # The first step copies everything that may change later: lists of the claims and
    # results, whose items are immutable, and the small rest of the state as text.
    claims = list(fleet.claims.claims_by_request_id.items())
    results = list(fleet.results_by_record_id.items())
    rest = dataclasses.replace(
        fleet,
        claims=claims_state.ClaimsState(),
        results_by_record_id=collections.OrderedDict(),
    )
    compressor = zlib.compressobj(_COMPRESSION_LEVEL)
    yield compressor.compress(_STATE_ADAPTER.dump_json(rest) + b"\n")
    for start in range(0, len(claims), _ITEMS_PER_PART):
        text = _CLAIMS_ADAPTER.dump_json(dict(claims[start : start + _ITEMS_PER_PART]))
        yield compressor.compress(b"C" + text + b"\n")
    for start in range(0, len(results), _ITEMS_PER_PART):
        text = _RESULTS_ADAPTER.dump_json(
            dict(results[start : start + _ITEMS_PER_PART])
        )
        yield compressor.compress(b"R" + text + b"\n")
    yield compressor.flush()


def decode_state(data: bytes) -> state.FleetState:
    """Return the state that `encode_state` encoded.

    Raises
    ------
    SnapshotError
        The data is damaged.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_STATE_BYTES)
        if not decompressor.eof:
            raise SnapshotError("the compressed state is truncated or too large")
        rest, *parts = text.split(b"\n")[:-1]
        fleet = _STATE_ADAPTER.validate_json(rest)
        for part in parts:
            if part.startswith(b"C"):
                claims = _CLAIMS_ADAPTER.validate_json(part[1:])
                fleet.claims.claims_by_request_id.update(claims)
            elif part.startswith(b"R"):
                results = _RESULTS_ADAPTER.validate_json(part[1:])
                fleet.results_by_record_id.update(results)
            else:
                raise SnapshotError("unknown part of the state; expected prefix C or R")
    except (zlib.error, ValueError) as error:
        raise SnapshotError(str(error).splitlines()[0]) from error
    return fleet


def make_chunks(
    as_of_offset: int, data: bytes, author: str, issued_ms: int
) -> list[messages.SnapshotChunk]:
    """Split a compressed state into records of one snapshot."""
    snapshot_id = identifiers.new_id(issued_ms)
    digest = hashlib.sha256(data).hexdigest()
    count = max(1, -(-len(data) // _CHUNK_BYTES))
    return [
        messages.SnapshotChunk(
            record_id=f"{snapshot_id}-{index}",
            issued_ms=issued_ms,
            author=author,
            snapshot_id=snapshot_id,
            as_of_offset=as_of_offset,
            index=index,
            count=count,
            data=base64.b85encode(
                data[index * _CHUNK_BYTES : (index + 1) * _CHUNK_BYTES]
            ).decode(),
            digest=digest,
        )
        for index in range(count)
    ]


def rebuild(chunks: Iterable[messages.SnapshotChunk]) -> state.FleetState:
    """Return the state that the chunks of one snapshot hold.

    Raises
    ------
    SnapshotError
        A chunk is missing or damaged, or chunks are of different snapshots.
    """
    chunks_by_index = {chunk.index: chunk for chunk in chunks}
    if not chunks_by_index:
        raise SnapshotError("the snapshot has no chunks")
    first = next(iter(chunks_by_index.values()))
    if any(
        (chunk.snapshot_id, chunk.as_of_offset, chunk.count, chunk.digest)
        != (first.snapshot_id, first.as_of_offset, first.count, first.digest)
        for chunk in chunks_by_index.values()
    ):
        raise SnapshotError("chunks belong to different snapshots")
    if sorted(chunks_by_index) != list(range(first.count)):
        raise SnapshotError(
            f"snapshot has {len(chunks_by_index)} of {first.count} chunks"
        )
    try:
        data = b"".join(
            base64.b85decode(chunks_by_index[index].data)
            for index in range(first.count)
        )
    except ValueError as error:
        raise SnapshotError(str(error)) from error
    if hashlib.sha256(data).hexdigest() != first.digest:
        raise SnapshotError("the SHA-256 digest of the data does not match")
    fleet = decode_state(data)
    if fleet.offset != first.as_of_offset:
        raise SnapshotError(
            f"state is as of {fleet.offset}, its snapshot as of {first.as_of_offset}"
        )
    return fleet


class ChunkCollector:
    """Collects chunks in any order and returns the states of complete snapshots."""

    _chunks_by_snapshot_id: dict[str, dict[int, messages.SnapshotChunk]]

    def __init__(self) -> None:
        self._chunks_by_snapshot_id = collections.defaultdict(dict)

    def add(self, chunk: messages.SnapshotChunk) -> state.FleetState | None:
        """Add a chunk and return the state if its snapshot is complete and valid."""
        chunks = self._chunks_by_snapshot_id[chunk.snapshot_id]
        chunks[chunk.index] = chunk
        if len(chunks) < chunk.count:
            return None
        try:
            return rebuild(chunks.values())
        except SnapshotError as error:
            _log.warning("invalid snapshot {} is refused: {}", chunk.snapshot_id, error)
            return None


class SnapshotPublisher:
    """Publishes the state to the log before the records that it replaces expire.

    Parameters
    ----------
    source : source.FleetSource
        Source of the folded state.
    appender : log_appender.Appender
        Appends the chunks.
    interval_s : float
        Longest log time between snapshots, in seconds; well below the log's retention.
    max_entries : int
        Largest number of entries between snapshots; well below the log's retention.
    is_active : callable, optional
        Whether this node publishes now, such as whether it is the duty's lease holder.
    """

    _source: source.FleetSource
    _appender: log_appender.Appender
    _interval_s: float
    _max_entries: int
    _is_active: Callable[[], bool]

    def __init__(
        self,
        source: source.FleetSource,
        appender: log_appender.Appender,
        interval_s: float,
        max_entries: int,
        is_active: Callable[[], bool] = lambda: True,
    ) -> None:
        self._source = source
        self._appender = appender
        self._interval_s = interval_s
        self._max_entries = max_entries
        self._is_active = is_active

    def is_due(self) -> bool:
        """Whether the newest snapshot is too old or has too many entries after it."""
        fleet = self._source.state
        newest = fleet.snapshots
        if fleet.offset < 0:
            return False
        # Chunks do not count as entries; otherwise, a state with more chunks than
        # `max_entries` would always be due again. The interval also applies to a log
        # without appends, because the snapshot itself expires from the log.
        return (
            fleet.offset - newest.last_chunk_offset >= self._max_entries
            or self._appender.now_ms() - newest.published_ms >= self._interval_s * 1000
        )

    async def publish(self) -> int:
        """Publish the current state and return its offset.

        Raises
        ------
        errors.LogUnavailableError, errors.LogReplyLostError
            Not all chunks are known to be in the log.
        """
        fleet = self._source.state
        as_of_offset = fleet.offset
        data = await encode_state_in_parts(fleet)
        chunks = make_chunks(
            as_of_offset,
            data,
            self._appender.author,
            self._appender.now_ms(),
        )
        for chunk in chunks:
            await self._appender.append(chunk, _APPEND_TIMEOUT_S)
        return as_of_offset

    async def run(self) -> None:
        """Publish whenever a snapshot is due, until cancelled."""
        while True:
            if self._is_active() and self.is_due():
                try:
                    as_of_offset = await self.publish()
                    _log.info("published a snapshot as of offset {}", as_of_offset)
                except errors.ClementinesparError as error:
                    _log.warning("snapshot not published: {}", error)
            await asyncio.sleep(_CHECK_INTERVAL_S)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run in a task while the context is open."""
        task = asyncio.create_task(self.run(), name="snapshot publisher")
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
