"""Baseline policies that the product is compared with, at equal capacity.

Each is a discrete-event simulation without network delay. The product has such delays,
so a comparison favours the baselines.
"""

import dataclasses
import heapq
import random
from collections.abc import Callable, Sequence

from bench.policy import workload


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Waiting time of one request."""

    arrival: workload.Arrival
    waited_s: float | None  # None: refused, because it did not start in time


Key = Callable[[workload.Arrival], float]


def by_arrival(arrival: workload.Arrival) -> float:
    """Sort key of first come, first served."""
    return arrival.at_s


def by_true_size(arrival: workload.Arrival) -> float:
    """Sort key of the clairvoyant bound: shortest true run time first."""
    return arrival.run_s


def simulate(
    arrivals: Sequence[workload.Arrival],
    slots: int,
    deadline_s: float,
    key: Key,
) -> list[Wait]:
    """Simulate one queue and its slots, without preemption.

    Parameters
    ----------
    arrivals : sequence of workload.Arrival, shape (n,)
        Requests in order of arrival.
    slots : int
        Number of requests that run at once.
    deadline_s : float
        A request that has not started this long after its arrival is refused.
    key : callable
        The queued request with the smallest key starts next.

    Returns
    -------
    list of Wait, shape (n,)
    """
    ends: list[float] = []  # heap of the end times of running requests
    queue: list[tuple[float, int, workload.Arrival]] = []
    waits: list[Wait] = []

    def start_until(now: float) -> None:
        """Start queued requests in the slots that become free until ``now``."""
        while queue and ends and ends[0] <= now:
            free_at = heapq.heappop(ends)
            while queue:
                _, _, arrival = heapq.heappop(queue)
                waited_s = free_at - arrival.at_s
                if waited_s > deadline_s:
                    waits.append(Wait(arrival, None))
                    continue
                waits.append(Wait(arrival, waited_s))
                heapq.heappush(ends, free_at + arrival.run_s)
                break
        while not queue and ends and ends[0] <= now:
            heapq.heappop(ends)

    for index, arrival in enumerate(arrivals):
        start_until(arrival.at_s)
        if len(ends) < slots:
            waits.append(Wait(arrival, 0.0))
            heapq.heappush(ends, arrival.at_s + arrival.run_s)
        else:
            heapq.heappush(queue, (key(arrival), index, arrival))
    start_until(float("inf"))
    return waits


def simulate_services(
    user: workload.User,
    arrivals: Sequence[workload.Arrival],
    deadline_s: float,
    key: Key,
) -> list[Wait]:
    """Simulate every service with one queue for all of its slots."""
    waits: list[Wait] = []
    for service in user.services:
        service_arrivals = [a for a in arrivals if a.service == service]
        waits.extend(simulate(service_arrivals, user.slots, deadline_s, key))
    return waits


def simulate_divided(
    user: workload.User,
    arrivals: Sequence[workload.Arrival],
    deadline_s: float,
    nodes: int,
    seed: int,
) -> list[Wait]:
    """Simulate nodes that each have an even part of the slots of each service.

    The balancer sends each request to a random node.
    """
    generator = random.Random(seed)
    waits: list[Wait] = []
    for service in user.services:
        arrivals_by_node: list[list[workload.Arrival]] = [[] for _ in range(nodes)]
        for arrival in arrivals:
            if arrival.service == service:
                arrivals_by_node[generator.randrange(nodes)].append(arrival)
        for node, node_arrivals in enumerate(arrivals_by_node):
            slots = user.slots // nodes + (node < user.slots % nodes)
            waits.extend(simulate(node_arrivals, slots, deadline_s, by_arrival))
    return waits


def percentile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that a share of the values does not exceed."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
