"""Commands that show the state of the fleet: status, plan and explain."""

from collections.abc import Mapping, Sequence

import click

from clementinespar.commands import client, exits, placement, replies, shared, tables

_SECTIONS = ("peers", "pools", "waves", "services")
_MIN_TIMESTAMP_MS = 10**12  # larger values are timestamps, others are durations
_HIDDEN_KEYS = frozenset({"incarnation"})  # of no use to operators; in --json only
_PATH_BY_SUBJECT = {
    "host": "/v1/hosts",
    "pool": "/v1/pools",
    "wave": "/v1/waves",
    "request": "/v1/requests",
    "job": "/v1/jobs",
    "image": "/v1/images",
    "team": "/v1/teams",
}
_PLACEMENT_SUBJECT = "placement"


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
@click.argument(
    "subject", type=click.Choice(sorted((*_PATH_BY_SUBJECT, _PLACEMENT_SUBJECT)))
)
@click.argument("name", default="", metavar="NAME|FILE|-")
@click.option("--queue", default="", metavar="NAME", help="With placement: the queue.")
@click.option("--team", default="", metavar="NAME", help="With placement: the team.")
@shared.client_options
def explain_subject(
    subject: str,
    name: str,
    queue: str,
    team: str,
    nodes: tuple[str, ...],
    timeout_s: float,
    as_json: bool,
) -> None:
    """Explain why a host, pool, wave, request, job or team is in its state.

    Of an image, it shows which others it slows down, and which slow it down. A wave
    is named by its pool. The outcome of a request is known only to the node to which
    its caller sent it, so all given nodes are asked.

    With placement, it shows where a job from a file or standard input would be placed
    now, without submitting it.
    """
    if subject == _PLACEMENT_SUBJECT:
        _explain_placement(name or "-", queue, team, nodes, timeout_s, as_json)
        return
    if not name:
        raise click.UsageError("Missing argument 'NAME'.")
    if queue or team:
        raise click.UsageError("--queue and --team are options of placement.")
    # Ids of requests may contain characters that are not allowed in a path.
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


def _explain_placement(
    path: str,
    queue: str,
    team: str,
    nodes: tuple[str, ...],
    timeout_s: float,
    as_json: bool,
) -> None:
    if not queue:
        raise click.UsageError("Missing option '--queue'.")
    try:
        with click.open_file(path) as stream:
            question = placement.read_question(stream, queue, team)
    except OSError as error:
        raise exits.BadInputError(str(error)) from error

    async def action(admin: client.AdminClient) -> client.Reply:
        return (await admin.get_all(placement.PATH, limit=1, question=question))[0]

    reply = shared.with_client(nodes, timeout_s, action)
    placement.check_reply(reply)
    if as_json:
        shared.print_json(reply.values)
        return
    for line in placement.lines(reply.values):
        click.echo(line)


def plan_lines(plan: client.Json) -> list[str]:
    """Return the next actions of a plan, followed by the explanation of each pool."""
    lines = []
    for action, values in plan.items():
        if action.endswith("_by_pool"):
            continue
        for item in replies.items(plan, action):
            details = {key: value for key, value in item.items() if key != "name"}
            lines.append(
                f"next: {action.rstrip('s').replace('_', ' ')}: "
                f"{_format_pairs(details)}"
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
        visible = {
            k: v
            for k, v in value.items()
            if v not in (None, "", []) and k not in _HIDDEN_KEYS
        }
        lines.append(f"{_title(key)}: {_format_pairs(visible)}")
    return lines


def table_of(rows: Sequence[Mapping[str, object]]) -> str:
    """Return a table with one column for each key that any row has.

    Columns come from the reply, so that new values of a newer node are shown.
    """
    columns = list(dict.fromkeys(key for row in rows for key in row))
    columns.sort(key=lambda column: column != "name")
    return tables.render(
        [_title(column).upper() for column in columns],
        [
            [_format_value(column, row.get(column)) for column in columns]
            for row in rows
        ],
    )


def _format_pairs(values: Mapping[str, object]) -> str:
    return ", ".join(
        f"{_title(key)} {tables.cell(_format_value(key, value))}"
        for key, value in values.items()
    )


def _title(key: str) -> str:
    return key.removeprefix("is_").removesuffix("_ms").replace("_", " ")


def _format_value(key: str, value: object) -> object:
    if key.endswith("_ms") and isinstance(value, int) and value > _MIN_TIMESTAMP_MS:
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
