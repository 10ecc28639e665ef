"""Sends the queue of the soak to another pool and back, also as nodes are lost."""

import asyncio
import random
import signal

from clementinespar_adapter import standin
from soak import fleet

PATH = "/q/"
INTERVAL_RANGE_S = (1.5, 5.0)  # between two configurations
# Shares of the configurations right after which all nodes, or one, are killed.
ALL_KILLED_SHARE = 0.25
ONE_KILLED_SHARE = 0.35
DOWN_RANGE_S = (0.1, 0.8)


def make_configuration(version: int, pools: list[str]) -> dict[str, object]:
    """Return a configuration whose only queue is in the first pool."""
    route = {
        "name": f"q-{pools[0]}" if version > 1 else "q",
        "host": "127.0.0.1",
        "pathPrefix": PATH,
        "service": pools[0],
        "maxAttempts": 3,
        "targetDurationMs": 600,
        "stretch": 1.6,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": pool} for pool in pools],
        "limits": {"maxBodyBytes": 262144},
    }


class QueueMover:
    """Replaces the route of the queue by one to the next pool."""

    count: int  # configurations written

    def __init__(
        self,
        platform: standin.Platform,
        nodes: list[fleet.Node],
        pools: list[str],
        rng: random.Random,
    ) -> None:
        self.count = 0
        self._platform = platform
        self._nodes = nodes
        self._pools = pools
        self._rng = rng

    async def run(self, seconds: float) -> None:
        """Move the queue for some seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(self._rng.uniform(*INTERVAL_RANGE_S))
            self.count += 1
            self._pools = self._pools[1:] + self._pools[:1]
            self._platform.disturb()
            fields = make_configuration(self.count + 1, self._pools)
            self._platform.put("keyed.op", "config", fields)
            draw = self._rng.random()
            if draw < ALL_KILLED_SHARE:
                await self._kill(self._nodes)
            elif draw < ALL_KILLED_SHARE + ONE_KILLED_SHARE:
                await self._kill([self._rng.choice(self._nodes)])
            self._platform.disturb()

    async def _kill(self, nodes: list[fleet.Node]) -> None:
        for node in nodes:
            node.signal(signal.SIGKILL)
        await asyncio.sleep(self._rng.uniform(*DOWN_RANGE_S))
        for node in nodes:
            node.start()
