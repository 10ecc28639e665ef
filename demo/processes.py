"""Child processes of the demo: started, watched, ended and waited for."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import sys
from collections.abc import AsyncIterator, Sequence
from typing import Any

_START_LIMIT_S = 30.0  # longest wait for the first line of a stand-in
_END_LIMIT_S = 5.0  # after this, a process that was told to end is killed


class StartError(Exception):
    """A process ended or said nothing useful when it was started."""


@dataclasses.dataclass(slots=True)
class Process:
    """A running child."""

    name: str
    child: asyncio.subprocess.Process
    log_path: pathlib.Path  # its standard error
    first_line: dict[str, Any]  # what it printed when it was ready, may be empty

    @property
    def is_running(self) -> bool:
        """Whether it has not ended yet."""
        return self.child.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self.child.send_signal(number)

    async def wait(self) -> int:
        """Wait until it has ended and return its exit status."""
        return await self.child.wait()

    def log_tail(self, lines: int = 15) -> str:
        """Return the last lines of its standard error."""
        text = self.log_path.read_text(errors="replace").splitlines()
        return "\n".join(text[-lines:])


class ProcessGroup:
    """Starts processes and remembers them, so that none outlives the demo."""

    processes: list[Process]
    environment: dict[str, str]  # added to the environment of every process
    _creating: set[asyncio.Task[Process]]  # processes that are just being started
    _directory: pathlib.Path  # for the processes' standard error

    def __init__(self, directory: pathlib.Path, environment: dict[str, str]) -> None:
        self.processes = []
        self._creating = set()
        self._directory = directory
        self.environment = environment

    async def start(
        self, name: str, command: Sequence[str], *, prints_line: bool
    ) -> Process:
        """Start a process and wait for its first line if it prints one.

        Raises
        ------
        StartError
            It ended, or printed no JSON in time.
        """
        # Shielded: a child that was started but not remembered would never be ended.
        creating = asyncio.create_task(self._create(name, command, prints_line))
        self._creating.add(creating)
        creating.add_done_callback(self._creating.discard)
        process = await asyncio.shield(creating)
        if prints_line:
            process.first_line = await _read_first_line(process)
        return process

    async def _create(
        self, name: str, command: Sequence[str], prints_line: bool
    ) -> Process:
        log_path = self._directory / f"{name}.log"
        with log_path.open("ab") as log:
            child = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE if prints_line else log,
                stderr=log,
                env={**os.environ, **self.environment},
            )
        process = Process(name, child, log_path, {})
        self.processes.append(process)
        return process

    async def start_module(self, name: str, module: str, *arguments: str) -> Process:
        """Start ``python -m module``, which prints one JSON line when it is ready."""
        command = (sys.executable, "-m", module, *arguments)
        return await self.start(name, command, prints_line=True)

    async def end_all(self) -> None:
        """End all processes and wait for them."""
        await asyncio.gather(*self._creating, return_exceptions=True)
        for process in self.processes:
            process.send(signal.SIGTERM)
        waiters = [asyncio.create_task(p.wait()) for p in self.processes]
        if waiters:
            await asyncio.wait(waiters, timeout=_END_LIMIT_S)
        for process in self.processes:
            process.send(signal.SIGKILL)
        await asyncio.gather(*waiters)


@contextlib.asynccontextmanager
async def group(
    directory: pathlib.Path, environment: dict[str, str]
) -> AsyncIterator[ProcessGroup]:
    """Give a group of processes and end all of them, also after a failure."""
    processes = ProcessGroup(directory, environment)
    try:
        yield processes
    finally:
        await _finish(asyncio.create_task(processes.end_all()))


async def _finish(task: asyncio.Task[None]) -> None:
    """Wait for a task also when cancelled, so that no process is left behind."""
    is_cancelled = False
    while not task.done():
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            is_cancelled = True
    if is_cancelled:
        raise asyncio.CancelledError
    task.result()


async def _read_first_line(process: Process) -> dict[str, Any]:
    assert process.child.stdout is not None
    try:
        async with asyncio.timeout(_START_LIMIT_S):
            line = await process.child.stdout.readline()
        values = json.loads(line)
    except (TimeoutError, ValueError) as error:
        raise StartError(
            f"{process.name} printed no JSON line: {error}\n{process.log_tail()}"
        ) from error
    if not isinstance(values, dict) or not isinstance(values.get("port"), int):
        raise StartError(f"{process.name} printed no port: {values}")
    return values
