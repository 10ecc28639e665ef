"""A queue moves to another service while jobs wait, and a node is started again."""

import asyncio
import dataclasses
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness_2 import callers, case  # noqa: E402

MINIONS = 3  # of each service
JOBS = 12
WAITING_S = 5.0  # the bounds `visible_ms` + 2 s
CONTACT_S = 3.0  # the bound `contactMs`
RESTART_S = 0.5
ASKED = 8
QUICK = callers.Queue("quick", "desk")
MOVED = dataclasses.replace(QUICK, service="dispatch")
BATCHES = [callers.Queue("batch", "desk"), callers.Queue("batch2", "dispatch")]
SERVICES = ["desk", "dispatch"]
LASTING = [
    {
        "count": MINIONS,
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
    """Fill both services, let jobs wait, move their queue, restart a node."""
    queues = [QUICK, *BATCHES]
    async with stage.run(3, dict.fromkeys(SERVICES, MINIONS), queues):
        for queue in BATCHES:
            await stage.callers.submit(queue, LASTING)
        await asyncio.sleep(1.0)
        accepted = [await stage.callers.submit(QUICK, SHORT) for _ in range(JOBS)]
        await asyncio.sleep(1.0)
        if stage.is_troubled:
            stage.log.add("version 2 sends the queue to the other service")
            fields = callers.configuration(2, [MOVED, *BATCHES], SERVICES)
            stage.store.put("keyed.op", "config", fields)
        await asyncio.sleep(WAITING_S)
        await check(stage, accepted)
        node = stage.nodes[0]
        if stage.is_troubled:
            node.signal(signal.SIGTERM)
            await asyncio.to_thread(node.process.wait)
            await asyncio.sleep(RESTART_S)
            node.start()
            if not await stage.callers.wait_served(QUICK, 20.0):
                raise RuntimeError("the node does not serve again")
        await asyncio.sleep(CONTACT_S)
        for _ in range(ASKED):
            await asyncio.sleep(1.0)
            await check(stage, accepted)


if __name__ == "__main__":
    case.main(__file__, play, lambda task: 1.0)
