"""Log records that carry snapshots of the folded state."""

from typing import Literal

from clementinespar.log import base


class SnapshotChunk(base.Record):
    """One chunk of a snapshot of the state as of ``as_of_offset`` (inclusive)."""

    kind: Literal["snapshot_chunk"] = "snapshot_chunk"
    snapshot_id: str
    as_of_offset: int
    index: int  # from 0
    count: int
    data: str  # base85 text of a part of the compressed state
    digest: str  # hex SHA-256 of the whole compressed state
