"""Control overhead of entry nodes that run as separate processes.

``python -m bench.capacity.nodes idle HOSTS POOLS TEAMS NODES SECONDS`` prints, as JSON,
what one node uses at rest; with ``waves`` instead of ``idle``, while maintenance
waves run in all pools. ``... publish HOSTS POOLS TEAMS NODES COUNT`` prints the time
until a document is in force on all nodes.
"""

import asyncio
import json
import statistics
import sys
import time

from bench import deployment as bench_deployment
from bench import fleets, processes, sockets

_SETTLE_S = 5.0  # covers the first host list, leases and planning rounds

Figures = dict[str, float]


async def measure_idle(
    size: fleets.FleetSize, node_count: int, seconds: float, has_waves: bool = False
) -> Figures:
    """Measure processor time, memory and traffic of a node that serves no requests.

    With waves, all hosts are due for maintenance at once: the highest rate of changes.
    """
    document = fleets.make_document(size, has_waves=has_waves)
    async with bench_deployment.running(document, node_count) as deployment:
        await bench_deployment.put_in_force(deployment, document)
        await asyncio.sleep(_SETTLE_S)
        pids = [node.pid for node in deployment.nodes]
        before = sockets.ByteCounter()
        before.sample(pids)
        counter = sockets.ByteCounter()
        counter.sample(pids)
        processor_before = [processes.processor_s(pid) for pid in pids]
        began = time.monotonic()
        while time.monotonic() - began < seconds:
            await asyncio.sleep(1.0)
            counter.sample(pids)
        elapsed_s = time.monotonic() - began
        core_shares = [
            (processes.processor_s(pid) - start) / elapsed_s
            for pid, start in zip(pids, processor_before, strict=True)
        ]
        memory = [processes.resident_bytes(pid) / 1e6 for pid in pids]
        use_by_port = deployment.use_by_port
        totals, totals_before = counter.totals(use_by_port), before.totals(use_by_port)
        figures = {
            f"{use}_bytes_per_s": (
                (totals.get(use, 0) - totals_before.get(use, 0))
                / elapsed_s
                / node_count
            )
            for use in ("log", "platform", "peers")
        }
        return figures | {
            "core_share_mean": statistics.mean(core_shares),
            "core_share_max": max(core_shares),
            "memory_mb_max": max(memory),
        }


async def measure_publish(
    size: fleets.FleetSize, node_count: int, count: int
) -> Figures:
    """Measure the time from an operator's call to a document in force on all nodes."""
    document = fleets.make_document(size)
    async with bench_deployment.running(document, node_count) as deployment:
        await bench_deployment.put_in_force(deployment, document)
        await asyncio.sleep(_SETTLE_S)
        published = await deployment.admin.get("/v1/documents/trial")
        revision = published.values["revision"]
        assert isinstance(revision, int)
        times_s = []
        for _ in range(count):
            began = time.monotonic()
            reply = await deployment.publish("trial", document, revision)
            times_s.append(time.monotonic() - began)
            if reply.get("not_in_force_on"):
                raise RuntimeError(f"not in force on all nodes: {reply}")
            new_revision = reply["revision"]
            assert isinstance(new_revision, int)
            revision = new_revision
            await asyncio.sleep(0.2)
        return {
            "publish_median_s": statistics.median(times_s),
            "publish_max_s": max(times_s),
        }


def main() -> None:
    """Run one measurement named on the command line."""
    name, hosts, pools, teams, node_count, amount = sys.argv[1:7]
    size = fleets.FleetSize(int(hosts), int(pools), int(teams))
    figures: Figures
    match name:
        case "idle" | "waves":
            figures = asyncio.run(
                measure_idle(size, int(node_count), int(amount), name == "waves")
            )
        case "publish":
            figures = asyncio.run(measure_publish(size, int(node_count), int(amount)))
        case _:
            raise SystemExit(f"unknown measurement {name}")
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
