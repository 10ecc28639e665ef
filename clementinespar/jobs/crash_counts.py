"""Limits how many workers one task may crash.

A worker that dies lists no ends. The tasks that it started last are suspects, and most
of them are innocent: they run elsewhere at once. A job whose tasks have seen two
workers die goes on with one task at a time, so that another death names its cause.
"""

from collections.abc import Iterable, Iterator

from clementinespar.jobs import state, worker_run

# A job is on probation after the deaths of this many workers, or of this many under one
# of its tasks.
PROBATION_CRASHES = 2
# A task that has seen this many deaths starts only where no other has just started.
ISOLATED_CRASHES = 2
ISOLATION_LIMIT_S = 2.0  # a task is not isolated if that delays it longer than this
MAX_CRASHES = 3  # of a task, if no other step was suspect of the last one
MAX_SHARED_CRASHES = 5  # of a task, if others were always suspect as well
# A run that started this long before its worker was noticed to be silent is suspect.
# Without a reset of its connections, a dead worker is noticed by a renewal's timeout.
SUSPECT_S = 1.5
# The runs that started this long before the last sign of life, and the first ones that
# started after it, are more suspect than the others.
PRIME_SUSPECT_S = 0.3
SAME_ROUND_S = 0.005  # runs that start within this time started together


def find_suspects(
    runs: Iterable[worker_run.Run], silent_at: float, alive_at: float
) -> list[worker_run.Run]:
    """Return the runs that may have crashed their worker.

    Parameters
    ----------
    silent_at : float
        Event-loop time at which the worker was first noticed to be silent.
    alive_at : float
        Event-loop time of its last answer before that.
    """
    suspects = [
        run
        for run in runs
        if not run.is_unsent and silent_at - run.started_at <= SUSPECT_S
    ]
    unheard = [run.started_at for run in suspects if run.started_at > alive_at]
    # Starts after the first one that got no answer may have met a dead worker.
    first_until = min(unheard, default=alive_at) + SAME_ROUND_S
    prime = [
        run
        for run in suspects
        if alive_at - PRIME_SUSPECT_S <= run.started_at <= first_until
    ]
    return prime or suspects


def record(
    job: state.JobProgress, task: state.TaskState, run: int, worker_id: str
) -> bool:
    """Count the death of a worker under a run; False if it was counted before."""
    task.at_risk.pop(run, None)
    if task.is_done or run in task.crashed_runs:
        return False
    task.crashed_runs.add(run)
    job.crashed_workers.add(worker_id)
    job.crash_version += 1
    return True


def has_survived(run: worker_run.Run, now: float) -> bool:
    """Whether a run has gone on for too long to be suspect of a later death.

    A start without an answer, or a run that is being stopped, may have ended with its
    worker before that worker was back.
    """
    is_running = run.status is worker_run.RunStatus.RUNNING
    return is_running and now - run.started_at > SUSPECT_S


def is_exceeded(task: state.TaskState, is_sole: bool) -> bool:
    """Whether too many workers have died under a task to start it again.

    Parameters
    ----------
    is_sole : bool
        No other step is suspect of the last death.
    """
    return len(task.crashed_runs) >= (MAX_CRASHES if is_sole else MAX_SHARED_CRASHES)


def is_isolated(task: state.TaskState, now: float) -> bool:
    """Whether a task may only start where no other task has just started."""
    return (
        len(task.crashed_runs) >= ISOLATED_CRASHES
        and now - task.not_before < ISOLATION_LIMIT_S
    )


def is_held(task: state.TaskState) -> bool:
    """Whether a task waits until it is known which workers have died under it.

    Near the limit, a worker that may have died counts like one that has. A task that
    has seen no death is never held: its workers may only be cut off.
    """
    return (
        bool(task.crashed_runs)
        and len(task.crashed_runs) + len(task.at_risk) >= MAX_SHARED_CRASHES
    )


def is_ready(job: state.JobProgress, task: state.TaskState, now: float) -> bool:
    """Whether a waiting task could start now if there was room for it.

    The starts of tasks that have seen a death are stored before they are sent. None is
    planned while an earlier one of the job is not stored.
    """
    if task.not_before > now:
        return False
    is_stored = job.stored_risk_version == job.risk_version
    return not task.crashed_runs or (is_stored and not is_held(task))


def has_ready_tasks(job: state.JobProgress, now: float) -> bool:
    """Whether a task of a job could start now if there was room for it."""
    return any(
        is_ready(job, step.tasks[index], now)
        for occurrence in job.occurrences.values()
        for step in occurrence.ready_steps()
        for index in step.waiting
    )


def is_on_probation(job: state.JobProgress) -> bool:
    """Whether only one task of a job may run at a time."""
    if job.crash_version == 0 or job.is_lasting:
        return False
    return (
        len(job.crashed_workers) >= PROBATION_CRASHES
        or _max_crashes(job) >= PROBATION_CRASHES
    )


def may_start(job: state.JobProgress) -> bool:
    """Whether tasks of a job may start as far as the stored counts are concerned.

    A count near the limit is stored before the next start, so that the next owner knows
    it even if this one dies with the worker.
    """
    is_stored = job.stored_crash_version == job.crash_version
    return is_stored or _max_crashes(job) < PROBATION_CRASHES


def choose_alone(
    job: state.JobProgress, step: state.StepState, indexes: set[int]
) -> set[int]:
    """Return the one task of a step that may start on probation, or none.

    It is the most suspect one, and starts once no other task of the job runs.
    """
    if any(task.open_runs for task in open_tasks(job)):
        return set()
    return {
        max(indexes, key=lambda index: (len(step.tasks[index].crashed_runs), -index))
    }


def acquit(job: state.JobProgress, task: state.TaskState) -> bool:
    """Clear a task that ran without a death of its worker; True if that changed it.

    A gang is cleared as a whole by the end of one member.
    """
    if not task.crashed_runs and not job.crashed_workers:
        return False
    task.crashed_runs.clear()
    job.crashed_workers.clear()
    return True


def open_tasks(job: state.JobProgress) -> Iterator[state.TaskState]:
    """Yield the tasks of a job that are not done."""
    for occurrence in job.occurrences.values():
        for step in occurrence.steps:
            yield from (task for task in step.tasks if not task.is_done)


def _max_crashes(job: state.JobProgress) -> int:
    return max((len(task.crashed_runs) for task in open_tasks(job)), default=0)
