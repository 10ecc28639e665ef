"""Property test: after random faults of a network, all memberships agree."""

import asyncio
import contextlib
import dataclasses

import hypothesis
from hypothesis import strategies

from clementinespar.peers.tests import memory_network
from clementinespar.tests import paused_clock

_NAMES = ("a", "b", "c", "d")
_ENDPOINTS = tuple(f"10.0.0.{i}:1" for i in range(1, 8))
_OBSERVER = "10.0.0.9:1"  # node of another name, whose lists resolve name conflicts
_SEEDS = (*_ENDPOINTS[:2], _OBSERVER)
_SETTLE_S = 60.0  # longer than the refresh interval of member lists
_DEAD_S = 4.0  # longer than it takes to detect a stopped process


@dataclasses.dataclass(frozen=True)
class Start:
    """A process starts at an unused endpoint; its clock may be behind."""

    name: str
    endpoint: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class Kill:
    """The process at an endpoint ends."""

    endpoint: str


@dataclasses.dataclass(frozen=True)
class Freeze:
    """The process at an endpoint stops sending and answering."""

    endpoint: str


@dataclasses.dataclass(frozen=True)
class Cut:
    """One direction between two endpoints loses messages."""

    source: str
    target: str


@dataclasses.dataclass(frozen=True)
class Heal:
    """All cuts and freezes end."""


@dataclasses.dataclass(frozen=True)
class Wait:
    """Time passes."""

    seconds: float


_endpoints = strategies.sampled_from(_ENDPOINTS)
_actions = strategies.one_of(
    strategies.builds(
        Start,
        strategies.sampled_from(_NAMES),
        _endpoints,
        strategies.integers(1, 20),
    ),
    strategies.builds(Kill, _endpoints),
    strategies.builds(Freeze, _endpoints),
    strategies.builds(Cut, _endpoints, _endpoints),
    strategies.just(Heal()),
    strategies.builds(Wait, strategies.floats(0.0, 6.0)),
    strategies.builds(Wait, strategies.floats(0.0, 6.0)),
)


@dataclasses.dataclass
class _ProcessRun:
    """Name and running time of a process."""

    name: str
    started_at: float
    ended_at: float = float("inf")


class _Cluster:
    """Running processes on one network."""

    network: memory_network.Network
    nodes_by_endpoint: dict[str, memory_network.Node]
    process_runs: list[_ProcessRun]  # of all processes
    _process_run_by_endpoint: dict[str, _ProcessRun]  # of running processes
    _stacks_by_endpoint: dict[str, contextlib.AsyncExitStack]

    def __init__(self) -> None:
        self.network = memory_network.Network()
        self.nodes_by_endpoint = {}
        self.process_runs = []
        self._process_run_by_endpoint = {}
        self._stacks_by_endpoint = {}

    async def apply(self, action: object) -> None:
        """Execute an action if it is possible now."""
        match action:
            case Start(name, endpoint, incarnation):
                await self.start(name, endpoint, incarnation)
            case Kill(endpoint):
                await self.kill(endpoint)
            case Freeze(endpoint):
                self.network.frozen_endpoints.add(endpoint)
            case Cut(source, target):
                self.network.cut_directions.add((source, target))
            case Heal():
                self.network.heal()
                self.network.frozen_endpoints.clear()
            case Wait(seconds):
                await asyncio.sleep(seconds)

    async def start(self, name: str, endpoint: str, incarnation: int) -> None:
        """Start a process."""
        if endpoint in self.nodes_by_endpoint:
            return
        self.network.frozen_endpoints.discard(endpoint)
        stack = contextlib.AsyncExitStack()
        self.nodes_by_endpoint[endpoint] = await stack.enter_async_context(
            memory_network.running_node(
                self.network, name, endpoint, _SEEDS, incarnation
            )
        )
        self._stacks_by_endpoint[endpoint] = stack
        process_run = _ProcessRun(name, asyncio.get_running_loop().time())
        self._process_run_by_endpoint[endpoint] = process_run
        self.process_runs.append(process_run)

    async def kill(self, endpoint: str) -> None:
        """End a process."""
        if self.nodes_by_endpoint.pop(endpoint, None) is not None:
            process_run = self._process_run_by_endpoint.pop(endpoint)
            process_run.ended_at = asyncio.get_running_loop().time()
            await self._stacks_by_endpoint.pop(endpoint).aclose()

    async def stop_superseded(self) -> None:
        """Stop superseded processes, as the node does, and check that they may stop."""
        for endpoint, node in list(self.nodes_by_endpoint.items()):
            if node.members.is_superseded:
                own_run = self._process_run_by_endpoint[endpoint]
                assert any(
                    process_run is not own_run
                    and process_run.name == own_run.name
                    and process_run.ended_at > own_run.started_at
                    for process_run in self.process_runs
                ), "superseded by a process that ended before it started"
                await self.kill(endpoint)

    async def end(self) -> None:
        """End all processes."""
        for endpoint in list(self.nodes_by_endpoint):
            await self.kill(endpoint)

    def check_agreement(self) -> None:
        """Check that each name has one process and that all see each other alive."""
        current = self.nodes_by_endpoint
        names = [node.members.name for node in current.values()]
        assert len(set(names)) == len(names), "two processes have one name"
        for endpoint, node in current.items():
            seen = {p.name: p.member.endpoint for p in node.members.live_peers()}
            expected = {
                other.members.name: other_endpoint
                for other_endpoint, other in current.items()
                if other_endpoint != endpoint
            }
            assert seen == expected, f"view of {node.members.name} at {endpoint}"


def _restart_with_clock_behind(endpoint: str) -> list[object]:
    """Return actions in which a node restarts with a lower incarnation."""
    return [
        Start("b", endpoint, 2),
        Wait(0.25),
        Kill(endpoint),
        Start("b", endpoint, 1),
    ]


@hypothesis.example(_restart_with_clock_behind(_ENDPOINTS[1]))
@hypothesis.example(_restart_with_clock_behind(_ENDPOINTS[2]))
@hypothesis.given(strategies.lists(_actions, max_size=25))
@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
def test_views_agree_after_the_faults_end(actions: list[object]) -> None:
    """Guards against nodes that never agree on who is alive and who has a name."""

    async def main() -> None:
        cluster = _Cluster()
        try:
            await cluster.start("a", _ENDPOINTS[0], 5)
            for action in actions:
                await cluster.apply(action)
                await cluster.stop_superseded()
            await cluster.apply(Heal())
            # A seed runs at the end, so that all partitions can discover each other.
            await cluster.start("z", _OBSERVER, 5)
            await asyncio.sleep(_SETTLE_S)
            await cluster.stop_superseded()
            await asyncio.sleep(_DEAD_S)
            cluster.check_agreement()
        finally:
            await cluster.end()

    paused_clock.run(main())
