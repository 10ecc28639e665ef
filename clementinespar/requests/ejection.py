"""Ejection of failing targets, based on the outcomes of attempts."""

import collections
import dataclasses
import itertools
from collections.abc import Iterable

WINDOW_S = 10.0
MIN_FAILURES = 3  # fewer may come from a single request or a restart
MIN_FAILURE_SHARE = 0.5
MAX_EJECTED_SHARE = 1 / 3  # more would overload the remaining targets
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
# For this long, each failure counts like one more slot in use at its target. Without
# this, a worker that fails immediately would always be the least loaded one.
PENALTY_S = 1.0


@dataclasses.dataclass(slots=True)
class _AttemptResult:
    at: float  # event-loop time
    is_failure: bool
    request_id: str


@dataclasses.dataclass(slots=True)
class _TargetRecord:
    """Recent results of one target."""

    results: collections.deque[_AttemptResult] = dataclasses.field(
        default_factory=collections.deque
    )
    failures: collections.deque[_AttemptResult] = dataclasses.field(
        default_factory=collections.deque
    )  # the failures among the results
    ejected_until: float | None = None  # loop time of the next probe; None: not ejected
    ejection_s: float = FIRST_EJECTION_S  # doubles with each failed probe
    is_probing: bool = False  # one probe is in flight


class EjectionTracker:
    """Recent results and ejections of the targets of one service."""

    _records_by_host_id: dict[str, _TargetRecord]

    def __init__(self) -> None:
        self._records_by_host_id = collections.defaultdict(_TargetRecord)

    def record_success(self, host_id: str, request_id: str, now: float) -> None:
        """Record a successful attempt; if it is a probe, the ejection ends."""
        record = self._records_by_host_id[host_id]
        if record.is_probing:
            record.is_probing = False
            record.ejected_until = None
            record.ejection_s = FIRST_EJECTION_S
            record.results.clear()
            record.failures.clear()
        record.results.append(_AttemptResult(now, False, request_id))
        self._drop_expired(record, now)

    def record_failure(
        self, host_id: str, request_id: str, now: float, pool_size: int
    ) -> None:
        """Record a failed attempt; may eject the target."""
        record = self._records_by_host_id[host_id]
        # An attempt at an unresponsive target is reported twice: when the target is
        # found unresponsive and when the attempt ends.
        if not any(r.request_id == request_id for r in record.failures):
            result = _AttemptResult(now, True, request_id)
            record.results.append(result)
            record.failures.append(result)
        self._drop_expired(record, now)
        if record.ejected_until is not None:
            if record.is_probing:
                record.is_probing = False
                record.ejection_s = min(MAX_EJECTION_S, record.ejection_s * 2)
                record.ejected_until = now + record.ejection_s
            return
        if self._is_failing(record) and self._may_eject(pool_size):
            record.ejected_until = now + record.ejection_s

    def cancel_probe(self, host_id: str) -> None:
        """End a probe that neither succeeded nor failed."""
        self._records_by_host_id[host_id].is_probing = False

    def discard_failures(self, request_id: str, host_ids: Iterable[str]) -> None:
        """Remove the failures of a request that failed on several targets.

        Such a request is the likely cause itself, so its targets are not blamed; an
        ejection that depends on these failures ends.
        """
        for host_id in host_ids:
            record = self._records_by_host_id.get(host_id)
            if record is None:
                continue
            for results in (record.results, record.failures):
                remaining = [r for r in results if r.request_id != request_id]
                results.clear()
                results.extend(remaining)
            if (
                record.ejected_until is not None
                and not record.is_probing
                and not self._is_failing(record)
            ):
                record.ejected_until = None

    def is_ejected(self, host_id: str) -> bool:
        """Whether a target is ejected, so that it receives only probes."""
        record = self._records_by_host_id.get(host_id)
        return record is not None and record.ejected_until is not None

    def is_probe_due(self, host_id: str, now: float) -> bool:
        """Whether an ejected target may receive its one probe."""
        record = self._records_by_host_id.get(host_id)
        return (
            record is not None
            and record.ejected_until is not None
            and not record.is_probing
            and now >= record.ejected_until
        )

    def start_probe(self, host_id: str) -> None:
        """Mark the probe of an ejected target as in flight."""
        self._records_by_host_id[host_id].is_probing = True

    def penalty(self, host_id: str, now: float) -> int:
        """Return the number of slots to add to those that the target has in use."""
        record = self._records_by_host_id.get(host_id)
        if record is None:
            return 0
        return sum(result.at >= now - PENALTY_S for result in record.failures)

    def ejected_host_ids(self) -> frozenset[str]:
        """Return the hosts of the ejected targets."""
        return frozenset(
            host_id
            for host_id, record in self._records_by_host_id.items()
            if record.ejected_until is not None
        )

    def retain_hosts(self, host_ids: set[str]) -> None:
        """Drop the records of all other hosts.

        A target that returns to the pool later, e.g. after a reboot, has no failures.
        """
        for host_id in [i for i in self._records_by_host_id if i not in host_ids]:
            del self._records_by_host_id[host_id]

    def _is_failing(self, record: _TargetRecord) -> bool:
        failures = len(record.failures)
        if failures < MIN_FAILURES:
            return False
        # Consecutive failures reveal a new fault before the successes leave the window.
        newest = itertools.islice(reversed(record.results), MIN_FAILURES)
        if all(result.is_failure for result in newest):
            return True
        return failures >= len(record.results) * MIN_FAILURE_SHARE

    def _may_eject(self, pool_size: int) -> bool:
        return len(self.ejected_host_ids()) + 1 <= pool_size * MAX_EJECTED_SHARE

    def _drop_expired(self, record: _TargetRecord, now: float) -> None:
        for results in (record.results, record.failures):
            while results and results[0].at < now - WINDOW_S:
                results.popleft()
