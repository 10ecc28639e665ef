"""Functions shared by the planners of waves and capacity."""

import dataclasses

import logbook

from clementinespar import codes, errors
from clementinespar.capacity import demand as capacity_demand
from clementinespar.documents import messages as document_messages
from clementinespar.documents import model
from clementinespar.fleet import appending
from clementinespar.fleet import source as fleet_source
from clementinespar.log import base
from clementinespar.platform import service as platform_service
from clementinespar.pools import availability, state
from clementinespar.pools import operations as pool_operations


@dataclasses.dataclass(frozen=True, slots=True)
class PlanningInputs:
    """Document, hosts and observation that a plan is computed from."""

    document: model.Document
    pools: state.PoolsState
    observation: availability.Observation


def planning_inputs(
    source: fleet_source.FleetSource,
    host_list: platform_service.HostListSource,
    demand: capacity_demand.DemandSource,
    environment: document_messages.Environment,
) -> PlanningInputs | None:
    """Return the inputs of a plan under an environment's document, if it has one.

    The trial document is evaluated against a copy of the hosts, so its plan shows what
    the document would do if it were promoted now.
    """
    fleet = source.state
    in_force = fleet.documents.in_force_by_environment.get(environment)
    if in_force is None:
        return None
    pools = fleet.pools
    if environment == "trial":
        pools = pools.copy()
        state.apply_document(pools, in_force.document, fleet.offset)
    observation = availability.observe(
        pools, host_list, demand.ejected_host_ids(), fleet.log_time_ms
    )
    return PlanningInputs(in_force.document, pools, observation)


async def append_decision(
    appender: appending.RecordAppender,
    record: base.Record,
    description: str,
    log: logbook.Logger,
) -> None:
    """Append the record of a decision.

    Failures are only logged, because a later round decides again.
    """
    try:
        result = await appender.append(record, pool_operations.APPEND_TIMEOUT_S)
    except errors.ClementinesparError as error:
        log.warning("{}: not appended: {}", description, error)
        return
    if result.code == codes.ResultCode.OK:
        log.info("{}", description)
    else:
        log.notice("{}: no effect: {}", description, result.code.name)
