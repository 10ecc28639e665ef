"""Log records that carry snapshots of the folded state."""

from typing import Literal

import pydantic

from clementinespar.log import base


class SnapshotChunk(base.Record):
    """One chunk of a snapshot of the state as of ``as_of_offset`` (inclusive)."""

    kind: Literal["snapshot_chunk"] = "snapshot_chunk"
    snapshot_id: str
    as_of_offset: int = pydantic.Field(ge=-1)
    index: int = pydantic.Field(ge=0)  # 0 to count - 1
    count: int = pydantic.Field(ge=1, le=4096)
    data: str  # base85 text of this chunk of the compressed state
    digest: str  # hex SHA-256 of the whole compressed state
