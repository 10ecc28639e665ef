"""What the slice needs of the platform, as protocols."""

import dataclasses
import enum
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from clementinespar.jobs import model


class Topic(enum.Enum):
    """Streams of keyed records, with one partition for each pool."""

    COMMANDS = "commands"  # what callers ask, written by any node
    PROGRESS = "progress"  # written by the owner of the partition only


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record; without a value, its key is dropped."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RecordPage:
    """Records in order, and the offset to go on from."""

    records: list[KeyedRecord]
    next_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """The partitions of a member."""

    generation: int
    partitions: frozenset[int]


class JobStore(Protocol):
    """Durable keyed records.

    Every method raises `errors.ClementinesparError` with ``STORE_REFUSED`` when nothing
    was done and with ``STORE_UNANSWERED`` when the call may have an effect.
    """

    async def append(
        self, topic: Topic, partition: int, records: Sequence[KeyedRecord]
    ) -> None:
        """Append records, all or none."""
        ...

    async def append_fenced(
        self,
        partition: int,
        epoch: int,
        sequence: int,
        records: Sequence[KeyedRecord],
    ) -> None:
        """Append progress as the owner with this epoch; a repeat has no new effect.

        Raises ``STORE_FENCED`` if a later epoch was seen or the sequence is lost.
        Without records, it only sets the epoch.
        """
        ...

    async def list_newest(self, topic: Topic, partition: int) -> RecordPage:
        """Return the newest record of each key and an offset to follow from."""
        ...

    async def read(
        self, topic: Topic, partition: int, offset: int, wait_s: float
    ) -> RecordPage:
        """Return records from an offset; raises ``STORE_HISTORY_GONE``."""
        ...


class OwnershipGroup(Protocol):
    """Assigns each partition to one live node."""

    async def join(self, generation: int) -> Assignment:
        """Join or stay; the generation tells that earlier losses were noticed."""
        ...

    async def leave(self) -> None:
        """Give all partitions up at once."""
        ...

    async def list_owners(self) -> Mapping[int, str]:
        """Return the member that owns each partition."""
        ...


class WorkerClient(Protocol):
    """Orders to one worker.

    Raises `http_calls.CallNotSentError` or `http_calls.CallUnansweredError`.
    """

    async def start(
        self, worker: model.WorkerEntry, order: model.StartOrder
    ) -> model.StartAnswer:
        """Start a run."""
        ...

    async def stop(
        self, worker: model.WorkerEntry, task: model.TaskKey, run: int, fence: int
    ) -> bool:
        """Stop a run; False if the order was refused."""
        ...

    async def renew(
        self,
        worker: model.WorkerEntry,
        fence: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> model.WorkerReport | None:
        """Extend the lease and read both lists; None if the order was refused."""
        ...

    async def pace(
        self,
        worker: model.WorkerEntry,
        task: model.TaskKey,
        run: int,
        percent: int,
        fence: int,
    ) -> bool:
        """Let a run work at a share of its speed, in percent; False if refused."""
        ...


class Adviser(Protocol):
    """Tells which workers may run a step."""

    async def request_tickets(
        self, job_id: str, occurrence: int, step: int, worker_ids: Sequence[str]
    ) -> model.IssuedTickets:
        """Return tickets; raises `errors.ClementinesparError` without an answer."""
        ...


class WorkerDirectory(Protocol):
    """The workers that announce themselves."""

    is_loaded: bool

    @property
    def by_id(self) -> Mapping[str, model.WorkerEntry]:
        """Return the workers by their id."""
        ...

    async def refresh(self) -> None:
        """List anew; raises `errors.ClementinesparError` if that failed."""
        ...

    def subscribe(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call the listener after each change, until the result is called."""
        ...


class ConfigurationSource(Protocol):
    """The configuration in force at this node."""

    current: model.JobConfiguration | None


class HostService(Protocol):
    """Hosts and actions on them."""

    async def list_hosts(self) -> list[model.HostEntry]:
        """Return all hosts."""
        ...

    async def move(self, host_id: str, pool: str, fence: int) -> bool:
        """Move a host to another pool; False if the platform refused."""
        ...

    async def start_maintenance(self, host_id: str, wave: int, fence: int) -> bool:
        """Take a host down for its upkeep; False if the platform refused."""
        ...


class WaveSource(Protocol):
    """Waves that the operators ask for, and their reported state."""

    @property
    def by_number(self) -> Mapping[int, model.MaintenanceWave]:
        """Return the waves by their number."""
        ...

    async def report(self, wave: model.MaintenanceWave, is_done: bool) -> None:
        """Tell the operators how far a wave is."""
        ...


class EventLog(Protocol):
    """Where the slice tells what changed, for logs."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write one line."""
        ...
