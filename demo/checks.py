"""The promises that the demo checks, and the observations they rest on."""

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
class PoolRecord:
    """What was seen of one pool's availability budget."""

    min_available: int = 0
    least_available: int = 1_000_000  # least number of hosts in service that was seen
    most_out: int = 0  # most hosts that were out at once
    observations: int = 0

    @property
    def is_held(self) -> bool:
        """Whether the pool always kept enough hosts in service."""
        return self.observations > 0 and self.least_available >= self.min_available


@dataclasses.dataclass(slots=True)
class BudgetWatch:
    """Watches the pools of all nodes' statuses."""

    host_count: int  # hosts of the document; each is in exactly one pool
    pools_by_name: dict[str, PoolRecord] = dataclasses.field(default_factory=dict)
    miscounted: int = 0  # statuses whose pools together had another number of hosts

    async def run(self, deployed: deployment.Deployment) -> None:
        """Watch until cancelled."""
        while True:
            for node in deployed.live_nodes:
                reply = await deployed.get(node, "/v1/status")
                if reply is not None and reply.is_done:
                    self.observe(reply.values)
            await asyncio.sleep(_POLL_S)

    def observe(self, status: Mapping[str, object]) -> None:
        """Take one status into account."""
        counted = 0
        for pool in replies.items(status, "pools"):
            record = self.pools_by_name.setdefault(
                replies.text(pool, "name"), PoolRecord()
            )
            available = replies.integer(pool, "available")
            counted += replies.integer(pool, "hosts")
            record.observations += 1
            record.min_available = replies.integer(pool, "min_available")
            record.least_available = min(record.least_available, available)
            record.most_out = max(
                record.most_out, replies.integer(pool, "hosts") - available
            )
        self.miscounted += counted != self.host_count


@dataclasses.dataclass(slots=True)
class Runs:
    """How often each request ran at each target, as the targets say."""

    runs_by_host: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    over_admitted: int = 0  # requests that found no free slot, when last read
    unread_hosts: set[str] = dataclasses.field(
        default_factory=set
    )  # took no connection

    async def read(self, deployed: deployment.Deployment) -> None:
        """Read the counts of all targets that run."""
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
        """Return how often each request ran anywhere."""
        counts: collections.Counter[str] = collections.Counter()
        for runs in self.runs_by_host.values():
            counts.update(runs)
        return counts


async def _fetch(url: str) -> httpclient.HTTPResponse | None:
    """Fetch from a target; None if all of its connections stay in use."""
    client = httpclient.AsyncHTTPClient()
    for _ in range(_FETCH_ATTEMPTS):
        try:
            return await client.fetch(url, request_timeout=5.0)
        except (OSError, httpclient.HTTPError):
            await asyncio.sleep(_FETCH_PAUSE_S)
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Requests of one service by what became of them."""

    service: str
    asked: int
    answered: int
    refused: int
    unknown: int  # includes callers whose node was killed
    lost: int  # no outcome although the node was not killed
    doubled: int  # non-repeatable requests that ran more than once
    ran_although_refused: int
    wrong_caller: int

    @property
    def broken(self) -> int:
        """How many requests broke a promise."""
        return self.lost + self.doubled + self.ran_although_refused + self.wrong_caller


def tally(asked: Iterable[load.Asked], runs: Mapping[str, int]) -> list[Tally]:
    """Return one tally for each service."""
    by_service: dict[str, list[load.Asked]] = {}
    for request in asked:
        by_service.setdefault(request.service, []).append(request)
    return [
        _tally_service(service, requests, runs)
        for service, requests in by_service.items()
    ]


def is_lost(request: load.Asked) -> bool:
    """Whether a request has no outcome although its node was not killed."""
    match request.result:
        case load.Result.PENDING | load.Result.LOST:
            return True
        case load.Result.CUT:
            return not request.node.was_killed
        case _:
            return False


def _tally_service(
    service: str, requests: list[load.Asked], runs: Mapping[str, int]
) -> Tally:
    results = collections.Counter(request.result for request in requests)
    lost = sum(map(is_lost, requests))
    cut_by_kill = results[load.Result.CUT] - sum(
        is_lost(r) for r in requests if r.result == load.Result.CUT
    )
    return Tally(
        service=service,
        asked=len(requests),
        answered=results[load.Result.ANSWERED],
        refused=results[load.Result.REFUSED],
        unknown=results[load.Result.UNKNOWN] + cut_by_kill,
        lost=lost,
        doubled=sum(
            not r.is_repeatable and runs.get(r.request_id, 0) > 1 for r in requests
        ),
        ran_although_refused=sum(
            r.result == load.Result.REFUSED and runs.get(r.request_id, 0) > 0
            for r in requests
        ),
        wrong_caller=sum(r.is_wrong_answer for r in requests),
    )


async def time_in_force(
    deployed: deployment.Deployment, environment: str, revision: int
) -> float:
    """Return the seconds from acceptance until a revision is seen on all live nodes.

    Acceptance is the append time in the log; all clocks are those of this machine. The
    result is infinite if the revision is not seen everywhere within twice the limit.
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
