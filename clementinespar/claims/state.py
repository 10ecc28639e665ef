"""Folded state of the claims of requests that may not be repeated.

The first claim of a request id in the log wins. A claim is kept until its request id is
too old to be claimed again, so a repeated request can never win a second claim.
"""

import collections
import dataclasses

from clementinespar import codes, identifiers
from clementinespar.claims import messages
from clementinespar.log import service as log_service

# Request ids older than this are refused, so claims need not be kept for longer.
CLAIM_RETENTION_MS = 600_000
# Request ids from callers whose clocks are further ahead are refused: their claims
# would have to be kept for longer.
MAX_CLOCK_AHEAD_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class StoredClaim:
    """The claim that won a request id."""

    claim_id: str
    author: str  # node that made the claim
    issued_ms: int  # time of issue, from the request id


@dataclasses.dataclass(slots=True)
class ClaimsState:
    """Claims by request id, in log order."""

    claims_by_request_id: collections.OrderedDict[str, StoredClaim] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


def check_age(request_id: str, log_time_ms: int) -> codes.ResultCode:
    """Check whether a request id may be claimed at a log time."""
    issued_ms = identifiers.parse_issued_ms(request_id)
    if issued_ms is None:
        return codes.ResultCode.REQUEST_INVALID
    if not (
        log_time_ms - CLAIM_RETENTION_MS
        <= issued_ms
        <= log_time_ms + MAX_CLOCK_AHEAD_MS
    ):
        return codes.ResultCode.CLAIM_TOO_OLD
    return codes.ResultCode.OK


def apply_claims(
    state: ClaimsState,
    record: messages.RequestClaims,
    entry: log_service.LogEntry,
) -> codes.ResultCode:
    """Apply a batch of claims; the state then shows which of them have won."""
    for claim in record.claims:
        if check_age(claim.request_id, entry.timestamp_ms) != codes.ResultCode.OK:
            continue
        if claim.request_id in state.claims_by_request_id:
            continue
        state.claims_by_request_id[claim.request_id] = StoredClaim(
            claim.claim_id,
            record.author,
            identifiers.parse_issued_ms(claim.request_id) or 0,
        )
    return codes.ResultCode.OK


def apply_releases(
    state: ClaimsState,
    record: messages.RequestReleases,
    entry: log_service.LogEntry,
) -> codes.ResultCode:
    """Drop the claims whose claim ids match those of the record."""
    for claim in record.claims:
        stored = state.claims_by_request_id.get(claim.request_id)
        if stored is not None and stored.claim_id == claim.claim_id:
            del state.claims_by_request_id[claim.request_id]
    return codes.ResultCode.OK


def expire(state: ClaimsState, log_time_ms: int) -> None:
    """Drop claims whose request ids are too old to be claimed again.

    Stops at the first claim in log order that must stay, so the cost is proportional to
    the number of dropped claims. A claim whose request id was already old at its append
    may stay behind newer ones, but for at most ``CLAIM_RETENTION_MS +
    MAX_CLOCK_AHEAD_MS`` after its append.
    """
    claims = state.claims_by_request_id
    while claims:
        request_id, stored = next(iter(claims.items()))
        if stored.issued_ms >= log_time_ms - CLAIM_RETENTION_MS:
            return
        del claims[request_id]
