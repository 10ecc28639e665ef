"""Tests of the level of log records from libraries."""

import io
import logging

import pytest

from clementinespar import options
from clementinespar.telemetry import logs


@pytest.mark.parametrize(
    ("level", "is_debug", "is_info"),
    [("debug", True, True), ("info", False, True), ("warning", False, False)],
)
def test_library_loggers_are_disabled_below_the_level(
    level: options.LogLevel, is_debug: bool, is_info: bool
) -> None:
    """Guards against formatting a debug record for each line of a curl transfer."""
    settings = options.TelemetrySettings(log_level=level)
    with logs.logging_to(settings, "node-a", io.StringIO()):
        curl = logging.getLogger("tornado.curl_httpclient")
        assert curl.isEnabledFor(logging.DEBUG) is is_debug
        assert curl.isEnabledFor(logging.INFO) is is_info


def test_the_level_of_the_root_logger_is_restored() -> None:
    """Guards against a level that stays set after the context has exited."""
    previous_level = logging.getLogger().level
    with logs.logging_to(options.TelemetrySettings(), "node-a", io.StringIO()):
        pass
    assert logging.getLogger().level == previous_level
