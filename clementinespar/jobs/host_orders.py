"""Orders to hosts, and their hand-over from one owner of the fleet to the next.

The platform does not check fences on orders to hosts, so two owners must not give
orders for one host within the lease of its holder. An owner records under its epoch
which hosts it is about to give orders for, and sends the orders after that. The next
owner fences out the previous one, reads the record and waits only for the hosts that it
names, so that a change of owner does not stop all moves and waves for seconds.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Iterable

from clementinespar import decoding

RELEASE_KEY = "release"  # of the record in the partition of the fleet
RELEASE_TIMEOUT_S = 0.4  # a planned stop does not wait longer for a slow store
# Orders are not sent later than this after the call that records their hosts. Shorter
# than the margin by which the next owner exceeds the lease: it counts from its own
# first record, which the store may take right after the one of these orders.
SEND_LIMIT_S = 0.5
# An order is not sent later than this after the request that found its host free: the
# evacuation ends after 6 s, and a slow platform carries orders out seconds late.
FREE_MAX_AGE_S = 3.0
NO_WAVE = -1


@dataclasses.dataclass(frozen=True, slots=True)
class HostOrder:
    """An order for one host.

    Parameters
    ----------
    freed_at : float
        Event-loop time before the request that found the host free.
    send : callable
        Sends the order, if the callable that it gets allows that at the last moment.
        Handles the failure of the call.
    pool : str
        Destination of a move.
    wave : int
        Number of the wave of a maintenance.
    """

    host_id: str
    freed_at: float
    send: Callable[[Callable[[], bool]], Awaitable[None]]
    pool: str = ""
    wave: int = NO_WAVE


class HostOrders:
    """The hosts that an owner of the fleet may give orders for.

    Parameters
    ----------
    lease_s : float
        Pause between the orders of two owners for one host, in seconds.
    """

    # Host id: event-loop time of the newest order, or of its end.
    _ordered_at: dict[str, float]
    _in_flight: set[str]  # ids of hosts whose order is recorded and has not ended
    _held_until: dict[str, float]  # host id: event-loop time of the first order
    # Host id: destination of its newest order, if that is a move.
    _pool_by_host: dict[str, str]
    # Host id: wave of its newest order, if that is for maintenance; `NO_WAVE` if the
    # previous owner has not recorded what its order was.
    _wave_by_host: dict[str, int]

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._ordered_at = {}
        self._in_flight = set()
        self._held_until = {}
        self._pool_by_host = {}
        self._wave_by_host = {}

    def note_order(self, host_id: str, now: float) -> None:
        """Record an order before it is sent, since a lost answer changes nothing."""
        self._ordered_at[host_id] = now

    def begin(self, orders: Iterable[HostOrder]) -> None:
        """Note that orders may be sent from now on."""
        for order in orders:
            self._in_flight.add(order.host_id)
            self._pool_by_host.pop(order.host_id, None)
            self._wave_by_host.pop(order.host_id, None)
            if order.wave == NO_WAVE:
                self._pool_by_host[order.host_id] = order.pool
            else:
                self._wave_by_host[order.host_id] = order.wave

    def end(self, orders: Iterable[HostOrder], now: float) -> None:
        """Note that the calls with orders have ended or were given up.

        The lease counts from here, since an order may arrive until then.
        """
        for order in orders:
            self._in_flight.discard(order.host_id)
            self.note_order(order.host_id, now)

    def may_order(self, host_id: str, now: float) -> bool:
        """Whether the previous owner's last order for a host is long enough ago."""
        return now >= self._held_until.get(host_id, now)

    def find_held(self, now: float) -> set[str]:
        """Return the ids of hosts for which this owner still waits."""
        return {host_id for host_id, until in self._held_until.items() if now < until}

    def find_held_for_wave(self, number: int, now: float) -> set[str]:
        """Return the hosts whose maintenance the previous owner may have ordered.

        Parameters
        ----------
        number : int
            Number of a wave, or `NO_WAVE` for orders that are not known.
        """
        return {
            host_id
            for host_id in self.find_held(now)
            if self._wave_by_host.get(host_id) == number
        }

    def find_held_moves(self, now: float) -> dict[str, str]:
        """Return the destinations of hosts that the previous owner has moved."""
        held = self.find_held(now)
        return {h: pool for h, pool in self._pool_by_host.items() if h in held}

    def find_recent(self, now: float) -> set[str]:
        """Return the ids of hosts for which the next owner would have to wait.

        These are the hosts with recent orders of this owner, and those of the previous
        one for which this owner still waits.
        """
        self._ordered_at = {
            host_id: at
            for host_id, at in self._ordered_at.items()
            if now - at < self._lease_s
        }
        return self._in_flight | set(self._ordered_at) | self.find_held(now)

    def encode_release(self, now: float) -> dict[str, object]:
        """Return the record of an owner that gives orders for no other hosts.

        A build that records no hosts before their orders writes the field
        ``is_released`` as false while it acts. It takes over from this record as after
        a planned stop, which is right: an owner that it has fenced out sends nothing.
        """
        recent = self.find_recent(now)
        self._pool_by_host = {
            h: p for h, p in self._pool_by_host.items() if h in recent
        }
        self._wave_by_host = {
            h: n for h, n in self._wave_by_host.items() if h in recent
        }
        return {
            "is_released": True,
            "recent": sorted(recent),
            "moves": self._pool_by_host,
            "upkeep": self._wave_by_host,
        }

    def take_over(self, value: bytes, now: float) -> bool:
        """Apply the record of the previous owner; False if it does not name its hosts.

        Then that owner may have given orders for any host, and the new one has to wait.

        Parameters
        ----------
        now : float
            Event-loop time at which the previous owner was certainly fenced out.

        Raises
        ------
        decoding.ERRORS
            The record is unreadable.
        """
        fields = decoding.parse_object(value)
        if fields["is_released"] is not True:
            return False
        recent = fields["recent"]
        if not isinstance(recent, list) or not all(isinstance(h, str) for h in recent):
            raise TypeError(f"hosts {recent!r} are no list of ids")
        # Builds that record no hosts before their orders do not write these fields.
        moves, waves = dict(fields.get("moves", {})), dict(fields.get("upkeep", {}))
        # The record does not tell when the orders were given: the whole pause counts.
        self._held_until = dict.fromkeys(recent, now + self._lease_s)
        for host_id in recent:
            if host_id in moves:
                self._pool_by_host[host_id] = str(moves[host_id])
            else:
                self._wave_by_host[host_id] = int(waves.get(host_id, NO_WAVE))
        return True


class OrderSender:
    """Sends the orders of a tick once the hosts that they concern are recorded.

    Parameters
    ----------
    may_act : callable
        Whether the owner may give orders now.
    store_record : callable
        Stores a record under a key of the fleet partition; returns once it is stored.
    """

    _planned: dict[str, HostOrder]  # by host id; of this tick, not sent yet
    _names_hosts: bool  # the stored record names hosts, or its content is not known

    def __init__(
        self,
        orders: HostOrders,
        may_act: Callable[[], bool],
        store_record: Callable[[str, object], Awaitable[None]],
    ) -> None:
        self._orders = orders
        self._may_act = may_act
        self._store_record = store_record
        self._planned = {}
        self._names_hosts = True

    def may_order(self, host_id: str) -> bool:
        """Whether an order for a host may be planned now."""
        now = asyncio.get_running_loop().time()
        return host_id not in self._planned and self._orders.may_order(host_id, now)

    def plan(self, order: HostOrder) -> None:
        """Add an order to those of this tick."""
        self._planned.setdefault(order.host_id, order)

    def drop_planned(self) -> None:
        """Drop the orders that were planned and not sent."""
        self._planned = {}

    async def send(self) -> None:
        """Record the hosts of the planned orders, then send these orders at once.

        Raises
        ------
        errors.ClementinesparError
            With ``STORE_FENCED``: there is a later owner, so nothing was sent.
        """
        loop = asyncio.get_running_loop()
        planned, self._planned = self._planned, {}
        if not planned or not self._may_act():
            await self._store_end_of_orders()
            return
        called_at = loop.time()
        self._orders.begin(planned.values())
        try:
            await self._store_names(called_at)
            async with asyncio.TaskGroup() as group:
                for order in planned.values():
                    group.create_task(self._send_one(order, called_at + SEND_LIMIT_S))
        finally:
            self._orders.end(planned.values(), loop.time())

    async def _send_one(self, order: HostOrder, send_until: float) -> None:
        loop = asyncio.get_running_loop()

        def may_send() -> bool:
            # A process that was frozen since the hosts were recorded sends nothing.
            now = loop.time()
            return (
                now < send_until
                and now < order.freed_at + FREE_MAX_AGE_S
                and self._may_act()
            )

        if may_send():
            await order.send(may_send)

    async def _store_end_of_orders(self) -> None:
        """Store once that no host has recent orders, so that the next owner waits less.

        Otherwise it would wait for the hosts of orders of any age.
        """
        now = asyncio.get_running_loop().time()
        if self._names_hosts and not self._orders.find_recent(now):
            await self._store_names(now)

    async def _store_names(self, now: float) -> None:
        names_hosts = bool(self._orders.find_recent(now))
        self._names_hosts = True  # an append that is cut off may be stored
        await self._store_record(RELEASE_KEY, self._orders.encode_release(now))
        self._names_hosts = names_hosts
