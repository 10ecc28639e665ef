"""The queue of one service, ordered so that long work cannot block short work.

There are two classes, short and long. Long work may use only a part of the slots,
unless no short work arrived recently. Within a class, urgent requests come first, then
the earliest deadline. Requests of a team at its quota wait without blocking others.
"""

import bisect
import dataclasses
import math
from collections.abc import Iterator

# Long work may use the reserve for short work after this time without short work. It is
# longer than the few seconds between two peaks of a queue.
RESERVE_IDLE_S = 10.0
# Share of the slots that queued long work gets before short work. Without it, constant
# short work would starve long work.
LONG_SHARE = 0.125
# Entries of a class that are tried, in order, for the free targets. An entry that can
# use none of them, e.g. after a failed attempt there, does not block those behind it.
LOOK_AHEAD = 8


@dataclasses.dataclass(slots=True, eq=False)
class QueueEntry:
    """One request that waits for a slot."""

    request_id: str
    kind: str
    team: str | None  # team with a quota, else None
    is_urgent: bool
    deadline: float  # event-loop time
    cost_s: float  # estimated run time; 0 before the first sample
    is_long: bool
    sequence: int = 0  # order of arrival, assigned by the queue

    @property
    def key(self) -> tuple[bool, float, int]:
        """Order within a class."""
        return (not self.is_urgent, self.deadline, self.sequence)


@dataclasses.dataclass(slots=True)
class SlotCounts:
    """Slots of a service and their use at one moment."""

    total: int  # slots of all targets that may receive work
    short_reserve: float  # share of the slots that long work may not use
    in_use_long: int  # by long requests, including those that exceeded the short limit
    in_use_by_team: dict[str, int]
    quota_by_team: dict[str, int]


class _Lane:
    """Entries of one class and team in queue order."""

    keys: list[tuple[bool, float, int]]
    entries: list[QueueEntry]  # parallel to keys
    costs_s: list[float]  # parallel to keys; summed for waiting times

    def __init__(self) -> None:
        self.keys = []
        self.entries = []
        self.costs_s = []

    def add(self, entry: QueueEntry) -> None:
        index = bisect.bisect_left(self.keys, entry.key)
        self.keys.insert(index, entry.key)
        self.entries.insert(index, entry)
        self.costs_s.insert(index, entry.cost_s)

    def remove(self, entry: QueueEntry) -> None:
        index = bisect.bisect_left(self.keys, entry.key)
        del self.keys[index], self.entries[index], self.costs_s[index]

    def cost_before_s(self, key: tuple[bool, float, int]) -> float:
        return sum(self.costs_s[: bisect.bisect_left(self.keys, key)])


class ServiceQueue:
    """Queue of one service."""

    _lanes: dict[tuple[bool, str | None], _Lane]  # by (is_long, team)
    _sequence: int
    _last_short_at: float  # event-loop time of the newest short arrival
    _count_by_class: dict[bool, int]  # by is_long
    _work_s: float  # sum of the estimated run times of all waiting requests

    def __init__(self) -> None:
        self._lanes = {}
        self._sequence = 0
        self._last_short_at = -math.inf
        self._count_by_class = {False: 0, True: 0}
        self._work_s = 0.0

    def __len__(self) -> int:
        return self._count_by_class[False] + self._count_by_class[True]

    def count(self, is_long: bool) -> int:
        """Return the number of waiting requests of a class."""
        return self._count_by_class[is_long]

    def entries(self) -> Iterator[QueueEntry]:
        """Iterate over all waiting requests in no order."""
        for lane in self._lanes.values():
            yield from lane.entries

    def queued_work_s(self) -> float:
        """Return the sum of the estimated run times of all waiting requests."""
        return max(0.0, self._work_s)

    def record_arrival(self, is_long: bool, now: float) -> None:
        """Record the arrival of a request, whether or not it is queued."""
        if not is_long:
            self._last_short_at = now

    def add(self, entry: QueueEntry) -> None:
        """Add a request; one that is added again keeps its order of arrival."""
        if entry.sequence == 0:
            self._sequence += 1
            entry.sequence = self._sequence
        self._lane(entry).add(entry)
        self._count_by_class[entry.is_long] += 1
        self._work_s += entry.cost_s

    def remove(self, entry: QueueEntry) -> None:
        """Remove a waiting request."""
        lane = self._lane(entry)
        lane.remove(entry)
        self._count_by_class[entry.is_long] -= 1
        self._work_s -= entry.cost_s
        if not lane.keys:
            del self._lanes[entry.is_long, entry.team]

    def reclassify(self, kind: str, is_long: bool, cost_s: float) -> None:
        """Move the waiting requests of a kind to another class."""
        moved = [e for e in self.entries() if e.kind == kind and e.is_long != is_long]
        for entry in moved:
            self.remove(entry)
            entry.is_long = is_long
            entry.cost_s = cost_s
            self.add(entry)

    def candidates(self, slot_counts: SlotCounts, now: float) -> Iterator[QueueEntry]:
        """Yield the requests that may start now, best first.

        The caller takes the first one that can use a free target. The queue must not
        change while the iterator is in use.
        """
        for is_long in self._class_order(slot_counts, now):
            heads = [
                (lane.keys[0], 0, lane)
                for (lane_is_long, team), lane in self._lanes.items()
                if lane_is_long == is_long and not _is_at_quota(team, slot_counts)
            ]
            for _ in range(LOOK_AHEAD):
                if not heads:
                    break
                heads.sort(key=lambda head: head[0])
                _, index, lane = heads.pop(0)
                yield lane.entries[index]
                if index + 1 < len(lane.keys):
                    heads.append((lane.keys[index + 1], index + 1, lane))

    def expected_wait_s(
        self, entry: QueueEntry, slot_counts: SlotCounts, now: float
    ) -> tuple[float, bool]:
        """Return how long a new request would wait, and whether its quota is the cause.

        The estimate counts only the estimated run times of the requests ahead. It errs
        on the short side, so that a request is refused only if it would be late.
        """
        key = (not entry.is_urgent, entry.deadline, self._sequence + 1)
        ahead_s = sum(
            lane.cost_before_s(key)
            for (is_long, _), lane in self._lanes.items()
            if is_long == entry.is_long
        )
        slots = (
            self.long_limit(slot_counts, now) if entry.is_long else slot_counts.total
        )
        wait_s = ahead_s / max(1, slots)
        lane = self._lanes.get((entry.is_long, entry.team))
        if entry.team is None or lane is None:
            return wait_s, False
        team_wait_s = lane.cost_before_s(key) / slot_counts.quota_by_team.get(
            entry.team, 1
        )
        return max(wait_s, team_wait_s), team_wait_s > wait_s

    def long_limit(self, slot_counts: SlotCounts, now: float) -> int:
        """Return how many slots long work may use now."""
        if now - self._last_short_at > RESERVE_IDLE_S and not self.count(False):
            return slot_counts.total
        return max(1, int(slot_counts.total * (1.0 - slot_counts.short_reserve)))

    def _class_order(self, slot_counts: SlotCounts, now: float) -> list[bool]:
        """Return the classes that may start a request now, best first."""
        if slot_counts.in_use_long >= self.long_limit(slot_counts, now):
            return [False]
        if slot_counts.in_use_long < max(1, int(slot_counts.total * LONG_SHARE)):
            return [True, False]
        if self._has_urgent(is_long=True) and not self._has_urgent(is_long=False):
            return [True, False]
        return [False, True]

    def _has_urgent(self, is_long: bool) -> bool:
        return any(
            not lane.keys[0][0]
            for (lane_is_long, _), lane in self._lanes.items()
            if lane_is_long == is_long
        )

    def _lane(self, entry: QueueEntry) -> _Lane:
        return self._lanes.setdefault((entry.is_long, entry.team), _Lane())


def _is_at_quota(team: str | None, slot_counts: SlotCounts) -> bool:
    if team is None:
        return False
    quota = slot_counts.quota_by_team.get(team)
    return quota is not None and slot_counts.in_use_by_team.get(team, 0) >= quota
