"""What the adviser has said for a step, and which workers it is asked about next."""

import dataclasses
from collections.abc import Sequence

from clementinespar.jobs import model, worker_session

MAX_WORKERS_PER_CALL = 100
# A call holds up those for other steps of the node. It names fewer workers than the
# step needs rather than take longer, unless the adviser takes that long in any case.
MAX_CALL_S = 1.0
# Share of the validity of a ticket that a call may take once workers have rejected
# tickets: the validity may begin before the answer.
MAX_VALIDITY_SHARE = 0.5

Life = tuple[str, int]  # worker id, and the start of its life in Unix ms


def find_life(session: worker_session.WorkerSession) -> Life:
    """Return the life of a worker that its newest report is of."""
    return session.entry.worker_id, session.born_ms


@dataclasses.dataclass(slots=True)
class Answers:
    """What the adviser has said about workers for one step.

    The policy of a queue does not change for a step, so a refusal holds for the life of
    a worker, and a worker with an expired ticket gets another one.

    Attributes
    ----------
    tickets : dict of Life to tuple of str and float
        Tickets with the event-loop times until which they are used.
    denied : set of Life
        Workers that got no ticket.
    has_rejections : bool
        Whether a worker has rejected a ticket that seemed valid.
    """

    tickets: dict[Life, tuple[str, float]] = dataclasses.field(default_factory=dict)
    denied: set[Life] = dataclasses.field(default_factory=set)
    has_rejections: bool = False

    def find_ticket(self, life: Life, now: float) -> str | None:
        """Return the valid ticket of a worker, or None."""
        ticket, until = self.tickets.get(life, ("", 0.0))
        return ticket if now < until else None

    def expected_share(self) -> float:
        """Return the share of further workers that are expected to get a ticket."""
        good = len(self.tickets)
        return (good + 1) / (good + len(self.denied) + 2)


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Tasks of a step that no worker with a ticket can take.

    Attributes
    ----------
    task_count : int
        Number of these tasks.
    with_room : sequence of tuple of WorkerSession and int
        Workers without a ticket that have room now, best first, and for how many tasks.
        Those that got none are left out.
    without_room : sequence of WorkerSession
        Other workers without a ticket that may have room later, likewise.
    has_tickets : bool
        Whether any worker that may take work has a ticket.
    """

    task_count: int
    with_room: Sequence[tuple[worker_session.WorkerSession, int]]
    without_room: Sequence[worker_session.WorkerSession]
    has_tickets: bool


def is_able(session: worker_session.WorkerSession, spec: model.StepSpec) -> bool:
    """Whether a worker could run a task of a step if nothing else ran there."""
    entry = session.entry
    return (
        (spec.is_filler or spec.cpu_millis <= entry.cpu_millis)
        and spec.memory_mb <= entry.memory_mb
        and spec.gpus <= entry.gpus
        and (not spec.label or spec.label in entry.labels)
    )


def find_limit(times: model.AdviceTimes, has_rejections: bool) -> int:
    """Return how many workers a call may name."""
    longest_s = max(MAX_CALL_S, 2 * times.decide_s)
    if has_rejections:
        longest_s = min(longest_s, MAX_VALIDITY_SHARE * times.valid_s)
    left_s = longest_s - times.decide_s
    if times.each_s * MAX_WORKERS_PER_CALL <= left_s:
        return MAX_WORKERS_PER_CALL
    return max(1, int(left_s / times.each_s)) if times.each_s else 1


def choose_workers(
    need: Need, answers: Answers, times: model.AdviceTimes
) -> list[worker_session.WorkerSession]:
    """Return the workers that the next call for a step names.

    A call names as many workers as the tasks need by the share that got tickets so far,
    and in any case so many that naming them takes as long as the rest of the call.
    """
    limit = find_limit(times, answers.has_rejections)
    share = answers.expected_share()
    chosen: list[worker_session.WorkerSession] = []
    covered = 0.0  # tasks expected to find a worker with a ticket
    # Those that had a ticket get one again.
    known_first = sorted(
        need.with_room, key=lambda item: find_life(item[0]) not in answers.tickets
    )
    for session, room in known_first[:limit]:
        if covered >= need.task_count and len(chosen) * times.each_s >= times.decide_s:
            break
        chosen.append(session)
        covered += room if find_life(session) in answers.tickets else room * share
    if chosen:
        return chosen
    return _find_ahead(need, answers)[:limit]


def has_candidates(need: Need, answers: Answers) -> bool:
    """Whether there are workers that a call could name."""
    return bool(need.with_room or _find_ahead(need, answers))


def _find_ahead(need: Need, answers: Answers) -> list[worker_session.WorkerSession]:
    """Return the workers without room for which a ticket should be there in time.

    Expired tickets are renewed only while the step has no valid one.
    """
    unasked = [s for s in need.without_room if find_life(s) not in answers.tickets]
    if unasked or need.has_tickets:
        return unasked
    return list(need.without_room)
