"""Finds workers that have ended among those that do not answer.

A worker that is cut off runs on until its lease ends, so silence alone proves nothing.
The list of hosts shows the worker of each host: one that it no longer shows has ended,
and so has all that ran on it.
"""

import asyncio
from collections.abc import Callable, Mapping, Set

from clementinespar import errors
from clementinespar.jobs import services

# After a takeover, adopted jobs wait for the first checks. Most workers answer sooner.
FIRST_CHECK_S = 0.1
CHECK_INTERVAL_S = 0.3  # between two lists while a worker is sought
LISTS_WITHOUT_WORKER = 2  # pages of one list are not a snapshot
LIST_LAG_S = 1.5  # the list may show a new worker this much later


class WorkerDeathWatch:
    """Looks for silent workers in the list of hosts, for one partition.

    Parameters
    ----------
    find_silent : callable
        Returns the workers that do not answer and hold up tasks: their ids with the
        event-loop time since which this owner or a previous one has known them, in
        their present life.
    find_responsive : callable
        Returns the ids of the workers that answer.
    on_death : callable
        Called with the id of a worker that has ended.
    """

    # Event-loop times of the calls for the newest lists without a worker, by its id.
    _missed_at: dict[str, list[float]]

    def __init__(
        self,
        hosts: services.HostService,
        find_silent: Callable[[], Mapping[str, float]],
        find_responsive: Callable[[], Set[str]],
        on_death: Callable[[str], None],
        log_event: services.EventLog,
    ) -> None:
        self._hosts = hosts
        self._find_silent = find_silent
        self._find_responsive = find_responsive
        self._on_death = on_death
        self._log_event = log_event
        self._missed_at = {}

    def list_ages_ms(self, worker_id: str) -> list[int]:
        """Return the ages of the newest lists without a worker, the older one first."""
        now = asyncio.get_running_loop().time()
        missed_at = self._missed_at.get(worker_id, [])
        return [round((now - sent_at) * 1000) for sent_at in missed_at]

    async def run(self) -> None:
        """Check at intervals until cancelled."""
        loop = asyncio.get_running_loop()
        is_reached = True
        interval_s = FIRST_CHECK_S
        while True:
            await asyncio.sleep(interval_s)
            interval_s = CHECK_INTERVAL_S
            silent = self._find_silent()
            self._missed_at = {
                worker_id: missed_at
                for worker_id, missed_at in self._missed_at.items()
                if worker_id in silent
            }
            if not silent:
                continue
            sent_at = loop.time()
            try:
                listed = {host.worker_id for host in await self._hosts.list_hosts()}
            except errors.ClementinesparError as error:
                if is_reached:
                    self._log_event("hosts_unknown", code=int(error.code))
                is_reached = False
                continue
            is_reached = True
            if not self._is_plausible(listed):
                self._log_event("hosts_implausible", workers=len(listed))
                continue
            # A worker that has answered since the call was sent is newer than the list.
            still_silent = self._find_silent()
            for worker_id, known_since in still_silent.items():
                if worker_id not in silent:
                    continue
                if worker_id in listed:
                    self._missed_at[worker_id] = []
                elif sent_at - known_since >= LIST_LAG_S:
                    earlier = self._missed_at.get(worker_id, [])
                    missed_at = [*earlier, sent_at][-LISTS_WITHOUT_WORKER:]
                    self._missed_at[worker_id] = missed_at
                    if len(missed_at) >= LISTS_WITHOUT_WORKER:
                        self._on_death(worker_id)

    def _is_plausible(self, listed: Set[str]) -> bool:
        """Whether a list shows all workers that answer, and there are any."""
        responsive = self._find_responsive()
        return bool(responsive) and responsive <= listed
