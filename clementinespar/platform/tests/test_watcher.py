"""Tests of the host list watcher on a paused clock."""

import asyncio
import math

from clementinespar import errors
from clementinespar.platform import service, watcher
from clementinespar.tests import paused_clock
from standins import fake_platform

_SEEDS = [
    fake_platform.HostSeed("h1", "c0", "r0", "a"),
    fake_platform.HostSeed("h2", "c0", "r1", "a"),
]


@paused_clock.test
async def test_list_lags_and_age_grows_while_the_platform_is_down() -> None:
    """Guards against an old list that counts as current during an outage."""
    platform = fake_platform.FakePlatform(_SEEDS)
    platform.faults.list_lag_s = 5.0
    async with watcher.HostListWatcher(platform, 1.0).running() as watched:
        assert (watched.latest, watched.age_s) == (None, math.inf)
        await asyncio.sleep(10)
        assert watched.age_s <= 1.0
        platform.fail(["h1"])
        await asyncio.sleep(3)
        assert watched.latest is not None
        assert "h1" in watched.latest.hosts_by_id  # the list lags
        await asyncio.sleep(3)
        assert "h1" not in watched.latest.hosts_by_id
        platform.faults.down = True
        await asyncio.sleep(40)
        assert watched.age_s >= 40
        platform.faults.down = False
        await asyncio.sleep(2)
        assert watched.age_s <= 1.0


@paused_clock.test
async def test_slow_or_repeated_replies_do_not_reset_the_age() -> None:
    """Guards against an old list that counts as new because it was read again."""

    class FrozenPlatform(fake_platform.FakePlatform):
        async def list_hosts(self) -> service.HostList:
            await asyncio.sleep(2)
            return service.HostList(1_000, {})

    watched = watcher.HostListWatcher(FrozenPlatform(_SEEDS), 1.0)
    await watched.poll()
    assert watched.age_s == 2.0  # the age starts before the request
    async with watched.running():
        await asyncio.sleep(60)
    assert watched.age_s >= 60


@paused_clock.test
async def test_older_list_does_not_replace_a_newer_one() -> None:
    """Guards against hosts that reappear because the platform sends an older list."""
    platform = fake_platform.FakePlatform(_SEEDS)
    watched = watcher.HostListWatcher(platform, 1.0)
    await watched.poll()
    newest = watched.latest
    platform.fail(["h1"])
    platform.faults.list_lag_s = 100.0
    await watched.poll()
    assert watched.latest is newest
    platform.faults.down = True
    try:
        await watched.poll()
    except errors.PlatformUnavailableError:
        pass
    assert watched.latest is newest
