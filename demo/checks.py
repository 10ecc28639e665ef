"""Guarantees that the demo checks, and the observations they are checked against."""

import asyncio
import collections
import dataclasses
import json
import time
from collections.abc import Iterable, Mapping

from tornado import httpclient

from clementinespar.commands import replies
from demo import deployment, load

IN_FORCE_LIMIT_S = 4.0
_POLL_S = 0.1
_FETCH_ATTEMPTS = 5
_FETCH_PAUSE_S = 0.25


@dataclasses.dataclass(slots=True)
class PoolAvailability:
    """Observed availability of one pool, compared with its budget."""

    min_available: int = 0
    least_available: int = 1_000_000  # lowest observed number of hosts in service
    most_out: int = 0  # highest observed number of hosts out of service
    observations: int = 0

    @property
    def is_within_budget(self) -> bool:
        """Whether every observation had enough hosts in service."""
        return self.observations > 0 and self.least_available >= self.min_available


@dataclasses.dataclass(slots=True)
class BudgetWatch:
    """Observes the pools in the status of every live node."""

    host_count: int  # hosts in the document; each belongs to exactly one pool
    pools_by_name: dict[str, PoolAvailability] = dataclasses.field(default_factory=dict)
    miscounted: int = 0  # statuses whose pools did not add up to `host_count`

    async def run(self, deployed: deployment.Deployment) -> None:
        """Poll the status of all live nodes until cancelled."""
        while True:
            for node in deployed.live_nodes:
                reply = await deployed.get(node, "/v1/status")
                if reply is not None and reply.is_done:
                    self.observe(reply.values)
            await asyncio.sleep(_POLL_S)

    def observe(self, status: Mapping[str, object]) -> None:
        """Update the observations with the status of one node."""
        host_total = 0
        for pool in replies.items(status, "pools"):
            pool_availability = self.pools_by_name.setdefault(
                replies.text(pool, "name"), PoolAvailability()
            )
            available = replies.integer(pool, "available")
            host_total += replies.integer(pool, "hosts")
            pool_availability.observations += 1
            pool_availability.min_available = replies.integer(pool, "min_available")
            pool_availability.least_available = min(
                pool_availability.least_available, available
            )
            pool_availability.most_out = max(
                pool_availability.most_out, replies.integer(pool, "hosts") - available
            )
        self.miscounted += host_total != self.host_count


@dataclasses.dataclass(slots=True)
class RunCounts:
    """How often each request ran at each target, as reported by the targets."""

    runs_by_host: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    over_admitted: int = 0  # requests sent to a full target, at the last read
    # Hosts whose target could not be read.
    unread_hosts: set[str] = dataclasses.field(default_factory=set)

    async def read(self, deployed: deployment.Deployment) -> None:
        """Read the counts of all running targets."""
        self.over_admitted = 0
        for host_id, target in deployed.targets_by_host.items():
            if not target.is_running:
                continue
            url = f"http://127.0.0.1:{target.first_line['port']}/runs"
            response = await _fetch(url)
            if response is None:
                self.unread_hosts.add(host_id)
                continue
            values = json.loads(response.body)
            self.runs_by_host[host_id] = values["runs"]
            self.over_admitted += values["refused_full"]

    def total(self) -> collections.Counter[str]:
        """Return how often each request ran over all targets."""
        counts: collections.Counter[str] = collections.Counter()
        for runs in self.runs_by_host.values():
            counts.update(runs)
        return counts


async def _fetch(url: str) -> httpclient.HTTPResponse | None:
    """Fetch from a target; None if every attempt fails.

    Several attempts are made because the load may use all connections of the target.
    """
    client = httpclient.AsyncHTTPClient()
    for _ in range(_FETCH_ATTEMPTS):
        try:
            return await client.fetch(url, request_timeout=5.0)
        except (OSError, httpclient.HTTPError):
            await asyncio.sleep(_FETCH_PAUSE_S)
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Number of requests of one service by outcome."""

    service: str
    sent: int
    answered: int
    refused: int
    unknown: int  # includes requests whose node was killed
    lost: int  # no outcome although the node was not killed
    duplicated: int  # non-repeatable requests that ran more than once
    ran_although_refused: int
    wrong_answers: int

    @property
    def violations(self) -> int:
        """Number of violated guarantees, summed over all requests."""
        return (
            self.lost + self.duplicated + self.ran_although_refused + self.wrong_answers
        )


def tally(requests: Iterable[load.SentRequest], runs: Mapping[str, int]) -> list[Tally]:
    """Return one tally for each service."""
    by_service: dict[str, list[load.SentRequest]] = {}
    for request in requests:
        by_service.setdefault(request.service, []).append(request)
    return [
        _tally_service(service, service_requests, runs)
        for service, service_requests in by_service.items()
    ]


def is_lost(request: load.SentRequest) -> bool:
    """Whether a request has no outcome although its node was not killed."""
    match request.result:
        case load.Result.PENDING | load.Result.LOST:
            return True
        case load.Result.DISCONNECTED:
            return not request.node.was_killed
        case _:
            return False


def _tally_service(
    service: str, requests: list[load.SentRequest], runs: Mapping[str, int]
) -> Tally:
    results = collections.Counter(request.result for request in requests)
    lost = sum(map(is_lost, requests))
    disconnected_by_kill = results[load.Result.DISCONNECTED] - sum(
        is_lost(r) for r in requests if r.result == load.Result.DISCONNECTED
    )
    return Tally(
        service=service,
        sent=len(requests),
        answered=results[load.Result.ANSWERED],
        refused=results[load.Result.REFUSED],
        unknown=results[load.Result.UNKNOWN] + disconnected_by_kill,
        lost=lost,
        duplicated=sum(
            not r.is_repeatable and runs.get(r.request_id, 0) > 1 for r in requests
        ),
        ran_although_refused=sum(
            r.result == load.Result.REFUSED and runs.get(r.request_id, 0) > 0
            for r in requests
        ),
        wrong_answers=sum(r.is_wrong_answer for r in requests),
    )


async def seconds_until_in_force(
    deployed: deployment.Deployment, environment: str, revision: int
) -> float:
    """Return the seconds until an accepted revision is in force on all live nodes.

    Acceptance is the append time in the log; the log and the demo use the clock of this
    machine. The result is infinite if the revision is not in force on all live nodes
    within twice the limit.
    """
    until = time.time() + 2 * IN_FORCE_LIMIT_S
    accepted_ms = 0
    path = f"/v1/documents/{environment}"
    for node in deployed.live_nodes:
        while True:
            reply = await deployed.get(node, path)
            if (
                reply is not None
                and replies.integer(reply.values, "revision") >= revision
            ):
                accepted_ms = replies.integer(reply.values, "log_time_ms")
                break
            if time.time() > until:
                return float("inf")
            await asyncio.sleep(0.02)
    return time.time() - accepted_ms / 1000
