"""Command line of clementinespar."""

import click

import clementinespar


@click.group()
@click.version_option(clementinespar.__version__)
def main() -> None:
    """Fleet capacity and maintenance manager."""
