"""Owner of the fleet: one node gives the orders to the hosts of all pools.

`maintenance.py` carries out the waves of maintenance, and `host_moves.py` moves hosts
to demand.

The platform does not check fences on orders to hosts, so a new owner of the fleet waits
until the previous one has certainly stopped before it gives its first order, unless
that one has recorded that it stopped (`host_orders.py`). An order is given only for a
host whose worker the owner of its pool has freed.
"""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

from clementinespar import background, codes, errors
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
PREVIOUS_OWNER_MARGIN_S = 0.6  # the previous owner notices its loss by its next join
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
    _acts: bool  # the previous owner has certainly stopped

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
        self._log_event = log_event
        self._log = fenced_log.FencedLog(
            store, services.Topic.HOSTS, partition, epoch, TICK_S, log_event
        )
        evacuation = host_evacuation.HostEvacuation(jobs, configuration, log_event)
        self._orders = host_orders.HostOrders(holder_lease_s + PREVIOUS_OWNER_MARGIN_S)
        self._moves = host_moves.HostMoves(
            epoch,
            jobs,
            hosts,
            configuration,
            evacuation,
            self._orders,
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
            self._moves.count_lasting,
            maintenance_s,
            self._may_act,
            self._store_record,
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
        """Load stored state, wait until the previous owner has stopped, then act."""
        loop = asyncio.get_running_loop()
        acts_from = loop.time() + self._holder_lease_s + PREVIOUS_OWNER_MARGIN_S
        while True:
            try:
                await self._store_holder()
                page = await self._store.list_newest(
                    services.Topic.HOSTS, self._partition
                )
                for entry in page.records:
                    if entry.key.startswith("wave"):
                        begun = set(json.loads(entry.value))
                        self._waves.restore(int(entry.key[4:]), begun)
                    elif entry.key == "turns":
                        self._moves.restore(json.loads(entry.value), loop.time())
                    elif entry.key == host_orders.RELEASE_KEY and self._take_over(
                        entry.value
                    ):
                        acts_from = loop.time()
                await self._store_record(
                    host_orders.RELEASE_KEY, host_orders.encode_acting()
                )
                break
            except errors.ClementinesparError as error:
                if error.code is codes.ResultCode.STORE_FENCED:
                    self.is_lost = True
                    return
                self._log_event("fleet_load_retried", code=int(error.code))
            await asyncio.sleep(TICK_S)
        await asyncio.sleep(max(0.0, acts_from - loop.time()))
        self._acts = True
        self._log_event("fleet_holder", epoch=self.epoch)
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

    def _take_over(self, value: bytes) -> bool:
        """Whether the previous owner has recorded that it gives no more orders."""
        now = asyncio.get_running_loop().time()
        try:
            return self._orders.take_over(value, now)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            telemetry.log_invalid_entry(self._log_event, host_orders.RELEASE_KEY, error)
            return False

    async def release(self) -> None:
        """Record for the next owner that this one gives no more orders.

        Call it after `run` has ended. Without the record the next owner waits.
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
        if not self._may_act():
            return
        hosts_by_id = {host.host_id: host for host in await self._hosts.list_hosts()}
        await self._waves.advance(hosts_by_id)
        await self._moves.move_to_demand(hosts_by_id, self._waves.find_leaving())

    async def _store_holder(self) -> None:
        await self._store_record("holder", {"epoch": self.epoch})

    async def _store_record(self, key: str, value: object) -> None:
        """Store a record under the epoch of this owner; retries until it is stored."""
        entry = services.KeyedRecord(key, json.dumps(value).encode())
        await self._log.append([entry])


@contextlib.asynccontextmanager
async def own_fleet(owner: FleetOwner) -> AsyncIterator[FleetOwner]:
    """Run an owner of the fleet inside the context."""
    try:
        async with background.running(owner.run()):
            yield owner
    finally:
        await owner.release()
