"""Tickets that the adviser issues for steps of jobs that need them."""

import asyncio

from clementinespar import errors
from clementinespar.jobs import advice_calls, model, services, state

MAX_WORKERS_PER_REQUEST = 100
# Share of a ticket's validity in which runs are started with it; the start takes time.
VALIDITY_SHARE = 0.8
RETRY_S = 0.25
NO_WORKER_RETRY_S = 1.0  # after a request for which no worker got a ticket


class TicketCache:
    """Tickets of one owner.

    A request is sent when the owner would place a step; `find_valid` returns nothing
    until it is answered.
    """

    _tickets: dict[tuple[str, int, int], dict[str, tuple[str, float]]]
    _next_request_at: dict[tuple[str, int, int], float]
    # Workers that got no ticket, by step. Other workers are asked about first; once all
    # got none, the requests begin anew.
    _denied: dict[tuple[str, int, int], set[str]]
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
        self._tickets = {}
        self._next_request_at = {}
        self._denied = {}
        self._requests = set()

    def find_valid(
        self, queue: str, step: state.StepState, worker_ids: list[str]
    ) -> dict[str, str]:
        """Return valid tickets by worker id; if there are none, request them."""
        now = asyncio.get_running_loop().time()
        key = step.tasks[0].key
        step_key = (key.job_id, key.occurrence, key.step)
        valid_tickets = {
            worker_id: ticket
            for worker_id, (ticket, until) in self._tickets.get(step_key, {}).items()
            if until > now and worker_id in worker_ids
        }
        if (
            not valid_tickets
            and now >= self._next_request_at.get(step_key, 0.0)
            and worker_ids
        ):
            self._next_request_at[step_key] = float("inf")
            denied = self._denied.setdefault(step_key, set())
            unasked = [worker_id for worker_id in worker_ids if worker_id not in denied]
            if not unasked:
                denied.clear()
                unasked = worker_ids
            request = asyncio.create_task(
                self._request(
                    queue,
                    step_key,
                    unasked[:MAX_WORKERS_PER_REQUEST],
                    has_more=len(unasked) > MAX_WORKERS_PER_REQUEST,
                )
            )
            self._requests.add(request)
            request.add_done_callback(self._requests.discard)
        return valid_tickets

    def drop(self, key: model.TaskKey, worker_id: str) -> None:
        """Drop a ticket that a worker has rejected."""
        step_key = (key.job_id, key.occurrence, key.step)
        self._tickets.get(step_key, {}).pop(worker_id, None)

    def drop_job(self, job_id: str) -> None:
        """Drop all tickets of a job."""
        for cache in (self._tickets, self._next_request_at, self._denied):
            for step_key in [step_key for step_key in cache if step_key[0] == job_id]:
                cache.pop(step_key, None)

    def close(self) -> None:
        """Cancel pending requests."""
        for request in self._requests:
            request.cancel()

    async def wait_closed(self) -> None:
        """Wait until the requests that `close` has cancelled have ended."""
        await asyncio.gather(*self._requests, return_exceptions=True)

    async def _request(
        self,
        queue: str,
        step_key: tuple[str, int, int],
        worker_ids: list[str],
        has_more: bool,
    ) -> None:
        """Request tickets for some workers.

        Parameters
        ----------
        has_more : bool
            Whether other workers are left to ask about.
        """
        loop = asyncio.get_running_loop()
        try:
            async with self._calls.take_turn():
                issued = await self._calls.request_tickets(
                    step_key, worker_ids, self._calls.find_times(queue)
                )
        except errors.ClementinesparError as error:
            self._log_event("advice_missing", job=step_key[0], code=int(error.code))
            self._next_request_at[step_key] = loop.time() + RETRY_S
        else:
            now = loop.time()
            until = now + VALIDITY_SHARE * issued.valid_s
            self._tickets[step_key] = {
                worker_id: (ticket, until)
                for worker_id, ticket in issued.tickets_by_worker.items()
            }
            self._denied.setdefault(step_key, set()).update(
                worker_id
                for worker_id in worker_ids
                if worker_id not in issued.tickets_by_worker
            )
            is_final = not issued.tickets_by_worker and not has_more
            self._next_request_at[step_key] = now + (
                NO_WORKER_RETRY_S if is_final else 0.0
            )
            self._log_event(
                "advice",
                job=step_key[0],
                step=step_key[2],
                asked=len(worker_ids),
                good=len(issued.tickets_by_worker),
            )
        self._schedule_wanted.set()
