"""All record types of the log, with their encoding."""

import zlib
from typing import Annotated

import pydantic

from clementinespar import codes, errors
from clementinespar.claims import messages as claim_messages
from clementinespar.documents import messages as document_messages
from clementinespar.duties import messages as duty_messages
from clementinespar.fleet import messages as fleet_messages
from clementinespar.log import base
from clementinespar.pools import messages as pool_messages
from clementinespar.waves import messages as wave_messages

AnyRecord = Annotated[
    document_messages.DocumentPublished
    | document_messages.DocumentPromoted
    | claim_messages.RequestClaims
    | claim_messages.RequestReleases
    | duty_messages.DutyClaimed
    | duty_messages.DutyReleased
    | pool_messages.HostTakenOut
    | pool_messages.HostMoved
    | pool_messages.HostReturned
    | pool_messages.HostFailed
    | pool_messages.HostRecovered
    | wave_messages.WaveStarted
    | wave_messages.WaveFinished
    | fleet_messages.SnapshotChunk,
    pydantic.Field(discriminator="kind"),
]

MAX_RECORD_BYTES = 1_000_000  # larger records are refused before append and on read

# A document of 1,100 hosts shrinks from 245 kB to 15 kB in 0.35 ms at level 1; level 6
# takes four times as long for 12 kB.
_COMPRESSION_LEVEL = 1
_COMPRESSED_FROM_BYTES = 512  # shorter records gain little
_ZLIB_FIRST_BYTE = b"x"  # JSON text starts with a brace

_ADAPTER: pydantic.TypeAdapter[base.Record] = pydantic.TypeAdapter(AnyRecord)


def encode_record(record: base.Record) -> bytes:
    """Return the record as compact JSON, without fields that are None.

    Longer records are compressed with zlib. Snapshot chunks are not: their data is
    already compressed, and the follower searches the log for their text.
    """
    text = record.model_dump_json(exclude_none=True).encode()
    is_chunk = isinstance(record, fleet_messages.SnapshotChunk)
    # A record over the limit is not compressed, so that the appender refuses it.
    if is_chunk or not _COMPRESSED_FROM_BYTES <= len(text) <= MAX_RECORD_BYTES:
        return text
    return zlib.compress(text, _COMPRESSION_LEVEL)


def _decompress(payload: bytes) -> bytes:
    """Return the text of a compressed record, at most one byte over the limit."""
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(payload, MAX_RECORD_BYTES + 1)
    if not decompressor.eof and len(text) <= MAX_RECORD_BYTES:
        raise zlib.error("compressed stream is truncated")
    return text


def parse_record(payload: bytes) -> base.Record:
    """Parse and validate one record.

    Raises
    ------
    errors.ClementinesparError
        With ``RECORD_INVALID`` when the payload is not a valid record.
    """
    try:
        if payload[:1] == _ZLIB_FIRST_BYTE:
            payload = _decompress(payload)
    except zlib.error as error:
        raise errors.ClementinesparError(
            codes.ResultCode.RECORD_INVALID, f"record cannot be decompressed: {error}"
        ) from error
    if len(payload) > MAX_RECORD_BYTES:
        raise errors.ClementinesparError(
            codes.ResultCode.RECORD_INVALID,
            f"record exceeds {MAX_RECORD_BYTES} bytes",
        )
    try:
        return _ADAPTER.validate_json(payload)
    except pydantic.ValidationError as error:
        raise errors.ClementinesparError(
            codes.ResultCode.RECORD_INVALID, str(error).splitlines()[0]
        ) from error
