"""Reads an operator's document from TOML and reports every problem at once."""

import pathlib
import tomllib

import pydantic
import pydantic_core

from clementinespar import codes, errors
from clementinespar.documents import checks, model

# A document is published in one record of the log, so its JSON must stay below the size
# limit of a record.
MAX_DOCUMENT_BYTES = 900_000


class DocumentError(errors.ClementinesparError):
    """One value in a document that is not valid."""

    location: str  # dotted path; empty for the document as a whole
    value: str  # value as written, empty if it is missing or not a scalar
    expected: str  # what would be valid

    def __init__(
        self, code: codes.ResultCode, location: str, value: str, expected: str
    ) -> None:
        shown_location = location or "document"
        shown_value = f" = {value!r}" if value else ""
        super().__init__(code, f"{shown_location}{shown_value}: {expected}")
        self.location = location
        self.value = value
        self.expected = expected


_ADAPTER = pydantic.TypeAdapter(model.Document)


def load_document(path: pathlib.Path) -> model.Document:
    """Read and check a document.

    Parameters
    ----------
    path : pathlib.Path
        The TOML file.

    Returns
    -------
    model.Document
        The checked document.

    Raises
    ------
    ExceptionGroup
        One `DocumentError` for each problem.
    """
    try:
        with path.open("rb") as file:
            text = file.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        raise _unreadable(path, str(error)) from error
    if len(text) > MAX_DOCUMENT_BYTES:
        raise ExceptionGroup(
            f"document {path} is too large",
            [_too_large(f"more than {MAX_DOCUMENT_BYTES}")],
        )
    try:
        values = tomllib.loads(text.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        raise _unreadable(path, str(error)) from error
    return parse_document(values, f"document {path}")


def parse_document(values: object, name: str) -> model.Document:
    """Build and check a document from its parsed values.

    Parameters
    ----------
    values : object
        Values as a TOML or JSON parser returns them.
    name : str
        Name of the document in the message of the exception group.

    Raises
    ------
    ExceptionGroup
        One `DocumentError` for each problem.
    """
    try:
        document = _ADAPTER.validate_python(values)
    except pydantic.ValidationError as error:
        problems = [
            problem for detail in error.errors() for problem in _document_errors(detail)
        ]
        raise ExceptionGroup(f"{name} is not valid", problems) from error
    problems = [
        DocumentError(
            codes.ResultCode.DOCUMENT_INVALID,
            problem.location,
            problem.value,
            problem.expected,
        )
        for problem in checks.find_likely_mistakes(document)
    ]
    size = len(_ADAPTER.dump_json(document))
    if size > MAX_DOCUMENT_BYTES:
        problems.append(_too_large(f"{size}"))
    if problems:
        raise ExceptionGroup(f"{name} is not valid", problems)
    return document


def parse_in_force(values: object) -> model.Document:
    """Return a document that a node has in force, without the operator checks.

    Raises
    ------
    errors.ClementinesparError
        With ``DOCUMENT_INVALID``: this version cannot read the document.
    """
    try:
        return _ADAPTER.validate_python(values)
    except pydantic.ValidationError as error:
        raise errors.ClementinesparError(
            codes.ResultCode.DOCUMENT_INVALID, str(error).splitlines()[0]
        ) from error


def dump_document(document: model.Document) -> dict[str, object]:
    """Return a document as plain JSON values."""
    values: dict[str, object] = _ADAPTER.dump_python(document, mode="json")
    return values


def _too_large(size: str) -> DocumentError:
    return DocumentError(
        codes.ResultCode.DOCUMENT_TOO_LARGE,
        "",
        f"{size} bytes",
        f"at most {MAX_DOCUMENT_BYTES} bytes",
    )


def _unreadable(path: pathlib.Path, reason: str) -> ExceptionGroup[DocumentError]:
    return ExceptionGroup(
        f"document {path} cannot be read",
        [DocumentError(codes.ResultCode.DOCUMENT_UNREADABLE, "", "", reason)],
    )


def _document_errors(detail: pydantic_core.ErrorDetails) -> list[DocumentError]:
    """Return the problems in one pydantic error; a reference error has several."""
    context = detail.get("ctx", {})
    if detail["type"] == model.REFERENCE_ERROR:
        return [
            DocumentError(
                codes.ResultCode.DOCUMENT_INVALID,
                problem.location,
                problem.value,
                problem.expected,
            )
            for problem in context["problems"]
        ]
    value = detail["input"]
    is_scalar = isinstance(value, str | int | float)
    return [
        DocumentError(
            codes.ResultCode.DOCUMENT_INVALID,
            ".".join(str(part) for part in detail["loc"]),
            str(value) if is_scalar else "",
            _EXPECTED_BY_ERROR_TYPE.get(detail["type"], detail["msg"]),
        )
    ]


_EXPECTED_BY_ERROR_TYPE = {
    "missing": "a value is required",
    "unexpected_keyword_argument": "no such key; remove it or correct its name",
}
