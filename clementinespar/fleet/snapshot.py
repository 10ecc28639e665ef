"""Snapshots of the folded state: encoding, chunks in the log, rebuild, publication."""

import asyncio
import base64
import collections
import contextlib
import hashlib
import zlib
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Final

import logbook
import pydantic

from clementinespar import codes, errors, identifiers
from clementinespar.fleet import messages, source, state
from clementinespar.log import appender as log_appender

_log = logbook.Logger("fleet.snapshot")

# Bounds what a damaged or hostile snapshot can make a node allocate. The state of the
# planned size is a few MB.
MAX_STATE_BYTES: Final = 256 * 1024 * 1024
_CHUNK_BYTES = 240_000  # compressed bytes a chunk; base85 makes 300,000 of them
_APPEND_TIMEOUT_S = 30.0  # per chunk; an incomplete snapshot is of no use
_CHECK_INTERVAL_S = 1.0  # time between checks whether a snapshot is due

_ADAPTER: pydantic.TypeAdapter[state.FleetState] = pydantic.TypeAdapter(
    state.FleetState
)


class SnapshotError(errors.ClementinesparError):
    """A snapshot is incomplete or damaged."""

    def __init__(self, message: str) -> None:
        super().__init__(codes.ResultCode.RECORD_INVALID, message)


def encode_state(fleet: state.FleetState) -> bytes:
    """Return the whole state as compressed JSON."""
    return zlib.compress(_ADAPTER.dump_json(fleet), 6)


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
            raise SnapshotError("the compressed state is cut off or too large")
        return _ADAPTER.validate_json(text)
    except (zlib.error, pydantic.ValidationError) as error:
        raise SnapshotError(str(error).splitlines()[0]) from error


def make_chunks(
    as_of_offset: int, data: bytes, author: str, issued_ms: int
) -> list[messages.SnapshotChunk]:
    """Split a compressed state into records."""
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
    """Return the state in the chunks of one snapshot.

    Raises
    ------
    SnapshotError
        A chunk is missing or damaged, or chunks disagree.
    """
    chunks_by_index = {chunk.index: chunk for chunk in chunks}
    if not chunks_by_index:
        raise SnapshotError("no chunk")
    first = next(iter(chunks_by_index.values()))
    if any(
        (chunk.snapshot_id, chunk.as_of_offset, chunk.count, chunk.digest)
        != (first.snapshot_id, first.as_of_offset, first.count, first.digest)
        for chunk in chunks_by_index.values()
    ):
        raise SnapshotError("chunks of different snapshots")
    if sorted(chunks_by_index) != list(range(first.count)):
        raise SnapshotError(f"{len(chunks_by_index)} of {first.count} chunks")
    try:
        data = b"".join(
            base64.b85decode(chunks_by_index[index].data)
            for index in range(first.count)
        )
    except ValueError as error:
        raise SnapshotError(str(error)) from error
    if hashlib.sha256(data).hexdigest() != first.digest:
        raise SnapshotError("the digest does not match")
    fleet = decode_state(data)
    if fleet.offset != first.as_of_offset:
        raise SnapshotError(
            f"state as of {fleet.offset} in a snapshot as of {first.as_of_offset}"
        )
    return fleet


class ChunkCollector:
    """Collects chunks in any order and yields the states of whole snapshots."""

    _chunks_by_snapshot_id: dict[str, dict[int, messages.SnapshotChunk]]

    def __init__(self) -> None:
        self._chunks_by_snapshot_id = collections.defaultdict(dict)

    def add(self, chunk: messages.SnapshotChunk) -> state.FleetState | None:
        """Add a chunk and return the state if its snapshot is whole and sound."""
        chunks = self._chunks_by_snapshot_id[chunk.snapshot_id]
        chunks[chunk.index] = chunk
        if len(chunks) < chunk.count:
            return None
        try:
            return rebuild(chunks.values())
        except SnapshotError as error:
            _log.warning("snapshot {} is refused: {}", chunk.snapshot_id, error)
            return None


class SnapshotPublisher:
    """Publishes the state into the log before needed records leave retention.

    Parameters
    ----------
    source : source.FleetSource
        Holder of the folded state.
    appender : log_appender.Appender
        Appends the chunks.
    interval_s : float
        Longest log time between snapshots, in seconds; well below the log's retention.
    max_entries : int
        Most entries between snapshots; well below the log's retention.
    is_active : callable, optional
        Whether this node is to publish now, for example whether it holds the duty.
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
        """Whether the newest snapshot in the log is too old or too far back."""
        fleet = self._source.state
        newest = fleet.snapshots
        # Chunks themselves are entries: a log with nothing else needs no snapshot.
        if fleet.offset <= newest.last_chunk_offset or fleet.offset < 0:
            return False
        return (
            fleet.offset - newest.as_of_offset >= self._max_entries
            or self._appender.now_ms() - newest.published_ms >= self._interval_s * 1000
        )

    async def publish(self) -> int:
        """Publish the state of now and return its offset.

        Raises
        ------
        errors.LogUnavailableError, errors.LogReplyLostError
            Not all chunks are known to be in the log.
        """
        fleet = self._source.state
        as_of_offset = fleet.offset
        chunks = make_chunks(
            as_of_offset,
            encode_state(fleet),
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
