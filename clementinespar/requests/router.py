"""Ingress of requests: routes each one to the owner of its service's queue."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable
from typing import Any

from clementinespar import codes
from clementinespar.fleet import source as fleet_source
from clementinespar.requests import model

# Nodes disagree about the membership for a few heartbeats after a change. The third
# candidate is needed only if two nodes stop within that time.
MAX_CANDIDATES = 3
# About 2 MB; enough to explain the requests of the last minutes to an operator.
MAX_RECENT_REQUESTS = 4096

# The owner did not accept the request, so another node may.
_NOT_ACCEPTED_CODES = frozenset(
    {
        codes.ResultCode.OWNER_UNREACHABLE,
        codes.ResultCode.NODE_STOPPING,
        codes.ResultCode.NOT_READY,
    }
)


@dataclasses.dataclass(slots=True)
class _RecentRequest:
    """Routing and outcome of one request, kept for `Router.explain`."""

    service: str
    kind: str
    accepted_at: float  # event-loop time
    owners: list[str]  # nodes that the request was sent to, in order
    has_started: bool = False  # a byte may have been sent to a target
    outcome: model.Outcome | None = None


class Router:
    """Routes requests to the owner of their service, on this node or another.

    Parameters
    ----------
    directory : model.OwnerDirectory
        Candidates for the owner of a service, in order of preference.
    source : fleet_source.FleetSource
        The document in force, which declares the repeatable kinds.
    """

    _directory: model.OwnerDirectory
    _source: fleet_source.FleetSource
    _recent_by_request_id: collections.OrderedDict[str, _RecentRequest]  # oldest first

    def __init__(
        self, directory: model.OwnerDirectory, source: fleet_source.FleetSource
    ) -> None:
        self._directory = directory
        self._source = source
        self._recent_by_request_id = collections.OrderedDict()

    async def handle(
        self, request: model.Request, on_started: Callable[[], None] = lambda: None
    ) -> model.Outcome:
        """Return the one outcome of a caller's request."""
        loop = asyncio.get_running_loop()
        recent = _RecentRequest(request.service, request.kind, loop.time(), [])
        self._add_recent(request.request_id, recent)

        def mark_started() -> None:
            recent.has_started = True
            on_started()

        outcome = model.Outcome(
            model.OutcomeKind.NOT_RUN,
            codes.ResultCode.NOT_READY,
            "no live entry node can own the queue of this service",
        )
        for candidate in list(self._directory.candidates(request.service))[
            :MAX_CANDIDATES
        ]:
            recent.owners.append(candidate.node)
            try:
                outcome = await candidate.handler.handle(request, mark_started)
            except asyncio.CancelledError:
                recent.outcome = model.Outcome(
                    model.OutcomeKind.UNKNOWN,
                    codes.ResultCode.OUTCOME_UNKNOWN,
                    "the caller left before the outcome",
                )
                raise
            if not self._may_try_next(request, recent, outcome):
                break
            if loop.time() >= request.deadline:
                break
        # Bodies are dropped: those of thousands of outcomes would fill the memory.
        recent.outcome = dataclasses.replace(outcome, body=b"")
        return outcome

    def explain(self, request_id: str) -> dict[str, Any] | None:
        """Return the state of a recent request as JSON values, or None if unknown."""
        recent = self._recent_by_request_id.get(request_id)
        if recent is None:
            return None
        outcome = recent.outcome
        because = [f"handed to {' then '.join(recent.owners) or 'no node'}"]
        if outcome is None:
            state = "started" if recent.has_started else "queued"
            waits_for = "a target's answer" if recent.has_started else "a free slot"
        else:
            state = outcome.kind.value
            waits_for = ""
            because.append(
                f"{outcome.attempts} attempts, {outcome.waited_s:.3f} s in the queue"
            )
            if outcome.host_id is not None:
                because.append(f"the last target was on host {outcome.host_id}")
            if outcome.reason:
                because.append(outcome.reason)
        return {
            "subject": f"request {request_id} ({recent.service}/{recent.kind})",
            "state": state,
            "waits_for": waits_for,
            "because": because,
            "code": int(codes.ResultCode.OK if outcome is None else outcome.code),
        }

    def _may_try_next(
        self, request: model.Request, recent: _RecentRequest, outcome: model.Outcome
    ) -> bool:
        if recent.has_started:
            return False
        if outcome.kind is model.OutcomeKind.NOT_RUN:
            return outcome.code in _NOT_ACCEPTED_CODES
        # The connection to the owner broke before the owner reported a start. The
        # request may still have run, so it is sent again only if it is repeatable.
        return (
            outcome.kind is model.OutcomeKind.UNKNOWN
            and outcome.code == codes.ResultCode.OWNER_LOST
            and self._is_repeatable(request)
        )

    def _is_repeatable(self, request: model.Request) -> bool:
        document = self._source.state.documents.production
        if document is None or request.service not in document.services:
            return False
        kind = document.services[request.service].kinds.get(request.kind)
        return kind is not None and kind.repeatable

    def _add_recent(self, request_id: str, recent: _RecentRequest) -> None:
        self._recent_by_request_id[request_id] = recent
        self._recent_by_request_id.move_to_end(request_id)
        while len(self._recent_by_request_id) > MAX_RECENT_REQUESTS:
            self._recent_by_request_id.popitem(last=False)
