"""Which hosts change their pool, so that capacity follows the peaks.

Peaks come by turns: each queue in its time asks for several times its mean for some
seconds. A move takes a few seconds, longer than the slack of short jobs, so a pool
keeps its home size until its turn has come. After its turn the others come first, and
its idle hosts serve them or rest in the spare pool, where they cost nothing.
"""

import dataclasses
import math

PEAK_SHARE = 0.55  # use of the home size above which a pool has its turn
QUIET_SHARE = 0.3  # use below which the turn is over
QUIET_S = 1.2  # for this long
HEADROOM = 1.15  # capacity for each unit of demand, since tasks do not pack fully
MAX_PEAK_SHARE = 2.5  # of its home size, the most hosts that a pool gets at its peak
KEPT_SHARE = 0.5  # of its home size, kept before its turn while another pool lacks
NEED_WINDOW_S = 3.0  # a need for hosts is kept this long, as arrivals come unevenly
SPARE_HOSTS = 1  # idle hosts that a pool keeps beyond its demand after its turn


@dataclasses.dataclass(slots=True)
class PoolView:
    """What is known of one pool."""

    name: str
    is_spare: bool
    host_cores: float  # of one host
    hosts: int  # up, arriving or back from upkeep in a moment
    used_cores: float = 0.0
    waiting_cores: float = 0.0  # of work that can still be in time
    arriving_cores: float = 0.0  # core-seconds of work that arrive in a second
    lasting_cores: float = 0.0
    movable: list[str] = dataclasses.field(default_factory=list)  # ids of idle hosts


@dataclasses.dataclass(slots=True)
class PeakState:
    """Memory of one pool's peaks; event-loop times."""

    home_hosts: int
    is_peaking: bool = False
    quiet_since: float | None = None
    peak_ended_at: float | None = None
    is_resting: bool = False  # the other pools have their turns first
    needs: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def max_recent_need(self, needed: int, now: float) -> int:
        """Return the largest number of hosts needed within `HOLD_S`."""
        self.needs = [(at, n) for at, n in self.needs if now - at < NEED_WINDOW_S]
        self.needs.append((now, needed))
        return max(n for _, n in self.needs)


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A host that shall change its pool."""

    host_id: str
    source: str
    destination: str


def demand_cores(view: PoolView) -> float:
    """Return the cores that a pool needs at once.

    The rate of arrivals counts, not the backlog: what waits now is late before a host
    arrives.
    """
    return max(view.used_cores, view.lasting_cores + view.arriving_cores)


def update_peak(peak: PeakState, view: PoolView, now: float) -> None:
    """Note whether a pool has its turn."""
    home_cores = max(1.0, peak.home_hosts * view.host_cores)
    use = demand_cores(view) / home_cores
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


def update_resting(peaks: dict[str, PeakState]) -> None:
    """Note which pools may give hosts away.

    A pool rests after its turn. Once no pool is left that has not had its turn, the one
    whose turn ended first is the next, and gets its home size back.
    """
    for peak in peaks.values():
        peak.is_resting = not peak.is_peaking and peak.peak_ended_at is not None
    resting = [peak for peak in peaks.values() if peak.is_resting]
    if resting and all(peak.is_resting or peak.is_peaking for peak in peaks.values()):
        first = min(resting, key=lambda peak: peak.peak_ended_at or 0.0)
        first.is_resting = False


def needed_hosts(peak: PeakState, view: PoolView) -> int:
    """Return the number of hosts that the demand of a pool keeps busy."""
    host_cores = max(1.0, view.host_cores)
    needed = math.ceil(demand_cores(view) * HEADROOM / host_cores)
    waiting = math.ceil(view.waiting_cores * HEADROOM / host_cores)
    needed = min(needed, view.hosts + waiting)
    return min(needed, math.ceil(peak.home_hosts * MAX_PEAK_SHARE))


def wanted_hosts(peak: PeakState, view: PoolView, now: float) -> int:
    """Return the number of hosts that a pool shall have if no other lacks any."""
    needed = needed_hosts(peak, view)
    if peak.is_peaking:
        recent_need = peak.max_recent_need(needed, now)
        if view.waiting_cores > 0:
            recent_need = max(recent_need, view.hosts)
        return max(peak.home_hosts, recent_need)
    if not peak.is_resting:
        return max(peak.home_hosts, needed)
    host_cores = max(1.0, view.host_cores)
    used = math.ceil(view.used_cores * HEADROOM / host_cores)
    return max(needed, used) + SPARE_HOSTS


def kept_hosts(peak: PeakState, view: PoolView) -> int:
    """Return the number of hosts that a pool keeps while another lacks some.

    A pool whose turn has not come lends a part of its home size: what another pool
    lacks now counts more than a slower begin of its own turn.
    """
    needed = needed_hosts(peak, view) + SPARE_HOSTS
    if peak.is_peaking or peak.is_resting:
        return needed
    return max(needed, math.ceil(peak.home_hosts * KEPT_SHARE))


def plan_moves(
    views: list[PoolView], peaks: dict[str, PeakState], now: float
) -> list[Move]:
    """Return the moves to order now.

    Parameters
    ----------
    views : list of PoolView
        All pools.
    turns : dict of str to TurnState
        Memory by pool name; changed in place.
    now : float
        Event-loop time in seconds.
    """
    surplus: list[tuple[str, str]] = []
    spare_pools = [view for view in views if view.is_spare]
    lacking: list[tuple[int, PoolView]] = []
    moves: list[Move] = []
    for view in views:
        if view.is_spare:
            continue
        peak = peaks.setdefault(view.name, PeakState(view.hosts))
        update_peak(peak, view, now)
    update_resting(peaks)
    lent: list[tuple[str, str]] = []
    for view in views:
        if view.is_spare:
            continue
        peak = peaks[view.name]
        wanted = wanted_hosts(peak, view, now)
        kept = kept_hosts(peak, view)
        if wanted > view.hosts:
            lacking.append((wanted - view.hosts, view))
        surplus_count = max(0, view.hosts - wanted)
        surplus.extend((host_id, view.name) for host_id in view.movable[:surplus_count])
        if view.waiting_cores <= 0:
            lendable = max(surplus_count, view.hosts - kept)
            lent.extend(
                (host_id, view.name) for host_id in view.movable[surplus_count:lendable]
            )
    # Hosts of other pools are taken first: those in the spare pool cost nothing.
    sources = surplus + [
        (host_id, view.name) for view in spare_pools for host_id in view.movable
    ]
    for count, view in sorted(lacking, key=lambda item: -item[0]):
        is_short = view.waiting_cores > 0
        for _ in range(count):
            if sources:
                host_id, source = sources.pop(0)
            elif is_short and lent:
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
