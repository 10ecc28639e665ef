"""Interface that the request path uses to claim requests."""

from typing import Protocol

from clementinespar import codes


class ClaimService(Protocol):
    """Exclusive claims of requests that may not be repeated."""

    async def claim(self, request_id: str, timeout_s: float) -> codes.ResultCode:
        """Claim a request id for this node.

        Returns
        -------
        codes.ResultCode
            ``OK``: this node holds the claim and may dispatch the request once.
            ``ALREADY_CLAIMED``: another claim came first; the request may have run.
            ``CLAIM_TOO_OLD`` or ``REQUEST_INVALID``: the id cannot be claimed.
            ``CLAIM_UNAVAILABLE``: the log gave no result in time; the caller must not
            dispatch the request now or later.
        """
        ...

    async def release(self, request_id: str) -> None:
        """Release a claim of this node whose request certainly did not run."""
        ...
