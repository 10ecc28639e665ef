"""Known failures, and what tests leave behind.

Tests listed in KNOWN-RED.txt must fail, and are printed. A test that leaves a task, a
connection or a thread behind fails.
"""

import contextlib
from collections.abc import Generator

import pytest

from clementinespar.tests import known_failures, leftovers

_RECORDING = pytest.StashKey[contextlib.ExitStack]()
_LEFT_BEHIND = pytest.StashKey[list[str]]()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect exactly the listed tests to fail; one that passes fails the run."""
    known = set(known_failures.read("test"))
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures, so that no run hides them."""
    for node_id in known_failures.read("test"):
        terminalreporter.write_line(f"KNOWN RED: {node_id}")


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_setup(item: pytest.Item) -> Generator[None, None, None]:
    """Record what the test and its fixtures leave behind."""
    item.stash[_RECORDING] = contextlib.ExitStack()
    item.stash[_LEFT_BEHIND] = item.stash[_RECORDING].enter_context(
        leftovers.recording()
    )
    return (yield)


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_teardown(item: pytest.Item) -> Generator[None, None, None]:
    """Fail the test that left something behind, also if it is a known failure."""
    try:
        yield
    finally:
        item.stash[_RECORDING].close()
    if item.stash[_LEFT_BEHIND]:
        lines = "\n".join(item.stash[_LEFT_BEHIND])
        pytest.fail(f"{item.nodeid} left behind:\n{lines}", pytrace=False)
