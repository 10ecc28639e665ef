"""The model of an operator's document, read from TOML.

The document of an environment names hosts, pools, services, teams, maintenance and the
weights of the user's measures.
"""

import dataclasses
from typing import Annotated, Literal

import pydantic
import pydantic.dataclasses

_MAX_DEADLINE_MS = 600_000
_MAX_RATIO = 4.0  # keeps an extreme weight from switching a decision off


_CONFIG = pydantic.ConfigDict(extra="forbid")

Measure = Literal["short_wait", "buffer_cost", "moves", "roll_out"]


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Budget:
    """Availability budget of a pool, in hosts."""

    min_available: Annotated[
        int, pydantic.Field(ge=0)
    ]  # hosts that must stay in service
    max_out_per_rack: int = pydantic.Field(default=1, ge=1)
    max_out_per_data_centre: int = pydantic.Field(default=2, ge=1)


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Pool:
    """A pool of hosts; ``host_ids`` are the hosts whose home it is."""

    host_ids: tuple[str, ...]
    budget: Budget
    spare: bool = False  # hosts of the spare pool are lent first
    min_hosts: int = pydantic.Field(default=1, ge=0)  # capacity never goes below
    max_hosts: int = pydantic.Field(default=10_000, ge=1)


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Kind:
    """A kind of request of a service."""

    repeatable: bool = True
    declared_run_ms: int = pydantic.Field(default=100, ge=1)


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Service:
    """A service that runs on the hosts of one pool."""

    pool: str
    slots_per_target: int = pydantic.Field(default=8, ge=1, le=1024)
    connections_per_target: int = pydantic.Field(default=64, ge=1, le=4096)
    default_deadline_ms: int = pydantic.Field(default=10_000, ge=1, le=_MAX_DEADLINE_MS)
    max_deadline_ms: int = pydantic.Field(default=60_000, ge=1, le=_MAX_DEADLINE_MS)
    max_queue: int = pydantic.Field(default=2_000, ge=0)
    short_run_ms: int = pydantic.Field(default=250, ge=1)  # longer work is long
    short_reserve: float = pydantic.Field(default=0.5, ge=0.0, lt=1.0)
    kinds: dict[str, Kind] = dataclasses.field(default_factory=dict)


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Team:
    """A team of callers with a quota."""

    max_slots: Annotated[int, pydantic.Field(ge=1)]  # slots in use at once, per service


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Maintenance:
    """When and how waves run."""

    every_days: float = pydantic.Field(default=28.0, gt=0.0)
    max_wave_hosts: int = pydantic.Field(default=4, ge=1)
    survive: Literal["none", "rack", "data_centre"] = "rack"
    host_list_max_age_s: float = pydantic.Field(default=30.0, gt=0.0)
    paused: bool = False


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Weights:
    """How much the user's measures count in capacity decisions."""

    short_wait: float = pydantic.Field(default=1.0, ge=0.0)
    buffer_cost: float = pydantic.Field(default=1.0, ge=0.0)
    moves: float = pydantic.Field(default=1.0, ge=0.0)
    roll_out: float = pydantic.Field(default=1.0, ge=0.0)

    def ratio(self, measure: Measure, other: Measure) -> float:
        """Return how much one measure counts relative to another, from 0.25 to 4."""
        weight: float = getattr(self, measure)
        other_weight: float = getattr(self, other)
        if other_weight == 0:
            return _MAX_RATIO if weight > 0 else 1.0
        return min(max(weight / other_weight, 1 / _MAX_RATIO), _MAX_RATIO)


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class Host:
    """A host with its place; declared so that budgets never rest on the host list."""

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

    @pydantic.model_validator(mode="after")
    def _check_references(self) -> "Document":
        problems = list(_reference_problems(self))
        if problems:
            raise ValueError("; ".join(problems))
        return self


def _reference_problems(document: Document) -> list[str]:
    """Return every broken reference, so that an operator sees all of them at once."""
    problems: list[str] = []
    pool_by_host: dict[str, str] = {}
    for pool_name, pool in document.pools.items():
        for host_id in pool.host_ids:
            if host_id not in document.hosts:
                problems.append(f"pools.{pool_name}: host {host_id} is not in hosts")
            other = pool_by_host.setdefault(host_id, pool_name)
            if other != pool_name:
                problems.append(f"host {host_id} is in pools {other} and {pool_name}")
        if len(set(pool.host_ids)) != len(pool.host_ids):
            problems.append(f"pools.{pool_name}: a host is listed twice")
        if pool.budget.min_available > len(pool.host_ids):
            problems.append(
                f"pools.{pool_name}: min_available {pool.budget.min_available} exceeds "
                f"its {len(pool.host_ids)} hosts"
            )
    for host_id in document.hosts:
        if host_id not in pool_by_host:
            problems.append(f"host {host_id} is in no pool")
    for service_name, service in document.services.items():
        if service.pool not in document.pools:
            problems.append(f"services.{service_name}: no pool {service.pool}")
    return problems
