"""Order of jobs, choice of workers, and pacing of filler tasks."""

import asyncio
import collections
from collections.abc import Callable, Container

from clementinespar.jobs import model, state, worker_session

# A tail latency above this share of its target slows the fillers on the same worker,
# before the target is exceeded.
PACE_DOWN_SHARE = 0.85
PACE_UP_SHARE = 0.6
PACE_STEP = 20  # percent added at a time while the tail latency is low
PACE_INTERVAL_S = 0.6  # the reported tail latency covers the last half second

# Classes of jobs, placed in this order.
LASTING = 0
STARTED = 1
NEW = 2
LATE = 3
# Shares of the duration of the remaining chain of steps.
STARTED_TOLERANCE = 0.3  # estimates are off by half
NEW_MARGIN = 0.15  # for the time that later steps wait


def rank(
    job: state.JobProgress,
    now: float,
    estimate_ms: Callable[[model.StepSpec], float],
) -> tuple[int, int, float]:
    """Return the sorting key of a job; the lowest is placed first.

    Lasting jobs go first, since they earn worth only while they run. Jobs that have
    started and can still meet their objective follow, then new ones by their slack. A
    new job counts as late when it has little slack left: under overload, jobs that
    start without slack would all end just after their objective. Late jobs go last, the
    latest last.
    """
    if job.is_lasting:
        return (LASTING, job.spec.priority, 0.0)
    chain_s = job.remaining_ms(estimate_ms) / 1000
    slack_s = job.deadline - now - chain_s
    if job.has_started:
        if slack_s >= -STARTED_TOLERANCE * chain_s:
            return (STARTED, job.spec.priority, slack_s)
    elif slack_s >= NEW_MARGIN * chain_s:
        return (NEW, job.spec.priority, slack_s)
    return (LATE, job.spec.priority, -slack_s)


class FreeCapacity:
    """Free capacity of the workers that may take work in one round of placement."""

    _sessions: list[worker_session.WorkerSession]
    _is_packed: bool

    def __init__(
        self, sessions: list[worker_session.WorkerSession], is_packed: bool = False
    ) -> None:
        """Take the workers of one pool.

        Parameters
        ----------
        sessions : list of WorkerSession
            Workers that may take work.
        is_packed : bool
            Whether short tasks go where they leave the least room free, instead of
            where most cores are free. While tasks wait for room, this leaves large
            gaps for wide tasks instead of small ones on every worker.
        """
        self._sessions = sessions
        self._is_packed = is_packed

    def has_any(self) -> bool:
        """Whether there is any worker that may take work."""
        return bool(self._sessions)

    def used_share(self) -> float:
        """Return the share of the cores of the workers that is in use."""
        cores = sum(session.entry.cpu_millis for session in self._sessions)
        free = sum(session.free_cpu for session in self._sessions)
        return 1.0 - free / cores if cores else 1.0

    def choose(
        self,
        spec: model.StepSpec,
        counts: collections.Counter[str],
        avoided: set[str],
    ) -> worker_session.WorkerSession | None:
        """Return the worker for one more task of a step, or None if none can take it.

        Parameters
        ----------
        counts : collections.Counter
            Tasks of the step on each worker id.
        avoided : set of str
            Workers on which the task failed; chosen only if no other can take it.
        """
        now = asyncio.get_running_loop().time()
        best: worker_session.WorkerSession | None = None
        best_score: tuple[float, ...] = ()
        for session in self._sessions:
            worker_id = session.entry.worker_id
            if now < session.isolated_until or not session.fits(spec):
                continue
            if spec.max_per_worker and counts[worker_id] >= spec.max_per_worker:
                continue
            score = (
                -float(worker_id in avoided),
                -float(bool(spec.data_rack) and session.entry.rack != spec.data_rack),
                *_lasting_score(session, spec, counts[worker_id]),
                -_serving_count(session) if spec.is_filler else 0.0,
                -_free_share_after(session, spec)
                if self._is_packed and not spec.is_lasting
                else float(session.free_cpu),
            )
            if best is None or score > best_score:
                best, best_score = session, score
        return best

    def restrict(self, worker_ids: Container[str]) -> "FreeCapacity":
        """Return the free capacity of some of the workers."""
        return FreeCapacity(
            [s for s in self._sessions if s.entry.worker_id in worker_ids],
            self._is_packed,
        )

    def worker_ids(self) -> list[str]:
        """Return the ids of the workers, by falling number of free cores."""
        ranked = sorted(self._sessions, key=lambda session: -session.free_cpu)
        return [session.entry.worker_id for session in ranked]

    def choose_gang(
        self, spec: model.StepSpec, size: int
    ) -> list[worker_session.WorkerSession] | None:
        """Return a worker for each member of a gang, or None if not all fit.

        With `StepSpec.is_same_rack`, the workers are on one rack if possible.
        """
        now = asyncio.get_running_loop().time()
        sessions = [s for s in self._sessions if now >= s.isolated_until]
        by_rack: dict[str, list[worker_session.WorkerSession]] = {}
        for session in sessions:
            by_rack.setdefault(session.entry.rack, []).append(session)
        groups = list(by_rack.values()) if spec.is_same_rack else []
        for group in (*groups, sessions):
            chosen = _fill_group(group, spec, size)
            if chosen is not None:
                return chosen
        return None


def pace_fillers(session: worker_session.WorkerSession, now: float) -> None:
    """Adjust the pace of fillers to the tail latency of serving tasks beside them."""
    fillers = []
    worst = 0.0
    for run in session.runs.values():
        if run.spec.is_filler:
            fillers.append(run)
        elif run.spec.latency_target_ms:
            worst = max(worst, run.usage / run.spec.latency_target_ms)
    for run in fillers:
        if run.status is not worker_session.RunStatus.RUNNING:
            continue
        if run.paced_at is not None and now - run.paced_at < PACE_INTERVAL_S:
            continue
        wanted = run.pace
        if worst > 1.0:
            wanted = 0
        elif worst > PACE_DOWN_SHARE:
            wanted = run.pace // 2
        elif worst < PACE_UP_SHARE:
            wanted = min(100, run.pace + PACE_STEP)
        if wanted != run.pace:
            run.paced_at = now
            session.pace(run, wanted)


def _lasting_score(
    session: worker_session.WorkerSession, spec: model.StepSpec, count: int
) -> tuple[float, float]:
    """Return how well a worker suits one more task of a lasting step.

    Lasting tasks share workers, since a host with a lasting task cannot be lent to a
    pool at its peak. The loss of one worker stays within what the step may miss. Tasks
    that disturb each other are spread instead.

    Parameters
    ----------
    count : int
        Tasks of the step on the worker.
    """
    if not spec.is_lasting:
        return (0.0, 0.0)
    if spec.is_filler or spec.latency_target_ms:
        return (-float(count), 0.0)
    shareable = max(1, spec.may_miss or 1)
    lasting_count = sum(1 for run in session.runs.values() if run.spec.is_lasting)
    return (-float(max(0, count + 1 - shareable)), float(lasting_count))


def _free_share_after(
    session: worker_session.WorkerSession, spec: model.StepSpec
) -> float:
    """Return the shares of cores and memory left free beside one more task."""
    entry = session.entry
    free_cores = (session.free_cpu - spec.cpu_millis) / max(1, entry.cpu_millis)
    free_memory = (session.free_memory - spec.memory_mb) / max(1, entry.memory_mb)
    return free_cores + free_memory


def _serving_count(session: worker_session.WorkerSession) -> float:
    return float(sum(1 for run in session.runs.values() if run.spec.latency_target_ms))


def _fill_group(
    group: list[worker_session.WorkerSession], spec: model.StepSpec, size: int
) -> list[worker_session.WorkerSession] | None:
    chosen: list[worker_session.WorkerSession] = []
    for session in sorted(group, key=lambda s: -s.free_cpu):
        member_count = size
        if spec.cpu_millis and not spec.is_filler:
            member_count = min(member_count, session.free_cpu // spec.cpu_millis)
        if spec.memory_mb:
            member_count = min(member_count, session.free_memory // spec.memory_mb)
        if spec.gpus:
            member_count = min(member_count, session.free_gpus // spec.gpus)
        if spec.max_per_worker:
            member_count = min(member_count, spec.max_per_worker)
        if spec.label and spec.label not in session.entry.labels:
            member_count = 0
        chosen.extend([session] * max(0, member_count))
        if len(chosen) >= size:
            return chosen[:size]
    return None
