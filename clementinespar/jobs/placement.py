"""Order of jobs, choice of workers, and pacing of filler tasks."""

import asyncio
import collections
import dataclasses
import operator
from collections.abc import Callable, Container, Set

from clementinespar.jobs import (
    interference,
    model,
    passed_over,
    state,
    worker_run,
    worker_session,
)

# A tail latency above this share of its target slows the fillers on the same worker,
# before the target is exceeded.
PACE_DOWN_SHARE = 0.85
PACE_UP_SHARE = 0.6
PACE_STEP = 20  # percent added at a time while the tail latency is low
PACE_INTERVAL_S = 0.6  # the reported tail latency covers the last half second
# A predicted pace is ordered only if it differs by this many percent, since each order
# is a call.
PACE_DIFFERENCE = 10
# After a predicted pace that led to a tail latency above its target, the fixed steps
# are used for this long.
PREDICTION_PAUSE_S = 5.0
# Workers whose expected slow-downs differ by less are equally good.
SLOW_DOWN_STEP = 0.05

# Classes of jobs, placed in this order.
LASTING = 0
STARTED = 1
NEW = 2
LATE = 3
CLASS_NAMES = ("lasting", "started", "new", "late")
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
    if job.is_placed:
        if slack_s >= -STARTED_TOLERANCE * chain_s:
            return (STARTED, job.spec.priority, slack_s)
    elif slack_s >= NEW_MARGIN * chain_s:
        return (NEW, job.spec.priority, slack_s)
    return (LATE, job.spec.priority, -slack_s)


# What the parts of the score of a worker stand for; the last is the room.
SCORE_REASONS = (
    passed_over.Reason.FAILED_THERE,
    passed_over.Reason.OTHER_RACK,
    passed_over.Reason.SPREAD,
    passed_over.Reason.SHARED,
    passed_over.Reason.SERVING,
    passed_over.Reason.SLOWER,
    passed_over.Reason.ROOM,
)
_SCORE_OF = operator.itemgetter(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A worker that was considered for a task.

    Attributes
    ----------
    reason : passed_over.Reason or None
        Why it is passed over; None: it is the chosen one.
    """

    session: worker_session.WorkerSession
    reason: passed_over.Reason | None


class FreeCapacity:
    """Free capacity of the workers that may take work in one round of placement."""

    _sessions: list[worker_session.WorkerSession]
    _is_packed: bool
    _interference: interference.InterferenceModel | None  # None: nothing is learnt

    def __init__(
        self,
        sessions: list[worker_session.WorkerSession],
        interference_model: interference.InterferenceModel | None = None,
        is_packed: bool = False,
    ) -> None:
        """Take the workers of one pool.

        Parameters
        ----------
        sessions : list of WorkerSession
            Workers that may take work.
        interference_model : InterferenceModel or None
            What is learnt about images that slow each other down.
        is_packed : bool
            Whether short tasks go where they leave the least room free, instead of
            where most cores are free. While tasks wait for room, this leaves large
            gaps for wide tasks instead of small ones on every worker.
        """
        self._sessions = sessions
        self._interference = interference_model
        self._is_packed = is_packed

    def has_any(self) -> bool:
        """Whether there is any worker that may take work."""
        return bool(self._sessions)

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
        scored = self._judge(spec, counts, avoided)
        return max(scored, key=_SCORE_OF, default=(None, ()))[0]

    def _judge(
        self,
        spec: model.StepSpec,
        counts: collections.Counter[str],
        avoided: Set[str],
        unable: list[Candidate] | None = None,
    ) -> list[tuple[worker_session.WorkerSession, tuple[float, ...]]]:
        """Return the workers that can take one more task of a step, with their scores.

        Parameters
        ----------
        unable : list of Candidate, optional
            Gets the other workers with what is against them.
        """
        now = asyncio.get_running_loop().time()
        limit = spec.max_per_worker
        scored: list[tuple[worker_session.WorkerSession, tuple[float, ...]]] = []
        for session in self._sessions:
            worker_id = session.entry.worker_id
            obstacle: passed_over.Reason | None
            if now < session.isolated_until:
                obstacle = passed_over.Reason.ISOLATED
            else:
                obstacle = session.find_lack(spec)
                if obstacle is None and limit and counts[worker_id] >= limit:
                    obstacle = passed_over.Reason.LIMIT
            if obstacle is not None:
                if unable is not None:
                    unable.append(Candidate(session, obstacle))
                continue
            is_elsewhere = bool(spec.data_rack) and session.entry.rack != spec.data_rack
            score = (
                -float(worker_id in avoided),
                -float(is_elsewhere),
                *_lasting_score(session, spec, counts[worker_id]),
                -_serving_count(session) if spec.is_filler else 0.0,
                0.0
                if self._interference is None
                else -slow_down_step(session, spec, self._interference),
                -_free_share_after(session, spec)
                if self._is_packed and not spec.is_lasting
                else float(session.free_cpu),
            )
            scored.append((session, score))
        return scored

    def rank(
        self,
        spec: model.StepSpec,
        counts: collections.Counter[str],
        avoided: set[str],
    ) -> list[worker_session.WorkerSession]:
        """Return the workers that can take one more task of a step, best first."""
        scored = self._judge(spec, counts, avoided)
        scored.sort(key=_SCORE_OF, reverse=True)  # equal ones keep their order
        return [session for session, _ in scored]

    def explain_choice(
        self,
        spec: model.StepSpec,
        counts: collections.Counter[str],
        avoided: set[str],
    ) -> list[Candidate]:
        """Return all workers, the one that `choose` returns first, and best first."""
        chosen = self.choose(spec, counts, avoided)
        unable: list[Candidate] = []
        scored = self._judge(spec, counts, avoided, unable)
        scored.sort(key=_SCORE_OF, reverse=True)  # equal ones keep their order
        candidates = []
        for session, score in scored:
            reason = None
            if session is not chosen:
                reason = self._compare(score, scored[0][1], spec)
            candidates.append(Candidate(session, reason))
        return candidates + unable

    def _compare(
        self, score: tuple[float, ...], best: tuple[float, ...], spec: model.StepSpec
    ) -> passed_over.Reason:
        for own, other, reason in zip(score, best, SCORE_REASONS, strict=True):
            if own != other:
                is_packing = self._is_packed and not spec.is_lasting
                if reason is passed_over.Reason.ROOM and is_packing:
                    return passed_over.Reason.PACKED
                return reason
        return passed_over.Reason.EQUAL

    def explain_gang(self, spec: model.StepSpec, size: int) -> list[Candidate]:
        """Return all workers, those that `choose_gang` returns first."""
        chosen = self.choose_gang(spec, size)
        members = {} if chosen is None else {id(s): s for s in chosen}
        candidates = [Candidate(session, None) for session in members.values()]
        unable: list[Candidate] = []
        for session, _ in self._judge(spec, collections.Counter(), set(), unable):
            if id(session) in members:
                continue
            reason = passed_over.Reason.ROOM
            if chosen is None:
                reason = passed_over.Reason.WHOLE_GANG
            elif spec.is_same_rack and session.entry.rack != chosen[0].entry.rack:
                reason = passed_over.Reason.OTHER_RACK
            candidates.append(Candidate(session, reason))
        return candidates + unable

    def restrict(self, worker_ids: Container[str]) -> "FreeCapacity":
        """Return the free capacity of some of the workers."""
        return FreeCapacity(
            [s for s in self._sessions if s.entry.worker_id in worker_ids],
            self._interference,
            self._is_packed,
        )

    def sessions(self) -> list[worker_session.WorkerSession]:
        """Return the workers, by falling number of free cores."""
        return sorted(self._sessions, key=lambda session: -session.free_cpu)

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


def slow_down(
    session: worker_session.WorkerSession,
    spec: model.StepSpec,
    learnt: interference.InterferenceModel,
    leaving: worker_run.Run | None = None,
) -> float:
    """Return the expected interference of one more task with those on a worker.

    It is the sum of what the task does to the others, as a share of their run time or
    of their target, and of what they do to it.

    Parameters
    ----------
    leaving : worker_run.Run, optional
        A run on the worker that does not count.
    """
    if not spec.image:
        return 0.0
    measure = _find_measure(spec)
    total = 0.0
    for run in session.runs.values():
        if run is leaving:
            continue
        image = run.spec.image
        total += learnt.effect(measure, spec.image, image)
        total += learnt.effect(_find_measure(run.spec), image, spec.image)
    return total


def slow_down_step(
    session: worker_session.WorkerSession,
    spec: model.StepSpec,
    learnt: interference.InterferenceModel,
) -> float:
    """Return the expected interference in whole steps of `SLOW_DOWN_STEP`."""
    return float(round(slow_down(session, spec, learnt) / SLOW_DOWN_STEP))


def lasting_loss(
    session: worker_session.WorkerSession,
    run: worker_run.Run,
    learnt: interference.InterferenceModel,
) -> float:
    """Return the work lost each second by a lasting run on a worker, in task-seconds.

    A filler loses what its pace takes away because of a serving task that it disturbs.
    A serving task counts as losing nothing, since the fillers beside it are paced.
    """
    spec = run.spec
    if spec.latency_target_ms:
        return 0.0
    if not spec.is_filler:
        return slow_down(session, spec, learnt, run)
    is_disturbing = any(
        learnt.effect(interference.Measure.TAIL, other.spec.image, spec.image)
        for other in session.runs.values()
        if other.spec.latency_target_ms
    )
    if not is_disturbing:
        return 0.0
    # Elsewhere, beside another serving task that it disturbs, it may gain nothing.
    return 1.0 if session is not run.session else 1.0 - max(0, run.pace) / 100


def pace_fillers(
    session: worker_session.WorkerSession,
    now: float,
    learnt: interference.InterferenceModel | None = None,
) -> None:
    """Adjust the pace of fillers to the tail latency of serving tasks beside them.

    With evidence, the pace is the one at which the predicted tail latency stays below
    `PACE_DOWN_SHARE` of its target. Without, and for some time after a prediction that
    was wrong, the pace changes by fixed steps. A tail latency above its target stops
    the fillers in any case.
    """
    fillers = []
    serving = []
    worst = 0.0
    for run in session.runs.values():
        if run.spec.is_filler:
            fillers.append(run)
        elif run.spec.latency_target_ms:
            serving.append(run)
            worst = max(worst, run.usage / run.spec.latency_target_ms)
    predicted = None
    if learnt is not None and fillers and now >= session.predictions_paused_until:
        predicted = _predict_pace(fillers, serving, learnt)
    for run in fillers:
        if run.status is not worker_run.RunStatus.RUNNING:
            continue
        is_recent = run.paced_at is not None and now - run.paced_at < PACE_INTERVAL_S
        if worst > 1.0 and run.is_pace_predicted:
            # The fixed steps might have given no order here within the interval.
            is_recent = False
            session.predictions_paused_until = now + PREDICTION_PAUSE_S
        if is_recent:
            continue
        wanted = run.pace
        is_predicted = False
        if worst > 1.0:
            wanted = 0
        elif predicted is not None and run.pace >= 0:
            is_predicted = True
            if worst > PACE_DOWN_SHARE:
                wanted = min(run.pace, predicted)
            elif abs(predicted - run.pace) >= PACE_DIFFERENCE or predicted == 100:
                wanted = predicted
        elif worst > PACE_DOWN_SHARE:
            wanted = run.pace // 2
        elif worst < PACE_UP_SHARE:
            wanted = min(100, run.pace + PACE_STEP)
        if wanted != run.pace:
            run.paced_at = now
            run.is_pace_predicted = is_predicted
            session.pace(run, wanted)


def _predict_pace(
    fillers: list[worker_run.Run],
    serving: list[worker_run.Run],
    learnt: interference.InterferenceModel,
) -> int | None:
    """Return the pace at which all tail latencies are expected to stay low enough.

    Returns None if there is no verdict on a filler and a serving task that meet here.
    """
    pace = 1.0
    for run in serving:
        if run.usage <= 0:
            return None
        harm = 0.0  # of all fillers at full speed, as a share of the target
        present = 0.0  # at their present pace
        for filler in fillers:
            verdict = learnt.find_verdict(
                interference.Measure.TAIL, run.spec.image, filler.spec.image
            )
            if verdict is None:
                return None
            # An estimate that is too low would lead to a pace that is too high.
            effect = verdict[0] + verdict[1]
            harm += effect
            present += effect * max(0, filler.pace) / 100
        share = run.usage / run.spec.latency_target_ms
        pace = min(pace, (PACE_DOWN_SHARE - share + present) / harm)
    return int(100 * max(0.0, pace)) if serving else None


def _find_measure(spec: model.StepSpec) -> interference.Measure:
    if spec.latency_target_ms:
        return interference.Measure.TAIL
    return interference.Measure.RUN_TIME


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


def count_fitting(
    session: worker_session.WorkerSession, spec: model.StepSpec, most: int
) -> int:
    """Return how many more tasks of a step a worker has room for, up to `most`."""
    count = most
    if spec.cpu_millis and not spec.is_filler:
        count = min(count, session.free_cpu // spec.cpu_millis)
    if spec.memory_mb:
        count = min(count, session.free_memory // spec.memory_mb)
    if spec.gpus:
        count = min(count, session.free_gpus // spec.gpus)
    if spec.label and spec.label not in session.entry.labels:
        count = 0
    return max(0, count)


def _fill_group(
    group: list[worker_session.WorkerSession], spec: model.StepSpec, size: int
) -> list[worker_session.WorkerSession] | None:
    chosen: list[worker_session.WorkerSession] = []
    for session in sorted(group, key=lambda s: -s.free_cpu):
        most = min(size, spec.max_per_worker or size)
        chosen.extend([session] * count_fitting(session, spec, most))
        if len(chosen) >= size:
            return chosen[:size]
    return None
