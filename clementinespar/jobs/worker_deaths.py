"""Finds workers that have ended among those that do not answer.

A worker that is cut off runs on until its lease ends, so silence alone proves nothing.
The list of hosts shows the worker of each host. One has ended, and so has all that ran
on it, if the list no longer shows it but shows a host that it has left. A list without
such a host may be partial.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Mapping, Set

from clementinespar import errors
from clementinespar.jobs import model, services

# After a takeover, adopted jobs wait for the first checks. Most workers answer sooner.
FIRST_CHECK_S = 0.1
CHECK_INTERVAL_S = 0.3  # between two lists while a worker is sought
LISTS_WITHOUT_WORKER = 2  # pages of one list are not a snapshot
LIST_LAG_S = 1.5  # the list may show a new worker this much later


@dataclasses.dataclass(frozen=True, slots=True)
class KnownWorker:
    """What an owner knows of a worker; times are of the event loop.

    Attributes
    ----------
    pool, data_centre : str
        Empty if they are unknown.
    known_since : float
        Since when this owner or a previous one has known its present life.
    seen_since : float or None
        Since when this owner has known its present life; None if it has not answered.
    answered_at : float or None
        Its last answer.
    is_silent : bool
        Whether it does not answer.
    is_sought : bool
        Whether it is silent and holds up tasks.
    """

    pool: str
    data_centre: str
    known_since: float
    seen_since: float | None
    answered_at: float | None
    is_silent: bool
    is_sought: bool

    def may_have_left(
        self, host: model.HostEntry, known: Mapping[str, "KnownWorker"]
    ) -> bool:
        """Whether a host that does not show this worker may have been its host."""
        if self.pool and (
            host.data_centre != self.data_centre
            # A host of another pool may be on its way there from this one.
            or (host.pool != self.pool and host.state != "moving")
        ):
            return False
        other = known.get(host.worker_id)
        # Workers that have run at the same time are on different hosts.
        return (
            other is None
            or other.seen_since is None
            or (self.answered_at is not None and other.seen_since > self.answered_at)
        )


class WorkerDeathWatch:
    """Looks for silent workers in the list of hosts, for one partition.

    Parameters
    ----------
    find_known : callable
        Returns the workers that the owner knows, by id.
    on_death : callable
        Called with the id of a worker that has ended.
    """

    def __init__(
        self,
        hosts: services.HostService,
        find_known: Callable[[], Mapping[str, KnownWorker]],
        on_death: Callable[[str], None],
        log_event: services.EventLog,
    ) -> None:
        self._hosts = hosts
        self._find_known = find_known
        self._on_death = on_death
        self._log_event = log_event

    async def run(self) -> None:
        """Check at intervals until cancelled."""
        loop = asyncio.get_running_loop()
        # By worker id and the time since which its life is known.
        missing_counts: dict[tuple[str, float], int] = {}
        is_reached = True
        interval_s = FIRST_CHECK_S
        while True:
            await asyncio.sleep(interval_s)
            interval_s = CHECK_INTERVAL_S
            sought = _find_sought(self._find_known())
            missing_counts = {
                life: count for life, count in missing_counts.items() if life in sought
            }
            if not sought:
                continue
            sent_at = loop.time()
            try:
                hosts = await self._hosts.list_hosts()
            except errors.ClementinesparError as error:
                if is_reached:
                    self._log_event("hosts_unknown", code=int(error.code))
                is_reached = False
                continue
            is_reached = True
            known = self._find_known()
            listed = {host.worker_id for host in hosts}
            if not _is_plausible(known, listed):
                self._log_event("hosts_implausible", workers=len(listed))
                continue
            # A worker that has answered since the call was sent is newer than the list.
            for life in sorted(sought & _find_sought(known)):
                worker_id, known_since = life
                if worker_id in listed:
                    missing_counts[life] = 0
                elif sent_at - known_since >= LIST_LAG_S and _has_left_its_host(
                    worker_id, known, hosts, listed
                ):
                    missing_counts[life] = missing_counts.get(life, 0) + 1
                    if missing_counts[life] >= LISTS_WITHOUT_WORKER:
                        self._on_death(worker_id)


def _find_sought(known: Mapping[str, KnownWorker]) -> set[tuple[str, float]]:
    """Return the ids of workers that hold up tasks, and since when they are known."""
    return {
        (worker_id, worker.known_since)
        for worker_id, worker in known.items()
        if worker.is_sought
    }


def _is_plausible(known: Mapping[str, KnownWorker], listed: Set[str]) -> bool:
    """Whether a list shows all workers that answer, and there are any."""
    responsive = {
        worker_id
        for worker_id, worker in known.items()
        if worker.seen_since is not None and not worker.is_silent
    }
    return bool(responsive) and responsive <= listed


def _has_left_its_host(
    worker_id: str,
    known: Mapping[str, KnownWorker],
    hosts: Iterable[model.HostEntry],
    listed: Set[str],
) -> bool:
    """Whether a list has enough hosts that missing workers may have left.

    There must be one for each silent worker of the same pool and data centre that the
    list does not show.
    """
    worker = known[worker_id]
    missing_count = sum(
        other.is_silent
        and other_id not in listed
        and (other.pool, other.data_centre) == (worker.pool, worker.data_centre)
        for other_id, other in known.items()
    )
    left_count = sum(worker.may_have_left(host, known) for host in hosts)
    return left_count >= missing_count
