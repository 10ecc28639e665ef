"""Rendezvous hashing: which node owns the queue of a service.

Each (service, node) pair has a score that every node computes in the same way. The node
with the highest score owns the service, so losing a node moves only its services.
"""

import functools
import hashlib
from collections.abc import Iterable

_SCORE_BYTES = 8  # 64 bits: ties among a few hundred nodes do not occur in practice


# Enough for a few hundred services on tens of nodes; scores are needed by each request.
_CACHED_SCORES = 16_384


@functools.lru_cache(maxsize=_CACHED_SCORES)
def score(service: str, node: str) -> int:
    """Return the score of a node for a service, which is equal in every process."""
    digest = hashlib.blake2b(digest_size=_SCORE_BYTES)
    # The length distinguishes ("ab", "c") from ("a", "bc").
    digest.update(f"{len(service)}:{service}{node}".encode())
    return int.from_bytes(digest.digest(), "big")


def order_nodes(service: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes by descending score; the first one owns the service.

    Parameters
    ----------
    service : str
        Name of the service.
    nodes : iterable of str
        Names of the nodes that may own queues.
    """
    return sorted(nodes, key=lambda node: (-score(service, node), node))
