"""A TCP proxy on loopback that delays, resets, cuts one way or silences."""

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator

DELAY_S = 0.15  # one way
CHUNK_BYTES = 65_536


class Mode(enum.Enum):
    """What happens to bytes."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"  # connections break at once
    CUT_BACK = "cut_back"  # requests arrive, answers do not
    SILENT = "silent"  # nothing arrives; old connections stay silent for good


class Proxy:
    """One proxy; the mode is set from outside."""

    mode: Mode
    port: int
    _target: tuple[str, int]
    _silenced: set[asyncio.StreamWriter]
    _writers: set[asyncio.StreamWriter]

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.mode = Mode.PASS
        self.port = 0
        self._target = (host, int(port))
        self._silenced = set()
        self._writers = set()

    def set_mode(self, mode: Mode) -> None:
        """Apply a mode to new and open connections."""
        self.mode = mode
        if mode is Mode.SILENT:
            self._silenced |= self._writers
        elif mode is Mode.RESET:
            for writer in self._writers:
                writer.transport.abort()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry one connection."""
        if self.mode is Mode.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._carry(reader, far_writer, is_back=False))
                group.create_task(self._carry(far_reader, writer, is_back=True))
        except* (OSError, asyncio.IncompleteReadError):
            pass  # a broken connection breaks on both sides
        finally:
            for end in (writer, far_writer):
                end.transport.abort()
                self._writers.discard(end)
                self._silenced.discard(end)

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_back: bool
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.mode is Mode.DELAY:
                await asyncio.sleep(DELAY_S)
            is_cut = is_back and self.mode is Mode.CUT_BACK
            if is_cut or self.mode is Mode.SILENT or writer in self._silenced:
                continue
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError("the other end closed")


@contextlib.asynccontextmanager
async def open_proxy(target: str) -> AsyncIterator[Proxy]:
    """Run a proxy to an ``IP:port`` while the context is entered."""
    proxy = Proxy(target)
    server = await asyncio.start_server(proxy.handle, "127.0.0.1", 0)
    proxy.port = server.sockets[0].getsockname()[1]
    try:
        yield proxy
    finally:
        server.close()
