"""The programs of the deploy file, as processes on loopback addresses."""

import asyncio
import contextlib
import os
import pathlib
import re
import shlex
import signal
import socket
import subprocess
import tomllib

from harness_2 import record, store, web

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BOUNDS = {"graceS": 6, "leaseMs": 3000, "upkeepS": 2, "holdMaxMs": 6000}
CONFIG_MS = 2000


def find_port(host: str) -> int:
    """Return a free port of an address."""
    with socket.socket() as bound:
        bound.bind((host, 0))
        port: int = bound.getsockname()[1]
        return port


def _render(template: str, fields: dict[str, object]) -> str:
    """Fill in the placeholders ``{{a.b}}`` of a template, as `DEPLOY.md` tells."""

    def find(match: re.Match[str]) -> str:
        value: object = fields
        for name in match.group(1).split("."):
            value = value.get(name) if isinstance(value, dict) else None
        return "" if value is None else str(value)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", find, template)


class Node:
    """One node; its process may be started again."""

    def __init__(
        self,
        number: int,
        folder: pathlib.Path,
        platform: str,
        cloud: str,
        log: record.Record,
        advice: str = "",
    ) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        self.name = f"front-z-{number}"
        self.ip = f"127.0.1.{number}"
        self.internal_port = find_port(self.ip)
        self.callers = f"{self.ip}:{find_port(self.ip)}"
        self.readiness = f"{self.ip}:{find_port(self.ip)}"
        self.process: subprocess.Popen[bytes] | None = None
        self._log = log
        self._output = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.ini"
        self._run = shlex.split(role["run"])
        fields: dict[str, object] = {
            "node": self.name,
            "zone": "z",
            "ip": self.ip,
            "listen": {
                "front": self.callers,
                "ready": self.readiness,
            },
            "internalPorts": {"0": self.internal_port},
            "bounds": {**BOUNDS, "configMs": CONFIG_MS},
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
            },
            "platform": {
                "addr": platform,
                "ttlMinMs": store.TTL_MIN_MS,
                "parts": store.PARTS,
            },
            "cloud": {"addr": cloud},
            "advice": advice,
        }
        template = (ROOT / role["template"]).read_text()
        self._settings.write_text(_render(template, fields))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CLEMENTINESPAR_NODE_FILE"] = str(self._settings)
        with self._output.open("ab") as output:
            self.process = subprocess.Popen(
                self._run, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self._log.add(f"{self.name} starts")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self._log.add(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask for its readiness, as the platform does."""
        status, _ = await web.call(self.readiness, "GET", "/v1/ready", timeout_s=0.5)
        return status == 200

    def read_log(self) -> str:
        """Return what the process has written."""
        return self._output.read_text(errors="replace")

    async def end(self) -> None:
        """Kill the process, stopped or not."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await asyncio.to_thread(self.process.wait)
