"""State of in-flight requests, and of the services that they are for."""

import asyncio
import dataclasses
import math
from collections.abc import Callable

from clementinespar.requests import (
    demand_meter,
    ejection,
    model,
    queueing,
    retries,
    runtimes,
    slots,
)


@dataclasses.dataclass(slots=True, eq=False)
class Assignment:
    """A target and the slot that is acquired there for one attempt."""

    target: model.Target
    target_slots: slots.TargetSlots
    use: slots.SlotUse


@dataclasses.dataclass(slots=True, eq=False)
class InFlightRequest:
    """One request from its admission to its outcome."""

    request: model.Request
    service: "ServiceState"
    entry: queueing.QueueEntry
    is_repeatable: bool
    declared_s: float  # run time that the caller or the document declares
    started_callbacks: list[Callable[[], None]]
    waiters: int = 0  # callers that still wait; 0 if all of them have left
    has_started: bool = False  # a byte may have been sent to a target
    is_claimed: bool = False
    queued_at: float = 0.0  # event-loop time
    expiry: asyncio.TimerHandle | None = None  # refuses the request if still queued
    waited_s: float = 0.0
    attempts: int = 0
    # A second attempt is due because the target is unresponsive; its retry is already
    # counted in the budget.
    is_hedging: bool = False
    tried_host_ids: set[str] = dataclasses.field(default_factory=set)
    failures: list[tuple[str, model.Attempt]] = dataclasses.field(default_factory=list)
    running: set["asyncio.Task[tuple[str, model.Attempt]]"] = dataclasses.field(
        default_factory=set
    )
    # Set while the request waits in the queue.
    assignment: "asyncio.Future[Assignment | model.Outcome] | None" = None
    task: "asyncio.Task[model.Outcome] | None" = None

    def mark_started(self) -> None:
        """Report once to the callers that bytes may be sent to a target from now on."""
        if not self.has_started:
            self.has_started = True
            for callback in self.started_callbacks:
                callback()


class ServiceState:
    """Queue, statistics and attempts of one service."""

    name: str
    queue: queueing.ServiceQueue
    run_times: runtimes.RunTimes
    budget: retries.RetryBudget
    ejections: ejection.EjectionTracker
    meter: demand_meter.DemandMeter
    requests_by_entry: dict[queueing.QueueEntry, InFlightRequest]  # queued requests
    uses: dict[slots.SlotUse, str]  # kind of the request by attempt in flight
    is_long_by_kind: dict[str, bool]
    host_ids: set[str]  # hosts of the usable targets when last read
    claiming_count: int  # requests whose claim is not decided yet
    last_active_at: float  # event-loop time of the newest request or answer
    dispatch_timer: asyncio.TimerHandle | None

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.queue = queueing.ServiceQueue()
        self.run_times = runtimes.RunTimes()
        self.budget = retries.RetryBudget()
        self.ejections = ejection.EjectionTracker()
        self.meter = demand_meter.DemandMeter(now)
        self.requests_by_entry = {}
        self.uses = {}
        self.is_long_by_kind = {}
        self.host_ids = set()
        self.claiming_count = 0
        self.last_active_at = -math.inf
        self.dispatch_timer = None

    def update_demand(self, now: float) -> None:
        """Pass the current demand to the meter."""
        # Queued work counts as the number of slots that would finish it in one second.
        queued = min(float(len(self.queue)), self.queue.queued_work_s())
        self.meter.set_level(len(self.uses) + queued, now)
