"""Cost of spare capacity: a buffer shared by services against one for each pool.

Queues peak by turns. The cost is counted in targets beyond those that carry the mean.
Both ways are brought to the same refused share: a request is refused, or counts as
refused, if it has waited longer than a short deadline.
"""

import dataclasses
from collections.abc import Sequence

from bench import tables
from bench.policy import cluster, waiting, workload
from clementinespar.requests import model

SEEDS = (1, 2, 3)
# Requests must start soon, so that the queue does not stand in for capacity.
SHAPE = workload.Shape(cycles=1, deadline_s=3.0, peak_load=1.0)
REFUSED_SHARE = 0.01
MEAN_UTILISATION = 0.8  # of the targets that carry the mean


@dataclasses.dataclass(frozen=True, slots=True)
class BufferRow:
    """Smallest buffer that keeps the refused share."""

    user: str
    policy: str
    targets: int  # targets of all pools
    buffer_targets: int  # beyond those that carry the mean
    refused_share: waiting.Spread


def _base_targets(user: workload.User) -> int:
    """Return the targets of one service that carry its mean."""
    mean_slots = SHAPE.peak_load * user.slots / workload.PEAK_FACTOR
    return max(1, round(mean_slots / MEAN_UTILISATION / workload.SLOTS_PER_TARGET))


def _refused_shares(
    user: workload.User, targets_by_service: dict[str, int], *, lends: bool
) -> waiting.Spread:
    shares = []
    for seed in SEEDS:
        scheme = cluster.Scheme(
            nodes=3, targets_by_service=targets_by_service, lends=lends
        )
        run = waiting.run_product(user, scheme, seed, SHAPE)
        late = sum(
            result.kind is not model.OutcomeKind.ANSWERED for result in run.results
        )
        shares.append(late / len(run.results))
    return waiting.Spread(tuple(shares))


def _smallest(
    user: workload.User, policy: str, *, lends: bool, largest: int
) -> BufferRow:
    """Return the smallest buffer by bisection over its number of targets.

    Without lending, the buffer is the same number of targets in each pool; with
    lending, it stands in the spare pool.
    """
    base = _base_targets(user)

    def sizes(extra: int) -> dict[str, int]:
        return {
            service: base + (extra if not lends or service == user.spare else 0)
            for service in user.services
        }

    low, high = 0, largest
    best = _refused_shares(user, sizes(high), lends=lends)
    while low < high:
        middle = (low + high) // 2
        shares = _refused_shares(user, sizes(middle), lends=lends)
        if max(shares.values) <= REFUSED_SHARE:
            high, best = middle, shares
        else:
            low = middle + 1
    targets = sum(sizes(high).values())
    return BufferRow(
        user.name, policy, targets, targets - base * len(user.services), best
    )


def measure(user: workload.User) -> list[BufferRow]:
    """Compare one buffer for each pool with a shared one."""
    largest = user.targets_per_service * 2
    return [
        _smallest(user, "a buffer in each pool", lends=False, largest=largest),
        _smallest(user, "product: shared buffer", lends=True, largest=largest * 2),
    ]


def table(rows: Sequence[BufferRow]) -> str:
    """Return the Markdown table of buffers."""
    return tables.markdown(
        ("user", "policy", "targets", "buffer targets", "refused share"),
        [
            (
                row.user,
                row.policy,
                str(row.targets),
                str(row.buffer_targets),
                row.refused_share.text(4),
            )
            for row in rows
        ],
    )
