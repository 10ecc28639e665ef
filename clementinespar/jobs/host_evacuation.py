"""Evacuation of hosts: keeps new work off them until their workers are idle."""

from clementinespar import errors
from clementinespar.jobs import model, service, services

# An evacuation that is not requested again ends after this. A slow platform may carry
# the order out seconds after the worker was found to be free.
EVACUATION_TTL_S = 6.0


class HostEvacuation:
    """Asks the owners of pools to free hosts, for the owner of the fleet."""

    def __init__(
        self,
        jobs: service.JobService,
        configuration: services.ConfigurationSource,
        log_event: services.EventLog,
    ) -> None:
        self._jobs = jobs
        self._configuration = configuration
        self._log_event = log_event

    def is_spare(self, pool: str) -> bool:
        """Whether a pool only holds spare hosts, which run nothing."""
        configuration = self._configuration.current
        found = configuration.pools_by_name.get(pool) if configuration else None
        return found is not None and found.is_spare

    async def is_free(
        self, host: model.HostEntry, urgency: model.EvacuationUrgency
    ) -> bool:
        """Evacuate a host before an order; True once the order may be given."""
        if not host.worker_id or self.is_spare(host.pool):
            return True
        return await self.evacuate(host, EVACUATION_TTL_S, urgency)

    async def evacuate(
        self, host: model.HostEntry, kept_s: float, urgency: model.EvacuationUrgency
    ) -> bool:
        """Keep new work off a host for some seconds; True once it is idle."""
        try:
            return await self._jobs.evacuate(host.pool, host.worker_id, kept_s, urgency)
        except errors.ClementinesparError as error:
            self._log_event(
                "evacuation_unanswered", host=host.host_id, code=int(error.code)
            )
            return False
