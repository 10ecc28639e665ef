"""Runs maintenance waves in rounds, on the lease holder of the duty."""

import asyncio
import math

import logbook

from clementinespar import codes, explanation
from clementinespar.capacity import demand as capacity_demand
from clementinespar.documents import messages as document_messages
from clementinespar.fleet import appending
from clementinespar.fleet import source as fleet_source
from clementinespar.platform import service as platform_service
from clementinespar.pools import operations as pool_operations
from clementinespar.pools import planning
from clementinespar.waves import planner

_LOG = logbook.Logger(__name__)


class WaveRunner:
    """Starts and ends waves, takes their hosts out and advances their operations.

    Parameters
    ----------
    source : fleet_source.FleetSource
        The folded state.
    appender : appending.RecordAppender
        Appends the decisions.
    operations : pool_operations.HostOperations
        Advances the operations of hosts that are out.
    host_list : platform_service.HostListSource
        Newest host list of this node.
    demand : capacity_demand.DemandSource
        Source of the ejected hosts.
    author : str
        Name of this node.
    """

    _source: fleet_source.FleetSource
    _appender: appending.RecordAppender
    _operations: pool_operations.HostOperations
    _host_list: platform_service.HostListSource
    _demand: capacity_demand.DemandSource
    _author: str
    _planned_at: float  # loop time of the last decision

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
        self._planned_at = -math.inf

    async def run_round(self) -> codes.ResultCode:
        """Advance the operations of hosts that are out, then append the next decisions.

        Returns
        -------
        codes.ResultCode
            ``OK``, or why nothing could be decided in this round.
        """
        if not await self._source.refresh(pool_operations.REFRESH_TIMEOUT_S):
            return codes.ResultCode.LOG_UNAVAILABLE
        await self._operations.detect_failures(self._host_list)
        await self._operations.advance_all("maintenance")
        now = asyncio.get_running_loop().time()
        host_count = len(self._source.state.pools.hosts_by_id)
        interval_s = pool_operations.planning_interval_s(host_count)
        if now - self._planned_at < interval_s:
            return codes.ResultCode.OK
        self._planned_at = now
        if not await self._source.refresh(pool_operations.REFRESH_TIMEOUT_S):
            return codes.ResultCode.LOG_UNAVAILABLE
        planned_at = asyncio.get_running_loop().time()
        plan = self.plan("production")
        still_planned = plan.decisions
        for decision in plan.decisions:
            now = asyncio.get_running_loop().time()
            if now - planned_at > pool_operations.MAX_PLAN_AGE_S:
                planned_at = now
                still_planned = self.plan("production").decisions
            if decision in still_planned:
                record = decision.to_record(self._author, self._appender.now_ms())
                await planning.append_decision(
                    self._appender, record, str(decision), _LOG
                )
        return codes.ResultCode.OK

    def plan(self, environment: document_messages.Environment) -> planner.WavePlan:
        """Return the plan of the next round under an environment's document.

        The trial document is evaluated against a copy of the hosts, so its plan shows
        what the document would do if it were promoted now.
        """
        inputs = planning.planning_inputs(
            self._source, self._host_list, self._demand, environment
        )
        if inputs is None:
            return planner.WavePlan()
        fleet = self._source.state
        return planner.plan(
            planner.Situation(
                inputs.document,
                inputs.pools,
                fleet.waves,
                fleet.log_time_ms,
                inputs.observation,
            )
        )

    def explain(self, pool: str) -> explanation.Explanation:
        """Explain the state of a pool's wave, or why the pool has none."""
        found = self.plan("production").explanations_by_pool.get(pool)
        if found is not None:
            return found
        return explanation.Explanation(
            f"wave of pool {pool}",
            "unknown",
            None,
            ("the production document names no such pool",),
            codes.ResultCode.POOL_UNKNOWN,
        )
