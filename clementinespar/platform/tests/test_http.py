"""Tests of the platform client against the HTTP stand-in."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import pytest
from tornado import httpclient, httpserver, netutil

from clementinespar import codes, errors, http_servers
from clementinespar.platform import http, service
from standins import fake_platform
from standins import platform as platform_standin

_SEEDS = [
    fake_platform.HostSeed("h 1/x", "c0", "r0", "a"),  # an id that must be quoted
    fake_platform.HostSeed("h2", "c0", "r1", "a"),
    fake_platform.HostSeed("h3", "c1", "r0", "a"),
]
_OPERATION = service.Operation("10-a@5", 5)


@contextlib.asynccontextmanager
async def _client(
    platform: fake_platform.FakePlatform, timeout_s: float = 5.0
) -> AsyncIterator[http.HttpPlatformService]:
    async with platform_standin.serving(platform, "127.0.0.1", 0) as port:
        client = http.HttpPlatformService(f"http://127.0.0.1:{port}", timeout_s)
        try:
            yield client
        finally:
            client.close()


def _run(
    scenario: Callable[
        [http.HttpPlatformService, fake_platform.FakePlatform],
        Coroutine[Any, Any, None],
    ],
    timeout_s: float = 5.0,
) -> None:
    async def main() -> None:
        platform = fake_platform.FakePlatform(_SEEDS, drain_s=0, reboot_s=0)
        platform.faults.list_lag_s = 0
        async with _client(platform, timeout_s) as client:
            await scenario(client, platform)

    asyncio.run(main())


async def _wait(client: http.HttpPlatformService, step: service.OperationStep) -> None:
    while await client.operation_status(_OPERATION.operation_id, step) != "done":
        await asyncio.sleep(0)


def test_host_is_drained_and_rebooted_into_a_pool() -> None:
    """Guards against calls that do not follow the platform's HTTP interface."""

    async def scenario(
        client: http.HttpPlatformService, platform: fake_platform.FakePlatform
    ) -> None:
        host_id = _SEEDS[0].host_id
        assert (
            await client.operation_status(_OPERATION.operation_id, "drain") == "unknown"
        )
        await client.drain(host_id, _OPERATION)
        await _wait(client, "drain")
        listed = await client.list_hosts()
        assert listed.hosts_by_id[host_id].condition == "leaving"
        assert listed.hosts_by_id["h2"].condition == "live"
        await client.reboot(host_id, _OPERATION, "b")
        await _wait(client, "reboot")
        await client.reboot(host_id, _OPERATION, "b")  # repeated, without effect
        assert platform.pool_by_host_id[host_id] == "b"
        await client.throttle("h2", "task")
        await client.checkpoint("h2", "task")
        steps = [(a.step, a.result) for a in platform.actions]
        assert steps == [
            ("drain", "started"),
            ("drain", "done"),
            ("reboot", "started"),
            ("reboot", "done"),
            ("reboot", "repeated"),
            ("throttle", "done"),
            ("checkpoint", "done"),
        ]

    _run(scenario)


def test_unchanged_hosts_are_not_transferred_again() -> None:
    """Guards against transferring the list every second: 150 KB with 1,100 hosts."""

    async def scenario(
        client: http.HttpPlatformService, platform: fake_platform.FakePlatform
    ) -> None:
        first = await client.list_hosts()
        await asyncio.sleep(0.002)  # the time of a list has a resolution of 1 ms
        second = await client.list_hosts()
        assert second.observed_ms > first.observed_ms
        assert second.hosts_by_id is first.hosts_by_id
        platform.fail(["h2"])
        third = await client.list_hosts()
        assert "h2" not in third.hosts_by_id
        assert "h2" in first.hosts_by_id

    _run(scenario)


@pytest.mark.parametrize(
    ("fault", "code", "has_effect"),
    [
        ("stale", codes.ResultCode.PLATFORM_REFUSED, False),
        ("failed", codes.ResultCode.PLATFORM_REFUSED, False),
        ("down", codes.ResultCode.PLATFORM_UNAVAILABLE, False),
        ("lost", codes.ResultCode.PLATFORM_UNAVAILABLE, True),
        ("silent", codes.ResultCode.PLATFORM_UNAVAILABLE, False),
    ],
)
def test_errors_distinguish_refused_from_unavailable_actions(
    fault: str, code: codes.ResultCode, has_effect: bool
) -> None:
    """Guards against a lost reply that is reported as a refusal, and the reverse."""

    async def scenario(
        client: http.HttpPlatformService, platform: fake_platform.FakePlatform
    ) -> None:
        if fault == "stale":
            await platform.drain("h2", service.Operation("later", 6))
        platform.faults.down = fault == "down"
        platform.faults.silent = fault == "silent"
        platform.faults.lose_replies = 1 if fault == "lost" else 0
        platform.fail(["h2"] if fault == "failed" else [])
        with pytest.raises(errors.ClementinesparError) as raised:
            await client.drain("h2", _OPERATION)
        assert raised.value.code == code
        platform.faults = fake_platform.Faults()
        state = await client.operation_status(_OPERATION.operation_id, "drain")
        assert (state != "unknown") == has_effect

    _run(scenario, timeout_s=0.5 if fault == "silent" else 5.0)


@contextlib.asynccontextmanager
async def _serving(
    path: str, handler: type[http_servers.Handler]
) -> AsyncIterator[int]:
    application = http_servers.Application([(path, handler)])
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    server = httpserver.HTTPServer(application)
    async with http_servers.serving(server, application, sockets):
        yield sockets[0].getsockname()[1]


@pytest.mark.parametrize(
    ("status", "body"),
    [(200, b"{}"), (200, b"[1]"), (302, b""), (304, b""), (500, b"")],
)
def test_invalid_replies_raise_platform_unavailable(status: int, body: bytes) -> None:
    """Guards against an invalid reply that is used as a host list."""

    class Handler(http_servers.Handler):
        def get(self) -> None:
            self.set_status(status)
            self.set_header("Location", "/hosts2")
            self.set_header("X-Observed-Ms", "1")
            self.finish(body or None)

    async def main() -> None:
        async with _serving("/hosts", Handler) as port:
            client = http.HttpPlatformService(f"http://127.0.0.1:{port}", 5.0)
            with pytest.raises(errors.PlatformUnavailableError):
                await client.list_hosts()
            client.close()

    asyncio.run(main())


def test_standin_fault_switches_and_target_notices() -> None:
    """Guards against switches of the stand-in that have no effect."""

    async def main() -> None:
        notices: asyncio.Queue[dict[str, bool]] = asyncio.Queue()

        class Target(http_servers.Handler):
            def post(self) -> None:
                notices.put_nowait(json.loads(self.request.body))

        sender = platform_standin.TargetNotices()
        async with contextlib.AsyncExitStack() as stack:
            target_port = await stack.enter_async_context(_serving("/faults", Target))
            seed = fake_platform.HostSeed(
                "h4", "c1", "r0", "a", faults_port=target_port
            )
            platform = fake_platform.FakePlatform(
                [*_SEEDS, seed], drain_s=0, reboot_s=0, on_leaving=sender.send
            )
            await stack.enter_async_context(sender.running())
            port = await stack.enter_async_context(
                platform_standin.serving(platform, "127.0.0.1", 0)
            )
            post = httpclient.AsyncHTTPClient()
            url = f"http://127.0.0.1:{port}"
            switches = {"fail": {"data_centre": "c1", "rack": "r0"}, "slow_ms": 0}
            reply = await post.fetch(
                f"{url}/faults", method="POST", body=json.dumps(switches)
            )
            assert json.loads(reply.body)["failed"] == ["h3", "h4"]
            body = json.dumps({"recover": {"hosts": ["h4"]}})
            await post.fetch(f"{url}/faults", method="POST", body=body)
            bad = await post.fetch(
                f"{url}/faults", method="POST", body='{"x": 1}', raise_error=False
            )
            assert bad.code == 400
            task = json.dumps({"task_id": "t", "host_id": "h4", "lease_s": 60})
            await post.fetch(f"{url}/tasks", method="POST", body=task)
            await platform.drain("h4", _OPERATION)
            assert await notices.get() == {"leaving": True}
            while await platform.operation_status("10-a@5", "drain") != "done":
                await asyncio.sleep(0)
            tasks = await post.fetch(f"{url}/tasks")
            assert json.loads(tasks.body) == {"tasks": []}  # draining ends leases
            await platform.reboot("h4", _OPERATION, "b")
            assert await notices.get() == {"leaving": False}
            history = json.loads((await post.fetch(f"{url}/actions")).body)
            assert history["pools"]["h4"] == "b"
            assert [a["step"] for a in history["actions"]["h4"]][:2] == [
                "lease",
                "drain",
            ]

    asyncio.run(main())
