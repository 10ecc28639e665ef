"""Exit statuses of the command line and the errors that lead to them."""

import enum
from collections.abc import Iterator, Sequence
from typing import NoReturn

import click

from clementinespar import errors


class ExitStatus(enum.IntEnum):
    """What a script learns from the exit status of a command."""

    DONE = 0
    REFUSED = 1  # a node answered and refused
    BAD_INPUT = 2  # settings, document or arguments; nothing was sent or started
    UNREACHABLE = 3  # no node answered, or the result is not known


class CommandError(click.ClickException):
    """Ends a command with a message and an exit status."""

    exit_code = int(ExitStatus.REFUSED)


class BadInputError(CommandError):
    """Settings, a document or arguments are not valid."""

    exit_code = int(ExitStatus.BAD_INPUT)


class RefusedError(CommandError):
    """A node answered and refused."""

    exit_code = int(ExitStatus.REFUSED)


class UnreachableError(CommandError):
    """No node answered, or the result of the command is not known."""

    exit_code = int(ExitStatus.UNREACHABLE)


def problem_lines(group: BaseExceptionGroup[BaseException]) -> Iterator[str]:
    """Yield one line for each problem in a group, with its numbered code."""
    for problem in group.exceptions:
        if isinstance(problem, BaseExceptionGroup):
            yield from problem_lines(problem)
        elif isinstance(problem, errors.ClementinesparError):
            yield f"{int(problem.code)} {problem.code.name}: {problem.message}"
        else:
            yield str(problem)


def fail_on_problems(
    groups: Sequence[BaseExceptionGroup[BaseException]],
) -> NoReturn:
    """End the command and show every problem of every file at once."""
    lines: list[str] = []
    for group in groups:
        lines.append(f"{group.message}:")
        lines.extend(f"  {line}" for line in problem_lines(group))
    raise BadInputError("\n".join(lines))
