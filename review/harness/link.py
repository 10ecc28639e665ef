"""A machine's link to the store with a bandwidth, as a proxy on loopback."""

import asyncio
import contextlib

from harness import web

CHUNK_BYTES = 8_192


class Link:
    """Passes bytes on in both directions, each at the bandwidth of the link."""

    def __init__(self, target_port: int, mbit_s: float) -> None:
        self.port = 0
        self._target_port = target_port
        self._bytes_s = mbit_s * 1e6 / 8
        self._locks = (asyncio.Lock(), asyncio.Lock())  # of what goes up and down
        self._server: asyncio.Server | None = None

    async def open(self) -> int:
        """Start to listen and return the port."""
        self._server = await asyncio.start_server(self._serve, web.LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                web.LOOPBACK, self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        tasks = {
            asyncio.create_task(self._pass(reader, far_writer, self._locks[0])),
            asyncio.create_task(self._pass(far_reader, writer, self._locks[1])),
        }
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            for end in (writer, far_writer):
                end.transport.abort()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        lock: asyncio.Lock,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                async with lock:
                    await asyncio.sleep(len(data) / self._bytes_s)
                writer.write(data)
                await writer.drain()
