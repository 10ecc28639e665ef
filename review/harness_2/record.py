"""The record of a case: what was sent, answered and run."""

import pathlib
import time


class Record:
    """Lines with the time since the start of the case."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()
        self.broken: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def add(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def add_break(self, text: str) -> None:
        """Write a line about a rule that was broken."""
        self.broken.append(text)
        self.add(f"BROKEN: {text}")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
