"""Runs the waves planner in rounds."""

from clementinespar import codes, explanation
from clementinespar.capacity import demand as capacity_demand
from clementinespar.documents import messages as document_messages
from clementinespar.fleet import appending
from clementinespar.fleet import source as fleet_source
from clementinespar.platform import service as platform_service
from clementinespar.pools import operations as pool_operations
from clementinespar.waves import planner


class WaveRunner:
    """Runs one round at a time while this node holds the duty."""

    def __init__(
        self,
        source: fleet_source.FleetSource,
        appender: appending.RecordAppender,
        operations: pool_operations.HostOperations,
        host_list: platform_service.HostListSource,
        demand: capacity_demand.DemandSource,
        author: str,
    ) -> None:
        self._source = source
        self._appender = appender
        self._operations = operations
        self._host_list = host_list
        self._demand = demand
        self._author = author

    async def run_round(self) -> None:
        """Run one round."""

    def plan(self, environment: document_messages.Environment) -> planner.WavePlan:
        """Return what the next round would do under an environment's document."""
        return planner.WavePlan()

    def explain(self, pool: str) -> explanation.Explanation:
        """Explain what happens in a pool."""
        return explanation.Explanation(
            f"pool {pool}", "idle", None, (), codes.ResultCode.OK
        )
