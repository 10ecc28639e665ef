"""Which targets may receive new work.

Combines the fold (pool membership, hosts out, failed hosts), the platform's host list
and the targets' own reports that they are leaving.
"""

import dataclasses
from collections.abc import Sequence

from clementinespar.fleet import source as fleet_source
from clementinespar.platform import service as platform_service
from clementinespar.requests import model


@dataclasses.dataclass(slots=True)
class _LeavingMark:
    """A target's own report that it is leaving."""

    host_revision: int  # revision of the host in the fold at the time of the report
    was_absent: bool = False  # since then, the host was unavailable, leaving or missing


class FleetTargetDirectory:
    """`TargetDirectory` over the folded state and the host list.

    Parameters
    ----------
    source : fleet_source.FleetSource
        Pool membership, hosts out and failed hosts.
    host_list : platform_service.HostListSource
        Addresses, and hosts that the platform reports as leaving. An old list is still
        used: the answers of the targets themselves correct it.
    """

    _source: fleet_source.FleetSource
    _host_list: platform_service.HostListSource
    # Targets that reported that they are leaving; the host list lags behind this.
    _marks_by_host_id: dict[str, _LeavingMark]

    def __init__(
        self,
        source: fleet_source.FleetSource,
        host_list: platform_service.HostListSource,
    ) -> None:
        self._source = source
        self._host_list = host_list
        self._marks_by_host_id = {}

    def targets_of(self, service: str) -> Sequence[model.Target]:
        """Return the service's targets that are neither out nor leaving."""
        document = self._source.state.documents.production
        if document is None or service not in document.services:
            return ()
        return self._targets_in(document.services[service].pool)

    def lent_targets_of(self, service: str) -> Sequence[model.Target]:
        """Return targets of the pool that the service borrows from."""
        document = self._source.state.documents.production
        pool = None if document is None else document.lender_pool(service)
        return () if pool is None else self._targets_in(pool)

    def _targets_in(self, pool: str) -> Sequence[model.Target]:
        state = self._source.state
        host_list = self._host_list.latest
        if host_list is None:
            return ()
        targets = []
        for host in state.pools.hosts_of(pool):
            listed = host_list.hosts_by_id.get(host.host_id)
            mark = self._marks_by_host_id.get(host.host_id)
            if not host.is_available or listed is None or listed.condition != "live":
                if mark is not None:
                    mark.was_absent = True
                continue
            if mark is not None:
                # The list may be older than the report, so "live" does not prove that
                # the target is back; a new revision or an earlier absence does.
                if not mark.was_absent and mark.host_revision == host.revision:
                    continue
                del self._marks_by_host_id[host.host_id]
            targets.append(
                model.Target(
                    host_id=host.host_id,
                    address=listed.address,
                    port=listed.port,
                    data_centre=host.data_centre,
                    rack=host.rack,
                )
            )
        return targets

    def mark_leaving(self, target: model.Target) -> None:
        """Exclude a target that reports that it is leaving, until it has rebooted."""
        host = self._source.state.pools.hosts_by_id.get(target.host_id)
        if host is not None and target.host_id not in self._marks_by_host_id:
            self._marks_by_host_id[target.host_id] = _LeavingMark(host.revision)

    def clear_leaving(self, target: model.Target) -> None:
        """Include a target again that reports that it is no longer leaving."""
        self._marks_by_host_id.pop(target.host_id, None)
