"""Request path of the product with fake targets, on a paused clock.

Each entry node has its own dispatcher and router; targets are shared. Messages
between nodes and to targets are delayed by the link delay of the user.
"""

import asyncio
import collections
import contextlib
import dataclasses
import math
import random
from collections.abc import AsyncIterator, Callable, Iterable, Mapping, Sequence
from typing import Literal

from bench.policy import workload
from clementinespar import codes, identifiers
from clementinespar.documents import model as document_model
from clementinespar.documents import state as documents_state
from clementinespar.fleet import state as fleet_state
from clementinespar.peers import rendezvous
from clementinespar.platform import service as platform_service
from clementinespar.pools import state as pools_state
from clementinespar.requests import dispatcher, model, router, targets
from standins import fake_target
from standins import target as target_standin

Failure = Literal["killed", "fails all", "silent"]

# A claim waits for its batch, one append to the log, and the read of its entry.
CLAIM_DELAY_S = 0.01


def make_document(
    user: workload.User,
    shape: workload.Shape,
    targets_by_service: Mapping[str, int] | None = None,
    lends: bool = False,
) -> document_model.Document:
    """Return the document of a user, by default at its current size.

    With ``lends``, all other services may borrow idle slots of the spare pool.
    """
    target_counts = targets_by_service or {}
    hosts: dict[str, document_model.Host] = {}
    pools: dict[str, document_model.Pool] = {}
    services: dict[str, document_model.Service] = {}
    for service_index, service in enumerate(user.services):
        host_ids = []
        count = target_counts.get(service, user.targets_per_service)
        for index in range(count):
            host_id = f"{service}-{index}"
            rack = index * user.racks_per_pool // count
            data_centre = (service_index + rack) % user.data_centres
            hosts[host_id] = document_model.Host(
                data_centre=f"dc-{data_centre}", rack=f"{service}-rack-{rack}"
            )
            host_ids.append(host_id)
        pools[service] = document_model.Pool(
            host_ids=tuple(host_ids),
            budget=document_model.Budget(min_available=max(0, count - 2)),
            spare=service == user.spare,
        )
        services[service] = document_model.Service(
            pool=service,
            borrows_from=user.spare if lends and service != user.spare else None,
            slots_per_target=workload.SLOTS_PER_TARGET,
            default_deadline_ms=round(shape.deadline_s * 1000),
            max_queue=100_000,
            kinds={
                "quote": document_model.Kind(declared_run_ms=60),
                "plan": document_model.Kind(declared_run_ms=1500),
                "order": document_model.Kind(repeatable=False, declared_run_ms=60),
            },
        )
    return document_model.Document(
        user=user.name,
        hosts=hosts,
        pools=pools,
        services=services,
        weights=user.weights,
    )


class StaticSource:
    """`FleetSource` with a document that never changes."""

    state: fleet_state.FleetState

    def __init__(self, document: document_model.Document) -> None:
        self.state = fleet_state.FleetState()
        in_force = documents_state.DocumentInForce(1, "bench", 0, document)
        self.state.documents.in_force_by_environment["production"] = in_force
        pools_state.apply_document(self.state.pools, document, 0)

    async def wait_applied(self, offset: int) -> None:
        """Return at once: nothing is applied later."""

    async def refresh(self, timeout_s: float) -> bool:
        """Return at once: nothing is applied later."""
        return True


class StaticHostList:
    """`HostListSource` in which all hosts of a document are live."""

    latest: platform_service.HostList | None
    age_s: float = 0.0

    def __init__(self, document: document_model.Document) -> None:
        self.latest = platform_service.HostList(
            0,
            {
                host_id: platform_service.ListedHost(
                    host_id, host.data_centre, host.rack, "127.0.0.1", 1, "live"
                )
                for host_id, host in document.hosts.items()
            },
        )


class SharedClaims:
    """`ClaimService` shared by all nodes; the first claim of an id succeeds."""

    _claimed: set[str]

    def __init__(self) -> None:
        self._claimed = set()

    async def claim(self, request_id: str, timeout_s: float) -> codes.ResultCode:
        """Claim a request id, after a delay."""
        await asyncio.sleep(CLAIM_DELAY_S)
        if request_id in self._claimed:
            return codes.ResultCode.ALREADY_CLAIMED
        self._claimed.add(request_id)
        return codes.ResultCode.OK

    async def release(self, request_id: str) -> None:
        """Release a request id."""
        self._claimed.discard(request_id)


@dataclasses.dataclass(slots=True)
class _RemoteHandler:
    """Handler of an owner on another node, with a link delay in each direction."""

    owner: model.RequestHandler
    link_delay_s: float

    async def handle(
        self, request: model.Request, on_started: Callable[[], None]
    ) -> model.Outcome:
        await asyncio.sleep(self.link_delay_s)
        outcome = await self.owner.handle(request, on_started)
        await asyncio.sleep(self.link_delay_s)
        return outcome


@dataclasses.dataclass(slots=True)
class _OwnerDirectory:
    """`OwnerDirectory` by rendezvous hashing; without owners, only the node itself."""

    node: str
    dispatchers_by_node: dict[str, dispatcher.Dispatcher]
    link_delay_s: float
    has_owners: bool
    document: document_model.Document

    def candidates(self, service: str) -> Sequence[model.OwnerCandidate]:
        """Return the nodes that may own a service, the owner first."""
        if not self.has_owners:
            local = self.dispatchers_by_node[self.node]
            return [model.OwnerCandidate(self.node, local, is_local=True)]
        return [self._candidate(n) for n in self._owner_order(service)]

    def _owner_order(self, service: str) -> Iterable[str]:
        group = self.document.queue_group(service)
        return rendezvous.order_nodes(group, list(self.dispatchers_by_node))

    def _candidate(self, node: str) -> model.OwnerCandidate:
        handler: model.RequestHandler = self.dispatchers_by_node[node]
        if node != self.node:
            handler = _RemoteHandler(handler, self.link_delay_s)
        return model.OwnerCandidate(node, handler, is_local=node == self.node)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Outcome of one request."""

    arrival: workload.Arrival
    kind: model.OutcomeKind
    code: codes.ResultCode
    delay_s: float  # latency beyond the true run time
    runs: int  # number of times that targets started it


@dataclasses.dataclass(slots=True)
class Run:
    """Results of one run of a cluster."""

    results: list[Result]
    refused_full: int  # attempts that reached a target without a free slot
    attempts: int  # requests that targets started
    lost: int  # requests without an outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Scheme:
    """Set-up of a run: entry nodes, targets and their failures."""

    nodes: int = 3
    has_owners: bool = True  # False: each node admits independently
    failed_share: float = 0.0  # share of the targets that fail
    failed_at_s: float = math.inf
    failure: Failure = "killed"
    targets_by_service: Mapping[str, int] | None = None
    lends: bool = False  # services borrow idle slots of the spare pool


class Cluster:
    """Routers of the entry nodes, and targets, of one user."""

    routers: list[router.Router]
    targets_by_host_id: dict[str, fake_target.FakeTarget]
    _transport: fake_target.FakeTargetTransport
    _dispatchers: tuple[dispatcher.Dispatcher, ...]

    def __init__(
        self, user: workload.User, shape: workload.Shape, scheme: Scheme
    ) -> None:
        document = make_document(user, shape, scheme.targets_by_service, scheme.lends)
        source = StaticSource(document)
        self.targets_by_host_id = {
            host_id: fake_target.FakeTarget(
                target_standin.TargetState(host_id, workload.SLOTS_PER_TARGET)
            )
            for host_id in document.hosts
        }
        self._transport = fake_target.FakeTargetTransport(
            self.targets_by_host_id, user.link_delay_s
        )
        claims = SharedClaims()
        dispatchers_by_node = {
            f"node-{index}": dispatcher.Dispatcher(
                source,
                targets.FleetTargetDirectory(source, StaticHostList(document)),
                self._transport,
                claims,
            )
            for index in range(scheme.nodes)
        }
        self._dispatchers = tuple(dispatchers_by_node.values())
        self.routers = [
            router.Router(
                _OwnerDirectory(
                    node,
                    dispatchers_by_node,
                    user.link_delay_s,
                    scheme.has_owners,
                    document,
                ),
                source,
            )
            for node in dispatchers_by_node
        ]

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Handle requests while the context is entered; end all work on exit."""
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self._transport.running())
            for owner in self._dispatchers:
                await stack.enter_async_context(owner.running())
            yield


async def run(
    user: workload.User,
    shape: workload.Shape,
    scheme: Scheme,
    arrivals: Sequence[workload.Arrival],
    seed: int,
) -> Run:
    """Send all arrivals through random nodes and collect their outcomes."""
    cluster = Cluster(user, shape, scheme)
    async with cluster.running():
        return await _send_all(cluster, shape, scheme, arrivals, seed)


async def _send_all(
    cluster: Cluster,
    shape: workload.Shape,
    scheme: Scheme,
    arrivals: Sequence[workload.Arrival],
    seed: int,
) -> Run:
    loop = asyncio.get_running_loop()
    generator = random.Random(seed)
    await asyncio.sleep(1.0)
    start = loop.time()
    if scheme.failed_share:
        loop.call_at(start + scheme.failed_at_s, _fail_targets, cluster, scheme)
    results: list[Result] = []

    async def send(arrival: workload.Arrival, node_router: router.Router) -> None:
        sent_at = loop.time()
        request = model.Request(
            request_id=identifiers.new_id(),
            service=arrival.service,
            kind=arrival.kind,
            body=b'{"run_ms": %f}' % (arrival.run_s * 1000),
            content_type="application/json",
            deadline=sent_at + shape.deadline_s,
            declared_run_ms=arrival.declared_run_ms,
        )
        outcome = await node_router.handle(request)
        results.append(
            Result(
                arrival,
                outcome.kind,
                outcome.code,
                loop.time() - sent_at - arrival.run_s,
                runs=sum(
                    target.state.runs_by_request_id[request.request_id]
                    for target in cluster.targets_by_host_id.values()
                    if request.request_id in target.state.runs_by_request_id
                ),
            )
        )

    tasks = []
    for arrival in arrivals:
        delay_s = start + arrival.at_s - loop.time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        node_router = generator.choice(cluster.routers)
        tasks.append(loop.create_task(send(arrival, node_router)))
    await asyncio.wait(tasks, timeout=shape.deadline_s * 3)
    lost = sum(not task.done() for task in tasks)
    for task in tasks:
        if task.done():
            task.result()
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    states = [target.state for target in cluster.targets_by_host_id.values()]
    runs: collections.Counter[str] = collections.Counter()
    for state in states:
        runs.update(state.runs_by_request_id)
    return Run(
        results=results,
        refused_full=sum(state.refused_full for state in states),
        attempts=runs.total(),
        lost=lost,
    )


def _fail_targets(cluster: Cluster, scheme: Scheme) -> None:
    """Make every n-th target fail, so that all pools lose the same share."""
    host_ids = sorted(cluster.targets_by_host_id)
    for host_id in host_ids[:: round(1 / scheme.failed_share)]:
        target = cluster.targets_by_host_id[host_id]
        match scheme.failure:
            case "killed":
                target.kill()
            case "fails all":
                target.state.faults.fail_all = True
            case "silent":
                target.state.faults.freeze = True
