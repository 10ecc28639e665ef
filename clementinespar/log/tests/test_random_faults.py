"""Tests of three nodes under random faults of the log and of their access to it."""

import asyncio
import contextlib
import dataclasses

import hypothesis
from hypothesis import strategies as st

from clementinespar import codes, errors, identifiers
from clementinespar.claims import claimer as claims_claimer
from clementinespar.duties import holder as duties_holder
from clementinespar.fleet import snapshot as fleet_snapshot
from clementinespar.tests import log_nodes, paused_clock
from standins import fake_log

_NODE_COUNT = 3
_REQUEST_COUNT = 12
_LEASE_MS = 4_000

fault_strategy = st.one_of(
    st.builds(fake_log.Faults),
    st.builds(fake_log.Faults, down=st.just(True)),
    st.builds(fake_log.Faults, silent=st.just(True)),
    st.builds(fake_log.Faults, slow_ms=st.sampled_from((20.0, 400.0, 3_000.0))),
    st.builds(
        fake_log.Faults,
        lose_replies=st.sampled_from((1, 3, fake_log.ALL)),
        late_ms=st.sampled_from((0.0, 30.0, 700.0, 8_000.0)),
        slow_ms=st.sampled_from((0.0, 50.0)),
    ),
)


@dataclasses.dataclass(frozen=True)
class Step:
    """A change of faults after a wait."""

    wait_s: float
    component: int  # index of a node, or _NODE_COUNT for the log itself
    faults: fake_log.Faults


steps = st.builds(
    Step,
    wait_s=st.sampled_from((0.0, 0.01, 0.3, 2.0, 9.0)),
    component=st.integers(0, _NODE_COUNT),
    faults=fault_strategy,
)


async def claim_all(
    claimer: claims_claimer.Claimer, ids: list[str], runs: dict[str, int]
) -> None:
    """Claim each id three times; release every third claim that is won."""
    for round_number in range(3):
        for number, request_id in enumerate(ids):
            code = await claimer.claim(request_id, 1.0)
            if code == codes.ResultCode.OK:
                if (number + round_number) % 3 == 0:
                    await claimer.release(request_id)  # its request did not run
                else:
                    runs[request_id] += 1
            await asyncio.sleep(0.2)


async def append_all(node: log_nodes.LogNode, outcomes: dict[str, str]) -> None:
    """Append records and collect the outcome that the appender reports for each."""
    for number in range(20):
        record = node.duty_record(f"{node.name}-{number}")
        try:
            result = await node.appender.append(record, 1.5)
            outcomes[record.record_id] = result.code.name
        except errors.LogUnavailableError:
            outcomes[record.record_id] = "not applied"
        except errors.LogReplyLostError:
            outcomes[record.record_id] = "unknown"
        await asyncio.sleep(0.3)


async def check_single_holder(holders: list[duties_holder.DutyHolder]) -> None:
    """Fail as soon as two nodes hold the lease of the duty at once."""
    while True:
        assert sum(holder.is_held for holder in holders) <= 1
        await asyncio.sleep(0.05)


async def run_nodes(plan: list[Step]) -> None:
    log = fake_log.FakeLog(retention_entries=300)
    relays = [log_nodes.NodeRelay() for _ in range(_NODE_COUNT)]
    async with contextlib.AsyncExitStack() as stack:
        nodes = [
            await stack.enter_async_context(
                log_nodes.running_node(log, f"node-{i}", relays[i])
            )
            for i in range(_NODE_COUNT)
        ]
        for i, relay in enumerate(relays):
            relay.peer = nodes[(i + 1) % _NODE_COUNT]
        holders = [
            duties_holder.DutyHolder("plan", n.appender, n.follower, n.name, _LEASE_MS)
            for n in nodes
        ]
        for node, holder in zip(nodes, holders, strict=True):
            await stack.enter_async_context(holder.running())
            publisher = fleet_snapshot.SnapshotPublisher(
                node.follower, node.appender, 30.0, 60
            )
            await stack.enter_async_context(publisher.running())
        applied: dict[str, int] = {}
        nodes[0].follower.add_listener(
            lambda entry, code: (
                applied.update(
                    {str(entry.payload): applied.get(str(entry.payload), 0) + 1}
                )
                if code == codes.ResultCode.OK
                else None
            )
        )
        ids = [identifiers.new_id(log.now_ms()) for _ in range(_REQUEST_COUNT)]
        runs = dict.fromkeys(ids, 0)
        outcomes: dict[str, str] = {}
        watch = asyncio.create_task(check_single_holder(holders))
        work = [
            claim_all(
                await node.start_claimer(),
                ids if number % 2 else ids[::-1],
                runs,
            )
            for number, node in enumerate(nodes)
        ]
        work += [append_all(node, outcomes) for node in nodes]
        running = [asyncio.create_task(item) for item in work]
        for step in plan:
            await asyncio.sleep(step.wait_s)
            faults = dataclasses.replace(step.faults)
            if step.component == _NODE_COUNT:
                log.faults = faults
            else:
                nodes[step.component].access.faults = faults
        await asyncio.gather(*running)
        log.faults = fake_log.Faults()
        for node in nodes:
            node.access.faults = fake_log.Faults()
        await asyncio.sleep(20.0)  # delayed appends take effect and the nodes catch up
        assert not watch.done(), "two nodes held the lease of the duty"
        watch.cancel()
        # The holders keep appending, so the nodes are brought to the same offset first.
        for node in nodes:
            await node.follower.refresh(5.0)
        states = [node.follower.state for node in nodes]
        assert states[0] == states[1] == states[2]
        assert max(runs.values()) <= 1, "a request ran twice"
        assert all(count == 1 for count in applied.values()), "a record applied twice"
        results = states[0].results_by_record_id
        for record_id, outcome in outcomes.items():
            if outcome == "not applied":
                assert record_id not in results
            elif outcome != "unknown":
                assert results[record_id].code.name == outcome


@hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(st.lists(steps, max_size=12))
def test_invariants_hold_under_random_faults(plan: list[Step]) -> None:
    """Guards against faults that break an invariant only in combination."""
    paused_clock.run(run_nodes(plan))
