"""Stand-in of a target: the instance of a service on one host.

Implements the wire format of section 5 of the design page. The request body sets the
run time (``{"run_ms": 20}``). ``POST /faults`` changes the faults of a running target,
and ``GET /runs`` reports how often each request ran, which shows repeated work.

Run as ``python -m standins.target --address 127.0.0.1 --port 0 --host-id h1``; the
first line of output is JSON with the port.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import json
import signal
from collections.abc import AsyncIterator
from typing import Any

import tornado.httpserver
import tornado.httputil
import tornado.iostream
import tornado.netutil
import tornado.web

from clementinespar import http_servers


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults of a target; all are off by default."""

    fail_all: bool = False  # starts every request and answers 500 at once
    freeze: bool = False  # delays all starts and answers until it is off again
    silent: bool = False  # accepts requests and never answers them
    drop_before_answer: bool = False  # runs the request, then closes the connection
    wrong_request_id: bool = False  # echoes another request id
    leaving: bool = False  # refuses new work and reports that it is leaving
    refuse: bool = False  # refuses new work
    slow_factor: float = 1.0  # multiplies run times

    def update(self, changes: dict[str, Any]) -> None:
        """Change the named faults; raises ValueError for one that does not exist."""
        known = {field.name for field in dataclasses.fields(self)}
        for name, value in changes.items():
            if name not in known:
                raise ValueError(
                    f"unknown fault {name}, expected one of {sorted(known)}"
                )
            setattr(self, name, float(value) if name == "slow_factor" else bool(value))


@dataclasses.dataclass(slots=True)
class TargetState:
    """Slots, faults and counters of one target."""

    host_id: str
    slots: int = 8
    default_run_ms: float = 20.0
    faults: Faults = dataclasses.field(default_factory=Faults)
    busy_slots: int = 0
    most_busy_slots: int = 0
    refused_full: int = 0  # requests that arrived while all slots were busy
    refused_leaving: int = 0  # requests that arrived while the target was leaving
    runs_by_request_id: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def check_admission(self) -> str | None:
        """Return why a request that arrives now is refused, or None."""
        if self.faults.leaving:
            self.refused_leaving += 1
            return "leaving"
        if self.faults.refuse:
            return "refusing"
        if self.busy_slots >= self.slots:
            self.refused_full += 1
            return "full"
        return None

    def run_seconds(self, body: bytes) -> float:
        """Return the run time in seconds that a request body asks for."""
        run_ms = self.default_run_ms
        with contextlib.suppress(ValueError, TypeError, AttributeError):
            run_ms = float(json.loads(body).get("run_ms", run_ms))
        return max(0.0, run_ms) / 1000 * self.faults.slow_factor

    @contextlib.contextmanager
    def running(self, request_id: str) -> Any:
        """Occupy a slot and count the run."""
        self.busy_slots += 1
        self.most_busy_slots = max(self.most_busy_slots, self.busy_slots)
        self.runs_by_request_id[request_id] += 1
        try:
            yield
        finally:
            self.busy_slots -= 1

    def answer_body(self, request_id: str, kind: str) -> bytes:
        """Return the body of an answer, which names the request that it belongs to."""
        answer = {"request_id": request_id, "host_id": self.host_id, "kind": kind}
        return json.dumps(answer).encode()


class _Handler(http_servers.Handler):
    state: TargetState  # of the target that this handler serves

    def initialize(self, state: TargetState) -> None:
        self.state = state

    async def wait_while_frozen(self) -> None:
        while self.state.faults.freeze:
            await asyncio.sleep(0.02)

    def write_json(self, value: object) -> None:
        if self.state.faults.leaving:
            self.set_header("X-Leaving", "1")
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(value))


class _WorkHandler(_Handler):
    async def post(self, service: str, kind: str) -> None:
        """Run one request, or refuse it before it starts."""
        state = self.state
        request_id = self.request.headers.get("X-Request-Id", "")
        await self.wait_while_frozen()
        if state.faults.silent:
            await asyncio.Event().wait()
        self.set_header("X-Request-Id", request_id)
        refusal = state.check_admission()
        if refusal is not None:
            self.set_status(503)
            self.set_header("X-Not-Started", "1")
            self.write_json({"refused": refusal})
            return
        with state.running(request_id):
            if not state.faults.fail_all:
                await asyncio.sleep(state.run_seconds(self.request.body))
            await self.wait_while_frozen()
        if state.faults.drop_before_answer:
            self.detach().close()
            return
        if state.faults.wrong_request_id:
            self.set_header("X-Request-Id", f"other-{request_id}")
        if state.faults.fail_all:
            self.set_status(500)
        if state.faults.leaving:
            self.set_header("X-Leaving", "1")
        self.set_header("Content-Type", "application/json")
        self.write(state.answer_body(request_id, kind))


class _StatusHandler(_Handler):
    async def get(self) -> None:
        """Answer with the busy slots and whether the target is leaving."""
        await self.wait_while_frozen()
        self.write_json(
            {
                "host_id": self.state.host_id,
                "busy_slots": self.state.busy_slots,
                "slots": self.state.slots,
                "is_leaving": self.state.faults.leaving,
            }
        )


class _FaultsHandler(_Handler):
    def post(self) -> None:
        """Change faults and answer with all of them."""
        try:
            self.state.faults.update(json.loads(self.request.body))
        except (ValueError, TypeError, AttributeError) as error:
            self.set_status(400)
            self.write_json({"error": str(error)})
            return
        self.write_json(dataclasses.asdict(self.state.faults))


class _RunsHandler(_Handler):
    def get(self) -> None:
        """Answer with how often each request ran."""
        self.write_json(
            {
                "runs": dict(self.state.runs_by_request_id),
                "most_busy_slots": self.state.most_busy_slots,
                "refused_full": self.state.refused_full,
                "refused_leaving": self.state.refused_leaving,
            }
        )


class _Server(tornado.httpserver.HTTPServer):
    max_connections: int  # further connections are closed at once
    open_connections: int

    def initialize(  # type: ignore[override]
        self, *args: Any, max_connections: int, **kwargs: Any
    ) -> None:
        super().initialize(*args, **kwargs)
        self.max_connections = max_connections
        self.open_connections = 0

    def handle_stream(
        self, stream: tornado.iostream.IOStream, address: tuple[Any, ...]
    ) -> None:
        if self.open_connections >= self.max_connections:
            stream.close()
            return
        self.open_connections += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        self.open_connections -= 1
        super().on_close(server_conn)


@contextlib.asynccontextmanager
async def serve(
    state: TargetState,
    address: str = "127.0.0.1",
    port: int = 0,
    max_connections: int = 64,
) -> AsyncIterator[int]:
    """Serve a target while the context is entered; yield its port."""
    arguments = {"state": state}
    application = http_servers.Application(
        [
            (r"/work/([^/]+)/([^/]+)", _WorkHandler, arguments),
            (r"/status", _StatusHandler, arguments),
            (r"/faults", _FaultsHandler, arguments),
            (r"/runs", _RunsHandler, arguments),
        ]
    )
    server = _Server(application, max_connections=max_connections)
    sockets = tornado.netutil.bind_sockets(port, address)
    async with http_servers.serving(server, application, sockets):
        yield sockets[0].getsockname()[1]


async def _main(arguments: argparse.Namespace) -> None:
    state = TargetState(arguments.host_id, arguments.slots, arguments.run_ms)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    async with serve(
        state, arguments.address, arguments.port, arguments.connections
    ) as port:
        line = {"host_id": state.host_id, "address": arguments.address, "port": port}
        print(json.dumps(line), flush=True)
        await stop.wait()


def main() -> None:
    """Parse the command line and serve until a signal."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--host-id", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--run-ms", type=float, default=20.0)
    asyncio.run(_main(parser.parse_args()))


if __name__ == "__main__":
    main()
