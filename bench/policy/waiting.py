"""Waiting times of short work, over-admission, and load from retries."""

import dataclasses
import statistics
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

from bench import tables
from bench.policy import baselines, cluster, workload
from clementinespar.requests import model, retries
from clementinespar.tests import paused_clock

SEEDS = (1, 2, 3, 4, 5)
SHAPE = workload.Shape(cycles=1)
SHARES = (0.5, 0.99, 0.999)
FAILED_SHARE = 0.2
FAILURES: tuple[cluster.Failure, ...] = ("killed", "fails all", "silent")


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """Values of a figure for several seeds."""

    values: tuple[float, ...]

    def text(self, digits: int = 3) -> str:
        """Return the median, and the smallest and largest value in parentheses."""
        middle = statistics.median(self.values)
        return (
            f"{middle:.{digits}f} "
            f"({min(self.values):.{digits}f} to {max(self.values):.{digits}f})"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRow:
    """Waiting times of one user under one policy, in seconds."""

    user: str
    policy: str
    short_by_share: dict[float, Spread]  # short work that arrived at a peak
    long_by_share: dict[float, Spread]
    refused: Spread  # requests refused without being run
    unknown: Spread
    refused_full: Spread  # attempts that reached a target without a free slot


Sample = tuple[workload.Arrival, float | None]  # waiting time, None if refused


def _waiting_row(
    user: workload.User,
    policy: str,
    runs: Sequence[tuple[Sequence[Sample], int, int]],
) -> WaitingRow:
    def spread(is_short: bool, share: float) -> Spread:
        return Spread(
            tuple(
                baselines.percentile(
                    [
                        waited_s
                        for arrival, waited_s in samples
                        if waited_s is not None
                        and arrival.is_short == is_short
                        and arrival.is_peak
                    ],
                    share,
                )
                for samples, _, _ in runs
            )
        )

    refused = [
        sum(waited_s is None for _, waited_s in samples) for samples, _, _ in runs
    ]
    return WaitingRow(
        user=user.name,
        policy=policy,
        short_by_share={share: spread(True, share) for share in SHARES},
        long_by_share={share: spread(False, share) for share in SHARES},
        refused=Spread(
            tuple(
                count - unknown
                for count, (_, _, unknown) in zip(refused, runs, strict=True)
            )
        ),
        unknown=Spread(tuple(unknown for _, _, unknown in runs)),
        refused_full=Spread(tuple(full for _, full, _ in runs)),
    )


def _simulated_samples(
    waits: Sequence[baselines.Wait],
) -> tuple[list[Sample], int, int]:
    return [(wait.arrival, wait.waited_s) for wait in waits], 0, 0


def _product_samples(run: cluster.Run) -> tuple[list[Sample], int, int]:
    samples: list[Sample] = [
        (
            result.arrival,
            result.delay_s if result.kind is model.OutcomeKind.ANSWERED else None,
        )
        for result in run.results
    ]
    unknown = sum(result.kind is model.OutcomeKind.UNKNOWN for result in run.results)
    return samples, run.refused_full, unknown


def run_product(
    user: workload.User, scheme: cluster.Scheme, seed: int, shape: workload.Shape
) -> cluster.Run:
    """Run the request path of the product once, on a paused clock."""
    arrivals = workload.arrivals(user, shape, seed)
    return paused_clock.run(cluster.run(user, shape, scheme, arrivals, seed))


def measure_waiting(user: workload.User) -> list[WaitingRow]:
    """Compare the product with the baselines and the clairvoyant bound."""

    def simulated(
        name: str, policy: Callable[[list[workload.Arrival], int], list[baselines.Wait]]
    ) -> WaitingRow:
        runs = []
        for seed in SEEDS:
            arrivals = workload.arrivals(user, SHAPE, seed)
            runs.append(_simulated_samples(policy(arrivals, seed)))
        return _waiting_row(user, name, runs)

    def product(name: str, scheme: cluster.Scheme) -> WaitingRow:
        runs = [
            _product_samples(run_product(user, scheme, seed, SHAPE)) for seed in SEEDS
        ]
        return _waiting_row(user, name, runs)

    deadline_s = SHAPE.deadline_s
    return [
        simulated(
            "first come first served",
            lambda arrivals, seed: baselines.simulate_services(
                user, arrivals, deadline_s, baselines.by_arrival
            ),
        ),
        simulated(
            "slots divided between 9 nodes",
            lambda arrivals, seed: baselines.simulate_divided(
                user, arrivals, deadline_s, 9, seed
            ),
        ),
        simulated(
            "bound: shortest first, sizes known",
            lambda arrivals, seed: baselines.simulate_services(
                user, arrivals, deadline_s, baselines.by_true_size
            ),
        ),
        product("no owner, 9 nodes", cluster.Scheme(nodes=9, has_owners=False)),
        product("product, 1 node", cluster.Scheme(nodes=1)),
        product("product, 3 nodes", cluster.Scheme(nodes=3)),
        product("product, 9 nodes", cluster.Scheme(nodes=9)),
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRow:
    """Additional load while `FAILED_SHARE` of the targets fail."""

    user: str
    failure: str
    policy: str
    extra_share: Spread  # ratio of repeated starts at targets to requests
    refused: Spread
    unknown: Spread
    lost: Spread
    repeated_orders: Spread  # orders that targets started more than once


@contextmanager
def _without_retry_budget() -> Iterator[None]:
    original = retries.RETRY_SHARE
    retries.RETRY_SHARE = 1e9
    try:
        yield
    finally:
        retries.RETRY_SHARE = original


def measure_retries(user: workload.User) -> list[RetryRow]:
    """Measure retries when targets fail in the middle of the first peak."""
    rows = []
    for failure in FAILURES:
        with _without_retry_budget():
            rows.append(_measure_failure(user, failure, "no retry budget"))
        rows.append(_measure_failure(user, failure, "product"))
    return rows


def _measure_failure(
    user: workload.User, failure: cluster.Failure, policy: str
) -> RetryRow:
    scheme = cluster.Scheme(
        nodes=3,
        failed_share=FAILED_SHARE,
        failed_at_s=SHAPE.peak_s / 2,
        failure=failure,
    )
    runs = [run_product(user, scheme, seed, SHAPE) for seed in SEEDS]
    return RetryRow(
        user=user.name,
        failure=failure,
        policy=policy,
        extra_share=Spread(tuple(_extra_share(run) for run in runs)),
        refused=Spread(tuple(_count(run, model.OutcomeKind.NOT_RUN) for run in runs)),
        unknown=Spread(tuple(_count(run, model.OutcomeKind.UNKNOWN) for run in runs)),
        lost=Spread(tuple(run.lost for run in runs)),
        repeated_orders=Spread(
            tuple(
                sum(r.runs > 1 and r.arrival.kind == "order" for r in run.results)
                for run in runs
            )
        ),
    )


def _count(run: cluster.Run, kind: model.OutcomeKind) -> int:
    return sum(result.kind is kind for result in run.results)


def _extra_share(run: cluster.Run) -> float:
    extra = sum(max(0, result.runs - 1) for result in run.results)
    return extra / len(run.results)


def waiting_table(rows: Sequence[WaitingRow]) -> str:
    """Return the Markdown table of waiting times."""
    return tables.markdown(
        (
            "user",
            "policy",
            "short p50 s",
            "short p99 s",
            "short p99.9 s",
            "long p99 s",
            "refused",
            "over-admission",
        ),
        [
            (
                row.user,
                row.policy,
                *(row.short_by_share[share].text() for share in SHARES),
                row.long_by_share[0.99].text(),
                row.refused.text(0),
                row.refused_full.text(0),
            )
            for row in rows
        ],
    )


def retry_table(rows: Sequence[RetryRow]) -> str:
    """Return the Markdown table of retries."""
    return tables.markdown(
        (
            "user",
            "targets",
            "policy",
            "extra load",
            "refused",
            "unknown",
            "lost",
            "doubled orders",
        ),
        [
            (
                row.user,
                row.failure,
                row.policy,
                row.extra_share.text(),
                row.refused.text(0),
                row.unknown.text(0),
                row.lost.text(0),
                row.repeated_orders.text(0),
            )
            for row in rows
        ],
    )
