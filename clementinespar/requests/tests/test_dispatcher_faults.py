"""Stateful test of the dispatcher with faulty targets and a faulty claim service."""

import asyncio
import collections
from typing import Any

import hypothesis
import hypothesis.stateful
from hypothesis import strategies

from clementinespar import codes
from clementinespar.requests import dispatcher, model, retries
from clementinespar.requests.tests import helpers
from clementinespar.tests import paused_clock
from standins import fake_target

HOSTS = 4
SLOTS = 2
LONGEST_DEADLINE_S = 20.0


class CheckingTransport(fake_target.FakeTargetTransport):
    """Records attempts that the dispatcher must not send as violations."""

    leaving_host_ids: set[str]  # hosts that reported that they are leaving
    in_flight_by_team: collections.Counter[str | None]
    sent: collections.Counter[str]  # attempts by request id
    violations: list[str]

    def __init__(self, targets_by_host_id: dict[str, fake_target.FakeTarget]) -> None:
        super().__init__(targets_by_host_id)
        self.leaving_host_ids = set()
        self.in_flight_by_team = collections.Counter()
        self.sent = collections.Counter()
        self.violations = []

    async def send(
        self,
        target: model.Target,
        request: model.Request,
        timeout_s: float,
        repeatable: bool,
    ) -> model.Attempt:
        """Check, then send."""
        if target.host_id in self.leaving_host_ids:
            self.violations.append(f"{target.host_id} is leaving and got new work")
        if repeatable != (request.kind != "order"):
            self.violations.append(f"{request.kind} was sent as {repeatable=}")
        self.sent[request.request_id] += 1
        self.in_flight_by_team[request.team] += 1
        if self.in_flight_by_team["small"] > 2:
            self.violations.append("team small exceeds its quota")
        try:
            attempt = await super().send(target, request, timeout_s, repeatable)
            if attempt.is_leaving and self._is_leaving(target.host_id):
                self.leaving_host_ids.add(target.host_id)
            return attempt
        finally:
            self.in_flight_by_team[request.team] -= 1

    def _is_leaving(self, host_id: str) -> bool:
        return self.targets_by_host_id[host_id].state.faults.leaving


class DispatcherMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Submits requests, injects faults and advances time in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = paused_clock.PausedClockLoop()
        self.source = helpers.FakeSource(
            helpers.make_document(HOSTS, slots_per_target=SLOTS, max_queue=30)
        )
        self.fakes = helpers.make_fakes(HOSTS, SLOTS)
        self.directory = helpers.FakeTargetDirectory(list(self.fakes))
        self.transport = CheckingTransport(self.fakes)
        self.claims = helpers.FakeClaimService(self.source)
        self.requests: list[model.Request] = []
        self.tasks: list[tuple[model.Request, asyncio.Task[model.Outcome]]] = []
        self.started_ids: set[str] = set()
        self.runs_when_refused: list[int] = []
        self.last_tasks_by_id: dict[str, asyncio.Task[model.Outcome]] = {}
        self.abandoned_tasks: set[asyncio.Task[model.Outcome]] = set()
        self.advance(0.0)  # the dispatcher needs a running loop
        self.dispatcher = self.loop.run_until_complete(self._make_dispatcher())

    async def _make_dispatcher(self) -> dispatcher.Dispatcher:
        return dispatcher.Dispatcher(
            self.source, self.directory, self.transport, self.claims
        )

    def _submit(self, request: model.Request) -> None:
        def mark_started() -> None:
            self.started_ids.add(request.request_id)

        def record_outcome(done: asyncio.Task[model.Outcome]) -> None:
            if done.cancelled():
                return
            if done.result().kind is model.OutcomeKind.NOT_RUN:
                self.runs_when_refused.append(self._runs(request.request_id))

        task = self.loop.create_task(self.dispatcher.handle(request, mark_started))
        task.add_done_callback(record_outcome)
        self.tasks.append((request, task))
        self.last_tasks_by_id[request.request_id] = task

    @hypothesis.stateful.rule(
        kind=strategies.sampled_from(["plan", "plan", "report", "order", "order"]),
        run_ms=strategies.sampled_from([0, 20, 300, 3000, 60_000]),
        declared_ms=strategies.sampled_from([None, 1, 100_000]),
        deadline_s=strategies.sampled_from([0.05, 1.0, 5.0, LONGEST_DEADLINE_S]),
        team=strategies.sampled_from([None, "small"]),
        is_urgent=strategies.booleans(),
        count=strategies.integers(1, 12),
        then_s=strategies.sampled_from([0.0, 0.005, 0.05, 0.5, 3.0]),
    )
    def submit(
        self,
        kind: str,
        run_ms: int,
        declared_ms: int | None,
        deadline_s: float,
        team: str | None,
        is_urgent: bool,
        count: int,
        then_s: float,
    ) -> None:
        for _ in range(count):
            request = model.Request(
                request_id=f"{len(self.requests)}-{kind}",
                service="scale",
                kind=kind,
                body=b'{"run_ms": %d}' % run_ms,
                content_type="application/json",
                deadline=self.loop.time() + deadline_s,
                team=team,
                is_urgent=is_urgent,
                declared_run_ms=declared_ms,
            )
            self.requests.append(request)
            self._submit(request)
        self.advance(then_s)

    @hypothesis.stateful.precondition(lambda self: self.requests)
    @hypothesis.stateful.rule(data=strategies.data())
    def submit_order_again(self, data: strategies.DataObject) -> None:
        orders = [r for r in self.requests if r.kind == "order"][-20:]
        if orders:
            self._submit(data.draw(strategies.sampled_from(orders)))
            self.advance(0.02)

    @hypothesis.stateful.rule(share=strategies.sampled_from([1, 3, 5]))
    def callers_leave(self, share: int) -> None:
        for _, task in self.tasks[::share]:
            if not task.done():
                self.abandoned_tasks.add(task)
                task.cancel()

    @hypothesis.stateful.rule(
        number=strategies.integers(0, HOSTS - 1),
        fault=strategies.sampled_from(
            [
                "fail_all",
                "freeze",
                "silent",
                "drop_before_answer",
                "wrong_request_id",
                "leaving",
                "refuse",
            ]
        ),
        value=strategies.booleans(),
    )
    def set_fault(self, number: int, fault: str, value: bool) -> None:
        self.fakes[f"h{number}"].state.faults.update({fault: value})
        if fault == "leaving" and not value:
            self.transport.leaving_host_ids.discard(f"h{number}")

    @hypothesis.stateful.rule(number=strategies.integers(0, HOSTS - 1))
    def kill_or_restart(self, number: int) -> None:
        fake = self.fakes[f"h{number}"]
        if fake.is_killed:
            fake.restart()
            self.transport.leaving_host_ids.discard(f"h{number}")
        else:
            fake.kill()

    @hypothesis.stateful.rule(
        mode=strategies.sampled_from(["ok", "ok", "down", "lost", "stuck", "broken"])
    )
    def set_claims(self, mode: str) -> None:
        self.claims.mode = mode

    @hypothesis.stateful.rule(
        seconds=strategies.sampled_from([0.001, 0.02, 0.3, 2.0, 15.0])
    )
    def advance(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @hypothesis.stateful.invariant()
    def outcomes_are_exact(self) -> None:
        for request, task in self.tasks:
            if task.done() and task not in self.abandoned_tasks:
                # A request that was refused may run when it is submitted again.
                is_last = self.last_tasks_by_id[request.request_id] is task
                self._check_outcome(request, task.result(), is_last)
        assert not any(self.runs_when_refused), "ran and was refused as not run"
        assert not self.transport.violations
        for fake in self.fakes.values():
            assert fake.state.refused_full == 0, "work beyond the free slots was sent"
        for request_id, sent in self.transport.sent.items():
            submitted = sum(r.request_id == request_id for r, _ in self.tasks)
            assert sent <= retries.MAX_ATTEMPTS * submitted
            assert request_id in self.started_ids

    def _check_outcome(
        self, request: model.Request, outcome: model.Outcome, is_last: bool
    ) -> None:
        request_id = request.request_id
        runs = self._runs(request_id)
        # Callers recognise requests that were not run by result codes 300 to 399.
        assert (outcome.code // 100 == 3) == (outcome.kind is model.OutcomeKind.NOT_RUN)
        if outcome.kind is model.OutcomeKind.ANSWERED:
            assert f'"request_id": "{request_id}"'.encode() in outcome.body
            assert runs >= 1
        elif outcome.kind is model.OutcomeKind.NOT_RUN and is_last:
            assert runs == 0, (outcome, "ran although it was refused as not run")
        if request.kind == "order":
            assert runs <= 1, "a request that must not repeat ran again"

    def _runs(self, request_id: str) -> int:
        return sum(
            fake.state.runs_by_request_id[request_id] for fake in self.fakes.values()
        )

    def teardown(self) -> None:
        """Check that a drain ends with an outcome for every request in flight."""
        self.dispatcher.begin_drain()
        late = model.Request("late-1", "scale", "plan", b"", "", self.loop.time() + 9)
        self._submit(late)
        remaining = self.loop.run_until_complete(
            self.dispatcher.wait_idle(LONGEST_DEADLINE_S + 2)
        )
        self.advance(0.1)
        assert not remaining
        for request, task in self.tasks:
            assert task.done(), f"{request.request_id} has no outcome"
        assert self.tasks[-1][1].result().code == codes.ResultCode.NODE_STOPPING
        # Work that continues at its target must not contradict the reported outcomes.
        self.advance(100.0)
        self.outcomes_are_exact()
        self._close_loop()

    def _close_loop(self) -> None:
        tasks: set[asyncio.Task[Any]] = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(asyncio.wait(tasks))
        self.loop.close()


TestDispatcherMachine = DispatcherMachine.TestCase
TestDispatcherMachine.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)


def test_assigned_request_is_not_sent_to_a_target_that_reports_leaving() -> None:
    """Guards against an attempt at a target that reported leaving a moment before.

    The slot is assigned in the same instant in which another attempt reports that the
    target is leaving.
    """
    machine = DispatcherMachine()
    try:
        for count, deadline_s, declared_ms, run_ms, then_s in (
            (2, 1.0, 100_000, 3000, 0.5),
            (11, 1.0, None, 300, 0.005),
            (2, 0.05, None, 0, 0.5),
        ):
            machine.submit(
                "plan", run_ms, declared_ms, deadline_s, None, False, count, then_s
            )
        machine.set_fault(2, "leaving", True)
        machine.advance(LONGEST_DEADLINE_S)
        assert machine.transport.violations == []
    finally:
        machine._close_loop()
