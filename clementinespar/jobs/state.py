"""State of jobs in the owner's memory, and its stored form.

A task is waiting, has one open run (more for speculative copies), or is done. An end is
applied only once: failed runs are kept by their number, so that an end which is listed
again after a change of owner does not count twice. Runs whose worker died are kept in
the same way.
"""

import json
from collections.abc import Callable, Iterator

import pydantic

from clementinespar import decoding
from clementinespar.jobs import model, resources

# Run numbers for each epoch. All numbers of an owner are below those of the next one,
# which knows only the epoch that is stored with the job: see `JobProgress.may_use`.
RUNS_PER_EPOCH = 1000
# An owner adds numbers when fewer are left. At 40 starts a second, the most that
# `worker_session.RENEW_SPACING_S` allows, they last longer than a record takes.
SPARE_RUNS = 100
# Occurrences that are due open only while fewer tasks of their job are open: each task
# takes memory, and a job may ask for any number of occurrences at once.
MAX_OPEN_TASKS = 10_000
_SPECS = pydantic.TypeAdapter(model.JobSpec)


class TaskState:
    """One task of one occurrence."""

    __slots__ = (
        "key",
        "is_done",
        "failed_runs",
        "crashed_runs",
        "at_risk",
        "open_runs",
        "last_run",
        "saved",
        "not_before",
        "failed_on",
    )

    key: model.TaskKey
    is_done: bool
    failed_runs: set[int]
    crashed_runs: set[int]  # under which a worker died
    # Runs whose worker may be dead, or may die before the owner can store that: the
    # worker's id, and its start in Unix ms.
    at_risk: dict[int, tuple[str, int]]
    open_runs: set[int]  # numbers of runs that may be executing
    last_run: int
    saved: str  # newest checkpoint; empty: none
    not_before: float  # event-loop time before which no run starts
    failed_on: set[str]  # workers on which a run failed

    def __init__(self, key: model.TaskKey) -> None:
        self.key = key
        self.is_done = False
        self.failed_runs = set()
        self.crashed_runs = set()
        self.at_risk = {}
        self.open_runs = set()
        self.last_run = 0
        self.saved = ""
        self.not_before = 0.0
        self.failed_on = set()


class StepState:
    """The tasks of one step of one occurrence."""

    __slots__ = ("spec", "tasks", "done_count", "waiting")

    spec: model.StepSpec
    tasks: list[TaskState]
    done_count: int
    waiting: set[int]  # indexes of tasks with no open run that are not done

    def __init__(self, spec: model.StepSpec, tasks: list[TaskState]) -> None:
        self.spec = spec
        self.tasks = tasks
        self.done_count = 0
        self.waiting = set(range(len(tasks)))

    @property
    def is_done(self) -> bool:
        """Whether every task has ended as done."""
        return self.done_count == len(self.tasks)


class Occurrence:
    """One execution of all steps of a job."""

    __slots__ = ("number", "steps", "is_stored")

    number: int
    steps: list[StepState]
    # The store lists the occurrence, so the next owner knows its tasks. Where a job
    # runs once, its adoption says so.
    is_stored: bool

    def __init__(self, job: model.JobSpec, number: int) -> None:
        self.number = number
        self.is_stored = not job.occurrences
        self.steps = [
            StepState(
                spec,
                [
                    TaskState(model.TaskKey(job.job_id, number, step, index))
                    for index in range(spec.task_count)
                ],
            )
            for step, spec in enumerate(job.steps)
        ]

    @property
    def is_done(self) -> bool:
        """Whether every step is done."""
        return all(step.is_done for step in self.steps)

    def ready_steps(self) -> Iterator[StepState]:
        """Yield steps with waiting tasks that may start: all before them are done.

        Before the occurrence is stored, none may. The next owner would take the end of
        such a task for that of a finished job, and would run the task again.
        """
        if not self.is_stored:
            return
        for step in self.steps:
            if step.waiting and all(self.steps[i].is_done for i in step.spec.after):
                yield step


class JobProgress:
    """One job as its owner knows it."""

    __slots__ = (
        "spec",
        "state",
        "occurrences",
        "first_epoch",
        "missing_ranges",
        "adopted_epoch",
        "is_adopted",
        "is_placed",
        "has_begun",
        "is_over_rate",
        "is_unreadable",
        "final_ms",
        "deadline",
        "finished_occurrences",
        "is_final_stored",
        "crashed_workers",
        "crash_version",
        "stored_crash_version",
        "risk_version",
        "stored_risk_version",
        "leftover",
        "leftover_team",
    )

    spec: model.JobSpec
    state: model.JobState
    occurrences: dict[int, Occurrence]
    # Epoch from which run numbers count: that of the first owner which adopted the job,
    # less one for each range of numbers that was added; 0: none.
    first_epoch: int
    missing_ranges: int  # of `RUNS_PER_EPOCH` numbers, which the next record adds
    adopted_epoch: int  # this owner's epoch if it adopted the job, else `first_epoch`
    is_adopted: bool  # the adoption is stored, so tasks may start
    is_placed: bool  # a run of it has begun, or may: its start is decided
    has_begun: bool  # a worker has begun a run of it
    is_over_rate: bool  # its team had submitted more than its rate
    # What previous owners have stored of it cannot be read, so this owner neither
    # starts its tasks nor stores it, unless it is cancelled. It has no occurrences.
    is_unreadable: bool
    final_ms: int  # Unix ms of the final state
    deadline: float  # event-loop time at which the objective of the job ends
    finished_occurrences: int
    is_final_stored: bool  # the final state is stored, so it may be shown
    crashed_workers: set[str]  # that died under a task of the job
    crash_version: int  # increases with each death that counts
    stored_crash_version: int  # of the newest stored progress
    risk_version: int  # increases with each start that is stored before it is sent
    stored_risk_version: int  # of the newest stored progress
    # What runs that were being stopped used when the job reached its final state. It is
    # stored with the team, as the job itself is not kept.
    leftover: resources.Resources
    leftover_team: str

    def __init__(self, spec: model.JobSpec) -> None:
        self.spec = spec
        self.state = model.JobState.QUEUED
        self.occurrences = {}
        self.first_epoch = 0
        self.missing_ranges = 0
        self.adopted_epoch = 0
        self.is_adopted = False
        self.is_placed = False
        self.has_begun = False
        self.is_over_rate = False
        self.is_unreadable = False
        self.final_ms = 0
        self.deadline = 0.0
        self.finished_occurrences = 0
        self.is_final_stored = False
        self.crashed_workers = set()
        self.crash_version = 0
        self.stored_crash_version = 0
        self.risk_version = 0
        self.stored_risk_version = 0
        self.leftover = resources.ZERO
        self.leftover_team = ""
        if not spec.occurrences:
            self.occurrences[0] = Occurrence(spec, 0)

    @property
    def is_final(self) -> bool:
        """Whether the job is in a final state."""
        return self.state in model.FINAL_STATES

    @property
    def is_lasting(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.is_lasting for step in self.spec.steps)

    def mark_begun(self) -> None:
        """Record that a worker has begun a run of the job."""
        self.is_placed = True
        self.has_begun = True
        if self.state is model.JobState.QUEUED:
            self.state = model.JobState.RUNNING

    def review_placement(self) -> None:
        """Count the job as not placed if no run has begun and no start is left."""
        self.is_placed = self.has_begun or any(
            task.open_runs
            for occurrence in self.occurrences.values()
            for step in occurrence.steps
            for task in step.tasks
        )

    def find_task(self, key: model.TaskKey) -> TaskState | None:
        """Return a task, or None if the job has no task with this key."""
        occurrence = self.occurrences.get(key.occurrence)
        if occurrence is None or not 0 <= key.step < len(occurrence.steps):
            return None
        tasks = occurrence.steps[key.step].tasks
        return tasks[key.index] if 0 <= key.index < len(tasks) else None

    def find_step(self, key: model.TaskKey) -> StepState:
        """Return the step of a task of this job."""
        return self.occurrences[key.occurrence].steps[key.step]

    def open_due_occurrences(self, now_ms: float) -> bool:
        """Create the occurrences that have become due; True if there were any.

        While many tasks are open, the others wait until some occurrences are done.
        """
        opened = False
        spec = self.spec
        number = self.finished_occurrences + len(self.occurrences)
        # Finished occurrences are removed from `occurrences` and counted, so the next
        # number is the count of all that were ever opened.
        while (
            number < spec.occurrences
            and spec.first_due_ms + number * spec.period_ms <= now_ms
            and len(self.occurrences) * spec.task_count < MAX_OPEN_TASKS
        ):
            self.occurrences[number] = Occurrence(spec, number)
            number += 1
            opened = True
        return opened

    def next_run(self, task: TaskState, epoch: int) -> int:
        """Return a run number above all earlier ones, including previous owners'."""
        base = (epoch - self.first_epoch) * RUNS_PER_EPOCH
        return max(base, task.last_run) + 1

    def may_use(self, run: int, epoch: int) -> bool:
        """Whether a run number is below those of the next owner, by what is stored.

        If it is not, or will soon not be, also sets `missing_ranges`, and the caller
        has to store the job.
        """
        left = (epoch - self.first_epoch + 1) * RUNS_PER_EPOCH - run
        missing = -((left - SPARE_RUNS) // RUNS_PER_EPOCH)
        self.missing_ranges = max(self.missing_ranges, missing)
        return left >= 0

    def extended_epoch(self) -> int:
        """Return the `first_epoch` of the next record, with the missing ranges."""
        if not self.missing_ranges:
            return self.first_epoch
        return self.first_epoch - self.missing_ranges or -1  # 0 stands for none

    def extend_ranges(self, stored_epoch: int) -> bool:
        """Use the numbers that a stored record has added; False if there are none."""
        if stored_epoch == self.first_epoch:
            return False
        self.first_epoch = stored_epoch
        self.missing_ranges = 0
        return True

    def remaining_ms(self, estimate_ms: Callable[[model.StepSpec], float]) -> float:
        """Return the estimated duration of the longest chain of remaining steps."""
        total = 0.0
        for occurrence in self.occurrences.values():
            lengths: list[float] = []
            for step in occurrence.steps:
                before = max((lengths[i] for i in step.spec.after), default=0.0)
                own = 0.0 if step.is_done else estimate_ms(step.spec)
                lengths.append(before + own)
            total = max(total, max(lengths, default=0.0))
        return total

    def remaining_work(self, estimate_ms: Callable[[model.StepSpec], float]) -> float:
        """Return the estimated core-seconds of tasks that are not done."""
        return sum(
            (len(step.tasks) - step.done_count)
            * step.spec.cpu_millis
            * estimate_ms(step.spec)
            / 1e6
            for occurrence in self.occurrences.values()
            for step in occurrence.steps
        )


def encode_progress(job: JobProgress) -> bytes:
    """Return the stored form of a job's progress."""
    fields: dict[str, object] = {"epoch": job.extended_epoch()}
    if job.is_final:
        fields["state"] = job.state.value
        fields["final_ms"] = job.final_ms
        if any(job.leftover):
            fields["leftover"] = [job.leftover_team, *job.leftover]
        return json.dumps(fields, separators=(",", ":")).encode()
    if job.has_begun:
        fields["started"] = 1
    if job.finished_occurrences:
        fields["finished"] = job.finished_occurrences
    occurrences: dict[str, object] = {}
    for occurrence in job.occurrences.values():
        done: dict[str, str] = {}
        failed: dict[str, list[int]] = {}
        crashed: dict[str, list[int]] = {}
        at_risk: dict[str, dict[str, tuple[str, int]]] = {}
        for number, step in enumerate(occurrence.steps):
            mask = 0
            for index, task in enumerate(step.tasks):
                if task.is_done:
                    mask |= 1 << index
                if task.failed_runs and not step.spec.is_lasting:
                    failed[f"{number}.{index}"] = sorted(task.failed_runs)
                if task.crashed_runs and not task.is_done:
                    crashed[f"{number}.{index}"] = sorted(task.crashed_runs)
                if task.at_risk and not task.is_done:
                    at_risk[f"{number}.{index}"] = {
                        str(run): worker for run, worker in task.at_risk.items()
                    }
            if mask:
                done[str(number)] = f"{mask:x}"
        if done or failed or crashed or at_risk or job.spec.occurrences:
            occurrences[str(occurrence.number)] = {
                "done": done,
                "failed": failed,
                "crashed": crashed,
                "at_risk": at_risk,
            }
    if occurrences:
        fields["occurrences"] = occurrences
    return json.dumps(fields, separators=(",", ":")).encode()


def restore_progress(job: JobProgress, value: bytes) -> None:
    """Apply stored progress to a new job; raises one of `decoding.ERRORS`."""
    fields = decoding.parse_object(value)
    job.first_epoch = int(fields["epoch"])
    job.adopted_epoch = job.first_epoch
    job.is_adopted = True
    if "state" in fields:
        job.state = model.JobState(fields["state"])
        job.final_ms = int(fields["final_ms"])
        job.is_final_stored = True
        job.occurrences.clear()
        if "leftover" in fields:
            job.leftover_team, *amounts = fields["leftover"]
            job.leftover = resources.Resources(*map(int, amounts))
        return
    if fields.get("started"):
        job.mark_begun()
    job.finished_occurrences = int(fields.get("finished", 0))
    for name, occurrence_fields in fields.get("occurrences", {}).items():
        number = int(name)
        occurrence = job.occurrences.setdefault(number, Occurrence(job.spec, number))
        occurrence.is_stored = True
        for step_name, mask_text in occurrence_fields["done"].items():
            step = occurrence.steps[int(step_name)]
            mask = int(mask_text, 16)
            for index, task in enumerate(step.tasks):
                if mask >> index & 1:
                    mark_done(step, task)
        for task_name, runs in occurrence_fields["failed"].items():
            _find_by_name(occurrence, task_name).failed_runs.update(runs)
        for task_name, runs in occurrence_fields.get("crashed", {}).items():
            _find_by_name(occurrence, task_name).crashed_runs.update(runs)
            job.crash_version = job.stored_crash_version = 1
        for task_name, workers in occurrence_fields.get("at_risk", {}).items():
            _find_by_name(occurrence, task_name).at_risk.update(
                (int(run), (str(worker_id), int(born_ms)))
                for run, (worker_id, born_ms) in workers.items()
            )


def _find_by_name(occurrence: Occurrence, name: str) -> TaskState:
    step_name, _, index_name = name.partition(".")
    return occurrence.steps[int(step_name)].tasks[int(index_name)]


def mark_done(step: StepState, task: TaskState) -> None:
    """Mark a task as done, so that it is not started again."""
    if not task.is_done:
        task.is_done = True
        step.done_count += 1
    step.waiting.discard(task.key.index)


def encode_spec(spec: model.JobSpec) -> bytes:
    """Return the stored form of a job as submitted."""
    steps = []
    for step in spec.steps:
        fields: dict[str, object] = {}
        for name in model.StepSpec.__slots__:
            value = getattr(step, name)
            if value or value is not None and name == "may_miss":
                fields[name] = value
        steps.append(fields)
    job_fields: dict[str, object] = {"steps": steps}
    for name in model.JobSpec.__slots__:
        value = getattr(spec, name)
        if name not in ("steps", "job_id") and value:
            job_fields[name] = value
    return json.dumps(job_fields, separators=(",", ":")).encode()


def decode_spec(job_id: str, value: bytes) -> model.JobSpec:
    """Return the job of a stored form; raises one of `decoding.ERRORS`."""
    fields = decoding.parse_object(value)
    return _SPECS.validate_python(
        {"queue": "", "pool": "", "payload": "", **fields, "job_id": job_id}
    )
