"""Bytes that processes exchange over TCP, as reported by ``ss``."""

import collections
import dataclasses
import re
import subprocess
from collections.abc import Iterable, Mapping

_PID = re.compile(r"pid=(\d+)")
_SENT = re.compile(r"bytes_sent:(\d+)")
_RECEIVED = re.compile(r"bytes_received:(\d+)")


@dataclasses.dataclass(frozen=True, slots=True)
class SocketKey:
    """One end of a connection, in one process."""

    pid: int
    local_port: int
    remote_port: int


class ByteCounter:
    """Sums the bytes of all connections of some processes.

    `sample` must be called often: bytes that a connection transfers between the last
    sample and its close are not counted.
    """

    _bytes_by_key: dict[SocketKey, int]

    def __init__(self) -> None:
        self._bytes_by_key = {}

    def sample(self, pids: Iterable[int]) -> None:
        """Read the counters of all connections of the processes."""
        wanted = set(pids)
        output = subprocess.run(
            ["ss", "-tnipHO"], check=True, capture_output=True, text=True
        ).stdout
        for line in output.splitlines():
            fields = line.split()
            pid = _PID.search(line)
            if pid is None or int(pid.group(1)) not in wanted:
                continue
            key = SocketKey(int(pid.group(1)), _port(fields[3]), _port(fields[4]))
            self._bytes_by_key[key] = _count(_SENT, line) + _count(_RECEIVED, line)

    def totals(self, use_by_port: Mapping[int, str]) -> dict[str, int]:
        """Return the bytes in both directions, by use of the connection.

        Parameters
        ----------
        use_by_port : mapping of int to str
            Use of each listening port; either end of a connection may have it.
        """
        totals: dict[str, int] = collections.Counter()
        for key, count in self._bytes_by_key.items():
            use = use_by_port.get(key.local_port) or use_by_port.get(key.remote_port)
            totals[use or "other"] += count
        return dict(totals)


def _port(endpoint: str) -> int:
    return int(endpoint.rpartition(":")[2])


def _count(pattern: re.Pattern[str], line: str) -> int:
    found = pattern.search(line)
    return int(found.group(1)) if found else 0
