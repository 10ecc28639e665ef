"""Takeover of a partition against the number of its records: ``make bench-takeover``.

Each measurement starts one node of the program on the stand-in of the platform, whose
partition already holds the records, and waits for the first start of a task. Writes the
generated part of ``docs/design/takeover.md``.
"""

import asyncio
import dataclasses
import pathlib
import tempfile
import time
from collections.abc import Sequence

import click

from bench import processes, tables
from clementinespar.jobs import model, partitions, state
from clementinespar_adapter import standin
from soak import fleet, moves

PAGE = pathlib.Path("docs/design/takeover.md")
POOL = "work"
PARTITIONS = 24  # the default of the settings
WORKERS = 4
MAX_WAIT_S = 120.0
PAYLOAD = "x" * 400
COUNTS_BY_KIND = {
    "cancellations": (0, 10_000, 100_000, 300_000),
    "waiting jobs": (0, 1_000, 5_000, 10_000),
    "finished jobs": (0, 1_000, 10_000, 30_000),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """A takeover of a partition that holds records of one kind.

    Attributes
    ----------
    start_s : float
        Time from the start of the process to the first start of a task, in seconds.
    memory_mb : float
        Largest resident memory of the process until then, in MB of 10^6 bytes.
    """

    kind: str
    count: int
    start_s: float
    memory_mb: float


def _make_spec(job_id: str) -> model.JobSpec:
    return model.JobSpec(
        job_id,
        "q",
        POOL,
        PAYLOAD,
        (model.StepSpec(2, cpu_millis=500, memory_mb=10, estimate_ms=500),),
        accepted_ms=int(time.time() * 1000),
    )


def _make_record(kind: str, job_id: str) -> tuple[str, str, bytes]:
    """Return the topic, key and value of the record that a job has left."""
    if kind == "cancellations":
        return "keyed.commands", f"c{job_id}", b"1"
    spec = _make_spec(job_id)
    if kind == "waiting jobs":
        return "keyed.commands", f"j{job_id}", state.encode_spec(spec)
    job = state.JobProgress(spec)
    job.state = model.JobState.DONE
    job.final_ms = spec.accepted_ms
    return "keyed.progress", f"p{job_id}", state.encode_progress(job)


def _fill(platform: standin.Platform, kind: str, count: int) -> None:
    """Write the records of earlier jobs, and one waiting job that has to start."""
    partition = partitions.PartitionMap(PARTITIONS).find(POOL)
    for number in range(count):
        platform.put_raw(*_make_record(kind, f"{number:016x}"), partition)
    platform.put_raw(*_make_record("waiting jobs", "f" * 16), partition)


async def measure(kind: str, count: int) -> Measurement:
    """Measure one takeover.

    Raises
    ------
    TimeoutError
        No task has started within `MAX_WAIT_S`.
    """
    platform = standin.Platform()
    platform.put("keyed.op", "config", moves.make_configuration(1, [POOL]))
    _fill(platform, kind, count)
    with tempfile.TemporaryDirectory() as folder:
        async with (
            standin.serve(platform, {POOL: WORKERS}) as store,
            asyncio.timeout(MAX_WAIT_S),
        ):
            began_at = time.monotonic()
            async with fleet.run_nodes(
                1, pathlib.Path(folder), store, platform
            ) as nodes:
                while not platform.starts:
                    await asyncio.sleep(0.005)
                start_s = time.monotonic() - began_at
                process = nodes[0].process
                assert process is not None
                memory_mb = processes.peak_resident_bytes(process.pid) / 1e6
    return Measurement(kind, count, start_s, memory_mb)


def format_table(measurements: Sequence[Measurement]) -> str:
    """Return a table with one row for each measurement."""
    return tables.markdown(
        ("records", "number", "first start, s", "largest memory, MB"),
        [
            (m.kind, f"{m.count:,}", f"{m.start_s:.2f}", f"{m.memory_mb:.0f}")
            for m in measurements
        ],
    )


@click.command()
@click.option("--write/--no-write", default=True, help="Write the page.")
def main(write: bool) -> None:
    """Measure takeovers with each kind and number of records."""
    measurements = []
    for kind, counts in COUNTS_BY_KIND.items():
        for count in counts:
            measurement = asyncio.run(measure(kind, count))
            measurements.append(measurement)
            click.echo(measurement)
    if write:
        tables.replace_part(PAGE, "takeover", format_table(measurements))


if __name__ == "__main__":
    main()
