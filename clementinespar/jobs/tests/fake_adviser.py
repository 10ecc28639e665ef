"""Fake of the adviser, which decides which workers may run a step."""

import asyncio
from collections.abc import Sequence

from clementinespar import codes, errors, http_calls
from clementinespar.jobs import advice_calls, model

MAX_WAITING = 32


class FakeAdviser:
    """`services.Adviser` that issues tickets for `allowed_ids` and may refuse calls.

    Like the real one, it handles the calls of a node in turn, also those that the node
    has given up, and refuses further ones while 32 wait.
    """

    allowed_ids: set[str]
    is_busy: bool
    calls: int
    asked: list[int]  # numbers of workers in the calls
    asked_about: list[tuple[str, list[str]]]  # job and workers of the calls, as sent
    times: model.AdviceTimes  # as configured
    slowness: float  # time that calls take, by the time that they should take
    lost_answers: int  # number of further calls that are handled but not answered
    refused: int  # calls that came while too many waited
    _free_at: float  # event-loop time at which it has done all calls so far
    _begins: list[float]  # event-loop times at which it begins with waiting calls

    def __init__(self) -> None:
        self.allowed_ids = set()
        self.is_busy = False
        self.calls = 0
        self.asked = []
        self.asked_about = []
        self.times = model.AdviceTimes(decide_s=0.02, each_s=0.0, valid_s=3.0)
        self.slowness = 1.0
        self.lost_answers = 0
        self.refused = 0
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
        allowed_ids = self.allowed_ids.intersection(worker_ids)
        return model.IssuedTickets(
            {worker_id: f"t-{worker_id}" for worker_id in allowed_ids},
            self.times.valid_s,
        )


def make_calls(adviser: FakeAdviser) -> advice_calls.AdviceCalls:
    """Return the calls of a node to an adviser that is configured as it works."""
    return advice_calls.AdviceCalls(adviser, lambda _: adviser.times)


def _refusal() -> errors.ClementinesparError:
    return errors.ClementinesparError(codes.ResultCode.PLATFORM_UNAVAILABLE, "busy")
