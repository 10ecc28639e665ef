"""Publication and promotion of documents.

A document is accepted once this node has read its record back from the log and the fold
has put it into force. The reply says on which nodes it is in force.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from typing import Protocol

from clementinespar import codes, errors, identifiers
from clementinespar.documents import loading, messages
from clementinespar.documents import state as documents_state
from clementinespar.fleet import source as fleet_source
from clementinespar.fleet import state as fleet_state
from clementinespar.log import base

# An accepted document should be in force on all nodes within 4 s. After that the reply
# is sent anyway, with the nodes that have not applied it.
IN_FORCE_TIMEOUT_S = 4.0
# The sum of both timeouts stays below the 10 s that the command line waits for a reply.
APPEND_TIMEOUT_S = 5.0
_MAX_AUTHOR_CHARACTERS = 80  # limit of the record's field


class Appender(Protocol):
    """Appends records; `log.appender.Appender` in a node."""

    def now_ms(self) -> int:
        """Return the time of issue for a new record."""
        ...

    async def append(
        self, record: base.Record, timeout_s: float
    ) -> fleet_state.RecordResult:
        """Append a record and return its result once it is read back."""
        ...


class RevisionView(Protocol):
    """Revisions in force on the live nodes; `peers.directory.Peers` in a node."""

    def nodes_by_revision(
        self, environment: messages.Environment, revision: int
    ) -> tuple[list[str], list[str]]:
        """Return the live nodes that have applied a revision, and the others."""
        ...

    def unresponsive_nodes(self) -> list[str]:
        """Return the known nodes that are unresponsive to this one."""
        ...

    async def wait_changed(self) -> None:
        """Wait until a node's report changes."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """Result of a publication or promotion."""

    code: codes.ResultCode
    name: str  # of the code
    message: str
    environment: messages.Environment
    revision: int  # revision in force now
    in_force_on: tuple[str, ...] = ()  # names of nodes
    not_in_force_on: tuple[str, ...] = ()  # live nodes that have not applied it
    not_reached: tuple[str, ...] = ()  # known nodes that are unresponsive to this one
    winner: str | None = None  # author of the revision that won a conflict
    winner_revision: int | None = None


class Publisher:
    """Publishes and promotes documents.

    Parameters
    ----------
    appender : Appender
        Appends the records.
    source : fleet_source.FleetSource
        Documents in force.
    view : RevisionView
        Revisions on the other nodes.
    is_ready : callable
        Whether this node's state is complete.
    """

    _appender: Appender
    _source: fleet_source.FleetSource
    _view: RevisionView
    _is_ready: Callable[[], bool]

    def __init__(
        self,
        appender: Appender,
        source: fleet_source.FleetSource,
        view: RevisionView,
        is_ready: Callable[[], bool],
    ) -> None:
        self._appender = appender
        self._source = source
        self._view = view
        self._is_ready = is_ready

    async def publish(
        self, environment: messages.Environment, body: Mapping[str, object]
    ) -> Publication:
        """Replace the document of an environment.

        Parameters
        ----------
        environment : {"trial", "production"}
            The environment.
        body : mapping
            ``replaces`` (int), ``author`` (str) and ``document`` (object).

        Raises
        ------
        ExceptionGroup
            The document is invalid; one error for each problem.
        errors.ClementinesparError
            Another value is invalid, the node is not ready, or the log returned no
            result.
        """
        check_keys(body, {"replaces", "author", "document"})
        replaces = parse_revision(body, "replaces")
        author = parse_author(body)
        document = loading.parse_document(body["document"], "document")
        issued_ms = self._appender.now_ms()
        record = messages.DocumentPublished(
            record_id=identifiers.new_id(issued_ms),
            issued_ms=issued_ms,
            author=author,
            environment=environment,
            replaces=replaces,
            document=document,
        )
        return await self._append(record, environment, replaces)

    async def promote(self, body: Mapping[str, object]) -> Publication:
        """Put the trial document into force in production.

        Parameters
        ----------
        body : mapping
            ``trial_revision`` (int), ``replaces`` (int) and ``author`` (str).

        Raises
        ------
        errors.ClementinesparError
            A value is invalid, the node is not ready, or the log returned no result.
        """
        check_keys(body, {"trial_revision", "replaces", "author"})
        issued_ms = self._appender.now_ms()
        record = messages.DocumentPromoted(
            record_id=identifiers.new_id(issued_ms),
            issued_ms=issued_ms,
            author=parse_author(body),
            trial_revision=parse_revision(body, "trial_revision"),
            replaces=parse_revision(body, "replaces"),
        )
        return await self._append(record, "production", record.replaces)

    async def _append(
        self, record: base.Record, environment: messages.Environment, replaces: int
    ) -> Publication:
        if not self._is_ready():
            raise errors.ClementinesparError(
                codes.ResultCode.NOT_READY,
                "this node has not read the current state yet",
            )
        result = await self._appender.append(record, APPEND_TIMEOUT_S)
        if result.code != codes.ResultCode.OK:
            return self._refused(result.code, environment, replaces)
        revision = result.offset + 1
        applied, missing = await self._wait_in_force(environment, revision)
        return Publication(
            result.code,
            result.code.name,
            f"revision {revision} is in force on {len(applied)} of "
            f"{len(applied) + len(missing)} live nodes",
            environment,
            revision,
            tuple(applied),
            tuple(missing),
            tuple(self._view.unresponsive_nodes()),
        )

    async def _wait_in_force(
        self, environment: messages.Environment, revision: int
    ) -> tuple[list[str], list[str]]:
        try:
            async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
                while self._view.nodes_by_revision(environment, revision)[1]:
                    await self._view.wait_changed()
        except TimeoutError:
            pass
        return self._view.nodes_by_revision(environment, revision)

    def _refused(
        self,
        code: codes.ResultCode,
        environment: messages.Environment,
        replaces: int,
    ) -> Publication:
        documents = self._source.state.documents
        revision = documents.revision_of(environment)
        winner = None
        message = f"the record has no effect; revision {revision} is in force"
        if code == codes.ResultCode.DOCUMENT_NOT_ON_TRIAL:
            message = (
                "the named revision is not the one in force on trial, which is "
                f"{documents.revision_of('trial')}"
            )
        elif code == codes.ResultCode.DOCUMENT_CONFLICT:
            winner = find_winner(documents, environment, replaces)
            message = f"revision {replaces} is no longer in force"
            if winner is not None:
                message += (
                    f": revision {winner.revision} by {winner.author} replaced it"
                )
        return Publication(
            code,
            code.name,
            message,
            environment,
            revision,
            winner=None if winner is None else winner.author,
            winner_revision=None if winner is None else winner.revision,
        )


def find_winner(
    documents: documents_state.DocumentsState,
    environment: messages.Environment,
    replaces: int,
) -> documents_state.Publication | None:
    """Return the publication that replaced a revision.

    If the history no longer has it, or the revision was never in force, return the
    newest accepted publication, or None if there is none.
    """
    accepted = [
        publication
        for publication in documents.history
        if publication.environment == environment
        and publication.code == codes.ResultCode.OK
    ]
    for publication in accepted:
        if publication.replaces == replaces:
            return publication
    return accepted[-1] if accepted else None


def check_keys(body: Mapping[str, object], keys: set[str]) -> None:
    """Raise an error unless a body has exactly these keys."""
    missing = sorted(keys - set(body))
    unknown = sorted(set(body) - keys)
    if missing or unknown:
        problems = [f"{key} is missing" for key in missing]
        problems += [f"{key} is not a known key" for key in unknown]
        raise errors.ClementinesparError(
            codes.ResultCode.REQUEST_INVALID, "; ".join(problems)
        )


def parse_revision(body: Mapping[str, object], key: str) -> int:
    """Return a revision: an integer of at least 0."""
    value = body[key]
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise errors.ClementinesparError(
            codes.ResultCode.REQUEST_INVALID,
            f"{key}: expected an integer of at least 0",
        )
    return value


def parse_author(body: Mapping[str, object]) -> str:
    """Return the author's name."""
    value = body["author"]
    if not isinstance(value, str) or not 0 < len(value) <= _MAX_AUTHOR_CHARACTERS:
        raise errors.ClementinesparError(
            codes.ResultCode.REQUEST_INVALID,
            f"author: expected 1 to {_MAX_AUTHOR_CHARACTERS} characters",
        )
    return value
