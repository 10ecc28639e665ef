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
    """Run one entry node until it is told to stop.

    All settings are checked before anything starts; every bad one is reported and the
    exit status is 2.
    """
    try:
        settings = options.load_settings(path)
    except ExceptionGroup as group:
        exits.fail_on_problems([group])
    # Imported here because the client commands need neither gRPC nor the node's parts.
    from clementinespar import node

    sys.exit(node.run(settings))


@click.command("check")
@click.argument(
    "paths", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path)
)
def check_files(paths: tuple[pathlib.Path, ...]) -> None:
    """Check settings (.ini) and documents (.toml) without a node."""
    odd = [str(path) for path in paths if path.suffix not in (".ini", ".toml")]
    if odd:
        raise exits.BadInputError(
            f"{', '.join(odd)}: expected names that end in .ini or .toml"
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
