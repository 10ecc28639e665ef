"""Options and output shared by the commands that call nodes."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, TypeVar

import click

from clementinespar import options
from clementinespar.commands import client

_T = TypeVar("_T")
_F = TypeVar("_F", bound=Callable[..., Any])


def parse_nodes(
    _context: click.Context, _parameter: click.Parameter, values: tuple[str, ...]
) -> tuple[str, ...]:
    """Check the ``IP:PORT`` values of an option."""
    for value in values:
        try:
            options.check_endpoint(value)
        except ValueError as error:
            raise click.BadParameter(f"{value!r}: expected IP:PORT ({error})") from None
    return values


def client_options(function: _F) -> _F:
    """Add the options that all commands that call nodes have."""
    for option in (
        click.option("--json", "as_json", is_flag=True, help="Print JSON for scripts."),
        click.option(
            "--timeout",
            "timeout_s",
            default=10.0,
            show_default=True,
            type=click.FloatRange(min=0.1),
            help="Longest wait for one reply, in seconds.",
        ),
        click.option(
            "--node",
            "nodes",
            multiple=True,
            required=True,
            envvar="CLEMENTINESPAR_NODES",
            callback=parse_nodes,
            metavar="IP:PORT",
            help="Admin port of a node; several are tried in turn.",
        ),
    ):
        function = option(function)
    return function


def environment_option(**settings: Any) -> Callable[[_F], _F]:
    """Return the option that names an environment."""
    return click.option(
        "--environment",
        "--env",
        "environment",
        type=click.Choice(["trial", "production"]),
        **settings,
    )


def with_client(
    nodes: tuple[str, ...],
    timeout_s: float,
    action: Callable[[client.AdminClient], Awaitable[_T]],
) -> _T:
    """Run an action in a new event loop and close its connections."""

    async def main() -> _T:
        with client.connect(nodes, timeout_s) as admin:
            return await action(admin)

    return asyncio.run(main())


def print_json(values: Mapping[str, object]) -> None:
    """Print JSON for scripts."""
    click.echo(json.dumps(values, indent=2, sort_keys=True))
