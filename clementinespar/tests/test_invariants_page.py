"""Tests of the invariants page against the test files."""

import ast
import pathlib
import re

_ROOT = pathlib.Path(__file__).parents[2]
_PAGE = (_ROOT / "docs" / "invariants.md").read_text()


def _tests_in(path: pathlib.Path) -> set[str]:
    """Return the ids after ``::`` of a test file; state machines run as ``runTest``."""
    found = set()
    for node in ast.parse(path.read_text()).body:
        match node:
            case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name):
                found.add(name)
            case ast.ClassDef(name=name):
                found |= {
                    f"{name}::{item.name}"
                    for item in node.body
                    if isinstance(item, ast.FunctionDef)
                }
            case ast.Assign(
                targets=[ast.Name(id=name)], value=ast.Attribute(attr="TestCase")
            ):
                found.add(f"{name}::runTest")
    return {name for name in found if name.startswith(("test_", "Test"))}


def test_tests_named_on_the_page_exist() -> None:
    """Guards against an invariant whose named test was renamed or removed."""
    named = re.findall(r"`([^`]*\.py::[^`]*)`", _PAGE)
    assert len(named) == _PAGE.count(".py::"), "a test id is not quoted as code"
    for node_id in set(named):
        file, _, test = node_id.partition("::")
        assert (_ROOT / file).is_file(), node_id
        assert test in _tests_in(_ROOT / file), node_id


def test_every_invariant_names_a_test() -> None:
    """Guards against an invariant that is missing on the page or names no test."""
    sections = re.split(r"^##+ ", _PAGE, flags=re.MULTILINE)
    for number in range(1, 9):
        [section] = [s for s in sections if s.startswith(f"I{number}:")]
        assert ".py::" in section
        assert re.search(r"\*\*State\.\*\* (Proved|Partial|Not proved)\b", section)
