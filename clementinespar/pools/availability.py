"""What a node sees of hosts beyond the folded state."""

import dataclasses
from collections.abc import Collection, Mapping

from clementinespar import codes
from clementinespar.documents import model
from clementinespar.platform import service as platform_service
from clementinespar.pools import state


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Hosts that a node sees as unavailable, and how old its view is."""

    list_age_s: float  # infinite before the first list
    unavailable_by_host_id: Mapping[str, str]  # why, in one word


def observe(
    pools: state.PoolsState,
    host_list: platform_service.HostListSource,
    ejected_ids: Collection[str],
) -> Observation:
    """Combine the host list and the ejections into one observation."""
    latest = host_list.latest
    if latest is None:
        return Observation(float("inf"), {})
    unavailable: dict[str, str] = {}
    for host_id in pools.hosts_by_id:
        listed = latest.hosts_by_id.get(host_id)
        if listed is None:
            unavailable[host_id] = "missing"
        elif listed.condition == "leaving":
            unavailable[host_id] = "leaving"
        elif host_id in ejected_ids:
            unavailable[host_id] = "ejected"
    return Observation(host_list.age_s, unavailable)


def check_list_age(
    maintenance: model.Maintenance, observation: Observation
) -> codes.ResultCode:
    """Tell whether the host list is young enough to take hosts out."""
    if observation.list_age_s > maintenance.host_list_max_age_s:
        return codes.ResultCode.HOST_LIST_STALE
    return codes.ResultCode.OK
