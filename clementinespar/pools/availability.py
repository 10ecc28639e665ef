"""Availability of hosts as observed by this node, beyond the folded state."""

import dataclasses
from collections.abc import Collection, Mapping

from clementinespar import codes
from clementinespar.documents import model
from clementinespar.platform import service as platform_service
from clementinespar.pools import state


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Hosts that a node observes as unavailable, and the age of its host list."""

    list_age_s: float  # lower bound of the age, infinite before the first list
    unavailable_by_host_id: Mapping[str, str]  # reason, in one word


def observe(
    pools: state.PoolsState,
    host_list: platform_service.HostListSource,
    ejected_ids: Collection[str],
    log_time_ms: int = 0,
) -> Observation:
    """Combine the host list and the ejections into one observation.

    Parameters
    ----------
    pools : state.PoolsState
        The hosts to observe.
    host_list : platform_service.HostListSource
        Newest host list.
    ejected_ids : collection of str
        Hosts whose targets are ejected.
    log_time_ms : int, optional
        Append time of the newest record, 0 if there is none.
    """
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
    return Observation(list_age_s(host_list, log_time_ms), unavailable)


def list_age_s(host_list: platform_service.HostListSource, log_time_ms: int) -> float:
    """Return a lower bound of the age of the newest host list, in seconds.

    The platform may serve a list that it made long ago, so the time since it was read
    is not enough. The newest record of the log was appended before now, so the list is
    at least as old as the time from its timestamp to that of the record. Both times are
    the platform's.
    """
    latest = host_list.latest
    if latest is None:
        return float("inf")
    return max(host_list.age_s, (log_time_ms - latest.observed_ms) / 1000)


def check_list_age(
    maintenance: model.Maintenance, observation: Observation
) -> codes.ResultCode:
    """Check whether the host list is recent enough to take hosts out."""
    if observation.list_age_s > maintenance.host_list_max_age_s:
        return codes.ResultCode.HOST_LIST_STALE
    return codes.ResultCode.OK
