"""Scheduled jobs whose owner is killed: occurrences that have ended run again."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import scenario  # noqa: E402

PREFIX = "/q/"
POOL = "work"
JOBS = 6
PERIOD_MS = 2_000
WORK_S = 0.5
KILLS_AT_S = (8.0, 15.0, 22.0, 29.0, 36.0)
DOWN_S = 3.0
END_S = 46.0


async def play() -> list[str] | None:
    """Kill the owner of a queue with scheduled jobs, one node at a time."""
    config = scenario.make_config(1, {PREFIX: POOL})
    async with scenario.open_scenario(FOLDER, config, {POOL: 4}) as scene:
        for node in scene.nodes:
            if not await node.wait_ready():
                return None
        first_ms = int(time.time() * 1000) + 1_000
        for number in range(JOBS):
            body = {
                "spec": "nightly",
                "steps": [{"count": 3, "cpu": 500, "memMb": 256, "estMs": 500}],
                "firstMs": first_ms + number * PERIOD_MS // JOBS,
                "periodMs": PERIOD_MS,
                "repeatCount": 20,
            }
            if not await scene.submit(
                PREFIX, f"{number:016x}", body, WORK_S, POOL, number
            ):
                return None
        kills = set()
        for at in KILLS_AT_S:
            await asyncio.sleep(at - scene.record.now())
            owner = scene.find_owner(POOL)
            if owner is None:
                return None
            if scenario.has_trouble():
                kills.add(asyncio.create_task(owner.kill(DOWN_S)))
        await asyncio.sleep(END_S - scene.record.now())
        await asyncio.gather(*kills)
        if not scene.checks.done:
            return None
        for text in scene.checks.find_repeated():
            scene.checks.add_problem("TWICE", text)
        return scene.checks.problems


scenario.run_case(play)
