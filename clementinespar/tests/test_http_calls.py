"""Tests of the time limits of calls, against a server with a narrow link."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

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
