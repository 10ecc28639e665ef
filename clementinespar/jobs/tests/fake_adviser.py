"""Fake of the adviser, which decides which workers may run a step."""

import asyncio
from collections.abc import Sequence

from clementinespar import codes, errors
from clementinespar.jobs import model


class FakeAdviser:
    """`services.Adviser` that issues tickets for `allowed_ids` and may refuse calls."""

    allowed_ids: set[str]
    is_busy: bool
    calls: int
    asked: list[int]  # numbers of workers in the calls

    def __init__(self) -> None:
        self.allowed_ids = set()
        self.is_busy = False
        self.calls = 0
        self.asked = []

    async def request_tickets(
        self, job_id: str, occurrence: int, step: int, worker_ids: Sequence[str]
    ) -> model.IssuedTickets:
        await asyncio.sleep(0.02)
        self.calls += 1
        self.asked.append(len(worker_ids))
        if self.is_busy:
            raise errors.ClementinesparError(
                codes.ResultCode.PLATFORM_UNAVAILABLE, "busy"
            )
        allowed_ids = self.allowed_ids.intersection(worker_ids)
        return model.IssuedTickets(
            {worker_id: f"t-{worker_id}" for worker_id in allowed_ids}, 3.0
        )
