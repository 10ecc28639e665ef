"""Record of the workers that may execute runs of a partition.

It is stored, so that the next owner waits only for workers on which a lease of a
previous owner may last. The remaining time of a lease is stored instead of its end,
since the clocks of two nodes may differ. The record also names the workers that may be
missing from the list of hosts although they run, since they are new; see
`worker_deaths.WorkerDeathWatch`.
"""

import asyncio
import json
import math
from collections.abc import Callable, Mapping

from clementinespar import decoding
from clementinespar.jobs import worker_deaths

ANY_WORKER = ""  # stands for all workers if the record is unreadable
RECORD_INTERVAL_S = 1.0  # between records of the remaining time of previous leases


class WorkerUse:
    """Workers that this owner uses, and leases of previous owners.

    Parameters
    ----------
    confirmed_at : callable
        Returns the event-loop time up to which no later owner had begun; None if it is
        unknown. See `conclusions.Conclusions`.
    """

    answered: set[str]  # workers that refuse orders of previous owners
    ended: set[str]  # workers that lists of hosts do not show any more
    in_use: set[str]  # workers on which a run of this owner may execute
    # Workers in use according to the stored record, and not released since.
    stored: set[str]
    # Used by the previous owner; recorded as in use until there was time to call them.
    _unreached: set[str]
    _recorded: set[str]  # workers in use by the newest record, stored or not
    _lease_ends: dict[str, float]  # worker id: event-loop end of previous leases
    # Workers of `_lease_ends` that have answered or ended: event-loop time of that.
    _settled_at: dict[str, float]
    # The same of this owner's leases on unresponsive workers with runs.
    _silent_lease_ends: dict[str, float]
    # The same of this owner's leases that may be longer than the next owner assumes.
    _extended_lease_ends: dict[str, float]
    _recorded_at: float  # event-loop time
    # Event-loop time since which the present life of a worker has been known, to this
    # owner or to a previous one.
    _known_since: dict[str, float]
    # Workers whose present life may be younger than the stored record says.
    _unstored_lives: set[str]
    _recorded_lives: dict[str, float]  # `_known_since` as of the newest record
    _recorded_new: set[str]  # workers that the newest record names as new

    def __init__(self, confirmed_at: Callable[[], float | None]) -> None:
        self.confirmed_at = confirmed_at
        self.answered = set()
        self.ended = set()
        self.in_use = set()
        self.stored = set()
        self._unreached = set()
        self._recorded = set()
        self._lease_ends = {}
        self._settled_at = {}
        self._silent_lease_ends = {}
        self._extended_lease_ends = {}
        self._recorded_at = 0.0
        self._known_since = {}
        self._unstored_lives = set()
        self._recorded_lives = {}
        self._recorded_new = set()

    @property
    def previous_lease_ends(self) -> Mapping[str, float]:
        """Event-loop ends of previous owners' leases, by worker id."""
        return self._lease_ends

    def previous_lease_end(self, worker_id: str) -> float:
        """Return the event-loop time at which previous leases on a worker end."""
        return max(
            self._lease_ends.get(worker_id, 0.0), self._lease_ends.get(ANY_WORKER, 0.0)
        )

    def known_since(self, worker_id: str) -> float:
        """Return the event-loop time since which a worker has been known.

        Infinite for a worker that is not recorded.
        """
        return self._known_since.get(worker_id, math.inf)

    def add(
        self, worker_id: str, known_since: float, extended_end: float = -math.inf
    ) -> None:
        """Record a worker as in use.

        Parameters
        ----------
        known_since : float
            Event-loop time since which this owner has known its present life.
        extended_end : float
            Event-loop time until which runs may go on there, if that may be longer than
            the longest lease of this owner.
        """
        self._silent_lease_ends.pop(worker_id, None)
        self.in_use.add(worker_id)
        if extended_end > asyncio.get_running_loop().time():
            self._extended_lease_ends[worker_id] = extended_end
        if self._known_since.get(worker_id) != known_since:
            self._known_since[worker_id] = known_since
            self._unstored_lives.add(worker_id)

    def may_start(self, worker_id: str) -> bool:
        """Whether runs may start on a worker.

        The next owner must wait for their lease, and must not take the worker for dead
        while the list of hosts may lag behind it. Nor may it have heard the worker in
        an earlier life, and ended its wait: the present life does not know its fence.
        """
        if worker_id not in self.stored:
            return False
        confirmed = self.confirmed_at()
        if confirmed is None or confirmed < self.known_since(worker_id):
            return False
        return not (worker_id in self._unstored_lives and self._is_new(worker_id))

    def _is_new(self, worker_id: str) -> bool:
        now = asyncio.get_running_loop().time()
        return now - self.known_since(worker_id) < worker_deaths.LIST_LAG_S

    def remove(self, worker_id: str) -> None:
        """Record that no run of this owner can execute on a worker."""
        self._silent_lease_ends.pop(worker_id, None)
        self.in_use.discard(worker_id)
        self._known_since.pop(worker_id, None)
        self._unstored_lives.discard(worker_id)

    def release_silent(self, worker_id: str, lease_end: float) -> None:
        """Record an unresponsive worker with the end of its lease only.

        Its lease is not extended from now on, so the next owner need not wait for a
        whole one. The worker is in use again once it answers and that is stored.
        """
        self.in_use.discard(worker_id)
        self.stored.discard(worker_id)
        self._silent_lease_ends[worker_id] = lease_end

    def note_answer(self, worker_id: str) -> bool:
        """Record that a worker refuses orders of previous owners; its runs are known.

        It counts once ownership is confirmed after that: if it is another life, a later
        owner may have adopted a run in the former one, and seen it end. False if nobody
        has waited for the worker.
        """
        self.answered.add(worker_id)
        return self._note_settled(worker_id)

    def note_death(self, worker_id: str) -> bool:
        """Record that a worker has ended; otherwise as `note_answer`."""
        self.ended.add(worker_id)
        self._unreached.discard(worker_id)
        return self._note_settled(worker_id)

    def _note_settled(self, worker_id: str) -> bool:
        if worker_id not in self._lease_ends or worker_id in self._settled_at:
            return False
        self._settled_at[worker_id] = asyncio.get_running_loop().time()
        return True

    def is_settled(self) -> bool:
        """Whether no worker can execute runs of previous owners unknown to this one."""
        return not self.find_unsettled()

    def find_unsettled(self) -> dict[str, float]:
        """Return the workers that may execute unknown runs of previous owners.

        The values are the seconds that are left of the leases on them.
        """
        now = asyncio.get_running_loop().time()
        return {
            worker_id: max(0.0, end - now)
            for worker_id, end in self._lease_ends.items()
            if not self._is_over(worker_id, end)
        }

    def find_unheard(self) -> set[str]:
        """Return the unsettled workers that have neither answered nor ended."""
        return set(self.find_unsettled()) - set(self._settled_at)

    def _is_over(self, worker_id: str, lease_end: float) -> bool:
        """Whether a worker executes no unknown runs of previous owners any more.

        A later owner may have adopted runs and renewed their lease, unless ownership
        was confirmed after its end.
        """
        confirmed = self.confirmed_at()
        if confirmed is None:
            return False
        settled_at = self._settled_at.get(worker_id, math.inf)
        return confirmed > lease_end or confirmed >= settled_at

    def is_due(self) -> bool:
        """Whether the record has to be stored again."""
        if self.in_use | self._unreached != self._recorded:
            return True
        if not self.in_use <= self.stored:
            return True  # a released worker is in use again
        if any(self._is_new(worker_id) for worker_id in self._unstored_lives):
            return True
        if self._recorded_new and not any(map(self._is_new, self._recorded_new)):
            return True  # the next owner need not wait for the list of hosts
        now = asyncio.get_running_loop().time()
        has_ends = bool(
            self._lease_ends or self._silent_lease_ends or self._extended_lease_ends
        )
        return has_ends and now - self._recorded_at > RECORD_INTERVAL_S

    def wait_for_all(self, confirmed_until: float, lease_s: float) -> None:
        """Assume a lease on every worker, as the previous record is unreadable."""
        self._lease_ends[ANY_WORKER] = confirmed_until + lease_s

    def restore(self, value: bytes, confirmed_until: float, lease_s: float) -> None:
        """Restore the record of the previous owner.

        The workers that it used count as stored, since the next owner reads the same
        record until this one writes its own. So their leases can be renewed at once.
        Those that the record does not name as new have been known for long.

        Parameters
        ----------
        value : bytes
            The record.
        confirmed_until : float
            Event-loop time that no confirmation of the previous owners is later than,
            and after which they could store nothing.
        lease_s : float
            Longest duration of its leases, in seconds.

        Raises
        ------
        decoding.ERRORS
            The record is unreadable.
        """
        fields = decoding.parse_object(value)
        ends = {
            str(worker_id): confirmed_until + float(left_s)
            for worker_id, left_s in fields["former"].items()
        }
        used = {str(worker_id) for worker_id in fields["used"]}
        for worker_id in used:
            ends[worker_id] = max(ends.get(worker_id, 0.0), confirmed_until + lease_s)
        # Builds that did not write the field knew nothing about the workers' ages.
        new = {str(worker_id) for worker_id in fields.get("new", ends)}
        self._known_since = {
            worker_id: confirmed_until
            - (0.0 if worker_id in new else worker_deaths.LIST_LAG_S)
            for worker_id in ends
        }
        self._unreached = used
        self._lease_ends = ends
        self.stored = set(self._unreached)
        self._recorded = set(self._unreached)
        self._recorded_at = confirmed_until

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
            if self._is_over(worker_id, end):
                del self._lease_ends[worker_id]
                self._settled_at.pop(worker_id, None)
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
            # The record is stored only if no later owner had begun by then.
            if worker_id not in self._recorded and now <= end
        }
        for worker_id, end in list(self._extended_lease_ends.items()):
            if now > end or worker_id not in self.in_use:
                del self._extended_lease_ends[worker_id]
            else:
                previous_leases[worker_id] = round(end - now, 3)
        named = {*self._recorded, *previous_leases}
        self._recorded_lives = {
            worker_id: since
            for worker_id, since in self._known_since.items()
            if worker_id in named or worker_id in lease_ends
        }
        self._known_since = dict(self._recorded_lives)
        # A worker that is not named counts as unstored again with its next answer.
        self._unstored_lives &= set(self._known_since)
        self._recorded_new = {
            worker_id
            for worker_id in named
            if worker_id != ANY_WORKER and self._is_new(worker_id)
        }
        fields = {
            "used": sorted(self._recorded),
            "former": previous_leases,
            "new": sorted(self._recorded_new),
        }
        return json.dumps(fields, separators=(",", ":")).encode()

    def mark_stored(self) -> None:
        """Set the workers of the newest record as stored, but for those released."""
        self.stored = self._recorded - self._silent_lease_ends.keys()
        self._unstored_lives = {
            worker_id
            for worker_id in self._unstored_lives
            if self._recorded_lives.get(worker_id) != self.known_since(worker_id)
        }
