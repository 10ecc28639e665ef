"""Log records about maintenance waves."""

from typing import Literal

from clementinespar.log import base


class WaveStarted(base.Record):
    """Starts a wave over hosts of one pool; ``record_id`` becomes the wave id.

    A pool has at most one wave at a time.
    """

    kind: Literal["wave_started"] = "wave_started"
    pool: str
    host_ids: tuple[str, ...]


class WaveFinished(base.Record):
    """Ends a wave, complete or not."""

    kind: Literal["wave_finished"] = "wave_finished"
    wave_id: str
    reason: str
