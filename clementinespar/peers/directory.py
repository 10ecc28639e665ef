"""Directory of the other entry nodes: queue owners, demands and applied revisions."""

import contextlib
import ssl
from collections.abc import AsyncIterator, Callable, Sequence

from clementinespar import options
from clementinespar.capacity import demand
from clementinespar.documents import messages as document_messages
from clementinespar.peers import client, membership, relay, rendezvous, server
from clementinespar.requests import model


class Peers:
    """Live nodes, queue owners and their demands.

    Implements `requests.model.OwnerDirectory` and `capacity.demand.DemandSource`.

    Parameters
    ----------
    settings : options.Settings
        Name of the node, seeds, ports and TLS files.
    local_report : callable
        Returns the current report of this node. Demands of services that other nodes
        own are removed from it.
    can_own : callable
        Whether this node may own queues now; the same as ``is_ready`` in its report,
        but cheaper to compute.
    group_of : callable
        Returns the queue group of a service; services of one group have the same owner.
    on_change : callable
        Called after the set of live nodes or a peer's report has changed.
    """

    members: membership.Membership  # all known nodes
    log_relay: relay.Relay  # entries and snapshots from other nodes
    _settings: options.Settings
    _local_report: Callable[[], membership.Report]
    _can_own: Callable[[], bool]
    _group_of: Callable[[str], str]
    _owner: model.RequestHandler | None  # this node's dispatcher, set while running
    _service: server.PeerService | None  # set while running
    _ssl_context: ssl.SSLContext | None
    _clients_by_endpoint: dict[str, client.PeerClient]

    def __init__(
        self,
        settings: options.Settings,
        local_report: Callable[[], membership.Report],
        can_own: Callable[[], bool],
        group_of: Callable[[str], str] = lambda service: service,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._settings = settings
        self._local_report = local_report
        self._can_own = can_own
        self._group_of = group_of
        self._owner = None
        self._service = None
        self._ssl_context = server.make_ssl_context(
            settings.peers, ssl.Purpose.SERVER_AUTH
        )
        self._clients_by_endpoint = {}
        self.members = membership.Membership(
            settings.node, settings.peers, self._open_link, self._own_report, on_change
        )
        self.log_relay = relay.Relay(self.members, self._clients_by_endpoint.get)

    @contextlib.asynccontextmanager
    async def running(
        self,
        entries: server.EntrySource,
        owner: model.RequestHandler,
        has_targets: Callable[[], bool] = lambda: True,
    ) -> AsyncIterator[int]:
        """Serve the peer protocol and send heartbeats; yield the bound port.

        Parameters
        ----------
        entries : server.EntrySource
            Provides log entries and snapshots for other nodes.
        owner : model.RequestHandler
            This node's own dispatcher.
        has_targets : callable
            Whether the dispatcher has the folded state and the targets. Until then,
            requests of other nodes are refused, so that those nodes try another owner.
        """
        settings = self._settings.peers
        listener = server.bind(settings.address, settings.port)
        port = int(listener.getsockname()[1])
        host = f"[{settings.address}]" if ":" in settings.address else settings.address
        self._owner = owner
        self._service = server.PeerService(
            self.members, entries, owner, settings.max_message_bytes, has_targets
        )
        async with (
            server.serving(self._service, settings, listener),
            self.members.running(f"{host}:{port}"),
        ):
            yield port

    async def wait_idle(self, timeout_s: float) -> list[str]:
        """Wait for forwarded requests to end; return the ids of those still running."""
        return [] if self._service is None else await self._service.wait_idle(timeout_s)

    def _open_link(self, endpoint: str) -> membership.PeerLink:
        for known in [e for e, c in self._clients_by_endpoint.items() if c.is_closed]:
            del self._clients_by_endpoint[known]
        peer_client = client.PeerClient(
            endpoint, self._settings.peers, self._ssl_context
        )
        self._clients_by_endpoint[endpoint] = peer_client
        return peer_client

    def _own_report(self) -> membership.Report:
        report = self._local_report()
        name = self._settings.node.name
        owners = self._possible_owners()
        return membership.Report(
            applied_offset=report.applied_offset,
            oldest_kept_offset=report.oldest_kept_offset,
            is_ready=report.is_ready,
            is_draining=report.is_draining,
            trial_revision=report.trial_revision,
            production_revision=report.production_revision,
            demands=tuple(
                item
                for item in report.demands
                if self._order_nodes(item.service, owners)[:1] == [name]
            ),
            ejected_host_ids=report.ejected_host_ids,
        )

    # Implementation of requests.model.OwnerDirectory.

    def _possible_owners(self) -> list[str]:
        names = [
            peer.name
            for peer in self.members.live_peers()
            if peer.report.is_ready and not peer.report.is_draining
        ]
        if self._can_own() and not self.members.is_superseded:
            names.append(self._settings.node.name)
        return names

    def _order_nodes(self, service: str, nodes: Sequence[str]) -> list[str]:
        return rendezvous.order_nodes(self._group_of(service), nodes)

    def candidates(self, service: str) -> Sequence[model.OwnerCandidate]:
        """Return live nodes in rendezvous order; the first one owns the queue."""
        peers_by_name = {peer.name: peer for peer in self.members.peers()}
        candidates: list[model.OwnerCandidate] = []
        for name in self._order_nodes(service, self._possible_owners()):
            if name == self._settings.node.name:
                if self._owner is not None:
                    candidates.append(model.OwnerCandidate(name, self._owner, True))
                continue
            endpoint = peers_by_name[name].member.endpoint
            peer_client = self._clients_by_endpoint.get(endpoint)
            if peer_client is not None:
                handler = client.RemoteOwner(peer_client, self._settings.node.name)
                candidates.append(model.OwnerCandidate(name, handler, False))
        return candidates

    def has_owner(self) -> bool:
        """Whether any live node may own queues."""
        return bool(self._possible_owners())

    # Implementation of capacity.demand.DemandSource.

    def demand_by_service(self) -> dict[str, demand.ServiceDemand]:
        """Return the demand of each service, as reported by its owner."""
        demands_by_node = {
            peer.name: peer.report.demands for peer in self.members.live_peers()
        }
        demands_by_node[self._settings.node.name] = self._own_report().demands
        found: dict[str, tuple[int, demand.ServiceDemand]] = {}
        for node, demands in demands_by_node.items():
            for item in demands:
                # Immediately after a change of owner two nodes may report a service.
                rank = rendezvous.score(item.service, node)
                if item.service not in found or rank > found[item.service][0]:
                    found[item.service] = (rank, item)
        return {service: item for service, (_, item) in found.items()}

    def ejected_host_ids(self) -> frozenset[str]:
        """Return hosts whose targets the queue owners have ejected."""
        ejected = set(self._local_report().ejected_host_ids)
        for peer in self.members.live_peers():
            ejected |= peer.report.ejected_host_ids
        return frozenset(ejected)

    # Revisions applied by the nodes.

    def nodes_by_revision(
        self, environment: document_messages.Environment, revision: int
    ) -> tuple[list[str], list[str]]:
        """Return the live nodes that have applied a revision, and those that have not.

        A node with a later revision counts as well: revisions only grow, so the earlier
        one was in force on it.
        """
        applied: list[str] = []
        missing: list[str] = []
        own = self._local_report()
        reports = {peer.name: peer.report for peer in self.members.live_peers()}
        reports[self._settings.node.name] = own
        for name, report in sorted(reports.items()):
            node_revision = (
                report.trial_revision
                if environment == "trial"
                else report.production_revision
            )
            (applied if node_revision >= revision else missing).append(name)
        return applied, missing

    def unresponsive_nodes(self) -> list[str]:
        """Return the known nodes that do not answer this one.

        They may be stopped, or cut off from the network and still serving callers with
        an older revision.
        """
        members = self.members
        return [p.name for p in members.peers() if not members.is_alive(p)]

    async def wait_changed(self) -> None:
        """Wait until a peer's report or the set of live nodes changes."""
        await self.members.wait_changed()
