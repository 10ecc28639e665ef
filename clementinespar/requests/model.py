"""Requests, outcomes and the interfaces between components of the request path."""

import dataclasses
import enum
from collections.abc import Callable, Sequence
from typing import Protocol

from clementinespar import codes


class OutcomeKind(enum.Enum):
    """What is certain about a request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"  # refused; it certainly did not run and will not run
    UNKNOWN = "unknown"  # it may have run


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One caller's request, as the ingress node accepted it."""

    request_id: str
    service: str
    kind: str
    body: bytes
    content_type: str
    deadline: float  # event-loop time on this node
    team: str | None = None
    is_urgent: bool = False
    declared_run_ms: int | None = None  # caller's own estimate
    traceparent: str | None = None  # W3C trace context of the calling span


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The one result that a caller receives."""

    kind: OutcomeKind
    code: codes.ResultCode
    reason: str = ""  # explanation for operators and callers
    status: int = 200  # HTTP status of an answer
    body: bytes = b""  # complete body of an answer
    content_type: str = "application/json"
    host_id: str | None = None  # host of the target that answered or failed last
    attempts: int = 0  # attempts sent to targets
    waited_s: float = 0.0  # time in the owner's queue


def not_run(code: codes.ResultCode, reason: str) -> Outcome:
    """Return the outcome of a request that certainly did not run."""
    return Outcome(OutcomeKind.NOT_RUN, code, reason)


def unknown(code: codes.ResultCode, reason: str) -> Outcome:
    """Return the outcome of a request that may have run."""
    return Outcome(OutcomeKind.UNKNOWN, code, reason)


class RequestHandler(Protocol):
    """Handles requests: the dispatcher of this node or a client of a remote owner."""

    async def handle(self, request: Request, on_started: Callable[[], None]) -> Outcome:
        """Return the outcome; never raises for a failure of targets or peers.

        ``on_started`` is called before the first byte may be sent to a target.
        Cancellation of the task means that the caller has left: a queued request is
        then dropped, and a running one continues at its target.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerCandidate:
    """An entry node that may own a service's queue."""

    node: str
    handler: RequestHandler
    is_local: bool


class OwnerDirectory(Protocol):
    """Current owner of each service's queue."""

    def candidates(self, service: str) -> Sequence[OwnerCandidate]:
        """Return live nodes in rendezvous order; the first one owns the queue."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The instance of a service on one host."""

    host_id: str
    address: str
    port: int
    data_centre: str
    rack: str


class AttemptKind(enum.Enum):
    """What is certain about one attempt at a target."""

    ANSWERED = "answered"
    # No byte was sent, or the target stated that the request had not started.
    NOT_STARTED = "not-started"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Result of one attempt at one target."""

    kind: AttemptKind
    code: codes.ResultCode
    reason: str = ""
    status: int = 0
    body: bytes = b""
    content_type: str = "application/json"
    is_leaving: bool = False  # the target reports that it is leaving


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """Status that a target reports about itself."""

    busy_slots: int
    slots: int
    is_leaving: bool


class TargetTransport(Protocol):
    """Connections to targets."""

    async def send(
        self, target: Target, request: Request, timeout_s: float, repeatable: bool
    ) -> Attempt:
        """Send one attempt; never raises for a failure of the target."""
        ...

    async def status(self, target: Target, timeout_s: float) -> TargetStatus | None:
        """Return the target's own status, or None if it did not answer."""
        ...


class TargetDirectory(Protocol):
    """Targets that may receive new work."""

    def lent_targets_of(self, service: str) -> Sequence[Target]:
        """Return targets of the pool that the service borrows from, as `targets_of`."""
        ...

    def targets_of(self, service: str) -> Sequence[Target]:
        """Return the service's targets that are neither out nor leaving."""
        ...

    def mark_leaving(self, target: Target) -> None:
        """Exclude a target that reports that it is leaving."""
        ...

    def clear_leaving(self, target: Target) -> None:
        """Include a target again that reports that it is no longer leaving."""
        ...
