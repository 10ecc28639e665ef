"""Log lines as JSON objects on standard error, one a line."""

import contextlib
import datetime
import json
import logging
import sys
from collections.abc import Iterator
from typing import Any, TextIO

import logbook
import logbook.compat

from clementinespar import options

MAX_MESSAGE_CHARACTERS = 2_000  # a longer message is cut: one line must stay readable
# Extra fields with these words in their name never reach the output. Bodies belong to
# callers; the others are credentials.
_SECRET_WORDS = (
    "authorization",
    "body",
    "cookie",
    "key",
    "password",
    "secret",
    "token",
)
_REDACTED = "[redacted]"
# The standard logging module has no notice level.
_LIBRARY_LEVELS: dict[options.LogLevel, int] = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "notice": logging.WARNING,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class JsonFormatter:
    """Formats records as one JSON object each.

    Parameters
    ----------
    node : str
        Name of this node, in every line.
    """

    _node: str

    def __init__(self, node: str) -> None:
        self._node = node

    def __call__(self, record: Any, handler: Any) -> str:
        """Return the line of one record."""
        line: dict[str, object] = {
            "time": record.time.replace(tzinfo=datetime.UTC).isoformat(
                timespec="milliseconds"
            ),
            "level": record.level_name.lower(),
            "node": self._node,
            "logger": record.channel,
            "message": record.message[:MAX_MESSAGE_CHARACTERS],
        }
        error = record.exc_info[1] if record.exc_info else None
        if error is not None:
            line["error"] = f"{type(error).__name__}: {error}"[:MAX_MESSAGE_CHARACTERS]
            line["traceback"] = record.formatted_exception
        for name, value in record.extra.items():
            line[name] = _REDACTED if is_secret(name) else value
        return json.dumps(line, default=str, ensure_ascii=False)


def is_secret(name: str) -> bool:
    """Whether the value of a field with this name must not be logged."""
    return any(word in name.lower() for word in _SECRET_WORDS)


@contextlib.contextmanager
def logging_to(
    settings: options.TelemetrySettings, node: str, stream: TextIO | None = None
) -> Iterator[None]:
    """Send all log records of the process to a stream while the context is entered.

    Parameters
    ----------
    settings : options.TelemetrySettings
        Lowest level that is written.
    node : str
        Name of this node.
    stream : text file, optional
        Standard error by default.
    """
    handler = logbook.StreamHandler(
        sys.stderr if stream is None else stream,
        level=settings.log_level.upper(),
    )
    handler.formatter = JsonFormatter(node)
    with handler.applicationbound(), _redirecting_libraries(settings.log_level):
        yield


@contextlib.contextmanager
def _redirecting_libraries(level: options.LogLevel) -> Iterator[None]:
    """Send records of the standard logging module to logbook from a level on.

    The level is set on the root logger as well: redirection alone leaves it at debug,
    and tornado's curl client then formats a record for each line of its transfers.
    """
    root = logging.getLogger()
    kept = root.level
    with logbook.compat.redirected_logging(set_root_logger_level=False):
        root.setLevel(_LIBRARY_LEVELS[level])
        try:
            yield
        finally:
            root.setLevel(kept)
