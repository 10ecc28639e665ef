"""Measures how long the starts of a busy pool pause when its owner is lost."""

import asyncio
import statistics

import pytest

from clementinespar.jobs.tests import helpers, shared_group
from clementinespar.tests import paused_clock

SEEDS = 20
NODES = 7
STEPS = ("ownership", "loaded", "settled", "first start")
TARGET_S = 2.0
TASK_S = 0.5
DOWN_S = 2.0  # of all nodes, longer than their memberships


async def _lose_owner(nodes: shared_group.Nodes, kind: str) -> float:
    """Lose the owner of the pool; return the time from which recovery is measured."""
    loop = asyncio.get_running_loop()
    (number,) = nodes.owner_numbers(helpers.PARTITION)
    node = nodes.by_number[number]
    assert node.owner is not None
    lost_at = loop.time()
    if kind == "planned stop":
        await nodes.stop(number)
    elif kind == "killed":
        await nodes.stop(number, is_killed=True)
    elif kind == "all killed":
        for each in list(nodes.by_number):
            await nodes.stop(each, is_killed=True)
        await asyncio.sleep(DOWN_S)
        lost_at = loop.time()
        for each in range(NODES):
            await nodes.start(each)
    else:
        node.group.drops_calls = True
        nodes.store.cut_epochs.add(node.owner.epoch)
        if kind == "frozen":
            for worker_id in nodes.workers.workers:
                nodes.workers.cut_for.add((worker_id, node.owner.epoch))
        nodes.by_number.pop(number)  # it is not the next owner
        nodes.lost.append(node)
    return lost_at


async def _measure(kind: str, ended_workers: int, seed: int) -> list[float]:
    """Return the times from the loss to the end of each step."""
    loop = asyncio.get_running_loop()
    async with shared_group.run_nodes(seed) as nodes:
        spec = helpers.make_spec("a", 2_000)
        nodes.workers.task_s = TASK_S
        await helpers.submit(nodes.store, nodes.workers, spec)
        for number in range(NODES):
            await nodes.start(number)
        await asyncio.sleep(4.0 + nodes.random.random())
        for worker_id in nodes.random.sample(
            sorted(nodes.workers.workers), ended_workers
        ):
            nodes.workers.end(worker_id)
        lost_at = await _lose_owner(nodes, kind)
        times: list[float] = []
        start_times: list[float] = []  # after the step before
        nodes.workers.on_start = lambda task: start_times.append(loop.time())
        while len(times) < len(STEPS):
            await asyncio.sleep(0.002)
            owner = next(
                (
                    nodes.by_number[number].owner
                    for number in nodes.owner_numbers(helpers.PARTITION)
                ),
                None,
            )
            now = loop.time()
            if not times and owner is not None and not owner.is_lost:
                times.append(now - lost_at)
            if len(times) == 1 and owner is not None and owner.is_loaded:
                times.append(now - lost_at)
                start_times.clear()  # of a previous owner
            if len(times) == 2 and owner is not None and owner._worker_use.is_settled():
                times.append(now - lost_at)
            if len(times) == 3 and start_times:
                times.append(max(start_times[0] - lost_at, times[-1]))
        assert not nodes.workers.violations
        return times


@pytest.mark.parametrize("ended_workers", [0, 2])
@pytest.mark.parametrize(
    "kind", ["planned stop", "killed", "frozen", "disconnected", "all killed"]
)
def test_starts_resume_soon(kind: str, ended_workers: int) -> None:
    """Guards against waits in a takeover that neither safety nor a lease requires."""
    runs = [
        paused_clock.run(_measure(kind, ended_workers, seed)) for seed in range(SEEDS)
    ]
    columns = dict(zip(STEPS, zip(*runs, strict=True), strict=True))
    cells = [
        f"{statistics.median(times):.2f} ({max(times):.2f})"
        for times in columns.values()
    ]
    print("|", kind, "|", ended_workers, "|", " | ".join(cells), "|")
    # Two lists of hosts must show the death of a worker.
    waits = [after[2] - after[1] for after in runs]
    if kind != "all killed":  # there, the partition passes on once more meanwhile
        assert statistics.median(waits) < (0.45 if ended_workers else 0.05)
    assert max(columns["settled"]) < TARGET_S
    # The workers are busy with what a disconnected owner has started until the end.
    busy_s = TASK_S if kind == "disconnected" else 0.0
    assert max(columns["first start"]) < TARGET_S + busy_s
