"""Ownership of partitions, assigned by a group on the store.

A confirmation of ownership counts from the time at which its call was sent. Leases on
workers are renewed only for a limited time after it.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable
from typing import Protocol

from clementinespar import background, codes, errors
from clementinespar.jobs import pool_owner, services, standby, telemetry

JOIN_INTERVAL_S = 0.4
MIN_JOIN_SPACING_S = 0.05  # after a join that took the whole interval
LOADING_CHECK_S = 0.01  # while an owner loads; its first append takes some milliseconds
OWNERS_MAX_AGE_S = 2.0
# Time between checks of the sizes of other nodes while no larger node owns a partition.
# Otherwise, and for this long after the start, it is `standby.STANDBY_INTERVAL_S`.
SIZE_CHECK_INTERVAL_S = 5.0
# A node that stands by joins if the store has refused the list for this long; others do
# so at once. One start of the store takes less.
REFUSED_LIST_LIMIT_S = 5.0
# Other nodes rely on an owner only if it was confirmed so recently that no other node
# can be the owner for another half second.
CONFIRMATION_MARGIN_S = 0.5


def lasts(confirmed_at: float | None, ttl_s: float) -> bool:
    """Whether ownership certainly lasts for `CONFIRMATION_MARGIN_S`.

    Parameters
    ----------
    confirmed_at : float or None
        Event-loop time at which the call that confirmed it was sent; None: none was.
    ttl_s : float
        As `services.OwnershipGroup.ttl_s`.
    """
    now = asyncio.get_running_loop().time()
    return (
        confirmed_at is not None and now - confirmed_at < ttl_s - CONFIRMATION_MARGIN_S
    )


class FleetOwnerHandle(Protocol):
    """The owner of the fleet partition, which alone gives orders to hosts."""

    epoch: int
    is_lost: bool  # the store has seen a later owner, or it has failed
    has_failed: bool  # by an unexpected error

    def check_fence(self) -> None:
        """Stop acting until the store has confirmed that no later owner has begun."""
        ...


class OwnershipManager:
    """Joins the group and runs an owner for each assigned partition."""

    owners_by_partition: dict[int, pool_owner.PoolOwner]
    is_fleet_owner: bool
    generation: int
    # Gaps between two confirmations in which another member may have owned the
    # partitions.
    gap_count: int
    assigned: frozenset[int]
    reached_at: float | None  # event-loop time of the last answer of the store
    unanswered_since: float | None  # event-loop time of the first unanswered call
    store_latency_s: float  # duration of the last answered join or list of owners
    _confirmed_at: float | None
    _stacks: dict[int, contextlib.AsyncExitStack]
    _fleet_partition: int
    _fleet_owner: FleetOwnerHandle | None
    _fleet_stack: contextlib.AsyncExitStack
    _fleet_used_epoch: int  # of the last owner of the fleet that has ended here
    _epochs: dict[int, int]  # generation in which each partition was assigned
    _used_epochs: dict[int, int]  # of the last owner that has ended here
    # Generation that this node left without an answer, so it may still be a member as
    # before; 0: none.
    _open_generation: int
    _owner_names: dict[int, str]
    _owners_read_at: float  # event-loop time
    _larger_node_count: int  # larger owners at the last check
    _listed_at: float  # event-loop time of the last check of the owners
    _candidacy: standby.Candidacy
    _reason: standby.Reason | None  # why this node is not a member
    _started_at: float  # event-loop time

    def __init__(
        self,
        group: services.OwnershipGroup,
        make_owner: Callable[[int, int], pool_owner.PoolOwner],
        own_fleet: Callable[
            [int], contextlib.AbstractAsyncContextManager[FleetOwnerHandle]
        ],
        fleet_partition: int,
        wanted_partitions: Callable[[], frozenset[int]],
        core_millis: int,
        log_event: services.EventLog,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self.owners_by_partition = {}
        self.is_fleet_owner = False
        self.generation = 0
        self.gap_count = 0
        self.assigned = frozenset()
        self._group = group
        self._make_owner = make_owner
        self._own_fleet = own_fleet
        self._wanted_partitions = wanted_partitions
        self._core_millis = core_millis
        self.reached_at = None
        self.unanswered_since = None
        self.store_latency_s = 0.0
        self._larger_node_count = 0
        self._listed_at = 0.0
        self._candidacy = standby.Candidacy(draw)
        self._reason = None
        self._started_at = 0.0
        self._log_event = log_event
        self._confirmed_at = None
        self._stacks = {}
        self._fleet_partition = fleet_partition
        self._fleet_owner = None
        self._fleet_stack = contextlib.AsyncExitStack()
        self._fleet_used_epoch = 0
        self._epochs = {}
        self._used_epochs = {}
        self._open_generation = 0
        self._owner_names = {}
        self._owners_read_at = -OWNERS_MAX_AGE_S

    def confirmed_at(self) -> float | None:
        """Return when the last successful join was sent."""
        return self._confirmed_at

    def check_lasting(self, partition: int) -> None:
        """Raise unless this node certainly remains the owner for a while.

        Raises
        ------
        errors.ClementinesparError
            With ``JOB_OWNER_UNKNOWN``: another node may own the partition.
        """
        owner = self.owners_by_partition.get(partition)
        if owner is None or not lasts(owner.confirmed_at(), self._group.ttl_s):
            raise errors.ClementinesparError(
                codes.ResultCode.JOB_OWNER_UNKNOWN,
                "the ownership was not confirmed recently",
            )

    async def run(self) -> None:
        """Join at intervals until cancelled."""
        loop = asyncio.get_running_loop()
        is_reached = True
        self._started_at = self._listed_at = loop.time()
        while True:
            sent_at = loop.time()
            if self.unanswered_since is None:
                self.unanswered_since = sent_at
            try:
                wait = await self._review()
                if wait is not None:
                    self._mark_reached()
                    await asyncio.sleep(wait.wait_s)
                    continue
                assignment = await self._group.join(self.generation)
            except errors.ClementinesparError as error:
                if error.code is codes.ResultCode.STORE_REFUSED:
                    self.unanswered_since = None  # a refusal is an answer
                if is_reached:
                    self._log_event("ownership_unconfirmed", code=int(error.code))
                is_reached = False
            else:
                unanswered_s = loop.time() - self.unanswered_since
                if not is_reached or unanswered_s >= self._group.ttl_s:
                    self._log_event(
                        "ownership_confirmed_again",
                        unanswered_ms=round(unanswered_s * 1000),
                        join_ms=round((loop.time() - sent_at) * 1000),
                        generation=assignment.generation,
                    )
                is_reached = True
                self._mark_reached()
                self.store_latency_s = loop.time() - sent_at
                await self._apply(assignment, sent_at)
            await self._wait_next_join(sent_at)

    async def _wait_next_join(self, sent_at: float) -> None:
        """Wait for the interval, or until an owner needs a confirmation to begin.

        Parameters
        ----------
        sent_at : float
            Event-loop time at which the last join was sent.
        """
        loop = asyncio.get_running_loop()
        due_at = max(loop.time() + MIN_JOIN_SPACING_S, sent_at + JOIN_INTERVAL_S)
        while (left_s := due_at - loop.time()) > 0:
            owners = self.owners_by_partition.values()
            if any(owner.awaits_confirmation(sent_at) for owner in owners):
                return
            is_loading = not all(owner.is_loaded for owner in owners)
            await asyncio.sleep(min(left_s, LOADING_CHECK_S) if is_loading else left_s)

    def _mark_reached(self) -> None:
        self.reached_at = asyncio.get_running_loop().time()
        self.unanswered_since = None

    async def _review(self) -> standby.Wait | None:
        """Return how long to stay out of the group, or None to join or stay in it."""
        if self.generation and not self._has_lapsed():
            return await self._review_as_member()
        loop = asyncio.get_running_loop()
        try:
            owners = await self._count_owners()
        except errors.ClementinesparError as error:
            # Without an answer, a join would not be answered either.
            if error.code is not codes.ResultCode.STORE_REFUSED or (
                self._candidacy.is_standby
                and loop.time() - self._listed_at < REFUSED_LIST_LIMIT_S
            ):
                raise
            return None
        wait = None
        if self._group.member not in self._owner_names.values():
            wait = self._candidacy.review(owners, loop.time())
        reason = None if wait is None else wait.reason
        if reason is not self._reason:
            self._log_event(
                "ownership_joining" if reason is None else "ownership_standby",
                reason="" if reason is None else reason.value,
                larger=owners.larger,
                as_large=owners.as_large,
            )
            self._reason = reason
        if wait is None:
            self._candidacy.end()
        elif self.generation and self._candidacy.is_standby:
            await self._leave()
        return wait

    def _has_lapsed(self) -> bool:
        """Whether the store may have ended the membership of this node."""
        now = asyncio.get_running_loop().time()
        return (
            self._confirmed_at is not None
            and now - self._confirmed_at >= self._group.ttl_s
        )

    async def _review_as_member(self) -> standby.Wait | None:
        """Leave the group if there are enough larger nodes; other members stay."""
        loop = asyncio.get_running_loop()
        interval_s = standby.STANDBY_INTERVAL_S
        if (
            self._larger_node_count == 0
            and loop.time() - self._started_at > SIZE_CHECK_INTERVAL_S
        ):
            interval_s = SIZE_CHECK_INTERVAL_S
        if loop.time() - self._listed_at < interval_s:
            return None
        try:
            owners = await self._count_owners()
        except errors.ClementinesparError:
            self._listed_at = loop.time()  # the membership is more urgent
            return None
        if owners.larger < standby.MIN_LARGER_NODES:
            return None
        self._log_event("ownership_left_to_larger_nodes", count=owners.larger)
        wait = self._candidacy.review(owners, loop.time())
        self._reason = None if wait is None else wait.reason
        await self._leave()
        return wait

    async def _count_owners(self) -> standby.Owners:
        loop = asyncio.get_running_loop()
        read_at = loop.time()
        await self._read_owners()
        self._listed_at = loop.time()
        self.store_latency_s = self._listed_at - read_at
        owners = standby.count_owners(
            self._owner_names.values(), self._group.member, self._core_millis
        )
        self._larger_node_count = owners.larger
        return owners

    async def _leave(self) -> None:
        """Give up all partitions; the next join begins anew."""
        self._open_generation = max(self._open_generation, self.generation)
        await self.close()
        self._epochs.clear()
        self.generation = 0
        self.assigned = frozenset()
        self.is_fleet_owner = False

    async def _apply(self, assignment: services.Assignment, sent_at: float) -> None:
        owners = [*self.owners_by_partition.values(), self._fleet_owner]
        has_failed = any(owner is not None and owner.has_failed for owner in owners)
        if has_failed or assignment.generation == self._open_generation:
            # Only a later generation gives the partition an owner again.
            await self._leave()
            return
        if assignment.generation != self.generation:
            self._check_fences(assignment.generation)
            self._log_event(
                "assignment",
                generation=assignment.generation,
                partitions=sorted(assignment.partitions),
            )
        for partition in set(self.owners_by_partition) - assignment.partitions:
            await self._stop_owner(partition)
        for partition, owner in list(self.owners_by_partition.items()):
            if owner.is_lost:
                await self._stop_owner(partition)
        for partition in set(self._epochs) - assignment.partitions:
            del self._epochs[partition]
        for partition in assignment.partitions:
            # The epoch is the generation in which the partition was assigned. It stays
            # as long as the assignment, unless its owner has ended.
            used = self._used_epochs.get(partition, 0)
            if self._epochs.get(partition, 0) <= used:
                self._epochs[partition] = assignment.generation
        self.generation = assignment.generation
        self.assigned = assignment.partitions
        self._confirmed_at = sent_at
        self.is_fleet_owner = self._fleet_partition in assignment.partitions
        await self._apply_fleet(assignment.generation)
        for partition in assignment.partitions & self._wanted_partitions():
            epoch = self._epochs[partition]
            is_usable = epoch > self._used_epochs.get(partition, 0)
            if partition not in self.owners_by_partition and is_usable:
                await self._start_owner(partition, epoch)

    def _check_fences(self, generation: int) -> None:
        """Let no owner act whose partition may have been another's in between.

        That is so if generations were missed: the store may assign all partitions anew
        at any time. After a gap as long as the time to live, one generation may hold
        several changes.
        """
        confirmed_at = self._confirmed_at
        if confirmed_at is None:
            return
        gap_s = asyncio.get_running_loop().time() - confirmed_at
        if generation == self.generation + 1 and gap_s < self._group.ttl_s:
            return
        self.gap_count += 1
        if self.owners_by_partition or self._fleet_owner is not None:
            self._log_event(
                "ownership_gap",
                gap_ms=round(gap_s * 1000),
                former_generation=self.generation,
                generation=generation,
                partitions=sorted(self.owners_by_partition),
                is_fleet_owner=self._fleet_owner is not None,
            )
        for owner in self.owners_by_partition.values():
            owner.check_fence()
        if self._fleet_owner is not None:
            self._fleet_owner.check_fence()

    async def _apply_fleet(self, generation: int) -> None:
        """Run the owner of the fleet while the fleet partition is assigned."""
        fleet_owner = self._fleet_owner
        if fleet_owner is not None and (fleet_owner.is_lost or not self.is_fleet_owner):
            self._fleet_owner = None
            self._fleet_used_epoch = fleet_owner.epoch
            await self._fleet_stack.aclose()
        if not self.is_fleet_owner or self._fleet_owner is not None:
            return
        # After an owner has ended, the next one needs a later generation.
        if generation > self._fleet_used_epoch:
            self._fleet_owner = await self._fleet_stack.enter_async_context(
                self._own_fleet(generation)
            )

    async def _start_owner(self, partition: int, epoch: int) -> None:
        owner = self._make_owner(partition, epoch)
        stack = contextlib.AsyncExitStack()
        await stack.enter_async_context(pool_owner.own_partition(owner))
        self.owners_by_partition[partition] = owner
        self._stacks[partition] = stack

    async def _stop_owner(self, partition: int) -> None:
        owner = self.owners_by_partition.pop(partition)
        # Run numbers of an epoch would begin anew, so it is not used again: the next
        # owner waits for a later generation.
        self._used_epochs[partition] = owner.epoch
        self._epochs.pop(partition, None)
        owner.is_lost = True
        await self._stacks.pop(partition).aclose()

    def log_failure(self, error: Exception) -> None:
        """Log an unexpected error in the run of this manager."""
        telemetry.log_unexpected(self._log_event, "ownership", error)

    def known_owner(self, partition: int) -> str | None:
        """Return the owner of a partition by the last list, whatever its age."""
        return self._owner_names.get(partition)

    async def find_owner(self, partition: int, is_fresh: bool = False) -> str | None:
        """Return the member that owns a partition.

        The list of owners is read again if it is older than `OWNERS_MAX_AGE_S`, or if
        `is_fresh` asks for a newer one.
        """
        loop = asyncio.get_running_loop()
        age = loop.time() - self._owners_read_at
        if age > OWNERS_MAX_AGE_S or (is_fresh and age > 0.1):
            try:
                await self._read_owners()
            except errors.ClementinesparError as error:
                self._log_event("owners_unknown", code=int(error.code))
        return self._owner_names.get(partition)

    async def _read_owners(self) -> None:
        self._owner_names = dict(await self._group.list_owners())
        self._owners_read_at = asyncio.get_running_loop().time()

    async def close(self) -> None:
        """Stop all owners and leave the group."""
        for partition in list(self.owners_by_partition):
            await self._stop_owner(partition)
        if self._fleet_owner is not None:
            self._fleet_used_epoch = self._fleet_owner.epoch
        self._fleet_owner = None
        await self._fleet_stack.aclose()
        try:
            await self._group.leave()
        except errors.ClementinesparError as error:
            self._log_event("leave_failed", code=int(error.code))
        else:
            self._open_generation = 0


@contextlib.asynccontextmanager
async def run_ownership_manager(
    ownership_manager: OwnershipManager,
) -> AsyncIterator[None]:
    """Run an ownership manager inside the context and close it at the end."""
    try:
        async with background.running(
            background.keep_running(
                ownership_manager.run, ownership_manager.log_failure, JOIN_INTERVAL_S
            )
        ):
            yield
    finally:
        await ownership_manager.close()
