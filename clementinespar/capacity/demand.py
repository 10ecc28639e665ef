"""Observed demand of services, as the queue owners report it."""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Demand of one service, smoothed over short peaks."""

    service: str
    mean_slots: float  # smoothed slots in use plus slots that queued work would use
    refused_per_s: float  # smoothed rate of requests refused for lack of capacity
    observed_at: float  # event-loop time of the observation on this node


class DemandSource(Protocol):
    """Source of the newest demand of each service that is known to this node."""

    def demand_by_service(self) -> dict[str, ServiceDemand]:
        """Return the newest observation of each service."""
        ...

    def ejected_host_ids(self) -> frozenset[str]:
        """Return the hosts whose targets the queue owners have ejected."""
        ...
