"""Tests of the checks, documents and child processes of the demo."""

import asyncio
import pathlib
import sys

import pytest

from clementinespar.documents import difference, loading
from demo import checks, deployment, documents, load, processes


@pytest.mark.parametrize("name", ["teranga", "al-batinah"])
def test_small_documents_are_valid_as_written(
    name: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a demo that writes documents which the program rejects."""
    small = documents.small_document(name)
    moved, host_id, pool = documents.with_moved_host(small)
    running = documents.with_waves(moved, is_running=True)
    for document in (small, moved, running):
        documents.write(document, tmp_path / "d.toml")
        assert loading.load_document(tmp_path / "d.toml") == document
    (change,) = difference.difference(small, moved)
    assert isinstance(change, difference.HostRehomed)
    assert (change.host_id, change.to_pool) == (host_id, pool)


def _make_request(
    result: load.Result, *, repeatable: bool = False, killed: bool = False
) -> load.SentRequest:
    node = deployment.Node("n", "d", 1, 2, 3, was_killed=killed)
    return load.SentRequest("1-a", "s", "k", repeatable, node, 0.0, result)


@pytest.mark.parametrize(
    ("sent_request", "runs", "column", "violations"),
    [
        (_make_request(load.Result.ANSWERED), 1, "answered", 0),
        (_make_request(load.Result.ANSWERED), 2, "duplicated", 1),
        (_make_request(load.Result.ANSWERED, repeatable=True), 2, "answered", 0),
        (_make_request(load.Result.REFUSED), 0, "refused", 0),
        (_make_request(load.Result.REFUSED), 1, "ran_although_refused", 1),
        (_make_request(load.Result.UNKNOWN), 1, "unknown", 0),
        (_make_request(load.Result.DISCONNECTED), 0, "lost", 1),
        (_make_request(load.Result.DISCONNECTED, killed=True), 0, "unknown", 0),
        (_make_request(load.Result.LOST, killed=True), 0, "lost", 1),
        (_make_request(load.Result.PENDING), 0, "lost", 1),
    ],
)
def test_tally_counts_violations(
    sent_request: load.SentRequest, runs: int, column: str, violations: int
) -> None:
    """Guards against a demo that reports success although a guarantee was violated."""
    (tally,) = checks.tally([sent_request], {sent_request.request_id: runs})
    assert getattr(tally, column) == 1
    assert tally.violations == violations


def test_one_observation_below_the_budget_is_a_violation() -> None:
    """Guards against a short violation that is hidden by later observations."""
    watch = checks.BudgetWatch(host_count=4)
    for available in (3, 1, 3):
        pool = {"name": "p", "hosts": 4, "available": available, "min_available": 2}
        watch.observe({"pools": [pool]})
    assert not watch.pools_by_name["p"].is_within_budget
    assert watch.pools_by_name["p"].most_out == 3
    assert watch.miscounted == 0
    watch.observe({"pools": [{"name": "p", "hosts": 5}]})
    assert watch.miscounted == 1


def test_processes_are_ended_after_an_error(tmp_path: pathlib.Path) -> None:
    """Guards against child processes that keep running after a failed demo."""

    async def main() -> processes.Process:
        with pytest.raises(RuntimeError):
            async with processes.group(tmp_path, {}) as group:
                code = "import time; print('{\"port\": 1}', flush=True); time.sleep(60)"
                child = await group.start(
                    "sleeping", (sys.executable, "-c", code), prints_line=True
                )
                raise RuntimeError
        return child

    assert not asyncio.run(main()).is_running


def test_process_without_output_raises_a_start_error(tmp_path: pathlib.Path) -> None:
    """Guards against a demo that continues without one of its processes."""

    async def main() -> None:
        async with processes.group(tmp_path, {}) as group:
            await group.start("no-output", (sys.executable, "-c", ""), prints_line=True)

    with pytest.raises(processes.StartError):
        asyncio.run(main())
