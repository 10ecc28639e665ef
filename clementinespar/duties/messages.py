"""Log records about duty leases."""

from typing import Literal

from clementinespar.log import base


class DutyClaimed(base.Record):
    """Claims or renews a duty for ``lease_ms`` of log time."""

    kind: Literal["duty_claimed"] = "duty_claimed"
    duty: str
    lease_ms: int


class DutyReleased(base.Record):
    """Releases a duty before its lease ends."""

    kind: Literal["duty_released"] = "duty_released"
    duty: str
