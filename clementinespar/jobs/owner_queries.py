"""Answers of an owner about its jobs and workers, and requests to free a worker."""

import asyncio
import math
from collections.abc import Iterable, Mapping

from clementinespar import codes, errors, explanation
from clementinespar.jobs import (
    command_intake,
    demand,
    job_table,
    model,
    owner_quotas,
    placement,
    pool_demand,
    run_watch,
    services,
    session_table,
    state,
    team_use,
    wait_watch,
    worker_run,
    worker_session,
    worker_use,
)


class OwnerQueries:
    """Answers the requests of other nodes for the owner of a partition."""

    def __init__(
        self,
        epoch: int,
        jobs: job_table.JobTable,
        sessions_by_id: Mapping[str, worker_session.WorkerSession],
        sessions: session_table.SessionTable,
        directory: services.WorkerDirectory,
        use: worker_use.WorkerUse,
        intake: command_intake.CommandIntake,
        watch: run_watch.RunWatch,
        run_times: demand.RunTimes,
        arrivals_by_pool: Mapping[str, demand.ArrivalRate],
        quotas: owner_quotas.OwnerQuotas,
        waits: wait_watch.WaitWatch,
        log_event: services.EventLog,
    ) -> None:
        self._epoch = epoch
        self._jobs = jobs
        self._sessions_by_id = sessions_by_id
        self._sessions = sessions
        self._directory = directory
        self._worker_use = use
        self._intake = intake
        self._run_watch = watch
        self._run_times = run_times
        self._arrivals_by_pool = arrivals_by_pool
        self._quotas = quotas
        self._waits = waits
        self._log_event = log_event

    def describe(self, job_id: str) -> model.JobState | None:
        """Return a job's state, or None if no job has this id.

        Raises
        ------
        errors.ClementinesparError
            The commands were not read recently enough to report a job as unknown, or
            what is stored of the job cannot be read.
        """
        job = self._jobs.by_id.get(job_id)
        if job is not None:
            if job.is_unreadable and not job.is_final:
                raise errors.ClementinesparError(
                    codes.ResultCode.ENTRY_INVALID,
                    "what is stored of the job cannot be read",
                )
            if job.is_final and not job.is_final_stored:
                return model.JobState.RUNNING
            return job.state
        if self._jobs.released.holds(job_id):
            return model.JobState.QUEUED
        if not self._intake.is_fresh():
            raise errors.ClementinesparError(
                codes.ResultCode.JOB_OWNER_UNKNOWN,
                "the owner has not read the newest commands yet",
            )
        return None

    def explain(self, job_id: str) -> explanation.Explanation | None:
        """Return why a job is in its state, or None if no job has this id."""
        if self.describe(job_id) is None:
            return None
        job = self._jobs.by_id[job_id]
        now = asyncio.get_running_loop().time()
        because = []
        waits_for = None
        if not job.is_adopted:
            waits_for = "the store to append the record of its adoption"
        elif job.adopted_epoch != self._epoch and not self._worker_use.is_settled():
            waits_for = "unresponsive workers of the previous owner"
        if not job.is_final and not job.is_lasting:
            slack_s = job.deadline - now
            because.append(f"its objective ends in {slack_s:.1f} s")
        wait = self._waits.explain(job, now)
        if wait is not None:
            because.append(wait)
        if job.is_over_rate:
            because.append(f"team {job.spec.team} was above its rate at its submission")
        for occurrence in job.occurrences.values():
            for number, step in enumerate(occurrence.steps):
                because.append(
                    f"occurrence {occurrence.number}, step {number}:"
                    f" {step.done_count} of {len(step.tasks)} tasks done,"
                    f" {len(step.waiting)} wait"
                )
                because.extend(
                    f"{task.key.name_in_job}: {len(task.crashed_runs)} workers died"
                    for task in step.tasks
                    if task.crashed_runs
                )
        because.extend(
            f"{run.key.name_in_job} run {run.number} is {run.status.value}"
            f" on {session.entry.worker_id}"
            for session in self._sessions_by_id.values()
            for run in session.runs.values()
            if run.key.job_id == job_id
        )
        return explanation.Explanation(
            subject=f"job {job_id}",
            state=job.state.value,
            waits_for=waits_for,
            because=tuple(because),
            code=codes.ResultCode.OK,
        )

    def count_waiting(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue of which no task has started.

        Jobs with occurrences are not counted.
        """
        return sum(
            1
            for job in self._jobs.active.values()
            if job.spec.queue == queue
            and not job.has_begun
            and not job.spec.occurrences
        )

    def describe_load(self, pool: str) -> dict[str, object]:
        """Return the waiting work of a pool and the use of each of its workers."""
        now = asyncio.get_running_loop().time()
        sessions = [
            session
            for session in self._sessions_by_id.values()
            if session.entry.pool == pool
        ]
        arrivals = self._arrivals_by_pool.get(pool)
        used_cores = sum(
            (session.entry.cpu_millis - session.free_cpu) / 1000 for session in sessions
        )
        demand_now = self._find_demand(pool, used_cores, now)
        arriving_cores = 0.0 if arrivals is None else arrivals.read(now)
        return {
            "arriving_cores": arriving_cores * demand_now.runnable_share,
            "arriving_jobs": 0.0 if arrivals is None else arrivals.read_jobs(now),
            "worker_cores": max(
                (session.entry.cpu_millis / 1000 for session in sessions), default=0.0
            ),
            "waiting_cores": demand_now.waiting_cores,
            "lasting_hosts": max(
                (
                    _count_hosts_of_lasting(step)
                    for job in self._jobs.active.values()
                    if job.spec.pool == pool and job.is_lasting
                    for occurrence in job.occurrences.values()
                    for step in occurrence.steps
                ),
                default=0,
            ),
            "late_cores": self._count_late_cores(sessions, now),
            "workers": {
                session.entry.worker_id: {
                    "used_cores": (session.entry.cpu_millis - session.free_cpu) / 1000,
                    "runs": len(session.runs),
                    "lasting": sum(
                        1 for run in session.runs.values() if run.spec.is_lasting
                    ),
                    "lasting_cores": sum(
                        run.spec.cpu_millis / 1000
                        for run in session.runs.values()
                        if run.spec.is_lasting and not run.spec.is_filler
                    ),
                    "can_take": session.can_take(now),
                    "is_leaving": session.entry.is_draining,
                }
                for session in sessions
            },
        }

    def _find_demand(
        self, pool: str, used_cores: float, now: float
    ) -> pool_demand.Demand:
        """Return the demand of work that can still meet its objective."""
        estimate_ms = self._run_times.estimate_ms
        waiting = [
            (job.spec.team, team_use.needs(step.spec).times(len(step.waiting)))
            for job in self._jobs.active.values()
            if job.spec.pool == pool
            and placement.rank(job, now, estimate_ms)[0] < placement.LATE
            for occurrence in job.occurrences.values()
            for step in occurrence.ready_steps()
        ]
        teams = {team for team, _ in waiting}
        return pool_demand.limit_to_caps(
            waiting, self._quotas.find_room(teams), used_cores
        )

    def _count_late_cores(
        self, sessions: Iterable[worker_session.WorkerSession], now: float
    ) -> float:
        """Return the cores in use by jobs that miss their objective in any case."""
        cores_by_job: dict[str, float] = {}
        for session in sessions:
            for run in session.runs.values():
                if not run.spec.is_lasting and not run.spec.is_filler:
                    cores = run.spec.cpu_millis / 1000
                    job_id = run.key.job_id
                    cores_by_job[job_id] = cores_by_job.get(job_id, 0.0) + cores
        estimate_ms = self._run_times.estimate_ms
        active = self._jobs.active
        return sum(
            cores
            for job_id, cores in cores_by_job.items()
            if job_id in active
            and placement.rank(active[job_id], now, estimate_ms)[0] == placement.LATE
        )

    def evacuate(
        self, worker_id: str, kept_s: float, urgency: model.EvacuationUrgency
    ) -> bool:
        """Give a worker no new work for `kept_s`; True once its host may be taken away.

        Lasting tasks are moved to other workers as far as `StepSpec.may_miss` allows.
        """
        loop = asyncio.get_running_loop()
        session = self._sessions_by_id.get(worker_id)
        is_if_idle = urgency is model.EvacuationUrgency.IF_IDLE
        if is_if_idle and (session is None or session.runs):
            return False
        self._sessions.evacuating[worker_id] = loop.time() + kept_s
        if session is None:
            # After a change of owner, a worker without a session may still execute
            # runs of the previous owner.
            return (
                self._directory.is_loaded
                and worker_id not in self._directory.by_id
                and self._worker_use.is_settled()
            )
        if not session.is_evacuating:
            session.is_evacuating = True
            self._log_event("evacuate", worker=worker_id, runs=len(session.runs))
        if urgency is model.EvacuationUrgency.LEND:
            self._sessions.lending_until[session.entry.pool] = loop.time() + kept_s
            return not session.runs
        for run in list(session.runs.values()):
            if run.spec.is_lasting:
                self._run_watch.move_lasting(run, "its host is to be taken away")
            elif (
                urgency is model.EvacuationUrgency.STOP
                and run.status is worker_run.RunStatus.RUNNING
            ):
                session.stop(run, "its host is to be taken away")
        is_known = session.has_answered or session.lease.has_ended()
        if session.runs or not is_known:
            return False
        self._sessions.release()
        return True


def _count_hosts_of_lasting(step: state.StepState) -> int:
    """Return the smallest number of hosts that can hold the tasks of a lasting step."""
    if not step.spec.is_lasting:
        return 0
    if not step.spec.max_per_worker:
        return 1
    return math.ceil(len(step.tasks) / step.spec.max_per_worker)
