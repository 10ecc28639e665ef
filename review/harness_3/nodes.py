"""Processes of the project: nodes, started by the command of the deploy file."""

import asyncio
import os
import pathlib
import signal
import subprocess
import tomllib

import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
GRACE_S = 6

_SETTINGS = """[node]
name = {name}
data_centre = z
address = 127.0.0.1
callers = 127.0.0.1:{ports[0]}
readiness = 127.0.0.1:{ports[1]}
first_internal_port = {ports[2]}
stop_limit_s = {grace}
cpu_share = 0.537
cores = 2
memory_mb = 300
max_descriptors = 4100

[store]
address = {store}
ownership_min_ms = 1000
partitions = {parts}

[hosts]
address = {hosts}
holder_lease_ms = 3000
upkeep_s = 2

[jobs]
lease_max_ms = 6000
keys_max_age_ms = 2000
adviser = {adviser}
"""


class Node:
    """One node and its process."""

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store: str,
        hosts: str,
        adviser: str = "",
        parts: int = 24,
    ) -> None:
        self.name = name
        self.ports = wire.free_ports(3)
        self.callers = f"127.0.0.1:{self.ports[0]}"
        self.ready = f"127.0.0.1:{self.ports[1]}"
        self.process: subprocess.Popen[bytes] | None = None
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.ini"
        self._settings.write_text(
            _SETTINGS.format(
                name=name,
                ports=self.ports,
                grace=GRACE_S,
                store=store,
                hosts=hosts,
                adviser=adviser,
                parts=parts,
            )
        )

    def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CLEMENTINESPAR_NODE_FILE"] = str(self._settings)
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await asyncio.to_thread(self.process.wait)

    async def wait_ready(self, limit_s: float = 30.0) -> bool:
        """Wait until the node tells the balancer that it is ready."""
        for _ in range(int(limit_s / 0.1)):
            if (await wire.call(self.ready, "GET", "/v1/ready", timeout_s=1.0))[
                0
            ] == 200:
                return True
            await asyncio.sleep(0.1)
        return False
