"""Cost of spare capacity: one buffer shared by all services, or one for each pool.

Services peak one after the other. The cost is the number of targets beyond those that
carry the mean demand. Both buffers are sized for the same share of refused requests; a
request counts as refused if it waits longer than a short deadline.
"""

import dataclasses
from collections.abc import Sequence

from bench import tables
from bench.policy import cluster, waiting, workload
from clementinespar.requests import model

SEEDS = (1, 2, 3)
# The short deadline keeps the queue from absorbing peaks in place of capacity.
SHAPE = workload.Shape(cycles=1, deadline_s=3.0, peak_load=1.0)
REFUSED_SHARE = 0.01
MEAN_UTILISATION = 0.8  # of the targets that carry the mean demand


@dataclasses.dataclass(frozen=True, slots=True)
class BufferRow:
    """Smallest buffer with at most `REFUSED_SHARE` of the requests refused."""

    user: str
    policy: str
    targets: int  # targets of all pools
    buffer_targets: int  # beyond those that carry the mean demand
    refused_share: waiting.Spread


def _base_targets(user: workload.User) -> int:
    """Return the number of targets that carry the mean demand of one service."""
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
        refused = sum(
            result.kind is not model.OutcomeKind.ANSWERED for result in run.results
        )
        shares.append(refused / len(run.results))
    return waiting.Spread(tuple(shares))


def _find_smallest_buffer(
    user: workload.User, policy: str, *, lends: bool, largest: int
) -> BufferRow:
    """Find the smallest buffer by bisection over its number of targets.

    Without lending, each pool has a buffer of this size; with lending, only the spare
    pool has one.
    """
    base_targets = _base_targets(user)

    def sizes(buffer_targets: int) -> dict[str, int]:
        return {
            service: base_targets
            + (buffer_targets if not lends or service == user.spare else 0)
            for service in user.services
        }

    low, high = 0, largest
    best_shares = _refused_shares(user, sizes(high), lends=lends)
    while low < high:
        middle = (low + high) // 2
        shares = _refused_shares(user, sizes(middle), lends=lends)
        if max(shares.values) <= REFUSED_SHARE:
            high, best_shares = middle, shares
        else:
            low = middle + 1
    targets = sum(sizes(high).values())
    return BufferRow(
        user.name,
        policy,
        targets,
        targets - base_targets * len(user.services),
        best_shares,
    )


def measure(user: workload.User) -> list[BufferRow]:
    """Compare a buffer in each pool with a shared one."""
    largest = user.targets_per_service * 2
    return [
        _find_smallest_buffer(
            user, "a buffer in each pool", lends=False, largest=largest
        ),
        _find_smallest_buffer(
            user, "product: shared buffer", lends=True, largest=largest * 2
        ),
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
