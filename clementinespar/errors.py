"""Exceptions that carry a numbered result code."""

from clementinespar import codes


class ClementinesparError(Exception):
    """Base of all errors that the system raises on purpose.

    Parameters
    ----------
    code : codes.ResultCode
        The numbered result code.
    message : str
        What happened, for a person.
    """

    code: codes.ResultCode  # numbered result code, stable across versions
    message: str  # plain sentence for operators

    def __init__(self, code: codes.ResultCode, message: str) -> None:
        super().__init__(f"{code.name} ({int(code)}): {message}")
        self.code = code
        self.message = message


class LogUnavailableError(ClementinesparError):
    """The log service did not answer; an append certainly did not take effect."""

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
            f"the log keeps records from offset {first_offset} only",
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
    """The platform refused a host action, which certainly has no effect."""

    def __init__(self, message: str) -> None:
        super().__init__(codes.ResultCode.PLATFORM_REFUSED, message)
