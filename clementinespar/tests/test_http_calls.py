"""Tests of calls that are given up, and of their time limits on a narrow link."""

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from clementinespar import http_calls

PART = b"x" * 1_000
PART_S = 0.05  # between two parts of a response


@contextlib.asynccontextmanager
async def serve(parts: int, sent_parts: int) -> AsyncIterator[str]:
    """Serve a response of some parts, of which only the first ones are sent."""
    answers: set[asyncio.Task[None] | None] = set()

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        answers.add(asyncio.current_task())
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (parts * 1_000))
        for _ in range(sent_parts):
            await asyncio.sleep(PART_S)
            writer.write(PART)
        with contextlib.suppress(OSError):
            await reader.read()  # until the caller closes the connection
            writer.close()
            await writer.wait_closed()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    async with server:
        try:
            yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        finally:
            await asyncio.gather(*filter(None, answers))


@pytest.mark.parametrize(
    ("sent_parts", "timeout_s", "limit_s", "is_answered"),
    [
        (10, 0.3, 5.0, True),
        (10, 0.3, None, False),  # a small response has one bound
        (3, 0.3, 5.0, False),  # the link is dead
        (10, 0.3, 0.35, False),
    ],
)
def test_large_response_on_a_narrow_link(
    sent_parts: int, timeout_s: float, limit_s: float | None, is_answered: bool
) -> None:
    """Guards against a list that never arrives, as each page is given up half-way.

    No owner could take over a partition whose list is long.
    """

    async def call() -> http_calls.Response:
        client = http_calls.HttpClient()
        async with serve(10, sent_parts) as address:
            try:
                return await client.call(
                    address, "GET", "/", timeout_s=timeout_s, limit_s=limit_s
                )
            finally:
                await client.close()

    if is_answered:
        assert asyncio.run(call()).body == 10 * PART
    else:
        with pytest.raises(http_calls.CallUnansweredError):
            asyncio.run(call())


def test_response_over_the_limit_ends_the_call(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a store or worker whose endless response fills the memory."""
    monkeypatch.setattr(http_calls, "MAX_RESPONSE_BYTES", 2 * len(PART))

    async def call() -> None:
        client = http_calls.HttpClient()
        async with serve(10, 10) as address:
            try:
                await client.call(address, "GET", "/", timeout_s=5.0)
            finally:
                await client.close()

    with pytest.raises(http_calls.CallUnansweredError, match="over 2000 bytes"):
        asyncio.run(call())


async def _give_up(client: http_calls.HttpClient, address: str) -> None:
    with pytest.raises(http_calls.CallUnansweredError):
        await client.call(address, "POST", "/order", timeout_s=0.1)


async def _cancel(client: http_calls.HttpClient, address: str) -> None:
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await client.call(address, "POST", "/order", timeout_s=5.0)


async def _close_client(client: http_calls.HttpClient, address: str) -> None:
    call = asyncio.create_task(client.call(address, "POST", "/order", timeout_s=5.0))
    await asyncio.sleep(0.1)
    await client.close()
    with pytest.raises(http_calls.CallUnansweredError):
        await call


async def _end_process(client: http_calls.HttpClient, address: str) -> None:
    program = (
        "import asyncio, os; from clementinespar import http_calls\n"
        "async def main():\n"
        "    asyncio.get_running_loop().call_later(0.1, os._exit, 0)\n"
        f"    await http_calls.HttpClient().call({address!r}, 'POST', '/order')\n"
        "asyncio.run(main())"
    )
    process = await asyncio.create_subprocess_exec(sys.executable, "-c", program)
    await process.wait()


@pytest.mark.parametrize("end", [_give_up, _cancel, _close_client, _end_process])
def test_call_that_ends_unanswered_is_reset(
    end: Callable[[http_calls.HttpClient, str], Awaitable[None]],
) -> None:
    """Guards against an order that a cut holds up and that takes effect after it.

    What the kernel still holds of a request is dropped by a reset only; after an
    orderly close it is sent once the link works again.
    """

    async def play() -> None:
        was_reset = asyncio.get_running_loop().create_future()

        async def serve_nothing(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                await reader.read(-1)
                was_reset.set_result(False)
            except ConnectionResetError:
                was_reset.set_result(True)
            writer.close()

        server = await asyncio.start_server(serve_nothing, "127.0.0.1", 0)
        async with server:
            client = http_calls.HttpClient()
            await end(client, f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
            async with asyncio.timeout(5.0):
                assert await was_reset
            await client.close()

    asyncio.run(play())
