"""Tests of the paused clock."""

import asyncio
import time

from clementinespar.tests import paused_clock


def test_sleep_takes_loop_time_but_no_real_time() -> None:
    """Guards against tests that wait in real time, or whose clock does not advance."""

    async def main() -> float:
        start = asyncio.get_running_loop().time()
        await asyncio.sleep(3600)
        return asyncio.get_running_loop().time() - start

    started_at = time.monotonic()
    slept = paused_clock.run(main())
    assert 3600 <= slept < 3601
    assert time.monotonic() - started_at < 60
