"""In-memory stand-in of targets and of the transport to them.

Supports the faults of `standins.target`. Its time is the event loop's, so tests and
benches run it on a paused clock.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from clementinespar import background, codes
from clementinespar.requests import model
from standins import target as target_standin


@dataclasses.dataclass(slots=True)
class FakeTarget:
    """One target: its state as in `standins.target`, and its running requests."""

    state: target_standin.TargetState
    is_killed: bool = False
    # Running requests; all of them are cancelled when the target is killed.
    tasks: set[asyncio.Task[bool]] = dataclasses.field(default_factory=set)

    def kill(self) -> None:
        """Cancel all running requests and refuse connections until `restart`."""
        self.is_killed = True
        for task in list(self.tasks):
            task.cancel()

    def restart(self) -> None:
        """Accept connections again, without requests and faults."""
        self.is_killed = False
        self.state.faults = target_standin.Faults()


class FakeTargetTransport:
    """`TargetTransport` to fake targets.

    Parameters
    ----------
    targets_by_host_id : dict of str to FakeTarget
        The targets; any other host refuses connections.
    latency_s : float
        One-way latency to a target.
    """

    targets_by_host_id: dict[str, FakeTarget]
    latency_s: float

    def __init__(
        self, targets_by_host_id: dict[str, FakeTarget], latency_s: float = 0.0005
    ) -> None:
        self.targets_by_host_id = targets_by_host_id
        self.latency_s = latency_s

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Connect to targets while the context is entered; end their work on exit."""
        try:
            yield
        finally:
            for fake in self.targets_by_host_id.values():
                await background.end_all(fake.tasks)

    async def send(
        self,
        target: model.Target,
        request: model.Request,
        timeout_s: float,
        repeatable: bool,
    ) -> model.Attempt:
        """Send one attempt; after a timeout, the target still runs the request."""
        fake = self.targets_by_host_id.get(target.host_id)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_s
        await asyncio.sleep(self.latency_s)
        if fake is None or fake.is_killed:
            return model.Attempt(
                model.AttemptKind.NOT_STARTED, codes.ResultCode.TARGETS_REFUSED
            )
        state = fake.state
        while state.faults.freeze or state.faults.silent:
            if loop.time() >= ends_at:
                return _unknown(codes.ResultCode.TARGET_SILENT)
            if fake.is_killed:
                return _unknown(codes.ResultCode.TARGET_CONNECTION_LOST)
            await asyncio.sleep(min(0.02, max(0.0005, ends_at - loop.time())))
        if fake.is_killed:
            return _unknown(codes.ResultCode.TARGET_CONNECTION_LOST)
        if state.check_admission() is not None:
            await asyncio.sleep(self.latency_s)
            return model.Attempt(
                model.AttemptKind.NOT_STARTED,
                codes.ResultCode.TARGETS_REFUSED,
                status=503,
                is_leaving=state.faults.leaving,
            )
        # Occupies the slot now: the task runs only in the loop's next iteration.
        slot = state.running(request.request_id)
        slot.__enter__()
        task = loop.create_task(self._run(fake, request))
        fake.tasks.add(task)
        task.add_done_callback(fake.tasks.discard)
        task.add_done_callback(lambda done: slot.__exit__(None, None, None))
        await asyncio.wait({task}, timeout=max(0.0, ends_at - loop.time()))
        if not task.done():
            return _unknown(codes.ResultCode.TARGET_SILENT)
        if task.cancelled() or state.faults.drop_before_answer:
            return _unknown(codes.ResultCode.TARGET_CONNECTION_LOST)
        await asyncio.sleep(self.latency_s)
        if state.faults.wrong_request_id:
            return _unknown(codes.ResultCode.ANSWER_MISMATCH)
        if not task.result():
            return dataclasses.replace(
                _unknown(codes.ResultCode.OUTCOME_UNKNOWN), status=500
            )
        return model.Attempt(
            model.AttemptKind.ANSWERED,
            codes.ResultCode.OK,
            status=200,
            body=state.answer_body(request.request_id, request.kind),
            is_leaving=state.faults.leaving,
        )

    async def status(
        self, target: model.Target, timeout_s: float
    ) -> model.TargetStatus | None:
        """Return the status that the target reports, or None if it did not answer."""
        fake = self.targets_by_host_id.get(target.host_id)
        await asyncio.sleep(self.latency_s)
        if fake is None or fake.is_killed:
            return None
        if fake.state.faults.freeze:
            await asyncio.sleep(timeout_s)
            return None
        return model.TargetStatus(
            fake.state.busy_slots, fake.state.slots, fake.state.faults.leaving
        )

    async def _run(self, fake: FakeTarget, request: model.Request) -> bool:
        """Run one request; False if it failed."""
        state = fake.state
        if state.faults.fail_all:
            return False
        await asyncio.sleep(state.run_seconds(request.body))
        while state.faults.freeze:
            await asyncio.sleep(0.02)
        return True


def _unknown(code: codes.ResultCode) -> model.Attempt:
    return model.Attempt(model.AttemptKind.UNKNOWN, code)
