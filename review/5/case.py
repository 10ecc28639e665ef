"""A configuration sends a path to another service while clients repeat jobs."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import scenario  # noqa: E402

PREFIX = "/q/"
OLD, NEW = "portions", "costing"
JOBS = 6
WORK_S = 8.0
SUBMIT_AT_S = 5.0
CHANGE_AT_S = 6.0
REPEAT_AT_S = 9.0
CANCEL_AT_S = 14.0
CANCEL_S = 3.0
STOP_S = 0.2
END_S = 24.0
LASTING_ID = f"{0xFFFF:016x}"


async def play() -> list[str] | None:
    """Repeat submissions after the route has changed, and cancel a job that lasts."""
    config = scenario.make_config(1, {PREFIX: OLD, "/other/": NEW})
    async with scenario.open_scenario(FOLDER, config, {OLD: 4, NEW: 4}) as scene:
        for node in scene.nodes:
            if not await node.wait_ready():
                return None
        await asyncio.sleep(SUBMIT_AT_S - scene.record.now())
        jobs = {}
        for number in range(JOBS):
            jobs[f"{number:016x}"] = {
                "spec": "order",
                "steps": [{"count": 2, "cpu": 500, "memMb": 256, "estMs": 8000}],
            }
        for number, (job_id, body) in enumerate(jobs.items()):
            if not await scene.submit(PREFIX, job_id, body, WORK_S, OLD, number):
                return None
        lasting = {
            "spec": "batch",
            "steps": [{"count": 2, "cpu": 500, "memMb": 256, "longRunning": True}],
        }
        if not await scene.submit(PREFIX, LASTING_ID, lasting, 1000.0, OLD):
            return None
        await asyncio.sleep(CHANGE_AT_S - scene.record.now())
        if scenario.has_trouble():
            added = scenario.make_config(7, {PREFIX: NEW})["routes"][0]
            added["name"] = "r-added"
            config = scenario.make_config(7, {PREFIX: OLD, "/other/": NEW})
            config["routes"] = [added, config["routes"][1]]
            scene.store.put("keyed.op", "config", config)
            scene.record.write(
                "configuration 7 removes the route and adds one to another service",
                prefix=PREFIX,
                old=OLD,
                new=NEW,
            )
        await asyncio.sleep(REPEAT_AT_S - scene.record.now())
        for number, (job_id, body) in enumerate(jobs.items()):
            node = scene.nodes[(number + 1) % len(scene.nodes)]
            await scene.call(node, "POST", f"{PREFIX}{job_id}", body)
        await asyncio.sleep(CANCEL_AT_S - scene.record.now())
        status, _ = await scene.call(
            scene.nodes[0], "DELETE", f"{PREFIX}{LASTING_ID}", None
        )
        cancelled_at = scene.record.now()
        await asyncio.sleep(END_S - scene.record.now())
        still = [
            f"{run.task} runs on {minion.minion_id}"
            for minion in scene.fleet.minions
            for run in minion.runs.values()
            if run.task.startswith(LASTING_ID)
        ]
        if status in (200, 410) and END_S - cancelled_at > CANCEL_S + STOP_S:
            for text in still:
                scene.checks.add_problem(
                    "UNASKED",
                    f"{text} {END_S - cancelled_at:.1f} s after its job's cancelling"
                    f" was answered with {status}",
                )
        for text in scene.checks.find_repeated():
            scene.checks.add_problem("TWICE", text)
        return scene.checks.problems


scenario.run_case(play)
