"""Observed demand of services, as the queue owners report it."""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Slow part of the demand of one service."""

    service: str
    mean_slots: float  # smoothed slots in use plus slots that queued work would use
    refused_per_s: float  # smoothed refusals for want of capacity
    observed_at: float  # event-loop time of the observation on this node


class DemandSource(Protocol):
    """Newest demand of each service that this node knows of."""

    def demand_by_service(self) -> dict[str, ServiceDemand]:
        """Return the newest observation of each service."""
        ...

    def ejected_host_ids(self) -> frozenset[str]:
        """Return hosts whose targets the queue owners have ejected."""
        ...
