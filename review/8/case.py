"""A cancelled job whose queue has moved, and the loss of one node."""

import asyncio
import dataclasses
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness_2 import callers, case  # noqa: E402

CANCEL_S = 3.0  # the bound `cancel_ms`
IN_FORCE_S = 3.0  # after the new version; the bound `configMs` is 2 s
RESTART_S = 0.25
WATCHED_S = 8.0
QUEUE = callers.Queue("quick", "desk")
OTHERS = [callers.Queue(f"other{n}", f"desk{n}") for n in range(4)]
LONG = [{"count": 400, "cpu": 8000, "memMb": 256, "estMs": 1000}]
SHORT = [{"count": 1, "cpu": 1000, "memMb": 256, "estMs": 300}]


async def play(stage: case.Stage) -> None:
    """Move the queue of a job, kill a node, and cancel the job there."""
    minions = {queue.service: 2 for queue in OTHERS} | {QUEUE.service: 4}
    async with stage.run(4, minions, [QUEUE, *OTHERS]):
        seen = {
            queue.name: await stage.callers.submit(queue, SHORT) for queue in OTHERS
        }
        job_id = await stage.callers.submit(QUEUE, LONG)
        await asyncio.sleep(1.0)
        holder = stage.find_holder(job_id)
        target = next(
            queue
            for queue in OTHERS
            if stage.find_holder(seen[queue.name]) not in (None, holder)
        )
        node = stage.find_holder(seen[target.name])
        assert holder is not None
        assert node is not None
        stage.log.add(
            f"{holder.name} holds the job, {node.name} that of {target.service}"
        )
        if stage.is_troubled:
            stage.log.add(
                f"version 2 removes the route and adds one to {target.service}"
            )
            moved = dataclasses.replace(QUEUE, service=target.service, route="r-2")
            fields = callers.configuration(2, [moved, *OTHERS], sorted(minions))
            stage.store.put("keyed.op", "config", fields)
            await asyncio.sleep(IN_FORCE_S)
            node.signal(signal.SIGKILL)
            await asyncio.sleep(RESTART_S)
            node.start()
        while not await node.is_ready():
            await asyncio.sleep(0.02)
        stage.log.add(f"{node.name} is ready")
        status = 0
        while not 200 <= status < 300 and status != 410:
            status = await stage.callers.cancel(node, QUEUE, job_id)
        acked_at = time.monotonic()
        await asyncio.sleep(CANCEL_S + WATCHED_S)
        late = [start for start in stage.world.starts if start[0] - acked_at > CANCEL_S]
        late = [start for start in late if start[1].startswith(job_id)]
        if late:
            stage.log.add_break(
                f"UNASKED: {len(late)} tasks of job {job_id} start later than"
                f" {CANCEL_S} s after its cancelling was acknowledged, the last one"
                f" {late[-1][0] - acked_at:.1f} s after"
            )


if __name__ == "__main__":
    case.main(__file__, play, lambda task: 1.0)
