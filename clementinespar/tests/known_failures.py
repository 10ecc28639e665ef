"""Reads KNOWN-RED.txt, the list of known failures that CI passes over."""

import pathlib

_PATH = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"


def read(kind: str) -> list[str]:
    """Return what follows ``kind:`` on each line that begins with it.

    Parameters
    ----------
    kind : str
        ``test`` for the ids of tests, ``soak`` for seeds with patterns of problems.
    """
    lines = _PATH.read_text().splitlines() if _PATH.exists() else []
    prefix = f"{kind}: "
    return [
        line.removeprefix(prefix).strip() for line in lines if line.startswith(prefix)
    ]
