"""When callers whose submissions were refused should come back.

Whole seconds, as the header ``Retry-After`` has them. The spread is a hash of the job's
id, so that each node tells a caller the same, and callers that were refused together do
not return together.
"""

import hashlib
import math

# A job is worth little once it is later than its objective, about four seconds.
OUTAGE_MAX_S = 4
OUTAGE_SPREAD_S = 3.0
OVERLOAD_MIN_S = 1
OVERLOAD_MAX_S = 10
# Overload lasts longer than an outage and refuses more callers at a time.
OVERLOAD_SPREAD_S = 5.0


def spread(job_id: str) -> float:
    """Return a number from 0 to below 1 that depends only on the id."""
    digest = hashlib.blake2b(job_id.lower().encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 2**32


def after_outage(job_id: str, outage_s: float) -> int:
    """Return the seconds after which to return while the store is unavailable.

    An outage that has lasted for `outage_s` is expected to last as long again, but at
    most two seconds.
    """
    remaining_s = min(max(outage_s, 1.0), 2.0)
    return min(OUTAGE_MAX_S, math.floor(remaining_s + spread(job_id) * OUTAGE_SPREAD_S))


def after_overload(job_id: str, excess_s: float) -> int:
    """Return the seconds after which to return while a pool is overloaded.

    Parameters
    ----------
    excess_s : float
        Time until the wait falls below the objective, if no more work arrives.
    """
    wait_s = min(max(math.ceil(excess_s), OVERLOAD_MIN_S), OVERLOAD_MAX_S)
    return wait_s + math.floor(spread(job_id) * OVERLOAD_SPREAD_S)
