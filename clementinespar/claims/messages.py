"""Log records about claims of requests that may not be repeated."""

from typing import Literal

import pydantic

from clementinespar.log import base


class Claim(pydantic.BaseModel):
    """One claim within a batch; the first claim of a request id in the log wins."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    request_id: str = pydantic.Field(min_length=1, max_length=120)
    claim_id: str = pydantic.Field(min_length=1, max_length=80)


class RequestClaims(base.Record):
    """Claims of several requests by one node, batched into one append."""

    kind: Literal["request_claims"] = "request_claims"
    claims: tuple[Claim, ...]


class RequestReleases(base.Record):
    """Releases claims of requests that certainly did not run."""

    kind: Literal["request_releases"] = "request_releases"
    claims: tuple[Claim, ...]
