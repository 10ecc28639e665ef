"""Runs the soak: ``python -m soak --seed N``, or ``--seeds N`` for random seeds."""

import asyncio
import contextlib
import pathlib
import random
import re
import secrets
import signal
import tempfile

import click

from clementinespar import background
from clementinespar.tests import known_failures
from clementinespar_adapter import standin
from soak import callers, faults, fleet, moves, splits, standstill

SETTLE_TIMEOUT_S = 45.0  # for accepted jobs to end after the last fault, and a calm
TIMEOUT_MARGIN_S = 90.0  # for a seed to end after its fault injection
POOLS = {"work": 4}
MOVE_POOLS = {"work": 4, "side": 4}  # between which the queue moves
FINAL_STATES = ("done", "failed", "cancelled")
MIN_DEATHS = 2  # of workers under one task of a job before the job may fail
REGRESSION_SEEDS = pathlib.Path(__file__).with_name("regression_seeds.txt")


async def run_seed(
    seed: int, seconds: float, node_count: int, has_moves: bool
) -> list[str]:
    """Run one seed; return the problems found."""
    pools = MOVE_POOLS if has_moves else POOLS
    rng = random.Random(seed)
    platform = standin.Platform()
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    platform.put("keyed.op", "config", moves.make_configuration(1, list(pools)))
    async with (
        standin.serve(platform, pools) as store,
        fleet.run_nodes(node_count, folder, store, platform) as nodes,
        contextlib.AsyncExitStack() as stack,
    ):
        await wait_ready(nodes)
        load = callers.Callers(
            platform,
            nodes,
            random.Random(seed + 1),
            random.Random(seed + 4) if has_moves else None,
        )
        mover = moves.QueueMover(platform, nodes, list(pools), random.Random(seed + 5))
        stack.push_async_callback(load.close)
        injector = faults.Injector(platform, nodes, rng)
        splitter = splits.Splitter(
            platform,
            nodes,
            load,
            random.Random(seed + 2),
            random.Random(seed + 3),
            folder,
        )
        watch = standstill.StandstillWatch(platform, load)
        async with background.running(watch.run()):
            async with asyncio.TaskGroup() as group:
                group.create_task(load.run(seconds))
                group.create_task(injector.run(seconds, lambda: splitter.is_quiet))
                group.create_task(splitter.run(seconds))
                if has_moves:
                    group.create_task(mover.run(seconds))
            injector.end_faults()
            problems = await settle(platform, load, watch)
    problems = platform.violations + problems
    problems += [
        f"{job_id} lasts and runs although its cancellation was acknowledged"
        for job_id in sorted(load.cancelled & platform.find_running_jobs())
    ]
    if not load.accepted:
        problems.append("no job was accepted")
    problems += [
        f"{job_id} was refused, but its tasks started"
        for job_id in sorted(load.refused & platform.started_jobs)
    ]
    click.echo(
        f"seed {seed}: {injector.count} faults, {splitter.count} splits,"
        f" {mover.count} moves of the queue,"
        f" {len(load.accepted)} jobs accepted,"
        f" {len(load.refused)} refused, {len(load.failed)} failed,"
        f" {platform.starts} starts,"
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
                with contextlib.suppress(OSError):
                    await writer.wait_closed()
                break


async def settle(
    platform: standin.Platform,
    load: callers.Callers,
    watch: standstill.StandstillWatch,
) -> list[str]:
    """Wait for final states and a calm; return the jobs that violate a guarantee.

    A job with a task that crashes workers may stay unfinished without further crashes,
    which would end the calm.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + SETTLE_TIMEOUT_S
    missing: dict[str, str] = dict.fromkeys(sorted(load.accepted), "")
    wrong: dict[str, str] = {}
    deadly = {job_id for job_id in load.accepted if platform.is_deadly(job_id)}
    while (missing.keys() - deadly or not watch.is_judged()) and loop.time() < end:
        for job_id in list(missing):
            missing[job_id] = state = await load.read_state(job_id)
            if is_allowed_end(platform, load, job_id, state):
                del missing[job_id]
            elif state in FINAL_STATES:
                wrong[job_id] = missing.pop(job_id)
        await asyncio.sleep(0.2)
    # A job that lasts may have failed after it was seen running.
    for job_id in sorted(load.kept):
        state = await load.read_state(job_id)
        if not is_allowed_end(platform, load, job_id, state):
            wrong[job_id] = state
    wrong |= {
        job_id: state
        for job_id, state in missing.items()
        if job_id not in deadly or state not in ("queued", "running")
    }
    problems = [
        f"{job_id} was accepted, but its last reported state is {state};"
        f" {platform.count_deaths(job_id)} workers died under one of its tasks"
        for job_id, state in wrong.items()
    ]
    problems += [
        f"{job_id} lasts and stood still for {seconds:.1f} s"
        for job_id, seconds in watch.standstills.items()
        if job_id not in load.failed
    ]
    if not watch.is_judged():
        return [*problems, "it did not become calm, so lasting tasks are not judged"]
    return problems + [
        f"{job_id} lasts and does not run at the end"
        for job_id in sorted(watch.find_stopped() - load.failed)
    ]


def is_allowed_end(
    platform: standin.Platform, load: callers.Callers, job_id: str, state: str
) -> bool:
    """Whether a job may end in a state, or go on if it lasts."""
    if state == "failed":
        return platform.count_deaths(job_id) >= MIN_DEATHS
    if state == "cancelled":
        return job_id in load.cancelled
    if state == "done":
        return not platform.is_deadly(job_id)
    return state == "running" and job_id in platform.lasting


def read_regression_seeds(path: pathlib.Path) -> list[int]:
    """Return the first word of each line that is not a comment."""
    lines = path.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line and line[0] != "#"]


def find_known_patterns(seed: int) -> list[str]:
    """Return the patterns of the problems that KNOWN-RED.txt lists for a seed."""
    entries = (entry.partition(" ") for entry in known_failures.read("soak"))
    return [pattern for number, _, pattern in entries if number == str(seed)]


@click.command()
@click.option("--seed", type=int, help="Run this seed.")
@click.option(
    "--seeds", default=1, show_default=True, help="Run this many random seeds."
)
@click.option("--regressions", is_flag=True, help="Run the seeds that failed before.")
@click.option(
    "--seconds", default=15.0, show_default=True, help="Duration of fault injection."
)
@click.option("--nodes", default=4, show_default=True, help="Number of nodes.")
@click.option(
    "--moves", "has_moves", is_flag=True, help="Move the queue; repeat its requests."
)
def main(
    seed: int | None,
    seeds: int,
    regressions: bool,
    seconds: float,
    nodes: int,
    has_moves: bool,
) -> None:
    """Run seeds and fail if a guarantee of the product was violated.

    A problem that KNOWN-RED.txt lists for the seed is printed and passed over.
    """
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    if regressions:
        selected_seeds = read_regression_seeds(REGRESSION_SEEDS)
    elif seed is not None:
        selected_seeds = [seed]
    else:
        selected_seeds = [secrets.randbits(31) for _ in range(seeds)]
    failed_seeds = []
    for number in selected_seeds:
        try:
            problems = asyncio.run(
                asyncio.wait_for(
                    run_seed(number, seconds, nodes, has_moves),
                    seconds + TIMEOUT_MARGIN_S,
                )
            )
        except TimeoutError:
            problems = ["the seed did not end in time"]
        known = find_known_patterns(number)
        unknown = [p for p in problems if not any(re.search(k, p) for k in known)]
        for problem in problems[:10]:
            click.echo(f"  {'' if problem in unknown else 'KNOWN RED: '}{problem}")
        if unknown:
            failed_seeds.append(number)
    click.echo(
        f"{len(selected_seeds) - len(failed_seeds)} passed, {len(failed_seeds)} failed"
    )
    if failed_seeds:
        raise click.exceptions.Exit(1)


if __name__ == "__main__":
    main()
