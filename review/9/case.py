"""Minions that crash and begin again under their id, as another kind."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness_2 import callers, case, minions  # noqa: E402

OTHER_KIND = minions.Kind("b")
DOWN_S = 1.0
GAP_S = 5.0
CRASHES = 3
WORK_S = 1.5
QUEUE = callers.Queue("batch", "desk")
STEPS = [{"count": 300, "cpu": 4000, "memMb": 256, "estMs": 1500, "needs": "a"}]


async def play(stage: case.Stage) -> None:
    """Crash one minion after the other while tasks wait for room."""
    async with stage.run(3, {"desk": 8}, [QUEUE]):
        await stage.callers.submit(QUEUE, STEPS)
        await asyncio.sleep(1.0)
        for number in range(CRASHES):
            minion = stage.world.minions[number]
            if stage.is_troubled:
                minion.crash()
                await asyncio.sleep(DOWN_S)
                await minion.start(OTHER_KIND)
            await asyncio.sleep(GAP_S - DOWN_S)


if __name__ == "__main__":
    case.main(__file__, play, lambda task: WORK_S)
