"""Child processes of the demo, all of which are ended with it."""

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
_END_LIMIT_S = 5.0  # time from SIGTERM to SIGKILL


class StartError(Exception):
    """A process ended, or did not report that it is ready, when it was started."""


@dataclasses.dataclass(slots=True)
class Process:
    """A child process."""

    name: str
    child: asyncio.subprocess.Process
    log_path: pathlib.Path  # standard error; also standard output if it prints no line
    first_line: dict[str, Any]  # JSON printed when ready; empty if it prints none

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.child.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self.child.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process has ended and return its exit status."""
        return await self.child.wait()

    def log_tail(self, lines: int = 15) -> str:
        """Return the last lines of its standard error."""
        text = self.log_path.read_text(errors="replace").splitlines()
        return "\n".join(text[-lines:])


class ProcessGroup:
    """Starts processes and tracks them, so that all can be ended with the demo."""

    processes: list[Process]
    environment: dict[str, str]  # added to the environment of every process
    _creations: set[asyncio.Task[Process]]  # tasks that are still creating a process
    _directory: pathlib.Path  # directory of the log files with standard error

    def __init__(self, directory: pathlib.Path, environment: dict[str, str]) -> None:
        self.processes = []
        self._creations = set()
        self._directory = directory
        self.environment = environment

    async def start(
        self, name: str, command: Sequence[str], *, prints_line: bool
    ) -> Process:
        """Start a process and wait for its first line if it prints one.

        Raises
        ------
        StartError
            The process ended, or printed no JSON line in time.
        """
        # Shielded: a cancellation between the start of a child and its registration in
        # `processes` would leave it running.
        creation = asyncio.create_task(self._create(name, command, prints_line))
        self._creations.add(creation)
        creation.add_done_callback(self._creations.discard)
        process = await asyncio.shield(creation)
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
        await asyncio.gather(*self._creations, return_exceptions=True)
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        waiters = [asyncio.create_task(p.wait()) for p in self.processes]
        if waiters:
            await asyncio.wait(waiters, timeout=_END_LIMIT_S)
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        await asyncio.gather(*waiters)


@contextlib.asynccontextmanager
async def group(
    directory: pathlib.Path, environment: dict[str, str]
) -> AsyncIterator[ProcessGroup]:
    """Yield a process group; all of its processes are ended on exit, also on errors."""
    processes = ProcessGroup(directory, environment)
    try:
        yield processes
    finally:
        await _finish(asyncio.create_task(processes.end_all()))


async def _finish(task: asyncio.Task[None]) -> None:
    """Wait for a task to the end before a cancellation is raised.

    Otherwise a cancelled demo would leave processes running.
    """
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
            f"{process.name} printed no JSON line when it started: {error}\n"
            f"{process.log_tail()}"
        ) from error
    if not isinstance(values, dict) or not isinstance(values.get("port"), int):
        raise StartError(f"{process.name} printed a line without a port: {values}")
    return values
