"""Targets of the owned services, with the exact count of their slots."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any

from clementinespar.documents import model as document_model
from clementinespar.requests import model, slots

STATUS_TIMEOUT_S = 1.0
# Time between two status reads of a target whose slots are in doubt or that is silent.
STATUS_INTERVAL_S = 0.5
LEAVING_WATCH_INTERVAL_S = 2.0
LEAVING_WATCH_S = 1800.0  # a host that is gone for longer starts as a new one


@dataclasses.dataclass(frozen=True, slots=True)
class PoolMember:
    """A target that may receive work of a service."""

    target: model.Target
    slots: slots.TargetSlots  # shared by all services that may use the target
    lend_limit: int | None = (
        None  # most borrowed slots; None for the service's own pool
    )

    @property
    def is_lent(self) -> bool:
        """Whether the target belongs to the pool that the service borrows from."""
        return self.lend_limit is not None

    @property
    def free(self) -> int:
        """Slots that the service may take now."""
        if self.lend_limit is None:
            return self.slots.free
        return max(0, min(self.slots.free, self.lend_limit - self.slots.borrowed))


class TargetPool:
    """Slots of targets by host, shared by all services that this node owns.

    Parameters
    ----------
    directory : model.TargetDirectory
        Targets that may receive new work.
    transport : model.TargetTransport
        Reads the targets' own status.
    on_slots : callable
        Called when targets may have free slots.
    """

    slots_by_host_id: dict[str, slots.TargetSlots]
    _directory: model.TargetDirectory
    _transport: model.TargetTransport
    _on_free_slots: Callable[[], None]
    _host_ids_by_listing: dict[str, set[str]]  # targets of a service at the last look
    _leaving_host_ids: set[str]  # targets whose statement to leave is being watched
    _tasks: set[asyncio.Task[Any]]  # background tasks, kept so that they run on

    def __init__(
        self,
        directory: model.TargetDirectory,
        transport: model.TargetTransport,
        on_free_slots: Callable[[], None],
    ) -> None:
        self.slots_by_host_id = {}
        self._directory = directory
        self._transport = transport
        self._on_free_slots = on_free_slots
        self._host_ids_by_listing = {}
        self._leaving_host_ids = set()
        self._tasks = set()

    def members(
        self, service: str, declared: document_model.Service, now: float
    ) -> list[PoolMember]:
        """Return the targets in the directory; reads their status where needed.

        A target has no free slot until its status was read once.
        """
        targets = self._directory.targets_of(service)
        return [
            PoolMember(target, target_slots)
            for target, target_slots in self._slots_of(
                service, service, targets, declared, now
            )
        ]

    def lent_members(
        self, service: str, document: document_model.Document, now: float
    ) -> list[PoolMember]:
        """Return the targets of the pool that a service borrows from."""
        pool = document.lent_pool(service)
        if pool is None:
            return []
        # The lender's own declaration counts for its targets.
        declared = next(
            (other for other in document.services.values() if other.pool == pool),
            document.services[service],
        )
        targets = self._directory.lent_targets_of(service)
        lend_share = document.pools[pool].lend_share
        return [
            PoolMember(target, target_slots, int(target_slots.slots * lend_share))
            for target, target_slots in self._slots_of(
                service, f"{service} borrows", targets, declared, now
            )
        ]

    def _slots_of(
        self,
        service: str,
        use: str,
        targets: Sequence[model.Target],
        declared: document_model.Service,
        now: float,
    ) -> list[tuple[model.Target, slots.TargetSlots]]:
        """Return the slots of targets; reads their status where needed."""
        host_ids = {target.host_id for target in targets}
        # Slots are read again when a target returns: it may have rebooted.
        self.invalidate_slots(self._host_ids_by_listing.get(use, set()) - host_ids)
        self._host_ids_by_listing[use] = host_ids
        known = []
        for target in targets:
            target_slots = self.slots_by_host_id.get(target.host_id)
            if target_slots is None:
                target_slots = slots.TargetSlots(
                    target.host_id, declared.slots_per_target
                )
                self.slots_by_host_id[target.host_id] = target_slots
            target_slots.slots = min(
                declared.slots_per_target,
                declared.connections_per_target,
                target_slots.reported_slots,
            )
            if (
                (target_slots.in_doubt or not target_slots.is_status_known)
                and not target_slots.is_reading
                and now >= target_slots.next_read_at
            ):
                target_slots.is_reading = True
                self._spawn(self._read_status(service, target, target_slots))
            known.append((target, target_slots))
        return known

    def invalidate_slots(self, host_ids: Iterable[str]) -> None:
        """Use targets again only after their busy slots were read."""
        for host_id in host_ids:
            self.slots_by_host_id[host_id].is_status_known = False

    def mark_leaving(self, target: model.Target, service: str) -> None:
        """Send nothing more to a target that leaves, until it says otherwise."""
        self._directory.mark_leaving(target)
        if target.host_id not in self._leaving_host_ids:
            self._leaving_host_ids.add(target.host_id)
            self._spawn(self._watch_leaving(target, service))

    async def _read_status(
        self, service: str, target: model.Target, target_slots: slots.TargetSlots
    ) -> None:
        """Read a target's busy slots and bring the doubt in line with them."""
        loop = asyncio.get_running_loop()
        is_first = not target_slots.is_status_known
        target_slots.is_paused = target_slots.needs_pause(loop.time())
        try:
            if target_slots.is_paused:
                await asyncio.sleep(slots.PAUSE_S)
            target_slots.read_began_at = loop.time()
            before = target_slots.uses_before(loop.time() - slots.SETTLE_S)
            status = await self._transport.status(target, STATUS_TIMEOUT_S)
            if status is not None and before:
                await asyncio.sleep(slots.SETTLE_S)
        finally:
            if target_slots.is_paused:
                target_slots.is_paused = False
                target_slots.paused_at = loop.time()
            target_slots.is_reading = False
            target_slots.next_read_at = loop.time() + STATUS_INTERVAL_S
        if status is None:
            self._on_free_slots()
            return
        if status.is_leaving:
            self.mark_leaving(target, service)
        certain = sum(not use.is_released for use in before)
        target_slots.reported_slots = max(1, status.slots)
        target_slots.apply_status(status.busy_slots, certain, loop.time(), is_first)
        target_slots.is_status_known = True
        self._on_free_slots()

    async def _watch_leaving(self, target: model.Target, service: str) -> None:
        """Ask a leaving target until it has rebooted.

        The directory learns of reboots from the fold and the host list; this covers
        a reboot that is faster than the host list.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + LEAVING_WATCH_S
        try:
            while loop.time() < ends_at:
                await asyncio.sleep(LEAVING_WATCH_INTERVAL_S)
                listed = {
                    *self._directory.targets_of(service),
                    *self._directory.lent_targets_of(service),
                }
                if any(other.host_id == target.host_id for other in listed):
                    return
                status = await self._transport.status(target, STATUS_TIMEOUT_S)
                if status is not None and not status.is_leaving:
                    self._directory.clear_leaving(target)
                    return
        finally:
            self._leaving_host_ids.discard(target.host_id)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
