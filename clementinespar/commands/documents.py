"""Commands about documents: publish, promote, diff, history and show."""

import getpass
import pathlib

import click

from clementinespar import codes
from clementinespar.commands import client, exits, replies, shared, submissions, tables
from clementinespar.documents import difference, loading, model

_author_option = click.option(
    "--author",
    default=getpass.getuser,
    show_default="login name",
    help="Who makes this change, for the history.",
)
_replaces_option = click.option(
    "--replaces",
    type=click.IntRange(min=0),
    help="Revision that this change replaces; by default the one in force now.",
)


@click.command("publish")
@click.argument("path", type=click.Path(path_type=pathlib.Path))
@shared.environment_option(required=True)
@_replaces_option
@_author_option
@shared.client_options
def publish_document(
    path: pathlib.Path,
    environment: str,
    replaces: int | None,
    author: str,
    nodes: tuple[str, ...],
    timeout_s: float,
    as_json: bool,
) -> None:
    """Check a document and put it into force in an environment."""
    document = _load(path)
    plain = loading.dump_document(document)

    async def action(admin: client.AdminClient) -> client.Reply:
        revision = replaces
        if revision is None:
            revision, in_force = await _in_force(admin, environment)
            if in_force == document:
                raise _Unchanged(environment, revision)
        return await submissions.submit(
            admin,
            submissions.Submission(
                environment=environment,
                path=f"/v1/documents/{environment}",
                body={"replaces": revision, "author": author, "document": plain},
                replaces=revision,
                author=author,
                document=plain,
            ),
        )

    try:
        reply = shared.with_client(nodes, timeout_s, action)
    except _Unchanged as unchanged:
        _show_unchanged(unchanged, as_json)
        return
    _show_submission(reply, environment, as_json)


@click.command("promote")
@click.option(
    "--trial-revision",
    type=click.IntRange(min=1),
    help="Trial revision to promote; by default the one in force on trial.",
)
@_replaces_option
@_author_option
@shared.client_options
def promote_document(
    trial_revision: int | None,
    replaces: int | None,
    author: str,
    nodes: tuple[str, ...],
    timeout_s: float,
    as_json: bool,
) -> None:
    """Put the trial document into force in production."""

    async def action(admin: client.AdminClient) -> client.Reply:
        on_trial, trial = await _in_force(admin, "trial")
        if trial is None:
            raise exits.RefusedError(
                f"{client.code_text(codes.ResultCode.DOCUMENT_NOT_ON_TRIAL)}: "
                "no document is in force on trial"
            )
        revision, production = await _in_force(admin, "production")
        if replaces is None and production == trial:
            raise _Unchanged("production", revision)
        revision = revision if replaces is None else replaces
        return await submissions.submit(
            admin,
            submissions.Submission(
                environment="production",
                path="/v1/promotions",
                body={
                    "trial_revision": trial_revision or on_trial,
                    "replaces": revision,
                    "author": author,
                },
                replaces=revision,
                author=author,
                document=loading.dump_document(trial),
            ),
        )

    try:
        reply = shared.with_client(nodes, timeout_s, action)
    except _Unchanged as unchanged:
        _show_unchanged(unchanged, as_json)
        return
    _show_submission(reply, "production", as_json)


@click.command("diff")
@click.argument("path", required=False, type=click.Path(path_type=pathlib.Path))
@shared.environment_option(help="Compare the file with this environment.")
@shared.client_options
def show_difference(
    path: pathlib.Path | None,
    environment: str | None,
    nodes: tuple[str, ...],
    timeout_s: float,
    as_json: bool,
) -> None:
    """Show what publishing FILE would change, or without FILE, what promoting would."""
    new = None if path is None else _load(path)
    if path is None and environment is not None:
        raise exits.BadInputError("--environment needs a FILE to compare with")

    async def action(admin: client.AdminClient) -> list[difference.Change] | None:
        compared = new
        if compared is None:
            _, compared = await _in_force(admin, "trial")
        _, old = await _in_force(admin, environment or "production")
        if old is None or compared is None:
            return None
        return difference.difference(old, compared)

    changes = shared.with_client(nodes, timeout_s, action)
    if as_json:
        lines = None if changes is None else [change.line for change in changes]
        shared.print_json({"changes": lines})
    elif changes is None:
        click.echo("there is no document to compare with yet")
    elif not changes:
        click.echo("no difference")
    else:
        for change in changes:
            click.echo(change.line)


@click.command("history")
@shared.environment_option(default="production", show_default=True)
@shared.client_options
def show_history(
    environment: str, nodes: tuple[str, ...], timeout_s: float, as_json: bool
) -> None:
    """Show the recent publications of an environment, newest first."""
    reply = shared.with_client(
        nodes,
        timeout_s,
        lambda admin: admin.get(f"/v1/documents/{environment}/history"),
    )
    client.check_done(reply)
    if as_json:
        shared.print_json(reply.values)
        return
    rows = [
        (
            publication.revision,
            publication.replaces,
            replies.time_text(publication.log_time_ms),
            publication.author,
            client.code_text(publication.code),
        )
        for publication in reversed(replies.publications(reply.values))
        if publication.environment in ("", environment)
    ]
    click.echo(
        tables.render(("REVISION", "REPLACES", "TIME (UTC)", "AUTHOR", "RESULT"), rows)
    )


@click.command("show")
@shared.environment_option(default="production", show_default=True)
@shared.client_options
def show_document(
    environment: str, nodes: tuple[str, ...], timeout_s: float, as_json: bool
) -> None:
    """Show the document in force in an environment."""

    async def action(
        admin: client.AdminClient,
    ) -> tuple[int, model.Document | None]:
        return await _in_force(admin, environment)

    revision, document = shared.with_client(nodes, timeout_s, action)
    if document is None:
        raise exits.RefusedError(f"no document is in force in {environment}")
    if as_json:
        shared.print_json(
            {"revision": revision, "document": loading.dump_document(document)}
        )
        return
    click.echo(f"{document.user}, {environment}, revision {revision}")
    click.echo(
        tables.render(
            ("POOL", "HOSTS", "MIN AVAILABLE", "SPARE", "SERVICES"),
            [
                (
                    name,
                    len(pool.host_ids),
                    pool.budget.min_available,
                    "yes" if pool.spare else "",
                    [
                        service
                        for service, values in document.services.items()
                        if values.pool == name
                    ],
                )
                for name, pool in document.pools.items()
            ],
        )
    )


class _Unchanged(Exception):
    """The document is already in force, so nothing is sent."""

    environment: str
    revision: int

    def __init__(self, environment: str, revision: int) -> None:
        super().__init__(environment)
        self.environment = environment
        self.revision = revision


def _load(path: pathlib.Path) -> model.Document:
    try:
        return loading.load_document(path)
    except ExceptionGroup as group:
        exits.fail_on_problems([group])


async def _in_force(
    admin: client.AdminClient, environment: str
) -> tuple[int, model.Document | None]:
    """Return the revision and document in force, or 0 and None if there is none."""
    reply = await admin.get(f"/v1/documents/{environment}")
    values = reply.values.get("document")
    if reply.status == 404 or (reply.is_done and values is None):
        return 0, None
    client.check_done(reply)
    return replies.integer(reply.values, "revision"), loading.parse_in_force(values)


def _show_unchanged(unchanged: _Unchanged, as_json: bool) -> None:
    if as_json:
        shared.print_json(
            {"code": 0, "revision": unchanged.revision, "is_unchanged": True}
        )
    else:
        click.echo(
            f"the document is already in force in {unchanged.environment}, "
            f"revision {unchanged.revision}; nothing was sent"
        )


def _show_submission(reply: client.Reply, environment: str, as_json: bool) -> None:
    if as_json:
        shared.print_json(reply.values)
    if not reply.is_done:
        raise client.refused(reply)
    if as_json:
        return
    values = reply.values
    click.echo(
        f"revision {replies.integer(values, 'revision')} is in force in {environment}"
    )
    if values.get("is_read_back"):
        click.echo("the reply was lost; the history shows that the change took effect")
    if in_force_on := replies.texts(values, "in_force_on"):
        click.echo(f"on these nodes ({len(in_force_on)}): {', '.join(in_force_on)}")
    if missing := replies.texts(values, "not_in_force_on"):
        click.echo(f"not yet on these nodes ({len(missing)}): {', '.join(missing)}")
