"""Running jobs of a queue that has moved, a killed node, and repeated requests."""

import asyncio
import dataclasses
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness_2 import callers, case  # noqa: E402

JOBS = 3
WORK_S = 9.0
IN_FORCE_S = 2.5  # after the new version; the bound `configMs` is 2 s
RESTART_S = 0.25
QUEUE = callers.Queue("quick", "desk")
# Another route for the same path, in place of the first one.
MOVED = dataclasses.replace(QUEUE, service="dispatch", route="r-2")
OTHER = callers.Queue("other", "dispatch")
SERVICES = ["desk", "dispatch"]
STEPS = [{"count": 1, "cpu": 1000, "memMb": 256, "estMs": 9000}]
SHORT = [{"count": 1, "cpu": 1000, "memMb": 256, "estMs": 300}]


async def play(stage: case.Stage) -> None:
    """Move the queue, kill a node that owns neither service, repeat the requests."""
    async with stage.run(4, dict.fromkeys(SERVICES, 4), [QUEUE, OTHER]):
        other_id = await stage.callers.submit(OTHER, SHORT)
        accepted = [await stage.callers.submit(QUEUE, STEPS) for _ in range(JOBS)]
        await asyncio.sleep(0.5)
        holders = [stage.find_holder(other_id), stage.find_holder(accepted[0])]
        node = next(node for node in stage.nodes if node not in holders)
        if stage.is_troubled:
            stage.log.add("version 2 removes the route and adds one to dispatch")
            fields = callers.configuration(2, [MOVED, OTHER], SERVICES)
            stage.store.put("keyed.op", "config", fields)
        await asyncio.sleep(IN_FORCE_S)
        if stage.is_troubled:
            node.signal(signal.SIGKILL)
            await asyncio.sleep(RESTART_S)
            node.start()
        while not await node.is_ready():
            await asyncio.sleep(0.02)
        stage.log.add(f"{node.name} is ready")
        for job_id in accepted:
            stage.log.add(f"the request for job {job_id} arrives again")
            await stage.callers.submit(QUEUE, STEPS, job_id, nodes=[node])
        await asyncio.sleep(WORK_S)


def find_run_time_s(task: str) -> float:
    """Return how long a task works."""
    return WORK_S


if __name__ == "__main__":
    case.main(__file__, play, find_run_time_s)
