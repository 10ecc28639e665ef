"""Protocols of the platform services that jobs need."""

import dataclasses
import enum
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from clementinespar.jobs import model


class Topic(enum.Enum):
    """Streams of keyed records; a pool belongs to one partition of each."""

    COMMANDS = "commands"  # requests of callers, written by any node
    PROGRESS = "progress"  # written only by the owner of the partition
    QUEUES = "queues"  # the queues of all configurations, written by any node
    HOSTS = "hosts"  # waves and peaks, written only by the owner of the fleet


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record with a key; an empty value deletes the key."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RecordPage:
    """Records in order, and the offset at which the next page starts."""

    records: list[KeyedRecord]
    next_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """The partitions that a member of the group owns."""

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
        """Append all records or none."""
        ...

    async def append_fenced(
        self,
        topic: Topic,
        partition: int,
        epoch: int,
        sequence: int,
        records: Sequence[KeyedRecord],
    ) -> None:
        """Append records as the owner with this epoch; repeating it has no effect.

        Raises ``STORE_FENCED`` if the store has seen a later epoch or misses an earlier
        sequence number. Without records, it only sets the epoch.
        """
        ...

    async def list_newest(self, topic: Topic, partition: int) -> RecordPage:
        """Return the newest record of each key, and the offset to read on from."""
        ...

    async def read(
        self, topic: Topic, partition: int, offset: int, wait_s: float
    ) -> RecordPage:
        """Return records from an offset, waiting up to `wait_s` for the first one.

        Raises ``STORE_HISTORY_GONE`` if the store has dropped records after the offset.
        """
        ...


class OwnershipGroup(Protocol):
    """Assigns each partition to one live node."""

    member: str  # name of this node in the group
    ttl_s: float  # a member that joins later than this may have lost its partitions

    async def join(self, generation: int) -> Assignment:
        """Join or stay in the group.

        `generation` is that of the last assignment which this member has applied. It
        confirms that the member has given up the partitions that it lost until then.
        """
        ...

    async def leave(self) -> None:
        """Give up all partitions at once."""
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
        """Renew the lease and return the worker's report; None if refused.

        Without `lease_until_ms` the lease stays as it is. The worker waits up to
        `wait_ms` for a run to end before it answers.
        """
        ...

    async def pace(
        self,
        worker: model.WorkerEntry,
        task: model.TaskKey,
        run: int,
        percent: int,
        fence: int,
    ) -> bool:
        """Limit a run to a share of its speed, in percent; False if refused."""
        ...


class Adviser(Protocol):
    """External service that decides which workers may run a step."""

    async def request_tickets(
        self,
        job_id: str,
        occurrence: int,
        step: int,
        worker_ids: Sequence[str],
        timeout_s: float,
    ) -> model.IssuedTickets:
        """Return tickets for a step on some of the workers.

        Parameters
        ----------
        timeout_s : float
            Longest wait for the answer, in seconds.

        Raises
        ------
        errors.ClementinesparError
            The adviser has not answered, or has refused the call. With the code
            ``CALL_UNANSWERED`` it may still work on the call, and begins with no other
            call of this node before it is done.
        """
        ...


class WorkerDirectory(Protocol):
    """The workers that have registered with the platform."""

    is_loaded: bool

    @property
    def by_id(self) -> Mapping[str, model.WorkerEntry]:
        """Return the workers by their id."""
        ...

    async def refresh(self) -> None:
        """Read the list of workers again.

        Raises `errors.ClementinesparError` if that failed.
        """
        ...

    def subscribe(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call the listener after each change; the result unsubscribes it."""
        ...


class ConfigurationSource(Protocol):
    """The configuration in force at this node."""

    current: model.JobConfiguration | None
    # Event-loop time at which the newest answered read was sent; None: none yet.
    confirmed_at: float | None


class HostService(Protocol):
    """Hosts and actions on them."""

    async def list_hosts(self) -> list[model.HostEntry]:
        """Return all hosts."""
        ...

    async def move(
        self, host_id: str, pool: str, fence: int, may_send: Callable[[], bool]
    ) -> bool:
        """Move a host to another pool.

        `may_send` is asked when nothing is left to wait for before the order is sent.
        False if the platform refused, or if the order was not sent.
        """
        ...

    async def start_maintenance(
        self, host_id: str, wave: int, fence: int, may_send: Callable[[], bool]
    ) -> bool:
        """Take a host down for maintenance; otherwise as `move`."""
        ...


class WaveSource(Protocol):
    """Maintenance waves that operators request, and reports of their state."""

    @property
    def by_number(self) -> Mapping[int, model.MaintenanceWave]:
        """Return the waves by their number."""
        ...

    async def report(self, wave: model.MaintenanceWave, is_done: bool) -> None:
        """Report to the operators whether a wave is running or done."""
        ...


class EventLog(Protocol):
    """Structured log of decisions."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write one event."""
        ...
