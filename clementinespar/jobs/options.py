"""Settings of a node for jobs, read from an INI file."""

import dataclasses
import pathlib
import resource
from typing import Annotated

import pydantic
import pydantic.dataclasses

from clementinespar import intake, options

Milliseconds = Annotated[float, pydantic.Field(gt=0, le=86_400_000)]

MAX_JOB_TASKS = 30_000  # of all steps of a job; each takes about 1.5 KB of its owner

_CONFIG = pydantic.ConfigDict(extra="forbid")


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class NodeSection:
    """Identity, addresses and size of this node."""

    name: options.Name
    data_centre: options.Name
    address: options.IpAddress
    callers: options.Endpoint  # where callers connect
    readiness: options.Endpoint  # where the balancer checks readiness
    first_internal_port: options.Port
    stop_limit_s: options.Seconds = 6.0  # time from SIGTERM to the kill
    cpu_share: float = pydantic.Field(default=1.0, gt=0)  # of one core of this machine
    cores: float = pydantic.Field(default=1.0, gt=0)  # relative speed of that core
    # Limits of the process; the limits of callers follow from them.
    memory_mb: float = pydantic.Field(default=200.0, ge=100)
    max_descriptors: int = pydantic.Field(default=4_100, ge=256)

    @property
    def core_millis(self) -> int:
        """Return the size of this machine, in thousandths of a core."""
        return int(self.cpu_share * self.cores * 1000)

    def derive_caller_limits(self) -> intake.Limits:
        """Return the limits of all callers together."""
        return intake.derive_limits(self.memory_mb * 1e6, self._find_descriptors())

    def derive_node_limits(self) -> intake.Limits:
        """Return the limits of all other nodes together."""
        return intake.derive_node_limits(self.memory_mb * 1e6, self._find_descriptors())

    def _find_descriptors(self) -> int:
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if limit == resource.RLIM_INFINITY:
            return self.max_descriptors
        return min(limit, self.max_descriptors)


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class StoreSection:
    """The store and its limits."""

    address: options.Endpoint
    ownership_min_ms: Milliseconds = 1_000  # shortest time to live that the store takes
    partitions: int = pydantic.Field(default=24, ge=1, le=10_000)  # of each topic


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class HostsSection:
    """The platform's host service."""

    address: options.Endpoint
    holder_lease_ms: Milliseconds = 3_000  # pause between two lease holders of a host
    upkeep_s: options.Seconds = 2.0


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class JobsSection:
    """Limits of jobs on workers."""

    lease_max_ms: Milliseconds = 6_000
    # A configuration that was read longer ago may hold keys that are withdrawn by now.
    keys_max_age_ms: Milliseconds = 4_000
    adviser: Annotated[
        options.Endpoint | None, pydantic.BeforeValidator(lambda text: text or None)
    ] = None  # empty: no queue needs tickets
    max_job_tasks: int = pydantic.Field(default=MAX_JOB_TASKS, ge=1)


@pydantic.dataclasses.dataclass(frozen=True, slots=True, config=_CONFIG)
class JobNodeSettings:
    """All settings of a node for jobs, one attribute for each INI section."""

    node: NodeSection
    store: StoreSection
    hosts: HostsSection
    jobs: JobsSection = dataclasses.field(default_factory=JobsSection)


def load_job_settings(path: pathlib.Path) -> JobNodeSettings:
    """Read the settings; all invalid ones are reported at once.

    Raises
    ------
    ExceptionGroup
        One `options.SettingError` for each invalid section, key or value.
    """
    values = options.read_sections(path)
    try:
        return pydantic.TypeAdapter(JobNodeSettings).validate_python(values)
    except pydantic.ValidationError as error:
        raise ExceptionGroup(
            f"settings in {path} are not valid", options.list_problems(error)
        ) from None
