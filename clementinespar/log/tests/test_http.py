"""Tests of the HTTP client against the stand-in, with real sockets and real time."""

import asyncio
import json
import socket
import subprocess
import sys

import pytest
from tornado import httpclient

from clementinespar import codes, errors
from clementinespar.log import appender as log_appender
from clementinespar.log import follower as log_follower
from clementinespar.log import http as log_http
from clementinespar.tests import log_nodes
from standins import fake_log, log_service, stream_server

_ADDRESS = "127.0.0.1"


def test_payloads_round_trip_unchanged() -> None:
    """Guards against an encoding that alters payloads that are not UTF-8 text."""
    payloads = [b"{}", "caf\u00e9".encode(), b"\xff\x00\xfe", b""]

    async def main() -> None:
        log = fake_log.FakeLog()
        async with log_service.serving(log, _ADDRESS, 0) as port:
            client = log_http.HttpLogService(f"http://{_ADDRESS}:{port}", 5.0)
            assert await client.append(payloads[:1]) == 0
            assert await client.append(payloads[1:]) == 1
            page = await client.read(1, 2, 0.0)
            assert page == log.read_now(1, 2)
            assert [entry.payload for entry in page.entries] == payloads[1:3]
            raw = await httpclient.AsyncHTTPClient().fetch(
                f"http://{_ADDRESS}:{port}/read?offset=0&limit=9"
            )
            assert [entry["payload"] for entry in json.loads(raw.body)["entries"]] == [
                "{}",
                "caf\u00e9",
                {"base64": "/wD+"},
                "",
            ]
            log.retention_entries = 1
            with pytest.raises(errors.LogRecordsExpiredError) as raised:
                await client.read(0, 2, 0.0)
            assert raised.value.first_offset == 3
            client.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("faults", "expected", "is_appended"),
    [
        (fake_log.Faults(down=True), errors.LogUnavailableError, False),
        (fake_log.Faults(lose_replies=1), errors.LogReplyLostError, True),
        (fake_log.Faults(silent=True), errors.LogReplyLostError, False),
    ],
)
def test_append_error_says_whether_it_may_have_taken_effect(
    faults: fake_log.Faults,
    expected: type[errors.ClementinesparError],
    is_appended: bool,
) -> None:
    """Guards against a lost reply that is reported as a refusal."""

    async def main() -> None:
        log = fake_log.FakeLog()
        async with log_service.serving(log, _ADDRESS, 0) as port:
            client = log_http.HttpLogService(f"http://{_ADDRESS}:{port}", 0.2)
            faults.client_timeout_s = None
            log.faults = faults
            with pytest.raises(expected):
                await client.append([b"x"])
            assert (log.end_offset > 0) == is_appended
            if not is_appended:
                with pytest.raises(errors.LogUnavailableError):
                    await client.read(0, 1, 0.0)
            client.close()

    asyncio.run(main())


@pytest.mark.parametrize("is_backlog_full", [False, True])
def test_failed_connect_is_reported_as_not_sent(is_backlog_full: bool) -> None:
    """Guards against a failed connect that is reported as a possible append."""

    async def main() -> None:
        with socket.socket() as listener:
            listener.bind((_ADDRESS, 0))
            fillers = [socket.socket() for _ in range(3)]
            if is_backlog_full:
                listener.listen(0)
                for filler in fillers:
                    filler.setblocking(False)
                    filler.connect_ex(listener.getsockname())
            port = listener.getsockname()[1]
            client = log_http.HttpLogService(f"http://{_ADDRESS}:{port}", 0.2)
            with pytest.raises(errors.LogUnavailableError):
                await client.append([b"x"])
            client.close()
            for filler in fillers:
                filler.close()

    asyncio.run(main())


def test_http_library_does_not_resend_an_append() -> None:
    """Guards against libcurl resending a POST when a reused connection closes.

    If the second connect is refused, the error says that nothing was sent.
    """

    async def main() -> None:
        received: list[bytes] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while len(received) < 2:
                head = await reader.readuntil(b"\r\n\r\n")
                received.append(head)
                await reader.readexactly(len(b'["x"]'))
                if len(received) == 1:
                    reply = b'{"first_offset": 0}'
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
                        % (len(reply), reply)
                    )

        async with stream_server.serving(serve) as server:
            port = stream_server.port_of(server)
            client = log_http.HttpLogService(f"http://{_ADDRESS}:{port}", 2.0)
            assert await client.append([b"x"]) == 0
            server.close()
            with pytest.raises(errors.LogUnavailableError):
                await client.append([b"x"])
            assert len(received) == 1
            client.close()

    asyncio.run(main())


def test_node_follows_over_http() -> None:
    """Guards against a client and a stand-in that parse the wire format differently."""

    async def main() -> None:
        log = fake_log.FakeLog()
        async with log_service.serving(log, _ADDRESS, 0) as port:
            client = log_http.HttpLogService(f"http://{_ADDRESS}:{port}", 5.0)
            follower = log_follower.Follower(client, None, poll_wait_s=5.0)
            appender = log_appender.Appender(client, follower, "node-a", 0.001)
            node = log_nodes.LogNode(
                "node-a", fake_log.LogAccess(log), follower, appender
            )
            async with follower.running(), appender.running():
                log.faults.lose_replies = 1
                results = [
                    await appender.append(node.duty_record(f"duty-{i}"), 30.0)
                    for i in range(3)
                ]
                assert [result.code for result in results] == [codes.ResultCode.OK] * 3
                assert follower.is_ready
            client.close()

    asyncio.run(main())


def test_program_prints_its_port_and_accepts_fault_switches() -> None:
    """Guards against a stand-in that the demo and bench cannot start or control."""
    with subprocess.Popen(
        [sys.executable, "-m", "standins.log_service", "--retention-entries", "2"],
        stdout=subprocess.PIPE,
    ) as process:
        try:
            assert process.stdout is not None
            port = json.loads(process.stdout.readline())["port"]
            url = f"http://{_ADDRESS}:{port}"
            http_client = httpclient.HTTPClient()
            reply = http_client.fetch(
                f"{url}/faults", method="POST", body='{"lose_reply": "all"}'
            )
            assert json.loads(reply.body)["lose_reply"] == fake_log.ALL
            assert json.loads(reply.body)["retention"]["entries"] == 2
            for body in ('{"unknown": 1}', "[]", '{"slow_ms": "x"}', "{"):
                refused = http_client.fetch(
                    f"{url}/faults", method="POST", body=body, raise_error=False
                )
                assert refused.code == 400
            http_client.close()
        finally:
            process.terminate()
