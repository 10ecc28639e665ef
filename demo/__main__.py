"""Run the demo: ``python -m demo --program dist/clementinespar``."""

import asyncio
import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import Callable

import click

from clementinespar import errors
from demo import deployment, processes, scenario, table

_USERS = ("teranga", "al-batinah")


@click.command()
@click.option(
    "--program",
    required=True,
    type=click.Path(path_type=pathlib.Path, exists=True, dir_okay=False),
    help="Path of the packaged program.",
)
@click.option(
    "--kill", "kills", is_flag=True, help="Also kill a node, a target and the log."
)
@click.option(
    "--user",
    "users",
    multiple=True,
    type=click.Choice(_USERS),
    default=_USERS,
    help="Run only this user's deployment; may be repeated.",
)
def main(program: pathlib.Path, kills: bool, users: tuple[str, ...]) -> None:
    """Run both example deployments as separate processes and check the guarantees."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="clementinespar-demo-") as directory:
        try:
            reports = asyncio.run(
                _run(program.absolute(), pathlib.Path(directory), kills, users)
            )
        except* (processes.StartError, deployment.CommandFailedError) as group:
            raise click.ClickException(
                "\n".join(str(error) for error in errors.iter_problems(group))
            ) from None
        except* asyncio.CancelledError:
            raise click.ClickException(
                "received SIGTERM; all child processes have ended"
            ) from None
    for report in reports:
        click.echo(f"\n{table.render(report)}")
    click.echo(f"\n{time.monotonic() - started:.0f} s in total")
    sys.exit(1 if any(report.violations for report in reports) else 0)


async def _run(
    program: pathlib.Path,
    directory: pathlib.Path,
    kills: bool,
    users: tuple[str, ...],
) -> list[scenario.Report]:
    task = asyncio.current_task()
    assert task is not None
    # Cancels the main task, so that child processes are ended on SIGTERM too.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    await _unpack(program, directory)
    async with asyncio.TaskGroup() as tasks:
        running = [
            tasks.create_task(
                scenario.run(
                    user, program, directory / user, kills, _line_printer(user)
                )
            )
            for user in users
        ]
    return [scenario_task.result() for scenario_task in running]


def _line_printer(user: str) -> Callable[[str], None]:
    return lambda line: click.echo(f"{user:<10}  {line}")


async def _unpack(program: pathlib.Path, directory: pathlib.Path) -> None:
    """Run the program once to unpack it, so that the nodes start at the same time."""
    async with processes.group(
        directory, {"SHIV_ROOT": str(directory / "shiv")}
    ) as group:
        unpacked = await group.start(
            "unpack",
            (sys.executable, str(program), "--version"),
            prints_line=False,
        )
        if await unpacked.wait() != 0:
            raise processes.StartError(unpacked.log_tail())


if __name__ == "__main__":
    main()
