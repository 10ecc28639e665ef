"""Which workers may execute work of a pool, as far as the store knows.

The record lets a next owner wait for just those workers on which a former owner's
lease may last. Time left is stored instead of a point in time, since the clocks of two
nodes may differ.
"""

import asyncio
import json

ANY_WORKER = ""  # stands for all, if the record is unreadable
RECORD_INTERVAL_S = 1.0  # between records of the time that former leases have left


class WorkerUse:
    """Workers that this owner uses, and leases of former owners."""

    answered: set[str]  # workers on which former owners are harmless
    in_use: set[str]  # workers on which a run of this owner may execute
    stored: set[str]  # workers that the store knows to be in use by this owner
    _unreached: set[str]  # used by the former owner, and not called long enough yet
    _recorded: set[
        str
    ]  # workers in use by the newest record, which may not be stored yet
    _lease_ends: dict[
        str, float
    ]  # worker id: event-loop time at which former leases end
    _recorded_at: float  # event-loop time

    def __init__(self) -> None:
        self.answered = set()
        self.in_use = set()
        self.stored = set()
        self._unreached = set()
        self._recorded = set()
        self._lease_ends = {}
        self._recorded_at = 0.0

    @property
    def previous_worker_count(self) -> int:
        """Number of workers on which a former lease may last."""
        return len(self._lease_ends)

    def previous_lease_end(self, worker_id: str) -> float:
        """Return the event-loop time at which former leases on a worker have ended."""
        return max(
            self._lease_ends.get(worker_id, 0.0), self._lease_ends.get(ANY_WORKER, 0.0)
        )

    def is_settled(self) -> bool:
        """Whether no worker can still execute what a former owner started unseen."""
        now = asyncio.get_running_loop().time()
        return all(
            now > end or worker_id in self.answered
            for worker_id, end in self._lease_ends.items()
        )

    def is_due(self) -> bool:
        """Whether the record is to be stored."""
        if self.in_use | self._unreached != self.stored:
            return True
        now = asyncio.get_running_loop().time()
        return bool(self._lease_ends) and now - self._recorded_at > RECORD_INTERVAL_S

    def wait_for_all(self, fenced_at: float, lease_s: float) -> None:
        """Expect leases everywhere, as the former owner's record is unreadable."""
        self._lease_ends[ANY_WORKER] = fenced_at + lease_s

    def restore(self, value: bytes, fenced_at: float, lease_s: float) -> None:
        """Read the former owner's record.

        The workers that it used count as stored, as a next owner reads the same record
        until this one writes its own: their leases are extended without a pause.

        Parameters
        ----------
        value : bytes
            The record.
        fenced_at : float
            Event-loop time after which the former owner could store nothing.
        lease_s : float
            Longest time that its leases last, in seconds.

        Raises
        ------
        ValueError, KeyError, TypeError, AttributeError
            The record is unreadable.
        """
        fields = json.loads(value)
        ends = {
            str(worker_id): fenced_at + float(left_s)
            for worker_id, left_s in fields["former"].items()
        }
        self._unreached = {str(worker_id) for worker_id in fields["used"]}
        for worker_id in self._unreached:
            ends[worker_id] = fenced_at + lease_s
        self._lease_ends = ends
        self.stored = set(self._unreached)
        self._recorded_at = fenced_at

    def encode(self) -> bytes:
        """Return the record for the next owner.

        A worker that this owner has not reached within the interval keeps the end of
        its former leases. It gets no lease from here on until it is stored again.
        """
        now = asyncio.get_running_loop().time()
        if now - self._recorded_at > RECORD_INTERVAL_S:
            self._unreached = set()
            self._recorded_at = now
        for worker_id, end in list(self._lease_ends.items()):
            if now > end or worker_id in self.answered:
                del self._lease_ends[worker_id]
        self._recorded = self.in_use | self._unreached
        self.stored &= self._recorded
        previous_leases = {
            worker_id: round(end - now, 3)
            for worker_id, end in sorted(self._lease_ends.items())
            if worker_id not in self._recorded
        }
        fields = {"used": sorted(self._recorded), "former": previous_leases}
        return json.dumps(fields, separators=(",", ":")).encode()

    def mark_stored(self) -> None:
        """Note that the newest record is stored."""
        self.stored = set(self._recorded)
