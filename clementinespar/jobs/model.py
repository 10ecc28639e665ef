"""Data types of jobs, queues, workers and hosts."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping

from clementinespar import intake
from clementinespar.jobs import teams


class JobState(enum.Enum):
    """State of a job as shown to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})


class EndKind(enum.Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"  # a fault of the task or the worker; counts as an attempt
    STOPPED = "stopped"
    LAPSED = "lapsed"  # the lease ended
    BROKEN = "broken"  # another member of the gang ended
    ALONE = "alone"  # the other members of the gang did not start


@dataclasses.dataclass(frozen=True, slots=True)
class StepSpec:
    """One step of a job: identical tasks."""

    task_count: int
    cpu_millis: int = 0  # thousandths of a core
    memory_mb: int = 0
    gpus: int = 0
    estimate_ms: int = 0  # estimated run time of one task
    after: tuple[int, ...] = ()  # earlier steps whose tasks must all be done
    has_checkpoints: bool = False
    is_gang: bool = False  # tasks work only while all of them run
    is_same_rack: bool = False
    label: str = ""  # label that the worker must have; empty: none
    data_rack: str = ""  # rack of the data; the task is slower on other racks
    max_per_worker: int = 0  # 0: no limit
    is_speculative: bool = False  # copies may run in parallel
    is_lasting: bool = False  # runs until the job is cancelled
    image: str = ""
    latency_target_ms: int = 0  # bound of a serving task's tail latency; 0: none
    is_filler: bool = False  # uses only CPU that other tasks leave free
    # Lasting tasks of the step that we may take down at once; None: no limit.
    may_miss: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted, with the policy of its queue at that time."""

    job_id: str
    queue: str
    pool: str  # pool of the queue when the job was submitted
    payload: str  # opaque text passed to each task
    steps: tuple[StepSpec, ...]
    first_due_ms: int = 0  # Unix ms of the first occurrence
    period_ms: int = 0
    occurrences: int = 0  # 0: runs once, without a due time
    accepted_ms: int = 0  # Unix ms
    max_attempts: int = 1
    priority: int = 0  # jobs with a lower value are placed first
    # The objective: `stretch` times the estimated duration, plus `objective_ms`.
    stretch: float = 1.0
    objective_ms: int = 0
    needs_advice: bool = False  # runs only on workers with a ticket of the adviser
    team: str = ""  # team of the call's key; empty: no team, so no cap applies

    @property
    def task_count(self) -> int:
        """Return the number of tasks of each occurrence."""
        return sum(step.task_count for step in self.steps)


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceTimes:
    """Times of the adviser for the steps of a queue.

    Attributes
    ----------
    decide_s : float
        Time that any call takes, in seconds.
    each_s : float
        Time that each worker named in a call adds, in seconds.
    valid_s : float
        Time for which a ticket is valid, in seconds.
    """

    decide_s: float
    each_s: float
    valid_s: float

    def call_s(self, worker_count: int) -> float:
        """Return the time that a call takes once the adviser begins with it."""
        return self.decide_s + self.each_s * worker_count


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of the configuration in force."""

    name: str
    host: str
    path_prefix: str
    pool: str
    timeout_ms: int
    objective_ms: int
    max_attempts: int
    priority: int
    stretch: float
    advice: AdviceTimes | None = None  # None: its jobs need no tickets
    is_public: bool = False  # calls need no key
    # Names and pools that the queue of this host and path prefix had before. Jobs of
    # that time are still in those pools.
    former: frozenset[tuple[str, str]] = frozenset()

    @property
    def needs_advice(self) -> bool:
        """Whether its jobs run only on workers with a ticket of the adviser."""
        return self.advice is not None


def with_former(queue: Queue, names_and_pools: Iterable[tuple[str, str]]) -> Queue:
    """Return a queue with the names and pools that it had, less its present one."""
    former = frozenset(names_and_pools) - {(queue.name, queue.pool)}
    return dataclasses.replace(queue, former=former)


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A pool of workers of the configuration in force."""

    name: str
    is_spare: bool


@dataclasses.dataclass(frozen=True, slots=True)
class JobConfiguration:
    """Queues and pools in force."""

    version: int
    queues_by_name: dict[str, Queue]
    pools_by_name: dict[str, Pool]
    max_body_bytes: int
    # None: the configuration has no teams, so calls need no key.
    teams_by_key_digest: Mapping[bytes, teams.Team] | None = None
    teams_by_name: Mapping[str, teams.Team] = dataclasses.field(default_factory=dict)
    earlier_pools: frozenset[str] = frozenset()  # in `Queue.former` of its queues
    # Names and pools in the record of queues, also of those that are not in force.
    recorded_queues: frozenset[tuple[str, str]] = frozenset()
    max_header_bytes: int = 16 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000

    def caller_limits(self) -> intake.CallerLimits:
        """Return the limits of each connection of a caller."""
        return intake.CallerLimits(
            self.max_header_bytes,
            self.max_body_bytes,
            self.header_timeout_ms / 1000,
            self.idle_timeout_ms / 1000,
        )

    def pools_with_jobs(self) -> frozenset[str]:
        """Return the pools in force, and the earlier ones, where jobs may still be."""
        return self.earlier_pools | self.pools_by_name.keys()

    def needs_key(self, queue: Queue) -> bool:
        """Whether calls of a queue must carry the key of a team."""
        return self.teams_by_key_digest is not None and not queue.is_public

    def is_authorized(self, queue: Queue, authorization: str) -> bool:
        """Whether a call of a queue carries a key that is in force.

        Parameters
        ----------
        authorization : str
            The value of the Authorization header; empty if there is none.
        """
        return (
            not self.needs_key(queue)
            or self.find_team(queue, authorization) is not None
        )

    def find_team(self, queue: Queue, authorization: str) -> teams.Team | None:
        """Return the team of a call's key; None for a public queue or without one."""
        if not self.needs_key(queue):
            return None
        key = teams.parse_bearer(authorization)
        teams_by_key_digest = self.teams_by_key_digest or {}
        return None if key is None else teams_by_key_digest.get(teams.hash_key(key))

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of the host with the longest prefix of the path."""
        best: Queue | None = None
        for queue in self.queues_by_name.values():
            if (
                queue.host == host
                and path.startswith(queue.path_prefix)
                and (best is None or len(queue.path_prefix) > len(best.path_prefix))
            ):
                best = queue
        return best


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker as it registers itself."""

    worker_id: str
    pool: str
    address: str
    data_centre: str
    is_draining: bool
    cpu_millis: int
    memory_mb: int
    gpus: int
    labels: tuple[str, ...]
    rack: str
    born_ms: int  # Unix ms of its start


@dataclasses.dataclass(frozen=True, slots=True)
class TaskKey:
    """Identity of a task."""

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def name_in_job(self) -> str:
        """Occurrence, step and index, as logs show them."""
        return f"{self.occurrence}.{self.step}.{self.index}"


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that a worker lists as executing."""

    task: TaskKey
    run: int
    saved: str
    percent: int
    usage: int  # tail latency in ms of a serving task, else thousandths of a core


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTask:
    """The end of a run that a worker lists until it is acknowledged."""

    number: int
    task: TaskKey
    run: int
    kind: EndKind
    saved: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to a lease renewal."""

    clock_ms: int
    born_ms: int
    running: list[RunningTask]
    ended: list[EndedTask]


class StartResult(enum.Enum):
    """Answer of a worker to a start."""

    STARTED = "started"
    FENCED = "fenced"  # the worker has seen a later owner
    STALE_RUN = "stale_run"  # a run of this number or a higher one has ended there
    LEASE_LATE = "lease_late"  # the lease had ended before the order arrived
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"  # the worker cannot start runs now; nothing was done
    WRONG_INSTANCE = "wrong_instance"


@dataclasses.dataclass(frozen=True, slots=True)
class StartAnswer:
    """Result of a start, and the worker's clock if the answer has it."""

    result: StartResult
    clock_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start one run of a task."""

    task: TaskKey
    run: int
    payload: str
    lease_until_ms: int  # on the worker's clock
    fence: int
    saved: str
    ticket: str = ""  # issued by the adviser; empty: none is needed


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedTickets:
    """Tickets for the workers that may run a step."""

    tickets_by_worker: dict[str, str]
    valid_s: float  # for all tasks of the step, unless the worker restarts


@dataclasses.dataclass(frozen=True, slots=True)
class HostEntry:
    """A host as the platform lists it."""

    host_id: str
    pool: str
    state: str  # up, moving, upkeep or down
    data_centre: str
    rack: str
    worker_id: str


class EvacuationUrgency(enum.Enum):
    """What an evacuation of a worker may interrupt."""

    IF_IDLE = "if_idle"  # nothing: a worker with runs is not evacuated
    LEND = "lend"  # nothing: the worker gets no new work, and late work waits
    DRAIN = "drain"  # no short runs: the worker gets no new work
    STOP = "stop"  # short runs as well; they start again from their checkpoints


@dataclasses.dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """A wave of maintenance that operators request."""

    number: int
    host_ids: tuple[str, ...]
    deadline_s: float
    max_down: int
