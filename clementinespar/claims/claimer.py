"""Claims requests that may not be repeated, through records in the log."""

import asyncio
import collections
import contextlib
import dataclasses
import secrets
from collections.abc import AsyncIterator
from typing import Final

import logbook

from clementinespar import background, codes, errors, identifiers
from clementinespar.claims import messages, state
from clementinespar.fleet import source as fleet_source
from clementinespar.fleet import state as fleet_state
from clementinespar.log import appender as log_appender

_log = logbook.Logger("claims.claimer")

_BATCH_DELAY_S = 0.002  # claims made within this time share one record
_MAX_BATCH_CLAIMS: Final = 500
# Claim ids only distinguish claims of one request id, so 64 bits suffice. Longer ids
# would take up memory and space in snapshots for as long as claims are kept.
_CLAIM_ID_BYTES = 8
_MAX_REQUEST_ID_LENGTH: Final = 120  # limit of `messages.Claim.request_id`
# A release is retried for as long as its record would be accepted. After that, the
# claim stays until its request id is too old.
_RELEASE_TIMEOUT_S = fleet_state.DEDUP_WINDOW_MS / 1000
_SWEEP_INTERVAL_S = 1.0  # time between checks for abandoned claims that won late


@dataclasses.dataclass(slots=True, eq=False)
class _PendingClaim:
    """A claim whose caller waits for the result."""

    claim: messages.Claim
    deadline: float  # loop time
    result: "asyncio.Future[codes.ResultCode]"


class Claimer:
    """Implements `claims.service.ClaimService` on the log.

    Every call of `claim` creates its own claim id, so the fold shows which call won. A
    claim whose caller has timed out or was cancelled is released once the fold shows
    that it won, because its request certainly did not run.

    Parameters
    ----------
    appender : log_appender.Appender
        Appends the batches.
    source : fleet_source.FleetSource
        Provides the folded state, which shows which claims have won.
    author : str
        Name of this node.
    """

    _appender: log_appender.Appender
    _source: fleet_source.FleetSource
    _author: str
    _pending_claims: list[_PendingClaim]  # claims of the next batch
    _pending_releases: list[messages.Claim]  # releases of the next batch
    _won_by_request_id: "collections.OrderedDict[str, messages.Claim]"
    # Claims whose append has no result, with the loop time after which their records
    # can no longer take effect.
    _abandoned_by_claim_id: dict[str, tuple[messages.Claim, float]]
    _releasing_claim_ids: set[str]  # claims whose releases are not yet in the log
    _flush_task: "asyncio.Task[None] | None"
    _sweep_task: "asyncio.Task[None] | None"
    _append_tasks: background.Tasks  # the flush as well, but not the sweep
    _sweep_tasks: background.Tasks

    def __init__(
        self,
        appender: log_appender.Appender,
        source: fleet_source.FleetSource,
        author: str,
    ) -> None:
        self._appender = appender
        self._source = source
        self._author = author
        self._pending_claims = []
        self._pending_releases = []
        self._won_by_request_id = collections.OrderedDict()
        self._abandoned_by_claim_id = {}
        self._releasing_claim_ids = set()
        self._flush_task = None
        self._sweep_task = None
        self._append_tasks = background.Tasks()
        self._sweep_tasks = background.Tasks()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Make claims while the context is entered; end all background work on exit."""
        try:
            yield
        finally:
            await self._sweep_tasks.end()
            await self._append_tasks.end()

    async def claim(self, request_id: str, timeout_s: float) -> codes.ResultCode:
        """Claim a request id for this node; see `claims.service.ClaimService`."""
        if (
            len(request_id) > _MAX_REQUEST_ID_LENGTH
            or identifiers.parse_issued_ms(request_id) is None
        ):
            return codes.ResultCode.REQUEST_INVALID
        stored = self._source.state.claims.claims_by_request_id.get(request_id)
        if stored is not None and stored.claim_id not in self._releasing_claim_ids:
            return codes.ResultCode.ALREADY_CLAIMED
        loop = asyncio.get_running_loop()
        claim = messages.Claim(
            request_id=request_id, claim_id=secrets.token_hex(_CLAIM_ID_BYTES)
        )
        waiting = _PendingClaim(claim, loop.time() + timeout_s, loop.create_future())
        self._pending_claims.append(waiting)
        self._start_flush()
        code = codes.ResultCode.CLAIM_UNAVAILABLE
        try:
            async with asyncio.timeout_at(waiting.deadline):
                code = await waiting.result
        except TimeoutError:
            pass
        finally:
            # Also runs when the caller is cancelled.
            if code == codes.ResultCode.OK:
                self._record_won(claim)
            else:
                self._withdraw(waiting)
        return code

    async def release(self, request_id: str) -> None:
        """Release a claim of this node whose request certainly did not run.

        Returns at once; the release is appended in the background. Only claims that
        this process won are released: requests claimed by an earlier process with the
        same node name may have run.
        """
        claim = self._won_by_request_id.pop(request_id, None)
        if claim is not None:
            self._queue_release(claim)

    async def finish(self, timeout_s: float) -> None:
        """Wait until queued releases are in the log, before a planned stop."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while loop.time() < deadline:
            tasks = self._append_tasks.pending()
            if not tasks:
                return
            await asyncio.wait(tasks, timeout=deadline - loop.time())

    def _record_won(self, claim: messages.Claim) -> None:
        self._won_by_request_id[claim.request_id] = claim
        stored_by_request_id = self._source.state.claims.claims_by_request_id
        while self._won_by_request_id:
            request_id, oldest = next(iter(self._won_by_request_id.items()))
            if (
                request_id in stored_by_request_id
                and stored_by_request_id[request_id].claim_id == oldest.claim_id
            ):
                return
            del self._won_by_request_id[request_id]  # too old to be claimed again

    def _withdraw(self, waiting: _PendingClaim) -> None:
        """Withdraw a claim whose request will not run."""
        if waiting in self._pending_claims:
            self._pending_claims.remove(waiting)
        elif (
            waiting.result.done()
            and not waiting.result.cancelled()
            and waiting.result.result() == codes.ResultCode.OK
        ):
            # The claim won while its caller was being cancelled.
            self._queue_release(waiting.claim)
        # Otherwise `_append_claims` finds that the result was cancelled.

    def _abandon(self, claim: messages.Claim) -> None:
        """Track a claim whose append has no result, because it may still win."""
        expires_at = (
            asyncio.get_running_loop().time() + fleet_state.DEDUP_WINDOW_MS / 1000
        )
        self._abandoned_by_claim_id[claim.claim_id] = (claim, expires_at)
        if self._sweep_task is None or self._sweep_task.done():
            self._sweep_task = self._sweep_tasks.start(self._sweep(), "claim sweep")

    async def _sweep(self) -> None:
        """Release claims that won although their append had no result."""
        while self._abandoned_by_claim_id:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            stored_by_request_id = self._source.state.claims.claims_by_request_id
            for claim_id, (claim, expires_at) in list(
                self._abandoned_by_claim_id.items()
            ):
                stored = stored_by_request_id.get(claim.request_id)
                if stored is not None and stored.claim_id == claim_id:
                    del self._abandoned_by_claim_id[claim_id]
                    self._queue_release(claim)
                elif now > expires_at:
                    del self._abandoned_by_claim_id[claim_id]

    def _queue_release(self, claim: messages.Claim) -> None:
        self._pending_releases.append(claim)
        self._releasing_claim_ids.add(claim.claim_id)
        self._start_flush()

    def _start_flush(self) -> None:
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = self._append_tasks.start(self._flush(), "claim flush")

    async def _flush(self) -> None:
        """Append the queued releases, then the queued claims.

        With this order, a request that is repeated while its first claim is being
        released can win.
        """
        await asyncio.sleep(_BATCH_DELAY_S)
        while self._pending_releases:
            releases = self._pending_releases[:_MAX_BATCH_CLAIMS]
            del self._pending_releases[:_MAX_BATCH_CLAIMS]
            self._append_tasks.start(self._append_releases(releases))
        while self._pending_claims:
            batch = self._pending_claims[:_MAX_BATCH_CLAIMS]
            del self._pending_claims[:_MAX_BATCH_CLAIMS]
            self._append_tasks.start(self._append_claims(batch))

    async def _append_claims(self, batch: list[_PendingClaim]) -> None:
        now = asyncio.get_running_loop().time()
        issued_ms = self._appender.now_ms()
        record = messages.RequestClaims(
            record_id=identifiers.new_id(issued_ms),
            issued_ms=issued_ms,
            author=self._author,
            claims=tuple(waiting.claim for waiting in batch),
        )
        timeout_s = max(waiting.deadline for waiting in batch) - now
        try:
            result = await self._appender.append(record, timeout_s)
        except errors.ClementinesparError as error:
            _log.info("append of {} claims got no result: {}", len(batch), error)
            result = None
            if not isinstance(error, errors.LogUnavailableError):
                for waiting in batch:
                    self._abandon(waiting.claim)
        for waiting in batch:
            code = self._outcome(waiting.claim, result)
            if not waiting.result.done():
                waiting.result.set_result(code)
            elif code == codes.ResultCode.OK:
                self._queue_release(waiting.claim)

    def _outcome(
        self, claim: messages.Claim, result: fleet_state.RecordResult | None
    ) -> codes.ResultCode:
        """Return the result of a claim according to the fold."""
        if result is None or result.code != codes.ResultCode.OK:
            return codes.ResultCode.CLAIM_UNAVAILABLE
        stored = self._source.state.claims.claims_by_request_id.get(claim.request_id)
        if stored is None:
            # Either the request id was refused, or the winning claim has been released
            # or has expired since. This node must not dispatch in any of these cases.
            code = state.check_age(claim.request_id, result.timestamp_ms)
            if code != codes.ResultCode.OK:
                return code
            return codes.ResultCode.CLAIM_UNAVAILABLE
        if stored.claim_id == claim.claim_id:
            return codes.ResultCode.OK
        return codes.ResultCode.ALREADY_CLAIMED

    async def _append_releases(self, claims: list[messages.Claim]) -> None:
        issued_ms = self._appender.now_ms()
        record = messages.RequestReleases(
            record_id=identifiers.new_id(issued_ms),
            issued_ms=issued_ms,
            author=self._author,
            claims=tuple(claims),
        )
        try:
            await self._appender.append(record, _RELEASE_TIMEOUT_S)
        except errors.ClementinesparError as error:
            _log.warning(
                "{} claims were not released and stay until they expire: {}",
                len(claims),
                error,
            )
        finally:
            self._releasing_claim_ids.difference_update(c.claim_id for c in claims)
