"""TCP proxy on loopback that delays or drops bytes, or resets connections."""

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator

from standins import stream_server

DELAY_S = 0.15  # one way
CHUNK_BYTES = 65_536


class Mode(enum.Enum):
    """What the proxy does to connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"  # connections are reset at once
    CUT_BACK = "cut_back"  # requests are forwarded, answers are dropped
    SILENT = "silent"  # all bytes are dropped, on open connections for good


class Proxy:
    """One proxy; the fault injector sets its mode."""

    port: int
    _mode: Mode
    _cut: Mode | None  # takes the place of the mode while the network is split
    _target: tuple[str, int]
    _dropping_writers: set[asyncio.StreamWriter]
    _writers: set[asyncio.StreamWriter]

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.port = 0
        self._mode = Mode.PASS
        self._cut = None
        self._target = (host, int(port))
        self._dropping_writers = set()
        self._writers = set()

    def set_mode(self, mode: Mode) -> None:
        """Apply a mode to new and open connections."""
        self._mode = mode
        self._apply()

    def set_cut(self, mode: Mode | None) -> None:
        """Apply a mode, whatever `set_mode` sets, until called with None."""
        self._cut = mode
        self._apply()

    @property
    def mode(self) -> Mode:
        """What the proxy does to connections now."""
        return self._cut or self._mode

    def _apply(self) -> None:
        if self.mode is Mode.SILENT:
            self._dropping_writers |= self._writers
        elif self.mode is Mode.RESET:
            for writer in self._writers:
                writer.transport.abort()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Proxy one connection."""
        if self.mode is Mode.RESET:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, target_writer, is_answer=False))
                group.create_task(self._forward(target_reader, writer, is_answer=True))
        except* (OSError, asyncio.IncompleteReadError):
            pass  # the other side of a broken connection is aborted below
        finally:
            ends = {writer, target_writer}
            self._writers -= ends
            self._dropping_writers -= ends
            # Both before the first wait, in which the end of the server cancels this.
            for end in ends:
                end.transport.abort()
            for end in ends:
                await stream_server.abort(end)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.mode is Mode.DELAY:
                await asyncio.sleep(DELAY_S)
            is_dropped = is_answer and self.mode is Mode.CUT_BACK
            if (
                is_dropped
                or self.mode is Mode.SILENT
                or writer in self._dropping_writers
            ):
                continue
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError("the other end closed")


@contextlib.asynccontextmanager
async def open_proxy(target: str) -> AsyncIterator[Proxy]:
    """Run a proxy to an ``IP:port`` inside the context."""
    proxy = Proxy(target)
    async with stream_server.serving(proxy.handle) as server:
        proxy.port = stream_server.port_of(server)
        yield proxy
