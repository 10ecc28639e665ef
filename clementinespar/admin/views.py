"""Status and explanations on the admin port."""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from clementinespar import codes, errors, explanation
from clementinespar.capacity import demand
from clementinespar.documents import messages, model
from clementinespar.documents import state as documents_state
from clementinespar.fleet import source as fleet_source
from clementinespar.peers import directory
from clementinespar.platform import service as platform_service
from clementinespar.pools import state as pools_state

Json = dict[str, Any]

# Fields that the status shows of a queue that this node owns.
_QUEUE_KEYS = ("queued_short", "queued_long", "in_flight", "free_slots")


class UnknownSubjectError(errors.ClementinesparError):
    """The pool does not exist, or this node has not received the request."""


class HostExplainer(Protocol):
    """Explains hosts; `pools.operations.HostOperations` in a node."""

    def explain(self, host_id: str) -> explanation.Explanation:
        """Explain where a host is and what it waits for."""
        ...


class PoolPlanner(Protocol):
    """Plans for pools; the runners of waves and capacity in a node."""

    def plan(self, environment: messages.Environment) -> Any:
        """Return what the next round would do."""
        ...

    def explain(self, pool: str) -> explanation.Explanation:
        """Explain what happens in a pool."""
        ...


class RequestExplainer(Protocol):
    """Explains recent requests; the router in a node."""

    def explain(self, request_id: str) -> Mapping[str, Any] | None:
        """Return what is known of a request, or None."""
        ...


class NodeView(Protocol):
    """Readiness and status of the node itself."""

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts work."""
        ...

    @property
    def not_ready_reasons(self) -> list[str]:
        """Why the node does not accept work, empty if it does."""
        ...

    def describe(self) -> Json:
        """Return the ``node`` part of the status."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Views:
    """Builds the replies of the admin port from the components of the node."""

    node: NodeView
    source: fleet_source.FleetSource
    peers: directory.Peers
    host_list: platform_service.HostListSource
    hosts: HostExplainer
    waves: PoolPlanner
    capacity: PoolPlanner
    requests: RequestExplainer
    explain_queue: Callable[[str], Mapping[str, Any]]  # by name of the service

    def status(self, environment: messages.Environment) -> Json:
        """Return the reply of ``GET /v1/status``."""
        in_force = self.source.state.documents.in_force_by_environment.get(environment)
        document = None if in_force is None else in_force.document
        return {
            "environment": environment,
            "document": None if in_force is None else _document_summary(in_force),
            "node": self.node.describe(),
            "host_list": self._host_list(),
            "peers": self._peers(),
            "pools": [] if document is None else self._pools(document),
            "waves": self._waves(),
            "services": [] if document is None else self._services(document),
        }

    def plan(self, environment: messages.Environment) -> Json:
        """Return the reply of ``GET /v1/plan``."""
        return {
            "environment": environment,
            "waves": self.waves.plan(environment),
            "capacity": self.capacity.plan(environment),
        }

    def document(self, environment: messages.Environment) -> Json:
        """Return the reply of ``GET /v1/documents/ENV``."""
        in_force = self.source.state.documents.in_force_by_environment.get(environment)
        if in_force is None:
            return {"environment": environment, "revision": 0, "document": None}
        return _document_summary(in_force) | {
            "environment": environment,
            "document": in_force.document,
        }

    def history(self, environment: messages.Environment) -> Json:
        """Return the reply of ``GET /v1/documents/ENV/history``, oldest first."""
        return {
            "environment": environment,
            "history": [
                publication
                for publication in self.source.state.documents.history
                if publication.environment == environment
            ],
        }

    def host(self, host_id: str) -> explanation.Explanation:
        """Explain a host."""
        return self.hosts.explain(host_id)

    def pool(self, name: str) -> Json:
        """Explain a pool: its budget, its hosts that are out, and its capacity."""
        document = self.source.state.documents.production
        if document is None or name not in document.pools:
            raise UnknownSubjectError(
                codes.ResultCode.POOL_UNKNOWN, f"no pool {name} in production"
            )
        explained = self.capacity.explain(name)
        status = self._pool(name, document.pools[name])
        because = [
            f"{status['available']} of {status['hosts']} hosts are available; the "
            f"budget keeps at least {status['min_available']}"
        ]
        if status["out"]:
            because.append("out: " + ", ".join(status["out"]))
        if status["failed"]:
            because.append("failed: " + ", ".join(status["failed"]))
        if status["ejected"]:
            because.append("ejected: " + ", ".join(status["ejected"]))
        return {
            "subject": explained.subject,
            "state": explained.state,
            "waits_for": explained.waits_for,
            "because": [*because, *explained.because],
            "code": explained.code,
        }

    def wave(self, pool: str) -> explanation.Explanation:
        """Explain the wave of a pool."""
        document = self.source.state.documents.production
        if document is None or pool not in document.pools:
            raise UnknownSubjectError(
                codes.ResultCode.POOL_UNKNOWN, f"no pool {pool} in production"
            )
        return self.waves.explain(pool)

    def request(self, request_id: str) -> Mapping[str, Any]:
        """Explain a recent request that a caller sent to this node."""
        explained = self.requests.explain(request_id)
        if explained is None:
            raise UnknownSubjectError(
                codes.ResultCode.REQUEST_INVALID,
                "this node has received no recent request with this id; ask the node "
                "to which its caller sent it",
            )
        return explained

    def _host_list(self) -> Json:
        latest = self.host_list.latest
        if latest is None:
            return {"age_s": None, "hosts": 0}
        return {
            "age_s": round(self.host_list.age_s, 3),
            "hosts": len(latest.hosts_by_id),
            "leaving": sum(
                host.condition == "leaving" for host in latest.hosts_by_id.values()
            ),
        }

    def _peers(self) -> list[Json]:
        members = self.peers.members
        return [
            {
                "name": peer.name,
                "endpoint": peer.member.endpoint,
                "data_centre": peer.member.data_centre,
                "is_alive": members.is_alive(peer),
                "is_ready": peer.report.is_ready,
                "is_draining": peer.report.is_draining,
                "applied_offset": peer.report.applied_offset,
                "trial_revision": peer.report.trial_revision,
                "production_revision": peer.report.production_revision,
            }
            for peer in members.peers()
        ]

    def _pools(self, document: model.Document) -> list[Json]:
        return [self._pool(name, pool) for name, pool in document.pools.items()]

    def _pool(self, name: str, pool: model.Pool) -> Json:
        hosts = self.source.state.pools.hosts_of(name)
        ejected = self.peers.ejected_host_ids()
        return {
            "name": name,
            "hosts": len(hosts),
            "available": sum(
                host.is_available and host.host_id not in ejected for host in hosts
            ),
            "min_available": pool.budget.min_available,
            "spare": pool.spare,
            "out": [_out_text(host) for host in hosts if host.out is not None],
            "failed": [h.host_id for h in hosts if h.failed_since_ms is not None],
            "ejected": [host.host_id for host in hosts if host.host_id in ejected],
            "lent_in": [host.host_id for host in hosts if host.home != name],
        }

    def _waves(self) -> list[Json]:
        return [
            {
                "pool": wave.pool,
                "wave_id": wave.wave_id,
                "hosts": list(wave.host_ids),
                "started_ms": wave.started_ms,
                "author": wave.author,
            }
            for wave in self.source.state.waves.waves_by_pool.values()
        ]

    def _services(self, document: model.Document) -> list[Json]:
        demands: dict[str, demand.ServiceDemand] = self.peers.demand_by_service()
        services: list[Json] = []
        for name, service in document.services.items():
            owners = self.peers.candidates(name)
            observed = demands.get(name)
            summary: Json = {
                "name": name,
                "pool": service.pool,
                "owner": owners[0].node if owners else None,
                "mean_slots": None if observed is None else observed.mean_slots,
                "refused_per_s": None if observed is None else observed.refused_per_s,
            }
            if owners and owners[0].is_local:
                queue = self.explain_queue(name)
                summary |= {key: queue[key] for key in _QUEUE_KEYS if key in queue}
            services.append(summary)
        return services


def _document_summary(in_force: documents_state.DocumentInForce) -> Json:
    return {
        "revision": in_force.revision,
        "author": in_force.author,
        "log_time_ms": in_force.log_time_ms,
    }


def _out_text(host: pools_state.HostState) -> str:
    if host.out is None:
        return host.host_id
    target = "" if host.out.to_pool is None else f" to {host.out.to_pool}"
    return f"{host.host_id} ({host.out.reason}{target})"
