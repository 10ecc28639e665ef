"""Event loop whose clock includes the time for which the machine is suspended.

Leases on workers keep expiring while this machine is suspended. ``CLOCK_MONOTONIC``
stops during a suspension, so a node that resumes would rely on an ownership
confirmation that has expired.
"""

import asyncio
import time


class BootClockLoop(asyncio.SelectorEventLoop):
    """Event loop on ``CLOCK_BOOTTIME``."""

    def time(self) -> float:
        """Return seconds since the machine booted, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
