"""Tests of ownership on a paused clock."""

import asyncio
import contextlib
import dataclasses
import types
from collections.abc import AsyncIterator, Callable, Mapping

from clementinespar import codes, errors, http_calls
from clementinespar.jobs import (
    ownership,
    partitions,
    pool_owner,
    service,
    services,
    standby,
    state,
    telemetry,
)
from clementinespar.jobs.tests import fake_adviser, fakes, helpers
from clementinespar.tests import paused_clock

PARTITION = 3
FLEET_PARTITION = 23


@dataclasses.dataclass
class FakeFleetOwner:
    """`ownership.FleetOwnerHandle` that the test can mark as lost."""

    epoch: int
    is_lost: bool = False
    has_failed: bool = False
    fence_checks: int = 0  # that were asked for

    def check_fence(self) -> None:
        self.fence_checks += 1


class ManagerHarness:
    """An ownership manager on a group whose assignments the test sets."""

    ownership_manager: ownership.OwnershipManager

    def __init__(
        self, partitions: frozenset[int], fleet_partition: int = FLEET_PARTITION
    ) -> None:
        self.group = fakes.FakeGroup(partitions)
        self.store = fakes.FakeStore()
        self.workers = fakes.FakeWorkers(1)
        self.epochs: list[int] = []
        self.fleet_owners: list[FakeFleetOwner] = []
        self.open_fleet_owners = 0
        self.events: list[tuple[str, dict[str, object]]] = []
        self.ownership_manager = ownership.OwnershipManager(
            self.group,
            self.make_owner,
            self.own_fleet,
            fleet_partition,
            lambda: frozenset({PARTITION}),
            1_000,
            self._log_event,
        )

    def _log_event(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))

    def make_owner(self, partition: int, epoch: int) -> pool_owner.PoolOwner:
        """Return an owner on fakes."""
        self.epochs.append(epoch)
        return self.make_other_owner(
            partition, epoch, self.ownership_manager.confirmed_at
        )

    def make_other_owner(
        self, partition: int, epoch: int, confirmed_at: Callable[[], float | None]
    ) -> pool_owner.PoolOwner:
        """Return an owner on fakes, as on another node."""
        return pool_owner.PoolOwner(
            partition,
            epoch,
            lambda pool: True,
            confirmed_at,
            lambda owner: None,
            self.store,
            self.workers,
            self.workers,
            fake_adviser.make_calls(fake_adviser.FakeAdviser()),
            self.workers,
            pool_owner.OwnerSettings(6.0),
            self._log_event,
            telemetry.JobMetrics(),
        )

    @contextlib.asynccontextmanager
    async def own_fleet(self, epoch: int) -> AsyncIterator[FakeFleetOwner]:
        """Create a fake owner of the fleet and count those that are open."""
        fleet_owner = FakeFleetOwner(epoch)
        self.fleet_owners.append(fleet_owner)
        self.open_fleet_owners += 1
        try:
            yield fleet_owner
        finally:
            self.open_fleet_owners -= 1

    async def submit_lasting(self, job_id: str) -> fakes.FakeWorkers:
        """Store a job of one lasting task, for two workers, and return these."""
        return await self.submit(job_id, is_lasting=True)

    async def submit(self, job_id: str, is_lasting: bool) -> fakes.FakeWorkers:
        """Store a job of one task, for two workers, and return these."""
        self.workers = fakes.FakeWorkers(2)
        if is_lasting:
            self.workers.lasting_jobs.add(job_id)
        spec = helpers.make_spec(job_id, 1, is_lasting=is_lasting)
        record = services.KeyedRecord("j" + job_id, state.encode_spec(spec))
        await self.store.append(services.Topic.COMMANDS, PARTITION, [record])
        return self.workers

    def assign(self, generation: int, *partitions: int) -> None:
        """Set what the next join returns."""
        self.group.assignment = services.Assignment(generation, frozenset(partitions))


@paused_clock.test
async def test_epoch_stays_while_the_partition_stays() -> None:
    """Guards against a partition that is loaded again whenever the group changes."""
    harness = ManagerHarness(frozenset({PARTITION}))
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        harness.assign(5, PARTITION, 7)
        await asyncio.sleep(1.0)
        assert harness.epochs == [1]
        harness.assign(6)
        await asyncio.sleep(1.0)
        assert not harness.ownership_manager.owners_by_partition
        harness.assign(7, PARTITION)
        await asyncio.sleep(1.0)
        assert harness.epochs == [1, 7]


@paused_clock.test
async def test_owner_begins_before_the_next_regular_join() -> None:
    """Guards against takeovers that take longer by the interval of the joins."""
    harness = ManagerHarness(frozenset({PARTITION}))
    owners = harness.ownership_manager.owners_by_partition
    async with ownership.run_ownership_manager(harness.ownership_manager):
        while PARTITION not in owners:
            await asyncio.sleep(0.001)
        await asyncio.sleep(ownership.JOIN_INTERVAL_S / 2)
        assert owners[PARTITION].is_loaded


@paused_clock.test
async def test_fenced_owner_waits_for_a_later_generation() -> None:
    """Guards against two owners that act under the same epoch."""
    harness = ManagerHarness(frozenset({PARTITION}))
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        harness.ownership_manager.owners_by_partition[PARTITION].mark_lost("a test")
        await asyncio.sleep(1.0)
        assert harness.epochs == [1]
        harness.assign(4, PARTITION)
        await asyncio.sleep(1.0)
        assert harness.epochs == [1, 4]


@paused_clock.test
async def test_partition_gets_an_owner_again_after_an_unexpected_error() -> None:
    """Guards against a partition whose owner has ended without anyone noticing."""
    harness = ManagerHarness(frozenset({PARTITION}))
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        owner = harness.ownership_manager.owners_by_partition[PARTITION]
        owner.jobs_by_id["a"] = None  # type: ignore[assignment]
        await asyncio.sleep(1.0)
        assert owner.is_lost
        assert harness.group.leaves == 1
        harness.assign(2, PARTITION)
        await asyncio.sleep(1.0)
        assert harness.epochs == [1, 2]
        assert not harness.ownership_manager.owners_by_partition[PARTITION].is_lost


@paused_clock.test
async def test_hosts_get_an_owner_again_after_an_unexpected_error() -> None:
    """Guards against waves and moves that stop for good without anyone noticing."""
    harness = ManagerHarness(frozenset({FLEET_PARTITION}))
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        harness.fleet_owners[0].is_lost = harness.fleet_owners[0].has_failed = True
        await asyncio.sleep(1.0)
        assert harness.group.leaves == 1
        harness.assign(2, FLEET_PARTITION)
        await asyncio.sleep(1.0)
        assert [fleet_owner.epoch for fleet_owner in harness.fleet_owners] == [1, 2]


@paused_clock.test
async def test_owner_has_a_new_epoch_after_its_node_has_left() -> None:
    """Guards against run numbers that are used again after the group was left."""
    harness = ManagerHarness(frozenset({PARTITION, FLEET_PARTITION}))
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        harness.fleet_owners[0].is_lost = harness.fleet_owners[0].has_failed = True
        harness.assign(4, PARTITION, FLEET_PARTITION)
        await asyncio.sleep(3.0)
        assert harness.epochs == [1, 4]


@paused_clock.test
async def test_node_whose_leaving_was_lost_gives_no_epoch_twice() -> None:
    """Guards against run numbers that are used again, as the store knows no leaving."""
    harness = ManagerHarness(frozenset({PARTITION, FLEET_PARTITION}))
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        harness.group.lost_leaves = 100
        harness.fleet_owners[0].is_lost = harness.fleet_owners[0].has_failed = True
        await asyncio.sleep(3.0)
        assert harness.epochs == [1]
        assert not harness.ownership_manager.owners_by_partition
        assert harness.group.leaves > 1
        harness.group.lost_leaves = 0
        harness.assign(4, PARTITION, FLEET_PARTITION)
        await asyncio.sleep(3.0)
        assert harness.epochs == [1, 4]
        assert [owner.epoch for owner in harness.fleet_owners] == [1, 4]


@paused_clock.test
async def test_fenced_fleet_owner_comes_back_with_a_later_generation() -> None:
    """Guards against waves that stop after the store has reassigned partitions."""
    harness = ManagerHarness(frozenset({FLEET_PARTITION}))
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        harness.fleet_owners[0].is_lost = True
        await asyncio.sleep(1.0)
        assert harness.open_fleet_owners == 0
        harness.assign(3, FLEET_PARTITION)
        await asyncio.sleep(1.0)
        assert [fleet_owner.epoch for fleet_owner in harness.fleet_owners] == [1, 3]
        assert harness.open_fleet_owners == 1
    assert harness.open_fleet_owners == 0


@paused_clock.test
async def test_confirmation_counts_from_before_the_call() -> None:
    """Guards against leases that last longer than the confirmed ownership."""
    harness = ManagerHarness(frozenset({PARTITION}))
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        harness.group.is_down = True
        await asyncio.sleep(0.5)
        confirmed_at = harness.ownership_manager.confirmed_at()
        await asyncio.sleep(3.0)
        assert harness.ownership_manager.confirmed_at() == confirmed_at


@paused_clock.test
async def test_small_node_owns_nothing_while_larger_ones_do() -> None:
    """Guards against a busy pool whose owner runs on a host with half a core."""
    harness = ManagerHarness(frozenset({PARTITION}))
    harness.group.owners = {
        number: standby.format_member(f"10.0.0.{number}:1", 5, 2_000)
        for number in range(3)
    }
    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(5.0)
        assert not harness.epochs  # the node has never owned the partition
        assert not harness.ownership_manager.owners_by_partition
        assert harness.ownership_manager.reached_at is not None
        del harness.group.owners[1]
        await asyncio.sleep(3.0)
        assert PARTITION in harness.ownership_manager.owners_by_partition


@paused_clock.test
async def test_node_joins_although_the_list_of_owners_is_refused() -> None:
    """Guards against pools without an owner, and a membership lost for a list."""
    harness = ManagerHarness(frozenset({PARTITION}))

    async def refuse() -> Mapping[int, str]:
        raise errors.ClementinesparError(codes.ResultCode.STORE_REFUSED, "busy")

    harness.group.list_owners = refuse  # type: ignore[method-assign]
    async with ownership.run_ownership_manager(harness.ownership_manager):
        for _ in range(40):
            await asyncio.sleep(0.2)
            confirmed_at = harness.ownership_manager.confirmed_at()
            assert confirmed_at is not None
            assert asyncio.get_running_loop().time() - confirmed_at < 1.0
        assert harness.epochs == [1]


def test_member_names() -> None:
    """Guards against a size that is parsed from another part of the name."""
    member = standby.format_member("10.0.0.1:7060", 1_790_000_000_000, 516)
    assert standby.parse_core_millis(member) == 516
    assert standby.parse_core_millis("") == 0


@paused_clock.test
async def test_node_without_a_recent_confirmation_frees_no_host() -> None:
    """Guards against a host that is taken away while the next owner uses it."""
    harness = ManagerHarness(frozenset({PARTITION}))
    jobs = service.JobService(
        harness.ownership_manager,
        partitions.PartitionMap(24),
        types.SimpleNamespace(current=None, confirmed_at=None),
        harness.store,
        http_calls.HttpClient(),
    )

    def is_free() -> bool:
        path = "/evacuate/quotes-0?kept_s=5&urgency=if_idle"
        with contextlib.suppress(errors.ClementinesparError):
            return bool(jobs.answer_peer(PARTITION, path)["is_free"])
        return False

    async with ownership.run_ownership_manager(harness.ownership_manager):
        await asyncio.sleep(3.0)
        assert is_free()
        harness.group.is_down = True
        await asyncio.sleep(harness.group.ttl_s)
        assert not is_free()
        harness.group.is_down = False
        await asyncio.sleep(1.0)
        assert is_free()
