"""Moves hosts between pools in rounds, on the lease holder of the duty."""

import asyncio

import logbook

from clementinespar import codes, explanation
from clementinespar.capacity import demand as capacity_demand
from clementinespar.capacity import planner
from clementinespar.documents import messages as document_messages
from clementinespar.fleet import appending
from clementinespar.fleet import source as fleet_source
from clementinespar.platform import service as platform_service
from clementinespar.pools import operations as pool_operations
from clementinespar.pools import planning

_LOG = logbook.Logger(__name__)

# After a longer gap between rounds, for example a pause of the process, the durations
# of shortages are not known and are measured anew.
_MAX_ROUND_GAP_S = 30.0


class CapacityRunner:
    """Decides on moves, takes their hosts out of service and advances their operations.

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
        Newest demand and ejected hosts.
    author : str
        Name of this node.
    """

    _source: fleet_source.FleetSource
    _appender: appending.RecordAppender
    _operations: pool_operations.HostOperations
    _host_list: platform_service.HostListSource
    _demand: capacity_demand.DemandSource
    _author: str
    _history_by_environment: dict[document_messages.Environment, planner.History]
    _observed_at: float | None  # loop time of the last update of the histories

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
        self._history_by_environment = {}
        self._observed_at = None

    async def run_round(self) -> codes.ResultCode:
        """Advance the operations of hosts that are out, then append the next decisions.

        Returns
        -------
        codes.ResultCode
            ``OK``, or why nothing could be decided in this round.
        """
        if not await self._source.refresh(pool_operations.REFRESH_TIMEOUT_S):
            return codes.ResultCode.LOG_UNAVAILABLE
        await self._operations.advance_all("move")
        host_count = len(self._source.state.pools.hosts_by_id)
        interval_s = pool_operations.planning_interval_s(host_count)
        now = asyncio.get_running_loop().time()
        if self._observed_at is not None and now - self._observed_at < interval_s:
            return codes.ResultCode.OK
        if not await self._source.refresh(pool_operations.REFRESH_TIMEOUT_S):
            return codes.ResultCode.LOG_UNAVAILABLE
        self._update_histories()
        planned_at = asyncio.get_running_loop().time()
        plan = self.plan("production")
        still_planned = {(move.host_id, move.to_pool) for move in plan.moves}
        for move in plan.moves:
            now = asyncio.get_running_loop().time()
            if now - planned_at > pool_operations.MAX_PLAN_AGE_S:
                planned_at = now
                newer = self.plan("production")
                still_planned = {(m.host_id, m.to_pool) for m in newer.moves}
            if (move.host_id, move.to_pool) not in still_planned:
                continue
            description = (
                f"move of host {move.host_id} from {move.from_pool} to {move.to_pool}"
            )
            record = move.to_record(self._author, self._appender.now_ms())
            await planning.append_decision(
                self._appender, record, f"{description}: {move.because}", _LOG
            )
        return codes.ResultCode.OK

    def plan(self, environment: document_messages.Environment) -> planner.CapacityPlan:
        """Return the plan of the next round under an environment's document.

        The trial document is evaluated against a copy of the hosts, so its plan shows
        what the document would do if it were promoted now.
        """
        situation = self._situation(environment)
        if situation is None:
            return planner.CapacityPlan()
        needs = planner.compute_needs(situation)
        history = self._history_by_environment.get(environment, planner.History())
        return planner.plan(situation, needs, history)

    def explain(self, pool: str) -> explanation.Explanation:
        """Explain how many hosts a pool has and needs, and what it waits for."""
        found = self.plan("production").explanations_by_pool.get(pool)
        if found is not None:
            return found
        return explanation.Explanation(
            f"pool {pool}",
            "unknown",
            None,
            ("the production document names no such pool",),
            codes.ResultCode.POOL_UNKNOWN,
        )

    def _situation(
        self, environment: document_messages.Environment
    ) -> planner.Situation | None:
        inputs = planning.planning_inputs(
            self._source, self._host_list, self._demand, environment
        )
        if inputs is None:
            return None
        return planner.Situation(
            inputs.document,
            inputs.pools,
            self._demand.demand_by_service(),
            asyncio.get_running_loop().time(),
            inputs.observation,
        )

    def _update_histories(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._observed_at is None or now - self._observed_at > _MAX_ROUND_GAP_S:
            self._history_by_environment.clear()
        self._observed_at = now
        environments: tuple[document_messages.Environment, ...] = (
            "trial",
            "production",
        )
        for environment in environments:
            situation = self._situation(environment)
            if situation is None:
                continue
            history = self._history_by_environment.get(environment, planner.History())
            self._history_by_environment[environment] = planner.update_history(
                history, planner.compute_needs(situation), now
            )
