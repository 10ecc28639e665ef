"""Errors that end a command, with their exit statuses."""

from collections.abc import Iterator, Sequence
from typing import NoReturn

import click

from clementinespar import errors


class CommandError(click.ClickException):
    """Ends a command with a message and an exit status."""

    exit_code = int(errors.ExitStatus.REFUSED)


class BadInputError(CommandError):
    """Settings, a document or arguments are invalid."""

    exit_code = int(errors.ExitStatus.BAD_INPUT)


class RefusedError(CommandError):
    """A node refused the command."""

    exit_code = int(errors.ExitStatus.REFUSED)


class UnreachableError(CommandError):
    """No node replied, or the result of the command is unknown."""

    exit_code = int(errors.ExitStatus.UNREACHABLE)


def problem_lines(group: BaseExceptionGroup[BaseException]) -> Iterator[str]:
    """Yield one line for each problem in a group, with its result code."""
    for problem in errors.iter_problems(group):
        if isinstance(problem, errors.ClementinesparError):
            yield f"{int(problem.code)} {problem.code.name}: {problem.message}"
        else:
            yield str(problem)


def fail_on_problems(
    groups: Sequence[BaseExceptionGroup[BaseException]],
) -> NoReturn:
    """Raise one error that shows all problems of all files."""
    lines: list[str] = []
    for group in groups:
        lines.append(f"{group.message}:")
        lines.extend(f"  {line}" for line in problem_lines(group))
    raise BadInputError("\n".join(lines))
