"""The ends that one life of a worker lists: which are handled, and which are stored.

A worker forgets an end once it is acknowledged, and an acknowledgement covers all ends
before it. So an end that could not be handled holds up those after it: they stay
listed, and the first one is tried again with each report.
"""

from collections.abc import Callable, Iterable

from clementinespar.jobs import model, services, telemetry

REPORTED_ENDS = 500  # that a worker lists at a time, by the protocol
# With this many ends held up, a worker gets no new work: it lists no further ends
# beyond `REPORTED_ENDS`, and the other half is left for its runs.
HELD_UP_MAX = REPORTED_ENDS // 2
MAX_LOGGED_ENDS = 10  # ends of one life whose handling failed


class WorkerEnds:
    """Progress through the ends of one life of a worker.

    Parameters
    ----------
    handle : callable
        Applies an end; False if its effect can neither be stored nor is known to be
        needless.
    """

    processed: int  # number up to which all ends are applied in memory
    acknowledged: int  # number of the last end that is stored
    acknowledgement_seen: int  # highest `acknowledged` that the worker has answered
    _handled: set[int]  # numbers beyond `processed`
    _logged: set[int]  # numbers of ends whose failure is logged

    def __init__(
        self,
        worker_id: str,
        handle: Callable[[model.EndedTask], bool],
        log_event: services.EventLog,
    ) -> None:
        self._worker_id = worker_id
        self._handle = handle
        self._log_event = log_event
        self.begin_life()

    def begin_life(self) -> None:
        """Start anew: a worker that has restarted numbers its ends from 1."""
        self.processed = 0
        self.acknowledged = 0
        self.acknowledgement_seen = 0
        self._handled = set()
        self._logged = set()

    def is_full(self) -> bool:
        """Whether so many ends are held up that the worker may soon hide others."""
        return len(self._handled) >= HELD_UP_MAX

    def note_seen(self, acknowledged: int) -> None:
        """Record that the worker has answered an acknowledgement."""
        self.acknowledgement_seen = max(self.acknowledgement_seen, acknowledged)

    def note_stored(self, number: int) -> None:
        """Record that the effects of all ends up to a number are stored."""
        self.acknowledged = max(self.acknowledged, number)

    def apply(self, listed: Iterable[model.EndedTask]) -> None:
        """Handle the ends of a report that are not handled yet."""
        is_held_up = False
        for end in listed:
            if end.number <= self.processed:
                continue
            if end.number not in self._handled and not self._try(end):
                is_held_up = True
            elif is_held_up:
                self._handled.add(end.number)
            else:
                self._handled.discard(end.number)
                self.processed = end.number

    def _try(self, end: model.EndedTask) -> bool:
        """Handle an end; False if that fails."""
        try:
            return self._handle(end)
        except Exception as error:
            if end.number not in self._logged and len(self._logged) < MAX_LOGGED_ENDS:
                self._logged.add(end.number)
                telemetry.log_unexpected(
                    self._log_event,
                    "end",
                    error,
                    worker=self._worker_id,
                    job=end.task.job_id,
                    task=end.task.name_in_job,
                    run=end.run,
                    kind=end.kind.value,
                )
            return False
