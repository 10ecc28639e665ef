"""Record of the workers that may execute runs of a partition.

It is stored, so that the next owner waits only for workers on which a lease of a
previous owner may last. The remaining time of a lease is stored instead of its end,
since the clocks of two nodes may differ.
"""

import asyncio
import json

ANY_WORKER = ""  # stands for all workers if the record is unreadable
RECORD_INTERVAL_S = 1.0  # between records of the remaining time of previous leases


class WorkerUse:
    """Workers that this owner uses, and leases of previous owners."""

    answered: set[str]  # workers that refuse orders of previous owners
    in_use: set[str]  # workers on which a run of this owner may execute
    stored: set[str]  # workers in use according to the stored record
    # Used by the previous owner; recorded as in use until there was time to call them.
    _unreached: set[str]
    _recorded: set[str]  # workers in use by the newest record, stored or not
    _lease_ends: dict[str, float]  # worker id: event-loop end of previous leases
    # The same of this owner's leases on unresponsive workers with runs.
    _silent_lease_ends: dict[str, float]
    _recorded_at: float  # event-loop time

    def __init__(self) -> None:
        self.answered = set()
        self.in_use = set()
        self.stored = set()
        self._unreached = set()
        self._recorded = set()
        self._lease_ends = {}
        self._silent_lease_ends = {}
        self._recorded_at = 0.0

    @property
    def previous_worker_count(self) -> int:
        """Number of workers on which a lease of a previous owner may last."""
        return len(self._lease_ends)

    def previous_lease_end(self, worker_id: str) -> float:
        """Return the event-loop time at which previous leases on a worker end."""
        return max(
            self._lease_ends.get(worker_id, 0.0), self._lease_ends.get(ANY_WORKER, 0.0)
        )

    def add(self, worker_id: str) -> None:
        """Record a worker as in use."""
        self._silent_lease_ends.pop(worker_id, None)
        self.in_use.add(worker_id)

    def remove(self, worker_id: str) -> None:
        """Record that no run of this owner can execute on a worker."""
        self._silent_lease_ends.pop(worker_id, None)
        self.in_use.discard(worker_id)

    def release_silent(self, worker_id: str, lease_end: float) -> None:
        """Record an unresponsive worker with the end of its lease only.

        Its lease is not extended any more, so the next owner need not wait for a whole
        one. The worker is in use again once it answers and that is stored.
        """
        self.in_use.discard(worker_id)
        self._silent_lease_ends[worker_id] = lease_end

    def settle(self, worker_id: str) -> None:
        """Record that no run of previous owners can execute on a worker."""
        self._unreached.discard(worker_id)
        self._lease_ends.pop(worker_id, None)

    def is_settled(self) -> bool:
        """Whether no worker can execute runs of previous owners unknown to this one."""
        return not self.find_unsettled()

    def find_unsettled(self) -> dict[str, float]:
        """Return the workers that may execute unknown runs of previous owners.

        The values are the seconds that are left of the leases on them.
        """
        now = asyncio.get_running_loop().time()
        return {
            worker_id: end - now
            for worker_id, end in self._lease_ends.items()
            if now <= end and worker_id not in self.answered
        }

    def is_due(self) -> bool:
        """Whether the record has to be stored again."""
        if self.in_use | self._unreached != self.stored:
            return True
        now = asyncio.get_running_loop().time()
        has_ends = bool(self._lease_ends or self._silent_lease_ends)
        return has_ends and now - self._recorded_at > RECORD_INTERVAL_S

    def wait_for_all(self, fenced_at: float, lease_s: float) -> None:
        """Assume a lease on every worker, as the previous record is unreadable."""
        self._lease_ends[ANY_WORKER] = fenced_at + lease_s

    def restore(self, value: bytes, fenced_at: float, lease_s: float) -> None:
        """Restore the record of the previous owner.

        The workers that it used count as stored, since the next owner reads the same
        record until this one writes its own. So their leases can be renewed at once.

        Parameters
        ----------
        value : bytes
            The record.
        fenced_at : float
            Event-loop time after which the previous owner could store nothing.
        lease_s : float
            Longest duration of its leases, in seconds.

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

        A worker that this owner has not reached within the interval is recorded only
        with the end of its previous leases. It gets no lease until a record that has it
        in use is stored.
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
        lease_ends = dict(self._lease_ends)
        for worker_id, end in list(self._silent_lease_ends.items()):
            if now > end:
                del self._silent_lease_ends[worker_id]
            else:
                lease_ends[worker_id] = max(end, lease_ends.get(worker_id, 0.0))
        previous_leases = {
            worker_id: round(end - now, 3)
            for worker_id, end in sorted(lease_ends.items())
            if worker_id not in self._recorded
        }
        fields = {"used": sorted(self._recorded), "former": previous_leases}
        return json.dumps(fields, separators=(",", ":")).encode()

    def mark_stored(self) -> None:
        """Set the workers of the newest record as stored."""
        self.stored = set(self._recorded)
