"""Tests of conclusions that wait for a confirmation of ownership."""

import asyncio

from clementinespar.jobs import conclusions
from clementinespar.tests import paused_clock


@paused_clock.test
async def test_error_in_one_conclusion_does_not_hold_up_the_others() -> None:
    """Guards against an owner that ends, or forgets tasks, by an error in one."""
    events: list[tuple[str, dict[str, object]]] = []
    confirmed_at = -1.0
    drawn = conclusions.Conclusions(
        lambda: confirmed_at,
        asyncio.Event(),
        lambda event, **fields: events.append((event, fields)),
    )
    applied: list[str] = []

    def fail() -> None:
        raise RuntimeError("a fault")

    now = asyncio.get_running_loop().time()
    drawn.add(now, "odd", fail)
    drawn.add(now, "sound", lambda: applied.append("sound"))
    assert not applied
    drawn.note_append(now)
    assert applied == ["sound"]
    assert [(event, fields["name"]) for event, fields in events] == [
        ("unexpected_error", "odd")
    ]
