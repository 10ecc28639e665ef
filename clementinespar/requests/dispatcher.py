"""Queues requests at their owner node and produces exactly one outcome for each.

Outcomes are exact. A request is reported as not run only if no attempt can have reached
a target, or if every target that was reached refused it and stated that nothing had
started. A request that is not repeatable is claimed in the log before its first attempt
and is never sent again after a byte of it may have been sent.
"""

import asyncio
import collections
import contextlib
import dataclasses
import math
from collections.abc import AsyncIterator, Callable
from typing import Any

import logbook

from clementinespar import background, codes
from clementinespar.capacity import demand
from clementinespar.claims import service as claim_service
from clementinespar.documents import model as document_model
from clementinespar.fleet import source as fleet_source
from clementinespar.requests import (
    admission,
    claiming,
    in_flight_requests,
    model,
    queueing,
    retries,
    selection,
    service_explanation,
    slots,
    target_pool,
)

# No event announces changes of the fold or the host list, so queued requests are
# dispatched again at this interval.
DISPATCH_INTERVAL_S = 0.1
# After this time without work another node may have owned the queue, so the targets'
# busy slots are read again.
OWNERSHIP_IDLE_S = 5.0
# A transport ends an attempt at the deadline; the outcome then still takes a few
# iterations of the event loop.
DEADLINE_GRACE_S = 1.0
# An attempt without an answer for this long, and for this many expected run times, is
# also sent to a second target if its own target is unresponsive and the retry budget
# allows it.
HEDGE_DELAY_S = 1.0
HEDGE_DELAY_RUN_TIMES = 8.0
MAX_REFUSED_IDS = 1024  # remembered ids of requests that are refused permanently

_CAPACITY_CODES = frozenset(
    {
        codes.ResultCode.QUEUE_FULL,
        codes.ResultCode.DEADLINE_TOO_SHORT,
        codes.ResultCode.NO_TARGET,
    }
)

_log = logbook.Logger(__name__)


class Dispatcher:
    """`RequestHandler` of an owner node for all services whose queues it owns.

    Parameters
    ----------
    source : fleet_source.FleetSource
        The document in force and the claims.
    targets : model.TargetDirectory
        Targets that may receive new work.
    transport : model.TargetTransport
        Connections to targets.
    claims : claim_service.ClaimService
        Claims of requests that may not be repeated.
    """

    _source: fleet_source.FleetSource
    _targets: model.TargetDirectory
    _transport: model.TargetTransport
    _claimer: claiming.RequestClaimer
    _services_by_name: dict[str, in_flight_requests.ServiceState]
    _target_pool: target_pool.TargetPool
    _in_flight_by_request_id: dict[str, in_flight_requests.InFlightRequest]
    # Outcomes of requests that failed on several targets, oldest first.
    _refused_by_request_id: collections.OrderedDict[str, model.Outcome]
    _tasks: background.Tasks  # requests, attempts and hedges
    _buffered_bytes: int  # bodies of all requests that wait or are in flight
    _is_draining: bool
    _idle: asyncio.Event  # set while no request is queued or in flight

    def __init__(
        self,
        source: fleet_source.FleetSource,
        targets: model.TargetDirectory,
        transport: model.TargetTransport,
        claims: claim_service.ClaimService,
    ) -> None:
        self._source = source
        self._targets = targets
        self._transport = transport
        self._claimer = claiming.RequestClaimer(source, claims)
        self._services_by_name = {}
        self._target_pool = target_pool.TargetPool(
            targets, transport, self._dispatch_all
        )
        self._in_flight_by_request_id = {}
        self._refused_by_request_id = collections.OrderedDict()
        self._tasks = background.Tasks()
        self._buffered_bytes = 0
        self._is_draining = False
        self._idle = asyncio.Event()
        self._idle.set()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Handle requests while the context is entered; end those in flight on exit.

        Attempts end although their targets may still run them, so a planned stop calls
        `begin_drain` and `wait_idle` first.
        """
        try:
            yield
        finally:
            await self._tasks.end()
            await self._claimer.end()
            await self._target_pool.end()

    # Request handling.

    async def handle(
        self, request: model.Request, on_started: Callable[[], None]
    ) -> model.Outcome:
        """Return the outcome of a request; see `model.RequestHandler`."""
        now = asyncio.get_running_loop().time()
        in_flight = self._in_flight_by_request_id.get(request.request_id)
        if in_flight is None:
            admitted = self._admit(request, on_started, now)
            if isinstance(admitted, model.Outcome):
                return admitted
            in_flight = admitted
        elif not _is_same_request(in_flight.request, request):
            return model.unknown(
                codes.ResultCode.ALREADY_CLAIMED,
                "another request with this id is in flight",
            )
        else:
            in_flight.started_callbacks.append(on_started)
            if in_flight.has_started:
                on_started()
        assert in_flight.task is not None
        in_flight.waiters += 1
        try:
            await asyncio.wait(
                {in_flight.task},
                timeout=max(0.0, request.deadline - now) + DEADLINE_GRACE_S,
            )
        finally:
            in_flight.waiters -= 1
            if in_flight.waiters == 0:
                self._drop_if_queued(in_flight)
        if not in_flight.task.done():
            return model.unknown(
                codes.ResultCode.OUTCOME_UNKNOWN,
                "the request was still in flight at its deadline",
            )
        return in_flight.task.result()

    # Capacity planning, explanation and shutdown.

    def demand_by_service(self) -> dict[str, demand.ServiceDemand]:
        """Return the demand of each service for which this node received requests."""
        now = asyncio.get_running_loop().time()
        demands = {}
        for name, service in self._services_by_name.items():
            if service.last_active_at == -math.inf:
                continue
            service.update_demand(now)
            mean_slots, refused_per_s = service.meter.read(now)
            # A previous owner reports the time of its last request, so that the newer
            # report of the current owner takes precedence.
            observed_at = (
                now
                if now - service.last_active_at < OWNERSHIP_IDLE_S
                else service.last_active_at
            )
            demands[name] = demand.ServiceDemand(
                name, mean_slots, refused_per_s, observed_at
            )
        return demands

    def ejected_host_ids(self) -> frozenset[str]:
        """Return the hosts whose targets are ejected."""
        ejected: frozenset[str] = frozenset()
        for service in self._services_by_name.values():
            ejected |= service.ejections.ejected_host_ids()
        return ejected

    def explain(self, service: str) -> dict[str, Any]:
        """Return why the requests of a service wait, for operators."""
        now = asyncio.get_running_loop().time()
        service_state = self._services_by_name.get(service)
        usable = (
            [] if service_state is None else self._usable_targets(service_state, now)
        )
        state = "draining" if self._is_draining else "serving"
        return service_explanation.explain(service, service_state, usable, state, now)

    def begin_drain(self) -> None:
        """Refuse new requests; queued and in-flight requests are finished."""
        self._is_draining = True

    async def wait_idle(self, timeout_s: float) -> list[str]:
        """Wait for the requests in flight; return the ids of those that remain."""
        try:
            await asyncio.wait_for(self._idle.wait(), timeout_s)
        except TimeoutError:
            pass
        return sorted(self._in_flight_by_request_id)

    # Admission.

    def _admit(
        self, request: model.Request, on_started: Callable[[], None], now: float
    ) -> in_flight_requests.InFlightRequest | model.Outcome:
        """Return an in-flight request whose task is started, or the refusal."""
        refused = self._refused_by_request_id.get(request.request_id)
        if refused is not None:
            return refused
        document = self._source.state.documents.production
        if document is None:
            return model.not_run(codes.ResultCode.NOT_READY, "no document is in force")
        declared = document.services.get(request.service)
        if declared is None:
            return model.not_run(
                codes.ResultCode.SERVICE_UNKNOWN,
                f"the document has no service {request.service}",
            )
        kind = declared.kinds.get(request.kind)
        if kind is None:
            return model.not_run(
                codes.ResultCode.REQUEST_INVALID,
                f"service {request.service} has no kind {request.kind}",
            )
        if not kind.repeatable and self._claimer.is_claimed(request.request_id):
            return model.unknown(
                codes.ResultCode.ALREADY_CLAIMED,
                "a request with this id was claimed before; it may have run",
            )
        if self._is_draining:
            return model.not_run(
                codes.ResultCode.NODE_STOPPING, "the owner node is stopping"
            )
        service = self._service_state(request.service, now)
        in_flight = self._make_in_flight(
            request, service, declared, kind, on_started, now
        )
        usable = self._usable_targets(service, now)
        refusal = admission.check_capacity(
            in_flight,
            usable,
            document,
            declared,
            # Lent targets are not in `usable` while services of the lending pool have
            # queued requests, but they still count as targets of the service.
            has_targets=bool(usable or self._targets.lent_targets_of(service.name)),
            buffered_bytes=self._buffered_bytes,
            now=now,
        )
        if refusal is not None:
            if refusal.code in _CAPACITY_CODES:
                service.meter.record_refusal(now)
            return refusal
        # Refused requests put no load on the targets, so they add no retries.
        service.budget.record_request(now)
        self._in_flight_by_request_id[request.request_id] = in_flight
        self._buffered_bytes += len(request.body)
        self._idle.clear()
        in_flight.task = self._tasks.start(self._run(in_flight))
        # Counted now, not when the task runs: the admission of requests that arrive in
        # the same iteration of the event loop must count this one.
        if in_flight.is_repeatable:
            self._enqueue(in_flight)
        else:
            service.claiming_count += 1
        return in_flight

    def _make_in_flight(
        self,
        request: model.Request,
        service: in_flight_requests.ServiceState,
        declared: document_model.Service,
        kind: document_model.Kind,
        on_started: Callable[[], None],
        now: float,
    ) -> in_flight_requests.InFlightRequest:
        declared_ms = request.declared_run_ms or kind.declared_run_ms
        is_long = service.is_long_by_kind.get(
            request.kind, declared_ms > declared.short_run_ms
        )
        document = self._source.state.documents.production
        has_quota = document is not None and request.team in document.teams
        entry = queueing.QueueEntry(
            request_id=request.request_id,
            kind=request.kind,
            team=request.team if has_quota else None,
            is_urgent=request.is_urgent,
            deadline=request.deadline,
            cost_s=service.run_times.expected_s(request.kind, 0.0),
            is_long=is_long,
        )
        service.queue.record_arrival(is_long, now)
        return in_flight_requests.InFlightRequest(
            request, service, entry, kind.repeatable, declared_ms / 1000, [on_started]
        )

    def _service_state(self, name: str, now: float) -> in_flight_requests.ServiceState:
        """Return the state of a service, creating it if needed.

        If the node was idle for long enough that another node may have owned the queue,
        the slot counts of the targets are invalidated.
        """
        service = self._services_by_name.get(name)
        if service is None:
            service = self._services_by_name[name] = in_flight_requests.ServiceState(
                name, now
            )
        is_idle = not service.uses and not len(service.queue)
        if is_idle and now - service.last_active_at > OWNERSHIP_IDLE_S:
            self._target_pool.invalidate_slots(service.host_ids)
        service.last_active_at = now
        return service

    # Execution of one request.

    async def _run(
        self, in_flight: in_flight_requests.InFlightRequest
    ) -> model.Outcome:
        """Return the outcome of an admitted request; never raises."""
        try:
            outcome = await self._claim_and_send(in_flight)
        except Exception:
            _log.exception("request {} failed", in_flight.request.request_id)
            make_outcome = model.unknown if in_flight.has_started else model.not_run
            outcome = make_outcome(codes.ResultCode.INTERNAL_ERROR, "internal error")
        if in_flight.is_claimed and outcome.kind is model.OutcomeKind.NOT_RUN:
            await self._claimer.release(in_flight.request)
        loop = asyncio.get_running_loop()
        if outcome.code in _CAPACITY_CODES:
            in_flight.service.meter.record_refusal(loop.time())
        self._buffered_bytes -= len(in_flight.request.body)
        del self._in_flight_by_request_id[in_flight.request.request_id]
        if not self._in_flight_by_request_id:
            self._idle.set()
        return dataclasses.replace(
            outcome, attempts=in_flight.attempts, waited_s=in_flight.waited_s
        )

    async def _claim_and_send(
        self, in_flight: in_flight_requests.InFlightRequest
    ) -> model.Outcome:
        if not in_flight.is_repeatable:
            try:
                refusal = await self._claim(in_flight)
            finally:
                in_flight.service.claiming_count -= 1
            if refusal is not None:
                return refusal
        while True:
            assignment = await self._wait_for_slot(in_flight)
            if isinstance(assignment, model.Outcome):
                if assignment.kind is model.OutcomeKind.ANSWERED:
                    return assignment
                return self._outcome_of_failures(in_flight, assignment)
            self._start_attempt(in_flight, assignment)
            answer = await self._wait_for_answer(in_flight)
            if answer is not None:
                return _answered(*answer)
            if in_flight.is_hedging:
                in_flight.is_hedging = False
                continue
            refusal = self._check_retry(in_flight)
            if refusal is not None:
                return self._outcome_of_failures(in_flight, refusal)

    async def _claim(
        self, in_flight: in_flight_requests.InFlightRequest
    ) -> model.Outcome | None:
        """Claim a request; returns the refusal if it must not be sent, else None."""
        now = asyncio.get_running_loop().time()
        min_expected_s = in_flight.service.run_times.min_expected_s(
            in_flight.request.kind, now
        )
        refusal = await self._claimer.claim(
            in_flight.request, in_flight.request.deadline - now - min_expected_s
        )
        in_flight.is_claimed = refusal is None
        return refusal

    async def _wait_for_slot(
        self, in_flight: in_flight_requests.InFlightRequest
    ) -> in_flight_requests.Assignment | model.Outcome:
        """Wait in the queue; returns a target with a slot, or the refusal."""
        loop = asyncio.get_running_loop()
        entry = in_flight.entry
        while True:
            if in_flight.assignment is None:
                if in_flight.waiters == 0:
                    return _cancelled()
                self._enqueue(in_flight)
            assert in_flight.assignment is not None
            assignment = await in_flight.assignment
            in_flight.assignment = None
            in_flight.waited_s += loop.time() - in_flight.queued_at
            if isinstance(assignment, model.Outcome):
                return assignment
            if in_flight.waiters and loop.time() < entry.deadline:
                if assignment.target in self._targets_of(in_flight.service.name):
                    return assignment
                # Another attempt has reported that the target is leaving after the
                # slot was assigned, so the request waits for another target.
                self._release_unused(in_flight, assignment)
                continue
            # The caller left, or the deadline passed, after the slot was assigned.
            self._release_unused(in_flight, assignment)
            if in_flight.waiters == 0:
                return _cancelled()
            return model.not_run(
                codes.ResultCode.DEADLINE_PASSED, "the deadline has passed"
            )

    def _enqueue(self, in_flight: in_flight_requests.InFlightRequest) -> None:
        """Add a request to the queue; `_dequeue` removes it."""
        loop = asyncio.get_running_loop()
        service, entry = in_flight.service, in_flight.entry
        entry.is_long = service.is_long_by_kind.get(entry.kind, entry.is_long)
        in_flight.assignment = loop.create_future()
        in_flight.queued_at = loop.time()
        service.requests_by_entry[entry] = in_flight
        service.queue.add(entry)
        min_expected_s = service.run_times.min_expected_s(entry.kind, loop.time())
        in_flight.expiry = loop.call_at(
            entry.deadline - min_expected_s, self._expire, in_flight
        )
        service.update_demand(loop.time())
        self._dispatch_queued(service)

    def _start_attempt(
        self,
        in_flight: in_flight_requests.InFlightRequest,
        assignment: in_flight_requests.Assignment,
    ) -> None:
        in_flight.attempts += 1
        in_flight.tried_host_ids.add(assignment.target.host_id)
        in_flight.mark_started()
        task = self._tasks.start(self._attempt(in_flight, assignment))
        in_flight.running.add(task)

    async def _attempt(
        self,
        in_flight: in_flight_requests.InFlightRequest,
        assignment: in_flight_requests.Assignment,
    ) -> tuple[str, model.Attempt]:
        """Make one attempt and record its result, even if all callers have left."""
        loop = asyncio.get_running_loop()
        service, use = in_flight.service, assignment.use
        document = self._source.state.documents.production
        declared = None if document is None else document.services.get(service.name)
        short_run_s = math.inf if declared is None else declared.short_run_ms / 1000
        timer = None
        if not use.is_long and short_run_s < math.inf:
            timer = loop.call_later(
                short_run_s, self._reclassify_as_long, in_flight, use
            )
        began_at = loop.time()
        try:
            attempt = await self._transport.send(
                assignment.target,
                in_flight.request,
                in_flight.request.deadline - began_at,
                in_flight.is_repeatable,
            )
        except Exception:
            _log.exception("attempt of {} failed", in_flight.request.request_id)
            attempt = model.Attempt(
                model.AttemptKind.UNKNOWN, codes.ResultCode.INTERNAL_ERROR
            )
        finally:
            if timer is not None:
                timer.cancel()
        self._record_attempt(in_flight, assignment, attempt, loop.time() - began_at)
        return assignment.target.host_id, attempt

    def _record_attempt(
        self,
        in_flight: in_flight_requests.InFlightRequest,
        assignment: in_flight_requests.Assignment,
        attempt: model.Attempt,
        run_s: float,
    ) -> None:
        """Record a finished attempt: slot, run time, ejection, leaving."""
        now = asyncio.get_running_loop().time()
        service, host_id = in_flight.service, assignment.target.host_id
        request_id = in_flight.request.request_id
        is_answer = attempt.kind is model.AttemptKind.ANSWERED
        # A target that answers, with whatever status, has finished the work.
        is_over = attempt.kind is not model.AttemptKind.UNKNOWN or attempt.status != 0
        assignment.target_slots.release(assignment.use, is_over, now)
        service.uses.pop(assignment.use, None)
        service.last_active_at = now
        if attempt.is_leaving:
            self._target_pool.mark_leaving(assignment.target, service.name)
        if is_answer:
            if in_flight.assignment is not None and not in_flight.assignment.done():
                # The unresponsive target answered while its request was queued for a
                # second target.
                self._dequeue(in_flight, _answered(host_id, attempt))
            service.run_times.observe(in_flight.request.kind, run_s, now)
            self._update_class(service, in_flight.request.kind)
            service.ejections.record_success(host_id, request_id, now)
        elif attempt.is_leaving:
            service.ejections.cancel_probe(host_id)
        else:
            if attempt.kind is model.AttemptKind.NOT_STARTED and attempt.status:
                # The target has fewer free slots than this node counted: another node
                # may have sent work to it.
                assignment.target_slots.is_status_known = False
            service.ejections.record_failure(
                host_id, request_id, now, len(service.host_ids)
            )
        service.update_demand(now)
        self._dispatch_after_release(service)

    async def _wait_for_answer(
        self, in_flight: in_flight_requests.InFlightRequest
    ) -> tuple[str, model.Attempt] | None:
        """Wait for the attempts in flight; None if all of them failed."""
        loop = asyncio.get_running_loop()
        give_up_at = in_flight.request.deadline + DEADLINE_GRACE_S / 2
        began_at = loop.time()
        hedge_at = began_at + self._hedge_delay_s(in_flight)
        check: asyncio.Task[None] | None = None
        while in_flight.running:
            now = loop.time()
            if now >= give_up_at:
                unresponsive = model.Attempt(
                    model.AttemptKind.UNKNOWN, codes.ResultCode.TARGET_SILENT
                )
                in_flight.failures.append(("", unresponsive))
                return None
            if now >= hedge_at:
                # The estimated run time may have changed since the attempt started.
                hedge_at = began_at + self._hedge_delay_s(in_flight)
                if now >= hedge_at:
                    hedge_at = math.inf
                    check = self._tasks.start(self._hedge_if_unresponsive(in_flight))
            waits_for: set[asyncio.Task[Any]] = set(in_flight.running)
            if check is not None:
                waits_for.add(check)
            await asyncio.wait(
                waits_for,
                timeout=min(give_up_at, hedge_at) - now,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if check is not None and check.done():
                check = None
                if in_flight.is_hedging:
                    return None
            for task in [task for task in in_flight.running if task.done()]:
                in_flight.running.discard(task)
                host_id, attempt = task.result()
                if attempt.kind is model.AttemptKind.ANSWERED:
                    return host_id, attempt
                in_flight.failures.append((host_id, attempt))
        return None

    def _hedge_delay_s(self, in_flight: in_flight_requests.InFlightRequest) -> float:
        """Return after what time without an answer the target is checked."""
        expected_s = in_flight.service.run_times.expected_s(
            in_flight.request.kind, in_flight.declared_s
        )
        return max(HEDGE_DELAY_S, HEDGE_DELAY_RUN_TIMES * expected_s)

    async def _hedge_if_unresponsive(
        self, in_flight: in_flight_requests.InFlightRequest
    ) -> None:
        """Request a second attempt if the first target is unresponsive.

        A straggler still occupies one of the busy slots that its target reports, and is
        not hedged. The first attempt keeps its slot, and its answer still counts.
        """
        loop = asyncio.get_running_loop()
        service, request_id = in_flight.service, in_flight.request.request_id
        targets_by_host_id = {
            target.host_id: target for target in self._targets_of(service.name)
        }
        for host_id in in_flight.tried_host_ids & targets_by_host_id.keys():
            old_uses = self._target_pool.slots_by_host_id[host_id].uses_before(
                loop.time() - HEDGE_DELAY_S / 2
            )
            status = await self._transport.status(
                targets_by_host_id[host_id], target_pool.STATUS_TIMEOUT_S
            )
            still_in_use = sum(not use.is_released for use in old_uses)
            if status is not None and status.busy_slots >= still_in_use:
                return
            service.ejections.record_failure(
                host_id, request_id, loop.time(), len(service.host_ids)
            )
        if (
            not in_flight.running
            or in_flight.waiters == 0
            or not in_flight.is_repeatable
            or in_flight.attempts >= retries.MAX_ATTEMPTS
            or loop.time() >= in_flight.request.deadline
            or all(host_id in in_flight.tried_host_ids for host_id in service.host_ids)
            or self._exhausted_quota(service, in_flight.entry) is not None
        ):
            return
        # The second attempt is queued like any other request, with the request's
        # original order of arrival.
        in_flight.is_hedging = service.budget.try_acquire(loop.time())

    def _check_retry(
        self, in_flight: in_flight_requests.InFlightRequest
    ) -> model.Outcome | None:
        """Return the refusal if a failed request must not be sent again, else None."""
        now = asyncio.get_running_loop().time()
        service = in_flight.service
        has_run = any(
            attempt.kind is model.AttemptKind.UNKNOWN
            for _, attempt in in_flight.failures
        )
        if has_run and not in_flight.is_repeatable:
            return model.not_run(
                codes.ResultCode.TARGETS_REFUSED, "the request may have run"
            )
        if in_flight.waiters == 0:
            return _cancelled()
        if now >= in_flight.request.deadline:
            return model.not_run(
                codes.ResultCode.DEADLINE_PASSED, "the deadline has passed"
            )
        if in_flight.attempts >= retries.MAX_ATTEMPTS or not any(
            target.host_id not in in_flight.tried_host_ids
            for target in self._targets_of(service.name)
        ):
            return model.not_run(
                codes.ResultCode.TARGETS_REFUSED,
                f"{in_flight.attempts} targets did not accept the request",
            )
        if not service.budget.try_acquire(now):
            return model.not_run(
                codes.ResultCode.RETRY_BUDGET_EMPTY,
                "a target did not accept the request and the retry budget is empty",
            )
        return None

    def _outcome_of_failures(
        self, in_flight: in_flight_requests.InFlightRequest, refusal: model.Outcome
    ) -> model.Outcome:
        """Return the outcome of a request without an answered attempt."""
        may_have_run = [
            (host_id, attempt)
            for host_id, attempt in in_flight.failures
            if attempt.kind is model.AttemptKind.UNKNOWN
        ]
        if not may_have_run and not in_flight.running:
            host_id = in_flight.failures[-1][0] if in_flight.failures else None
            return dataclasses.replace(refusal, host_id=host_id)
        host_ids = {host_id for host_id, _ in may_have_run if host_id}
        if len(host_ids) > 1:
            in_flight.service.ejections.discard_failures(
                in_flight.request.request_id, host_ids
            )
            outcome = model.unknown(
                codes.ResultCode.REQUEST_FAILED_REPEATEDLY,
                f"the request failed on {len(host_ids)} targets",
            )
            self._refused_by_request_id[in_flight.request.request_id] = outcome
            while len(self._refused_by_request_id) > MAX_REFUSED_IDS:
                self._refused_by_request_id.popitem(last=False)
            return outcome
        if not may_have_run:
            return model.unknown(
                codes.ResultCode.TARGET_SILENT, "a target did not answer"
            )
        host_id, attempt = may_have_run[-1]
        return dataclasses.replace(
            model.unknown(
                attempt.code, attempt.reason or "the target's answer was lost"
            ),
            host_id=host_id or None,
        )

    # Queue and choice of targets.

    def _drop_if_queued(self, in_flight: in_flight_requests.InFlightRequest) -> None:
        """Drop a queued request whose callers have all left."""
        if in_flight.assignment is not None and not in_flight.assignment.done():
            self._dequeue(in_flight, _cancelled())

    def _expire(self, in_flight: in_flight_requests.InFlightRequest) -> None:
        """Refuse a queued request that can no longer finish before its deadline."""
        if in_flight.assignment is None or in_flight.assignment.done():
            return
        service, entry = in_flight.service, in_flight.entry
        now = asyncio.get_running_loop().time()
        usable = self._usable_targets(service, now)
        code = codes.ResultCode.DEADLINE_TOO_SHORT
        reason = "no slot became free before the deadline"
        if not usable:
            code = codes.ResultCode.NO_TARGET
            reason = "no target could receive work before the deadline"
        else:
            max_slots = self._exhausted_quota(service, entry)
            if max_slots is not None:
                code = codes.ResultCode.TEAM_QUOTA_EXCEEDED
                reason = f"team {entry.team} used its {max_slots} slots"
        self._dequeue(in_flight, model.not_run(code, reason))

    def _exhausted_quota(
        self, service: in_flight_requests.ServiceState, entry: queueing.QueueEntry
    ) -> int | None:
        """Return the slot quota of a request's team if it is exhausted, else None."""
        document = self._source.state.documents.production
        if entry.team is None or document is None:
            return None
        team = document.teams.get(entry.team)
        in_use = sum(use.team == entry.team for use in service.uses)
        if team is None or in_use < team.max_slots:
            return None
        return team.max_slots

    def _dequeue(
        self,
        in_flight: in_flight_requests.InFlightRequest,
        result: in_flight_requests.Assignment | model.Outcome,
    ) -> None:
        """Remove a request from the queue and resolve its assignment."""
        assert in_flight.assignment is not None and in_flight.expiry is not None
        in_flight.expiry.cancel()
        in_flight.service.queue.remove(in_flight.entry)
        del in_flight.service.requests_by_entry[in_flight.entry]
        in_flight.assignment.set_result(result)
        in_flight.service.update_demand(asyncio.get_running_loop().time())

    def _dispatch_queued(self, service: in_flight_requests.ServiceState) -> None:
        """Assign free slots to the queued requests of a service."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        document = self._source.state.documents.production
        declared = None if document is None else document.services.get(service.name)
        while document is not None and declared is not None and len(service.queue):
            usable = self._usable_targets(service, now)
            if not selection.has_free_target(service, usable, now):
                break
            slot_counts = selection.count_slots(service, usable, document, declared)
            found = selection.select_next(service, usable, slot_counts, now)
            if found is None:
                break
            in_flight, chosen = found
            self._dequeue(in_flight, self._assign(in_flight, chosen, now))
        if len(service.queue) and service.dispatch_timer is None:
            service.dispatch_timer = loop.call_later(
                DISPATCH_INTERVAL_S, self._on_dispatch_timer, service
            )

    def _on_dispatch_timer(self, service: in_flight_requests.ServiceState) -> None:
        service.dispatch_timer = None
        self._dispatch_queued(service)

    def _assign(
        self,
        in_flight: in_flight_requests.InFlightRequest,
        chosen: target_pool.PoolMember,
        now: float,
    ) -> in_flight_requests.Assignment:
        service, entry = in_flight.service, in_flight.entry
        host_id = chosen.target.host_id
        if service.ejections.is_ejected(host_id):
            service.ejections.start_probe(host_id)
        use = chosen.slots.acquire(
            entry.request_id, entry.is_long, entry.team, now, chosen.is_lent
        )
        service.uses[use] = entry.kind
        return in_flight_requests.Assignment(chosen.target, chosen.slots, use)

    def _release_unused(
        self,
        in_flight: in_flight_requests.InFlightRequest,
        assignment: in_flight_requests.Assignment,
    ) -> None:
        """Release a slot to which no attempt was sent."""
        now = asyncio.get_running_loop().time()
        assignment.target_slots.release(assignment.use, True, now)
        in_flight.service.uses.pop(assignment.use, None)
        in_flight.service.ejections.cancel_probe(assignment.target.host_id)
        self._dispatch_after_release(in_flight.service)

    def _usable_targets(
        self, service: in_flight_requests.ServiceState, now: float
    ) -> list[target_pool.PoolMember]:
        """Return the targets that may receive work of a service, with their slots."""
        document = self._source.state.documents.production
        declared = None if document is None else document.services.get(service.name)
        if declared is None:
            return []
        assert document is not None
        members = self._target_pool.members(service.name, declared, now)
        if not self._has_queued_requests(document, document.lender_pool(service.name)):
            members += self._target_pool.lent_members(service.name, document, now)
        host_ids = {member.target.host_id for member in members}
        if host_ids != service.host_ids:
            service.host_ids = host_ids
            service.ejections.retain_hosts(host_ids)
        return members

    def _has_queued_requests(
        self, document: document_model.Document, pool: str | None
    ) -> bool:
        """Whether services of a pool have queued requests; it then lends no slots."""
        return any(
            len(service.queue) > 0
            for name, service in self._services_by_name.items()
            if name in document.services and document.services[name].pool == pool
        )

    def _dispatch_after_release(self, service: in_flight_requests.ServiceState) -> None:
        """Assign a released slot to its service first, then to other services."""
        self._dispatch_queued(service)
        self._dispatch_all(skipped=service)

    def _dispatch_all(
        self, skipped: in_flight_requests.ServiceState | None = None
    ) -> None:
        """Assign free slots to the queued requests of all services but ``skipped``."""
        for service in list(self._services_by_name.values()):
            if len(service.queue) and service is not skipped:
                self._dispatch_queued(service)

    def _targets_of(self, service: str) -> list[model.Target]:
        """Return own and lent targets of a service."""
        return [
            *self._targets.targets_of(service),
            *self._targets.lent_targets_of(service),
        ]

    # Run-time classes.

    def _reclassify_as_long(
        self, in_flight: in_flight_requests.InFlightRequest, use: slots.SlotUse
    ) -> None:
        """Count a running request as long once it exceeds the short class's limit."""
        now = asyncio.get_running_loop().time()
        use.is_long = True
        # A lower bound of the run time, recorded before the answer: otherwise many long
        # requests that were declared short would take all slots before the first one
        # finished.
        in_flight.service.run_times.observe(
            in_flight.request.kind, 2 * (now - use.started_at), now
        )
        self._update_class(in_flight.service, in_flight.request.kind)

    def _update_class(
        self, service: in_flight_requests.ServiceState, kind: str
    ) -> None:
        document = self._source.state.documents.production
        declared = None if document is None else document.services.get(service.name)
        if declared is None:
            return
        expected_s = service.run_times.expected_s(kind, 0.0)
        is_long = expected_s > declared.short_run_ms / 1000
        if service.is_long_by_kind.get(kind) != is_long:
            service.is_long_by_kind[kind] = is_long
            service.queue.reclassify(kind, is_long, expected_s)


def _is_same_request(first: model.Request, second: model.Request) -> bool:
    return (
        first.service == second.service
        and first.kind == second.kind
        and first.body == second.body
    )


def _answered(host_id: str, attempt: model.Attempt) -> model.Outcome:
    return model.Outcome(
        model.OutcomeKind.ANSWERED,
        codes.ResultCode.OK,
        status=attempt.status,
        body=attempt.body,
        content_type=attempt.content_type,
        host_id=host_id,
    )


def _cancelled() -> model.Outcome:
    return model.not_run(codes.ResultCode.REQUEST_CANCELLED, "the caller left")
