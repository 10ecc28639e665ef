"""Free capacity for a step that needs advice, by what the adviser has said."""

import collections
import dataclasses
from collections.abc import Container

from clementinespar.jobs import advice_names, model, placement, worker_session


@dataclasses.dataclass(slots=True)
class AdvisedCapacity:
    """Free capacity for one step in one round of placement, and what it lacks.

    Attributes
    ----------
    tickets_by_worker_id : dict of str to str
        Valid tickets.
    ticketed : placement.FreeCapacity
        Workers with a valid ticket.
    unasked : placement.FreeCapacity
        Workers without one that may get one.
    possible : placement.FreeCapacity
        Both of them.
    is_answering : bool
        Whether the adviser has answered the last call for the step.
    ask_s : float
        Time that calls about all unasked workers take, in seconds.
    lacking : int
        Number of tasks that no worker with a ticket can take, or none that suits.
    wanted : list of WorkerSession
        Workers without a ticket that could take these tasks now, best first.
    """

    tickets_by_worker_id: dict[str, str]
    ticketed: placement.FreeCapacity
    unasked: placement.FreeCapacity
    possible: placement.FreeCapacity
    is_answering: bool
    ask_s: float
    lacking: int = 0
    wanted: list[worker_session.WorkerSession] = dataclasses.field(default_factory=list)

    def note_lack(
        self,
        spec: model.StepSpec,
        counts: collections.Counter[str],
        avoided: set[str],
        among: Container[str] | None,
    ) -> None:
        """Note a task that no worker with a ticket can take, or only an avoided one.

        Parameters
        ----------
        counts : collections.Counter
            Tasks of the step on each worker id.
        avoided : set of str
            Workers that get the task only if no other can take it.
        among : container of str or None
            Ids of the only workers that may get the task; None: all may.
        """
        self.lacking += 1
        if self.wanted:
            return
        unasked = self.unasked if among is None else self.unasked.restrict(among)
        ranked = unasked.rank(spec, counts, avoided)
        self.wanted = [s for s in ranked if s.entry.worker_id not in avoided]

    def choose_gang(
        self, spec: model.StepSpec, size: int
    ) -> list[worker_session.WorkerSession] | None:
        """Return a worker with a ticket for each member of a gang, or None.

        None also means that tickets for some workers would bring a gang that prefers
        one rack onto one, and that asking takes less time than a run. On several racks
        it would run for some times as long.
        """
        chosen = self.ticketed.choose_gang(spec, size)
        is_worth_asking = self.is_answering and self.ask_s * 1000 <= spec.estimate_ms
        if chosen is not None and not (_is_spread(spec, chosen) and is_worth_asking):
            return chosen
        possible = self.possible.choose_gang(spec, size)
        if possible is None or (chosen is not None and _is_spread(spec, possible)):
            return chosen
        missing = [
            session
            for session in possible
            if session.entry.worker_id not in self.tickets_by_worker_id
        ]
        self.lacking = len(missing)
        first = list(dict.fromkeys(missing))
        others = self.unasked.rank(spec, collections.Counter(), set())
        self.wanted = first + [s for s in others if s not in first]
        return None

    def find_need(
        self, spec: model.StepSpec, counts: collections.Counter[str], left: int
    ) -> advice_names.Need | None:
        """Return what the waiting tasks of the step need; None if they need no ticket.

        Parameters
        ----------
        left : int
            Number of tasks that have not started in this round.
        """

        def count_room(session: worker_session.WorkerSession) -> int:
            most = left
            if spec.max_per_worker:
                used = counts[session.entry.worker_id]
                most = min(left, max(0, spec.max_per_worker - used))
            return placement.count_fitting(session, spec, most)

        covered = sum(map(count_room, self.ticketed.sessions()))
        lacking = max(self.lacking, left - covered)
        if lacking <= 0:
            return None
        wanted = self.wanted or self.unasked.rank(spec, counts, set())
        with_room = [(session, count_room(session)) for session in wanted]
        ids = {session.entry.worker_id for session in wanted}
        without_room = [
            session
            for session in self.unasked.sessions()
            if session.entry.worker_id not in ids
            and advice_names.is_able(session, spec)
        ]
        return advice_names.Need(
            lacking, with_room, without_room, bool(self.tickets_by_worker_id)
        )


def _is_spread(
    spec: model.StepSpec, chosen: list[worker_session.WorkerSession]
) -> bool:
    """Whether a gang that prefers one rack would run on several."""
    return spec.is_same_rack and len({session.entry.rack for session in chosen}) > 1
