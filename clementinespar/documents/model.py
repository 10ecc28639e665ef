"""The model of an operator's document, read from TOML.

The document of an environment declares hosts, pools, services, teams, maintenance and
the weights of the user's measures.
"""

import dataclasses
import re
from collections.abc import Iterator
from typing import Annotated, Literal

import pydantic
import pydantic.dataclasses
import pydantic_core

_MAX_DEADLINE_MS = 600_000
_MAX_INTERVAL_DAYS = 3_650.0  # planners convert the interval to milliseconds
_MAX_RATIO = 4.0  # keeps an extreme weight from disabling a decision
# Names appear in the paths of HTTP requests, in metric labels and in tables.
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_NAME_EXPECTED = "a name of at most 63 letters, digits, '.', '_' or '-'"

REFERENCE_ERROR = "document_references"  # pydantic error type that carries problems


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One value in a document that is inconsistent with the rest of it."""

    location: str  # dotted path in the document
    value: str  # value as written
    expected: str  # what would be valid

    def __str__(self) -> str:
        return f"{self.location} = {self.value!r}: {self.expected}"


_CONFIG = pydantic.ConfigDict(extra="forbid")

# Bounded, because JSON cannot represent infinity and the ratio of two infinite weights
# is not a number.
Weight = Annotated[float, pydantic.Field(ge=0.0, le=1_000.0)]

Measure = Literal["short_wait", "buffer_cost", "moves", "roll_out"]


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Budget:
    """Availability budget of a pool, in hosts."""

    # Hosts that must stay in service.
    min_available: Annotated[int, pydantic.Field(ge=0)]
    max_out_per_rack: int = pydantic.Field(default=1, ge=1)
    max_out_per_data_centre: int = pydantic.Field(default=2, ge=1)


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Pool:
    """A pool of hosts; ``host_ids`` are the hosts whose home it is."""

    host_ids: tuple[str, ...]
    budget: Budget
    spare: bool = False  # hosts of the spare pool are lent first
    # Fraction of each target's slots that services borrowing from this pool may use.
    lend_share: float = pydantic.Field(default=0.75, ge=0.0, le=1.0)
    # Moves leave at least this many hosts in the pool.
    min_hosts: int = pydantic.Field(default=1, ge=0)
    max_hosts: int = pydantic.Field(default=10_000, ge=1)


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Kind:
    """A kind of request of a service."""

    repeatable: bool = True
    declared_run_ms: int = pydantic.Field(default=100, ge=1, le=_MAX_DEADLINE_MS)


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Service:
    """A service that runs on the hosts of one pool."""

    pool: str
    borrows_from: str | None = None  # pool whose idle slots also serve peaks
    slots_per_target: int = pydantic.Field(default=8, ge=1, le=1024)
    connections_per_target: int = pydantic.Field(default=64, ge=1, le=4096)
    default_deadline_ms: int = pydantic.Field(default=10_000, ge=1, le=_MAX_DEADLINE_MS)
    max_deadline_ms: int = pydantic.Field(default=60_000, ge=1, le=_MAX_DEADLINE_MS)
    max_queue: int = pydantic.Field(default=2_000, ge=0, le=100_000)
    # Requests that run longer count as long.
    short_run_ms: int = pydantic.Field(default=250, ge=1, le=_MAX_DEADLINE_MS)
    short_reserve: float = pydantic.Field(default=0.5, ge=0.0, lt=1.0)
    kinds: dict[str, Kind] = dataclasses.field(default_factory=dict)


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Team:
    """A team of callers with a quota."""

    max_slots: Annotated[int, pydantic.Field(ge=1)]  # slots in use at once, per service


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Maintenance:
    """When and how waves run."""

    every_days: float = pydantic.Field(default=28.0, gt=0.0, le=_MAX_INTERVAL_DAYS)
    max_wave_hosts: int = pydantic.Field(default=4, ge=1)
    survive: Literal["none", "rack", "data_centre"] = "rack"
    host_list_max_age_s: float = pydantic.Field(default=30.0, gt=0.0, le=3_600.0)
    paused: bool = False


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Weights:
    """How much the user's measures count in decisions on capacity and on waves."""

    short_wait: Weight = 1.0
    buffer_cost: Weight = 1.0
    moves: Weight = 1.0
    roll_out: Weight = 1.0

    def ratio(self, measure: Measure, other: Measure) -> float:
        """Return how much one measure counts relative to another, from 0.25 to 4."""
        weight: float = getattr(self, measure)
        other_weight: float = getattr(self, other)
        if other_weight == 0:
            return _MAX_RATIO if weight > 0 else 1.0
        return min(max(weight / other_weight, 1 / _MAX_RATIO), _MAX_RATIO)


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Host:
    """Location of a host; declared so that budgets do not depend on the host list."""

    data_centre: str
    rack: str


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Document:
    """One environment's document."""

    user: Annotated[str, pydantic.Field(min_length=1, max_length=80)]
    hosts: dict[str, Host]
    pools: dict[str, Pool]
    services: dict[str, Service]
    teams: dict[str, Team] = dataclasses.field(default_factory=dict)
    maintenance: Maintenance = dataclasses.field(default_factory=Maintenance)
    weights: Weights = dataclasses.field(default_factory=Weights)

    def queue_group(self, service: str) -> str:
        """Return the key of the services whose queues one node owns together.

        Each target's slots are counted by one node, so all services that may use the
        same targets have the same owner: those of a pool and those that borrow from it.
        """
        declared = self.services.get(service)
        if declared is None:
            return service
        return declared.borrows_from or declared.pool

    def lender_pool(self, service: str) -> str | None:
        """Return the pool that a service borrows from, if any."""
        declared = self.services.get(service)
        return None if declared is None else declared.borrows_from

    @pydantic.model_validator(mode="after")
    def _check_references(self) -> "Document":
        problems = [
            *_name_problems(self),
            *_host_problems(self),
            *_pool_problems(self),
            *_service_problems(self),
        ]
        if problems:
            raise pydantic_core.PydanticCustomError(
                REFERENCE_ERROR,
                "{message}",
                {"message": "; ".join(map(str, problems)), "problems": problems},
            )
        return self


def _name_problems(document: Document) -> Iterator[Problem]:
    """Yield names that are not valid in paths, metrics or tables."""
    for section, names in (
        ("hosts", document.hosts),
        ("pools", document.pools),
        ("services", document.services),
        ("teams", document.teams),
    ):
        for name in names:
            if not _NAME.fullmatch(name):
                yield Problem(section, name, _NAME_EXPECTED)
    for host_id, host in document.hosts.items():
        if not _NAME.fullmatch(host.data_centre):
            yield Problem(
                f"hosts.{host_id}.data_centre", host.data_centre, _NAME_EXPECTED
            )
        if not _NAME.fullmatch(host.rack):
            yield Problem(f"hosts.{host_id}.rack", host.rack, _NAME_EXPECTED)
    for service_name, service in document.services.items():
        for kind in service.kinds:
            if not _NAME.fullmatch(kind):
                yield Problem(f"services.{service_name}.kinds", kind, _NAME_EXPECTED)


def _host_problems(document: Document) -> Iterator[Problem]:
    """Yield hosts that are not in exactly one pool."""
    pool_by_host: dict[str, str] = {}
    for pool_name, pool in document.pools.items():
        for host_id in pool.host_ids:
            if host_id not in document.hosts:
                yield Problem(
                    f"pools.{pool_name}.host_ids", host_id, "a host declared in hosts"
                )
            other = pool_by_host.setdefault(host_id, pool_name)
            if other != pool_name:
                yield Problem(
                    f"pools.{pool_name}.host_ids",
                    host_id,
                    f"a host that is in one pool only; it is also in {other}",
                )
        if len(set(pool.host_ids)) != len(pool.host_ids):
            duplicates = {i for i in pool.host_ids if pool.host_ids.count(i) > 1}
            yield Problem(
                f"pools.{pool_name}.host_ids",
                ", ".join(sorted(duplicates)),
                "each host listed once",
            )
    for host_id in document.hosts:
        if host_id not in pool_by_host:
            yield Problem(
                f"hosts.{host_id}", host_id, "a host that is listed in a pool"
            )


def _pool_problems(document: Document) -> Iterator[Problem]:
    """Yield budgets and bounds that cannot be satisfied."""
    spares = [name for name, pool in document.pools.items() if pool.spare]
    for name in spares[1:]:
        yield Problem(
            f"pools.{name}.spare", "true", f"one spare pool only; {spares[0]} is one"
        )
    for name, pool in document.pools.items():
        if pool.budget.min_available > len(pool.host_ids):
            yield Problem(
                f"pools.{name}.budget.min_available",
                str(pool.budget.min_available),
                f"at most the pool's {len(pool.host_ids)} hosts",
            )
        if pool.min_hosts > pool.max_hosts:
            yield Problem(
                f"pools.{name}.min_hosts",
                str(pool.min_hosts),
                f"at most max_hosts, {pool.max_hosts}",
            )


def _service_problems(document: Document) -> Iterator[Problem]:
    """Yield services that no host could serve."""
    for name, service in document.services.items():
        pool = document.pools.get(service.pool)
        if pool is None:
            yield Problem(f"services.{name}.pool", service.pool, "the name of a pool")
        elif not pool.host_ids:
            yield Problem(
                f"services.{name}.pool", service.pool, "a pool that has hosts"
            )
        if service.default_deadline_ms > service.max_deadline_ms:
            yield Problem(
                f"services.{name}.default_deadline_ms",
                str(service.default_deadline_ms),
                f"at most max_deadline_ms, {service.max_deadline_ms}",
            )
        lender = service.borrows_from
        if lender is not None and (
            lender not in document.pools or lender == service.pool
        ):
            yield Problem(
                f"services.{name}.borrows_from", lender, "the name of another pool"
            )
        if lender is not None and any(
            other.pool == lender and other.borrows_from is not None
            for other in document.services.values()
        ):
            # One node owns the queues of a lender and its borrowers; a chain of lenders
            # would put all of their queues on one node.
            yield Problem(
                f"services.{name}.borrows_from",
                lender,
                "a pool whose own services do not borrow",
            )
        lenders = {
            other.borrows_from
            for other in document.services.values()
            if other.pool == service.pool
        }
        if len(lenders) > 1:
            yield Problem(
                f"services.{name}.borrows_from",
                str(lender),
                "the same for all services of a pool",
            )
