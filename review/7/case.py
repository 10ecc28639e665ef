"""A done job, a queue that moves, the loss of all processes, a repeated request."""

import asyncio
import dataclasses
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness_2 import callers, case  # noqa: E402

JOBS = 4
RESTART_S = 0.5
LATER_S = 3.5
QUEUE = callers.Queue("quick", "desk")
# Another route for the same path, in place of the first one.
MOVED = dataclasses.replace(QUEUE, service="dispatch", route="r-2")
SERVICES = ["desk", "dispatch"]
STEPS = [{"count": 1, "cpu": 1000, "memMb": 256, "estMs": 500}]


async def play(stage: case.Stage) -> None:
    """Play one series of these events."""
    async with stage.run(3, dict.fromkeys(SERVICES, 4), [QUEUE]):
        accepted = [await stage.callers.submit(QUEUE, STEPS) for _ in range(JOBS)]
        for job_id in accepted:
            while (await stage.callers.ask(stage.nodes[0], QUEUE, job_id))[1] != "done":
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
        if stage.is_troubled:
            stage.log.add("version 2 removes the route and adds one to dispatch")
            fields = callers.configuration(2, [MOVED], SERVICES)
            stage.store.put("keyed.op", "config", fields)
            for node in stage.nodes:
                node.signal(signal.SIGKILL)
            await asyncio.sleep(RESTART_S)
            for node in stage.nodes:
                node.start()
        if not await stage.callers.wait_served(QUEUE, 20.0):
            raise RuntimeError("the system does not serve again")
        # By now, each node has asked the owners for jobs of moved queues.
        await asyncio.sleep(LATER_S)
        for job_id in accepted:
            stage.log.add(f"the request for job {job_id} arrives again")
            await stage.callers.submit(QUEUE, STEPS, job_id)
        await asyncio.sleep(3.0)
        for job_id in accepted:
            for node in stage.nodes:
                await stage.callers.ask(node, QUEUE, job_id)


if __name__ == "__main__":
    case.main(__file__, play, lambda task: 0.5)
