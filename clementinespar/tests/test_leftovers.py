"""Tests of the check in conftest.py."""

import os
import pathlib
import re
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parents[2]
_TESTS = """
import asyncio, threading

left = []

async def connect():
    loop = asyncio.get_running_loop()
    server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    transport, _ = await loop.create_connection(asyncio.Protocol, *address)
    server.close()
    left.append(transport)
    return transport

def test_task():
    async def main():
        left.append(asyncio.create_task(asyncio.sleep(60), name="unfinished task"))
    asyncio.run(main())

def test_connection():
    asyncio.run(connect())

def test_connection_being_closed():
    async def main():
        transport = await connect()
        transport.write(bytes(50_000_000))  # more than is sent at once
        transport.close()
    asyncio.run(main())

def test_server():
    async def main():
        left.append(await asyncio.start_server(lambda reader, writer: None, port=0))
    asyncio.run(main())

def test_loop_without_a_runner():
    loop = asyncio.new_event_loop()
    left.append(loop.create_task(asyncio.sleep(60), name="task of a loop"))
    loop.close()

def test_thread():
    stop = threading.Event()
    left.append(stop)
    threading.Thread(target=stop.wait, name="unfinished thread", daemon=True).start()

def test_that_closes_everything():
    async def main():
        async def serve(reader, writer):
            await reader.read()
            writer.close()
            await writer.wait_closed()
            served.set()
        served = asyncio.Event()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            await writer.wait_closed()
            await served.wait()
        await asyncio.create_task(asyncio.sleep(0))
        await asyncio.to_thread(threading.Event().is_set)
    asyncio.run(main())
"""


def test_exactly_the_tests_that_leave_something_behind_fail(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a check that finds nothing, or that blames another test."""
    path = tmp_path / "test_leaving.py"
    path.write_text(_TESTS)
    # Without the short summary: where the variable CI is set, pytest repeats each
    # message there in full.
    result = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "conftest", "-rN", str(path)],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": str(_ROOT)},
        capture_output=True,
        text=True,
        check=False,
    )
    left_by_test = {
        "test_task": "unfinished task",
        "test_connection": "_SelectorSocketTransport",
        "test_connection_being_closed": "_SelectorSocketTransport closing",
        "test_server": "watched by",
        "test_loop_without_a_runner": "task of a loop",
        "test_thread": "unfinished thread",
    }
    for name, left in left_by_test.items():
        start = result.stdout.index(f"::{name} left behind:\n")
        assert left in result.stdout[start:].split("____")[0]
    assert re.search("7 passed.* 6 errors", result.stdout), result.stdout
    assert result.stdout.count("left behind:\n") == len(left_by_test)
    assert "::test_that_closes_everything left behind" not in result.stdout
