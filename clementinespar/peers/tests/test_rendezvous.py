"""Tests of rendezvous hashing."""

import hypothesis
from hypothesis import strategies

from clementinespar.peers import rendezvous

_names = strategies.lists(
    strategies.text("abcdefgh0123456789-", min_size=1, max_size=8),
    min_size=2,
    max_size=12,
    unique=True,
)


def test_scores_are_the_same_in_every_process() -> None:
    """Guards against a hash with a seed per process.

    Two nodes would then own the same queue.
    """
    assert rendezvous.score("orders", "node-1") == 5452389741661477857
    assert rendezvous.order_nodes("orders", ["c", "a", "b"]) == ["c", "b", "a"]


@hypothesis.given(_names, _names, strategies.data())
@hypothesis.settings(derandomize=True)
def test_losing_a_node_moves_only_its_services(
    nodes: list[str], services: list[str], data: strategies.DataObject
) -> None:
    """Guards against queues that move although their owner stays alive."""
    lost = data.draw(strategies.sampled_from(nodes))
    rest = [node for node in nodes if node != lost]
    for service in services:
        before = rendezvous.order_nodes(service, nodes)
        after = rendezvous.order_nodes(service, reversed(rest))
        assert after == [node for node in before if node != lost]


def test_services_are_spread_evenly_over_nodes() -> None:
    """Guards against a node that owns far more queues than others."""
    nodes = [f"node-{i}" for i in range(9)]
    owners = [rendezvous.order_nodes(f"service-{i}", nodes)[0] for i in range(900)]
    counts = [owners.count(node) for node in nodes]
    assert min(counts) > 60
    assert max(counts) < 140
