"""Hand-over of the orders to hosts from one owner of the fleet to the next.

The platform does not check fences on orders to hosts, so two owners must not give
orders for one host within the lease of its holder. An owner that stops as planned
records the hosts that it has given orders for in that time. The next owner waits only
for these, so that the restart of a node does not stop all moves and waves for seconds.
"""

import json

RELEASE_KEY = "release"  # of the record in the partition of the fleet
RELEASE_TIMEOUT_S = 0.4  # a planned stop does not wait longer for a slow store


class HostOrders:
    """The hosts that an owner of the fleet may give orders for.

    Parameters
    ----------
    lease_s : float
        Pause between the orders of two owners for one host, in seconds.
    """

    _ordered_at: dict[str, float]  # host id: event-loop time of the newest order
    _held_until: dict[str, float]  # host id: event-loop time of the first order

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._ordered_at = {}
        self._held_until = {}

    def note_order(self, host_id: str, now: float) -> None:
        """Record an order before it is sent, since a lost answer changes nothing."""
        self._ordered_at[host_id] = now

    def may_order(self, host_id: str, now: float) -> bool:
        """Whether the previous owner's last order for a host is long enough ago."""
        return now >= self._held_until.get(host_id, now)

    def encode_release(self, now: float) -> dict[str, object]:
        """Return the record of an owner that gives no more orders.

        It names the hosts with recent orders of this owner, and those of the previous
        one for which this owner still waits.
        """
        recent = {
            host_id
            for host_id, at in self._ordered_at.items()
            if now - at < self._lease_s
        }
        recent |= {
            host_id for host_id, until in self._held_until.items() if now < until
        }
        return {"is_released": True, "recent": sorted(recent)}

    def take_over(self, value: bytes, now: float) -> bool:
        """Apply the newest record of a release; False if there was none.

        Then the previous owner may still give orders, and the new one has to wait.

        Raises
        ------
        ValueError, KeyError, TypeError, AttributeError
            The record is unreadable.
        """
        fields = json.loads(value)
        if fields["is_released"] is not True:
            return False
        # The record does not tell when the orders were given: the whole pause counts.
        self._held_until = {
            str(host_id): now + self._lease_s for host_id in fields["recent"]
        }
        return True


def encode_acting() -> dict[str, object]:
    """Return the record of an owner that gives orders."""
    return {"is_released": False}
