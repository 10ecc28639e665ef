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
MOST_SHARE = 2.5  # of its home size, the most hosts that a pool gets at its peak
KEPT_SHARE = 0.5  # of its home size, kept before its turn while another pool lacks
HOLD_S = 3.0  # a need for hosts is kept this long, as arrivals come unevenly
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
class TurnState:
    """Memory of one pool's peaks; event-loop times."""

    home_hosts: int
    is_peaking: bool = False
    quiet_since: float | None = None
    turn_ended_at: float | None = None
    is_resting: bool = False  # the other pools have their turns first
    needs: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def hold_need(self, needed: int, now: float) -> int:
        """Return the largest number of hosts needed within `HOLD_S`."""
        self.needs = [(at, n) for at, n in self.needs if now - at < HOLD_S]
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


def update_turn(turn: TurnState, view: PoolView, now: float) -> None:
    """Note whether a pool has its turn."""
    home_cores = max(1.0, turn.home_hosts * view.host_cores)
    use = demand_cores(view) / home_cores
    if use > PEAK_SHARE:
        turn.is_peaking = True
        turn.quiet_since = None
    elif turn.is_peaking and use < QUIET_SHARE:
        if turn.quiet_since is None:
            turn.quiet_since = now
        if now - turn.quiet_since >= QUIET_S:
            turn.is_peaking = False
            turn.turn_ended_at = now
    elif turn.is_peaking:
        turn.quiet_since = None


def update_resting(turns: dict[str, TurnState]) -> None:
    """Note which pools may give hosts away.

    A pool rests after its turn. Once no pool is left that has not had its turn, the one
    whose turn ended first is the next, and gets its home size back.
    """
    for turn in turns.values():
        turn.is_resting = not turn.is_peaking and turn.turn_ended_at is not None
    resting = [turn for turn in turns.values() if turn.is_resting]
    if resting and all(turn.is_resting or turn.is_peaking for turn in turns.values()):
        first = min(resting, key=lambda turn: turn.turn_ended_at or 0.0)
        first.is_resting = False


def needed_hosts(turn: TurnState, view: PoolView) -> int:
    """Return the number of hosts that the demand of a pool keeps busy."""
    host_cores = max(1.0, view.host_cores)
    needed = math.ceil(demand_cores(view) * HEADROOM / host_cores)
    waiting = math.ceil(view.waiting_cores * HEADROOM / host_cores)
    needed = min(needed, view.hosts + waiting)
    return min(needed, math.ceil(turn.home_hosts * MOST_SHARE))


def wanted_hosts(turn: TurnState, view: PoolView, now: float) -> int:
    """Return the number of hosts that a pool shall have if no other lacks any."""
    needed = needed_hosts(turn, view)
    if turn.is_peaking:
        held = turn.hold_need(needed, now)
        if view.waiting_cores > 0:
            held = max(held, view.hosts)
        return max(turn.home_hosts, held)
    if not turn.is_resting:
        return max(turn.home_hosts, needed)
    host_cores = max(1.0, view.host_cores)
    used = math.ceil(view.used_cores * HEADROOM / host_cores)
    return max(needed, used) + SPARE_HOSTS


def kept_hosts(turn: TurnState, view: PoolView) -> int:
    """Return the number of hosts that a pool keeps while another lacks some.

    A pool whose turn has not come lends a part of its home size: what another pool
    lacks now counts more than a slower begin of its own turn.
    """
    needed = needed_hosts(turn, view) + SPARE_HOSTS
    if turn.is_peaking or turn.is_resting:
        return needed
    return max(needed, math.ceil(turn.home_hosts * KEPT_SHARE))


def plan_moves(
    views: list[PoolView], turns: dict[str, TurnState], now: float
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
    leaving: list[Move] = []
    for view in views:
        if view.is_spare:
            continue
        turn = turns.setdefault(view.name, TurnState(view.hosts))
        update_turn(turn, view, now)
    update_resting(turns)
    lent: list[tuple[str, str]] = []
    for view in views:
        if view.is_spare:
            continue
        turn = turns[view.name]
        wanted = wanted_hosts(turn, view, now)
        kept = kept_hosts(turn, view)
        if wanted > view.hosts:
            lacking.append((wanted - view.hosts, view))
        given = max(0, view.hosts - wanted)
        surplus.extend((host_id, view.name) for host_id in view.movable[:given])
        if view.waiting_cores <= 0:
            lendable = max(given, view.hosts - kept)
            lent.extend(
                (host_id, view.name) for host_id in view.movable[given:lendable]
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
            leaving.append(Move(host_id, source, view.name))
    if spare_pools:
        moved = {move.host_id for move in leaving}
        leaving.extend(
            Move(host_id, source, spare_pools[0].name)
            for host_id, source in surplus
            if host_id not in moved
        )
    return leaving
