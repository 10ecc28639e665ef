"""Commands that show what the system does: status, plan and explain."""

from collections.abc import Mapping, Sequence

import click

from clementinespar.commands import client, replies, shared, tables

_SECTIONS = ("peers", "pools", "waves", "services")
_LEAST_TIME_MS = 10**12  # values above are times of this century, not durations
_NOT_SHOWN = frozenset({"incarnation"})  # of no use to a person; in --json
_PATH_BY_SUBJECT = {
    "host": "/v1/hosts",
    "pool": "/v1/pools",
    "wave": "/v1/waves",
    "request": "/v1/requests",
    "job": "/v1/jobs",
}


@click.command("status")
@shared.environment_option(default="production", show_default=True)
@shared.client_options
def show_status(
    environment: str, nodes: tuple[str, ...], timeout_s: float, as_json: bool
) -> None:
    """Show nodes, pools, waves and services on one screen."""
    reply = shared.with_client(
        nodes,
        timeout_s,
        lambda admin: admin.get("/v1/status", {"environment": environment}),
    )
    client.check_done(reply)
    if as_json:
        shared.print_json(reply.values)
        return
    click.echo(f"{environment}, seen from {reply.node}")
    for line in headlines(reply.values):
        click.echo(line)
    for section in _SECTIONS:
        rows = replies.items(reply.values, section)
        if rows:
            click.echo(f"\n{section}")
            click.echo(table_of(rows))


@click.command("plan")
@shared.environment_option(default="production", show_default=True)
@shared.client_options
def show_plan(
    environment: str, nodes: tuple[str, ...], timeout_s: float, as_json: bool
) -> None:
    """Show what waves and capacity would do next, and why."""
    reply = shared.with_client(
        nodes,
        timeout_s,
        lambda admin: admin.get("/v1/plan", {"environment": environment}),
    )
    client.check_done(reply)
    if as_json:
        shared.print_json(reply.values)
        return
    click.echo(f"{environment}, seen from {reply.node}")
    for part in ("waves", "capacity"):
        click.echo(f"\n{part}")
        for line in plan_lines(replies.mapping(reply.values, part)):
            click.echo(f"  {line}")


@click.command("explain")
@click.argument("subject", type=click.Choice(sorted(_PATH_BY_SUBJECT)))
@click.argument("name")
@shared.client_options
def explain_subject(
    subject: str,
    name: str,
    nodes: tuple[str, ...],
    timeout_s: float,
    as_json: bool,
) -> None:
    """Tell why a host, pool, wave, request or job is in its state.

    A wave is named by its pool. What became of a request is known only to the node that
    its caller asked, so all given nodes are asked for it.
    """
    # Names have no characters that a path could not carry; ids of requests may.
    path = f"{_PATH_BY_SUBJECT[subject]}/{client.quote(name)}"

    async def action(admin: client.AdminClient) -> client.Reply:
        if subject != "request":
            return await admin.get(path)
        found = await admin.get_all(path)
        return next((reply for reply in found if reply.status < 300), found[0])

    reply = shared.with_client(nodes, timeout_s, action)
    if reply.status >= 300:
        client.check_done(reply)
    if as_json:
        shared.print_json(reply.values)
        return
    values = reply.values
    click.echo(f"{replies.text(values, 'subject')}: {replies.text(values, 'state')}")
    if waits_for := replies.text(values, "waits_for"):
        click.echo(f"waits for: {waits_for}")
    for sentence in replies.texts(values, "because"):
        click.echo(f"  {sentence}")
    if int(reply.code):
        click.echo(f"code: {client.code_text(reply.code)}")


def plan_lines(plan: client.Json) -> list[str]:
    """Return the next actions of a plan, then why each pool is as it is."""
    lines = []
    for action, values in plan.items():
        if action.endswith("_by_pool"):
            continue
        for item in replies.items(plan, action):
            shown = {key: value for key, value in item.items() if key != "name"}
            lines.append(
                f"next: {action.rstrip('s').replace('_', ' ')}: {_pairs(shown)}"
            )
        if isinstance(values, str):
            lines.append(f"{action}: {values}")
    if not lines:
        lines.append("nothing to do now")
    for item in replies.items(plan, "explanations_by_pool"):
        because = "; ".join(replies.texts(item, "because"))
        lines.append(f"{replies.text(item, 'subject')}: {item.get('state')}: {because}")
    return lines


def headlines(values: client.Json) -> list[str]:
    """Return one line for each object in a reply that is not shown as a table."""
    lines = []
    for key, value in values.items():
        if key in _SECTIONS or not isinstance(value, Mapping):
            continue
        shown = {
            k: v
            for k, v in value.items()
            if v not in (None, "", []) and k not in _NOT_SHOWN
        }
        lines.append(f"{_title(key)}: {_pairs(shown)}")
    return lines


def table_of(rows: Sequence[Mapping[str, object]]) -> str:
    """Return a table with one column for each value that any row has.

    Columns come from the reply, so a newer node shows its new values.
    """
    columns = list(dict.fromkeys(key for row in rows for key in row))
    columns.sort(key=lambda column: column != "name")
    return tables.render(
        [_title(column).upper() for column in columns],
        [[_shown(column, row.get(column)) for column in columns] for row in rows],
    )


def _pairs(values: Mapping[str, object]) -> str:
    return ", ".join(
        f"{_title(key)} {tables.cell(_shown(key, value))}"
        for key, value in values.items()
    )


def _title(key: str) -> str:
    return key.removeprefix("is_").removesuffix("_ms").replace("_", " ")


def _shown(key: str, value: object) -> object:
    if key.endswith("_ms") and isinstance(value, int) and value > _LEAST_TIME_MS:
        return replies.time_text(value)
    if isinstance(value, Mapping):
        return [f"{key}={tables.cell(item)}" for key, item in value.items()]
    if isinstance(value, list):
        return [
            item.get("host_id", item.get("name", "?"))
            if isinstance(item, Mapping)
            else item
            for item in value
        ]
    return value
