"""Executes the steps of operations on hosts that are out of service.

Any node can continue an operation that another node began, because it asks the platform
for the state of each step first. A step is started only if the refreshed fold still
shows the operation, and the platform refuses it if a newer operation has begun since.
"""

import asyncio
import dataclasses
from collections.abc import Mapping

import logbook

from clementinespar import codes, errors, explanation, identifiers
from clementinespar.fleet import appending
from clementinespar.fleet import source as fleet_source
from clementinespar.log import base
from clementinespar.platform import service as platform_service
from clementinespar.pools import availability, budget, failures, messages, state

_LOG = logbook.Logger(__name__)

MAX_PLAN_AGE_S = 1.0  # an older plan is computed again before its next record
REFRESH_TIMEOUT_S = 2.0  # longest wait for the refresh of the fold before a step
APPEND_TIMEOUT_S = 5.0  # longest wait for the result of a record
_MAX_CONCURRENT_HOSTS = 16  # bounds the concurrent platform calls of a node
# All hosts of a data centre may fail at once; their records are spread over rounds so
# that they do not delay claims in the log.
_MAX_FINDINGS_PER_ROUND = 50
# Planning costs about 3 us a host, so its interval grows with the fleet: 4.4 s for
# 1,100 hosts. Fewer than 250 hosts are planned in every round, once a second.
_PLANNED_HOSTS_PER_S = 250.0
# Drains and reboots take minutes, so a step is polled after this share of the time
# that it has taken.
_POLL_SHARE = 0.1
_MAX_POLL_INTERVAL_S = 10.0
# A refused step, for example on a host that had failed, is started again.
_STARTABLE_STATES = ("unknown", "refused")


def planning_interval_s(host_count: int) -> float:
    """Return the least time between two decisions of a planner, in seconds."""
    return host_count / _PLANNED_HOSTS_PER_S


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of an operation as observed by this node."""

    operation_id: str
    waits_for: str  # what must happen next
    since: float  # loop time at which this node began to wait for it
    polled_at: float  # loop time of the last query to the platform
    code: codes.ResultCode = codes.ResultCode.OK  # result of the last step
    is_drained: bool = False  # the platform has reported the end of the drain

    def is_poll_due(self, now: float) -> bool:
        """Whether a query is due: after a tenth of the time waited, 10 s at most."""
        interval_s = min((now - self.since) * _POLL_SHARE, _MAX_POLL_INTERVAL_S)
        return now - self.polled_at >= interval_s


class HostOperations:
    """Drains, reboots, moves and returns hosts that are out.

    Parameters
    ----------
    platform : platform_service.PlatformService
        Executes host actions.
    appender : appending.RecordAppender
        Appends the records of finished steps.
    source : fleet_source.FleetSource
        The folded state.
    author : str
        Name of this node.
    """

    _platform: platform_service.PlatformService
    _appender: appending.RecordAppender
    _source: fleet_source.FleetSource
    _author: str
    _detector: failures.FailureDetector  # absences observed by this node
    _progress_by_host_id: dict[str, Progress]  # what `explain` shows

    def __init__(
        self,
        platform: platform_service.PlatformService,
        appender: appending.RecordAppender,
        source: fleet_source.FleetSource,
        author: str,
    ) -> None:
        self._platform = platform
        self._appender = appender
        self._source = source
        self._author = author
        self._detector = failures.FailureDetector()
        self._progress_by_host_id = {}

    @property
    def progress_by_host_id(self) -> Mapping[str, Progress]:
        """Progress of each operation that this node has advanced."""
        return self._progress_by_host_id

    async def advance_all(self, reason: messages.OutReason) -> None:
        """Advance the operations of all hosts that are out for a reason.

        Hosts whose step has been running for long are polled less often.
        """
        hosts = self._source.state.pools.hosts_by_id
        for host_id in list(self._progress_by_host_id):
            if host_id not in hosts or hosts[host_id].out is None:
                del self._progress_by_host_id[host_id]
        now = asyncio.get_running_loop().time()
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_HOSTS)

        async def advance_limited(host_id: str) -> None:
            async with semaphore:
                await self.advance(host_id)

        async with asyncio.TaskGroup() as group:
            for host in list(hosts.values()):
                if host.out is None or host.out.reason != reason:
                    continue
                progress = self._progress_by_host_id.get(host.host_id)
                if (
                    progress is None
                    or progress.operation_id != host.out.operation_id
                    or progress.is_poll_due(now)
                ):
                    group.create_task(advance_limited(host.host_id))

    async def advance(self, host_id: str) -> codes.ResultCode:
        """Advance the operation of one host as far as is possible now.

        Returns
        -------
        codes.ResultCode
            ``OK``, or why the next step failed; the next call tries again.
        """
        host = self._source.state.pools.hosts_by_id.get(host_id)
        if host is None or host.out is None:
            return codes.ResultCode.HOST_NOT_OUT
        now = asyncio.get_running_loop().time()
        progress = self._progress_by_host_id.get(host_id)
        if progress is None or progress.operation_id != host.out.operation_id:
            progress = Progress(
                host.out.operation_id, "the first query to the platform", now, now
            )
            self._progress_by_host_id[host_id] = progress
        progress.polled_at = now
        previous_code = progress.code
        try:
            waits_for = await self._advance(host_id, progress)
            progress.code = codes.ResultCode.OK
        except errors.ClementinesparError as error:
            waits_for = error.message
            progress.code = error.code
            if error.code != previous_code:
                _LOG.warning(
                    "cannot advance the operation of host {}: {}", host_id, error
                )
        if waits_for != progress.waits_for:
            progress.waits_for = waits_for
            progress.since = now
        return progress.code

    async def _advance(self, host_id: str, progress: Progress) -> str:
        """Execute the steps that are possible now; return what must happen next."""
        operation_id = progress.operation_id
        if not progress.is_drained:
            drain_state = await self._platform.operation_status(operation_id, "drain")
            if drain_state in _STARTABLE_STATES:
                host = await self._refreshed_host(host_id, operation_id)
                await self._platform.drain(host_id, _operation_of(host))
            if drain_state != "done":
                return "the platform to drain the host"
            progress.is_drained = True
        known = self._source.state.pools.hosts_by_id.get(host_id)
        if known is not None and budget.is_leaving(known):
            await self._refreshed_host(host_id, operation_id)
            issued_ms = self._appender.now_ms()
            await self._append(
                messages.HostMoved(
                    record_id=identifiers.new_id(issued_ms),
                    issued_ms=issued_ms,
                    author=self._author,
                    host_id=host_id,
                    operation_id=operation_id,
                )
            )
        reboot_state = await self._platform.operation_status(operation_id, "reboot")
        if reboot_state in _STARTABLE_STATES:
            host = await self._refreshed_host(host_id, operation_id)
            if budget.is_leaving(host):
                return "the record of the move to be applied"
            await self._platform.reboot(host_id, _operation_of(host), host.pool)
        if reboot_state != "done":
            return "the platform to reboot the host"
        await self._refreshed_host(host_id, operation_id)
        issued_ms = self._appender.now_ms()
        await self._append(
            messages.HostReturned(
                record_id=identifiers.new_id(issued_ms),
                issued_ms=issued_ms,
                author=self._author,
                host_id=host_id,
                operation_id=operation_id,
            )
        )
        return "nothing; the host is back in service"

    async def detect_failures(
        self, host_list: platform_service.HostListSource
    ) -> failures.Findings:
        """Append records about hosts that failed or recovered; return the findings.

        A host list older than the document allows is ignored.
        """
        document = self._source.state.documents.production
        latest = host_list.latest
        if document is None or latest is None:
            return failures.Findings()
        age_s = availability.list_age_s(host_list, self._source.state.log_time_ms)
        observation = availability.Observation(age_s, {})
        code = availability.check_list_age(document.maintenance, observation)
        if code != codes.ResultCode.OK:
            return failures.Findings()
        hosts_by_id = self._source.state.pools.hosts_by_id
        findings = self._detector.examine(latest, hosts_by_id)
        records: list[base.Record] = []
        for host_id in findings.failed_ids:
            issued_ms = self._appender.now_ms()
            records.append(
                messages.HostFailed(
                    record_id=identifiers.new_id(issued_ms),
                    issued_ms=issued_ms,
                    author=self._author,
                    host_id=host_id,
                    host_revision=hosts_by_id[host_id].revision,
                )
            )
        for host_id in findings.recovered_ids:
            issued_ms = self._appender.now_ms()
            records.append(
                messages.HostRecovered(
                    record_id=identifiers.new_id(issued_ms),
                    issued_ms=issued_ms,
                    author=self._author,
                    host_id=host_id,
                    host_revision=hosts_by_id[host_id].revision,
                )
            )
        async with asyncio.TaskGroup() as group:
            for record in records[:_MAX_FINDINGS_PER_ROUND]:
                group.create_task(self._append_finding(record))
        return findings

    def explain(self, host_id: str) -> explanation.Explanation:
        """Explain the state of a host and what it waits for."""
        subject = f"host {host_id}"
        host = self._source.state.pools.hosts_by_id.get(host_id)
        if host is None:
            return explanation.Explanation(
                subject,
                "unknown",
                None,
                ("the production document names no such host",),
                codes.ResultCode.HOST_UNKNOWN,
            )
        because = [_describe_place(host)]
        if host.failed_since_ms is not None:
            because.append(f"recorded as failed since log time {host.failed_since_ms}")
        if host.out is None:
            failed = host.failed_since_ms is not None
            return explanation.Explanation(
                subject,
                "failed" if failed else "in service",
                "the host to be listed as live again" if failed else None,
                tuple(because),
                codes.ResultCode.OK,
            )
        because.insert(0, _describe_out(host.out))
        progress = self._progress_by_host_id.get(host_id)
        if progress is None or progress.operation_id != host.out.operation_id:
            waits_for = "the node that holds the duty lease to continue the operation"
            code = codes.ResultCode.OK
        else:
            waits_for = progress.waits_for
            code = progress.code
        return explanation.Explanation(
            subject, f"out for {host.out.reason}", waits_for, tuple(because), code
        )

    async def _refreshed_host(self, host_id: str, operation_id: str) -> state.HostState:
        """Return the host if the refreshed fold still shows the operation."""
        if not await self._source.refresh(REFRESH_TIMEOUT_S):
            raise errors.LogUnavailableError(
                "the log did not confirm the operation in time"
            )
        host = self._source.state.pools.hosts_by_id.get(host_id)
        if host is None or host.out is None or host.out.operation_id != operation_id:
            raise errors.ClementinesparError(
                codes.ResultCode.HOST_NOT_OUT,
                "the operation has ended or was replaced by another one",
            )
        return host

    async def _append(self, record: base.Record) -> None:
        """Append a record and raise if it takes no effect."""
        result = await self._appender.append(record, APPEND_TIMEOUT_S)
        if result.code != codes.ResultCode.OK:
            raise errors.ClementinesparError(result.code, "the fold refused the record")

    async def _append_finding(self, record: base.Record) -> None:
        try:
            await self._append(record)
        except errors.ClementinesparError as error:
            # The detector reports the host again while the finding still applies.
            _LOG.info("record of a failed or recovered host was not applied: {}", error)


def _operation_of(host: state.HostState) -> platform_service.Operation:
    if host.out is None:
        raise errors.ClementinesparError(
            codes.ResultCode.HOST_NOT_OUT, f"host {host.host_id} is not out"
        )
    return platform_service.Operation(host.out.operation_id, host.out.offset)


def _describe_place(host: state.HostState) -> str:
    lent = f", lent by its home pool {host.home}" if host.pool != host.home else ""
    return f"in pool {host.pool}{lent}, rack {host.rack} of {host.data_centre}"


def _describe_out(out: state.HostOut) -> str:
    target = "" if out.to_pool is None else f" to pool {out.to_pool}"
    wave = "" if out.wave_id is None else f" in wave {out.wave_id}"
    return (
        f"{out.author} took it out for {out.reason}{target}{wave} "
        f"at log time {out.since_ms}"
    )
