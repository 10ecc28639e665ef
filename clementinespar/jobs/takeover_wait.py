"""Log of a takeover: until when an owner waits for the workers of previous owners.

`worker_use.WorkerUse` decides for which workers; this only reports why each wait ends.
"""

import asyncio
import enum
from collections.abc import Mapping

from clementinespar.jobs import (
    services,
    telemetry,
    worker_lease,
    worker_session,
    worker_use,
)


class Reason(enum.Enum):
    """Why no unknown run of a previous owner can execute on a worker."""

    ANSWERED = "answered"  # it refuses the orders of previous owners
    ENDED = "ended"  # lists of hosts do not show it
    LAPSED = "lapsed"  # the lease ended, and ownership was confirmed after that


class TakeoverWait:
    """Logs one line once a takeover is settled, and one for each silent worker."""

    _began_at: float  # event-loop time since which previous owners are fenced out
    _lease_ends: dict[str, float]  # of unsettled workers; event-loop times, by id
    _answered: dict[str, int]  # worker id: start of the life that has answered
    _silent_count: int  # workers that were settled without an answer

    def __init__(
        self,
        partition: int,
        epoch: int,
        use: worker_use.WorkerUse,
        sessions_by_id: Mapping[str, worker_session.WorkerSession],
        log_event: services.EventLog,
        metrics: telemetry.JobMetrics,
    ) -> None:
        self._partition = partition
        self._epoch = epoch
        self._worker_use = use
        self._sessions_by_id = sessions_by_id
        self._log_event = log_event
        self._metrics = metrics
        self._began_at = 0.0
        self._lease_ends = {}
        self._answered = {}
        self._silent_count = 0

    def begin(self, fenced_at: float) -> None:
        """Wait for the workers that the previous owner's record names.

        Parameters
        ----------
        fenced_at : float
            Event-loop time after which the previous owner could store nothing.
        """
        self._began_at = fenced_at
        self._lease_ends = dict(self._worker_use.previous_lease_ends)

    def review(self) -> None:
        """Log which workers have been settled since the last review."""
        if not self._lease_ends:
            return
        unsettled = self._worker_use.find_unsettled()
        for worker_id in sorted(self._lease_ends.keys() - unsettled):
            self._log_settled(worker_id, self._lease_ends.pop(worker_id))
        if self._lease_ends:
            return
        waited_s = asyncio.get_running_loop().time() - self._began_at
        self._metrics.observe_takeover_wait(waited_s)
        self._log_event(
            "takeover_settled",
            partition=self._partition,
            epoch=self._epoch,
            waited_ms=round(waited_s * 1000),
            confirmed_age_ms=worker_lease.find_age_ms(self._worker_use.confirmed_at()),
            answered=self._answered,
            silent=self._silent_count,
        )

    def _log_settled(self, worker_id: str, lease_end: float) -> None:
        reason = self._find_reason(worker_id)
        if reason is Reason.ANSWERED:
            session = self._sessions_by_id.get(worker_id)
            self._answered[worker_id] = 0 if session is None else session.born_ms
            return
        self._silent_count += 1
        now = asyncio.get_running_loop().time()
        self._log_event(
            "takeover_worker_silent",
            partition=self._partition,
            epoch=self._epoch,
            worker=worker_id,
            reason=reason.value,
            waited_ms=round((now - self._began_at) * 1000),
            lease_ms=round((lease_end - now) * 1000),
            confirmed_age_ms=worker_lease.find_age_ms(self._worker_use.confirmed_at()),
        )

    def _find_reason(self, worker_id: str) -> Reason:
        if worker_id in self._worker_use.ended:
            return Reason.ENDED
        if worker_id in self._worker_use.answered:
            return Reason.ANSWERED
        return Reason.LAPSED
