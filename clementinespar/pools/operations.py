"""Carries hosts that are out of service through their operations."""

from clementinespar.fleet import appending, source
from clementinespar.platform import service as platform_service


class HostOperations:
    """Drains, reboots, moves and returns hosts that are out.

    Parameters
    ----------
    platform : platform_service.PlatformService
        Executes host actions.
    appender : appending.RecordAppender
        Appends the records of finished steps.
    source : source.FleetSource
        The folded state.
    author : str
        Name of this node.
    """

    _platform: platform_service.PlatformService  # executes host actions
    _appender: appending.RecordAppender  # appends the records of finished steps
    _source: source.FleetSource  # the folded state
    _author: str  # name of this node

    def __init__(
        self,
        platform: platform_service.PlatformService,
        appender: appending.RecordAppender,
        source: source.FleetSource,
        author: str,
    ) -> None:
        self._platform = platform
        self._appender = appender
        self._source = source
        self._author = author
