"""Orders to one worker: starts, stops and paces of runs, and what their answers mean.

A start without an answer leaves its run open; the session settles it by later reports.
The worker may still carry it out in a later life, which does not know of a stop, so
each new life gets a stop of its own.
"""

import asyncio
import typing
from collections.abc import Callable, Coroutine

from clementinespar import codes, errors
from clementinespar.jobs import model, services, telemetry, worker_run

if typing.TYPE_CHECKING:
    from clementinespar.jobs import worker_session

# For this long a new life of the worker gets stops of starts without an answer.
UNANSWERED_KEPT_S = 30.0


class WorkerOrders:
    """Sends the orders of a session to its worker, each in a task of its own."""

    _pending: set[asyncio.Task[None]]
    # Starts without an answer, by task and run.
    _unanswered: dict[tuple[model.TaskKey, int], worker_run.Run]

    def __init__(
        self,
        session: "worker_session.WorkerSession",
        client: services.WorkerClient,
        events: worker_run.RunEvents,
        log_event: services.EventLog,
    ) -> None:
        self._session = session
        self._client = client
        self._events = events
        self._log_event = log_event
        self._pending = set()
        self._unanswered = {}

    def close(self) -> None:
        """Cancel the calls that have no answer yet."""
        for order in self._pending:
            order.cancel()

    def pending(self) -> frozenset[asyncio.Task[None]]:
        """Return the tasks of the calls that have not ended."""
        return frozenset(self._pending)

    def start(
        self,
        run: worker_run.Run,
        payload: str,
        saved: str,
        on_sent: Callable[[], None],
        ticket: str = "",
    ) -> None:
        """Send the order to start a run, which must be tracked already.

        Parameters
        ----------
        on_sent : callable
            Called once the order has got its lease, just before it is sent.
        """
        self._spawn(self._start(run, payload, saved, on_sent, ticket), run)

    def stop(self, run: worker_run.Run, reason: str) -> None:
        """Send the order to stop a run, unless it is being stopped already."""
        if run.status is worker_run.RunStatus.STOPPING:
            return
        self._log_event(
            "stop",
            job=run.key.job_id,
            task=run.key.name_in_job,
            run=run.number,
            worker=self._session.entry.worker_id,
            reason=reason,
        )
        run.status = worker_run.RunStatus.STOPPING
        run.stop_answered_at = None
        self._spawn(self._stop(run), run)

    def resend_unanswered_stops(self) -> None:
        """Send the stops again that have no answer."""
        for run in self._session.runs.values():
            if (
                run.status is worker_run.RunStatus.STOPPING
                and run.stop_answered_at is None
                and not run.is_stop_in_flight
            ):
                self._spawn(self._stop(run), run)

    def stop_unanswered_starts(self) -> None:
        """Let a new life of the worker refuse the starts that may still reach it.

        A run that is not tracked any more is tracked until its stop is settled.
        """
        self._forget_unanswered()
        for identity, run in self._unanswered.items():
            tracked = self._session.runs.get(identity)
            if tracked is None:
                run.status = worker_run.RunStatus.STOPPING
                run.stop_answered_at = None
                self._session.add_run(run)
            elif tracked.status is worker_run.RunStatus.STOPPING:
                tracked.stop_answered_at = None

    def _forget_unanswered(self) -> None:
        """Forget old starts without an answer, and those that were carried out."""
        now = asyncio.get_running_loop().time()
        self._unanswered = {
            identity: run
            for identity, run in self._unanswered.items()
            if not run.is_start_settled and now - run.answered_at <= UNANSWERED_KEPT_S
        }

    def pace(self, run: worker_run.Run, percent: int) -> None:
        """Send the order to limit a run to a share of its speed, in percent."""
        run.pace = percent
        self._spawn(self._pace(run, percent), run)

    def _spawn(self, order: Coroutine[None, None, None], run: worker_run.Run) -> None:
        task = asyncio.create_task(self._guard(order, run))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    async def _guard(
        self, order: Coroutine[None, None, None], run: worker_run.Run
    ) -> None:
        """Send an order; after an unexpected error its outcome counts as unknown."""
        try:
            await order
        except Exception as error:
            telemetry.log_unexpected(
                self._log_event,
                "order",
                error,
                worker=self._session.entry.worker_id,
                job=run.key.job_id,
                task=run.key.name_in_job,
            )
            if run.status is worker_run.RunStatus.STARTING:
                run.answered_at = asyncio.get_running_loop().time()
                run.status = worker_run.RunStatus.OPEN

    async def _start(
        self,
        run: worker_run.Run,
        payload: str,
        saved: str,
        on_sent: Callable[[], None],
        ticket: str,
    ) -> None:
        loop = asyncio.get_running_loop()
        obstacle = self._session.lease.find_obstacle()
        if obstacle is not None:
            self._session.abandon(run, obstacle.value)
            return
        if not self._session.is_entry_current():
            self._session.abandon(run, "its worker has restarted")
            return
        grant = self._session.lease.grant()
        assert grant is not None
        order = model.StartOrder(
            run.key,
            run.number,
            payload,
            grant.until_ms,
            self._session.fence,
            saved,
            ticket,
        )
        self._unanswered[run.key, run.number] = run
        on_sent()
        try:
            answer = await self._client.start(self._session.entry, order)
        except errors.ClementinesparError as error:
            if error.code is codes.ResultCode.CALL_NOT_SENT:
                self._unanswered.pop((run.key, run.number), None)
                self._session.mark_unresponsive()
                self._session.abandon(run, error.message)
                return
            self._forget_unanswered()
            run.answered_at = loop.time()
            if run.status is worker_run.RunStatus.STARTING:
                run.status = worker_run.RunStatus.OPEN
            self._log_event(
                "start_unanswered",
                job=run.key.job_id,
                task=run.key.name_in_job,
                run=run.number,
                worker=self._session.entry.worker_id,
                code=int(error.code),
                **self._session.describe_lease(),
            )
            self._events.on_start_unanswered(self._session)
            return
        self._unanswered.pop((run.key, run.number), None)
        run.answered_at = loop.time()
        clock_ms = answer.clock_ms
        if clock_ms is not None and self._session.lease.check_answer(grant, clock_ms):
            self._session.born_seen_at = run.answered_at
        run.percent_at = run.answered_at
        self._session.alive_at = run.answered_at
        if answer.result is model.StartResult.STARTED:
            run.is_start_settled = True
            self._events.on_begun(run)
            if run.status is worker_run.RunStatus.STARTING:
                run.status = worker_run.RunStatus.RUNNING
            return
        if answer.result is model.StartResult.FENCED:
            self._events.on_fenced()
        if answer.result is model.StartResult.NO_TICKET:
            self._events.on_ticket_rejected(self._session, run)
        if answer.result in (model.StartResult.UNHEALTHY, model.StartResult.NO_ROOM):
            self._session.eject()
        if run.status is worker_run.RunStatus.STARTING:
            self._session.abandon(run, f"refused: {answer.result.value}")

    async def _stop(self, run: worker_run.Run) -> None:
        run.is_stop_in_flight = True
        born_ms = self._session.born_ms
        try:
            if await self._client.stop(
                self._session.entry, run.key, run.number, self._session.fence
            ):
                # The answer of a former life says nothing about the present one.
                if born_ms == self._session.born_ms:
                    run.stop_answered_at = asyncio.get_running_loop().time()
            else:
                self._events.on_fenced()
        except errors.ClementinesparError as error:
            self._log_event(
                "stop_unanswered",
                job=run.key.job_id,
                run=run.number,
                worker=self._session.entry.worker_id,
                code=int(error.code),
            )
        finally:
            run.is_stop_in_flight = False

    async def _pace(self, run: worker_run.Run, percent: int) -> None:
        try:
            await self._client.pace(
                self._session.entry, run.key, run.number, percent, self._session.fence
            )
        except errors.ClementinesparError as error:
            # The worker's pace is unknown now. -1 is not a valid pace, so that a later
            # report leads to an order again.
            run.pace = -1
            self._log_event(
                "pace_unanswered",
                job=run.key.job_id,
                worker=self._session.entry.worker_id,
                code=int(error.code),
            )
