"""How many hosts of a pool leave at once for a wave of maintenance, and which first.

The load it answers: hosts with lasting tasks take several seconds to evacuate, since
their tasks move one after another as far as their steps may miss some. If these hosts
are left for the end, the wave is late.
"""

import math
from collections.abc import Callable, Sequence

from clementinespar.jobs import model

# Share of a pool's hosts that may leave at once; doubled near the deadline of a wave.
MAX_LEAVING_SHARE = 0.25
URGENT_SHARE = 2.0  # of `MAX_LEAVING_SHARE`
# Evacuations of hosts with lasting tasks took 4 to 10 s on days with failures.
EVACUATION_S = 8.0


def leaving_limit(
    pool_hosts: int, pending_hosts: int, left_s: float, deadline_s: float
) -> int:
    """Return how many hosts of a pool may leave or be in maintenance at once.

    Parameters
    ----------
    pool_hosts : int
        Hosts of the pool.
    pending_hosts : int
        Hosts of the pool whose maintenance has not begun.
    left_s, deadline_s : float
        Time until the deadline of the wave, and from its start, in seconds.
    """
    most = max(1, math.ceil(pool_hosts * MAX_LEAVING_SHARE * URGENT_SHARE))
    if left_s <= deadline_s / 3:
        return most
    rounds = max(1.0, (left_s - EVACUATION_S) / EVACUATION_S)
    needed = math.ceil(pending_hosts / rounds)
    return min(most, max(1, math.ceil(pool_hosts * MAX_LEAVING_SHARE), needed))


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
