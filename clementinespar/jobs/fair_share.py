"""Order among teams while a pool has more ready work than free capacity.

Weighted max-min fairness by dominant share: the largest fraction of the cores, memory
or accelerators of a pool that a team uses. Teams below their fair share are placed
before teams above it, within a class and priority of `placement.rank`. Nothing is
reserved, so what one team does not use is open to the others.

An amount of capacity is a tuple of thousandths of cores, MB of memory and accelerators.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from clementinespar.jobs import state

Amount = tuple[float, float, float]
NOTHING: Amount = (0.0, 0.0, 0.0)

# Share of the free capacity above which ready work counts as not fitting, since tasks
# do not pack fully.
PACKED_SHARE = 0.85
MIN_WEIGHT = 0.01  # a team of weight 0 still gets a share
TOLERANCE = 1e-9  # of rounding errors, as a share of a pool


def add(first: Amount, second: Amount) -> Amount:
    """Return the sum of two amounts."""
    return (first[0] + second[0], first[1] + second[1], first[2] + second[2])


def total(amounts: Iterable[Amount]) -> Amount:
    """Return the sum of amounts."""
    result = NOTHING
    for amount in amounts:
        result = add(result, amount)
    return result


def ready_work(job: state.JobProgress) -> Amount:
    """Return the capacity that the ready tasks of a job would take."""
    cpu_millis = memory_mb = gpus = 0
    for occurrence in job.occurrences.values():
        for step in occurrence.ready_steps():
            spec = step.spec
            count = len(step.waiting)
            memory_mb += spec.memory_mb * count
            gpus += spec.gpus * count
            if not spec.is_filler:
                cpu_millis += spec.cpu_millis * count
    return (float(cpu_millis), float(memory_mb), float(gpus))


def is_contended(wanted: Amount, free: Amount) -> bool:
    """Whether ready work does not fit in the free capacity."""
    return any(
        want > PACKED_SHARE * left for want, left in zip(wanted, free, strict=True)
    )


def dominant_share(amount: Amount, capacity: Amount) -> float:
    """Return the largest fraction of a resource of a pool that an amount takes.

    Resources that the pool does not have are left out, since they limit nobody's work.
    """
    return max(
        (
            part / whole
            for part, whole in zip(amount, capacity, strict=True)
            if whole > 0
        ),
        default=0.0,
    )


def fair_shares(
    demands: Mapping[str, Amount], weights: Mapping[str, float], capacity: Amount
) -> dict[str, float]:
    """Return the fair dominant share of each team, not divided by its weight.

    All shares are raised together, in proportion to the weights. A team's share stops
    when its demand is met, or when a resource that it needs is used up.

    Parameters
    ----------
    demands : mapping of str to Amount
        What each team uses and wants.
    weights : mapping of str to float
        The weight of each team.
    capacity : Amount
        Capacity of the pool.
    """
    whole = [float(part) for part in capacity]
    kinds = [kind for kind in range(len(whole)) if whole[kind] > 0]
    shares = dict.fromkeys(demands, 0.0)
    left = [1.0 for _ in whole]  # fraction of each resource
    growth = [0.0 for _ in whole]  # use of each resource as the level rises by 1
    rising: dict[str, tuple[float, list[float]]] = {}  # weight, growth of resources
    stops: list[tuple[float, str]] = []  # level at which the demand is met
    for team, demand in demands.items():
        share = dominant_share(demand, capacity)
        if share <= 0:
            continue
        weight = max(MIN_WEIGHT, weights[team])
        own_growth = [
            weight * demand[kind] / whole[kind] / share if kind in kinds else 0.0
            for kind in range(len(whole))
        ]
        rising[team] = (weight, own_growth)
        stops.append((share / weight, team))
        for kind in kinds:
            growth[kind] += own_growth[kind]
    level = 0.0
    for stop, team in sorted(stops):
        while team in rising:
            # Rounding errors may leave some growth of a resource that nobody needs.
            used_up = [
                (level + max(0.0, left[kind]) / growth[kind], kind)
                for kind in kinds
                if growth[kind] > TOLERANCE
            ]
            full_at, full_kind = min(used_up, default=(stop, 0))
            next_level = min(stop, full_at)
            for kind in kinds:
                left[kind] -= growth[kind] * (next_level - level)
            level = next_level
            stopped = [team]
            if full_at < stop:
                stopped = [t for t, (_, own) in rising.items() if own[full_kind] > 0]
            for name in stopped:
                weight, own_growth = rising.pop(name)
                shares[name] = weight * level
                for kind in kinds:
                    growth[kind] -= own_growth[kind]
            if full_at < stop:
                growth[full_kind] = 0.0
    return shares


class PoolShares:
    """Teams of a contended pool in one round of placement.

    Work without a team has no share: what it uses is taken off the capacity.

    Parameters
    ----------
    free : Amount
        Free capacity of the workers that may take work.
    use : mapping of str to Amount
        What the runs of each team use; under an empty name those without a team.
    jobs : iterable of tuple of state.JobProgress and Amount
        Waiting jobs with their ready work.
    find_weight : callable
        Returns the weight of a team.
    """

    above: set[str]  # teams that use something and have their fair share or more
    _capacity: Amount
    _fair: Mapping[str, float]  # fair dominant share by team
    # What the runs of each team use and the ready tasks of its started jobs want. These
    # are placed before new jobs, so a team that has started a wide job has to wait for
    # it to start another.
    _claims: dict[str, Amount]

    def __init__(
        self,
        free: Amount,
        use: Mapping[str, Amount],
        jobs: Iterable[tuple[state.JobProgress, Amount]],
        find_weight: Callable[[str], float],
    ) -> None:
        self._claims = {team: amount for team, amount in use.items() if team}
        self._capacity = add(free, total(self._claims.values()))
        new_work: dict[str, Amount] = {}
        for job, work in jobs:
            team = job.spec.team
            if team:
                works = self._claims if job.is_placed else new_work
                works[team] = add(works.get(team, NOTHING), work)
        demands = dict(self._claims)
        for team, work in new_work.items():
            demands[team] = add(demands.get(team, NOTHING), work)
        weights = {team: find_weight(team) for team in demands}
        self._fair = fair_shares(demands, weights, self._capacity)
        self.above = set()
        for team in demands:
            self.claim(team, NOTHING)

    def claim(self, team: str, amount: Amount) -> None:
        """Add the ready work of a job that was started just now."""
        if not team:
            return
        self._claims[team] = add(self._claims.get(team, NOTHING), amount)
        share = dominant_share(self._claims[team], self._capacity)
        if share >= max(TOLERANCE, self._fair[team] - TOLERANCE):
            self.above.add(team)


class OrderKey(NamedTuple):
    """Sorting key of a waiting job; the lowest is placed first."""

    is_over_rate: bool
    kind: int  # class of `placement.rank`
    priority: int
    is_above: bool  # its team has its fair share or more
    slack: float


def order_key(
    job: state.JobProgress, rank: tuple[int, int, float], shares: PoolShares | None
) -> OrderKey:
    """Return the sorting key of a job.

    Jobs above the rate of their team come last, whatever their class. Lasting jobs that
    have started are excepted: they were submitted long ago, and they are interrupted.

    Parameters
    ----------
    rank : tuple
        The job's `placement.rank`.
    shares : PoolShares or None
        Shares in the job's pool; None if the pool is not contended.
    """
    kind, priority, slack = rank
    if shares is None:
        return OrderKey(False, kind, priority, False, slack)
    is_exempt = job.is_lasting and job.is_placed
    return OrderKey(
        job.is_over_rate and not is_exempt,
        kind,
        priority,
        job.spec.team in shares.above,
        slack,
    )
