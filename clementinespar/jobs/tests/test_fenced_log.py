"""Tests of appends under an epoch on a paused clock."""

import asyncio

from clementinespar.jobs import fenced_log, services
from clementinespar.jobs.tests import fakes
from clementinespar.tests import paused_clock

PARTITION = 3


@paused_clock.test
async def test_appends_of_two_tasks_keep_their_order() -> None:
    """Guards against an owner that fences itself out with concurrent appends.

    An append whose predecessor is missing is refused as fenced. After an outage,
    housekeeping may append while an append of progress is retried.
    """
    store = fakes.FakeStore()
    log = fenced_log.FencedLog(
        store, services.Topic.PROGRESS, PARTITION, 1, 0.1, fakes.ignore_event
    )
    store.is_down = True
    async with asyncio.TaskGroup() as group:
        group.create_task(log.append([services.KeyedRecord("a", b"1")]))
        await asyncio.sleep(0.05)
        store.is_down = False
        group.create_task(log.append([services.KeyedRecord("b", b"2")]))
    values = store.values[services.Topic.PROGRESS, PARTITION]
    assert list(values.items()) == [("a", b"1"), ("b", b"2")]
