"""How long a job that arrives now waits, by pool, priority and team.

The estimate is fluid: the waiting work that comes before the job, divided by the rate
at which the pool completes work, in cores and in memory, whichever takes longer. A team
with a cap waits for its own work to pass through the cap as well.

There are two numbers. `ahead` is the work that comes before a job of a certain slack
now: the started jobs, and the new ones with less slack. If a job starts in time, it
waits this long. All others become late and give way to whatever arrives. How long that
lasts cannot be known; the work that waits already is taken as the measure, since it is
what arrived in excess so far.
"""

import bisect
import dataclasses
import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

MIN_WAIT_MS = 500  # shorter waits are not told to other nodes
# Slack, in ms, up to which `PriorityWait.ahead_ms` counts the work of new jobs.
SLACK_STEPS_MS = (500, 1_000, 1_500, 2_000, 3_000, 4_000, 6_000, 10_000)
# A pool with less in use than this lacks no room: what waits there waits for something
# else, such as a cap or a label. Tasks of 3 to 13 cores leave a tenth of 16 unused.
BUSY_SHARE = 0.7
CAP_ROUNDS = 4  # the work that capped teams can start converges after two or three


class Amount(NamedTuple):
    """Cores and memory, or either multiplied by time."""

    cpu: float  # thousandths of a core
    memory: float  # MB


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingWork:
    """The tasks of one job that have not started.

    Attributes
    ----------
    work : Amount
        Cores and memory, times the expected run time in ms.
    slack_ms : float
        Slack of a new job; below 0 for a started one, which comes first; infinite for
        a late one, which comes last.
    """

    work: Amount
    priority: int
    team: str
    slack_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSupply:
    """What a pool has for tasks that end.

    Attributes
    ----------
    capacity : Amount
        Of the workers that take tasks, and of those on their way.
    used_share : float
        The larger share of cores and memory in use on the workers that are there.
    """

    capacity: Amount
    used_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class PriorityWait:
    """Waits of a job of one priority, in ms."""

    wait_ms: float  # until all work that waits now has started
    ahead_ms: tuple[float, ...]  # by slack of the job, see `SLACK_STEPS_MS`

    def find_ahead_ms(self, slack_ms: float) -> float:
        """Return the wait for the work that comes before a job of this slack."""
        step = bisect.bisect_right(SLACK_STEPS_MS, slack_ms) - 1
        return self.ahead_ms[step] if step >= 0 else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolWaits:
    """Estimated waits of one pool."""

    by_priority: dict[int, PriorityWait]
    by_team: dict[str, PriorityWait]  # against the team's cap

    def find(self, priority: int) -> PriorityWait | None:
        """Return the waits of a priority, which may have no waiting job itself."""
        known = [p for p in self.by_priority if p <= priority]
        return self.by_priority[max(known)] if known else None


NO_WAITS = PoolWaits({}, {})


def estimate_pool(
    waiting: Iterable[WaitingWork],
    supply: PoolSupply,
    caps_by_team: Mapping[str, Amount],
) -> PoolWaits:
    """Return the waits of a job that arrives now; only those above `MIN_WAIT_MS`.

    Parameters
    ----------
    caps_by_team : mapping
        Cap of each team that has one; 0 is no limit.
    """
    waiting = list(waiting)
    work_by_team: dict[str, list[WaitingWork]] = {}
    for item in waiting:
        work_by_team.setdefault(item.team, []).append(item)
    by_team = {}
    for team, cap in caps_by_team.items():
        if team in work_by_team:
            wait = _wait_for(work_by_team[team], {}, cap)
            if wait.wait_ms > MIN_WAIT_MS:
                by_team[team] = wait
    by_priority: dict[int, PriorityWait] = {}
    if supply.used_share >= BUSY_SHARE and supply.capacity.cpu > 0:
        rate = _scale(supply.capacity, min(1.0, supply.used_share))
        shares = _startable_shares(work_by_team, caps_by_team, rate)
        for priority in sorted({item.priority for item in waiting}):
            first = [
                item
                for item in waiting
                if item.priority <= priority or item.slack_ms < 0
            ]
            wait = _wait_for(first, shares, rate)
            if wait.wait_ms > MIN_WAIT_MS:
                by_priority[priority] = wait
    return PoolWaits(by_priority, by_team)


def _wait_for(
    waiting: list[WaitingWork], shares: Mapping[str, float], rate: Amount
) -> PriorityWait:
    """Return the time that waiting work takes at a rate."""
    total = Amount(0.0, 0.0)
    ahead_ms = []
    ordered = sorted(waiting, key=lambda item: item.slack_ms)
    next_item = 0
    for limit_ms in (*SLACK_STEPS_MS, math.inf):
        while next_item < len(ordered) and ordered[next_item].slack_ms <= limit_ms:
            item = ordered[next_item]
            total = _add(total, _scale(item.work, shares.get(item.team, 1.0)))
            next_item += 1
        ahead_ms.append(_time_ms(total, rate))
    return PriorityWait(ahead_ms[-1], tuple(ahead_ms[:-1]))


def _startable_shares(
    work_by_team: Mapping[str, list[WaitingWork]],
    caps_by_team: Mapping[str, Amount],
    rate: Amount,
) -> dict[str, float]:
    """Return which share of a team's waiting work the pool has to wait for.

    A team with a cap starts no more than the cap allows while the pool works off what
    waits, so the rest of its work is behind the work of other teams.
    """
    work = {
        team: Amount(
            sum(item.work.cpu for item in items),
            sum(item.work.memory for item in items),
        )
        for team, items in work_by_team.items()
    }
    shares = dict.fromkeys(work, 1.0)
    for _ in range(CAP_ROUNDS):
        total = Amount(0.0, 0.0)
        for team, amount in work.items():
            total = _add(total, _scale(amount, shares[team]))
        time_ms = _time_ms(total, rate)
        for team, cap in caps_by_team.items():
            if team in work:
                own_ms = _time_ms(work[team], cap)
                shares[team] = min(1.0, time_ms / own_ms) if own_ms else 1.0
    return shares


def _time_ms(work: Amount, rate: Amount) -> float:
    return max(
        work.cpu / rate.cpu if rate.cpu else 0.0,
        work.memory / rate.memory if rate.memory else 0.0,
    )


def _add(one: Amount, other: Amount) -> Amount:
    return Amount(one.cpu + other.cpu, one.memory + other.memory)


def _scale(amount: Amount, factor: float) -> Amount:
    return Amount(amount.cpu * factor, amount.memory * factor)


def encode(waits: PoolWaits, age_s: float) -> dict[str, object]:
    """Return the form in which a node tells the waits to others."""
    fields: dict[str, object] = {
        "at_age_ms": round(age_s * 1000),
        "wait_ms": {str(p): round(w.wait_ms) for p, w in waits.by_priority.items()},
        "ahead_ms": {
            str(p): [round(ms) for ms in w.ahead_ms]
            for p, w in waits.by_priority.items()
        },
    }
    if waits.by_team:
        fields["team_wait_ms"] = {t: round(w.wait_ms) for t, w in waits.by_team.items()}
        fields["team_ahead_ms"] = {
            team: [round(ms) for ms in wait.ahead_ms]
            for team, wait in waits.by_team.items()
        }
    return fields


def decode(fields: Mapping[str, Mapping[str, object]]) -> PoolWaits:
    """Return the waits that another node told; raises one of `decoding.ERRORS`."""
    return PoolWaits(
        {
            int(priority): wait
            for priority, wait in _decode_waits(fields, "wait_ms", "ahead_ms").items()
        },
        _decode_waits(fields, "team_wait_ms", "team_ahead_ms"),
    )


def _decode_waits(
    fields: Mapping[str, Mapping[str, object]], wait_name: str, ahead_name: str
) -> dict[str, PriorityWait]:
    waits = {}
    for name, wait_ms in fields.get(wait_name, {}).items():
        ahead_ms = fields[ahead_name][name]
        if not isinstance(ahead_ms, list) or len(ahead_ms) != len(SLACK_STEPS_MS):
            raise ValueError(f"{ahead_name} of {name}: unexpected length")
        waits[name] = PriorityWait(
            float(str(wait_ms)), tuple(float(ms) for ms in ahead_ms)
        )
    return waits
