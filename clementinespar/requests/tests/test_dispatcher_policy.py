"""Tests of queue order, retries, ejection, claims and counts of busy slots."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from clementinespar import codes
from clementinespar.requests import (
    admission,
    dispatcher,
    ejection,
    model,
    queueing,
    retries,
    target_pool,
)
from clementinespar.requests.tests import helpers
from clementinespar.tests import paused_clock
from standins import fake_target


class Setup:
    """A dispatcher with fake targets on a paused clock."""

    def __init__(self, host_count: int = 4, slots: int = 2, **options: object) -> None:
        self.slots = slots
        self.source = helpers.FakeSource(
            helpers.make_document(host_count, slots_per_target=slots, **options)
        )
        self.fakes = helpers.make_fakes(host_count, slots)
        self.directory = helpers.FakeTargetDirectory(list(self.fakes))
        self.claims = helpers.FakeClaimService(self.source)
        self.transport = fake_target.FakeTargetTransport(self.fakes)
        self.dispatcher = dispatcher.Dispatcher(
            self.source, self.directory, self.transport, self.claims
        )
        self.count = 0

    def submit(
        self,
        kind: str = "plan",
        run_ms: int = 20,
        deadline_s: float = 30.0,
        request_id: str | None = None,
        is_urgent: bool = False,
    ) -> "asyncio.Task[model.Outcome]":
        """Submit one request."""
        self.count += 1
        loop = asyncio.get_running_loop()
        request = model.Request(
            request_id=request_id or f"{self.count}-{kind}",
            service="scale",
            kind=kind,
            body=b'{"run_ms": %d}' % run_ms,
            content_type="application/json",
            deadline=loop.time() + deadline_s,
            is_urgent=is_urgent,
        )
        return loop.create_task(self.dispatcher.handle(request, lambda: None))

    async def submit_many(self, count: int, **options: object) -> list[model.Outcome]:
        """Submit requests at once and wait for all outcomes."""
        tasks = [self.submit(**options) for _ in range(count)]  # type: ignore[arg-type]
        return list(await asyncio.gather(*tasks))

    def runs(self, request_id: str) -> int:
        """Return how many times a request ran."""
        return sum(f.state.runs_by_request_id[request_id] for f in self.fakes.values())


def run(main: Callable[[Setup], Awaitable[None]], **options: Any) -> None:
    """Run a test on a paused clock with a setup of the given options."""

    async def wrapped() -> None:
        setup = Setup(**options)
        async with setup.transport.running(), setup.dispatcher.running():
            await main(setup)

    paused_clock.run(wrapped())


def test_short_work_passes_long_work_that_came_first() -> None:
    """Guards against head-of-line blocking by long work."""

    async def main(setup: Setup) -> None:
        await setup.submit_many(4, run_ms=20)  # short work came recently
        long_tasks = [setup.submit("report", run_ms=4000) for _ in range(12)]
        await asyncio.sleep(1.0)
        waits = [(await setup.submit(run_ms=20)).waited_s for _ in range(20)]
        assert max(waits) < 0.1
        outcomes = await asyncio.gather(*long_tasks)
        assert all(o.kind is model.OutcomeKind.ANSWERED for o in outcomes)

    run(main)


def test_long_work_declared_short_is_reclassified_while_it_runs() -> None:
    """Guards against long work, declared as short, that occupies the short reserve."""

    async def main(setup: Setup) -> None:
        await setup.submit_many(4, kind="plan", run_ms=20)
        misdeclared = [setup.submit("order", run_ms=3000) for _ in range(4)]
        await asyncio.sleep(0.2)  # none has ended, but all exceed the short limit
        misdeclared += [setup.submit("order", run_ms=3000) for _ in range(20)]
        await asyncio.sleep(0.1)
        waits = [(await setup.submit(run_ms=20)).waited_s for _ in range(10)]
        assert max(waits) < 0.1
        await asyncio.gather(*misdeclared)

    run(main, short_run_ms=60)


def test_long_work_is_served_under_constant_short_work() -> None:
    """Guards against starvation of long work."""

    async def main(setup: Setup) -> None:
        await setup.submit_many(4, run_ms=100)
        short, long_tasks = [], []
        for round_number in range(60):
            short += [setup.submit(run_ms=100, deadline_s=5.0) for _ in range(6)]
            await asyncio.sleep(0.1)
            if round_number == 10:  # short work waits by now
                long_tasks.append(setup.submit("report", run_ms=1000, deadline_s=4.0))
        assert (await long_tasks[0]).kind is model.OutcomeKind.ANSWERED
        await asyncio.gather(*short)

    run(main, host_count=2, slots=2)


def test_reserve_is_used_by_long_work_when_no_short_work_comes() -> None:
    """Guards against idle slots while long work waits."""

    async def main(setup: Setup) -> None:
        await setup.submit_many(1, run_ms=10)
        await asyncio.sleep(queueing.RESERVE_IDLE_S + 1)
        outcomes = await setup.submit_many(4, kind="report", run_ms=3000)
        assert max(o.waited_s for o in outcomes) < 0.1
        # Short work arrived, so the reserve applies again.
        await setup.submit_many(1, run_ms=10)
        outcomes = await setup.submit_many(4, kind="report", run_ms=3000)
        assert max(o.waited_s for o in outcomes) > 1.0

    run(main, host_count=2, slots=2)


def test_urgent_first_then_earliest_deadline() -> None:
    """Guards against a class that is served in order of arrival."""

    async def main(setup: Setup) -> None:
        blocker = setup.submit(run_ms=100)
        await asyncio.sleep(0.01)
        late = setup.submit(deadline_s=20.0)
        early = setup.submit(deadline_s=10.0)
        urgent = setup.submit(deadline_s=25.0, is_urgent=True)
        waits = [(await task).waited_s for task in (urgent, early, late)]
        assert waits == sorted(waits)
        await blocker

    run(main, host_count=1, slots=1)


def test_refuses_early_what_cannot_start_in_time() -> None:
    """Guards against refusals that come only after the caller has waited."""

    async def main(setup: Setup) -> None:
        await setup.submit_many(4, run_ms=200)  # provides samples of the run time
        loop = asyncio.get_running_loop()
        waiting = [setup.submit(run_ms=200, deadline_s=4.0) for _ in range(10)]
        in_time = await setup.submit(run_ms=200, deadline_s=4.1)
        assert in_time.kind is model.OutcomeKind.ANSWERED
        began_at = loop.time()
        waiting += [setup.submit(run_ms=200, deadline_s=2.0) for _ in range(10)]
        refused = await setup.submit(run_ms=200, deadline_s=2.0)
        assert refused.code == codes.ResultCode.DEADLINE_TOO_SHORT
        assert loop.time() - began_at < 0.05
        await asyncio.gather(*waiting)

    run(main, host_count=1, slots=1)


def test_bytes_in_the_queue_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a few large queued requests that exhaust the memory."""
    monkeypatch.setattr(admission, "MAX_BUFFERED_BYTES", 100)

    async def main(setup: Setup) -> None:
        outcomes = await setup.submit_many(20)
        answered = sum(o.kind is model.OutcomeKind.ANSWERED for o in outcomes)
        assert answered == 100 // len(b'{"run_ms": 20}')
        assert outcomes[-1].code == codes.ResultCode.QUEUE_FULL
        assert (await setup.submit()).kind is model.OutcomeKind.ANSWERED

    run(main)


def test_work_that_can_never_run_is_refused_at_once() -> None:
    """Guards against work without a target that waits until its deadline."""

    async def main(setup: Setup) -> None:
        setup.directory.leaving = set(setup.fakes)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        outcome = await setup.submit()
        assert outcome.code == codes.ResultCode.NO_TARGET
        assert loop.time() - began_at < 0.01

    run(main)


def test_a_worker_that_fails_fast_does_not_attract_work() -> None:
    """Guards against choosing a worker as least loaded because it fails at once."""

    async def main(setup: Setup) -> None:
        await setup.submit_many(40, run_ms=20)
        bad = setup.fakes["h0"].state
        bad.faults.fail_all = True
        good = 0
        for _ in range(50):
            outcomes = await setup.submit_many(4, run_ms=20)
            good += sum(o.kind is model.OutcomeKind.ANSWERED for o in outcomes)
        assert setup.dispatcher.ejected_host_ids() == {"h0"}
        assert good >= 196
        bad.faults.fail_all = False
        for _ in range(400):
            await setup.submit_many(4, run_ms=20)
        assert not setup.dispatcher.ejected_host_ids()  # a successful probe ended it

    run(main)


def test_a_failing_worker_gets_little_work_where_none_may_be_ejected() -> None:
    """Guards against a fast-failing worker that always counts as least loaded."""

    async def main(setup: Setup) -> None:
        bad = setup.fakes["h0"].state
        bad.faults.fail_all = True
        for _ in range(100):
            await setup.submit_many(2, run_ms=50)
        assert bad.runs_by_request_id.total() < 40  # of 200; a third is its fair share

    run(main, host_count=2)


def test_caller_that_leaves_between_choice_and_sending() -> None:
    """Guards against work for a caller that left, and a slot that is never released."""

    async def main(setup: Setup) -> None:
        blocker = setup.submit(run_ms=150)
        # The targets are then next listed when the blocker ends.
        await asyncio.sleep(dispatcher.DISPATCH_INTERVAL_S + 0.01)
        waiting = setup.submit(request_id="1-left")
        await asyncio.sleep(0.01)
        listed = setup.directory.targets_of("scale")

        def leave_during_choice(service: str) -> object:
            waiting.cancel()
            return listed

        setup.directory.targets_of = leave_during_choice  # type: ignore
        await blocker
        assert (await setup.submit()).kind is model.OutcomeKind.ANSWERED
        assert setup.runs("1-left") == 0

    run(main, host_count=1, slots=1)


def test_failures_before_ejection_make_a_target_look_loaded() -> None:
    """Guards against a fast-failing worker that counts as the least loaded one."""
    tracker = ejection.EjectionTracker()
    for number in range(2):
        tracker.record_failure("h0", f"r{number}", 1.0, 4)
    assert not tracker.is_ejected("h0")
    assert tracker.penalty("h0", 1.1) == 2
    assert tracker.penalty("h0", 1.1 + ejection.PENALTY_S) == 0


@pytest.mark.parametrize(("pool_size", "most"), [(2, 0), (3, 1), (8, 2), (9, 3)])
def test_at_most_a_third_of_a_pool_is_ejected(pool_size: int, most: int) -> None:
    """Guards against ejecting a whole pool for a fault of the requests."""
    tracker = ejection.EjectionTracker()
    for host in range(pool_size):
        for number in range(5):
            tracker.record_failure(f"h{host}", f"r{number}", 1.0, pool_size)
    assert len(tracker.ejected_host_ids()) == most


def test_a_request_that_fails_everywhere_is_refused_for_good() -> None:
    """Guards against running such a request again, and ejecting targets for it."""

    async def main(setup: Setup) -> None:
        await setup.submit_many(40, run_ms=20)
        for fake in setup.fakes.values():
            fake.state.faults.fail_all = True
        outcome = await setup.submit(request_id="1-poison")
        assert outcome.code == codes.ResultCode.REQUEST_FAILED_REPEATEDLY
        assert outcome.kind is model.OutcomeKind.UNKNOWN  # it did run
        assert setup.runs("1-poison") == retries.MAX_ATTEMPTS
        again = await setup.submit(request_id="1-poison")
        assert again.code == codes.ResultCode.REQUEST_FAILED_REPEATEDLY
        assert setup.runs("1-poison") == retries.MAX_ATTEMPTS
        service = setup.dispatcher._services_by_name["scale"]
        now = asyncio.get_running_loop().time()
        assert all(service.ejections.penalty(h, now) == 0 for h in setup.fakes)

    run(main)


def test_retries_stay_within_the_budget() -> None:
    """Guards against retries that multiply an overload."""

    async def main(setup: Setup) -> None:
        for fake in setup.fakes.values():
            fake.state.faults.refuse = True
        outcomes: list[model.Outcome] = []
        for _ in range(10):
            outcomes += await setup.submit_many(20, deadline_s=0.5)
        retried = sum(max(0, outcome.attempts - 1) for outcome in outcomes)
        assert 0 < retried <= 0.1 * len(outcomes)
        assert all(o.kind is model.OutcomeKind.NOT_RUN for o in outcomes)

    run(main, host_count=8, slots=8)


def test_new_owner_counts_slots_that_are_busy_already() -> None:
    """Guards against overloaded targets after a change of owner or an idle time."""

    async def main(setup: Setup) -> None:
        state = setup.fakes["h0"].state
        # First as a new owner, then after another owner sent work during an idle time.
        for _ in range(2):
            with state.running("other"), state.running("other"):
                outcomes = await setup.submit_many(8, run_ms=100)
                assert all(o.host_id == "h1" for o in outcomes)
            await asyncio.sleep(1.0)
            outcomes = await setup.submit_many(8, run_ms=100)
            assert {o.host_id for o in outcomes} == {"h0", "h1"}
            await asyncio.sleep(dispatcher.OWNERSHIP_IDLE_S + 1)
        assert all(f.state.refused_full == 0 for f in setup.fakes.values())

    run(main, host_count=2, slots=2)


def test_unresponsive_target_is_hedged_and_straggler_is_not() -> None:
    """Guards against waiting for an unresponsive target, and hedging a straggler."""

    async def main(setup: Setup) -> None:
        await setup.submit_many(40, run_ms=20)
        straggler = setup.submit(request_id="1-slow", run_ms=8000)
        await straggler
        assert setup.runs("1-slow") == 1
        setup.fakes["h0"].state.faults.silent = True
        setup.fakes["h1"].state.faults.silent = True
        hedged = setup.submit(request_id="1-hedged")
        await asyncio.sleep(0.1)
        # Only the target that received the request stays unresponsive.
        for name, fake in setup.fakes.items():
            in_use = setup.dispatcher._target_pool.slots_by_host_id[name].uses
            fake.state.faults.silent = bool(in_use)
        outcome = await hedged
        assert outcome.kind is model.OutcomeKind.ANSWERED
        assert outcome.attempts == 2

    run(main, host_count=2, slots=2)


def test_claims_are_released_only_when_the_request_did_not_run() -> None:
    """Guards against claims that block a retry, and against a second run."""

    async def main(setup: Setup) -> None:
        claims = setup.source.state.claims.claims_by_request_id
        setup.fakes["h0"].state.faults.refuse = True
        refused = await setup.submit("order", request_id="1-order")
        assert refused.kind is model.OutcomeKind.NOT_RUN
        assert "1-order" not in claims
        setup.fakes["h0"].state.faults.refuse = False
        await asyncio.sleep(20.0)
        assert (await setup.submit("order", request_id="1-order")).attempts == 1
        assert "1-order" in claims
        # Another node's claim that this node's fold does not contain yet.
        setup.claims.hidden_claims.add("2-order")
        lost = await setup.submit("order", request_id="2-order")
        assert lost.code == codes.ResultCode.ALREADY_CLAIMED
        assert lost.kind is model.OutcomeKind.UNKNOWN
        assert setup.runs("2-order") == 0

    run(main, host_count=1, slots=1)


def test_duplicates_in_flight_share_one_run_and_its_answer() -> None:
    """Guards against a second run, and an answer to a request with another body."""

    async def main(setup: Setup) -> None:
        first = setup.submit("order", request_id="1-order", run_ms=500)
        await asyncio.sleep(0.1)
        same = setup.submit("order", request_id="1-order", run_ms=500)
        other = setup.submit("order", request_id="1-order", run_ms=501)
        assert (await other).kind is model.OutcomeKind.UNKNOWN
        first.cancel()
        assert (await same).kind is model.OutcomeKind.ANSWERED
        assert setup.runs("1-order") == 1

    run(main)


def test_leaving_target_returns_after_its_reboot() -> None:
    """Guards against a target that stays excluded after a fast reboot."""

    async def main(setup: Setup) -> None:
        setup.fakes["h0"].state.faults.leaving = True
        await setup.submit_many(8)
        assert setup.directory.leaving == {"h0"}
        setup.fakes["h0"].restart()
        await asyncio.sleep(target_pool.LEAVING_WATCH_INTERVAL_S * 2)
        assert not setup.directory.leaving

    run(main, host_count=2)


def test_demand_is_smoothed_and_counts_refusals() -> None:
    """Guards against capacity decisions that follow a peak of a few seconds."""

    async def main(setup: Setup) -> None:
        assert setup.dispatcher.demand_by_service() == {}
        tasks = [setup.submit(run_ms=2000) for _ in range(20)]
        await asyncio.sleep(1.0)
        seen = setup.dispatcher.demand_by_service()["scale"]
        assert 0 < seen.mean_slots < 1
        assert seen.refused_per_s > 0
        assert setup.dispatcher.explain("scale")["in_flight"] == 2
        await asyncio.gather(*tasks)

    run(main, host_count=1, slots=2, max_queue=4)


def test_budget_counts_the_last_ten_seconds() -> None:
    """Guards against unused retries that accumulate over a long time."""
    budget = retries.RetryBudget()
    for _ in range(100):
        budget.record_request(0.0)
    taken = sum(budget.try_acquire(1.0) for _ in range(50))
    assert taken == 10
    assert budget.remaining(20.0) == retries.MIN_RETRIES


def test_queue_entries_survive_reclassification() -> None:
    """Guards against lost queue entries when a kind changes its class."""
    queue = queueing.ServiceQueue()
    first = queueing.QueueEntry("1", "plan", None, False, 5.0, 0.1, False)
    second = dataclasses.replace(first, request_id="2", kind="report")
    for entry in (first, second):
        queue.add(entry)
    queue.reclassify("plan", True, 2.0)
    assert (queue.count(False), queue.count(True)) == (1, 1)
    assert queue.queued_work_s() == pytest.approx(2.1)
    slot_counts = queueing.SlotCounts(4, 0.5, 2, {}, {})
    assert list(queue.candidates(slot_counts, 0.0)) == [second]
    queue.remove(first)
    queue.remove(second)
    assert len(queue) == 0


def test_work_on_an_unresponsive_target_runs_elsewhere_although_others_wait() -> None:
    """Guards against repeatable work that ends with an unknown outcome at a peak."""

    async def main(setup: Setup) -> None:
        await setup.submit_many(8, run_ms=20)
        tasks = [setup.submit(run_ms=300, deadline_s=10.0) for _ in range(8)]
        await asyncio.sleep(0.1)
        setup.fakes["h0"].state.faults.freeze = True
        # Keeps the queue filled until after the target was found unresponsive.
        for _ in range(40):
            tasks += [setup.submit(run_ms=300, deadline_s=10.0) for _ in range(2)]
            await asyncio.sleep(0.1)
        outcomes = await asyncio.gather(*tasks)
        assert {outcome.kind for outcome in outcomes} == {model.OutcomeKind.ANSWERED}

    run(main, host_count=4)


def test_a_late_answer_ends_the_wait_for_a_second_target() -> None:
    """Guards against a second run after the first target has answered late."""

    async def main(setup: Setup) -> None:
        await setup.submit_many(4, run_ms=20)
        setup.fakes["h0"].state.faults.freeze = True
        first = [setup.submit(run_ms=20, request_id=f"{i}-first") for i in range(4)]
        await asyncio.sleep(0.1)
        blocking = [setup.submit("report", run_ms=5000) for _ in range(2)]
        await asyncio.sleep(3.5)  # h0 is found unresponsive; h1 has no free slot
        setup.fakes["h0"].state.faults.freeze = False
        outcomes = await asyncio.gather(*first)
        assert {outcome.kind for outcome in outcomes} == {model.OutcomeKind.ANSWERED}
        await asyncio.gather(*blocking)
        await asyncio.sleep(1.0)
        assert all(setup.runs(f"{i}-first") == 1 for i in range(4))

    run(main, host_count=2)
