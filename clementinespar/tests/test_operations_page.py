"""Tests of the operations page against the program."""

import pathlib
import re

from clementinespar import cli
from clementinespar.telemetry import metrics

_PAGE = (pathlib.Path(__file__).parents[2] / "docs" / "operations.md").read_text()


def test_every_metric_has_an_alarm() -> None:
    """Guards against alarms on removed metrics, and metrics without an alarm."""
    named = set(re.findall(r"clementinespar_[a-z_]+", _PAGE))
    defined = set()
    for family in metrics.REGISTRY.collect():
        if family.name.startswith("clementinespar_"):
            suffix = "_total" if family.type == "counter" else ""
            defined.add(f"{family.name}{suffix}")
    assert named == defined


def test_commands_on_the_page_exist() -> None:
    """Guards against a page that names commands which do not exist."""
    named = set(re.findall(r"`clementinespar ([a-z]+)", _PAGE))
    assert named <= set(cli.main.commands)
    assert {"status", "explain", "plan", "history", "diff"} <= named
