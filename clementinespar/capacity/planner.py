"""Decides which hosts move between pools, so that capacity follows demand.

The decision is a pure function of the folded state, the document, the observed demand
and how long shortages and surpluses have lasted. The fold checks each resulting record
again. A move takes a drain and a reboot, so it follows only the smoothed demand; queues
absorb peaks of a few seconds.
"""

import collections
import dataclasses
import math
from collections.abc import Mapping

from clementinespar import codes, explanation, identifiers
from clementinespar.capacity import demand as capacity_demand
from clementinespar.documents import model
from clementinespar.log import base
from clementinespar.pools import availability, budget, messages
from clementinespar.pools import state as pools_state

# Share of a pool's slots that the mean demand may use. Demand peaks at about five times
# its mean for seconds; the other slots and the queue absorb that.
UTILISATION = 0.7
_UTILISATION_BOUNDS = (0.5, 0.85)
# Maps the largest ratios of weights to the bounds of the utilisation.
_UTILISATION_EXPONENT = 0.15
# A pool lends only hosts that it would not need at a utilisation lower by this margin,
# so that lending does not cause the next shortage.
LENDING_MARGIN = 0.15
# Shortages must last longer than peaks of a few seconds before a host is drained.
MIN_SHORTAGE_S = 60.0
# Surpluses must last longer: a host that returns too early costs two more moves.
MIN_SURPLUS_S = 600.0
MAX_DEMAND_AGE_S = 30.0  # older observations are ignored
_REFUSALS_PER_S = 0.1  # refusals below this rate are not a shortage


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """Inputs of the decision."""

    document: model.Document
    pools: pools_state.PoolsState
    demand_by_service: Mapping[str, capacity_demand.ServiceDemand]
    now: float  # event-loop time, of the same clock as the observations
    observation: availability.Observation


@dataclasses.dataclass(frozen=True, slots=True)
class PoolNeed:
    """Hosts that a pool has and needs."""

    pool: str
    has: int  # hosts in service, in maintenance or arriving; not failed, not leaving
    needed: int | None  # None if the observed demand is missing or too old
    keeps: int | None  # hosts that it does not lend; at least `needed`
    demand_age_s: float  # age of the oldest observation, 0 if none is needed
    because: tuple[str, ...]

    @property
    def shortage(self) -> int:
        """Number of hosts that the pool lacks."""
        return 0 if self.needed is None else max(0, self.needed - self.has)

    @property
    def surplus(self) -> int:
        """Number of hosts that the pool can lend."""
        return 0 if self.keeps is None else max(0, self.has - self.keeps)


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """Start times of the current shortages and surpluses, in event-loop time."""

    short_since_by_pool: Mapping[str, float] = dataclasses.field(default_factory=dict)
    surplus_since_by_pool: Mapping[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Decision to move a host to another pool."""

    host_id: str
    from_pool: str
    to_pool: str
    host_revision: int
    because: str

    def to_record(self, author: str, issued_ms: int) -> base.Record:
        """Return the record that takes the host out."""
        return messages.HostTakenOut(
            record_id=identifiers.new_id(issued_ms),
            issued_ms=issued_ms,
            author=author,
            host_id=self.host_id,
            pool=self.from_pool,
            host_revision=self.host_revision,
            reason="move",
            to_pool=self.to_pool,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityPlan:
    """Decisions of the next round, with the needs and an explanation for each pool."""

    moves: tuple[Move, ...] = ()
    needs_by_pool: dict[str, PoolNeed] = dataclasses.field(default_factory=dict)
    explanations_by_pool: dict[str, explanation.Explanation] = dataclasses.field(
        default_factory=dict
    )


def compute_needs(situation: Situation) -> dict[str, PoolNeed]:
    """Return the needs of all pools of the document."""
    services_by_pool: dict[str, list[str]] = {}
    for service, settings in situation.document.services.items():
        services_by_pool.setdefault(settings.pool, []).append(service)
    return {
        pool: _compute_need(situation, pool, services_by_pool.get(pool, []))
        for pool in situation.document.pools
    }


def _compute_need(situation: Situation, pool: str, services: list[str]) -> PoolNeed:
    settings = situation.document.pools[pool]
    has = sum(
        host.failed_since_ms is None and not budget.is_leaving(host)
        for host in situation.pools.hosts_of(pool)
    )
    minimum = max(settings.min_hosts, settings.budget.min_available)
    facts = [f"{has} hosts, at least {minimum} by the document"]
    load = 0.0  # hosts that would be busy all the time
    age_s = 0.0
    is_refusing = False
    for service in services:
        observed = situation.demand_by_service.get(service)
        service_age_s = (
            math.inf if observed is None else situation.now - observed.observed_at
        )
        age_s = max(age_s, service_age_s)
        if observed is None or service_age_s > MAX_DEMAND_AGE_S:
            facts.append(f"no recent demand of service {service} is known")
            continue
        slots = situation.document.services[service].slots_per_target
        load += observed.mean_slots / slots
        is_refusing = is_refusing or observed.refused_per_s > _REFUSALS_PER_S
        facts.append(
            f"service {service} uses {observed.mean_slots:.1f} slots, {slots} a host, "
            f"and refuses {observed.refused_per_s:.2f} requests a second"
        )
    if age_s > MAX_DEMAND_AGE_S:
        # The document's minimum needs no observation.
        needed = minimum if has < minimum else None
        return PoolNeed(pool, has, needed, None, age_s, tuple(facts))
    weights = situation.document.weights
    low, high = _UTILISATION_BOUNDS
    ratio = weights.ratio("buffer_cost", "short_wait")
    utilisation = min(max(UTILISATION * ratio**_UTILISATION_EXPONENT, low), high)
    needed = math.ceil(load / utilisation)
    keeps = math.ceil(load / (utilisation - LENDING_MARGIN))
    if is_refusing:
        needed = max(needed, has + 1)
    needed = min(max(needed, minimum), max(settings.max_hosts, minimum))
    # One host above the budget's minimum stays, so that maintenance remains possible.
    keeps = max(keeps, needed, settings.budget.min_available + 1)
    facts.append(f"{needed} hosts needed at a utilisation of {utilisation:.2f}")
    return PoolNeed(pool, has, needed, keeps, age_s, tuple(facts))


def min_shortage_s(weights: model.Weights) -> float:
    """Return how long a shortage must last before a host moves, in seconds."""
    return MIN_SHORTAGE_S * weights.ratio("moves", "short_wait")


def min_surplus_s(weights: model.Weights) -> float:
    """Return how long a surplus must last before a lent host returns, in seconds."""
    return MIN_SURPLUS_S * weights.ratio("moves", "buffer_cost")


def update_history(
    history: History, needs_by_pool: Mapping[str, PoolNeed], now: float
) -> History:
    """Return the start times of all shortages and surpluses.

    The time starts over when a shortage or surplus ends or the demand is not known.
    """
    return History(
        {
            pool: history.short_since_by_pool.get(pool, now)
            for pool, need in needs_by_pool.items()
            if need.shortage
        },
        {
            pool: history.surplus_since_by_pool.get(pool, now)
            for pool, need in needs_by_pool.items()
            if need.surplus
        },
    )


def plan(
    situation: Situation, needs_by_pool: dict[str, PoolNeed], history: History
) -> CapacityPlan:
    """Return the plan of the next round."""
    decision = _Decision(situation, needs_by_pool, history)
    stop = availability.check_list_age(
        situation.document.maintenance, situation.observation
    )
    if stop == codes.ResultCode.OK:
        decision.move_to_new_homes()
        decision.fill_shortages()
        decision.return_lent_hosts()
    return CapacityPlan(
        tuple(decision.moves), needs_by_pool, _explain_pools(decision, stop)
    )


class _Decision:
    """One run of the decision; collects moves and tracks the pools involved."""

    situation: Situation
    needs_by_pool: dict[str, PoolNeed]
    history: History
    moves: list[Move]  # decided so far
    _leaving_pairs: set[tuple[str, str]]  # old and new pools of hosts in a move
    _receiving: set[str]  # pools with a new host that is not yet in service
    _donors: set[str]  # pools that lose a host in this round

    def __init__(
        self,
        situation: Situation,
        needs_by_pool: dict[str, PoolNeed],
        history: History,
    ) -> None:
        self.situation = situation
        self.needs_by_pool = needs_by_pool
        self.history = history
        self.moves = []
        self._leaving_pairs = set()
        self._receiving = set()
        self._donors = set()
        for host in situation.pools.hosts_by_id.values():
            if host.out is None or host.out.to_pool is None:
                continue
            if host.out.is_moved:
                self._receiving.add(host.pool)
            else:
                self._leaving_pairs.add((host.pool, host.out.to_pool))

    def move_to_new_homes(self) -> None:
        """Move hosts whose home pool the document changed."""
        for host in self._hosts_outside_home():
            if not host.is_lent:
                self._try_move(host, host.home, "the document names this home pool")

    def fill_shortages(self) -> None:
        """Move hosts to pools with a lasting shortage, the worst relative one first."""
        min_duration_s = min_shortage_s(self.situation.document.weights)
        short = [
            need
            for pool, need in self.needs_by_pool.items()
            if self._has_lasted(self.history.short_since_by_pool, pool, min_duration_s)
        ]
        short.sort(
            key=lambda need: (-need.shortage / max(need.needed or 1, 1), need.pool)
        )
        for need in short:
            incoming = self._count_incoming(need.pool)
            if incoming < need.shortage:
                self._fill(need)

    def _fill(self, need: PoolNeed) -> None:
        because = f"pool {need.pool} lacks {need.shortage} hosts"
        for host in self._hosts_outside_home():
            if host.home == need.pool and self._try_move(host, need.pool, because):
                return
        for donor in self._donor_pools(need.pool):
            is_spare = self.situation.document.pools[donor].spare
            if is_spare and (donor, need.pool) in self._leaving_pairs:
                # The next spare host can follow soon, so no serving pool loses one.
                return
            for host in self._candidates(donor, need.pool):
                if self._try_move(host, need.pool, because):
                    return

    def return_lent_hosts(self) -> None:
        """Return lent hosts that the borrowing pool has not needed for long enough."""
        min_duration_s = min_surplus_s(self.situation.document.weights)
        for host in self._hosts_outside_home():
            if not host.is_lent or not self.needs_by_pool[host.pool].surplus:
                continue
            if self._has_lasted(
                self.history.surplus_since_by_pool, host.pool, min_duration_s
            ):
                because = f"pool {host.pool} no longer needs it"
                self._try_move(host, host.home, because)

    def _hosts_outside_home(self) -> list[pools_state.HostState]:
        hosts = self.situation.pools.hosts_by_id.values()
        outside = [
            host for host in hosts if host.pool != host.home and host.out is None
        ]
        return sorted(outside, key=lambda host: host.host_id)

    def _donor_pools(self, borrower: str) -> list[str]:
        """Return the pools that can lend: spare pools first, then by surplus."""
        min_duration_s = min_shortage_s(self.situation.document.weights)
        donors: list[tuple[bool, int, str]] = []
        for pool, need in self.needs_by_pool.items():
            if pool == borrower or need.surplus == 0:
                continue
            is_spare = self.situation.document.pools[pool].spare
            if is_spare or self._has_lasted(
                self.history.surplus_since_by_pool, pool, min_duration_s
            ):
                donors.append((not is_spare, -need.surplus, pool))
        return [pool for _, _, pool in sorted(donors)]

    def _candidates(self, donor: str, borrower: str) -> list[pools_state.HostState]:
        """Order a donor's hosts so that the borrower's failure domains stay even."""
        count_by_domain: collections.Counter[tuple[str, ...]] = collections.Counter()
        for host in self.situation.pools.members_after_moves(borrower):
            count_by_domain[(host.data_centre,)] += 1
            count_by_domain[(host.data_centre, host.rack)] += 1
        return sorted(
            self.situation.pools.hosts_of(donor),
            key=lambda host: (
                count_by_domain[(host.data_centre,)],
                count_by_domain[(host.data_centre, host.rack)],
                host.host_id,
            ),
        )

    def _count_incoming(self, pool: str) -> int:
        """Return how many hosts are moving to a pool but are not yet its members."""
        return sum(to_pool == pool for _, to_pool in self._leaving_pairs)

    def _has_lasted(
        self, since_by_pool: Mapping[str, float], pool: str, min_duration_s: float
    ) -> bool:
        since = since_by_pool.get(pool)
        return since is not None and self.situation.now - since >= min_duration_s

    def _try_move(
        self, host: pools_state.HostState, to_pool: str, because: str
    ) -> bool:
        """Decide on a move if the budget and the limits on concurrent moves allow it.

        At most one host at a time moves between two pools, and at most one host leaves
        a pool per round, so that a wrong estimate costs only one move.
        """
        unavailable = self.situation.observation.unavailable_by_host_id
        document = self.situation.document
        if not budget.is_serving(host, unavailable) or to_pool in self._receiving:
            return False
        if (host.pool, to_pool) in self._leaving_pairs or host.pool in self._donors:
            return False
        members_after = len(self.situation.pools.members_after_moves(to_pool))
        is_full = members_after >= document.pools[to_pool].max_hosts
        if is_full and host.home != to_pool:
            return False
        code = budget.check_take_out(
            document.pools[host.pool],
            self.situation.pools.hosts_of(host.pool),
            host,
            "move",
            unavailable_ids=unavailable,
        )
        if code != codes.ResultCode.OK:
            return False
        self._leaving_pairs.add((host.pool, to_pool))
        self._donors.add(host.pool)
        self.moves.append(
            Move(host.host_id, host.pool, to_pool, host.revision, because)
        )
        return True


def _explain_pools(
    decision: _Decision, stop: codes.ResultCode
) -> dict[str, explanation.Explanation]:
    explanations: dict[str, explanation.Explanation] = {}
    weights = decision.situation.document.weights
    for pool, need in decision.needs_by_pool.items():
        facts = list(need.because)
        facts.extend(
            f"{move.host_id} moves from {move.from_pool} to {move.to_pool}: "
            f"{move.because}"
            for move in decision.moves
            if pool in (move.from_pool, move.to_pool)
        )
        waits_for: str | None = None
        code = codes.ResultCode.OK
        if need.shortage:
            pool_state = "short"
            since = decision.history.short_since_by_pool.get(
                pool, decision.situation.now
            )
            lasted_s = decision.situation.now - since
            if lasted_s < min_shortage_s(weights):
                waits_for = (
                    f"the shortage to last {min_shortage_s(weights):.0f} s, "
                    f"{lasted_s:.0f} s so far"
                )
            else:
                waits_for = "hosts to arrive or a pool to have a surplus"
        elif need.needed is None:
            pool_state = "unknown"
            waits_for = "an observation of the demand"
        elif need.surplus:
            pool_state = "has room"
        else:
            pool_state = "balanced"
        if stop != codes.ResultCode.OK:
            code = stop
            waits_for = "a new host list"
            age_s = decision.situation.observation.list_age_s
            facts.insert(0, f"no host moves: the host list is {age_s:.0f} s old")
        explanations[pool] = explanation.Explanation(
            f"pool {pool}", pool_state, waits_for, tuple(facts), code
        )
    return explanations
