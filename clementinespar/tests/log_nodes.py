"""A node's follower and appender on a fake log, shared by the tests of all slices."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator

from clementinespar import identifiers
from clementinespar.duties import messages as duty_messages
from clementinespar.log import appender as log_appender
from clementinespar.log import follower as log_follower
from clementinespar.log import relay as log_relay
from standins import fake_log


@dataclasses.dataclass(slots=True)
class LogNode:
    """One node's access to the log."""

    name: str
    log: fake_log.FakeLog
    follower: log_follower.Follower
    appender: log_appender.Appender

    def duty_record(self, duty: str, lease_ms: int = 1000) -> duty_messages.DutyClaimed:
        """Return a small valid record of this node."""
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
    is_started: bool = True,
) -> AsyncIterator[LogNode]:
    """Run a follower and give it with an appender of the same node."""
    follower = log_follower.Follower(log, relay, poll_wait_s=1.0)
    appender = log_appender.Appender(log, follower, name, 0.005, wall_ms=log.now_ms)
    node = LogNode(name, log, follower, appender)
    if not is_started:
        yield node
        return
    async with follower.running():
        yield node
