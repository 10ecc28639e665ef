"""Processor time and memory of processes, read from ``/proc``."""

import os
import pathlib

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int | str = "self") -> int:
    """Return the resident memory of a process, in bytes."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


def processor_s(pid: int | str) -> float:
    """Return the user and system time used by a process, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    # The command name, in parentheses, may contain spaces: split the text after it.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def peak_resident_bytes(pid: int | str) -> int:
    """Return the largest resident memory that a process has had, in bytes."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    for line in status.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise ValueError(f"/proc/{pid}/status has no VmHWM")
