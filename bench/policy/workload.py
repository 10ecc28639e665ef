"""Arrivals of both users at their current sizes, generated from a seed.

Services peak one after the other: each has five times its mean demand for a few
seconds, and a twentieth of its mean between its peaks.
"""

import dataclasses
import random
from collections.abc import Iterator

from clementinespar.documents import model

PEAK_FACTOR = 5.0  # ratio of peak demand to the mean
OFF_PEAK_FACTOR = 0.05  # ratio of demand between peaks to the mean
SLOTS_PER_TARGET = 8


@dataclasses.dataclass(frozen=True, slots=True)
class User:
    """Fleet and network of one user."""

    name: str
    services: tuple[str, ...]
    targets_per_service: int
    racks_per_pool: int
    data_centres: int
    spare: str  # service whose pool is the spare pool
    link_delay_s: float  # one-way delay between data centres, in seconds
    weights: model.Weights  # as in the user's example document

    @property
    def slots(self) -> int:
        """Number of slots of one service."""
        return self.targets_per_service * SLOTS_PER_TARGET


TERANGA = User(
    name="teranga",
    services=(
        "portion-scaling",
        "ingredient-costing",
        "kitchen-tablets",
        "catering-quotes",
        "accounts-admin",
    ),
    targets_per_service=8,
    racks_per_pool=2,
    data_centres=4,
    spare="accounts-admin",
    link_delay_s=0.0005,
    weights=model.Weights(short_wait=4.0, buffer_cost=3.0, moves=1.0, roll_out=0.5),
)
AL_BATINAH = User(
    name="al-batinah",
    services=("desk-a", "desk-b", "desk-c", "desk-d", "delivery-slots"),
    targets_per_service=6,
    racks_per_pool=2,
    data_centres=3,
    spare="delivery-slots",
    link_delay_s=0.001,
    weights=model.Weights(short_wait=1.0, buffer_cost=1.0, moves=4.0, roll_out=3.0),
)
USERS = (TERANGA, AL_BATINAH)


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Parameters of the demand and of the work."""

    peak_load: float = 1.25  # ratio of peak demand to the capacity of the pool
    peak_s: float = 4.0  # length of a peak
    cycles: int = 2  # number of peaks of each service
    short_mean_s: float = 0.06  # mean run time of short work
    long_mean_s: float = 1.5  # mean run time of long work
    long_share: float = 0.05  # share of requests that are long
    straggler_share: float = 0.001  # share of requests slowed by `straggler_factor`
    straggler_factor: float = 20.0
    wrong_size_share: float = 0.2  # share whose declared run time is off by up to 10x
    order_share: float = 0.1  # share of requests that may not be repeated
    deadline_s: float = 10.0

    @property
    def mean_run_s(self) -> float:
        """Mean run time over all requests, in seconds."""
        mean_without_stragglers_s = (
            1 - self.long_share
        ) * self.short_mean_s + self.long_share * self.long_mean_s
        return mean_without_stragglers_s * (
            1 + self.straggler_share * (self.straggler_factor - 1)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a run."""

    at_s: float  # seconds after the start
    service: str
    kind: str  # quote (short), plan (long) or order (non-repeatable)
    run_s: float  # true run time
    declared_run_ms: int
    is_short: bool
    is_peak: bool  # whether the service is at its peak on arrival


def arrivals(user: User, shape: Shape, seed: int) -> list[Arrival]:
    """Return all arrivals of a run, in order of time."""
    generator = random.Random(seed)
    all_arrivals: list[Arrival] = []
    for service in user.services:
        all_arrivals.extend(_service_arrivals(user, shape, service, generator))
    return sorted(all_arrivals, key=lambda arrival: arrival.at_s)


def duration_s(user: User, shape: Shape) -> float:
    """Return the length of a run, in which every service peaks `cycles` times."""
    return shape.peak_s * len(user.services) * shape.cycles


def _service_arrivals(
    user: User, shape: Shape, service: str, generator: random.Random
) -> Iterator[Arrival]:
    peak_rate = shape.peak_load * user.slots / shape.mean_run_s
    off_peak_rate = peak_rate / PEAK_FACTOR * OFF_PEAK_FACTOR
    service_index = user.services.index(service)
    service_count = len(user.services)
    at_s = 0.0
    end_s = duration_s(user, shape)
    while True:
        is_peak = int(at_s / shape.peak_s) % service_count == service_index
        step_s = generator.expovariate(peak_rate if is_peak else off_peak_rate)
        boundary_s = (int(at_s / shape.peak_s) + 1) * shape.peak_s
        if at_s + step_s >= boundary_s:
            # The rate may change here. Exponential steps are memoryless, so a new one
            # may be drawn from the boundary.
            at_s = boundary_s
            if at_s >= end_s:
                return
            continue
        at_s += step_s
        yield _make_arrival(shape, service, at_s, is_peak, generator)


def _make_arrival(
    shape: Shape, service: str, at_s: float, is_peak: bool, generator: random.Random
) -> Arrival:
    is_long = generator.random() < shape.long_share
    mean_s = shape.long_mean_s if is_long else shape.short_mean_s
    run_s = mean_s * generator.gammavariate(4.0, 0.25)
    if generator.random() < shape.straggler_share:
        run_s *= shape.straggler_factor
    declared_s = run_s
    if generator.random() < shape.wrong_size_share:
        declared_s *= 10 ** generator.uniform(-1, 1)
    is_order = generator.random() < shape.order_share
    kind = "order" if is_order else ("plan" if is_long else "quote")
    return Arrival(
        at_s=at_s,
        service=service,
        kind=kind,
        run_s=run_s,
        declared_run_ms=max(1, round(declared_s * 1000)),
        is_short=not is_long,
        is_peak=is_peak,
    )
