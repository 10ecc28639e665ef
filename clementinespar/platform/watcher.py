"""Polls the platform's host list and keeps the newest one."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator

import logbook

from clementinespar import errors
from clementinespar.platform import service

_LOG = logbook.Logger(__name__)


class HostListWatcher:
    """Polls the platform's host list; implements `service.HostListSource`.

    Parameters
    ----------
    platform : service.PlatformService
        Service from which the list is read.
    poll_interval_s : float
        Seconds between two reads.
    """

    _platform: service.PlatformService
    _poll_interval_s: float
    _latest: service.HostList | None  # newest list, by the platform's own clock
    _read_at: float  # loop time before the first read that returned `_latest`

    def __init__(
        self, platform: service.PlatformService, poll_interval_s: float
    ) -> None:
        self._platform = platform
        self._poll_interval_s = poll_interval_s
        self._latest = None
        self._read_at = -math.inf

    @property
    def latest(self) -> service.HostList | None:
        """The newest list, or None before the first one."""
        return self._latest

    @property
    def age_s(self) -> float:
        """Seconds of loop time since the newest list was first read.

        Reading the same list again does not reset its age.
        """
        return asyncio.get_running_loop().time() - self._read_at

    async def poll(self) -> None:
        """Read the list once.

        Raises
        ------
        errors.PlatformUnavailableError
            The platform did not send a valid list; the newest one is kept.
        """
        began = asyncio.get_running_loop().time()
        host_list = await self._platform.list_hosts()
        if self._latest is None or host_list.observed_ms > self._latest.observed_ms:
            self._latest = host_list
            self._read_at = began

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["HostListWatcher"]:
        """Poll in the background while the context is entered."""
        task = asyncio.create_task(self._poll_forever(), name="host list watcher")
        try:
            yield self
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _poll_forever(self) -> None:
        is_available = True
        while True:
            try:
                await self.poll()
                is_available = True
            except errors.ClementinesparError as error:
                if is_available:
                    _LOG.warning("host list is unavailable: {}", error)
                is_available = False
            except Exception:
                # The task must continue: no other code would detect that it ended.
                _LOG.exception("unexpected error while reading the host list")
            await asyncio.sleep(self._poll_interval_s)
