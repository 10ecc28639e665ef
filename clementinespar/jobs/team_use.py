"""What the tasks of each team use in a partition.

It follows each run that is added or dropped. What earlier owners may have started and
this one does not know yet counts as a bound for each of their jobs: of the known use of
a job and its bound, the larger one counts.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Protocol

from clementinespar.jobs import model, resources, state

# The clock of an earlier owner may be ahead, so that it has opened occurrences early.
CLOCK_MARGIN_MS = 1_000


class TrackedRun(Protocol):
    """A run as `worker_run.Run` has it."""

    key: model.TaskKey
    spec: model.StepSpec
    team: str


def needs(spec: model.StepSpec) -> resources.Resources:
    """Return what one task of a step uses.

    Fillers count with the cores that they ask for, like other tasks.
    """
    return resources.Resources(spec.cpu_millis, spec.memory_mb, spec.gpus)


def bound_running(job: state.JobProgress, now_ms: float) -> resources.Resources:
    """Return a bound of what the tasks of a job that are not done use at one time.

    Tasks of two steps run at the same time only if neither step comes after the other,
    so of each chain of steps the largest one counts. The progress that this owner has
    read may be older than what the earlier owner knew, so a later step of a chain may
    be the one that runs.
    """
    total = resources.ZERO
    for occurrence in (*job.occurrences.values(), *_due_occurrences(job, now_ms)):
        predecessors: list[int] = []  # for each step, the mask of all steps before it
        chains: list[tuple[int, resources.Resources]] = []  # last step, largest use
        for number, step in enumerate(occurrence.steps):
            mask = 0
            for earlier in step.spec.after:
                mask |= 1 << earlier | predecessors[earlier]
            predecessors.append(mask)
            count = len(step.tasks) - step.done_count
            if step.spec.is_speculative:
                count *= 2  # a copy of each
            if not count:
                continue
            use = needs(step.spec).times(count)
            for position, (last, largest) in enumerate(chains):
                if mask >> last & 1:
                    chains[position] = (number, largest.max_with(use))
                    break
            else:
                chains.append((number, use))
        for _, largest in chains:
            total = total.plus(largest)
    return total


def _due_occurrences(
    job: state.JobProgress, now_ms: float
) -> Iterator[state.Occurrence]:
    """Yield the occurrences that an earlier owner may have opened."""
    spec = job.spec
    number = job.finished_occurrences + len(job.occurrences)
    until_ms = now_ms + CLOCK_MARGIN_MS
    while (
        number < spec.occurrences
        and spec.first_due_ms + number * spec.period_ms <= until_ms
    ):
        yield state.Occurrence(spec, number)
        number += 1


class TeamUse:
    """Use by team, kept by `WorkerSession.add_run` and `drop_run`."""

    by_team: dict[str, resources.Resources]
    bounds_by_job: Mapping[str, tuple[str, resources.Resources]]  # team and bound
    _known_by_job: dict[str, resources.Resources]  # of the jobs with a bound

    def __init__(self) -> None:
        self.by_team = {}
        self.bounds_by_job = {}
        self._known_by_job = {}

    def add(self, run: TrackedRun) -> None:
        """Count a run as in use."""
        if run.team:
            self._change(run, 1)

    def drop(self, run: TrackedRun) -> None:
        """Count a run as ended."""
        if run.team:
            self._change(run, -1)

    def rebuild(
        self,
        runs: Iterable[TrackedRun],
        bounds_by_job: Mapping[str, tuple[str, resources.Resources]],
    ) -> None:
        """Replace the bounds, and count anew from the runs that are tracked."""
        self.by_team = {}
        self._known_by_job = {}
        self.bounds_by_job = bounds_by_job
        for team, bound in bounds_by_job.values():
            self.by_team[team] = self.by_team.get(team, resources.ZERO).plus(bound)
        for run in runs:
            self.add(run)

    def _change(self, run: TrackedRun, sign: int) -> None:
        change = needs(run.spec).times(sign)
        job_id = run.key.job_id
        if job_id in self.bounds_by_job:
            bound = self.bounds_by_job[job_id][1]
            before = self._known_by_job.get(job_id, resources.ZERO)
            after = self._known_by_job[job_id] = before.plus(change)
            change = after.max_with(bound).minus(before.max_with(bound))
        use = self.by_team.get(run.team, resources.ZERO).plus(change)
        if any(use):
            self.by_team[run.team] = use
        else:
            self.by_team.pop(run.team, None)
