"""Log of lasting tasks that wait for a start, with what holds them up."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from clementinespar.jobs import services, state

HELD_AFTER_S = 1.0  # a wait shorter than this is part of a usual move
REPORT_INTERVAL_S = 2.0  # between two lines about one job
MAX_NAMED_WORKERS = 5


class HeldTaskLog:
    """Reports each job whose lasting tasks wait, at intervals."""

    _held_since: dict[str, float]  # job id: event-loop time
    _reported_at: dict[str, float]  # job id: event-loop time

    def __init__(self, log_event: services.EventLog) -> None:
        self._log_event = log_event
        self._held_since = {}
        self._reported_at = {}

    def report(
        self,
        jobs: Iterable[state.JobProgress],
        unsettled: Mapping[str, float],
        has_room: Callable[[state.JobProgress, state.StepState], bool],
    ) -> None:
        """Log the jobs whose lasting tasks wait.

        Parameters
        ----------
        unsettled : mapping of str to float
            Workers that may execute runs of a previous owner, with the seconds that
            are left of their leases.
        has_room : callable
            Whether a worker could take one more task of a step.
        """
        now = asyncio.get_running_loop().time()
        held = {
            job.spec.job_id: (job, steps)
            for job in jobs
            if job.is_lasting and (steps := _held_steps(job))
        }
        for job_id in set(self._held_since) - set(held):
            del self._held_since[job_id]
            self._reported_at.pop(job_id, None)
        for job_id, (job, steps) in held.items():
            since = self._held_since.setdefault(job_id, now)
            reported_at = self._reported_at.get(job_id, now - REPORT_INTERVAL_S)
            if now - since < HELD_AFTER_S or now - reported_at < REPORT_INTERVAL_S:
                continue
            self._reported_at[job_id] = now
            longest = sorted(unsettled.items(), key=lambda item: -item[1])
            self._log_event(
                "lasting_held",
                job=job_id,
                tasks=sum(len(step.waiting) for step in steps),
                held_s=round(now - since, 2),
                has_room=any(has_room(job, step) for step in steps),
                unsettled={
                    worker_id: round(left_s, 2)
                    for worker_id, left_s in longest[:MAX_NAMED_WORKERS]
                },
            )


def _held_steps(job: state.JobProgress) -> list[state.StepState]:
    return [
        step
        for occurrence in job.occurrences.values()
        for step in occurrence.ready_steps()
        if step.spec.is_lasting
    ]
