"""The owner's estimate of waits, and what became of it for each job."""

import dataclasses
from collections.abc import Callable, Mapping

from clementinespar.jobs import (
    model,
    placement,
    resources,
    state,
    telemetry,
    wait_estimate,
    worker_session,
)

REFRESH_S = 0.1
# An estimate takes 2 ms with 100 waiting jobs and 8 ms with 500. The pause after it
# grows with their number, so that the share of the owner's time stays about 2%.
REFRESH_PER_JOB_S = 0.001
REFRESH_MAX_S = 0.5
ARRIVING_MAX_AGE_S = 1.0  # the owner of the fleet tells it four times a second


@dataclasses.dataclass(slots=True)
class _JobWait:
    """The wait of one job, as estimated when it arrived and as it was."""

    arrived_at: float  # event-loop time
    estimated_ms: float
    was_in_time: bool  # whether it was expected to start before it is late
    waited_ms: float | None = None  # until its first start


class WaitWatch:
    """Estimates the waits of the pools of one owner, from its jobs and workers.

    Parameters
    ----------
    active : mapping
        The jobs that are not final, by id.
    """

    _active: Mapping[str, state.JobProgress]
    _sessions_by_id: Mapping[str, worker_session.WorkerSession]
    _estimate_ms: Callable[[model.StepSpec], float]
    _metrics: telemetry.JobMetrics
    _waits_by_pool: dict[str, wait_estimate.PoolWaits]
    _made_at: float
    _waiting_count: int  # jobs in the last estimate
    _arriving_by_pool: dict[str, tuple[int, float]]  # hosts, and when that was told
    _job_waits: dict[str, _JobWait]

    def __init__(
        self,
        active: Mapping[str, state.JobProgress],
        sessions_by_id: Mapping[str, worker_session.WorkerSession],
        estimate_ms: Callable[[model.StepSpec], float],
        find_caps: Callable[[], Mapping[str, resources.Resources]],
        metrics: telemetry.JobMetrics,
    ) -> None:
        self._find_caps = find_caps
        self._active = active
        self._sessions_by_id = sessions_by_id
        self._estimate_ms = estimate_ms
        self._metrics = metrics
        self._waits_by_pool = {}
        self._made_at = 0.0
        self._waiting_count = 0
        self._arriving_by_pool = {}
        self._job_waits = {}

    def describe(self, now: float) -> dict[str, object]:
        """Return the waits by pool for other nodes; empty unless one is long."""
        self._refresh(now)
        return {
            pool: wait_estimate.encode(waits, now - self._made_at)
            for pool, waits in self._waits_by_pool.items()
        }

    def note_arriving_hosts(self, pool: str, count: int, now: float) -> None:
        """Record how many hosts are on their way to a pool."""
        self._arriving_by_pool[pool] = (count, now)

    def note_arrival(self, job: state.JobProgress, now: float) -> None:
        """Record the estimate for a job that has just arrived."""
        if job.is_lasting or job.spec.occurrences or job.has_begun:
            return
        estimated_ms, was_in_time = self.estimate(job, now)
        self._job_waits[job.spec.job_id] = _JobWait(now, estimated_ms, was_in_time)

    def estimate(self, job: state.JobProgress, now: float) -> tuple[float, bool]:
        """Return the wait of a job that arrives now, and whether it starts in time.

        Returns
        -------
        float
            The wait in ms until its first start.
        bool
            Whether it is expected to start before it is late.
        """
        self._refresh(now)
        waits = self._waits_by_pool.get(job.spec.pool, wait_estimate.NO_WAITS)
        chain_ms = job.remaining_ms(self._estimate_ms)
        slack_ms = (job.deadline - now) * 1000 - chain_ms
        window_ms = slack_ms - placement.NEW_MARGIN * chain_ms
        estimated_ms = 0.0
        was_in_time = True
        for wait in (waits.find(job.spec.priority), waits.by_team.get(job.spec.team)):
            if wait is not None:
                ahead_ms = wait.find_ahead_ms(slack_ms)
                is_late = ahead_ms > window_ms
                was_in_time = was_in_time and not is_late
                own_ms = wait.wait_ms if is_late else ahead_ms
                estimated_ms = max(estimated_ms, own_ms)
        return estimated_ms, was_in_time

    def note_start(self, job: state.JobProgress, now: float) -> None:
        """Compare the estimate for a job with its wait, at its first start."""
        wait = self._job_waits.get(job.spec.job_id)
        if wait is not None and wait.waited_ms is None:
            wait.waited_ms = (now - wait.arrived_at) * 1000
            error_ms = wait.waited_ms - wait.estimated_ms
            self._metrics.observe_wait_error(error_ms, wait.was_in_time)

    def forget(self, job_id: str) -> None:
        """Drop what is known of a job that is not kept any more."""
        self._job_waits.pop(job_id, None)

    def explain(self, job: state.JobProgress, now: float) -> str | None:
        """Return why a job waited for its first start, or None if that is unknown."""
        wait = self._job_waits.get(job.spec.job_id)
        if wait is None or (job.is_final and wait.waited_ms is None):
            return None
        estimated = f"{wait.estimated_ms / 1000:.1f} s were estimated at its arrival"
        if wait.waited_ms is not None:
            return (
                f"it waited {wait.waited_ms / 1000:.1f} s for its first start;"
                f" {estimated} for the work before it"
            )
        waits = self._waits_by_pool.get(job.spec.pool, wait_estimate.NO_WAITS)
        reasons = []
        own = waits.find(job.spec.priority)
        if own is not None:
            reasons.append(f"work for {own.wait_ms / 1000:.1f} s waits in its pool")
        own = waits.by_team.get(job.spec.team)
        if own is not None:
            reasons.append(
                f"work of team {job.spec.team} takes {own.wait_ms / 1000:.1f} s"
                " under its cap"
            )
        return "; ".join(
            [
                f"it has waited {now - wait.arrived_at:.1f} s for its first start",
                estimated,
                *reasons,
            ]
        )

    def _refresh(self, now: float) -> None:
        pause_s = min(REFRESH_MAX_S, self._waiting_count * REFRESH_PER_JOB_S)
        if now - self._made_at < max(REFRESH_S, pause_s):
            return
        self._made_at = now
        self._waits_by_pool = {}
        waiting_by_pool: dict[str, list[wait_estimate.WaitingWork]] = {}
        for job in self._active.values():
            if job.is_lasting:
                continue
            work = self._waiting_work(job)
            if work.cpu or work.memory:
                waiting_by_pool.setdefault(job.spec.pool, []).append(
                    wait_estimate.WaitingWork(
                        work,
                        job.spec.priority,
                        job.spec.team,
                        self._find_slack_ms(job, now),
                    )
                )
        self._waiting_count = sum(map(len, waiting_by_pool.values()))
        caps_by_team = {
            team: wait_estimate.Amount(cap.cpu_millis, cap.memory_mb)
            for team, cap in self._find_caps().items()
        }
        for pool, waiting in waiting_by_pool.items():
            waits = wait_estimate.estimate_pool(
                waiting, self._find_supply(pool, now), caps_by_team
            )
            if waits.by_priority or waits.by_team:
                self._waits_by_pool[pool] = waits

    def _waiting_work(self, job: state.JobProgress) -> wait_estimate.Amount:
        cpu = memory = 0.0
        for occurrence in job.occurrences.values():
            for step in occurrence.steps:
                if step.waiting and not step.spec.is_filler:
                    time_ms = len(step.waiting) * self._estimate_ms(step.spec)
                    cpu += time_ms * step.spec.cpu_millis
                    memory += time_ms * step.spec.memory_mb
        return wait_estimate.Amount(cpu, memory)

    def _find_slack_ms(self, job: state.JobProgress, now: float) -> float:
        kind, _, slack_s = placement.rank(job, now, self._estimate_ms)
        if kind == placement.NEW:
            return max(0.0, slack_s * 1000)
        return -1.0 if kind == placement.STARTED else float("inf")

    def _find_supply(self, pool: str, now: float) -> wait_estimate.PoolSupply:
        cpu = memory = used_cpu = used_memory = 0.0
        largest = wait_estimate.Amount(0.0, 0.0)
        for session in self._sessions_by_id.values():
            if session.entry.pool != pool or not session.can_take(now):
                continue
            entry = session.entry
            largest = max(
                largest, wait_estimate.Amount(entry.cpu_millis, entry.memory_mb)
            )
            cpu += entry.cpu_millis
            memory += entry.memory_mb
            used_cpu += entry.cpu_millis - session.free_cpu
            used_memory += entry.memory_mb - session.free_memory
            for run in session.runs.values():
                if run.spec.is_lasting:
                    # Its capacity does not come free.
                    own_cpu = 0 if run.spec.is_filler else run.spec.cpu_millis
                    cpu, used_cpu = cpu - own_cpu, used_cpu - own_cpu
                    memory -= run.spec.memory_mb
                    used_memory -= run.spec.memory_mb
        used_share = max(
            used_cpu / cpu if cpu > 0 else 0.0,
            used_memory / memory if memory > 0 else 0.0,
        )
        arriving, told_at = self._arriving_by_pool.get(pool, (0, 0.0))
        if now - told_at > ARRIVING_MAX_AGE_S:
            arriving = 0
        return wait_estimate.PoolSupply(
            wait_estimate.Amount(
                max(0.0, cpu) + arriving * largest.cpu,
                max(0.0, memory) + arriving * largest.memory,
            ),
            used_share,
        )
