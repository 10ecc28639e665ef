"""The interface through which a node reads the newest folded state."""

from typing import Protocol

from clementinespar.fleet import state


class FleetSource(Protocol):
    """Provides the newest folded state of this node.

    The state object is replaced when a snapshot is loaded, so callers read `state`
    again after every await.
    """

    @property
    def state(self) -> state.FleetState:
        """The newest folded state; callers never change it."""
        ...

    async def wait_applied(self, offset: int) -> None:
        """Wait until the entry at an offset has been applied."""
        ...

    async def refresh(self, timeout_s: float) -> bool:
        """Apply everything in the log; return False if it did not answer in time."""
        ...
