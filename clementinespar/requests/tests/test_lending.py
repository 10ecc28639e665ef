"""Tests of services that borrow free slots of another pool."""

import asyncio
from collections.abc import Awaitable, Callable

import hypothesis
import pydantic
import pytest
from hypothesis import strategies

from clementinespar.documents import model as document_model
from clementinespar.requests import dispatcher, model, targets
from clementinespar.requests.tests import helpers
from clementinespar.tests import fleets, paused_clock
from standins import fake_target
from standins import target as target_standin

_OWN_SLOTS = 4  # 2 hosts of 2 slots
_SPARE_SLOTS = 8  # 2 hosts of 4 slots
_LENDABLE = 6  # three quarters of the spare slots


def _make_document(**spare_options: object) -> document_model.Document:
    hosts = {i: document_model.Host("d1", f"r-{i}") for i in ("h0", "h1", "s0", "s1")}
    budget = document_model.Budget(0)
    return document_model.Document(
        user="test",
        hosts=hosts,
        pools={
            "own": document_model.Pool(("h0", "h1"), budget),
            "spare": document_model.Pool(("s0", "s1"), budget, spare=True),
        },
        services={
            "desk": document_model.Service(
                pool="own",
                borrows_from="spare",
                slots_per_target=2,
                kinds={"plan": document_model.Kind(True, 50)},
            ),
            "accounts": document_model.Service(
                pool="spare",
                slots_per_target=4,
                kinds={"plan": document_model.Kind(True, 50)},
                **spare_options,  # type: ignore[arg-type]
            ),
        },
    )


class _Setup:
    def __init__(self) -> None:
        self.document = _make_document()
        self.fakes = {
            host_id: fake_target.FakeTarget(
                target_standin.TargetState(host_id, 2 if host_id[0] == "h" else 4)
            )
            for host_id in self.document.hosts
        }
        source = helpers.FakeSource(self.document)
        host_list = fleets.FixedHostList(fleets.full_list(self.document, 0))
        self.transport = fake_target.FakeTargetTransport(self.fakes)
        self.dispatcher = dispatcher.Dispatcher(
            source,
            targets.FleetTargetDirectory(source, host_list),
            self.transport,
            helpers.FakeClaimService(source),
        )
        self.count = 0

    def submit(self, service: str, run_ms: int) -> "asyncio.Task[model.Outcome]":
        self.count += 1
        loop = asyncio.get_running_loop()
        request = model.Request(
            request_id=f"{self.count}-{service}",
            service=service,
            kind="plan",
            body=b'{"run_ms": %d}' % run_ms,
            content_type="application/json",
            deadline=loop.time() + 60.0,
        )
        return loop.create_task(self.dispatcher.handle(request, lambda: None))

    def busy(self, prefix: str) -> int:
        return sum(
            fake.state.busy_slots
            for host_id, fake in self.fakes.items()
            if host_id.startswith(prefix)
        )

    def refused_full(self) -> int:
        return sum(fake.state.refused_full for fake in self.fakes.values())


def _run(main: Callable[[_Setup], Awaitable[None]]) -> None:
    async def wrapped() -> None:
        setup = _Setup()
        async with setup.transport.running(), setup.dispatcher.running():
            await main(setup)

    paused_clock.run(wrapped())


def test_a_peak_takes_own_slots_first_then_the_lendable_share() -> None:
    """Guards against idle slots of the spare pool while requests wait."""

    async def main(setup: _Setup) -> None:
        await asyncio.gather(*(setup.submit("desk", 10) for _ in range(4)))
        few = [setup.submit("desk", 200) for _ in range(_OWN_SLOTS)]
        await asyncio.sleep(0.1)
        assert (setup.busy("h"), setup.busy("s")) == (_OWN_SLOTS, 0)
        many = [setup.submit("desk", 200) for _ in range(20)]
        await asyncio.sleep(0.05)
        assert (setup.busy("h"), setup.busy("s")) == (_OWN_SLOTS, _LENDABLE)
        outcomes = await asyncio.gather(*few, *many)
        assert all(o.kind is model.OutcomeKind.ANSWERED for o in outcomes)
        assert setup.refused_full() == 0

    _run(main)


def test_the_lender_keeps_its_reserve_and_goes_first() -> None:
    """Guards against a borrower that makes the lender's own work wait."""

    async def main(setup: _Setup) -> None:
        await asyncio.gather(*(setup.submit("accounts", 10) for _ in range(4)))
        peak = [setup.submit("desk", 200) for _ in range(40)]
        await asyncio.sleep(0.1)
        assert setup.busy("s") == _LENDABLE
        own = [setup.submit("accounts", 50) for _ in range(_SPARE_SLOTS - _LENDABLE)]
        outcomes = await asyncio.gather(*own)
        assert max(outcome.waited_s for outcome in outcomes) < 0.01
        # More own work than the reserve holds gets the slots that borrowers release.
        own = [setup.submit("accounts", 150) for _ in range(_SPARE_SLOTS)]
        await asyncio.sleep(0.12)
        assert sum(task.done() for task in peak) < len(peak)
        borrowed = sum(
            use.is_borrowed
            for slots in setup.dispatcher._target_pool.slots_by_host_id.values()
            for use in slots.uses.values()
        )
        assert borrowed == 0
        await asyncio.gather(*own, *peak)
        assert setup.refused_full() == 0

    _run(main)


@hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["desk", "accounts"]),
            strategies.integers(1, 400),  # run time in ms
            strategies.integers(0, 100),  # pause before it in ms
        ),
        max_size=60,
    )
)
def test_no_target_is_sent_more_than_its_slots(
    requests: list[tuple[str, int, int]],
) -> None:
    """Guards against two services that count the same slots twice."""

    async def main(setup: _Setup) -> None:
        tasks = []
        for service, run_ms, pause_ms in requests:
            await asyncio.sleep(pause_ms / 1000)
            tasks.append(setup.submit(service, run_ms))
        outcomes = await asyncio.gather(*tasks)
        assert all(o.kind is model.OutcomeKind.ANSWERED for o in outcomes)
        assert setup.refused_full() == 0

    _run(main)


def test_services_on_the_same_targets_have_one_owner() -> None:
    """Guards against two nodes that count the slots of one target."""
    document = _make_document()
    assert document.queue_group("desk") == document.queue_group("accounts") == "spare"
    assert document.queue_group("unknown") == "unknown"


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"desk": {"borrows_from": "none"}}, "the name of another pool"),
        ({"desk": {"borrows_from": "own"}}, "the name of another pool"),
        ({"accounts": {"borrows_from": "own"}}, "whose own services do not borrow"),
        ({"other": {"pool": "own"}}, "the same for all services of a pool"),
    ],
)
def test_bad_lenders_are_refused(
    changes: dict[str, dict[str, object]], expected: str
) -> None:
    """Guards against chains and cycles of lending, which would merge many queues."""
    adapter = pydantic.TypeAdapter(document_model.Document)
    values = adapter.dump_python(_make_document(), mode="json")
    for service, fields in changes.items():
        values["services"].setdefault(service, {}).update(fields)
    with pytest.raises(pydantic.ValidationError, match=expected):
        adapter.validate_python(values)
