"""The jobs of one partition as its owner knows them, and what is to be done soon."""

import asyncio

from clementinespar.jobs import model, released_jobs, state


class JobTable:
    """Jobs of a partition, shared by the parts of its owner."""

    by_id: dict[str, state.JobProgress]
    active: dict[str, state.JobProgress]  # not in a final state, by id
    dirty: dict[str, state.JobProgress]  # changed since the last append, by id
    # Ids of jobs with a stored final state whose commands have to be deleted. A caller
    # may submit such a job again, which stores another one.
    finished_commands: set[str]
    released: released_jobs.ReleasedJobs
    flush_wanted: asyncio.Event  # requests an append
    schedule_wanted: asyncio.Event  # requests a round of placement

    def __init__(self) -> None:
        self.by_id = {}
        self.active = {}
        self.dirty = {}
        self.finished_commands = set()
        self.flush_wanted = asyncio.Event()
        self.schedule_wanted = asyncio.Event()
        self.released = released_jobs.ReleasedJobs(
            self.finished_commands, self.flush_wanted
        )

    def find_open_task(
        self, key: model.TaskKey
    ) -> tuple[state.JobProgress, state.TaskState] | None:
        """Return a task and its job; None if the job is final or either is unknown."""
        job = self.by_id.get(key.job_id)
        task = None if job is None or job.is_final else job.find_task(key)
        return None if job is None or task is None else (job, task)

    def mark_dirty(self, job: state.JobProgress) -> None:
        """Store the progress of a job with the next append."""
        self.dirty[job.spec.job_id] = job

    def store_soon(self, job: state.JobProgress) -> None:
        """Store the progress of a job at once."""
        self.mark_dirty(job)
        self.flush_wanted.set()
