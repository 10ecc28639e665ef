"""Arrivals of both users at their sizes of today, from a seed.

Each service asks for five times its mean for a few seconds, by turns, and for a
twentieth of its mean in between.
"""

import dataclasses
import random
from collections.abc import Iterator

from clementinespar.documents import model

PEAK_FACTOR = 5.0  # demand at the peak over the mean
QUIET_FACTOR = 0.05  # demand between peaks over the mean
SLOTS_PER_TARGET = 8


@dataclasses.dataclass(frozen=True, slots=True)
class User:
    """Sizes of one user."""

    name: str
    services: tuple[str, ...]
    targets_per_service: int
    racks_per_pool: int
    data_centres: int
    spare: str  # service whose pool is the spare
    link_s: float  # one-way delay between data centres, in seconds
    weights: model.Weights  # as in the user's example document

    @property
    def slots(self) -> int:
        """Slots of one service."""
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
    link_s=0.0005,
    weights=model.Weights(short_wait=4.0, buffer_cost=3.0, moves=1.0, roll_out=0.5),
)
AL_BATINAH = User(
    name="al-batinah",
    services=("desk-a", "desk-b", "desk-c", "desk-d", "delivery-slots"),
    targets_per_service=6,
    racks_per_pool=2,
    data_centres=3,
    spare="delivery-slots",
    link_s=0.001,
    weights=model.Weights(short_wait=1.0, buffer_cost=1.0, moves=4.0, roll_out=3.0),
)
USERS = (TERANGA, AL_BATINAH)


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Shape of the demand and of the work."""

    peak_load: float = 1.25  # demand at the peak over the capacity of the pool
    peak_s: float = 4.0  # length of a peak
    cycles: int = 2  # peaks of each service
    short_mean_s: float = 0.06  # mean run time of short work
    long_mean_s: float = 1.5  # mean run time of long work
    long_share: float = 0.05  # share of requests that are long
    straggler_share: float = 0.001  # share of requests that run straggler_factor longer
    straggler_factor: float = 20.0
    wrong_size_share: float = 0.2  # share whose declared run time is off by up to 10x
    order_share: float = 0.1  # share of requests that may not be repeated
    deadline_s: float = 10.0

    @property
    def mean_run_s(self) -> float:
        """Mean run time over all requests, in seconds."""
        plain = (
            1 - self.long_share
        ) * self.short_mean_s + self.long_share * self.long_mean_s
        return plain * (1 + self.straggler_share * (self.straggler_factor - 1))


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request to come."""

    at_s: float  # seconds after the start
    service: str
    kind: str  # quote or plan, and order for what may not be repeated
    run_s: float  # true run time
    declared_run_ms: int
    is_short: bool
    is_peak: bool  # whether the service is at its peak when the request comes


def arrivals(user: User, shape: Shape, seed: int) -> list[Arrival]:
    """Return all arrivals of a run in time order."""
    generator = random.Random(seed)
    found: list[Arrival] = []
    for service in user.services:
        found.extend(_service_arrivals(user, shape, service, generator))
    return sorted(found, key=lambda arrival: arrival.at_s)


def duration_s(user: User, shape: Shape) -> float:
    """Return the length of a run: every service peaks in its turn."""
    return shape.peak_s * len(user.services) * shape.cycles


def _service_arrivals(
    user: User, shape: Shape, service: str, generator: random.Random
) -> Iterator[Arrival]:
    peak_rate = shape.peak_load * user.slots / shape.mean_run_s
    quiet_rate = peak_rate / PEAK_FACTOR * QUIET_FACTOR
    turn = user.services.index(service)
    turns = len(user.services)
    at_s = 0.0
    end_s = duration_s(user, shape)
    while True:
        is_peak = int(at_s / shape.peak_s) % turns == turn
        step_s = generator.expovariate(peak_rate if is_peak else quiet_rate)
        boundary_s = (int(at_s / shape.peak_s) + 1) * shape.peak_s
        if at_s + step_s >= boundary_s:
            # The rate changes here; an exponential step may be drawn anew.
            at_s = boundary_s
            if at_s >= end_s:
                return
            continue
        at_s += step_s
        yield _arrival(shape, service, at_s, is_peak, generator)


def _arrival(
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
