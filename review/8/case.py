"""A task that lasts, whose minions crash three times, and the others of its job."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness_2 import callers, case, minions  # noqa: E402

CRASHES = 3
CRASH_AFTER_S = 0.6  # of the task's run
DOWN_S = 0.4
QUEUE = callers.Queue("batch", "desk")
TASKS = 5
STEPS = [
    {
        "count": TASKS,
        "cpu": 4000,
        "memMb": 256,
        "estMs": 900,
        "longRunning": True,
        "mayMiss": 1,
        "maxPerServer": 1,
    }
]


async def restart(minion: minions.Minion) -> None:
    """Start a minion again that has crashed."""
    await asyncio.sleep(DOWN_S)
    await minion.start()


async def play(stage: case.Stage) -> None:
    """Crash the minion that runs one task, three times, one minion at a time."""
    async with stage.run(3, {"desk": 8}, [QUEUE]):
        job_id = await stage.callers.submit(QUEUE, STEPS)
        task = f"{job_id}.0.0.0"
        restarts = []
        for _ in range(CRASHES if stage.is_troubled else 0):
            running = None
            while running is None:
                await asyncio.sleep(0.01)
                running = next(
                    (
                        minion
                        for minion in stage.world.minions
                        if any(run.task == task for run in minion.runs.values())
                    ),
                    None,
                )
            await asyncio.sleep(CRASH_AFTER_S)
            running.crash()
            restarts.append(asyncio.create_task(restart(running)))
        await asyncio.gather(*restarts)
        await asyncio.sleep(8.0)
        for node in stage.nodes:
            status, state = await stage.callers.ask(node, QUEUE, job_id)
            if status == 200 and state in ("failed", "cancelled"):
                stage.log.add_break(
                    f"LOST: job {job_id} is shown as {state}; no run of it has ended"
                    " failed, and nobody has cancelled it"
                )
        at_work = sum(len(minion.runs) for minion in stage.world.minions)
        stage.log.add(f"{at_work} of {TASKS} tasks run")


if __name__ == "__main__":
    case.main(__file__, play, lambda task: 1.0)
