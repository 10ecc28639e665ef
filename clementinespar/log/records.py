"""All record types of the log, with their encoding."""

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

_ADAPTER: pydantic.TypeAdapter[base.Record] = pydantic.TypeAdapter(AnyRecord)


def encode_record(record: base.Record) -> bytes:
    """Return the record as compact JSON, without fields at their default of None."""
    return record.model_dump_json(exclude_none=True).encode()


def parse_record(payload: bytes) -> base.Record:
    """Parse and validate one record.

    Raises
    ------
    errors.ClementinesparError
        With ``RECORD_INVALID`` when the payload is not a valid record.
    """
    if len(payload) > MAX_RECORD_BYTES:
        raise errors.ClementinesparError(
            codes.ResultCode.RECORD_INVALID,
            f"record of {len(payload)} bytes exceeds {MAX_RECORD_BYTES}",
        )
    try:
        return _ADAPTER.validate_json(payload)
    except pydantic.ValidationError as error:
        raise errors.ClementinesparError(
            codes.ResultCode.RECORD_INVALID, str(error).splitlines()[0]
        ) from error
