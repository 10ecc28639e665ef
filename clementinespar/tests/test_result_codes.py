"""Tests of the table of result codes."""

import pathlib
import re

from clementinespar import codes

_TABLE = pathlib.Path(__file__).parents[2] / "docs" / "result-codes.md"
_ROW = re.compile(r"\| (\d+) \| ([A-Z_]+) \| (.+) \| (.+) \|")


def test_table_and_code_are_equal() -> None:
    """Guards against a code without a row in the table, or a row without a code."""
    rows = [
        match.groups()
        for line in _TABLE.read_text().splitlines()
        if (match := _ROW.fullmatch(line))
    ]
    assert [(int(number), name) for number, name, _, _ in rows] == [
        (int(code), code.name) for code in codes.ResultCode
    ]
    assert all(meaning.strip() and action.strip() for _, _, meaning, action in rows)
