"""Which runs of late jobs give their room to tasks that can still be in time.

The load it answers: during an overload and after it, jobs that miss their objective in
any case run for seconds, while newer jobs wait in the same pool, or in one that lacks
hosts. A task with checkpoints continues elsewhere from where it was stopped, so that a
stop costs a restart, but no work.
"""

from collections.abc import Callable, Iterable, Iterator

from clementinespar.jobs import resources, team_use, worker_run, worker_session

# Between two choices for one pool: the room of a stopped run is free only when its end
# is listed, and the tasks that wait for it would be counted again before.
PREEMPTION_INTERVAL_S = 0.3
# A run that has just resumed from its checkpoint would only be restored again.
MIN_RUN_S = 0.5
MAX_PERCENT = 80  # a run that is nearly done frees its room about as soon by itself


def find_yielding(
    session: worker_session.WorkerSession,
    is_late: Callable[[str], bool],
    now: float,
) -> Iterator[worker_run.Run]:
    """Yield the runs on a worker that may be stopped for others.

    Parameters
    ----------
    is_late : callable
        Whether the job with an id misses its objective in any case.
    """
    for run in session.runs.values():
        spec = run.spec
        if (
            spec.has_checkpoints
            and not (spec.is_lasting or spec.is_gang or spec.is_filler)
            and run.status is worker_run.RunStatus.RUNNING
            and run.percent <= MAX_PERCENT
            and now - run.started_at >= MIN_RUN_S
            and is_late(run.key.job_id)
        ):
            yield run


def choose_runs(
    lacking: resources.Resources,
    sessions: Iterable[worker_session.WorkerSession],
    is_late: Callable[[str], bool],
    now: float,
) -> list[worker_run.Run]:
    """Return the runs to stop, so that waiting tasks find room.

    Workers with the most room after the stops come first: wide tasks need large gaps.

    Parameters
    ----------
    lacking : resources.Resources
        What the waiting tasks need beyond what is being freed already.
    """
    options = []
    for session in sessions:
        runs = list(find_yielding(session, is_late, now))
        if runs:
            freed = sum(run.spec.cpu_millis for run in runs)
            options.append((session.free_cpu + freed, runs))
    options.sort(key=lambda option: -option[0])
    chosen: list[worker_run.Run] = []
    for _, runs in options:
        for run in runs:
            if lacking.cpu_millis <= 0 and lacking.memory_mb <= 0:
                return chosen
            chosen.append(run)
            lacking = lacking.minus(team_use.needs(run.spec))
    return chosen
