"""Tests of submissions while the store takes few appends a second."""

import asyncio
import collections
import urllib.parse
from collections.abc import Callable

import pytest

from clementinespar import codes, errors, http_calls
from clementinespar.jobs import command_writer, ownership, services
from clementinespar.jobs.tests import fakes, test_service
from clementinespar.tests import paused_clock

NODES = 20
OWNER = "10.0.0.1:1/5/1000"
POOL = "quotes"


class PeerClient(http_calls.HttpClient):
    """Passes commands to the owner's service without a network."""

    owner: test_service.ServiceHarness
    is_silent: bool  # the owner does not answer
    is_gone: bool  # no connection to the owner

    def __init__(self) -> None:
        super().__init__()
        self.is_silent = False
        self.is_gone = False
        self.forwarded = 0

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: str = "",
        timeout_s: float = 1.0,
        may_send: Callable[[], bool] | None = None,
        limit_s: float | None = None,
    ) -> http_calls.Response:
        assert (address, method) == ("10.0.0.1:1", "POST")
        if self.is_gone:
            raise http_calls.CallNotSentError("no connection")
        if self.is_silent:
            await asyncio.sleep(timeout_s)
            raise http_calls.CallUnansweredError("no answer")
        self.forwarded += 1
        _, partition, kind, key = path.split("/")
        assert kind == "commands"
        record = services.KeyedRecord(urllib.parse.unquote(key), body)
        try:
            async with asyncio.timeout(timeout_s):
                await self.owner.jobs.append_for_peer(int(partition), record)
        except TimeoutError as error:
            raise http_calls.CallUnansweredError("no answer") from error
        except errors.ClementinesparError as error:
            is_refused = error.code is codes.ResultCode.STORE_REFUSED
            return http_calls.Response(503 if is_refused else 504, b"")
        return http_calls.Response(200, b"{}")


class SlowStoreHarness:
    """Nodes on one store; the first of them owns the partition of the pool."""

    def __init__(self, latency_s: float = 0.004) -> None:
        self.store = fakes.FakeStore()
        self.peers = PeerClient()
        self.nodes = [
            test_service.ServiceHarness(self.store, self.peers) for _ in range(NODES)
        ]
        self.peers.owner = self.nodes[0]
        partition = test_service.PARTITION_MAP.find(POOL)
        for node in self.nodes:
            node.ownership_manager._owner_names = {partition: OWNER}
            node.ownership_manager.store_latency_s = latency_s

    async def submit_peak(self, rate: int, length_s: float) -> collections.Counter[str]:
        """Submit jobs at a rate to all nodes; return the counts of the outcomes."""
        submissions = []
        for number in range(int(rate * length_s)):
            node = self.nodes[number % NODES]
            submissions.append(asyncio.create_task(node.submit(f"{number:016x}")))
            await asyncio.sleep(1 / rate)
        outcomes = await asyncio.gather(*submissions)
        return collections.Counter(
            "late" if took_s > 1.0 else code.name for code, took_s in outcomes
        )


@paused_clock.test
async def test_peak_on_a_slow_store_is_accepted() -> None:
    """Guards against a peak that a slow store refuses because of single appends.

    The load of the peak of a queue while an append occupies its partition for 73 ms:
    80 jobs a second from all nodes, of which the store takes 14 in single appends.
    """
    harness = SlowStoreHarness(latency_s=0.3)
    harness.store.append_s = 0.073
    outcomes = await harness.submit_peak(80, 4.0)
    assert outcomes == {"OK": 320}


@paused_clock.test
async def test_fast_store_takes_commands_without_the_owner() -> None:
    """Guards against load on the owner of a busy pool where it brings nothing."""
    harness = SlowStoreHarness(latency_s=0.004)
    outcomes = await harness.submit_peak(80, 1.0)
    assert outcomes == {"OK": 80}
    assert harness.peers.forwarded == 0


@pytest.mark.parametrize("fault", ["is_silent", "is_gone"])
def test_submission_does_not_depend_on_the_owner(fault: str) -> None:
    """Guards against jobs that are lost, or refused, with the owner of their pool."""

    @paused_clock.test
    async def scenario() -> None:
        harness = SlowStoreHarness(latency_s=0.3)
        harness.store.append_s = 0.073
        setattr(harness.peers, fault, True)
        code, took_s = await harness.nodes[1].submit("a" * 16)
        assert code is codes.ResultCode.OK
        assert took_s < test_service.DEADLINE_S

    scenario()


@paused_clock.test
async def test_forwarded_command_is_never_called_refused_while_it_may_be_stored() -> (
    None
):
    """Guards against a refusal of a job that the owner may have stored."""
    harness = SlowStoreHarness(latency_s=0.3)
    harness.peers.is_silent = True
    submission = asyncio.create_task(harness.nodes[1].submit("a" * 16))
    await asyncio.sleep(0.5)
    harness.store.is_down = True  # the direct append after the silence is refused
    code, _ = await submission
    assert code is codes.ResultCode.STORE_UNANSWERED


@pytest.mark.parametrize(
    ("partition", "key", "value"),
    [
        (-1, "ja", b"1"),
        (24, "ja", b"1"),
        (0, "pa", b"1"),
        (0, "", b"1"),
        (0, "ja", b""),
    ],
)
def test_malformed_command_of_a_peer_is_refused(
    partition: int, key: str, value: bytes
) -> None:
    """Guards against records that a peer writes outside the commands."""

    @paused_clock.test
    async def scenario() -> None:
        node = test_service.ServiceHarness()
        with pytest.raises(ValueError, match="no command"):
            await node.jobs.append_for_peer(partition, services.KeyedRecord(key, value))
        assert not any(node.store.values.values())

    scenario()


@paused_clock.test
async def test_failed_batch_fails_each_of_its_commands() -> None:
    """Guards against callers that wait for ever after an append has failed."""
    store = fakes.FakeStore()
    store.is_down = True
    writer = command_writer.CommandWriter(store)
    results = await asyncio.gather(
        *(writer.append(1, services.KeyedRecord(f"j{n}", b"1")) for n in range(5)),
        return_exceptions=True,
    )
    assert all(isinstance(error, errors.ClementinesparError) for error in results)
    store.is_down = False
    await writer.append(1, services.KeyedRecord("j6", b"1"))
    assert store.values[services.Topic.COMMANDS, 1] == {"j6": b"1"}


@paused_clock.test
async def test_batches_stay_below_the_largest_call() -> None:
    """Guards against a batch that the store refuses for its size, again and again."""
    store = fakes.FakeStore()
    store.append_s = 0.05
    writer = command_writer.CommandWriter(store)
    value = b"x" * (command_writer.MAX_BATCH_BYTES // 2)
    sizes: list[int] = []
    append = store.append

    async def record_size(topic, partition, records):  # type: ignore[no-untyped-def]
        sizes.append(sum(len(record.value) for record in records))
        await append(topic, partition, records)

    store.append = record_size  # type: ignore[method-assign]
    await asyncio.gather(
        *(writer.append(1, services.KeyedRecord(f"j{n}", value)) for n in range(7))
    )
    assert max(sizes) <= command_writer.MAX_BATCH_BYTES
    assert len(store.values[services.Topic.COMMANDS, 1]) == 7


@pytest.mark.parametrize("fault", ["is_down", "drops_calls"])
def test_node_that_the_store_turns_away_accepts_jobs(fault: str) -> None:
    """Guards against callers refused by a node while the store serves the others."""

    @paused_clock.test
    async def scenario() -> None:
        harness = SlowStoreHarness()
        store = fakes.FakeStore()
        setattr(store, fault, True)
        node = test_service.ServiceHarness(store, harness.peers)
        node.group.is_down = True
        node.group.owners = {test_service.PARTITION_MAP.find(POOL): OWNER}
        async with ownership.run_ownership_manager(node.ownership_manager):
            # The first submission without an answer may take until its time is up.
            await node.submit("0" * 16)
            code, took_s = await node.submit("a" * 16)
        assert code is codes.ResultCode.OK
        assert took_s < 0.2
        commands = harness.store.values[
            services.Topic.COMMANDS, test_service.PARTITION_MAP.find(POOL)
        ]
        assert "j" + "a" * 16 in commands

    scenario()


@paused_clock.test
async def test_owner_without_the_store_refuses_at_once() -> None:
    """Guards against callers that wait for an owner while the store is down."""
    harness = SlowStoreHarness()
    unanswered_since = asyncio.get_running_loop().time() - 2.0
    for node in harness.nodes:
        node.ownership_manager.unanswered_since = unanswered_since
    node = harness.nodes[1]
    code, took_s = await node.submit("a" * 16)
    assert code is codes.ResultCode.STORE_REFUSED
    assert took_s < 0.05
    assert not any(harness.store.values.values())
