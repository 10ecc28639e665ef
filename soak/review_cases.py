"""Plays the cases of `review/`: ``python -m soak.review_cases``.

Each case ends with 0 if the rule held, 1 if it was broken and 2 if it could not be
played. The verdicts are compared with the lines ``review: CASE VERDICT`` of
KNOWN-RED.txt; other cases are expected to hold.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterator, Sequence

import click

from clementinespar import errors
from clementinespar.tests import known_failures

ROOT = pathlib.Path(__file__).resolve().parent.parent
COPIED = ("clementinespar", "platform", "deploy", "review", "target")
BUILT = "target/deps"
CASE_LIMIT_S = 300.0
# A case with a kept state records it anew; the states of its jobs expire meanwhile.
KEPT_STATE = "store.json"
KEPT_STATE_AGE_S = 205.0
HELD, BROKEN, NOT_PLAYED = "held", "broken", "not played"
_VERDICTS: dict[int | None, str] = {0: HELD, 1: BROKEN}


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """How a case ended."""

    case: str  # name of its folder
    status: int | None  # exit status; None if it ran out of time
    expected: str  # verdict

    @property
    def verdict(self) -> str:
        """Return what the exit status says of the rule."""
        return _VERDICTS.get(self.status, NOT_PLAYED)

    @property
    def is_as_expected(self) -> bool:
        """Return whether KNOWN-RED.txt says the same."""
        return self.verdict == self.expected


def read_expected() -> dict[str, str]:
    """Return the verdicts of KNOWN-RED.txt by case."""
    parts = (line.partition(" ") for line in known_failures.read("review"))
    return {case: verdict for case, _, verdict in parts}


def find_cases(review: pathlib.Path) -> list[pathlib.Path]:
    """Return the folders of the cases, in the order of their numbers."""
    scripts = review.glob("*/run.sh")
    return sorted((path.parent for path in scripts), key=lambda case: int(case.name))


@contextlib.contextmanager
def copy_checkout() -> Iterator[pathlib.Path]:
    """Copy what the cases use, because they rewrite their own files."""
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        for name in COPIED:
            shutil.copytree(
                ROOT / name,
                pathlib.Path(folder, name),
                ignore=shutil.ignore_patterns("__pycache__"),
            )
        yield pathlib.Path(folder)


async def run_script(command: Sequence[str], folder: pathlib.Path) -> int | None:
    """Run a script of a case; return its exit status, or None if it took too long."""
    environment = {**os.environ, "PYTHONPATH": str(folder / BUILT)}
    process = await asyncio.create_subprocess_exec(
        *command,
        cwd=folder,
        env=environment,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
        start_new_session=True,  # so that the nodes of the case can be ended with it
    )
    try:
        async with asyncio.timeout(CASE_LIMIT_S):
            return await process.wait()
    except TimeoutError:
        return None
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
        await process.wait()


async def play_case(
    case: pathlib.Path, expected: str, room: asyncio.Semaphore
) -> Result:
    """Play one case, and first record its kept state if it has any."""
    folder = case.parent.parent
    if (case / KEPT_STATE).exists():
        async with room:
            command = [sys.executable, str(case / "case.py"), "--record"]
            status = await run_script(command, folder)
        if status != 0:
            return Result(case.name, None, expected)
        await asyncio.sleep(KEPT_STATE_AGE_S)
    async with room:
        status = await run_script(["bash", str(case / "run.sh")], folder)
    return Result(case.name, status, expected)


async def play_cases(names: Sequence[str], jobs: int) -> list[Result]:
    """Play cases, several at a time, and print a line for each that has ended."""
    expected = read_expected()
    room = asyncio.Semaphore(jobs)
    results: list[Result] = []
    with copy_checkout() as folder:
        plays = [
            play_case(case, expected.get(case.name, HELD), room)
            for case in find_cases(folder / "review")
            if not names or case.name in names
        ]
        began = time.monotonic()
        for play in asyncio.as_completed(plays):
            result = await play
            results.append(result)
            note = "" if result.is_as_expected else f", expected: {result.expected}"
            click.echo(
                f"review/{result.case}: {result.verdict}{note}"
                f" ({time.monotonic() - began:.0f} s)"
            )
    return results


@click.command()
@click.argument("names", nargs=-1)
@click.option("--jobs", default=4, show_default=True, help="Cases at the same time.")
def main(names: tuple[str, ...], jobs: int) -> None:
    """Play the cases NAMES of `review/`, or all of them."""
    if not (ROOT / BUILT).is_dir():
        build = tomllib.loads((ROOT / "deploy/system.toml").read_text())["build"]
        raise click.UsageError(f"{BUILT} is missing; run the build first: {build}")
    results = asyncio.run(play_cases(names, jobs))
    surprises = [result.case for result in results if not result.is_as_expected]
    if surprises or not results:
        click.echo(
            f"not as expected: {', '.join(sorted(surprises)) or 'no case played'}"
        )
        sys.exit(errors.ExitStatus.REFUSED)
    click.echo(f"{len(results)} cases are as expected")


if __name__ == "__main__":
    main()
