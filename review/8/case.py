"""A task whose minions crash three times, and its job."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness_2 import callers, case  # noqa: E402

WORK_S = 2.0
CRASHES = 3
CRASH_AFTER_S = 0.6  # of the task's run
DOWN_S = 0.4
QUEUE = callers.Queue("quick", "desk")
STEPS = [{"count": 1, "cpu": 1000, "memMb": 256, "estMs": 2000}]


async def play(stage: case.Stage) -> None:
    """Crash the minion that runs the task, three times, one minion at a time."""
    async with stage.run(3, {"desk": 8}, [QUEUE]):
        job_id = await stage.callers.submit(QUEUE, STEPS)
        restarts = []
        for _ in range(CRASHES if stage.is_troubled else 0):
            running = None
            while running is None:
                await asyncio.sleep(0.01)
                running = next((m for m in stage.world.minions if m.runs), None)
            await asyncio.sleep(CRASH_AFTER_S)
            running.crash()
            restarts.append(asyncio.create_task(_restart(running)))
        for number in range(20):
            await asyncio.sleep(0.5)
            node = stage.nodes[number % len(stage.nodes)]
            status, state = await stage.callers.ask(node, QUEUE, job_id)
            if status == 200 and state in ("failed", "cancelled"):
                stage.log.add_break(
                    f"LOST: job {job_id} is shown as {state}; no run of it has ended"
                    " failed, and nobody has cancelled it"
                )
                break
            if state == "done":
                break
        await asyncio.gather(*restarts)


async def _restart(minion: object) -> None:
    await asyncio.sleep(DOWN_S)
    await minion.start()  # type: ignore[attr-defined]


if __name__ == "__main__":
    case.main(__file__, play, lambda task: WORK_S)
