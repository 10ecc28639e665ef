"""Order of jobs, choice of workers, and pacing of filling tasks."""

import collections
from collections.abc import Callable, Container

from clementinespar.jobs import model, state, worker_session

# A tail above this share of its target slows what fills beside it, before the bound.
PACE_DOWN_SHARE = 0.85
PACE_UP_SHARE = 0.6
PACE_STEP = 20  # percent added at once while the tails allow it
PACE_INTERVAL_S = 0.6  # the reported tail covers the last half second

# Classes of jobs in the order of their placement.
LASTING = 0
BEGUN = 1
NEW = 2
LATE = 3
BEGUN_TOLERANCE = 0.3  # of the chain that is left; estimates are off by half
NEW_MARGIN = 0.15  # of the chain, for the waits of later steps


def rank(
    job: state.JobProgress,
    now: float,
    estimate_ms: Callable[[model.StepSpec], float],
) -> tuple[int, int, float]:
    """Return the sorting key of a job; the lowest is placed first.

    Lasting work goes first, since it earns all the time. Jobs that have begun and can
    still be in time follow, then new ones by their slack. A new job counts as late
    while it still has some slack: under overload, jobs that begin with none all end
    just after their objective. Late jobs go last, the latest last.
    """
    if job.is_lasting:
        return (LASTING, job.spec.priority, 0.0)
    chain_s = job.remaining_ms(estimate_ms) / 1000
    slack_s = job.deadline - now - chain_s
    if job.has_started:
        if slack_s >= -BEGUN_TOLERANCE * chain_s:
            return (BEGUN, job.spec.priority, slack_s)
    elif slack_s >= NEW_MARGIN * chain_s:
        return (NEW, job.spec.priority, slack_s)
    return (LATE, job.spec.priority, -slack_s)


class FreeCapacity:
    """Free capacity of the workers that may take work in one round."""

    _sessions: list[worker_session.WorkerSession]

    def __init__(self, sessions: list[worker_session.WorkerSession]) -> None:
        self._sessions = sessions

    def has_any(self) -> bool:
        """Whether any worker may have room."""
        return bool(self._sessions)

    def choose(
        self,
        spec: model.StepSpec,
        counts: collections.Counter[str],
        avoided: set[str],
    ) -> worker_session.WorkerSession | None:
        """Return the worker for one more task of a step, or None without room.

        Parameters
        ----------
        counts : collections.Counter
            Tasks of the step on each worker id.
        avoided : set of str
            Workers on which the task failed; taken only if no other has room.
        """
        best: worker_session.WorkerSession | None = None
        best_score: tuple[float, ...] = ()
        for session in self._sessions:
            worker_id = session.entry.worker_id
            if not session.fits(spec):
                continue
            if spec.max_per_worker and counts[worker_id] >= spec.max_per_worker:
                continue
            score = (
                -float(worker_id in avoided),
                -float(bool(spec.data_rack) and session.entry.rack != spec.data_rack),
                -float(counts[worker_id]) if spec.is_lasting else 0.0,
                -_serving_count(session) if spec.is_filler else 0.0,
                float(session.free_cpu),
            )
            if best is None or score > best_score:
                best, best_score = session, score
        return best

    def restrict(self, worker_ids: Container[str]) -> "FreeCapacity":
        """Return the room on some of the workers."""
        return FreeCapacity(
            [s for s in self._sessions if s.entry.worker_id in worker_ids]
        )

    def worker_ids(self) -> list[str]:
        """Return the ids of the workers, those with the most free cores first."""
        ranked = sorted(self._sessions, key=lambda session: -session.free_cpu)
        return [session.entry.worker_id for session in ranked]

    def choose_gang(
        self, spec: model.StepSpec, size: int
    ) -> list[worker_session.WorkerSession] | None:
        """Return a worker for each member, on one rack if possible, or None."""
        by_rack: dict[str, list[worker_session.WorkerSession]] = {}
        for session in self._sessions:
            by_rack.setdefault(session.entry.rack, []).append(session)
        groups = list(by_rack.values()) if spec.is_same_rack else []
        for group in (*groups, self._sessions):
            chosen = _fill_group(group, spec, size)
            if chosen is not None:
                return chosen
        return None


def pace_fillers(session: worker_session.WorkerSession, now: float) -> None:
    """Slow filling tasks while a serving task beside them is near its target."""
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
