"""An event loop whose clock counts the time for which the machine is suspended.

Leases on workers run on while this machine stands still; with the steady clock, a node
that wakes up would believe in a confirmation that has ended.
"""

import asyncio
import time


class BootClockLoop(asyncio.SelectorEventLoop):
    """Event loop on ``CLOCK_BOOTTIME``."""

    def time(self) -> float:
        """Return seconds since the machine started, with suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
