"""An entry of another writer stands among those of the minions."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import scenario  # noqa: E402

PREFIX = "/q/"
POOL = "work"
WORK_S = 0.4
JOB_EVERY_S = 0.5
ENTRY_AT_S = 5.0
RELEASE_AT_S = 8.0  # the minions are replaced from here on, one after the other
RELEASE_GAP_S = 2.0
DRAIN_S = 2.5
TRAFFIC_END_S = 30.0
FINISH_S = 14.0
# The capacity is a number that JSON does not have, so the bytes cannot be read.
FOREIGN_ENTRY = (
    b'{"service":"work","addr":"127.0.0.1:9","zone":"z1","version":"v1","slots":8,'
    b'"state":"ready","coldLeftMs":0,"capacity":{"cpu":Infinity,"memMb":32768,"gpu":0},'
    b'"labels":["a","r1-9"],"seq":1,"born":1}'
)


async def replace_minions(scene: scenario.Scenario) -> None:
    """Add a minion for each of the first ones, which then drains and leaves."""
    for old in scene.fleet.up(POOL):
        await scene.fleet.add(POOL)
        old.drain()
        await asyncio.sleep(DRAIN_S)
        old.leave()
        await asyncio.sleep(RELEASE_GAP_S)


async def play() -> list[str] | None:
    """Replace the minions of a service beside such an entry, while jobs come."""
    config = scenario.make_config(1, {PREFIX: POOL})
    async with scenario.open_scenario(FOLDER, config, {POOL: 4}) as scene:
        for node in scene.nodes:
            if not await node.wait_ready():
                return None
        submissions: list[asyncio.Task[bool]] = []
        release: asyncio.Task[None] | None = None
        is_entry_due = scenario.has_trouble()
        while scene.record.now() < TRAFFIC_END_S:
            if is_entry_due and scene.record.now() >= ENTRY_AT_S:
                is_entry_due = False
                scene.store.put_raw("keyed.servers", "i-other", FOREIGN_ENTRY)
                scene.record.write("another writer's entry", key="servers/i-other")
            if release is None and scene.record.now() >= RELEASE_AT_S:
                release = asyncio.create_task(replace_minions(scene))
            number = len(submissions)
            body = {
                "spec": "quote",
                "steps": [{"count": 2, "cpu": 500, "memMb": 256, "estMs": 400}],
            }
            submissions.append(
                asyncio.create_task(
                    scene.submit(PREFIX, f"{number:016x}", body, WORK_S, POOL, number)
                )
            )
            await asyncio.sleep(JOB_EVERY_S)
        await asyncio.gather(*submissions)
        if release is not None:
            await release
        await asyncio.sleep(TRAFFIC_END_S + FINISH_S - scene.record.now())
        if not scene.checks.done:
            return None
        for job_id, at in scene.accepted.items():
            state = await scene.read_state(PREFIX, job_id)
            if state != "done":
                started = any(task.startswith(job_id) for task in scene.checks.starts)
                scene.checks.add_problem(
                    "LOST",
                    f"{job_id}, accepted at {at:.3f}, is {state} {FINISH_S:.0f} s after"
                    f" the traffic with {len(scene.fleet.up(POOL))} idle minions;"
                    f" {'some' if started else 'none'} of its tasks has started",
                )
        return scene.checks.problems


scenario.run_case(play)
