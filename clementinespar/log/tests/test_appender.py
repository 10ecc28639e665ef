"""Tests of the appender against the fake log."""

from clementinespar import codes
from clementinespar.tests import log_nodes, paused_clock
from standins import fake_log


def test_append_returns_the_result_of_the_fold() -> None:
    # Guards against a result that is handed out before the fold has decided.
    async def main() -> None:
        log = fake_log.FakeLog()
        async with log_nodes.running_node(log) as node:
            result = await node.appender.append(node.duty_record("waves"), 5.0)
            assert result.code == codes.ResultCode.OK
            assert node.follower.state.offset == result.offset == 0

    paused_clock.run(main())
