"""Starts the project's nodes as separate processes, as the deploy file says."""

import asyncio
import contextlib
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import tempfile
import tomllib

from harness import record, web

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
RESTART_DELAY_S = 0.5
PORTS = (12_000, 30_000)


def free_ports(count: int) -> list[int]:
    """Return free ports of the loopback address.

    They lie below those that the kernel gives to outgoing connections, so that a node
    finds its own free again when it restarts.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((web.LOOPBACK, port))
            if port not in ports:
                ports.append(port)
    return ports


def render(template: str, fields: dict[str, object]) -> str:
    """Return the settings, with the placeholders of the template filled in."""
    return re.sub(
        r"\{\{([\w.]+)\}\}", lambda match: str(fields.get(match[1], "")), template
    )


class Node:
    """One node of the system."""

    def __init__(
        self,
        number: int,
        store_port: int,
        cloud_port: int,
        notes: record.Record,
    ) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["node"]
        self.name = f"front-{number}"
        self._command = role["run"].split()
        self._record = notes
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.callers, self.readiness, self.internal = free_ports(3)
        fields = {
            "node": self.name,
            "zone": "z1",
            "ip": web.LOOPBACK,
            "listen.front": f"{web.LOOPBACK}:{self.callers}",
            "listen.ready": f"{web.LOOPBACK}:{self.readiness}",
            "internalPorts.0": self.internal,
            "bounds.graceS": 6,
            "limits.cpuShare": 0.537,
            "limits.cores": 2,
            "limits.memoryMb": 300,
            "limits.maxFds": 4100,
            "platform.addr": f"{web.LOOPBACK}:{store_port}",
            "platform.ttlMinMs": 1000,
            "platform.parts": 24,
            "cloud.addr": f"{web.LOOPBACK}:{cloud_port}",
            "bounds.leaseMs": 3000,
            "bounds.upkeepS": 2,
            "bounds.holdMaxMs": 6000,
            "bounds.configMs": 2000,
            "advice": "",
        }
        self._settings = self._folder / "settings"
        self._settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        self.log = self._folder / "log"
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def endpoint(self) -> str:
        """Return the address by which other nodes know this one."""
        return f"{web.LOOPBACK}:{self.internal}"

    def start(self) -> None:
        """Start the process."""
        names = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CLEMENTINESPAR_NODE_FILE"] = str(self._settings)
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self._record.write("node starts", node=self.name)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self._record.write("signal", node=self.name, signal=number.name)

    async def kill(self, down_s: float = RESTART_DELAY_S) -> None:
        """Kill the process, and start it again after a delay."""
        self.signal(signal.SIGKILL)
        assert self.process is not None
        await asyncio.to_thread(self.process.wait)
        await asyncio.sleep(down_s)
        self.start()

    def end(self) -> None:
        """Kill the process for good and wait for its end."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until the node says that it is ready."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        while loop.time() < end:
            status, _ = await web.call(self.readiness, "GET", "/v1/ready")
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False
