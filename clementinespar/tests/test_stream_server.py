"""The TCP server of the stand-ins."""

import asyncio

from standins import stream_server

UNREAD_BYTES = 50_000_000  # more than the buffers of a connection hold


def test_server_ends_while_a_connection_waits_for_its_reader() -> None:
    """Guards against a soak that ends with an error after its checks."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(bytes(UNREAD_BYTES))

    async def run() -> None:
        async with stream_server.serving(handle) as server:
            port = stream_server.port_of(server)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await reader.readexactly(1)
        await stream_server.abort(writer)

    asyncio.run(run())
