"""Tickets that the adviser issues for steps of jobs that need them."""

import asyncio
import dataclasses

from clementinespar import errors
from clementinespar.jobs import (
    advice_calls,
    advice_names,
    advised_capacity,
    model,
    placement,
    services,
    state,
    worker_session,
)

# Share of a ticket's validity in which runs are started with it; the start takes time.
VALIDITY_SHARE = 0.8
# Pause of a step after a failed call, or after a worker has rejected its ticket. It
# doubles with each failed call.
RETRY_S = 0.25
MAX_RETRY_S = 2.0
# Pause before all workers are asked about again that got no ticket; it doubles as well.
DENIED_RETRY_S = 1.0
MAX_DENIED_RETRY_S = 8.0


@dataclasses.dataclass(slots=True)
class _StepAdvice:
    """What is known and wanted for one step.

    Attributes
    ----------
    need : advice_names.Need or None
        What the newest round lacked; None while no call waits or is in flight.
    rank : tuple of float
        Rank of the call that waits: whether no task could start at once, then the rank
        of the job.
    is_repeated : bool
        Whether all workers have been refused and are asked about again.
    ask_from : float
        Event-loop time before which no call is made.
    failures : int
        Number of calls without an answer since the last answer.
    denied_retry_s : float
        Pause before workers that got no ticket are asked about again.
    begin_anew_at : float or None
        Event-loop time at which this pause ends; None while it has not begun.
    """

    answers: advice_names.Answers = dataclasses.field(
        default_factory=advice_names.Answers
    )
    need: advice_names.Need | None = None
    rank: tuple[float, ...] = ()
    is_repeated: bool = False
    ask_from: float = 0.0
    failures: int = 0
    denied_retry_s: float = DENIED_RETRY_S
    begin_anew_at: float | None = None

    def begin_anew(self, now: float) -> None:
        """Forget who got no ticket, if the pause since the last time is over."""
        if self.begin_anew_at is None:
            self.begin_anew_at = now + self.denied_retry_s
            self.denied_retry_s = min(MAX_DENIED_RETRY_S, 2 * self.denied_retry_s)
        elif now >= self.begin_anew_at:
            self.begin_anew_at = None
            self.answers.denied.clear()
            self.is_repeated = True


class TicketCache:
    """Tickets of one owner, and the calls to the adviser for more of them.

    Each step has at most one call that waits or is in flight.
    """

    _advice_by_step: dict[advice_calls.StepKey, _StepAdvice]
    _requests: set[asyncio.Task[None]]

    def __init__(
        self,
        calls: advice_calls.AdviceCalls,
        log_event: services.EventLog,
        schedule_wanted: asyncio.Event,
    ) -> None:
        self._calls = calls
        self._log_event = log_event
        self._schedule_wanted = schedule_wanted
        self._advice_by_step = {}
        self._requests = set()

    def __len__(self) -> int:
        """Return the number of steps for which anything is kept."""
        return len(self._advice_by_step)

    def find_advised(
        self, queue: str, step: state.StepState, free_capacity: placement.FreeCapacity
    ) -> advised_capacity.AdvisedCapacity:
        """Return the free capacity for a step, by what the adviser has said."""
        now = asyncio.get_running_loop().time()
        advice = self._find(step)
        tickets: dict[str, str] = {}
        unasked: set[str] = set()
        for session in free_capacity.sessions():
            life = advice_names.find_life(session)
            ticket = advice.answers.find_ticket(life, now)
            if ticket is not None:
                tickets[session.entry.worker_id] = ticket
            elif life not in advice.answers.denied:
                unasked.add(session.entry.worker_id)
        return advised_capacity.AdvisedCapacity(
            tickets,
            free_capacity.restrict(tickets),
            free_capacity.restrict(unasked),
            free_capacity.restrict(unasked.union(tickets)),
            is_answering=not advice.failures,
            ask_s=self._calls.find_times(queue).call_s(len(unasked)),
        )

    def is_refused(
        self, step: state.StepState, session: worker_session.WorkerSession
    ) -> bool:
        """Whether the adviser has refused a ticket for a step on a worker."""
        advice = self._advice_by_step.get(_find_key(step))
        life = advice_names.find_life(session)
        return advice is not None and life in advice.answers.denied

    def ask(
        self,
        queue: str,
        step: state.StepState,
        need: advice_names.Need,
        job_rank: tuple[int, int, float],
    ) -> None:
        """Ask the adviser about workers that tasks of a step need.

        The newest need and rank replace those of a call that still waits.

        Parameters
        ----------
        job_rank : tuple
            As `placement.rank` returns it.
        """
        now = asyncio.get_running_loop().time()
        advice = self._find(step)
        is_ahead = not need.with_room or advice.is_repeated
        advice.rank = (float(is_ahead), *job_rank)
        if advice.need is not None:
            advice.need = need
            return
        if now < advice.ask_from:
            return
        if not advice_names.has_candidates(need, advice.answers):
            if advice.answers.denied and not need.has_tickets:
                advice.begin_anew(now)
            return
        advice.need = need
        request = asyncio.create_task(self._request(queue, step, advice))
        self._requests.add(request)
        request.add_done_callback(self._requests.discard)

    def drop(self, key: model.TaskKey, life: advice_names.Life) -> None:
        """Drop a ticket that a worker has rejected."""
        advice = self._advice_by_step.get((key.job_id, key.occurrence, key.step))
        if advice is None or life not in advice.answers.tickets:
            return
        ticket, _ = advice.answers.tickets[life]
        advice.answers.tickets[life] = (ticket, 0.0)
        advice.answers.has_rejections = True
        advice.ask_from = asyncio.get_running_loop().time() + RETRY_S

    def drop_job(self, job_id: str) -> None:
        """Drop all that is known for a job."""
        for step_key in [key for key in self._advice_by_step if key[0] == job_id]:
            del self._advice_by_step[step_key]

    def drop_occurrence(self, spec: model.JobSpec, occurrence: int) -> None:
        """Drop all that is known for an occurrence of a job."""
        for step in range(len(spec.steps)):
            self._advice_by_step.pop((spec.job_id, occurrence, step), None)

    def close(self) -> None:
        """Cancel pending requests."""
        for request in self._requests:
            request.cancel()

    async def wait_closed(self) -> None:
        """Wait until the requests that `close` has cancelled have ended."""
        await asyncio.gather(*self._requests, return_exceptions=True)

    def _find(self, step: state.StepState) -> _StepAdvice:
        return self._advice_by_step.setdefault(_find_key(step), _StepAdvice())

    async def _request(
        self, queue: str, step: state.StepState, advice: _StepAdvice
    ) -> None:
        """Request tickets for a step once it is its turn."""
        try:
            async with self._calls.take_turn(advice):
                if (
                    advice.need is not None
                    and step.waiting
                    and self._advice_by_step.get(_find_key(step)) is advice
                ):
                    await self._call(queue, step, advice, advice.need)
        finally:
            advice.need = None
        self._schedule_wanted.set()

    async def _call(
        self,
        queue: str,
        step: state.StepState,
        advice: _StepAdvice,
        need: advice_names.Need,
    ) -> None:
        """Ask about as many workers as a step needs, and keep the answer."""
        loop = asyncio.get_running_loop()
        key = _find_key(step)
        times = self._calls.find_times(queue)
        chosen = advice_names.choose_workers(need, advice.answers, times)
        lives = [advice_names.find_life(session) for session in chosen]
        began_at = loop.time()
        try:
            issued = await self._calls.request_tickets(
                key, [worker_id for worker_id, _ in lives], times
            )
        except errors.ClementinesparError as error:
            pause_s = min(MAX_RETRY_S, RETRY_S * 2**advice.failures)
            advice.failures += 1
            advice.ask_from = loop.time() + pause_s
            self._log_event(
                "advice_missing",
                job=key[0],
                step=key[2],
                asked=len(lives),
                took_ms=round((loop.time() - began_at) * 1000),
                code=int(error.code),
            )
            return
        advice.failures = 0
        if issued.tickets_by_worker:
            advice.denied_retry_s = DENIED_RETRY_S
            advice.is_repeated = False
        until = loop.time() + VALIDITY_SHARE * (issued.valid_s or times.valid_s)
        for life in lives:
            ticket = issued.tickets_by_worker.get(life[0])
            if ticket is None:
                advice.answers.tickets.pop(life, None)
                advice.answers.denied.add(life)
            else:
                advice.answers.tickets[life] = (ticket, until)
        self._log_event(
            "advice",
            job=key[0],
            step=key[2],
            asked=len(lives),
            good=len(issued.tickets_by_worker),
            took_ms=round((loop.time() - began_at) * 1000),
        )


def _find_key(step: state.StepState) -> advice_calls.StepKey:
    key = step.tasks[0].key
    return key.job_id, key.occurrence, key.step
