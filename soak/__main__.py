"""Runs the soak: ``python -m soak --seed N`` or ``--seeds N`` for fresh ones."""

import asyncio
import pathlib
import random
import secrets
import signal
import tempfile

import click

from clementinespar_adapter import standin
from soak import callers, faults, fleet

SETTLE_S = 30.0  # after the last fault, in which all accepted jobs must be done
LIMIT_S = 75.0  # after the time of faults, a seed that has not ended has failed
POOLS = {"work": 4}
REGRESSION_SEEDS = pathlib.Path(__file__).with_name("regression_seeds.txt")
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "q",
            "host": "127.0.0.1",
            "pathPrefix": "/q/",
            "service": "work",
            "maxAttempts": 3,
            "targetDurationMs": 600,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "work"}],
    "limits": {"maxBodyBytes": 262144},
}


async def play(seed: int, seconds: float, node_count: int) -> list[str]:
    """Play one seed; return what was broken."""
    chance = random.Random(seed)
    platform = standin.Platform()
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    platform.put("keyed.op", "config", CONFIGURATION)
    async with (
        standin.serve(platform, POOLS) as store,
        fleet.run_nodes(node_count, folder, store) as nodes,
    ):
        await wait_ready(nodes)
        crowd = callers.Callers(platform, nodes, random.Random(seed + 1))
        injector = faults.Injector(platform, nodes, chance)
        async with asyncio.TaskGroup() as group:
            group.create_task(crowd.run(seconds))
            group.create_task(injector.run(seconds))
        injector.heal()
        problems = await settle(platform, crowd)
    problems += platform.violations
    if not crowd.accepted:
        problems.append("no job was accepted")
    problems += [
        f"{job_id} was refused and ran"
        for job_id in sorted(crowd.refused & platform.started_jobs)
    ]
    click.echo(
        f"seed {seed}: {injector.count} faults, {len(crowd.accepted)} jobs accepted,"
        f" {len(crowd.refused)} refused, {platform.starts} starts,"
        f" {len(problems)} problems, logs in {folder}"
    )
    return problems


async def wait_ready(nodes: list[fleet.Node]) -> None:
    """Wait until each node accepts connections."""
    for node in nodes:
        host, _, port = node.callers.rpartition(":")
        for _ in range(200):
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.05)
            else:
                writer.close()
                break


async def settle(platform: standin.Platform, crowd: callers.Callers) -> list[str]:
    """Wait until each accepted job has its final state; return what has not."""
    loop = asyncio.get_running_loop()
    end = loop.time() + SETTLE_S
    missing: dict[str, str] = dict.fromkeys(sorted(crowd.accepted), "")
    while missing and loop.time() < end:
        for job_id in list(missing):
            missing[job_id] = state = await crowd.read_state(job_id)
            is_right = state == "done" or (
                state == "cancelled" and job_id in crowd.cancelled
            )
            if is_right or (job_id in platform.lasting and state == "running"):
                del missing[job_id]
        await asyncio.sleep(0.2)
    return [f"{job_id} is shown as {state}" for job_id, state in missing.items()]


def read_regression_seeds(path: pathlib.Path) -> list[int]:
    """Return the first word of each line that is no comment."""
    lines = path.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line and line[0] != "#"]


@click.command()
@click.option("--seed", type=int, help="Play this seed.")
@click.option("--seeds", default=1, show_default=True, help="Play so many fresh seeds.")
@click.option("--regressions", is_flag=True, help="Play the seeds that failed once.")
@click.option("--seconds", default=15.0, show_default=True, help="Time of faults.")
@click.option("--nodes", default=4, show_default=True, help="Processes of the program.")
def main(
    seed: int | None, seeds: int, regressions: bool, seconds: float, nodes: int
) -> None:
    """Play seeds and fail if a promise was broken."""
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    if regressions:
        chosen = read_regression_seeds(REGRESSION_SEEDS)
    elif seed is not None:
        chosen = [seed]
    else:
        chosen = [secrets.randbits(31) for _ in range(seeds)]
    broken = []
    for number in chosen:
        try:
            problems = asyncio.run(
                asyncio.wait_for(play(number, seconds, nodes), seconds + LIMIT_S)
            )
        except TimeoutError:
            problems = ["the seed did not end in time"]
        for problem in problems[:10]:
            click.echo(f"  {problem}")
        if problems:
            broken.append(number)
    click.echo(f"{len(chosen) - len(broken)} passed, {len(broken)} failed")
    if broken:
        raise click.exceptions.Exit(1)


if __name__ == "__main__":
    main()
