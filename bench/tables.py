"""Markdown tables, and pages with generated parts."""

import pathlib
from collections.abc import Sequence


def markdown(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table.

    Parameters
    ----------
    header : sequence of str, shape (n,)
    rows : sequence of sequence of str, shape (m, n)
    """
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def replace_part(path: pathlib.Path, name: str, text: str) -> None:
    """Replace what stands between the markers of a named part of a page.

    Raises
    ------
    ValueError
        The page has no such markers.
    """
    page = path.read_text(encoding="utf-8")
    begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
    head, separator, rest = page.partition(begin)
    _, end_separator, tail = rest.partition(end)
    if not separator or not end_separator:
        raise ValueError(f"{path} has no part {name}")
    path.write_text(f"{head}{begin}\n\n{text}\n\n{end}{tail}", encoding="utf-8")
