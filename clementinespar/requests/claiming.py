"""Claims of requests that are not repeatable, and the outcomes of failed claims."""

import asyncio

import logbook

from clementinespar import background, codes
from clementinespar.claims import service as claim_service
from clementinespar.claims import state as claims_state
from clementinespar.fleet import source as fleet_source
from clementinespar.requests import model

# The claim service applies the timeout itself; a call that exceeds it by this time is
# abandoned.
CLAIM_GRACE_S = 0.5
RELEASE_WAIT_S = 0.5  # longest time that a refusal waits for its claim's release

_log = logbook.Logger(__name__)


class RequestClaimer:
    """Claims and releases requests before they are sent.

    Parameters
    ----------
    source : fleet_source.FleetSource
        Log time and the claims in the fold.
    claims : claim_service.ClaimService
        Appends claims to the log.
    """

    _source: fleet_source.FleetSource
    _claims: claim_service.ClaimService
    _tasks: background.Tasks  # claims, also those whose request no longer waits

    def __init__(
        self, source: fleet_source.FleetSource, claims: claim_service.ClaimService
    ) -> None:
        self._source = source
        self._claims = claims
        self._tasks = background.Tasks()

    async def end(self) -> None:
        """End all claims and releases that are in progress."""
        await self._tasks.end()

    def is_claimed(self, request_id: str) -> bool:
        """Whether the fold contains a claim of a request id."""
        return request_id in self._source.state.claims.claims_by_request_id

    async def claim(
        self, request: model.Request, timeout_s: float
    ) -> model.Outcome | None:
        """Claim a request; returns the refusal if it must not be sent, else None."""
        request_id = request.request_id
        timeout_s = max(0.001, timeout_s)
        task = self._tasks.start(self._claims.claim(request_id, timeout_s))
        await asyncio.wait({task}, timeout=timeout_s + CLAIM_GRACE_S)
        if not task.done():
            # The claim may still succeed later, and would then block a retry.
            self._tasks.start(self._release_when_won(task, request_id))
            code = codes.ResultCode.CLAIM_UNAVAILABLE
        elif task.exception() is not None:
            _log.warning("claim of {} failed: {}", request_id, task.exception())
            code = codes.ResultCode.CLAIM_UNAVAILABLE
        else:
            code = task.result()
        if code == codes.ResultCode.OK:
            return None
        if code == codes.ResultCode.ALREADY_CLAIMED:
            return model.unknown(
                code, "another claim of this id came first; the request may have run"
            )
        if code == codes.ResultCode.CLAIM_TOO_OLD:
            return self._reject_by_age(request_id)
        if code == codes.ResultCode.REQUEST_INVALID:
            return model.not_run(
                code,
                "a request that is not repeatable needs an id of the form "
                "<issued_ms>-<random>",
            )
        return model.not_run(
            codes.ResultCode.CLAIM_UNAVAILABLE,
            "the log did not confirm the claim of this request in time",
        )

    async def release(self, request: model.Request) -> None:
        """Release a claim; waits at most `RELEASE_WAIT_S` or until the deadline."""
        task = self._tasks.start(self._try_release(request.request_id))
        remaining_s = request.deadline - asyncio.get_running_loop().time()
        await asyncio.wait({task}, timeout=max(0.0, min(RELEASE_WAIT_S, remaining_s)))

    def _reject_by_age(self, request_id: str) -> model.Outcome:
        log_time_ms = self._source.state.log_time_ms
        if (
            claims_state.check_age(request_id, log_time_ms)
            == codes.ResultCode.CLAIM_TOO_OLD
            and int(request_id.partition("-")[0]) > log_time_ms
        ):
            return model.not_run(
                codes.ResultCode.REQUEST_ID_TOO_OLD,
                "the id was issued by a clock that is ahead of the log",
            )
        # Claims of older ids have been dropped, so an earlier copy may have run.
        return model.unknown(
            codes.ResultCode.REQUEST_ID_EXPIRED,
            "the id is too old to tell whether the request ran before",
        )

    async def _try_release(self, request_id: str) -> None:
        try:
            await self._claims.release(request_id)
        except Exception as error:
            _log.warning("release of the claim of {} failed: {}", request_id, error)

    async def _release_when_won(
        self, task: "asyncio.Task[codes.ResultCode]", request_id: str
    ) -> None:
        await asyncio.wait({task})
        if task.exception() is None and task.result() == codes.ResultCode.OK:
            await self._try_release(request_id)
