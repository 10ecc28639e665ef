"""Random faults of a network of memberships; views agree once they end."""

import asyncio
import contextlib
import dataclasses

import hypothesis
from hypothesis import strategies

from clementinespar.peers.tests import memory_network
from clementinespar.tests import paused_clock

_NAMES = ("a", "b", "c", "d")
_ENDPOINTS = tuple(f"10.0.0.{i}:1" for i in range(1, 8))
_WITNESS = "10.0.0.9:1"  # node of another name, which settles who keeps a name
_SEEDS = (*_ENDPOINTS[:2], _WITNESS)
_SETTLE_S = 60.0  # longer than a member list refresh
_DEAD_S = 4.0  # until a stopped process is noticed


@dataclasses.dataclass(frozen=True)
class Start:
    """A process starts at an endpoint that nobody uses; its clock may be behind."""

    name: str
    endpoint: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class Kill:
    """The process at an endpoint ends."""

    endpoint: str


@dataclasses.dataclass(frozen=True)
class Freeze:
    """The process at an endpoint neither sends nor answers."""

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
class _Life:
    """When a process ran."""

    name: str
    started_at: float
    ended_at: float = float("inf")


class _World:
    """Running processes on one network."""

    network: memory_network.Network
    nodes_by_endpoint: dict[str, memory_network.Node]
    lives: list[_Life]  # of all processes
    _life_by_endpoint: dict[str, _Life]  # of running processes
    _stacks_by_endpoint: dict[str, contextlib.AsyncExitStack]

    def __init__(self) -> None:
        self.network = memory_network.Network()
        self.nodes_by_endpoint = {}
        self.lives = []
        self._life_by_endpoint = {}
        self._stacks_by_endpoint = {}

    async def do(self, action: object) -> None:
        """Carry out an action, if it is possible now."""
        match action:
            case Start(name, endpoint, incarnation):
                await self.start(name, endpoint, incarnation)
            case Kill(endpoint):
                await self.kill(endpoint)
            case Freeze(endpoint):
                self.network.frozen.add(endpoint)
            case Cut(source, target):
                self.network.cuts.add((source, target))
            case Heal():
                self.network.heal()
                self.network.frozen.clear()
            case Wait(seconds):
                await asyncio.sleep(seconds)

    async def start(self, name: str, endpoint: str, incarnation: int) -> None:
        """Start a process."""
        if endpoint in self.nodes_by_endpoint:
            return
        self.network.frozen.discard(endpoint)
        stack = contextlib.AsyncExitStack()
        self.nodes_by_endpoint[endpoint] = await stack.enter_async_context(
            memory_network.running_node(
                self.network, name, endpoint, _SEEDS, incarnation
            )
        )
        self._stacks_by_endpoint[endpoint] = stack
        life = _Life(name, asyncio.get_running_loop().time())
        self._life_by_endpoint[endpoint] = life
        self.lives.append(life)

    async def kill(self, endpoint: str) -> None:
        """End a process."""
        if self.nodes_by_endpoint.pop(endpoint, None) is not None:
            life = self._life_by_endpoint.pop(endpoint)
            life.ended_at = asyncio.get_running_loop().time()
            await self._stacks_by_endpoint.pop(endpoint).aclose()

    async def stop_superseded(self) -> None:
        """Stop the processes that stop by themselves, and check that they may."""
        for endpoint, node in list(self.nodes_by_endpoint.items()):
            if node.members.is_superseded:
                own = self._life_by_endpoint[endpoint]
                assert any(
                    life is not own
                    and life.name == own.name
                    and life.ended_at > own.started_at
                    for life in self.lives
                ), "superseded by a process that ended before it started"
                await self.kill(endpoint)

    async def end(self) -> None:
        """End all processes."""
        for endpoint in list(self.nodes_by_endpoint):
            await self.kill(endpoint)

    def check_agreement(self) -> None:
        """Check that one process keeps each name and that they see each other."""
        current = self.nodes_by_endpoint
        names = [node.members.name for node in current.values()]
        assert len(set(names)) == len(names), "two processes keep one name"
        for endpoint, node in current.items():
            seen = {p.name: p.member.endpoint for p in node.members.live_peers()}
            expected = {
                other.members.name: other_endpoint
                for other_endpoint, other in current.items()
                if other_endpoint != endpoint
            }
            assert seen == expected, f"view of {node.members.name} at {endpoint}"


def _restart_with_an_older_clock(endpoint: str) -> list[object]:
    """Return a history in which a node returns with a lower incarnation."""
    return [
        Start("b", endpoint, 2),
        Wait(0.25),
        Kill(endpoint),
        Start("b", endpoint, 1),
    ]


@hypothesis.example(_restart_with_an_older_clock(_ENDPOINTS[1]))
@hypothesis.example(_restart_with_an_older_clock(_ENDPOINTS[2]))
@hypothesis.given(strategies.lists(_actions, max_size=25))
@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
def test_views_agree_after_the_faults_end(actions: list[object]) -> None:
    async def main() -> None:
        world = _World()
        try:
            await world.start("a", _ENDPOINTS[0], 5)
            for action in actions:
                await world.do(action)
                await world.stop_superseded()
            await world.do(Heal())
            # A seed runs at the end, so that all parts can meet.
            await world.start("z", _WITNESS, 5)
            await asyncio.sleep(_SETTLE_S)
            await world.stop_superseded()
            await asyncio.sleep(_DEAD_S)
            world.check_agreement()
        finally:
            await world.end()

    paused_clock.run(main())
