"""Follower and appender of a node on a fake log, for the tests of all packages."""

import contextlib
import dataclasses
import functools
import inspect
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from typing import Any

from clementinespar import codes, errors, identifiers
from clementinespar.claims import claimer as claims_claimer
from clementinespar.duties import messages as duty_messages
from clementinespar.log import appender as log_appender
from clementinespar.log import follower as log_follower
from clementinespar.log import relay as log_relay
from clementinespar.log import service as log_service
from clementinespar.tests import paused_clock
from standins import fake_log


@dataclasses.dataclass(slots=True)
class LogNode:
    """A node's access to the log."""

    name: str
    access: fake_log.LogAccess  # with fault switches for this node only
    follower: log_follower.Follower
    appender: log_appender.Appender
    # Components that end before the node does.
    components: contextlib.AsyncExitStack = dataclasses.field(
        default_factory=contextlib.AsyncExitStack
    )

    @property
    def log(self) -> fake_log.FakeLog:
        """The log that all nodes share."""
        return self.access.log

    async def start_claimer(self) -> claims_claimer.Claimer:
        """Return a claimer that runs until the node ends."""
        claimer = claims_claimer.Claimer(self.appender, self.follower, self.name)
        await self.components.enter_async_context(claimer.running())
        return claimer

    def duty_record(self, duty: str, lease_ms: int = 1000) -> duty_messages.DutyClaimed:
        """Return a valid record of this node."""
        issued_ms = self.appender.now_ms()
        return duty_messages.DutyClaimed(
            record_id=identifiers.new_id(issued_ms),
            issued_ms=issued_ms,
            author=self.name,
            duty=duty,
            lease_ms=lease_ms,
        )


@contextlib.asynccontextmanager
async def running_node(
    log: fake_log.FakeLog,
    name: str = "node-a",
    relay: log_relay.PeerRelay | None = None,
    poll_wait_s: float = 1.0,
) -> AsyncIterator[LogNode]:
    """Run a node's follower, and yield it with the node's appender."""
    access = fake_log.LogAccess(log)
    follower = log_follower.Follower(access, relay, poll_wait_s)
    appender = log_appender.Appender(access, follower, name, 0.005, wall_ms=log.now_ms)
    node = LogNode(name, access, follower, appender)
    async with follower.running(), appender.running(), node.components:
        yield node


def with_nodes(
    *names: str,
) -> Callable[[Callable[..., Coroutine[Any, Any, None]]], Callable[..., None]]:
    """Return a decorator that runs a test on a paused clock with nodes on a fake log.

    The nodes, one for each name, are passed as the first arguments of the test.
    """

    def decorate(
        test: Callable[..., Coroutine[Any, Any, None]],
    ) -> Callable[..., None]:
        async def main(arguments: dict[str, Any]) -> None:
            log = fake_log.FakeLog()
            async with contextlib.AsyncExitStack() as stack:
                nodes = [
                    await stack.enter_async_context(running_node(log, name))
                    for name in names
                ]
                await test(*nodes, **arguments)

        @functools.wraps(test)
        def run(**arguments: Any) -> None:
            paused_clock.run(main(arguments))

        # pytest passes fixtures for the parameters in the signature; it must not see
        # those of the nodes.
        parameters = list(inspect.signature(test).parameters.values())
        run.__signature__ = inspect.Signature(  # type: ignore[attr-defined]
            parameters[len(names) :]
        )
        return run

    return decorate


class NodeRelay:
    """Relays entries and snapshots of another node, as the peer protocol does."""

    peer: LogNode | None  # node that replies, None while no node is reachable

    def __init__(self, peer: LogNode | None = None) -> None:
        self.peer = peer

    def highest_offset(self) -> int:
        """Return the offset that the peer has applied."""
        return -1 if self.peer is None else self.peer.follower.state.offset

    async def fetch_entries(
        self, from_offset: int, limit: int
    ) -> Sequence[log_service.LogEntry]:
        """Return recent entries of the peer."""
        if self.peer is None:
            raise errors.ClementinesparError(
                codes.ResultCode.PEER_UNAVAILABLE, "no peer is reachable"
            )
        return self.peer.follower.recent_entries(from_offset, limit)

    async def fetch_snapshot(self) -> tuple[int, bytes] | None:
        """Return a snapshot of the peer's state."""
        return None if self.peer is None else self.peer.follower.snapshot()
