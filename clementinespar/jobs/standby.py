"""Decides whether a node joins the group of owners or stands by.

Each join redistributes the partitions, and each partition that moves is without an
owner for a moment. So a node joins only if the present owners are too few or too small.
The group shows only members that own a partition, so nodes that stand by do not know of
each other.
"""

import dataclasses
import enum
from collections.abc import Callable, Iterable

# A node owns nothing while at least this many larger nodes own partitions: the owner of
# a busy pool needs about a whole core.
MIN_LARGER_NODES = 3
LARGER_NODE_FACTOR = 1.5  # a larger node has more than this many times the cores
# A node does not join while at least this many nodes of its size or larger own
# partitions.
MIN_OWNERS = 4
STANDBY_INTERVAL_S = 1.0  # longest time between two checks of a node that stands by
# The same while no more than `MIN_OWNERS` are left. A node that joins owns a partition
# 0.4 to 0.8 s later, so that too few are left for about a second.
MARGIN_INTERVAL_S = 0.5
# Nodes that lose power together start within this time of each other.
LARGER_NODE_WAIT_S = 1.5
LARGER_NODE_LEAD_S = 0.75  # larger nodes that stand by may join this much earlier
SHORTAGE_INTERVAL_S = 0.25  # between two checks while larger nodes may join


class Reason(enum.StrEnum):
    """Why a node does not join."""

    LARGER_NODES = "larger_nodes"  # enough larger nodes own partitions
    ENOUGH_OWNERS = "enough_owners"  # enough nodes of its size or larger do
    LARGER_NODES_STARTING = "larger_nodes_starting"  # more of them may join


@dataclasses.dataclass(frozen=True, slots=True)
class Owners:
    """Numbers of other nodes that own partitions.

    Attributes
    ----------
    larger : int
        Nodes that are larger by `LARGER_NODE_FACTOR`.
    as_large : int
        Nodes of at least the same size; these include the larger ones.
    """

    larger: int
    as_large: int


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """A node does not join now, but checks again after a time."""

    reason: Reason
    wait_s: float


def format_member(address: str, born_ms: int, core_millis: int) -> str:
    """Return the name of a member: its address, time of start and size.

    A process gets a new name at each start, so that it cannot be taken for the previous
    process, whose orders may still arrive.
    """
    return f"{address}/{born_ms}/{core_millis}"


def parse_core_millis(member: str) -> int:
    """Return the size in the name of a member, or 0 if the name has none."""
    size = member.rpartition("/")[2]
    return int(size) if size.isdigit() else 0


def parse_address(member: str) -> str:
    """Return the address in the name of a member."""
    return member.partition("/")[0]


def count_owners(members: Iterable[str], own_name: str, core_millis: int) -> Owners:
    """Count the owners by size, without this node and its earlier processes.

    An earlier process that was killed stays in the list for its time to live.
    """
    own_address = parse_address(own_name)
    sizes = [
        parse_core_millis(member)
        for member in set(members)
        if parse_address(member) != own_address
    ]
    return Owners(
        sum(size > LARGER_NODE_FACTOR * core_millis for size in sizes),
        sum(size >= core_millis for size in sizes),
    )


class Candidacy:
    """Decisions of a node that is not a member of the group.

    Parameters
    ----------
    draw : callable
        Returns a random number from 0 up to 1.
    """

    is_standby: bool  # whether it has seen enough owners since its start
    _short_since: float | None  # event-loop time of the first check without enough

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw = draw
        self.is_standby = False
        self._short_since = None

    def end(self) -> None:
        """Forget the state once the node has joined."""
        self.is_standby = False
        self._short_since = None

    def review(self, owners: Owners, now: float) -> Wait | None:
        """Return how long to wait, or None to join now."""
        if owners.larger >= MIN_LARGER_NODES:
            return self._stand_by(Reason.LARGER_NODES, STANDBY_INTERVAL_S)
        if owners.as_large > MIN_OWNERS:
            return self._stand_by(Reason.ENOUGH_OWNERS, STANDBY_INTERVAL_S)
        if owners.as_large == MIN_OWNERS:
            return self._stand_by(Reason.ENOUGH_OWNERS, MARGIN_INTERVAL_S)
        if self._short_since is None:
            self._short_since = now
        wait_s = LARGER_NODE_LEAD_S if self.is_standby else LARGER_NODE_WAIT_S
        if owners.larger and now - self._short_since < wait_s:
            return Wait(Reason.LARGER_NODES_STARTING, SHORTAGE_INTERVAL_S)
        return None

    def _stand_by(self, reason: Reason, interval_s: float) -> Wait:
        self.is_standby = True
        self._short_since = None
        # Nodes that started together must not check and join together: the first ones
        # that join end the shortage for the others.
        return Wait(reason, interval_s * (0.5 + 0.5 * self._draw()))
