"""Owner of the fleet: one node gives the orders to the hosts of all pools.

`maintenance.py` carries out the waves of maintenance, and `host_moves.py` moves hosts
to demand.

The platform does not check fences on orders to hosts. An owner therefore records which
hosts it gives orders for (`host_orders.py`), and the next one waits for these until
the lease of the previous holder has ended. Without a readable record it waits for all
hosts. An order is given only for a host whose worker the owner of its pool has freed.
"""

import asyncio
import contextlib
import json
import time
from collections.abc import AsyncIterator, Callable, Mapping

from clementinespar import background, codes, decoding, errors
from clementinespar.jobs import (
    fenced_log,
    host_evacuation,
    host_moves,
    host_orders,
    maintenance,
    ownership,
    service,
    services,
    telemetry,
)

TICK_S = 0.25
# A new owner waits this much longer than the lease, counted from its first record. The
# previous one sends orders up to `host_orders.SEND_LIMIT_S` after its last record.
PREVIOUS_OWNER_MARGIN_S = 0.6
CONFIRMATION_MAX_AGE_S = 1.2  # no order without a recent confirmation of ownership


class FleetOwner:
    """The owner of the fleet partition, which alone gives orders to hosts."""

    epoch: int
    is_lost: bool  # the store has seen a later owner, or it has failed
    has_failed: bool  # by an unexpected error
    _fence_checks: int  # done; fewer than wanted: another owner may have begun
    _wanted_fence_checks: int
    _partition: int
    _log: fenced_log.FencedLog
    _waves: maintenance.MaintenanceWaves
    _moves: host_moves.HostMoves
    _orders: host_orders.HostOrders
    _sender: host_orders.OrderSender
    _has_listed_hosts: bool
    _acts: bool  # it may give orders, at least for some hosts

    def __init__(
        self,
        partition: int,
        epoch: int,
        ownership_manager: ownership.OwnershipManager,
        jobs: service.JobService,
        store: services.JobStore,
        hosts: services.HostService,
        waves: services.WaveSource,
        configuration: services.ConfigurationSource,
        holder_lease_s: float,
        maintenance_s: float,
        log_event: services.EventLog,
        metrics: telemetry.JobMetrics | None = None,
        unix_s: Callable[[], float] = time.time,
    ) -> None:
        self.epoch = epoch
        self.is_lost = False
        self.has_failed = False
        self._fence_checks = 0
        self._wanted_fence_checks = 0
        self._partition = partition
        self._ownership_manager = ownership_manager
        self._store = store
        self._hosts = hosts
        self._holder_lease_s = holder_lease_s
        self._acts = False
        self._has_listed_hosts = False
        self._log_event = log_event
        self._log = fenced_log.FencedLog(
            store, services.Topic.HOSTS, partition, epoch, TICK_S, log_event
        )
        evacuation = host_evacuation.HostEvacuation(jobs, configuration, log_event)
        self._orders = host_orders.HostOrders(holder_lease_s + PREVIOUS_OWNER_MARGIN_S)
        self._sender = host_orders.OrderSender(
            self._orders, self._may_act, self._store_record
        )
        self._moves = host_moves.HostMoves(
            epoch,
            jobs,
            hosts,
            configuration,
            evacuation,
            self._sender,
            self._may_act,
            self._store_record,
            log_event,
            metrics,
        )
        self._waves = maintenance.MaintenanceWaves(
            epoch,
            hosts,
            waves,
            evacuation,
            self._orders,
            self._sender,
            self._moves.count_lasting,
            maintenance_s,
            self._store_records,
            unix_s,
            log_event,
        )

    async def run(self) -> None:
        """Act as the owner until cancelled, lost or failed."""
        try:
            await self._run()
        except Exception as error:
            self.has_failed = True
            self.is_lost = True
            telemetry.log_failure(self._log_event, self._partition, error)

    async def _run(self) -> None:
        """Fence out the previous owner, load stored state, then act."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                await self._store_holder()
                # The previous owner can record no more hosts from here on, and the
                # record that is read next names all hosts that it has orders for.
                fenced_at = loop.time()
                acts_from = fenced_at + self._holder_lease_s + PREVIOUS_OWNER_MARGIN_S
                page = await self._store.list_newest(
                    services.Topic.HOSTS, self._partition
                )
                for entry in page.records:
                    if entry.key.startswith(
                        (maintenance.WAVE_KEY_PREFIX, maintenance.EVACUATIONS_KEY)
                    ):
                        self._restore_waves(entry)
                    elif entry.key == "turns":
                        self._restore_peaks(entry.value)
                    elif entry.key == host_orders.RELEASE_KEY and self._take_over(
                        entry.value, fenced_at
                    ):
                        acts_from = fenced_at
                break
            except errors.ClementinesparError as error:
                if error.code is codes.ResultCode.STORE_FENCED:
                    self.is_lost = True
                    return
                self._log_event("fleet_load_retried", code=int(error.code))
            await asyncio.sleep(TICK_S)
        self._waves.add_new()  # their deadlines count while this owner waits
        await asyncio.sleep(max(0.0, acts_from - loop.time()))
        self._acts = True
        held = self._orders.find_held(loop.time())
        self._log_event("fleet_holder", epoch=self.epoch, held=len(held))
        while True:
            self._waves.add_new()
            try:
                await self._tick()
            except errors.ClementinesparError as error:
                self._log_event("fleet_tick_failed", code=int(error.code))
                if error.code is codes.ResultCode.STORE_FENCED:
                    self.is_lost = True
                    return
            await asyncio.sleep(TICK_S)

    def _restore_waves(self, entry: services.KeyedRecord) -> None:
        try:
            self._waves.restore(entry.key, entry.value)
        except decoding.ERRORS as error:
            telemetry.log_invalid_entry(self._log_event, entry.key, error)

    def _restore_peaks(self, value: bytes) -> None:
        """Take over what the previous owner has learnt of peaks, if it is readable."""
        try:
            # Numbers are checked entry by entry, so that an odd one costs only its own.
            fields = json.loads(value)
        except decoding.ERRORS as error:
            telemetry.log_invalid_entry(self._log_event, "turns", error)
            return
        self._moves.restore(fields, asyncio.get_running_loop().time())

    def _take_over(self, value: bytes, fenced_at: float) -> bool:
        """Whether the previous owner has recorded which hosts it had orders for."""
        try:
            return self._orders.take_over(value, fenced_at)
        except decoding.ERRORS as error:
            telemetry.log_invalid_entry(self._log_event, host_orders.RELEASE_KEY, error)
            return False

    async def release(self) -> None:
        """Record for the next owner which hosts have recent orders of this one.

        Call it after `run` has ended. The record of the last orders names more hosts.
        """
        if not self._acts or self.is_lost:
            return
        now = asyncio.get_running_loop().time()
        with contextlib.suppress(TimeoutError, errors.ClementinesparError):
            async with asyncio.timeout(host_orders.RELEASE_TIMEOUT_S):
                await self._store_record(
                    host_orders.RELEASE_KEY, self._orders.encode_release(now)
                )

    def check_fence(self) -> None:
        """Stop acting until the store has confirmed that no later owner has begun."""
        self._wanted_fence_checks += 1

    def _may_act(self) -> bool:
        confirmed = self._ownership_manager.confirmed_at()
        now = asyncio.get_running_loop().time()
        return (
            self._ownership_manager.is_fleet_owner
            and self._fence_checks == self._wanted_fence_checks
            and confirmed is not None
            and now - confirmed < CONFIRMATION_MAX_AGE_S
        )

    async def _tick(self) -> None:
        wanted = self._wanted_fence_checks
        if wanted != self._fence_checks:
            await self._store_holder()
            self._fence_checks = wanted
            self._log_event("fence_checked", subject="fleet", epoch=self.epoch)
        if not self._may_act():
            return
        self._sender.drop_planned()  # of a tick that has failed
        hosts_by_id = {host.host_id: host for host in await self._hosts.list_hosts()}
        await self._waves.advance(hosts_by_id)
        # Hosts that must wait for the lease of the previous holder are not chosen for a
        # move, which would keep others from being chosen.
        now = asyncio.get_running_loop().time()
        held = self._orders.find_held(now)
        if not self._has_listed_hosts:
            self._has_listed_hosts = True
            self._moves.restore_arriving(
                {
                    host_id: pool
                    for host_id, pool in self._orders.find_held_moves(now).items()
                    if host_id in hosts_by_id and hosts_by_id[host_id].state == "moving"
                },
                now,
            )
        await self._moves.move_to_demand(hosts_by_id, self._waves.find_leaving() | held)
        await self._sender.send()
        await self._waves.store_changes()

    async def _store_holder(self) -> None:
        await self._store_record("holder", {"epoch": self.epoch})

    async def _store_record(self, key: str, value: object) -> None:
        await self._store_records({key: value})

    async def _store_records(self, values: Mapping[str, object]) -> None:
        """Store records under the epoch of this owner, retried until stored."""
        await self._log.append(
            [
                services.KeyedRecord(key, json.dumps(value).encode())
                for key, value in values.items()
            ]
        )


@contextlib.asynccontextmanager
async def own_fleet(owner: FleetOwner) -> AsyncIterator[FleetOwner]:
    """Run an owner of the fleet inside the context."""
    try:
        async with background.running(owner.run()):
            yield owner
    finally:
        await owner.release()
