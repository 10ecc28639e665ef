"""Folded state of the documents and of their publication."""

import dataclasses
from collections.abc import Mapping

from clementinespar import codes
from clementinespar.documents import messages, model
from clementinespar.log import service as log_service

_HISTORY_LENGTH = 50  # publications kept for operators to list


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentInForce:
    """The document in force in one environment."""

    revision: int  # offset of the record that put it into force, plus one
    author: str  # operator who published or promoted it
    log_time_ms: int  # log time at which it came into force
    document: model.Document


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """One entry of the history of documents."""

    environment: messages.Environment
    revision: int  # revision that it created or would have created
    replaces: int  # revision that the operator saw
    author: str
    log_time_ms: int
    code: codes.ResultCode  # OK, or why it was refused


@dataclasses.dataclass(slots=True)
class DocumentsState:
    """Documents in force and their recent publications."""

    in_force_by_environment: dict[messages.Environment, DocumentInForce] = (
        dataclasses.field(default_factory=dict)
    )
    history: list[Publication] = dataclasses.field(default_factory=list)  # oldest first

    @property
    def production(self) -> model.Document | None:
        """The production document, or None before the first promotion."""
        in_force = self.in_force_by_environment.get("production")
        return None if in_force is None else in_force.document

    def revision_of(self, environment: messages.Environment) -> int:
        """Return the revision in force, or 0 if there is none."""
        in_force = self.in_force_by_environment.get(environment)
        return 0 if in_force is None else in_force.revision


def apply_published(
    state: DocumentsState,
    record: messages.DocumentPublished,
    entry: log_service.LogEntry,
) -> codes.ResultCode:
    """Put a document into force if it replaces the revision in force."""
    code = codes.ResultCode.OK
    if state.revision_of(record.environment) != record.replaces:
        code = codes.ResultCode.DOCUMENT_CONFLICT
    else:
        state.in_force_by_environment[record.environment] = DocumentInForce(
            entry.offset + 1, record.author, entry.timestamp_ms, record.document
        )
    _add_publication(
        state, record.environment, record.replaces, record.author, entry, code
    )
    return code


def apply_promoted(
    state: DocumentsState,
    record: messages.DocumentPromoted,
    entry: log_service.LogEntry,
) -> codes.ResultCode:
    """Put the named trial revision into force in production."""
    code = codes.ResultCode.OK
    trial = state.in_force_by_environment.get("trial")
    if trial is None or trial.revision != record.trial_revision:
        code = codes.ResultCode.DOCUMENT_NOT_ON_TRIAL
    elif state.revision_of("production") != record.replaces:
        code = codes.ResultCode.DOCUMENT_CONFLICT
    else:
        state.in_force_by_environment["production"] = DocumentInForce(
            entry.offset + 1, record.author, entry.timestamp_ms, trial.document
        )
    _add_publication(state, "production", record.replaces, record.author, entry, code)
    return code


def _add_publication(
    state: DocumentsState,
    environment: messages.Environment,
    replaces: int,
    author: str,
    entry: log_service.LogEntry,
    code: codes.ResultCode,
) -> None:
    state.history.append(
        Publication(
            environment, entry.offset + 1, replaces, author, entry.timestamp_ms, code
        )
    )
    del state.history[:-_HISTORY_LENGTH]


def home_pool_by_host(document: model.Document) -> Mapping[str, str]:
    """Return the home pool of every host in a document."""
    return {
        host_id: pool_name
        for pool_name, pool in document.pools.items()
        for host_id in pool.host_ids
    }
