"""State of a fake worker in one of its lives."""

import asyncio
import dataclasses

from clementinespar.jobs import model

LEASE_MAX_MS = 6000  # workers shorten longer leases


@dataclasses.dataclass
class FakeWorker:
    """State of one worker: its runs, ends, fence and lease."""

    entry: model.WorkerEntry
    born_ms: int = 1
    fence: int = 0
    lease_until_ms: float = 0.0
    # Run and the event-loop time of its end, by task.
    running: dict[model.TaskKey, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    ended: list[model.EndedTask] = dataclasses.field(default_factory=list)
    ended_runs: dict[model.TaskKey, int] = dataclasses.field(default_factory=dict)
    next_number: int = 1
    is_unresponsive: bool = False  # runs go on, but calls do nothing and time out
    loses_answers: bool = False  # orders are carried out, but not answered
    end_kind: model.EndKind = model.EndKind.DONE
    loses_acknowledgements: bool = False  # acknowledgements never arrive
    is_dead: bool = False  # its host lists no worker
    listed_from: float = 0.0  # event-loop time at which its host lists it
    drops_starts: bool = False  # starts do nothing and are not answered
    is_unhealthy: bool = False  # starts are refused
    # Event-loop time at which its clock began; none: it begins when it is first read.
    clock_zero: float | None = 0.0

    def accepts(self, fence: int) -> bool:
        """Whether an order is not of a previous owner; keeps the highest fence."""
        self.fence = max(self.fence, fence)
        return fence == self.fence

    def end_run(self, task: model.TaskKey, run: int, kind: model.EndKind) -> None:
        """End a run that executes."""
        del self.running[task]
        self.ended.append(model.EndedTask(self.next_number, task, run, kind, ""))
        self.next_number += 1
        self.ended_runs[task] = max(run, self.ended_runs.get(task, 0))

    def clock_ms(self) -> int:
        """Return the time on the clock of this life of the worker."""
        now = asyncio.get_running_loop().time()
        if self.clock_zero is None:
            self.clock_zero = now
        return int((now - self.clock_zero) * 1000)

    def lease_end(self) -> float:
        """Return the event-loop time at which its lease ends."""
        return (self.clock_zero or 0.0) + self.lease_until_ms / 1000

    def extend_lease(self, until_ms: int) -> None:
        """Extend the lease, to its longest duration at most."""
        until_ms = min(until_ms, self.clock_ms() + LEASE_MAX_MS)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
