"""Restores what previous owners of a partition have stored, and adopts their runs."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from clementinespar import decoding
from clementinespar.jobs import (
    job_table,
    model,
    services,
    state,
    telemetry,
    worker_lease,
    worker_run,
    worker_session,
    worker_use,
)


def restore_jobs(
    progress: Mapping[str, bytes],
    commands: Iterable[services.KeyedRecord],
    log_event: services.EventLog,
) -> list[state.JobProgress]:
    """Return the jobs that previous owners had adopted.

    One whose records cannot be read is returned as unreadable: it may have run.

    Parameters
    ----------
    progress : mapping of str to bytes
        The newest progress records by key.
    commands : iterable of services.KeyedRecord
        The newest commands, which hold the jobs as submitted.
    """
    specs = {
        record.key[1:]: record.value
        for record in commands
        if record.key.startswith("j")
    }
    jobs = []
    for key, value in progress.items():
        if not key.startswith("p"):
            continue
        job_id = key[1:]
        spec = None
        try:
            if job_id in specs:
                spec = state.decode_spec(job_id, specs[job_id])
        except decoding.ERRORS as error:
            telemetry.log_invalid_entry(log_event, "j" + job_id, error)
        known_spec = spec or model.JobSpec(job_id, "", "", "", ())
        job = state.JobProgress(known_spec)
        try:
            state.restore_progress(job, value)
            if spec is None and not job.is_final:
                raise decoding.DecodingError("an open job without a readable command")
        except decoding.ERRORS as error:
            telemetry.log_invalid_entry(log_event, key, error)
            job = state.JobProgress(known_spec)
            job.occurrences.clear()
            job.is_unreadable = True
        jobs.append(job)
    return jobs


def take_over_jobs(
    found: Iterable[state.JobProgress],
    jobs: job_table.JobTable,
    take_over: Callable[[state.JobProgress], None],
    log_event: services.EventLog,
) -> list[state.JobProgress]:
    """Take over jobs one by one, and return those that raised no error.

    One that raises an error, or that is unreadable, stays known, so that it is not
    taken for a new job, but does not run under this owner.

    Parameters
    ----------
    take_over : callable
        Makes a job active unless it is final.
    """
    taken = []
    for job in found:
        job_id = job.spec.job_id
        jobs.by_id[job_id] = job
        if job.is_unreadable:
            continue
        try:
            take_over(job)
        except Exception as error:
            jobs.active.pop(job_id, None)
            telemetry.log_unexpected(log_event, "job", error, job=job_id)
        else:
            taken.append(job)
    return taken


def restore_worker_use(
    use: worker_use.WorkerUse,
    progress: Mapping[str, bytes],
    confirmed_until: float,
    lease_max_s: float,
    log_event: services.EventLog,
) -> None:
    """Restore which workers the previous owners may still have leases on.

    Parameters
    ----------
    progress : mapping of str to bytes
        The newest progress records by key.
    confirmed_until : float
        Event-loop time that no confirmation of the previous owners is later than, and
        after which they could store nothing.
    lease_max_s : float
        Longest lease that a worker grants, in seconds.
    """
    if "workers" not in progress:
        return
    lease_s = worker_lease.find_previous_s(lease_max_s)
    try:
        use.restore(progress["workers"], confirmed_until, lease_s)
    except decoding.ERRORS as error:
        telemetry.log_invalid_entry(log_event, "workers", error)
        use.wait_for_all(confirmed_until, lease_s)


def adopt_run(
    jobs: job_table.JobTable,
    session: worker_session.WorkerSession,
    listed: model.RunningTask,
) -> worker_run.Run | None:
    """Return the run to track for one of a previous owner; None if unwanted.

    The runs of an unreadable job go on; their ends wait for an owner that can read it.
    """
    found = jobs.find_open_task(listed.task)
    if found is None:
        return _adopt_unread(jobs.by_id.get(listed.task.job_id), session, listed)
    job, task = found
    step = job.find_step(listed.task)
    task.last_run = max(task.last_run, listed.run)
    if task.is_done or (task.open_runs and not step.spec.is_speculative):
        return None
    run = _track_run(job, step.spec, session, listed)
    run.is_suspect = bool(task.crashed_runs)
    task.open_runs.add(listed.run)
    if task.at_risk.pop(listed.run, None) is not None:
        jobs.store_soon(job)
    step.waiting.discard(listed.task.index)
    return run


def _adopt_unread(
    job: state.JobProgress | None,
    session: worker_session.WorkerSession,
    listed: model.RunningTask,
) -> worker_run.Run | None:
    """Return the run to track for one of an unreadable job; None if it is not one."""
    if job is None or job.is_final or not job.is_unreadable:
        return None
    if not 0 <= listed.task.step < len(job.spec.steps):
        return None
    return _track_run(job, job.spec.steps[listed.task.step], session, listed)


def _track_run(
    job: state.JobProgress,
    step: model.StepSpec,
    session: worker_session.WorkerSession,
    listed: model.RunningTask,
) -> worker_run.Run:
    now = asyncio.get_running_loop().time()
    run = worker_run.Run(listed.task, listed.run, step, session, now, job.spec.team)
    run.status = worker_run.RunStatus.RUNNING
    run.percent = listed.percent
    run.is_adopted = True
    return run
