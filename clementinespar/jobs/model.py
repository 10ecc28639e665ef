"""Data of jobs, queues and workers inside the product."""

import dataclasses
import enum


class JobState(enum.Enum):
    """What callers see of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})


class EndKind(enum.Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"  # through its own fault or the worker's; counts as an attempt
    STOPPED = "stopped"
    LAPSED = "lapsed"  # the lease ended
    BROKEN = "broken"  # another member of the gang ended
    ALONE = "alone"  # the other members of the gang did not come


@dataclasses.dataclass(frozen=True, slots=True)
class StepSpec:
    """One step of a job: tasks that are alike."""

    task_count: int
    cpu_millis: int = 0  # thousandths of a core
    memory_mb: int = 0
    gpus: int = 0
    estimate_ms: int = 0  # rough run time of one task
    after: tuple[int, ...] = ()  # earlier steps whose tasks must all be done
    has_checkpoints: bool = False
    is_gang: bool = False  # tasks work only together
    is_same_rack: bool = False
    label: str = ""  # label that the worker must have
    data_rack: str = ""  # rack of the data; other racks are slower
    max_per_worker: int = 0  # 0: no limit
    is_speculative: bool = False  # copies may run in parallel
    is_lasting: bool = False  # runs until the job is cancelled
    image: str = ""
    latency_target_ms: int = 0  # bound of the tail of a serving task; 0: none
    is_filler: bool = False  # takes only the capacity that others leave
    may_miss: int | None = None  # lasting tasks that may be away through our actions


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted, with the policy of its queue at that time."""

    job_id: str
    queue: str
    pool: str  # pool of the queue when the job was submitted
    payload: str  # opaque text that each task receives
    steps: tuple[StepSpec, ...]
    first_due_ms: int = 0  # Unix ms of the first occurrence
    period_ms: int = 0
    occurrences: int = 0  # 0: runs once, at once
    accepted_ms: int = 0  # Unix ms
    max_attempts: int = 1
    priority: int = 0  # lower goes first
    stretch: float = 1.0
    objective_ms: int = 0
    needs_advice: bool = False  # only workers that the adviser names may run it


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
    needs_advice: bool = False


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
    """What a worker says of itself."""

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
    """A run in a worker's list."""

    task: TaskKey
    run: int
    saved: str
    percent: int
    usage: int  # tail in ms for a serving task, else thousandths of a core


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTask:
    """An end in a worker's list."""

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
    FENCED = "fenced"  # a later owner was here
    STALE_RUN = "stale_run"  # the run is not above one stopped or ended there
    LEASE_LATE = "lease_late"  # the lease had ended when the order arrived
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"  # nothing was done
    WRONG_INSTANCE = "wrong_instance"


@dataclasses.dataclass(frozen=True, slots=True)
class StartAnswer:
    """Result of a start and the worker's clock, if told."""

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
    ticket: str = ""  # of the adviser; empty: none is needed


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedTickets:
    """Workers that may run a step."""

    tickets_by_worker: dict[str, str]
    valid_s: float  # for all tasks of the step, in one life of the worker


@dataclasses.dataclass(frozen=True, slots=True)
class HostEntry:
    """A host of the platform's list of hosts."""

    host_id: str
    pool: str
    state: str  # up, moving, upkeep or down
    data_centre: str
    rack: str
    worker_id: str


class EvacuationUrgency(enum.Enum):
    """What a worker may lose so that its host can be taken away."""

    IF_IDLE = "if_idle"  # nothing: a worker with runs stays in use
    DRAIN = "drain"  # new work
    STOP = "stop"  # short work that runs, with its checkpoints


@dataclasses.dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """A wave of upkeep that the operators ask for."""

    number: int
    host_ids: tuple[str, ...]
    deadline_s: float
    max_down: int
