"""Runs of tasks on workers, and the events that the session with a worker reports."""

import enum
import typing

from clementinespar.jobs import model

if typing.TYPE_CHECKING:
    from clementinespar.jobs import worker_session


class RunStatus(enum.Enum):
    """State of a run, as its owner knows it."""

    STARTING = "starting"
    OPEN = "open"  # the start was sent and has no answer
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """One run of a task on one worker."""

    __slots__ = (
        "key",
        "number",
        "spec",
        "status",
        "started_at",
        "is_adopted",
        "answered_at",
        "is_start_settled",
        "stop_answered_at",
        "is_stop_in_flight",
        "percent",
        "percent_at",
        "usage",
        "paced_at",
        "pace",
        "is_pace_predicted",
        "move_blocked_by",
        "is_suspect",
        "is_unsent",
        "session",
        "team",
    )

    key: model.TaskKey
    number: int
    spec: model.StepSpec
    status: RunStatus
    started_at: float  # event-loop time, as are the following
    is_adopted: bool  # from a previous owner: `started_at` is when it was first seen
    answered_at: float  # when its start was answered, given up or first listed
    is_start_settled: bool  # its start was answered or it was listed
    stop_answered_at: float | None
    is_stop_in_flight: bool
    percent: int
    percent_at: float  # when `percent` last changed
    usage: int  # as in `model.RunningTask`
    paced_at: float | None  # when `pace` last changed
    pace: int  # share of its speed, in percent
    is_pace_predicted: bool  # by what is learnt of its image, not by fixed steps
    move_blocked_by: str  # why its last move was not possible; empty: none was tried
    is_suspect: bool  # a worker has died while an earlier run of the task was suspect
    is_unsent: bool  # its start has to be stored first
    session: "worker_session.WorkerSession"
    team: str  # of its job; empty: none

    def __init__(
        self,
        key: model.TaskKey,
        number: int,
        spec: model.StepSpec,
        session: "worker_session.WorkerSession",
        now: float,
        team: str = "",
    ) -> None:
        self.key = key
        self.number = number
        self.spec = spec
        self.status = RunStatus.STARTING
        self.started_at = now
        self.is_adopted = False
        self.answered_at = now
        self.is_start_settled = False
        self.stop_answered_at = None
        self.is_stop_in_flight = False
        self.percent = 0
        self.percent_at = now
        self.usage = 0
        self.paced_at = None
        self.pace = 100
        self.is_pace_predicted = False
        self.move_blocked_by = ""
        self.is_suspect = False
        self.is_unsent = False
        self.session = session
        self.team = team


class RunEvents(typing.Protocol):
    """Events and queries of a session, handled by the owner of its pool."""

    def confirmed_at(self) -> float | None:
        """Return when the last call that confirmed ownership was sent."""
        ...

    def may_lease(self, worker_id: str) -> bool:
        """Whether the next owner will wait for a lease on the worker to end."""
        ...

    def on_contact(self, session: "worker_session.WorkerSession") -> None:
        """Handle the report of an answered renewal."""
        ...

    def on_unresponsive(self, session: "worker_session.WorkerSession") -> None:
        """Handle a renewal without an answer."""
        ...

    def on_end(
        self,
        session: "worker_session.WorkerSession",
        end: model.EndedTask,
        run: Run | None,
    ) -> bool:
        """Apply the end of a run that the worker lists; False keeps it listed."""
        ...

    def on_begun(self, run: Run) -> None:
        """Handle the first answer or report that shows that a run has begun."""
        ...

    def on_start_unanswered(self, session: "worker_session.WorkerSession") -> None:
        """Handle a start whose effect is open."""
        ...

    def on_death(self, worker_id: str) -> None:
        """Handle a worker that has ended, before its session drops its runs."""
        ...

    def on_crash(self, session: "worker_session.WorkerSession") -> None:
        """Handle the death of a worker, before its runs are dropped."""
        ...

    def on_lapse(self, session: "worker_session.WorkerSession", run: Run) -> None:
        """Handle the end of the lease of a run, before `on_run_gone`."""
        ...

    def on_run_gone(
        self,
        session: "worker_session.WorkerSession",
        run: Run,
        reason: str,
        seen_at: float,
    ) -> None:
        """Handle a run that certainly does not execute although no end was listed.

        Parameters
        ----------
        seen_at : float
            Event-loop time of the observation that shows it, before which a later owner
            may have seen the run end; -inf if none can have.
        """
        ...

    def on_unknown_run(
        self, session: "worker_session.WorkerSession", listed: model.RunningTask
    ) -> Run | None:
        """Return the run to track for one of a previous owner; None if unwanted."""
        ...

    def on_fenced(self) -> None:
        """Handle a refused order: the worker has seen a later owner."""
        ...

    def on_ticket_rejected(
        self, session: "worker_session.WorkerSession", run: Run
    ) -> None:
        """Handle a start whose ticket the worker did not accept."""
        ...

    def orphan_spec(self, key: model.TaskKey) -> model.StepSpec | None:
        """Return the spec of a run that this owner does not want; None if unknown."""
        ...

    def find_team(self, job_id: str) -> str:
        """Return the team of a job; empty if it has none or is unknown."""
        ...
