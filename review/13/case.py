"""A job whose queue needs advice never starts if the advice takes over 3 s."""

import asyncio
import pathlib
import time
from typing import Any

import adviser
import minions
import scene

JOB = "00000000000000c1"
MINIONS = 30
FINISH_S = 14.0  # after the end of the traffic, by the pages
IDLE_S = 3.0
WATCH_S = 40.0
DECIDE_MS = 300
EACH_MS = 100 if scene.HAS_TROUBLE else 20
VALID_MS = 20_000


async def work(record: scene.Record) -> list[str]:
    """Play the case and return what was broken."""
    async with scene.open_scene(record) as stage:
        advice = adviser.Adviser(record, DECIDE_MS, EACH_MS, VALID_MS)
        await advice.server.start()
        stage.adviser = advice.server.address
        stage.fleet.check_ticket = advice.check  # type: ignore[method-assign]
        for number in range(MINIONS):
            await stage.fleet.add(f"m-{number}", "quotes", f"r{number // 4}")
        stage.configure(
            [{"name": "quotes"}],
            {"service": "quotes", "advice": advice.describe()},
            version=1,
        )
        await stage.start_nodes(2)
        await asyncio.sleep(3.0)
        step: dict[str, Any] = {"count": 2, "cpu": 1000, "memMb": 500, "estMs": 500}
        await stage.submit(JOB, [step], [minions.Work(work_s=0.5)])
        began = time.monotonic()
        idle_since = began
        state = ""
        while time.monotonic() - began < WATCH_S:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if stage.fleet.find_runs(JOB):
                idle_since = now
            if now - began > FINISH_S:
                _, answer = await stage.call("GET", JOB)
                state = str(answer.get("state"))
                if state == "done":
                    return []
                idle_s = now - max(idle_since, began + FINISH_S)
                if idle_s > IDLE_S:
                    break
                await asyncio.sleep(1.0)
        used = sum(len(minion.runs) for minion in stage.fleet.minions())
        return [
            f"LOST: job {JOB} is {state} {time.monotonic() - began:.1f} s after its"
            f" acceptance; for {IDLE_S:.0f} s it had nothing running while its tasks'"
            f" turn had come and {MINIONS} minions ran {used} tasks"
        ]


if __name__ == "__main__":
    scene.play(str(pathlib.Path(__file__).parent), work)
