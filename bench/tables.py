"""Markdown tables, and generated parts of pages."""

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
    """Replace the text between the markers of a generated part of a page.

    Raises
    ------
    ValueError
        The page does not have both markers of the part.
    """
    page = path.read_text(encoding="utf-8")
    begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
    head, separator, rest = page.partition(begin)
    _, end_separator, tail = rest.partition(end)
    if not separator or not end_separator:
        raise ValueError(f"{path} has no begin and end markers of part {name}")
    path.write_text(f"{head}{begin}\n\n{text}\n\n{end}{tail}", encoding="utf-8")
