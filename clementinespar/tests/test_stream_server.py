"""The TCP server of the stand-ins."""

import asyncio
import gc

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


def test_abort_that_is_cancelled_reports_no_error_of_the_connection() -> None:
    """Guards against a soak that prints errors of connections that nodes have reset."""
    reported: list[dict[str, object]] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context))
        opened = loop.create_future()

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            opened.set_result(writer)
            await asyncio.Event().wait()

        async with stream_server.serving(handle) as server:
            _, client = await asyncio.open_connection(
                "127.0.0.1", stream_server.port_of(server)
            )
            writer: asyncio.StreamWriter = await opened
            abort = asyncio.create_task(stream_server.abort(writer))
            await asyncio.sleep(0)
            abort.cancel()
            # The reset of the other side is the error of this connection.
            protocol = writer.transport.get_protocol()
            assert isinstance(protocol, asyncio.StreamReaderProtocol)
            protocol.connection_lost(ConnectionResetError())
            await asyncio.wait([abort])
            client.transport.abort()
        gc.collect()

    asyncio.run(run())
    gc.collect()
    assert not reported
