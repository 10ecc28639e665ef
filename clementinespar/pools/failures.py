"""Detects failed and recovered hosts from successive host lists."""

import dataclasses
from collections.abc import Mapping

from clementinespar.platform import service as platform_service
from clementinespar.pools import state

# The list lags by seconds, so shorter absences are normal.
MISSING_BOUND_S = 15.0
# A host that is out reboots for minutes and is then not listed.
MISSING_WHILE_OUT_BOUND_S = 900.0
# Longer than the bound for failures, so that a host that comes and goes stays failed.
PRESENT_BOUND_S = 30.0
# Time without a new list proves nothing about hosts, so longer gaps start over.
MAX_GAP_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Findings:
    """Hosts whose recorded condition no longer agrees with the lists."""

    failed_ids: tuple[str, ...] = ()
    recovered_ids: tuple[str, ...] = ()


class FailureDetector:
    """Compares each new host list with the folded state.

    Only the platform's own times of the lists count. A list that was read before does
    not, nor does one from before a gap.
    """

    _observed_ms: int | None  # time of the last list that was examined
    # By host id and operation, list time of the first absence: an absence during a
    # reboot says nothing about the time after it.
    _missing_since_ms: dict[tuple[str, str], int]
    _present_since_ms: dict[str, int]  # by host id, of failed hosts seen live again

    def __init__(self) -> None:
        self._observed_ms = None
        self._missing_since_ms = {}
        self._present_since_ms = {}

    def examine(
        self,
        host_list: platform_service.HostList,
        hosts_by_id: Mapping[str, state.HostState],
    ) -> Findings:
        """Take in a list and return what it proves."""
        observed_ms = host_list.observed_ms
        if self._observed_ms is None or observed_ms - self._observed_ms > (
            MAX_GAP_S * 1000
        ):
            self._missing_since_ms.clear()
            self._present_since_ms.clear()
        elif observed_ms <= self._observed_ms:
            return Findings()
        self._observed_ms = observed_ms
        if not host_list.hosts_by_id:
            # An empty list is a fault of the list rather than of every host.
            return Findings()
        failed_ids: list[str] = []
        recovered_ids: list[str] = []
        missing_since_ms: dict[tuple[str, str], int] = {}
        present_since_ms: dict[str, int] = {}
        for host in hosts_by_id.values():
            listed = host_list.hosts_by_id.get(host.host_id)
            if listed is None:
                key = (host.host_id, host.out.operation_id if host.out else "")
                since_ms = self._missing_since_ms.get(key, observed_ms)
                missing_since_ms[key] = since_ms
                bound_s = MISSING_WHILE_OUT_BOUND_S if host.out else MISSING_BOUND_S
                has_lasted = observed_ms - since_ms >= bound_s * 1000
                if has_lasted and host.failed_since_ms is None:
                    failed_ids.append(host.host_id)
            elif listed.condition == "live" and host.failed_since_ms is not None:
                since_ms = self._present_since_ms.get(host.host_id, observed_ms)
                present_since_ms[host.host_id] = since_ms
                if observed_ms - since_ms >= PRESENT_BOUND_S * 1000:
                    recovered_ids.append(host.host_id)
        self._missing_since_ms = missing_since_ms
        self._present_since_ms = present_since_ms
        return Findings(tuple(failed_ids), tuple(recovered_ids))
