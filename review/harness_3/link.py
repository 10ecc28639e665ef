"""A link of one machine to a server, which can be cut without a word.

Bytes that are on their way when the cut begins are held up, and go on once it has
healed, unless their sender has reset the connection meanwhile. What is opened during
the cut stays without an answer and leads nowhere.
"""

import asyncio
import contextlib
from collections.abc import Callable


class Link:
    """Proxy on a free loopback port; `on_bytes` sees what the machine sends."""

    def __init__(
        self, target: str, on_bytes: Callable[[bytes], None] = lambda _: None
    ) -> None:
        self.port = 0
        self.is_cut = False
        self._host, _, port = target.rpartition(":")
        self._target_port = int(port)
        self._on_bytes = on_bytes
        self._healed = asyncio.Event()
        self._healed.set()
        self._server: asyncio.Server | None = None
        self._pumps: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return ``IP:port`` for the machine."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Hold up all bytes from now on."""
        self.is_cut = True
        self._healed.clear()

    def heal(self) -> None:
        """Let the bytes go on."""
        self.is_cut = False
        self._healed.set()

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for pump in self._pumps:
            pump.cancel()
        await asyncio.gather(*self._pumps, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._pumps.add(task)
        task.add_done_callback(self._pumps.discard)
        far_writer = None
        try:
            if self.is_cut:
                await reader.read()  # to the end; nothing of it gets through
                return
            far_reader, far_writer = await asyncio.open_connection(
                self._host, self._target_port
            )
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, far_writer, True))
                group.create_task(self._pump(far_reader, writer, False))
        except (OSError, asyncio.CancelledError, ExceptionGroup):
            pass
        finally:
            for end in (writer, far_writer):
                if end is not None:
                    end.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_outgoing: bool,
    ) -> None:
        while True:
            data = await reader.read(65_536)
            if data and is_outgoing:
                self._on_bytes(data)
            if self.is_cut:
                await self._healed.wait()
                failure = reader.exception()
                if failure is not None:
                    raise failure  # reset meanwhile: what was held up is lost
            if not data:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                if is_outgoing:
                    await asyncio.sleep(0.2)
                    raise ConnectionResetError("the machine has closed")
                return
            writer.write(data)
            await writer.drain()
