"""Targets of the owned services, with the exact counts of their slots."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Sequence

from clementinespar import background
from clementinespar.documents import model as document_model
from clementinespar.requests import model, slots

STATUS_TIMEOUT_S = 1.0
# Time between two status reads of a target that has slots in doubt or is unresponsive.
STATUS_INTERVAL_S = 0.5
LEAVING_WATCH_INTERVAL_S = 2.0
# Polling of a leaving target ends after this; a later return shows in the host list.
LEAVING_WATCH_S = 1800.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolMember:
    """A target that may receive work of a service."""

    target: model.Target
    slots: slots.TargetSlots  # shared by all services that may use the target
    # Most borrowed slots; None for a target of the service's own pool.
    lend_limit: int | None = None

    @property
    def is_lent(self) -> bool:
        """Whether the target belongs to the pool that the service borrows from."""
        return self.lend_limit is not None

    @property
    def free(self) -> int:
        """Slots that the service may acquire now."""
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
    on_free_slots : callable
        Called when a status read ended, so that targets may have more free slots.
    """

    slots_by_host_id: dict[str, slots.TargetSlots]
    _directory: model.TargetDirectory
    _transport: model.TargetTransport
    _on_free_slots: Callable[[], None]
    # Hosts in the newest list of a service's own targets (key: its name) or of the
    # targets lent to it.
    _host_ids_by_listing: dict[str, set[str]]
    _leaving_host_ids: set[str]  # leaving targets that are polled until they return
    _tasks: background.Tasks  # status reads and watches of leaving targets

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
        self._tasks = background.Tasks()

    async def end(self) -> None:
        """End all status reads."""
        await self._tasks.end()

    def members(
        self, service: str, declared: document_model.Service, now: float
    ) -> list[PoolMember]:
        """Return the service's own targets; starts status reads where needed.

        A target has no free slots until its status has been read once.
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
        pool = document.lender_pool(service)
        if pool is None:
            return []
        # The limits of a target are those of its own pool's services.
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
        listing: str,
        targets: Sequence[model.Target],
        declared: document_model.Service,
        now: float,
    ) -> list[tuple[model.Target, slots.TargetSlots]]:
        """Return targets with their slots; starts status reads where needed."""
        host_ids = {target.host_id for target in targets}
        # A target that left the list may have rebooted when it returns, so its status
        # is read again.
        self.invalidate_slots(self._host_ids_by_listing.get(listing, set()) - host_ids)
        self._host_ids_by_listing[listing] = host_ids
        targets_with_slots = []
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
                self._tasks.start(self._read_status(service, target, target_slots))
            targets_with_slots.append((target, target_slots))
        return targets_with_slots

    def invalidate_slots(self, host_ids: Iterable[str]) -> None:
        """Give targets no new work until their status has been read again."""
        for host_id in host_ids:
            self.slots_by_host_id[host_id].is_status_known = False

    def mark_leaving(self, target: model.Target, service: str) -> None:
        """Exclude a target that is leaving until it reports that it is not."""
        self._directory.mark_leaving(target)
        if target.host_id not in self._leaving_host_ids:
            self._leaving_host_ids.add(target.host_id)
            self._tasks.start(self._watch_leaving(target, service))

    async def _read_status(
        self, service: str, target: model.Target, target_slots: slots.TargetSlots
    ) -> None:
        """Read a target's status and update its slots in doubt."""
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
                target_slots.pause_ended_at = loop.time()
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
        """Poll a leaving target until it has rebooted.

        The directory sees reboots through the fold and the host list; polling covers a
        reboot that ends before the host list has shown it.
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
