"""Reads the replies of the admin port; missing values are tolerated.

The command line may be older or newer than the node that it calls.
"""

import dataclasses
import datetime
from collections.abc import Mapping, Sequence

from clementinespar import codes
from clementinespar.commands import client


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """An entry in the history of documents."""

    environment: str
    revision: int
    replaces: int
    author: str
    log_time_ms: int
    code: codes.ResultCode | int

    @property
    def is_accepted(self) -> bool:
        """Whether the publication came into force."""
        return self.code == codes.ResultCode.OK


def publications(values: client.Json) -> list[Publication]:
    """Return the history in a reply, oldest first."""
    return [
        Publication(
            environment=text(item, "environment"),
            revision=integer(item, "revision"),
            replaces=integer(item, "replaces"),
            author=text(item, "author"),
            log_time_ms=integer(item, "log_time_ms"),
            code=client.parse_code(item.get("code", 0)),
        )
        for item in items(values, "history")
    ]


def items(values: client.Json, key: str) -> list[Mapping[str, object]]:
    """Return the objects in a list or mapping; keys of a mapping become ``name``."""
    found = values.get(key)
    if isinstance(found, Mapping):
        return [
            {"name": name, **item}
            for name, item in found.items()
            if isinstance(item, Mapping)
        ]
    if isinstance(found, Sequence) and not isinstance(found, str):
        return [item for item in found if isinstance(item, Mapping)]
    return []


def mapping(values: client.Json, key: str) -> Mapping[str, object]:
    """Return the object under a key, empty if there is none."""
    found = values.get(key)
    return found if isinstance(found, Mapping) else {}


def integer(values: client.Json, key: str) -> int:
    """Return the integer under a key, 0 if there is none."""
    found = values.get(key)
    return found if isinstance(found, int) else 0


def text(values: client.Json, key: str) -> str:
    """Return the value under a key as text, empty if there is none."""
    found = values.get(key)
    return "" if found is None else str(found)


def texts(values: client.Json, key: str) -> list[str]:
    """Return the list of texts under a key, empty if there is none."""
    found = values.get(key)
    if isinstance(found, Sequence) and not isinstance(found, str):
        return [str(item) for item in found]
    return []


def time_text(log_time_ms: int) -> str:
    """Return a log time as UTC text."""
    moment = datetime.datetime.fromtimestamp(log_time_ms / 1000, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")
