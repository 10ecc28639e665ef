"""Explanations of states, shown to operators."""

import dataclasses

from clementinespar import codes


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Why a host, pool, wave or request is in its state."""

    subject: str  # what is explained, for example "pool accounts"
    state: str  # one or two words
    waits_for: str | None  # what must happen next, or None if nothing is awaited
    because: tuple[str, ...]  # reasons, the most important one first
    code: codes.ResultCode  # OK, or why nothing can be done now
