"""Fake of the adviser, which decides which workers may run a step."""

import asyncio
from collections.abc import Sequence

from clementinespar import codes, errors, http_calls
from clementinespar.jobs import advice_calls, model
from clementinespar.jobs.tests import fake_worker

MAX_WAITING = 32


class FakeAdviser:
    """`services.Adviser` that issues tickets for `allowed_ids` and may refuse calls.

    Like the real one, it handles the calls of a node in turn, also those that the node
    has given up, and refuses further ones while 32 wait.
    """

    allowed_ids: set[str]
    refused_jobs: set[str]  # that no worker may run
    is_busy: bool
    calls: int
    asked: list[int]  # numbers of workers in the calls
    asked_about: list[tuple[str, list[str]]]  # job and workers of the calls, as sent
    times: model.AdviceTimes  # as configured
    slowness: float  # time that calls take, by the time that they should take
    lost_answers: int  # number of further calls that are handled but not answered
    refused: int  # calls that came while too many waited
    is_early: bool  # tickets are valid from the begin of a call, not from its answer
    rejected: int  # starts with a ticket that is not valid
    _until_by_ticket: dict[tuple[str, str], float]  # by step and ticket
    _free_at: float  # event-loop time at which it has done all calls so far
    _begins: list[float]  # event-loop times at which it begins with waiting calls

    def __init__(self) -> None:
        self.allowed_ids = set()
        self.refused_jobs = set()
        self.is_busy = False
        self.calls = 0
        self.asked = []
        self.asked_about = []
        self.times = model.AdviceTimes(decide_s=0.02, each_s=0.0, valid_s=3.0)
        self.slowness = 1.0
        self.lost_answers = 0
        self.refused = 0
        self.is_early = False
        self.rejected = 0
        self._until_by_ticket = {}
        self._free_at = 0.0
        self._begins = []

    async def request_tickets(
        self,
        job_id: str,
        occurrence: int,
        step: int,
        worker_ids: Sequence[str],
        timeout_s: float,
    ) -> model.IssuedTickets:
        self.calls += 1
        self.asked.append(len(worker_ids))
        self.asked_about.append((job_id, list(worker_ids)))
        now = asyncio.get_running_loop().time()
        self._begins = [begins_at for begins_at in self._begins if begins_at > now]
        if len(self._begins) >= MAX_WAITING:
            self.refused += 1
            raise _refusal()
        begins_at = max(now, self._free_at)
        self._begins.append(begins_at)
        work_s = self.slowness * self.times.call_s(len(worker_ids))
        self._free_at = begins_at + work_s
        is_lost = self.lost_answers > 0
        self.lost_answers -= is_lost
        if is_lost or self._free_at - now > timeout_s:
            await asyncio.sleep(timeout_s)
            raise http_calls.CallUnansweredError("no answer")
        await asyncio.sleep(self._free_at - now)
        if self.is_busy:
            raise _refusal()
        tickets = {
            worker_id: f"t-{worker_id}"
            for worker_id in worker_ids
            if worker_id in self.allowed_ids and job_id not in self.refused_jobs
        }
        now = asyncio.get_running_loop().time()
        until = (begins_at if self.is_early else now) + self.times.valid_s
        for ticket in tickets.values():
            self._until_by_ticket[f"{job_id}.{occurrence}.{step}", ticket] = until
        return model.IssuedTickets(tickets, self.times.valid_s)

    def accepts(self, worker: fake_worker.FakeWorker, order: model.StartOrder) -> bool:
        """Whether the ticket of a start is valid for a worker."""
        key = order.task
        step = f"{key.job_id}.{key.occurrence}.{key.step}"
        until = self._until_by_ticket.get((step, order.ticket), 0.0)
        is_own = order.ticket == f"t-{worker.entry.worker_id}"
        is_valid = is_own and asyncio.get_running_loop().time() < until
        self.rejected += not is_valid
        return is_valid


def make_calls(adviser: FakeAdviser) -> advice_calls.AdviceCalls:
    """Return the calls of a node to an adviser that is configured as it works."""
    return advice_calls.AdviceCalls(adviser, lambda _: adviser.times)


def _refusal() -> errors.ClementinesparError:
    return errors.ClementinesparError(codes.ResultCode.PLATFORM_UNAVAILABLE, "busy")
