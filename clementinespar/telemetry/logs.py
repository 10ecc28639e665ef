"""Log output as JSON objects on standard error, one per line."""

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

MAX_MESSAGE_CHARACTERS = 2_000  # longer messages are truncated to stay readable
# The values of extra fields whose name contains one of these words are redacted. Bodies
# are data of callers; the others are credentials.
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
# Levels of the standard logging module, which has no notice level.
_LIBRARY_LEVELS: dict[options.LogLevel, int] = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "notice": logging.WARNING,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class JsonFormatter:
    """Formats each record as one JSON object.

    Parameters
    ----------
    node : str
        Name of this node, included in every line.
    """

    _node: str

    def __init__(self, node: str) -> None:
        self._node = node

    def __call__(self, record: Any, handler: Any) -> str:
        """Return a record as one line of JSON."""
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
    """Write all log records of the process to a stream while the context is entered.

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
    """Redirect records of the standard logging module from a level on to logbook.

    The level is also set on the root logger. Redirection alone leaves it at debug, and
    tornado's curl client would then format a record for each line of its transfers.
    """
    root = logging.getLogger()
    previous_level = root.level
    with logbook.compat.redirected_logging(set_root_logger_level=False):
        root.setLevel(_LIBRARY_LEVELS[level])
        try:
            yield
        finally:
            root.setLevel(previous_level)
