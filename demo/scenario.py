"""Steps of the demo for one user's deployment."""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import signal
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from clementinespar.commands import client, replies
from clementinespar.documents import model
from demo import checks, deployment, documents, load

_STEADY_S = 2.0  # steady load before the first step and between steps
_PEAK_S = 1.0  # length of the peak of each service
_MOVE_LIMIT_S = 30.0
_WAVE_LIMIT_S = 40.0
_WAVE_HOSTS = 2  # maintained hosts after which the demo continues
_STOP_LIMIT_S = 30.0
_POLL_S = 0.1


@dataclasses.dataclass(slots=True)
class Report:
    """Results of the demo for one user."""

    user: str
    tallies: list[checks.Tally] = dataclasses.field(default_factory=list)
    pools: dict[str, checks.PoolAvailability] = dataclasses.field(default_factory=dict)
    events: list[str] = dataclasses.field(default_factory=list)
    # One line for each violated guarantee.
    violations: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _Scenario:
    """State that the steps share."""

    deployed: deployment.Deployment
    report: Report
    started_at: float  # event-loop time
    print_line: Callable[[str], None]

    def report_event(self, text: str) -> None:
        """Report an event with the seconds since the start."""
        at = asyncio.get_running_loop().time() - self.started_at
        self.report.events.append(f"{at:5.1f} s  {text}")
        self.print_line(self.report.events[-1])

    def check(self, is_met: bool, text: str) -> None:
        """Report an event, or a violation if the guarantee is not met."""
        if is_met:
            self.report_event(text)
        else:
            self.report_violation(text)

    def report_violation(self, text: str) -> None:
        """Report a violated guarantee."""
        self.report.violations.append(text)
        self.report_event(f"VIOLATED: {text}")


async def run(
    name: str,
    program: pathlib.Path,
    directory: pathlib.Path,
    kills: bool,
    print_line: Callable[[str], None],
) -> Report:
    """Run the demo for one user.

    Parameters
    ----------
    name : str
        Name of the example document, without the suffix.
    program : pathlib.Path
        Path of the packaged program.
    directory : pathlib.Path
        Temporary directory for this user.
    kills : bool
        Whether to kill a node, a target and the log service.
    print_line : callable
        Called with one line for each event.

    Returns
    -------
    Report
        Results of the run.
    """
    document = documents.small_document(name)
    report = Report(document.user)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with deployment.start(name, program, directory, document) as deployed:
        scenario = _Scenario(deployed, report, started_at, print_line)
        scenario.report_event(
            f"{len(deployed.nodes)} entry nodes, {len(document.hosts)} targets ready"
        )
        await _publish(scenario, document, "trial")
        await _promote(scenario)
        watch = checks.BudgetWatch(len(document.hosts))
        runs = checks.RunCounts()
        generator = load.LoadGenerator(deployed, seed=len(name))
        async with _background(deployed.watch_readiness(), watch.run(deployed)):
            load_task = asyncio.create_task(generator.run(document))
            try:
                await asyncio.sleep(_STEADY_S)
                await _run_peaks(scenario, generator, document)
                document = await _move_host(scenario, document)
                document = await _run_wave(scenario, document)
                await _stop_node(scenario, generator)
                await runs.read(deployed)
                scenario.check(
                    runs.over_admitted == 0,
                    f"{runs.over_admitted} requests reached a target whose "
                    "slots were all in use",
                )
                unknown = _count_unknown(generator)
                scenario.check(
                    unknown == 0,
                    f"{unknown} requests with unknown outcome although nothing failed",
                )
                if kills:
                    await _kill_node(scenario)
                    await _kill_target(scenario, document, runs)
                    await _kill_log(scenario, generator, load_task)
                generator.stop()
                await load_task
            finally:
                load_task.cancel()
                await asyncio.wait([load_task])
        await runs.read(deployed)
        report.tallies = checks.tally(generator.requests, runs.total())
        report.pools = watch.pools_by_name
        _check_results(scenario, generator)
        if runs.unread_hosts:
            scenario.report_violation(
                f"targets on {', '.join(sorted(runs.unread_hosts))} accepted no "
                "further connection, so the requests that ran there are not known"
            )
        scenario.check(
            watch.miscounted == 0,
            f"{watch.miscounted} statuses had a host in no pool or in two",
        )
    return report


@contextlib.asynccontextmanager
async def _background(*coroutines: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Run coroutines until the context exits, then raise the first of their errors."""
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
    for result in results:
        if isinstance(result, Exception):
            raise result


async def _publish(
    scenario: _Scenario, document: model.Document, environment: str
) -> int:
    path = scenario.deployed.directory / "document.toml"
    documents.write(document, path)
    reply = await scenario.deployed.run_command(
        "publish", str(path), "--environment", environment, "--author", "demo"
    )
    revision = replies.integer(reply, "revision")
    await _check_in_force(scenario, environment, revision)
    return revision


async def _promote(scenario: _Scenario) -> int:
    reply = await scenario.deployed.run_command("promote", "--author", "demo")
    revision = replies.integer(reply, "revision")
    await _check_in_force(scenario, "production", revision)
    return revision


async def _check_in_force(scenario: _Scenario, environment: str, revision: int) -> None:
    seconds = await checks.seconds_until_in_force(
        scenario.deployed, environment, revision
    )
    text = f"revision {revision} in force in {environment} after {seconds:.2f} s"
    scenario.check(seconds <= checks.IN_FORCE_LIMIT_S, text)


async def _run_peaks(
    scenario: _Scenario, generator: load.LoadGenerator, document: model.Document
) -> None:
    """Overload the pool of each service, one service after the other."""
    count_before = len(generator.requests)
    await generator.run_peaks(document, _PEAK_S)
    peak_requests = generator.requests[count_before:]
    answered = sum(request.result == load.Result.ANSWERED for request in peak_requests)
    scenario.report_event(
        f"peaks of all services: {answered} of {len(peak_requests)} requests answered"
    )


async def _move_host(scenario: _Scenario, document: model.Document) -> model.Document:
    """Move a host from the spare pool to another and wait until it serves there."""
    changed, host_id, pool = documents.with_moved_host(document)
    await _publish(scenario, changed, "trial")
    await _promote(scenario)
    started = time.monotonic()

    def is_moved(status: dict[str, dict[str, object]]) -> bool:
        values = status.get(pool, {})
        return replies.integer(values, "available") == len(changed.pools[pool].host_ids)

    if await _wait_for_pools(scenario, is_moved, _MOVE_LIMIT_S):
        seconds = time.monotonic() - started
        scenario.report_event(
            f"host {host_id} serves in pool {pool} after {seconds:.1f} s"
        )
    else:
        scenario.report_violation(
            f"host {host_id} does not serve in pool {pool} in time"
        )
    return changed


async def _run_wave(scenario: _Scenario, document: model.Document) -> model.Document:
    """Run maintenance waves until `_WAVE_HOSTS` hosts have been maintained."""
    running = documents.with_waves(document, is_running=True)
    await _publish(scenario, running, "trial")
    await _promote(scenario)
    maintained: set[str] = set()
    out: set[str] = set()

    def has_maintained(pools: dict[str, dict[str, object]]) -> bool:
        out_now = {
            line.split(" ")[0]
            for pool in pools.values()
            for line in replies.texts(pool, "out")
            if "maintenance" in line
        }
        maintained.update(out - out_now)
        out.clear()
        out.update(out_now)
        return len(maintained) >= _WAVE_HOSTS

    if await _wait_for_pools(scenario, has_maintained, _WAVE_LIMIT_S):
        scenario.report_event(f"maintained {', '.join(sorted(maintained))} under load")
    else:
        scenario.report_violation(f"the wave maintained only {len(maintained)} hosts")
    paused = documents.with_waves(document, is_running=False)
    await _publish(scenario, paused, "trial")
    await _promote(scenario)
    return paused


async def _wait_for_pools(
    scenario: _Scenario,
    is_done: Callable[[dict[str, dict[str, object]]], bool],
    limit_s: float,
) -> bool:
    """Poll a live node's pools until they meet a condition; False at the time limit."""
    loop = asyncio.get_running_loop()
    until = loop.time() + limit_s
    while loop.time() < until:
        node = scenario.deployed.live_nodes[0]
        reply = await scenario.deployed.get(node, "/v1/status")
        if reply is not None and reply.is_done:
            pools = {
                replies.text(pool, "name"): dict(pool)
                for pool in replies.items(reply.values, "pools")
            }
            if is_done(pools):
                return True
        await asyncio.sleep(_POLL_S)
    return False


async def _stop_node(scenario: _Scenario, generator: load.LoadGenerator) -> None:
    """Stop the last node with SIGTERM; no in-flight request may be disconnected."""
    node = scenario.deployed.nodes[-1]
    assert node.process is not None
    in_flight = [
        request
        for request in generator.requests
        if request.node is node and request.result == load.Result.PENDING
    ]
    node.process.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(_STOP_LIMIT_S):
            status = await node.process.wait()
    except TimeoutError:
        scenario.report_violation(f"{node.name} did not stop in time")
        return
    disconnected = [
        request
        for request in generator.requests
        if request.node is node and request.result == load.Result.DISCONNECTED
    ]
    text = (
        f"{node.name} stopped with status {status}; {len(in_flight)} requests were in "
        f"flight, {len(disconnected)} were disconnected"
    )
    scenario.check(not disconnected and status == 0, text)
    await asyncio.sleep(_STEADY_S)


def _count_unknown(generator: load.LoadGenerator) -> int:
    return sum(request.result == load.Result.UNKNOWN for request in generator.requests)


async def _kill_node(scenario: _Scenario) -> None:
    node = scenario.deployed.nodes[1]
    assert node.process is not None
    node.was_killed = True
    node.process.send_signal(signal.SIGKILL)
    await node.process.wait()
    scenario.report_event(f"{node.name} killed")
    await asyncio.sleep(2 * _STEADY_S)


async def _kill_target(
    scenario: _Scenario, document: model.Document, runs: checks.RunCounts
) -> None:
    """Kill one target, after reading its run counts, which are lost with it."""
    pool = next(iter(document.pools.values()))
    host_id = pool.host_ids[0]
    await runs.read(scenario.deployed)
    target = scenario.deployed.targets_by_host[host_id]
    target.send_signal(signal.SIGKILL)
    await target.wait()
    await scenario.deployed.fail_host(host_id)
    scenario.report_event(f"target on {host_id} killed")
    await asyncio.sleep(2 * _STEADY_S)


async def _kill_log(
    scenario: _Scenario, generator: load.LoadGenerator, load_task: asyncio.Task[None]
) -> None:
    """Kill the log service; repeatable requests must still be answered."""
    log_service = scenario.deployed.log_service
    assert log_service is not None
    log_service.send_signal(signal.SIGKILL)
    await log_service.wait()
    scenario.report_event("log service killed")
    await asyncio.sleep(_STEADY_S)  # claims in flight may still succeed
    since = asyncio.get_running_loop().time()
    await asyncio.sleep(2 * _STEADY_S)
    later_requests = [r for r in generator.requests if r.sent_at >= since]
    generator.stop()
    await load_task
    repeatable = [r for r in later_requests if r.is_repeatable]
    answered = sum(r.result == load.Result.ANSWERED for r in repeatable)
    non_repeatable = [r for r in later_requests if not r.is_repeatable]
    refused = sum(r.result == load.Result.REFUSED for r in non_repeatable)
    text = (
        f"without the log: {answered} of {len(repeatable)} repeatable requests "
        f"answered, {refused} of {len(non_repeatable)} others refused as not run"
    )
    is_met = (answered > 0 or not repeatable) and refused == len(non_repeatable)
    scenario.check(is_met, text)


def _check_results(scenario: _Scenario, generator: load.LoadGenerator) -> None:
    """Check the results against the guarantees."""
    counts = collections.Counter(
        (
            request.result.value,
            client.parse_code(int(request.result_code or 0)),
            request.node.name,
        )
        for request in generator.requests
        if request.result in (load.Result.REFUSED, load.Result.UNKNOWN)
    )
    for (result, code, node_name), count in sorted(counts.items()):
        scenario.report_event(
            f"{result} at {node_name} with {client.code_text(code)}: {count}"
        )
    for tally in scenario.report.tallies:
        if tally.violations:
            scenario.report_violation(
                f"{tally.service}: {tally.lost} lost, {tally.duplicated} duplicated, "
                f"{tally.ran_although_refused} ran although refused, "
                f"{tally.wrong_answers} wrong answers"
            )
        if not tally.answered:
            scenario.report_violation(f"{tally.service}: no request was answered")
    for name, pool in scenario.report.pools.items():
        if not pool.is_within_budget:
            scenario.report_violation(
                f"pool {name}: {pool.least_available} hosts in service, the budget "
                f"requires {pool.min_available}"
            )
    for request in [r for r in generator.requests if checks.is_lost(r)][:5]:
        scenario.report_event(
            f"lost: {request.request_id} {request.service}/{request.kind} at "
            f"{request.node.name}: {request.result.value} {request.detail}"
        )
    for node in scenario.deployed.nodes:
        is_ended = node.process is not None and not node.process.is_running
        is_planned = node.was_killed or node is scenario.deployed.nodes[-1]
        if is_ended and not is_planned:
            assert node.process is not None
            scenario.report_violation(
                f"{node.name} ended unexpectedly\n{node.process.log_tail()}"
            )
