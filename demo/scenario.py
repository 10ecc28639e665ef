"""What happens to one user's deployment in the demo, step by step."""

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

_STEADY_S = 2.0  # load before and between the events
_PEAK_S = 1.0  # length of the peak of each service
_MOVE_LIMIT_S = 30.0
_WAVE_LIMIT_S = 40.0
_WAVE_HOSTS = 2  # hosts that the wave must have maintained before the demo goes on
_STOP_LIMIT_S = 30.0
_POLL_S = 0.1


@dataclasses.dataclass(slots=True)
class Report:
    """What the demo saw of one user."""

    user: str
    tallies: list[checks.Tally] = dataclasses.field(default_factory=list)
    pools: dict[str, checks.PoolRecord] = dataclasses.field(default_factory=dict)
    events: list[str] = dataclasses.field(default_factory=list)
    broken: list[str] = dataclasses.field(default_factory=list)  # broken promises


@dataclasses.dataclass(slots=True)
class _Scenario:
    """State that the steps share."""

    deployed: deployment.Deployment
    report: Report
    started_at: float  # event-loop time
    say: Callable[[str], None]

    def note(self, text: str) -> None:
        """Report an event with its time."""
        at = asyncio.get_running_loop().time() - self.started_at
        self.report.events.append(f"{at:5.1f} s  {text}")
        self.say(self.report.events[-1])

    def check(self, is_kept: bool, text: str) -> None:
        """Report a promise as kept or broken."""
        if is_kept:
            self.note(text)
        else:
            self.break_promise(text)

    def break_promise(self, text: str) -> None:
        """Report a broken promise."""
        self.report.broken.append(text)
        self.note(f"BROKEN: {text}")


async def run(
    name: str,
    program: pathlib.Path,
    directory: pathlib.Path,
    kills: bool,
    say: Callable[[str], None],
) -> Report:
    """Run the demo for one user.

    Parameters
    ----------
    name : str
        Name of the example document, without the suffix.
    program : pathlib.Path
        The shipped program.
    directory : pathlib.Path
        Temporary directory for this user.
    kills : bool
        Whether a node, a target and the log service are killed.
    say : callable
        Receives a line for each event.

    Returns
    -------
    Report
        What was seen.
    """
    document = documents.small_document(name)
    report = Report(document.user)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with deployment.start(name, program, directory, document) as deployed:
        scenario = _Scenario(deployed, report, started_at, say)
        scenario.note(
            f"{len(deployed.nodes)} entry nodes, {len(document.hosts)} targets ready"
        )
        await _publish(scenario, document, "trial")
        await _promote(scenario)
        watch = checks.BudgetWatch(len(document.hosts))
        runs = checks.Runs()
        callers = load.Load(deployed, seed=len(name))
        async with _background(deployed.watch_readiness(), watch.run(deployed)):
            load_task = asyncio.create_task(callers.run(document))
            try:
                await asyncio.sleep(_STEADY_S)
                await _run_peaks(scenario, callers, document)
                document = await _move_host(scenario, document)
                document = await _run_wave(scenario, document)
                await _stop_node(scenario, callers)
                await runs.read(deployed)
                scenario.check(
                    runs.over_admitted == 0,
                    f"{runs.over_admitted} requests found their target's slots taken",
                )
                unknown = _count_unknown(callers)
                scenario.check(
                    unknown == 0, f"{unknown} outcomes unknown while nothing failed"
                )
                if kills:
                    await _kill_node(scenario)
                    await _kill_target(scenario, document, runs)
                    await _kill_log(scenario, callers, load_task)
                callers.stop()
                await load_task
            finally:
                load_task.cancel()
                await asyncio.wait([load_task])
        await runs.read(deployed)
        report.tallies = checks.tally(callers.asked, runs.total())
        report.pools = watch.pools_by_name
        _judge(scenario, callers)
        if runs.unread_hosts:
            scenario.break_promise(
                f"targets on {', '.join(sorted(runs.unread_hosts))} took no further "
                "connection, so what ran there is not known"
            )
        scenario.check(
            watch.miscounted == 0,
            f"{watch.miscounted} statuses had a host in no pool or in two",
        )
    return report


@contextlib.asynccontextmanager
async def _background(*coroutines: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Run coroutines until the context is left; their failures are raised there."""
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
    reply = await scenario.deployed.command(
        "publish", str(path), "--environment", environment, "--author", "demo"
    )
    revision = replies.integer(reply, "revision")
    await _check_in_force(scenario, environment, revision)
    return revision


async def _promote(scenario: _Scenario) -> int:
    reply = await scenario.deployed.command("promote", "--author", "demo")
    revision = replies.integer(reply, "revision")
    await _check_in_force(scenario, "production", revision)
    return revision


async def _check_in_force(scenario: _Scenario, environment: str, revision: int) -> None:
    seconds = await checks.time_in_force(scenario.deployed, environment, revision)
    text = f"revision {revision} in force in {environment} after {seconds:.2f} s"
    scenario.check(seconds <= checks.IN_FORCE_LIMIT_S, text)


async def _run_peaks(
    scenario: _Scenario, callers: load.Load, document: model.Document
) -> None:
    """Let the services peak in turn."""
    before = len(callers.asked)
    await callers.peak(document, _PEAK_S)
    during = callers.asked[before:]
    answered = sum(asked.result == load.Result.ANSWERED for asked in during)
    scenario.note(f"peaks in turn: {answered} of {len(during)} requests answered")


async def _move_host(scenario: _Scenario, document: model.Document) -> model.Document:
    """Give a host of the spare pool another home and wait until it serves there."""
    changed, host_id, pool = documents.with_moved_host(document)
    await _publish(scenario, changed, "trial")
    await _promote(scenario)
    started = time.monotonic()

    def is_moved(status: dict[str, dict[str, object]]) -> bool:
        values = status.get(pool, {})
        return replies.integer(values, "available") == len(changed.pools[pool].host_ids)

    if await _wait_pools(scenario, is_moved, _MOVE_LIMIT_S):
        seconds = time.monotonic() - started
        scenario.note(f"host {host_id} serves in pool {pool} after {seconds:.1f} s")
    else:
        scenario.break_promise(f"host {host_id} is not in pool {pool} yet")
    return changed


async def _run_wave(scenario: _Scenario, document: model.Document) -> model.Document:
    """Let maintenance waves run until some hosts have been maintained."""
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

    if await _wait_pools(scenario, has_maintained, _WAVE_LIMIT_S):
        scenario.note(f"maintained {', '.join(sorted(maintained))} under load")
    else:
        scenario.break_promise(f"the wave maintained only {len(maintained)} hosts")
    paused = documents.with_waves(document, is_running=False)
    await _publish(scenario, paused, "trial")
    await _promote(scenario)
    return paused


async def _wait_pools(
    scenario: _Scenario,
    is_done: Callable[[dict[str, dict[str, object]]], bool],
    limit_s: float,
) -> bool:
    """Poll the pools of a live node until a condition holds; False at the limit."""
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


async def _stop_node(scenario: _Scenario, callers: load.Load) -> None:
    """Stop the last node in a planned way; nothing in flight may be cut."""
    node = scenario.deployed.nodes[-1]
    assert node.process is not None
    in_flight = [
        asked
        for asked in callers.asked
        if asked.node is node and asked.result == load.Result.PENDING
    ]
    node.process.send(signal.SIGTERM)
    try:
        async with asyncio.timeout(_STOP_LIMIT_S):
            status = await node.process.wait()
    except TimeoutError:
        scenario.break_promise(f"{node.name} did not stop")
        return
    cut = [
        asked
        for asked in callers.asked
        if asked.node is node and asked.result == load.Result.CUT
    ]
    text = (
        f"{node.name} stopped with status {status}; {len(in_flight)} requests were in "
        f"flight, {len(cut)} were cut"
    )
    scenario.check(not cut and status == 0, text)
    await asyncio.sleep(_STEADY_S)


def _count_unknown(callers: load.Load) -> int:
    return sum(asked.result == load.Result.UNKNOWN for asked in callers.asked)


async def _kill_node(scenario: _Scenario) -> None:
    node = scenario.deployed.nodes[1]
    assert node.process is not None
    node.was_killed = True
    node.process.send(signal.SIGKILL)
    await node.process.wait()
    scenario.note(f"{node.name} killed")
    await asyncio.sleep(2 * _STEADY_S)


async def _kill_target(
    scenario: _Scenario, document: model.Document, runs: checks.Runs
) -> None:
    """Kill one target; what it ran until shortly before is kept for the checks."""
    pool = next(iter(document.pools.values()))
    host_id = pool.host_ids[0]
    await runs.read(scenario.deployed)
    target = scenario.deployed.targets_by_host[host_id]
    target.send(signal.SIGKILL)
    await target.wait()
    await scenario.deployed.fail_host(host_id)
    scenario.note(f"target on {host_id} killed")
    await asyncio.sleep(2 * _STEADY_S)


async def _kill_log(
    scenario: _Scenario, callers: load.Load, load_task: asyncio.Task[None]
) -> None:
    """Kill the log service; repeatable requests must go on being answered."""
    log_service = scenario.deployed.log_service
    assert log_service is not None
    log_service.send(signal.SIGKILL)
    await log_service.wait()
    scenario.note("log service killed")
    await asyncio.sleep(_STEADY_S)  # claims on their way may still have succeeded
    since = asyncio.get_running_loop().time()
    await asyncio.sleep(2 * _STEADY_S)
    later = [a for a in callers.asked if a.sent_at >= since]
    callers.stop()
    await load_task
    repeatable = [a for a in later if a.is_repeatable]
    answered = sum(a.result == load.Result.ANSWERED for a in repeatable)
    others = [a for a in later if not a.is_repeatable]
    refused = sum(a.result == load.Result.REFUSED for a in others)
    text = (
        f"without the log: {answered} of {len(repeatable)} repeatable requests "
        f"answered, {refused} of {len(others)} others refused as not run"
    )
    is_kept = (answered > 0 or not repeatable) and refused == len(others)
    scenario.check(is_kept, text)


def _judge(scenario: _Scenario, callers: load.Load) -> None:
    """Compare what was seen with the promises."""
    counts = collections.Counter(
        (
            asked.result.value,
            client.parse_code(int(asked.result_code or 0)),
            asked.node.name,
        )
        for asked in callers.asked
        if asked.result in (load.Result.REFUSED, load.Result.UNKNOWN)
    )
    for (result, code, node_name), count in sorted(counts.items()):
        scenario.note(f"{result} at {node_name} with {client.code_text(code)}: {count}")
    for tally in scenario.report.tallies:
        if tally.broken:
            scenario.break_promise(
                f"{tally.service}: {tally.lost} lost, {tally.doubled} doubled, "
                f"{tally.ran_although_refused} ran although refused, "
                f"{tally.wrong_caller} answers of others"
            )
        if not tally.answered:
            scenario.break_promise(f"{tally.service}: no request was answered")
    for name, pool in scenario.report.pools.items():
        if not pool.is_held:
            scenario.break_promise(
                f"pool {name}: {pool.least_available} hosts in service, the budget "
                f"keeps {pool.min_available}"
            )
    for asked in [a for a in callers.asked if checks.is_lost(a)][:5]:
        scenario.note(
            f"lost: {asked.request_id} {asked.service}/{asked.kind} at "
            f"{asked.node.name}: {asked.result.value} {asked.detail}"
        )
    for node in scenario.deployed.nodes:
        is_ended = node.process is not None and not node.process.is_running
        is_planned = node.was_killed or node is scenario.deployed.nodes[-1]
        if is_ended and not is_planned:
            assert node.process is not None
            scenario.break_promise(
                f"{node.name} ended by itself\n{node.process.log_tail()}"
            )
