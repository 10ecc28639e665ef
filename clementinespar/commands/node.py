"""Commands that run a node and check files: ``node`` and ``check``."""

import pathlib
import sys

import click

from clementinespar import options
from clementinespar.commands import exits
from clementinespar.documents import loading


@click.command("node")
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="INI file with the settings of this node.",
)
def run_node(path: pathlib.Path) -> None:
    """Run an entry node until SIGTERM or SIGINT.

    All settings are checked before anything starts. If any are invalid, all of them are
    reported and the exit status is 2.
    """
    try:
        settings = options.load_settings(path)
    except ExceptionGroup as group:
        exits.fail_on_problems([group])
    # Imported here because the other commands need neither gRPC nor the node's modules.
    from clementinespar import node

    sys.exit(node.run(settings))


@click.command("check")
@click.argument(
    "paths", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path)
)
def check_files(paths: tuple[pathlib.Path, ...]) -> None:
    """Check settings (.ini) and documents (.toml) without calling a node."""
    unsupported = [str(path) for path in paths if path.suffix not in (".ini", ".toml")]
    if unsupported:
        raise exits.BadInputError(
            f"{', '.join(unsupported)}: expected file names that end in .ini or .toml"
        )
    groups: list[ExceptionGroup[Exception]] = []
    for path in paths:
        try:
            if path.suffix == ".ini":
                options.load_settings(path)
            else:
                loading.load_document(path)
        except ExceptionGroup as group:
            groups.append(group)
        else:
            click.echo(f"{path}: valid")
    if groups:
        exits.fail_on_problems(groups)
