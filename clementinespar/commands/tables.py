"""Plain tables for people."""

from collections.abc import Iterable, Sequence


def render(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table with aligned columns; empty cells are shown as ``-``."""
    lines = [tuple(header), *(tuple(cell(value) for value in row) for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def cell(value: object) -> str:
    """Return a value as one cell, ``-`` if there is none."""
    if value is None or value == "" or value == []:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, list | tuple):
        return ",".join(map(str, value))
    return str(value)
