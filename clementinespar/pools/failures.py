"""Detects failed and recovered hosts from successive host lists."""

import dataclasses
from collections.abc import Mapping

from clementinespar.platform import service as platform_service
from clementinespar.pools import state

# The host list lags by seconds, so shorter absences are normal.
MISSING_BOUND_S = 15.0
# A host that is out of service reboots for minutes and is not listed meanwhile.
MISSING_WHILE_OUT_BOUND_S = 900.0
# Longer than the bound for failures, so that a flapping host stays failed.
PRESENT_BOUND_S = 30.0
# After a longer gap between lists, absences and recoveries are measured anew: the
# state of the hosts during the gap is not known.
MAX_GAP_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Findings:
    """Hosts whose recorded condition differs from the host lists."""

    failed_ids: tuple[str, ...] = ()
    recovered_ids: tuple[str, ...] = ()


class FailureDetector:
    """Compares each new host list with the folded state.

    Time is measured between the platform's timestamps of the lists. Lists that are not
    newer than the last one have no effect.
    """

    _observed_ms: int | None  # timestamp of the last list that was processed
    # Timestamp of the first list without a host, by host id and operation id, so that
    # an absence during a reboot does not count after it.
    _missing_since_ms: dict[tuple[str, str], int]
    _present_since_ms: dict[str, int]  # by host id, of failed hosts listed live

    def __init__(self) -> None:
        self._observed_ms = None
        self._missing_since_ms = {}
        self._present_since_ms = {}

    def examine(
        self,
        host_list: platform_service.HostList,
        hosts_by_id: Mapping[str, state.HostState],
    ) -> Findings:
        """Process a host list and return the hosts that have failed or recovered."""
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
            # An empty list is more likely a fault of the platform than of every host.
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
