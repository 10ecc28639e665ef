"""Tests of non-repeatable requests that a load balancer resends to another node.

Each of the two entry nodes has a fold, a claimer, a dispatcher and a router. They share
one log and the same targets, on a paused clock.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

import pytest

from clementinespar import codes, identifiers
from clementinespar.documents import messages as document_messages
from clementinespar.requests import dispatcher, model, router
from clementinespar.requests.tests import helpers
from clementinespar.tests import log_nodes, paused_clock
from standins import fake_log, fake_target

_ANSWERED = model.OutcomeKind.ANSWERED
_NOT_RUN = model.OutcomeKind.NOT_RUN
_RUN_MS = 2_000  # long enough that most copies arrive while the order runs


class _Owners:
    """`OwnerDirectory` of the nodes that one node considers live, owner first."""

    def __init__(self) -> None:
        self.dispatchers_by_node: dict[str, dispatcher.Dispatcher] = {}

    def candidates(self, service: str) -> list[model.OwnerCandidate]:
        return [
            model.OwnerCandidate(node, handler, False)
            for node, handler in self.dispatchers_by_node.items()
        ]


@dataclasses.dataclass
class _EntryNode:
    """Fold, dispatcher and router of one entry node, with its view of the owners."""

    log_node: log_nodes.LogNode
    dispatcher: dispatcher.Dispatcher
    owners: _Owners
    router: router.Router

    async def send(self, request_id: str) -> model.Outcome:
        """Send an order as a caller does."""
        return await self.router.handle(
            model.Request(
                request_id=request_id,
                service="scale",
                kind="order",
                body=b'{"run_ms": %d}' % _RUN_MS,
                content_type="application/json",
                deadline=asyncio.get_running_loop().time() + 10.0,
            )
        )


@dataclasses.dataclass
class _TwoNodes:
    """Two entry nodes; the first owns the queue while each considers the other live."""

    a: _EntryNode
    b: _EntryNode
    fakes: dict[str, fake_target.FakeTarget]

    def cut_peers(self) -> None:
        """Cut the nodes off from each other, so that each acts as the owner."""
        self.a.owners.dispatchers_by_node = {"node-a": self.a.dispatcher}
        self.b.owners.dispatchers_by_node = {"node-b": self.b.dispatcher}

    def runs(self, request_id: str) -> int:
        return sum(f.state.runs_by_request_id[request_id] for f in self.fakes.values())


@contextlib.asynccontextmanager
async def _two_nodes() -> AsyncIterator[_TwoNodes]:
    log = fake_log.FakeLog()
    fakes = helpers.make_fakes(4)
    async with contextlib.AsyncExitStack() as stack:
        entries = []
        for name in ("node-a", "node-b"):
            node = await stack.enter_async_context(log_nodes.running_node(log, name))
            transport = fake_target.FakeTargetTransport(fakes)
            owner = dispatcher.Dispatcher(
                node.follower,
                helpers.FakeTargetDirectory(list(fakes)),
                transport,
                await node.start_claimer(),
            )
            await stack.enter_async_context(transport.running())
            await stack.enter_async_context(owner.running())
            owners = _Owners()
            ingress = router.Router(owners, node.follower)
            entries.append(_EntryNode(node, owner, owners, ingress))
        a, b = entries
        for entry in entries:
            entry.owners.dispatchers_by_node = {
                "node-a": a.dispatcher,
                "node-b": b.dispatcher,
            }
        issued_ms = a.log_node.appender.now_ms()
        published = document_messages.DocumentPublished(
            record_id=identifiers.new_id(issued_ms),
            issued_ms=issued_ms,
            author="operator",
            environment="production",
            replaces=0,
            document=helpers.make_document(),
        )
        result = await a.log_node.appender.append(published, 5.0)
        assert result.code == codes.ResultCode.OK
        await b.log_node.follower.refresh(1.0)
        yield _TwoNodes(a, b, fakes)


_NO_REPLY = {"lose_replies": fake_log.ALL}


@pytest.mark.parametrize("resent_after_s", [0.0, 0.004, 0.05, 1.0, 3.0])
@pytest.mark.parametrize("cut_after_s", [0.0, 0.004, 0.5])
@pytest.mark.parametrize(
    ("faults", "is_cut_from_peers"),
    [
        pytest.param({}, True, id="peers"),
        pytest.param({"down": True}, False, id="log refuses"),
        pytest.param({"silent": True}, False, id="log does not answer"),
        pytest.param({"visible_end": 1, **_NO_REPLY}, False, id="claim unseen"),
        pytest.param({"down": True}, True, id="log refuses, peers"),
        pytest.param({"silent": True}, True, id="log does not answer, peers"),
        pytest.param({"visible_end": 1, **_NO_REPLY}, True, id="claim unseen, peers"),
        pytest.param({"late_ms": 700.0, **_NO_REPLY}, True, id="claim late, peers"),
    ],
)
@paused_clock.test
async def test_order_sent_again_to_another_node_runs_at_most_once(
    faults: dict[str, object],
    is_cut_from_peers: bool,
    cut_after_s: float,
    resent_after_s: float,
) -> None:
    """Guards against a second run by a node that does not know of the first one."""
    async with _two_nodes() as nodes:
        request_id = identifiers.new_id(nodes.a.log_node.log.now_ms())

        async def cut() -> None:
            await asyncio.sleep(cut_after_s)
            nodes.a.log_node.access.faults = fake_log.Faults(**faults)  # type: ignore
            if is_cut_from_peers:
                nodes.cut_peers()

        async def send_again() -> model.Outcome:
            await asyncio.sleep(resent_after_s)
            return await nodes.b.send(request_id)

        cutting = asyncio.create_task(cut())
        await asyncio.sleep(0)
        first, again = await asyncio.gather(nodes.a.send(request_id), send_again())
        await cutting
        nodes.a.log_node.access.faults = fake_log.Faults()
        await asyncio.sleep(30.0)  # late claims and releases take effect
        runs = nodes.runs(request_id)
        assert runs <= 1
        kinds = {first.kind, again.kind}
        assert runs == 1 or _ANSWERED not in kinds
        assert runs == 0 or kinds != {_NOT_RUN}
        # A copy that is sent after the log faults end must not run a second time.
        last = await nodes.b.send(request_id)
        assert nodes.runs(request_id) <= 1
        assert runs == 0 or last.kind is model.OutcomeKind.UNKNOWN


@pytest.mark.parametrize("is_cut", [False, True])
@paused_clock.test
async def test_order_sent_to_both_nodes_runs_once(is_cut: bool) -> None:
    """Guards against requests that are never run twice only because they never run."""
    async with _two_nodes() as nodes:
        if is_cut:
            nodes.cut_peers()
        request_id = identifiers.new_id(nodes.a.log_node.log.now_ms())
        first, again = await asyncio.gather(
            nodes.a.send(request_id), nodes.b.send(request_id)
        )
        assert nodes.runs(request_id) == 1
        assert _ANSWERED in {first.kind, again.kind}
