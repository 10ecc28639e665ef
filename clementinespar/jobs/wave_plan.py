"""How many hosts of a pool leave at once for a wave of maintenance, and which first.

The load it answers: hosts with lasting tasks take several seconds to evacuate, since
their tasks move one after another as far as their steps may miss some. If these hosts
are left for the end, the wave is late; if all of them leave at once, they get no short
work for as long as they wait for each other.
"""

import math
from collections.abc import Callable, Sequence

from clementinespar.jobs import model

# Share of a pool's hosts that may leave at once; doubled near the deadline of a wave.
MAX_LEAVING_SHARE = 0.25
# Hosts of a pool with lasting tasks that may leave at once; doubled as well. One
# evacuation took 4 to 10 s, so a wave of 24 s reaches a dozen hosts of each pool.
MAX_LEAVING_LASTING = 3
URGENT_FACTOR = 2


def leaving_limit(pool_hosts: int, left_s: float, deadline_s: float) -> int:
    """Return how many hosts of a pool may leave or be in maintenance at once.

    Parameters
    ----------
    pool_hosts : int
        Hosts of the pool.
    left_s, deadline_s : float
        Time until the deadline of the wave, and from its start, in seconds.
    """
    share = MAX_LEAVING_SHARE * _factor(left_s, deadline_s)
    return max(1, math.ceil(pool_hosts * share))


def leaving_lasting_limit(left_s: float, deadline_s: float) -> int:
    """Return how many hosts of a pool with lasting tasks may leave at once."""
    return MAX_LEAVING_LASTING * _factor(left_s, deadline_s)


def order_hosts(
    pending: Sequence[model.HostEntry], count_lasting: Callable[[str], int]
) -> list[model.HostEntry]:
    """Return the hosts in the order in which they should leave.

    Parameters
    ----------
    count_lasting : callable
        Returns the number of lasting tasks on a worker, by its id.
    """
    return sorted(pending, key=lambda host: -count_lasting(host.worker_id))


def _factor(left_s: float, deadline_s: float) -> int:
    return 1 if left_s > deadline_s / 3 else URGENT_FACTOR
