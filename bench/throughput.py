"""Throughput and latency of one entry node, compared with direct calls of targets.

``python -m bench.throughput`` prints a table for 1, 64 and 512 callers, and the memory
of the node before, under and after the load.
"""

import argparse
import asyncio
import contextlib
import json
import pathlib
import statistics
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence

from tornado import curl_httpclient, httpclient

from bench import deployment as bench_deployment
from bench import processes, tables
from bench.policy import baselines
from clementinespar import identifiers
from clementinespar.documents import model
from demo import processes as demo_processes

CALLERS = (1, 64, 512)
TARGETS = 8
RUN_MS = 5.0  # run time of each request at the target
LOAD_PROCESSES = 4  # a single process of callers would be the bottleneck
Figures = dict[str, float]


def make_document() -> model.Document:
    """Return a document with one service on `TARGETS` targets."""
    host_ids = tuple(f"host-{index}" for index in range(TARGETS))
    return model.Document(
        user="throughput",
        hosts={
            host_id: model.Host(data_centre="dc-0", rack=f"rack-{index // 4}")
            for index, host_id in enumerate(host_ids)
        },
        pools={
            "pool": model.Pool(host_ids=host_ids, budget=model.Budget(min_available=6))
        },
        services={
            "scale": model.Service(
                pool="pool",
                max_queue=10_000,
                kinds={
                    "quote": model.Kind(),
                    "order": model.Kind(repeatable=False),
                },
            )
        },
    )


async def _run_caller(
    client: httpclient.AsyncHTTPClient,
    urls: Sequence[str],
    seconds: float,
    first_index: int,
) -> list[float]:
    """Send requests one after the other and return their latencies in seconds."""
    latencies: list[float] = []
    until = time.monotonic() + seconds
    index = first_index
    while time.monotonic() < until:
        index += 1
        began = time.monotonic()
        response = await client.fetch(
            httpclient.HTTPRequest(
                urls[index % len(urls)],
                method="POST",
                body=json.dumps({"run_ms": RUN_MS}),
                headers={
                    "X-Request-Id": identifiers.new_id(),
                    "Content-Type": "application/json",
                },
                request_timeout=30.0,
            ),
            raise_error=False,
        )
        if response.code == 200:
            latencies.append(time.monotonic() - began)
    return latencies


async def _run_callers(
    urls: Sequence[str], callers: int, seconds: float
) -> list[float]:
    client = curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=callers
    )
    with contextlib.closing(client):
        results = await asyncio.gather(
            *(_run_caller(client, urls, seconds, index) for index in range(callers))
        )
    return [latency for latencies in results for latency in latencies]


async def measure(
    urls: Sequence[str], callers: int, seconds: float, directory: pathlib.Path
) -> Figures:
    """Run callers in several processes and return the rate and latencies."""
    process_count = min(LOAD_PROCESSES, callers)
    urls_path = directory / "urls.json"
    urls_path.write_text(json.dumps(list(urls)), encoding="utf-8")
    children = [
        await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "bench.throughput", "--load", str(urls_path)),
            *("--callers", str(callers // process_count), "--seconds", str(seconds)),
            stdout=asyncio.subprocess.PIPE,
        )
        for _ in range(process_count)
    ]
    latencies: list[float] = []
    for child in children:
        output, _ = await child.communicate()
        latencies.extend(json.loads(output))
    return {
        "rate": len(latencies) / seconds,
        "p50_ms": statistics.median(latencies) * 1e3,
        "p99_ms": baselines.percentile(latencies, 0.99) * 1e3,
    }


@contextlib.asynccontextmanager
async def _running_targets() -> AsyncIterator[dict[str, int]]:
    with tempfile.TemporaryDirectory(prefix="clementinespar-targets-") as name:
        async with demo_processes.group(pathlib.Path(name), {}) as group:
            ports: dict[str, int] = {}
            for host_id in make_document().hosts:
                target = await group.start_module(
                    host_id,
                    "standins.target",
                    *("--address", bench_deployment.ADDRESS, "--port", "0"),
                    *("--host-id", host_id, "--connections", "1000"),
                )
                ports[host_id] = target.first_line["port"]
            yield ports


async def run(seconds: float) -> str:
    """Run all measurements and return the Markdown table and the memory figures."""
    rows = []
    document = make_document()
    with tempfile.TemporaryDirectory(prefix="clementinespar-load-") as name:
        directory = pathlib.Path(name)
        async with (
            _running_targets() as ports,
            bench_deployment.running(document, 1, ports) as deployment,
        ):
            await bench_deployment.put_in_force(deployment, document)
            await asyncio.sleep(2.0)
            node = deployment.nodes[0]
            address = bench_deployment.ADDRESS
            direct = [f"http://{address}:{p}/work/scale/quote" for p in ports.values()]
            repeatable = [f"http://{address}:{node.caller_port}/v1/scale/quote"]
            non_repeatable = [f"http://{address}:{node.caller_port}/v1/scale/order"]
            memory = [processes.resident_bytes(node.pid) / 1e6]
            for callers in CALLERS:
                for label, urls in (
                    ("target directly", direct),
                    ("entry node, repeatable", repeatable),
                    ("entry node, not repeatable", non_repeatable),
                ):
                    before_s = processes.processor_s(node.pid)
                    figures = await measure(urls, callers, seconds, directory)
                    used_s = processes.processor_s(node.pid) - before_s
                    rows.append(
                        (
                            str(callers),
                            label,
                            f"{figures['rate']:.0f}",
                            f"{figures['p50_ms']:.2f}",
                            f"{figures['p99_ms']:.2f}",
                            f"{used_s / seconds:.2f}",
                        )
                    )
                    memory.append(processes.resident_bytes(node.pid) / 1e6)
            await asyncio.sleep(5.0)
            after = processes.resident_bytes(node.pid) / 1e6
    table = tables.markdown(
        ("callers", "path", "requests/s", "p50 ms", "p99 ms", "cores of the node"), rows
    )
    return (
        f"{table}\n\nMemory of the node: {memory[0]:.0f} MB at rest before, "
        f"{max(memory):.0f} MB at most under load, {after:.0f} MB five seconds after."
    )


def main() -> None:
    """Run the measurements or, with ``--load``, one process of callers."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--load", type=pathlib.Path)
    parser.add_argument("--callers", type=int, default=1)
    arguments = parser.parse_args()
    if arguments.load is not None:
        urls = json.loads(arguments.load.read_text(encoding="utf-8"))
        latencies = asyncio.run(
            _run_callers(urls, arguments.callers, arguments.seconds)
        )
        print(json.dumps(latencies))
        return
    print(asyncio.run(run(arguments.seconds)))


if __name__ == "__main__":
    main()
