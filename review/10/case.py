"""A minion that fails what it is told to start, and the number of waiting jobs."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness_2 import callers, case  # noqa: E402

MINIONS = 12
FAILING_S = 6.4
WAITING_S = 5.0  # the bounds `visible_ms` + 2 s
JOBS = 16
QUICK = callers.Queue("quick", "desk")
BATCH = callers.Queue("batch", "desk")
LASTING = [
    {
        "count": MINIONS - 1,
        "cpu": 16_000,
        "memMb": 256,
        "longRunning": True,
        "maxPerServer": 1,
    }
]
SHORT = [{"count": 1, "cpu": 1000, "memMb": 256, "estMs": 1000}]


async def check(stage: case.Stage, accepted: list[str]) -> None:
    """Ask all nodes for the number of waiting jobs, and judge their answers."""
    for node in stage.nodes:
        now = time.monotonic()
        # Those that have to be counted when the answer is given.
        old = [
            job_id
            for job_id in accepted
            if now - stage.callers.accepted_at[job_id] > WAITING_S
        ]
        shown = await stage.callers.count_waiting(node, QUICK)
        begun = {task.split(".")[0] for _, task, _, _ in stage.world.starts}
        waiting = [job_id for job_id in old if job_id not in begun]
        if shown is not None and shown < len(waiting) / 2:
            stage.log.add_break(
                f"MIXED: {node.name} gives {shown} as waiting; {len(waiting)} jobs were"
                f" accepted over {WAITING_S} s before and haven't begun"
            )


async def play(stage: case.Stage) -> None:
    """Let the only minion with room fail all starts while jobs come."""
    async with stage.run(3, {"desk": MINIONS}, [QUICK, BATCH]):
        await stage.callers.submit(BATCH, LASTING)
        await asyncio.sleep(2.0)
        (failing,) = (m for m in stage.world.minions if not m.runs)
        if stage.is_troubled:
            stage.log.add(f"{failing.worker_id} fails what it is told to start")
            failing.is_unhealthy = True
        began_at = time.monotonic()
        accepted = [await stage.callers.submit(QUICK, SHORT) for _ in range(JOBS)]
        while time.monotonic() < began_at + FAILING_S - 0.1:
            await asyncio.sleep(0.3)
            await check(stage, accepted)
        failing.is_unhealthy = False
        stage.log.add(f"{failing.worker_id} is sound")
        await asyncio.sleep(6.0)
        await check(stage, accepted)


if __name__ == "__main__":
    case.main(__file__, play, lambda task: 1.0)
