"""Checks that no lasting task stands still for too long."""

import asyncio
import time

from clementinespar_adapter import standin
from soak import callers

CHECK_S = 0.05
# A lasting task may stand still for `RESTART_S` after its last run, and `ROOM_S` more
# while a worker has room for it. It counts if nothing was disturbed for `CALM_S`.
RESTART_S = 6.0
ROOM_S = 3.0
CALM_S = 7.0
JUDGED_S = RESTART_S + ROOM_S + 1.0  # calm in which each task that stands still counts


class StandstillWatch:
    """Follows the lasting jobs that are not cancelled, which have one task each."""

    # Seconds since the last run, by id of a job that stood still for too long.
    standstills: dict[str, float]

    def __init__(self, platform: standin.Platform, load: callers.Callers) -> None:
        self.standstills = {}
        self._platform = platform
        self._load = load
        self._ran_at: dict[str, float] = {}
        self._no_room_at = time.monotonic()

    def is_judged(self) -> bool:
        """Whether it was calm for long enough to judge all jobs."""
        quiet_since = max(self._platform.disturbed_at, self._no_room_at)
        return time.monotonic() > quiet_since + JUDGED_S

    def find_stopped(self) -> set[str]:
        """Return the jobs whose task does not run now."""
        return self._load.kept - self._platform.find_running_jobs()

    async def run(self) -> None:
        """Follow the jobs until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            now = time.monotonic()
            stopped = self.find_stopped()
            if not self._platform.has_room(callers.LASTING_CPU):
                self._no_room_at = now
            due = max(self._platform.disturbed_at + CALM_S, self._no_room_at + ROOM_S)
            for job_id in self._load.kept:
                since = self._ran_at.setdefault(job_id, now)
                if job_id not in stopped:
                    self._ran_at[job_id] = now
                elif now > max(due, since + RESTART_S + ROOM_S):
                    self.standstills[job_id] = now - since
