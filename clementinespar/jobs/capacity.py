"""Moves of hosts between pools, so that capacity follows the peaks of demand.

The queues peak one after another: each demands several times its mean for some seconds.
A move takes a few seconds, longer than the slack of short jobs, so a pool keeps its
home size until its peak. When a peak begins, the pool gets the hosts that its earlier
peaks have needed (`peaks.py`). After its peak the other pools have priority, and its
idle hosts move to them or to the spare pool, where they cost nothing.
"""

import dataclasses
import enum
import math

from clementinespar.jobs import peaks

# Shares of the capacity of a pool's home size.
PEAK_SHARE = 0.55  # use above which a peak begins
# Use above which more demand is expected if several jobs have arrived: one large job
# raises the rate as much as the start of a peak does.
ONSET_SHARE = 0.35
ONSET_JOBS = 1.5  # the second one within 0.5 s
QUIET_SHARE = 0.3  # use below which a peak ends after `QUIET_S`
QUIET_S = 1.2
HEADROOM = 1.15  # capacity for each unit of demand, since tasks do not pack fully
# Shares of the number of hosts of a pool's home size.
MAX_PEAK_SHARE = 2.5  # most hosts that a pool gets at its peak
KEPT_SHARE = 0.5  # kept before its peak while another pool lacks hosts
NEED_WINDOW_S = 3.0  # the need for hosts is the maximum over this time: arrivals vary
# Share of the hosts for work that arrives, but does not wait yet, that a pool gets once
# some work waits. The rate of arrivals varies, so not all of them are needed.
ARRIVING_SHARE = 0.5
SPARE_HOSTS = 1  # idle hosts that a pool keeps beyond its demand after its peak


@dataclasses.dataclass(slots=True)
class PoolView:
    """Hosts and demand of one pool."""

    name: str
    is_spare: bool
    host_cores: float  # of one host
    hosts: int  # up, arriving or in maintenance, which is short
    used_cores: float = 0.0
    waiting_cores: float = 0.0  # of work that can still meet its objective
    arriving_cores: float = 0.0  # core-seconds of work that arrive per second
    arriving_jobs: float | None = None  # recent jobs; None if not reported
    lasting_cores: float = 0.0
    lasting_hosts: int = 0  # fewest that can hold the largest lasting step
    leaving_hosts: int = 0  # of `hosts`, those whose worker drains
    # Of `used_cores`, those of jobs that miss their objective in any case.
    late_cores: float = 0.0
    movable: list[str] = dataclasses.field(default_factory=list)  # ids of idle hosts
    # Ids of hosts that run short tasks only, those with the fewest cores in use first.
    drainable: list[str] = dataclasses.field(default_factory=list)
    # Ids of busy hosts that get no new work, so that they can be lent.
    draining: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class PeakState:
    """State of the peaks of one pool; times are event-loop times."""

    home_hosts: int
    is_peaking: bool = False
    quiet_since: float | None = None
    peak_ended_at: float | None = None
    is_resting: bool = False  # its peak is over, so the other pools have priority
    needs: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    height: peaks.PeakHeight = dataclasses.field(default_factory=peaks.PeakHeight)

    def max_recent_need(self, needed: int, now: float) -> int:
        """Add a need; return the largest number needed within `NEED_WINDOW_S`."""
        self.needs = [(at, n) for at, n in self.needs if now - at < NEED_WINDOW_S]
        self.needs.append((now, needed))
        return max(n for _, n in self.needs)


class Rank(enum.IntEnum):
    """Why a pool lacks hosts; lower ranks get hosts first."""

    WAITING = 0  # work waits
    EXPECTED = 1  # a peak has begun, and earlier ones needed more hosts
    HOME = 2  # it gets its home size back, or work arrives but does not wait
    FORECAST = 3  # a peak is about to begin


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A move of a host to another pool."""

    host_id: str
    source: str
    destination: str


def demand_cores(view: PoolView) -> float:
    """Return the number of cores that a pool needs now.

    The rate of arrivals counts, not the backlog: work that waits now is late before a
    host arrives. Work that is late already takes what other pools leave free.
    """
    timely_cores = view.used_cores - view.late_cores
    return max(timely_cores, view.lasting_cores + view.arriving_cores)


def find_use(peak: PeakState, view: PoolView) -> float:
    """Return the demand of a pool as a share of the cores of its home size."""
    return demand_cores(view) / max(1.0, peak.home_hosts * view.host_cores)


def update_peak(peak: PeakState, view: PoolView, now: float) -> None:
    """Update whether a pool is at its peak."""
    use = find_use(peak, view)
    if use > PEAK_SHARE:
        peak.is_peaking = True
        peak.quiet_since = None
    elif peak.is_peaking and use < QUIET_SHARE:
        if peak.quiet_since is None:
            peak.quiet_since = now
        if now - peak.quiet_since >= QUIET_S:
            peak.is_peaking = False
            peak.peak_ended_at = now
    elif peak.is_peaking:
        peak.quiet_since = None
    update_onset(peak, use, view.arriving_jobs, now)


def update_onset(
    peak: PeakState, use: float, arriving_jobs: float | None, now: float
) -> None:
    """Update whether a peak whose height may be known has begun."""
    height = peak.height
    if height.began_at is not None:
        is_late = now - height.began_at >= peaks.RELIABLE_S
        if height.is_low and peak.is_peaking and is_late:
            height.begin(now)  # what lasted since the onset was not a peak
        height.is_low = not peak.is_peaking
        if not peak.is_peaking and use < QUIET_SHARE:
            height.is_over = True
    elif arriving_jobs is None:
        if use > PEAK_SHARE:
            height.begin(now)
    elif use > ONSET_SHARE and arriving_jobs >= ONSET_JOBS:
        height.begin(now)


def update_resting(states: dict[str, PeakState]) -> None:
    """Update which pools are resting and may lend hosts of their home size.

    A pool rests after its peak. Once every pool is at its peak or has had it, the one
    whose peak ended first is expected to peak next, and gets its home size back.
    """
    for peak in states.values():
        peak.is_resting = not peak.is_peaking and peak.peak_ended_at is not None
    resting = [peak for peak in states.values() if peak.is_resting]
    if resting and all(peak.is_resting or peak.is_peaking for peak in states.values()):
        first = min(resting, key=lambda peak: peak.peak_ended_at or 0.0)
        first.is_resting = False


def update_expectations(
    views: list[PoolView],
    states: dict[str, PeakState],
    turns: peaks.Turns,
    now: float,
) -> None:
    """Update the heights and starts of peaks that are learnt and expected."""
    heights = {name: state.height for name, state in states.items()}
    for view in views:
        if view.is_spare:
            continue
        state = states[view.name]
        home_hosts = max(1, state.home_hosts)
        peaks.update_height(
            view.name,
            heights,
            demanded_hosts(state, view) / home_hosts,
            find_use(state, view) < QUIET_SHARE,
            turns,
            now,
        )
    peaks.update_forecast(heights, turns, now)


def expected_hosts(peak: PeakState, now: float) -> int:
    """Return the number of hosts that the earlier peaks let expect.

    It is 0 unless a peak has just begun, so that measured demand is not reliable yet.
    """
    share = min(peak.height.expected_now(now), MAX_PEAK_SHARE)
    return math.ceil(share * peak.home_hosts)


def forecast_hosts(
    name: str, states: dict[str, PeakState], turns: peaks.Turns, now: float
) -> int:
    """Return the number of hosts that a pool gets before its peak begins."""
    if not turns.is_due(name, now):
        return 0
    others = (state.height for key, state in states.items() if key != name)
    share = peaks.expected_height(states[name].height, others)
    return math.ceil(min(share, MAX_PEAK_SHARE) * states[name].home_hosts)


def demanded_hosts(peak: PeakState, view: PoolView) -> int:
    """Return the number of hosts for all work that arrives now, up to a limit."""
    host_cores = max(1.0, view.host_cores)
    demanded = math.ceil(demand_cores(view) * HEADROOM / host_cores)
    return min(demanded, math.ceil(peak.home_hosts * MAX_PEAK_SHARE))


def needed_hosts(peak: PeakState, view: PoolView) -> int:
    """Return the number of hosts that the demand of a pool keeps busy."""
    demanded = demanded_hosts(peak, view)
    if view.waiting_cores <= 0:
        return min(demanded, view.hosts)
    waiting = math.ceil(view.waiting_cores * HEADROOM / max(1.0, view.host_cores))
    # What arrives while the hosts move waits as well.
    arriving = math.ceil(max(0, demanded - view.hosts) * ARRIVING_SHARE)
    return min(demanded, view.hosts + waiting + arriving)


def hosts_of_late_work(view: PoolView) -> int:
    """Return the number of hosts with late work that waiting work will not need.

    Late work has the lowest order, so the room that it frees goes to waiting work.
    """
    host_cores = max(1.0, view.host_cores)
    waiting = math.ceil(view.waiting_cores * HEADROOM / host_cores)
    return max(0, int(view.late_cores / host_cores) - waiting)


def wanted_hosts(peak: PeakState, view: PoolView, now: float) -> int:
    """Return the number of hosts that a pool should have if no other lacks any."""
    needed = needed_hosts(peak, view)
    if peak.is_peaking:
        recent_need = peak.max_recent_need(needed, now)
        if view.waiting_cores > 0:
            recent_need = max(recent_need, view.hosts - hosts_of_late_work(view))
        return max(peak.home_hosts, recent_need)
    if not peak.is_resting:
        return max(peak.home_hosts, needed)
    host_cores = max(1.0, view.host_cores)
    used = math.ceil(view.used_cores * HEADROOM / host_cores)
    return max(needed, used) + SPARE_HOSTS


def hosts_for_lasting(view: PoolView) -> int:
    """Return the number of hosts with which each lasting task has a place to go."""
    return view.lasting_hosts + view.leaving_hosts if view.lasting_hosts else 0


def kept_hosts(peak: PeakState, view: PoolView, now: float) -> int:
    """Return the number of hosts that a pool keeps while another lacks some.

    A pool before its peak lends a part of its home size: what another pool lacks now
    counts more than a slower start of its own peak. A pool with waiting work gives only
    hosts beyond its home size that late work occupies.
    """
    needed = max(
        needed_hosts(peak, view) + SPARE_HOSTS,
        hosts_for_lasting(view),
        expected_hosts(peak, now),
    )
    if view.waiting_cores > 0:
        timely = view.hosts - hosts_of_late_work(view)
        return max(needed, peak.home_hosts, timely)
    if peak.is_peaking or peak.is_resting:
        return needed
    return max(needed, math.ceil(peak.home_hosts * KEPT_SHARE))


def plan_moves(
    views: list[PoolView],
    states: dict[str, PeakState],
    now: float,
    turns: peaks.Turns | None = None,
) -> list[Move]:
    """Return the moves to order now.

    Parameters
    ----------
    views : list of PoolView
        All pools.
    states : dict of str to PeakState
        State of the peaks by pool name; changed in place.
    now : float
        Event-loop time in seconds.
    turns : peaks.Turns, optional
        Starts of the peaks; changed in place. Without it, no start is forecast.
    """
    surplus: list[tuple[str, str]] = []
    spare_pools = [view for view in views if view.is_spare]
    lacking: list[tuple[Rank, int, PoolView]] = []  # rank, number of hosts, pool
    moves: list[Move] = []
    turns = turns or peaks.Turns()
    for view in views:
        if view.is_spare:
            continue
        peak = states.setdefault(view.name, PeakState(view.hosts))
        update_peak(peak, view, now)
    update_resting(states)
    update_expectations(views, states, turns, now)
    lent: list[tuple[str, str]] = []
    for view in views:
        if view.is_spare:
            continue
        peak = states[view.name]
        wanted = max(wanted_hosts(peak, view, now), hosts_for_lasting(view))
        kept = kept_hosts(peak, view, now)
        reasons = [
            (Rank.WAITING if view.waiting_cores > 0 else Rank.HOME, wanted),
            (Rank.EXPECTED, expected_hosts(peak, now)),
            (Rank.FORECAST, forecast_hosts(view.name, states, turns, now)),
        ]
        found = view.hosts
        for rank, hosts in reasons:
            if hosts > found:
                lacking.append((rank, hosts - found, view))
                found = hosts
            wanted = max(wanted, hosts)
        surplus_count = max(0, view.hosts - wanted)
        surplus.extend((host_id, view.name) for host_id in view.movable[:surplus_count])
        if view.waiting_cores <= 0:
            lendable = max(surplus_count, view.hosts - kept)
            lent.extend(
                (host_id, view.name) for host_id in view.movable[surplus_count:lendable]
            )
    # Hosts that other pools do not need are moved first, since hosts in the spare pool
    # cost nothing.
    sources = surplus + [
        (host_id, view.name) for view in spare_pools for host_id in view.movable
    ]
    for rank, count, view in sorted(lacking, key=lambda item: (item[0], -item[1])):
        may_borrow = rank in (Rank.WAITING, Rank.EXPECTED)
        for _ in range(count):
            if sources:
                host_id, source = sources.pop(0)
            elif may_borrow and lent:
                host_id, source = lent.pop(0)
            else:
                break
            moves.append(Move(host_id, source, view.name))
    if spare_pools:
        moved = {move.host_id for move in moves}
        moves.extend(
            Move(host_id, source, spare_pools[0].name)
            for host_id, source in surplus
            if host_id not in moved
        )
    return moves


def plan_drains(
    views: list[PoolView], states: dict[str, PeakState], moves: list[Move], now: float
) -> list[str]:
    """Return the ids of busy hosts that should get no new work, so that they can move.

    The load it answers: one pool is at its peak with too few hosts while another,
    whose peak is over, spreads little or late work over all the hosts that it still
    has, so that none of them is ever idle. Hosts that drain already come first, so
    that the choice stays the same until they are idle.

    Parameters
    ----------
    views : list of PoolView
        All pools.
    states : dict of str to PeakState
        State of the peaks by pool name, as updated by `plan_moves`.
    moves : list of Move
        Moves that are ordered now.
    now : float
        Event-loop time in seconds.
    """
    if len(views) == 1:
        return []  # no other pool could take a host
    arriving: dict[str, int] = {}
    leaving: dict[str, int] = {}
    for move in moves:
        arriving[move.destination] = arriving.get(move.destination, 0) + 1
        leaving[move.source] = leaving.get(move.source, 0) + 1
    lacking = 0
    donors: list[tuple[int, int, PoolView]] = []
    for view in views:
        if view.is_spare:
            continue
        peak = states[view.name]
        # A drain takes as long as the tasks that run, so it begins for the work that
        # arrives, before that work waits.
        demanded = max(demanded_hosts(peak, view), expected_hosts(peak, now))
        demanded -= arriving.get(view.name, 0)
        if demanded > view.hosts:
            lacking += demanded - view.hosts
            continue
        hosts = view.hosts - leaving.get(view.name, 0)
        lendable = hosts - kept_hosts(peak, view, now)
        # Late work uses no more than the home size, so that hosts are idle when the
        # next pool's peak begins.
        wanted = max(peak.home_hosts, wanted_hosts(peak, view, now))
        has_only_late = view.late_cores > 0 and view.waiting_cores <= 0
        unneeded = hosts - wanted if has_only_late else 0
        if lendable > 0:
            donors.append((lendable, max(0, min(lendable, unneeded)), view))
    drains: list[str] = []
    for lendable, unneeded, view in sorted(donors, key=lambda item: -item[0]):
        count = max(unneeded, min(lendable, lacking))
        lacking = max(0, lacking - count)
        drains.extend([*view.draining, *view.drainable][: max(0, count)])
    return drains
