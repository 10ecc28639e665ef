"""Assembles an entry node and runs it until it is stopped."""

import asyncio
import contextlib
import functools
import json
import signal
import sys
import time
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Coroutine,
    Iterator,
    Mapping,
)
from typing import Any, Protocol

import logbook

import clementinespar
from clementinespar import codes, options
from clementinespar.admin import publishing, views
from clementinespar.admin import server as admin_server
from clementinespar.capacity import runner as capacity_runner
from clementinespar.claims import claimer as request_claimer
from clementinespar.duties import holder as duty_holder
from clementinespar.fleet import snapshot
from clementinespar.log import appender as log_appender
from clementinespar.log import follower as log_follower
from clementinespar.log import http as log_http
from clementinespar.log import service as log_service
from clementinespar.peers import directory, membership
from clementinespar.peers import server as peer_server
from clementinespar.platform import http as platform_http
from clementinespar.platform import watcher as platform_watcher
from clementinespar.pools import operations as pool_operations
from clementinespar.requests import dispatcher as request_dispatcher
from clementinespar.requests import model, transport
from clementinespar.requests import router as request_router
from clementinespar.requests import server as callers_server
from clementinespar.requests import targets as request_targets
from clementinespar.telemetry import logs, metrics, traces
from clementinespar.waves import runner as wave_runner

_log = logbook.Logger("node")

# A duty whose lease holder has crashed is not run until the lease expires. Renewals at
# half of the lease append one record per duty every 5 s, whatever the number of nodes.
DUTY_LEASE_MS = 10_000
# Entries between snapshots. A start replays at most this many, which takes seconds.
SNAPSHOT_MAX_ENTRIES = 10_000
_CLAIM_RELEASE_TIMEOUT_S = 2.0  # longest wait for the release of claims at a stop
_READY_CHECK_INTERVAL_S = 0.05

EXIT_DONE = 0
EXIT_REQUESTS_ABORTED = 1  # in-flight requests were aborted at the stop


class _Planner(Protocol):
    """Plans and starts host operations in rounds."""

    async def run_round(self) -> codes.ResultCode:
        """Run one round."""
        ...


class _ObservedRouter(request_router.Router):
    """Router that counts outcomes and refuses requests until the state is complete.

    Parameters
    ----------
    peers : directory.Peers
        Owners of queues.
    follower : log_follower.Follower
        Its document may be outdated until the follower is ready.
    """

    _follower: log_follower.Follower

    def __init__(self, peers: directory.Peers, follower: log_follower.Follower) -> None:
        super().__init__(peers, follower)
        self._follower = follower

    async def handle(
        self, request: model.Request, on_started: Callable[[], None] = lambda: None
    ) -> model.Outcome:
        """Return the one outcome of a caller's request."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        with metrics.IN_FLIGHT_REQUESTS.track_inprogress():
            if self._follower.is_ready:
                outcome = await super().handle(request, on_started)
            else:
                outcome = model.Outcome(
                    model.OutcomeKind.NOT_RUN,
                    codes.ResultCode.NOT_READY,
                    "this node has not read the current state yet",
                )
        metrics.count_outcome(request.service, outcome, loop.time() - began)
        return outcome


class Node:
    """An entry node.

    Parameters
    ----------
    settings : options.Settings
        All settings.
    """

    settings: options.Settings
    is_stopping: bool  # a stop has begun
    follower: log_follower.Follower
    appender: log_appender.Appender
    peers: directory.Peers
    host_list: platform_watcher.HostListWatcher
    claimer: request_claimer.Claimer
    dispatcher: request_dispatcher.Dispatcher
    router: request_router.Router
    callers: callers_server.CallersServer
    holders: dict[str, duty_holder.DutyHolder]  # by duty
    ports: dict[str, int]  # bound ports by use
    _stop_requested: asyncio.Event
    _abort_requested: asyncio.Event  # stop without waiting for in-flight requests
    _started_ms: int  # wall time
    _aborted_request_ids: list[str]

    def __init__(self, settings: options.Settings) -> None:
        self.settings = settings
        self.is_stopping = False
        self.holders = {}
        self.ports = {}
        self._stop_requested = asyncio.Event()
        self._abort_requested = asyncio.Event()
        self._started_ms = time.time_ns() // 1_000_000
        self._aborted_request_ids = []

    # Readiness.

    @property
    def name(self) -> str:
        """Name of this node."""
        return self.settings.node.name

    @property
    def can_own(self) -> bool:
        """Whether this node may own queues.

        It needs the state and a host list, and must not be stopping.
        """
        return self._has_targets() and not self.is_stopping

    def _queue_group(self, service: str) -> str:
        document = self.follower.state.documents.production
        return service if document is None else document.queue_group(service)

    def _has_targets(self) -> bool:
        return self.follower.is_ready and self.host_list.latest is not None

    @property
    def not_ready_reasons(self) -> list[str]:
        """Why the node does not accept work, empty when it does."""
        reasons = []
        if self.is_stopping:
            reasons.append("the node is stopping")
        if self.peers.members.is_superseded:
            reasons.append("another node runs under this node's name")
        if not self.follower.is_ready:
            reasons.append(
                "the state has not been read from the log or from a peer yet: "
                f"{self.follower.last_error or 'reading'}"
            )
        elif self.host_list.latest is None and not self.peers.has_owner():
            reasons.append("no host list has been read yet, and no other node has one")
        return reasons

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts work."""
        return not self.not_ready_reasons

    def describe(self) -> views.Json:
        """Return the ``node`` part of the status."""
        state = self.follower.state
        return {
            "name": self.name,
            "version": clementinespar.__version__,
            "data_centre": self.settings.node.data_centre,
            "region": self.settings.node.region,
            "incarnation": self.peers.members.incarnation,
            "started_ms": self._started_ms,
            "is_ready": self.is_ready,
            "is_draining": self.is_stopping,
            "not_ready_because": "; ".join(self.not_ready_reasons),
            "is_log_answering": self.follower.is_log_answering,
            "applied_offset": state.offset,
            "log_time_ms": state.log_time_ms,
            "trial_revision": state.documents.revision_of("trial"),
            "production_revision": state.documents.revision_of("production"),
            "duties": ", ".join(
                duty for duty, holder in self.holders.items() if holder.is_held
            ),
        }

    def _report(self) -> membership.Report:
        """Return the report that is sent to the other nodes."""
        state = self.follower.state
        return membership.Report(
            applied_offset=state.offset,
            oldest_kept_offset=self.follower.oldest_kept_offset,
            is_ready=self.can_own,
            is_draining=self.is_stopping,
            trial_revision=state.documents.revision_of("trial"),
            production_revision=state.documents.revision_of("production"),
            demands=tuple(self.dispatcher.demand_by_service().values()),
            ejected_host_ids=self.dispatcher.ejected_host_ids(),
        )

    # Assembly.

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run all components; at the end, close those that `stop` has not closed."""
        settings = self.settings
        async with contextlib.AsyncExitStack() as stack:
            log = log_http.HttpLogService(
                settings.log.url, settings.log.request_timeout_s
            )
            stack.callback(log.close)
            platform = platform_http.HttpPlatformService(
                settings.platform.url, settings.platform.request_timeout_s
            )
            stack.callback(platform.close)
            target_transport = await stack.enter_async_context(
                transport.open_transport()
            )
            self.peers = directory.Peers(
                settings,
                self._report,
                lambda: self.can_own,
                self._queue_group,
                self._on_peers_change,
            )
            self.follower = log_follower.Follower(
                log, self.peers.log_relay, settings.log.poll_wait_s
            )
            self.follower.add_listener(_count_record)
            self.appender = log_appender.Appender(
                log, self.follower, self.name, settings.log.batch_delay_s
            )
            self.host_list = platform_watcher.HostListWatcher(
                platform, settings.platform.poll_interval_s
            )
            self.claimer = request_claimer.Claimer(
                self.appender, self.follower, self.name
            )
            self.dispatcher = request_dispatcher.Dispatcher(
                self.follower,
                request_targets.FleetTargetDirectory(self.follower, self.host_list),
                target_transport,
                self.claimer,
            )
            self.router = _ObservedRouter(self.peers, self.follower)
            # Their tasks end after the servers, whose requests start tasks, and before
            # the connections that they use.
            for component in (self.appender, self.claimer, self.dispatcher):
                await stack.enter_async_context(component.running())
            self.ports["peers"] = await stack.enter_async_context(
                self.peers.running(self.follower, self.dispatcher, self._has_targets)
            )
            await stack.enter_async_context(self.follower.running())
            await stack.enter_async_context(self.host_list.running())
            operations = pool_operations.HostOperations(
                platform, self.appender, self.follower, self.name
            )
            waves = wave_runner.WaveRunner(
                self.follower,
                self.appender,
                operations,
                self.host_list,
                self.peers,
                self.name,
            )
            capacity = capacity_runner.CapacityRunner(
                self.follower,
                self.appender,
                operations,
                self.host_list,
                self.peers,
                self.name,
            )
            await self._serve_admin(stack, operations, waves, capacity)
            self.callers = await stack.enter_async_context(
                _serving_callers(self.router, self.follower, settings.callers)
            )
            self.ports["callers"] = self.callers.port
            async with self._running_duties(
                {"maintenance": waves, "capacity": capacity}
            ):
                yield

    async def _serve_admin(
        self,
        stack: contextlib.AsyncExitStack,
        operations: pool_operations.HostOperations,
        waves: wave_runner.WaveRunner,
        capacity: capacity_runner.CapacityRunner,
    ) -> None:
        admin_views = views.Views(
            node=self,
            source=self.follower,
            peers=self.peers,
            host_list=self.host_list,
            hosts=operations,
            waves=waves,
            capacity=capacity,
            requests=self.router,
            explain_queue=self.dispatcher.explain,
        )
        publisher = publishing.Publisher(
            self.appender, self.follower, self.peers, lambda: self.follower.is_ready
        )
        listener = peer_server.bind(
            self.settings.admin.address, self.settings.admin.port
        )
        self.ports["admin"] = int(listener.getsockname()[1])
        server = admin_server.AdminServer(
            self.settings.admin, admin_views, publisher, self._refresh_metrics
        )
        await stack.enter_async_context(server.serving(listener))

    @contextlib.asynccontextmanager
    async def _running_duties(
        self, planners: Mapping[str, _Planner]
    ) -> AsyncIterator[None]:
        """Run the duties until a stop begins, then release them to other nodes."""
        publisher = snapshot.SnapshotPublisher(
            self.follower,
            self.appender,
            self.settings.log.snapshot_interval_s,
            SNAPSHOT_MAX_ENTRIES,
            lambda: self.holders["snapshots"].is_held,
        )
        work_by_duty: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
            duty: functools.partial(self._run_rounds, duty, planner)
            for duty, planner in planners.items()
        }
        work_by_duty["snapshots"] = publisher.run
        for duty in work_by_duty:
            self.holders[duty] = duty_holder.DutyHolder(
                duty, self.appender, self.follower, self.name, DUTY_LEASE_MS
            )
        tasks = [
            asyncio.create_task(self._run_duty(duty, work), name=f"duty {duty}")
            for duty, work in work_by_duty.items()
        ]
        try:
            yield
        finally:
            # Released concurrently, because each release waits for the log.
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_duty(
        self, duty: str, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while not self.follower.is_ready:
            await asyncio.sleep(_READY_CHECK_INTERVAL_S)
        async with self.holders[duty].running():
            task = asyncio.create_task(work(), name=f"work of duty {duty}")
            try:
                await self._stop_requested.wait()
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    async def _run_rounds(self, duty: str, planner: _Planner) -> None:
        """Run a planner's rounds while this node holds the lease of the duty."""
        last_code = codes.ResultCode.OK
        while True:
            if self.holders[duty].is_held:
                try:
                    code = await planner.run_round()
                except Exception:
                    # A failed round must not end the task: the lease would still be
                    # renewed, and no node would run the duty.
                    _log.exception("a planning round of duty {} failed", duty)
                    code = codes.ResultCode.INTERNAL_ERROR
                if code not in (last_code, codes.ResultCode.INTERNAL_ERROR):
                    _log.info(
                        "planning rounds of duty {} now end with {}", duty, code.name
                    )
                last_code = code
                metrics.PLANNER_ROUNDS.labels(duty, code.name).inc()
            await asyncio.sleep(self.settings.platform.planning_interval_s)

    # Lifecycle.

    async def wait_ready(self) -> bool:
        """Wait until the node accepts work; False if a stop is requested before."""
        while not self.is_ready:
            if self._stop_requested.is_set():
                return False
            await asyncio.sleep(_READY_CHECK_INTERVAL_S)
        return True

    async def wait_stop(self) -> None:
        """Wait until a stop is requested."""
        await self._stop_requested.wait()

    def request_stop(self) -> None:
        """Request a stop; a second call aborts the in-flight requests."""
        if self._stop_requested.is_set():
            self._abort_requested.set()
        self._stop_requested.set()

    async def stop(self) -> None:
        """Stop accepting work and wait for the in-flight requests."""
        limit_s = self.settings.node.stop_limit_s
        _log.notice("stopping; waiting up to {} s for in-flight requests", limit_s)
        self.is_stopping = True
        # The stop is announced before requests are refused: until the other nodes know
        # of it, they forward requests to this node, and these can still be answered.
        await self._wait_unless_aborted(self.peers.members.announce())
        self.callers.begin_drain()
        self.dispatcher.begin_drain()
        waits = [
            asyncio.create_task(wait_idle(limit_s))
            for wait_idle in (
                self.callers.wait_idle,
                self.dispatcher.wait_idle,
                self.peers.wait_idle,
            )
        ]
        await self._wait_unless_aborted(asyncio.wait(waits))
        # Until a claim is released or expires, the caller's next attempt is refused.
        await self._wait_unless_aborted(self.claimer.finish(_CLAIM_RELEASE_TIMEOUT_S))
        for task in waits:
            task.cancel()
        await asyncio.gather(*waits, return_exceptions=True)
        remaining = [
            await self.callers.wait_idle(0),
            await self.dispatcher.wait_idle(0),
            await self.peers.wait_idle(0),
        ]
        self._aborted_request_ids = sorted({i for ids in remaining for i in ids})

    async def _wait_unless_aborted(self, step: Awaitable[Any]) -> None:
        """Wait for a step of the stop, or until an abort is requested."""
        step_task = asyncio.ensure_future(step)
        abort_task = asyncio.create_task(self._abort_requested.wait())
        await asyncio.wait({step_task, abort_task}, return_when="FIRST_COMPLETED")
        for task in (step_task, abort_task):
            task.cancel()
        await asyncio.gather(step_task, abort_task, return_exceptions=True)

    @property
    def aborted_request_ids(self) -> list[str]:
        """Requests that were still in flight at the end of the stop."""
        return self._aborted_request_ids

    # Telemetry.

    def _on_peers_change(self) -> None:
        if self.peers.members.is_superseded and not self._stop_requested.is_set():
            _log.error("a newer node runs under the name {}; this one stops", self.name)
            self._stop_requested.set()

    def _refresh_metrics(self) -> None:
        state = self.follower.state
        metrics.APPLIED_OFFSET.set(state.offset)
        for environment in ("trial", "production"):
            metrics.DOCUMENT_REVISION.labels(environment).set(
                state.documents.revision_of(environment)
            )
        metrics.LIVE_PEERS.set(len(self.peers.members.live_peers()))
        metrics.HOST_LIST_AGE.set(self.host_list.age_s)
        metrics.READY.set(self.is_ready)
        for duty, holder in self.holders.items():
            metrics.DUTY_HELD.labels(duty).set(holder.is_held)


def _count_record(entry: log_service.LogEntry, code: codes.ResultCode) -> None:
    metrics.RECORDS.labels(str(int(code))).inc()


@contextlib.asynccontextmanager
async def _serving_callers(
    router: request_router.Router,
    source: log_follower.Follower,
    settings: options.CallersSettings,
) -> AsyncIterator[callers_server.CallersServer]:
    """Serve callers; at the end, abort the requests that are still in flight.

    The server's own shutdown would wait for them without a limit.
    """
    manager = callers_server.make_server(router, source, settings)
    server = await manager.__aenter__()
    try:
        yield server
    finally:
        # Requests that are still in flight have exceeded the limit of the stop.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.1):
                await manager.__aexit__(None, None, None)


@contextlib.contextmanager
def _handling_signals(node: Node) -> Iterator[None]:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.request_stop)
    try:
        yield
    finally:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.remove_signal_handler(number)


async def serve(settings: options.Settings) -> int:
    """Run a node until SIGTERM or SIGINT.

    Prints one JSON line with the name and the bound ports once the node is ready.

    Returns
    -------
    int
        Exit status: 0 if no request was aborted, 1 otherwise.
    """
    with (
        logs.logging_to(settings.telemetry, settings.node.name),
        traces.tracing(settings.telemetry, settings.node.name),
    ):
        node = Node(settings)
        with _handling_signals(node):
            async with node.running():
                if await node.wait_ready():
                    ports = {f"{use}_port": port for use, port in node.ports.items()}
                    _log.notice("ready", extra=ports)
                    line = json.dumps({"name": node.name, **ports})
                    print(line, file=sys.stdout, flush=True)
                await node.wait_stop()
                await node.stop()
        if node.aborted_request_ids:
            _log.error(
                "aborted {} in-flight requests at the stop: {}",
                len(node.aborted_request_ids),
                ", ".join(node.aborted_request_ids),
            )
            return EXIT_REQUESTS_ABORTED
        _log.notice("stopped; no request was aborted")
        return EXIT_DONE


def run(settings: options.Settings) -> int:
    """Run a node in a new event loop and return its exit status."""
    return asyncio.run(serve(settings))
