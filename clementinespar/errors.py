"""Exceptions that carry a numbered result code, and exit statuses of programs."""

import enum
from collections.abc import Iterator

from clementinespar import codes


class ExitStatus(enum.IntEnum):
    """Exit status of a command or a program."""

    DONE = 0
    REFUSED = 1  # a node refused the command
    BAD_INPUT = 2  # invalid settings, document or arguments; nothing sent or started
    UNREACHABLE = 3  # no node replied, or the result is unknown


class ClementinesparError(Exception):
    """Base class of the errors that clementinespar raises.

    Parameters
    ----------
    code : codes.ResultCode
        The numbered result code.
    message : str
        Description of the failure for operators.
    """

    code: codes.ResultCode  # stable across versions
    message: str  # for operators, without the result code

    def __init__(self, code: codes.ResultCode, message: str) -> None:
        super().__init__(f"{code.name} ({int(code)}): {message}")
        self.code = code
        self.message = message


class LogUnavailableError(ClementinesparError):
    """The log service is unavailable; an append did not take effect."""

    def __init__(self, message: str) -> None:
        super().__init__(codes.ResultCode.LOG_UNAVAILABLE, message)


class LogReplyLostError(ClementinesparError):
    """The reply to an append was lost; the append may have taken effect."""

    def __init__(self, message: str) -> None:
        super().__init__(codes.ResultCode.LOG_REPLY_LOST, message)


class LogRecordsExpiredError(ClementinesparError):
    """The requested offset is older than the oldest record that the log keeps."""

    first_offset: int  # oldest offset that the log still keeps

    def __init__(self, first_offset: int) -> None:
        super().__init__(
            codes.ResultCode.LOG_RECORDS_EXPIRED,
            f"the log keeps only records from offset {first_offset} on",
        )
        self.first_offset = first_offset


class PlatformUnavailableError(ClementinesparError):
    """A platform call failed; the action may have taken effect."""

    def __init__(self, message: str) -> None:
        super().__init__(codes.ResultCode.PLATFORM_UNAVAILABLE, message)


class PeerUnavailableError(ClementinesparError):
    """Another entry node gave no usable reply in time."""

    def __init__(self, message: str) -> None:
        super().__init__(codes.ResultCode.PEER_UNAVAILABLE, message)


class PlatformRefusedError(ClementinesparError):
    """The platform refused a host action, which therefore has no effect."""

    def __init__(self, message: str) -> None:
        super().__init__(codes.ResultCode.PLATFORM_REFUSED, message)


def iter_problems(group: BaseExceptionGroup[BaseException]) -> Iterator[BaseException]:
    """Yield the errors of a group and of the groups in it."""
    for problem in group.exceptions:
        if isinstance(problem, BaseExceptionGroup):
            yield from iter_problems(problem)
        else:
            yield problem
