"""Event loop whose clock is paused until all tasks wait.

The clock then jumps to the next timer, so that tests with timeouts take no real time
and are deterministic. Code under test must use ``asyncio.get_running_loop().time()`` as
its only clock.
"""

import asyncio
import functools
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, ParamSpec, TypeVar

_P = ParamSpec("_P")
_T = TypeVar("_T")


class DeadlockError(Exception):
    """All tasks wait and no timer is set, so the test would never end."""


class _JumpingSelector(selectors.DefaultSelector):
    """Returns at once and adds up the time that a real selector would have waited."""

    jumped_s: float = 0.0  # event-loop time since the start

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        events = super().select(0)
        if not events and timeout is None:
            raise DeadlockError("all tasks wait and no timer is set")
        if not events and timeout is not None and timeout > 0:
            self.jumped_s += timeout
        return events


class PausedClockLoop(asyncio.SelectorEventLoop):
    """Event loop on a paused clock that starts at 1000 s."""

    _jumping_selector: _JumpingSelector

    def __init__(self) -> None:
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        """Return the paused time."""
        return 1000.0 + self._jumping_selector.jumped_s


def test(scenario: Callable[_P, Coroutine[Any, Any, None]]) -> Callable[_P, None]:
    """Return a test that runs a coroutine function on a paused clock."""

    @functools.wraps(scenario)
    def run_scenario(*args: _P.args, **kwargs: _P.kwargs) -> None:
        run(scenario(*args, **kwargs))

    return run_scenario


def run(main: Coroutine[Any, Any, _T]) -> _T:
    """Run a coroutine on a loop with a paused clock."""
    with asyncio.Runner(loop_factory=PausedClockLoop) as runner:
        return runner.run(main)
