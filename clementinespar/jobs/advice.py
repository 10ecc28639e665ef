"""Tickets of the adviser for the steps that need them."""

import asyncio

from clementinespar import errors
from clementinespar.jobs import model, services, state

MAX_WORKERS = 100  # that one question may name
VALID_SHARE = 0.8  # of a ticket's time; a start takes some of it
RETRY_S = 0.25
WAIT_FOR_WORKERS_S = 1.0  # until a step that found no worker asks again


class TicketBook:
    """Asks one question at a time, as the adviser serves one for each machine.

    The owner of a pool asks for a step when it would place it; `usable` is empty until
    the answer has come.
    """

    _tickets: dict[tuple[str, int, int], dict[str, tuple[str, float]]]
    _asked_until: dict[tuple[str, int, int], float]
    _lock: asyncio.Lock
    _questions: set[asyncio.Task[None]]

    def __init__(
        self,
        adviser: services.Adviser,
        record: services.JobRecorder,
        wanted: asyncio.Event,
    ) -> None:
        self._adviser = adviser
        self._record = record
        self._wanted = wanted
        self._tickets = {}
        self._asked_until = {}
        self._lock = asyncio.Lock()
        self._questions = set()

    def usable(self, step: state.StepState, worker_ids: list[str]) -> dict[str, str]:
        """Return valid tickets by worker id; asks for them if there are none."""
        now = asyncio.get_running_loop().time()
        key = step.tasks[0].key
        name = (key.job_id, key.occurrence, key.step)
        held = {
            worker_id: ticket
            for worker_id, (ticket, until) in self._tickets.get(name, {}).items()
            if until > now and worker_id in worker_ids
        }
        if not held and now >= self._asked_until.get(name, 0.0) and worker_ids:
            self._asked_until[name] = float("inf")
            question = asyncio.create_task(self._ask(name, worker_ids[:MAX_WORKERS]))
            self._questions.add(question)
            question.add_done_callback(self._questions.discard)
        return held

    def forget(self, key: model.TaskKey, worker_id: str) -> None:
        """Drop a ticket that a worker has rejected."""
        name = (key.job_id, key.occurrence, key.step)
        self._tickets.get(name, {}).pop(worker_id, None)

    def drop_job(self, job_id: str) -> None:
        """Forget everything about a job."""
        for book in (self._tickets, self._asked_until):
            for name in [name for name in book if name[0] == job_id]:
                book.pop(name, None)

    def close(self) -> None:
        """End open questions."""
        for question in self._questions:
            question.cancel()

    async def _ask(self, name: tuple[str, int, int], worker_ids: list[str]) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with self._lock:
                advice = await self._adviser.advise(*name, worker_ids)
        except errors.ClementinesparError as error:
            self._record("advice_missing", job=name[0], code=int(error.code))
            self._asked_until[name] = loop.time() + RETRY_S
        else:
            now = loop.time()
            until = now + VALID_SHARE * advice.valid_s
            self._tickets[name] = {
                worker_id: (ticket, until)
                for worker_id, ticket in advice.tickets_by_worker.items()
            }
            self._asked_until[name] = now + (
                0.0 if advice.tickets_by_worker else WAIT_FOR_WORKERS_S
            )
            self._record(
                "advice",
                job=name[0],
                step=name[2],
                asked=len(worker_ids),
                good=len(advice.tickets_by_worker),
            )
        self._wanted.set()
