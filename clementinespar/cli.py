"""Command line of clementinespar."""

import click

import clementinespar
from clementinespar.commands import node


@click.group()
@click.version_option(clementinespar.__version__)
def main() -> None:
    """Fleet capacity and maintenance manager."""


main.add_command(node.run_node)
main.add_command(node.check_files)
