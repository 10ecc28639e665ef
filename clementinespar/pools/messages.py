"""Log records about hosts and pools."""

from typing import Literal

from clementinespar.log import base

OutReason = Literal["maintenance", "move"]


class HostTakenOut(base.Record):
    """Takes a host out of service; ``record_id`` becomes the operation id.

    The fold refuses the record if it would break the pool's availability budget.
    ``host_revision`` is the offset of the last record that changed the host, or -1.
    """

    kind: Literal["host_taken_out"] = "host_taken_out"
    host_id: str
    pool: str
    host_revision: int
    reason: OutReason
    to_pool: str | None = None  # set when reason is "move"
    wave_id: str | None = None  # set when reason is "maintenance"


class HostMoved(base.Record):
    """Changes the pool of a drained host that is out for a move."""

    kind: Literal["host_moved"] = "host_moved"
    host_id: str
    operation_id: str


class HostReturned(base.Record):
    """Puts a host back into service after its operation is complete."""

    kind: Literal["host_returned"] = "host_returned"
    host_id: str
    operation_id: str


class HostFailed(base.Record):
    """Marks a host as failed; it then counts against the budget.

    With ``host_revision``, the record takes effect only if no other record has changed
    the host since. A node that was paused thus cannot apply an outdated observation.
    """

    kind: Literal["host_failed"] = "host_failed"
    host_id: str
    host_revision: int | None = None


class HostRecovered(base.Record):
    """Marks a failed host as working again; conditional like `HostFailed`."""

    kind: Literal["host_recovered"] = "host_recovered"
    host_id: str
    host_revision: int | None = None
