"""Membership of the entry nodes, discovered from seeds and heartbeats.

One task per endpoint sends a heartbeat every interval. Of two nodes, the one whose name
sorts later sends only every third heartbeat while it receives those of the other: a
heartbeat and its reply inform both sides. A node counts as alive while its heartbeats
or replies arrive and it still answers this node. A node whose heartbeats arrive but
which cannot be reached is dead.

Each reply names the node behind the endpoint: a different node may answer at an old
address, and a replaced node may answer at a new one. A node keeps its name across
replacement; its incarnation distinguishes the successor from the predecessor.
"""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from typing import Any, Protocol

import logbook

from clementinespar import background, errors, options
from clementinespar.capacity import demand
from clementinespar.peers import peer_pb2

_log = logbook.Logger("peers.membership")

# Intervals between heartbeats to a dead endpoint, at first and after many failures.
# They bound the cost of endpoints that never return and the time until a recovered one
# is detected.
_DEAD_ENDPOINT_INTERVALS = 4
_LONG_DEAD_ENDPOINT_INTERVALS = 20
_LONG_DEAD_FAILURES = 30
# Member lists are sent on change and also at this interval, so that two nodes which
# forgot each other during a network partition find each other again through a third.
_LIST_REFRESH_INTERVALS = 60
# Regions occasionally lose contact for an hour, and the seeds may be replaced in that
# time. Nodes that forget each other sooner would not find each other again.
FORGET_AFTER_S = 7_200.0
# While heartbeats of the node whose name sorts earlier arrive, they replace two of
# three own heartbeats. All heartbeats of nine nodes cost 0.8% of a core on each node.
_REDUCED_SENDER_INTERVALS = 3
_HEARTBEAT_FRESH_INTERVALS = 1.5  # maximum age of the other node's last heartbeat
# Bounds the memory that a process which sends invented names can take up.
MAX_MEMBERS = 1_000
# A node that started within this time replaces another node of its name. Two such nodes
# of one name raise their incarnations in turn until the older one exceeds this age and
# is superseded.
_RECENT_START_INTERVALS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Identity of an entry node."""

    name: str
    endpoint: str  # IP:port of the peer protocol
    data_centre: str
    incarnation: int  # a replaced node has a higher one under the same name


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Last status that a node reported about itself."""

    applied_offset: int = -1  # last entry applied, -1 when none
    oldest_kept_offset: int = 0  # offset of the oldest entry that the node can relay
    is_ready: bool = False
    is_draining: bool = False
    trial_revision: int = 0
    production_revision: int = 0
    demands: tuple[demand.ServiceDemand, ...] = ()  # of services that it owns
    ejected_host_ids: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class PeerState:
    """State of another node, as known to this one."""

    member: Member
    report: Report
    # Loop time of the last message from it or, while it does not answer, of the last
    # member list that contains it.
    mentioned_at: float
    answered_at: float | None = None  # loop time of its last reply to a heartbeat
    # Loop time at which its last own heartbeat arrived; replies do not count.
    heartbeat_received_at: float = float("-inf")

    @property
    def name(self) -> str:
        """The node's name."""
        return self.member.name


class PeerLink(Protocol):
    """Connection to the node behind one endpoint."""

    async def heartbeat(
        self, message: peer_pb2.HeartbeatMessage, timeout_s: float
    ) -> peer_pb2.HeartbeatMessage:
        """Exchange heartbeats.

        Raises
        ------
        errors.PeerUnavailableError
            No reply came in time.
        """
        ...

    def reset_connection(self) -> None:
        """Use a new connection for the next call."""
        ...

    def close(self) -> None:
        """Close all connections."""
        ...

    async def wait_closed(self) -> None:
        """Wait until all connections are closed."""
        ...


@dataclasses.dataclass(slots=True)
class _Endpoint:
    """Heartbeat task of one endpoint."""

    link: PeerLink
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    rounds: int = 0  # completed heartbeats, answered or missed
    failures: int = 0  # missed heartbeats since the last reply
    known_version: int = -1  # member list version that the node has acknowledged
    listed_at: float = float("-inf")  # loop time of the last list it acknowledged
    incarnation: int = 0  # incarnation that answered last
    name: str | None = None  # node that answered last


class Membership:
    """Live entry nodes, as seen from this one.

    Parameters
    ----------
    node : options.NodeSettings
        Name and data centre of this node.
    settings : options.PeersSettings
        Seeds and heartbeat times.
    link_factory : callable
        Opens a `PeerLink` to an endpoint.
    local_report : callable
        Returns the current report of this node.
    on_change : callable
        Called after the set of live nodes or a peer's report has changed.
    incarnation : int, optional
        Start time in milliseconds of wall time; the current time by default.
    """

    is_superseded: bool  # a later incarnation of this node's name is running
    _peers_by_name: dict[str, PeerState]
    _endpoints_by_address: dict[str, _Endpoint]
    _tasks_by_address: dict[str, asyncio.Task[None]]
    _removed_tasks: set[asyncio.Task[Any]]  # of removed endpoints, until they end
    _closing_links: background.Tasks  # wait for links of removed endpoints
    _member: Member | None  # this node, once its endpoint is known
    _incarnation: int
    _started_at: float  # loop time
    _version: int  # changes with every change of the member list
    _live_members: tuple[Member, ...]  # members of the last computed list
    _checked_at: float | None  # loop time of the last check for a pause
    _changed: asyncio.Event  # set and replaced on every change

    def __init__(
        self,
        node: options.NodeSettings,
        settings: options.PeersSettings,
        link_factory: Callable[[str], PeerLink],
        local_report: Callable[[], Report],
        on_change: Callable[[], None] = lambda: None,
        incarnation: int | None = None,
    ) -> None:
        self._node = node
        self._settings = settings
        self._link_factory = link_factory
        self._local_report = local_report
        self._on_change = on_change
        self.is_superseded = False
        self._peers_by_name = {}
        self._endpoints_by_address = {}
        self._tasks_by_address = {}
        self._removed_tasks = set()
        self._closing_links = background.Tasks()
        self._member = None
        if incarnation is None:
            incarnation = time.time_ns() // 1_000_000
        self._incarnation = incarnation
        self._started_at = float("inf")
        self._version = 0
        self._live_members = ()
        self._checked_at = None
        self._changed = asyncio.Event()

    @contextlib.asynccontextmanager
    async def running(self, endpoint: str) -> AsyncIterator[None]:
        """Send heartbeats while the context is entered.

        Parameters
        ----------
        endpoint : str
            ``IP:port`` at which the other nodes reach this one.
        """
        self._member = Member(
            self._node.name, endpoint, self._node.data_centre, self._incarnation
        )
        self._started_at = asyncio.get_running_loop().time()
        self._adjust_tasks()
        expiry_task = asyncio.create_task(
            self._expire_members_periodically(), name="peers-expiry"
        )
        try:
            yield
        finally:
            tasks = [expiry_task, *self._tasks_by_address.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            links = [state.link for state in self._endpoints_by_address.values()]
            for link in links:
                link.close()
            await background.end_all(self._removed_tasks)
            await asyncio.gather(
                *(link.wait_closed() for link in links),
                *self._closing_links.pending(),
            )
            self._endpoints_by_address.clear()
            self._tasks_by_address.clear()

    # Queries.

    @property
    def name(self) -> str:
        """Name of this node."""
        return self._node.name

    @property
    def incarnation(self) -> int:
        """Incarnation of this node."""
        return self._incarnation

    def peers(self) -> Sequence[PeerState]:
        """Return all known nodes, including dead ones, sorted by name."""
        return [self._peers_by_name[name] for name in sorted(self._peers_by_name)]

    def is_alive(self, peer: PeerState) -> bool:
        """Whether a node has answered one of the last heartbeats."""
        return self._is_alive_at(peer, self._now_compensating_pauses())

    def _is_alive_at(self, peer: PeerState, now: float) -> bool:
        if peer.answered_at is None:
            return False
        interval_s = self._settings.heartbeat_interval_s
        # The half interval leaves time for the reply to the last heartbeat.
        limit_s = interval_s * (self._settings.missed_heartbeats + 0.5)
        if self._is_main_sender(peer.name):
            return now - peer.answered_at < limit_s
        return now - max(
            peer.answered_at, peer.heartbeat_received_at
        ) < limit_s and now - peer.answered_at < limit_s + interval_s * (
            _REDUCED_SENDER_INTERVALS - 1
        )

    def _is_main_sender(self, name: str) -> bool:
        """Whether this node, not the named one, sends heartbeats every interval."""
        return self.name < name

    def live_peers(self) -> Sequence[PeerState]:
        """Return the other live nodes, sorted by name."""
        now = self._now_compensating_pauses()
        return [peer for peer in self.peers() if self._is_alive_at(peer, now)]

    async def wait_changed(self) -> None:
        """Wait until a peer's report or the set of live nodes changes."""
        await self._changed.wait()

    async def announce(self) -> None:
        """Send heartbeats to all live nodes now and wait until each is completed.

        Takes at most about two heartbeat intervals.
        """
        addresses = [peer.member.endpoint for peer in self.live_peers()]
        # A heartbeat in progress may carry the report from before the change, so a
        # heartbeat that starts after this point must complete. That is the second one
        # to complete if one is in progress.
        goals = {
            address: self._endpoints_by_address[address].rounds + 2
            for address in addresses
            if address in self._endpoints_by_address
        }
        timeout_s = self._settings.heartbeat_interval_s * 3
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                for address, goal in goals.items():
                    await self._wait_rounds(address, goal)

    async def _wait_rounds(self, address: str, goal: int) -> None:
        while True:
            endpoint = self._endpoints_by_address.get(address)
            if endpoint is None or endpoint.rounds >= goal:
                return
            endpoint.wake.set()
            changed = self._changed
            await changed.wait()

    # Messages.

    def on_heartbeat(
        self, message: peer_pb2.HeartbeatMessage
    ) -> peer_pb2.HeartbeatMessage:
        """Process a heartbeat of another node and return the reply."""
        is_accepted = self._process_message(message)
        peer = self._peers_by_name.get(message.sender.name)
        # The reply has the member list if the sender may not know the other nodes, or
        # if a later incarnation of its name is known. A live sender gets the list with
        # the next heartbeat of this node.
        needs_full_reply = not is_accepted or peer is None or peer.answered_at is None
        if is_accepted and peer is not None:
            peer.heartbeat_received_at = asyncio.get_running_loop().time()
        # A sender that includes its full identity may not know this node's.
        return self._make_message(
            with_members=needs_full_reply,
            with_identity=needs_full_reply or bool(message.sender.endpoint),
        )

    def _make_message(
        self, with_members: bool, with_identity: bool
    ) -> peer_pb2.HeartbeatMessage:
        own = self._member
        if own is None:
            raise errors.PeerUnavailableError("this node has not started yet")
        report = self._local_report()
        sender = peer_pb2.Member(name=own.name, incarnation=own.incarnation)
        if with_identity:
            sender.endpoint = own.endpoint
            sender.data_centre = own.data_centre
        message = peer_pb2.HeartbeatMessage(
            sender=sender,
            applied_offset=report.applied_offset,
            oldest_kept_offset=report.oldest_kept_offset,
            is_ready=report.is_ready and not self.is_superseded,
            is_draining=report.is_draining,
            trial_revision=report.trial_revision,
            production_revision=report.production_revision,
            ejected_host_ids=sorted(report.ejected_host_ids),
            demands=[
                peer_pb2.DemandMessage(
                    service=item.service,
                    mean_slots=item.mean_slots,
                    refused_per_s=item.refused_per_s,
                )
                for item in report.demands
            ],
        )
        if with_members:
            message.members.extend(
                peer_pb2.Member(
                    name=member.name,
                    endpoint=member.endpoint,
                    data_centre=member.data_centre,
                    incarnation=member.incarnation,
                )
                for member in self._listed_members()
            )
        return message

    def _listed_members(self) -> Iterable[Member]:
        """Return the members to send to other nodes.

        Dead nodes are left out; otherwise the nodes would keep them alive in each
        other's lists for ever. Nodes that were mentioned recently but have not answered
        yet are listed, so that a new node whose name is in use receives the incarnation
        in use.
        """
        for peer in self.peers():
            if self._is_recent(peer):
                yield peer.member

    def _is_recent(self, peer: PeerState) -> bool:
        """Whether a node is alive or was mentioned recently."""
        now = self._now_compensating_pauses()
        limit_s = self._settings.heartbeat_interval_s * _DEAD_ENDPOINT_INTERVALS
        return self._is_alive_at(peer, now) or now - peer.mentioned_at < limit_s

    def _process_message(self, message: peer_pb2.HeartbeatMessage) -> bool:
        """Update the members from a message.

        Returns False if the sender is invalid, not added or superseded.
        """
        for listed in message.members[:MAX_MEMBERS]:
            member = _member_from(listed)
            if member.endpoint and _is_valid(member):
                self._add_or_update_member(member, is_sender=False)
        sender = _member_from(message.sender)
        if not _is_valid(sender):
            return False
        if sender.name == self.name:
            self._resolve_name_conflict(sender)
            return sender.incarnation >= self._incarnation
        if not self._add_or_update_member(sender, is_sender=True):
            return False
        peer = self._peers_by_name.get(sender.name)
        if peer is not None:
            self._update_report(peer, message)
        return True

    def _add_or_update_member(self, member: Member, is_sender: bool) -> bool:
        """Add or update a member; return False if it is not accepted.

        A member is not accepted if a later incarnation is known, unless that one no
        longer responds and this one sent the message (``is_sender``). A member with
        this node's name is not accepted either, nor a new one without an endpoint or
        beyond `MAX_MEMBERS`.
        """
        if member.name == self.name:
            self._resolve_name_conflict(member)
            return False
        now = asyncio.get_running_loop().time()
        known = self._peers_by_name.get(member.name)
        if known is not None and _is_later(known.member, member):
            if not is_sender or self._is_recent(known):
                return False
            # The later incarnation no longer responds, and this one sends messages:
            # its clock was behind, or the later one is cut off from the network and
            # will supersede it again.
            known = None
        if known is None or _is_later(member, known.member):
            is_full = known is None and len(self._peers_by_name) >= MAX_MEMBERS
            if not member.endpoint or is_full:
                # The member list in the reply shows the sender that it is unknown here,
                # and it then sends its full identity.
                return False
            self._peers_by_name[member.name] = PeerState(member, Report(), now)
            self._adjust_tasks()
            self._notify()
            return True
        if is_sender or self._is_unresponsive(known):
            known.mentioned_at = now
        return True

    def _is_unresponsive(self, peer: PeerState) -> bool:
        """Whether a node has never answered or no longer answers."""
        return peer.answered_at is None or not self.is_alive(peer)

    def _resolve_name_conflict(self, member: Member) -> None:
        """Raise the incarnation or mark this node as superseded, if its name is in use.

        A recently started node takes a higher incarnation, regardless of wall clocks.
        Any other node was replaced while it was paused or cut off.
        """
        if self._member is None or not self._is_name_conflict(member):
            return
        # Only a predecessor can have had this node's own endpoint.
        if self._is_recently_started() or member.endpoint == self._member.endpoint:
            self._incarnation = member.incarnation + 1
            self._member = dataclasses.replace(
                self._member, incarnation=self._incarnation
            )
        elif _is_later(member, self._member) and not self.is_superseded:
            self.is_superseded = True
            self._notify()

    def _is_recently_started(self) -> bool:
        """Whether this node started less than `_RECENT_START_INTERVALS` ago."""
        interval_s = self._settings.heartbeat_interval_s
        age_s = asyncio.get_running_loop().time() - self._started_at
        return age_s < _RECENT_START_INTERVALS * interval_s

    def _is_name_conflict(self, member: Member) -> bool:
        """Whether a member is another process of this node's name, as new or newer.

        An entry for this node itself in a list has this node's endpoint and at most
        its incarnation.
        """
        own = self._member
        if own is None or member.name != own.name:
            return False
        if member.incarnation == own.incarnation:
            return bool(member.endpoint) and member.endpoint != own.endpoint
        return member.incarnation > own.incarnation

    def _update_report(
        self, peer: PeerState, message: peer_pb2.HeartbeatMessage
    ) -> None:
        now = asyncio.get_running_loop().time()
        old = peer.report
        # Replies and requests can overtake each other. Fields that only grow are kept
        # at their maximum, and draining is never undone within an incarnation.
        report = Report(
            applied_offset=max(old.applied_offset, message.applied_offset),
            oldest_kept_offset=message.oldest_kept_offset,
            is_ready=message.is_ready,
            is_draining=old.is_draining or message.is_draining,
            trial_revision=max(old.trial_revision, message.trial_revision),
            production_revision=max(
                old.production_revision, message.production_revision
            ),
            demands=tuple(
                demand.ServiceDemand(
                    item.service, item.mean_slots, item.refused_per_s, now
                )
                for item in message.demands
            ),
            ejected_host_ids=frozenset(message.ejected_host_ids),
        )
        peer.report = report
        if report != old:
            self._notify()

    # Background tasks.

    def _adjust_tasks(self) -> None:
        """Run one heartbeat task for each seed and each member's endpoint."""
        own = self._member
        if own is None:
            return
        wanted = {peer.member.endpoint for peer in self._peers_by_name.values()}
        wanted.update(self._settings.seeds)
        wanted.discard(own.endpoint)
        current = asyncio.current_task()
        for address in [a for a in self._tasks_by_address if a not in wanted]:
            task = self._tasks_by_address.pop(address)
            endpoint = self._endpoints_by_address.pop(address)
            if task is not current:
                task.cancel()
            self._removed_tasks.add(task)
            task.add_done_callback(self._removed_tasks.discard)
            endpoint.link.close()
            self._closing_links.start(endpoint.link.wait_closed())
        # Sorted, because the order of a set of strings differs between processes and
        # tests with a paused clock must be reproducible.
        for address in sorted(wanted):
            if address not in self._tasks_by_address:
                endpoint = _Endpoint(self._link_factory(address))
                self._endpoints_by_address[address] = endpoint
                self._tasks_by_address[address] = asyncio.create_task(
                    self._exchange_heartbeats(address, endpoint), name=f"peer-{address}"
                )

    async def _exchange_heartbeats(self, address: str, endpoint: _Endpoint) -> None:
        """Send heartbeats to one endpoint until its task is replaced or removed."""
        loop = asyncio.get_running_loop()
        interval_s = self._settings.heartbeat_interval_s
        while self._endpoints_by_address.get(address) is endpoint:
            started_at = loop.time()
            if endpoint.wake.is_set() or not self._may_skip(address, endpoint):
                endpoint.wake.clear()
                is_answered = await self._heartbeat_once(address, endpoint)
                endpoint.rounds += 1
                if is_answered:
                    endpoint.failures = 0
                else:
                    endpoint.failures += 1
                    endpoint.link.reset_connection()
                self._notify()
            pause_s = interval_s
            if endpoint.failures > self._settings.missed_heartbeats:
                pause_s *= (
                    _LONG_DEAD_ENDPOINT_INTERVALS
                    if endpoint.failures > _LONG_DEAD_FAILURES
                    else _DEAD_ENDPOINT_INTERVALS
                )
            pause_s = max(0.0, started_at + pause_s - loop.time())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await endpoint.wake.wait()

    def _may_skip(self, address: str, endpoint: _Endpoint) -> bool:
        """Whether the other node's heartbeats make an own one unnecessary now."""
        peer = self._peers_by_name.get(endpoint.name or "")
        if (
            peer is None
            or self._is_main_sender(peer.name)
            or peer.answered_at is None
            or peer.member.endpoint != address
            or peer.member.incarnation != endpoint.incarnation
            or endpoint.failures
            or endpoint.known_version != self._refresh_version()
        ):
            return False
        now = asyncio.get_running_loop().time()
        interval_s = self._settings.heartbeat_interval_s
        return (
            now - peer.heartbeat_received_at < interval_s * _HEARTBEAT_FRESH_INTERVALS
            and now - peer.answered_at < interval_s * (_REDUCED_SENDER_INTERVALS - 0.5)
        )

    async def _heartbeat_once(self, address: str, endpoint: _Endpoint) -> bool:
        now = asyncio.get_running_loop().time()
        interval_s = self._settings.heartbeat_interval_s
        version = self._refresh_version()
        with_members = (
            endpoint.known_version != version
            or now - endpoint.listed_at > interval_s * _LIST_REFRESH_INTERVALS
        )
        message = self._make_message(with_members, with_identity=with_members)
        try:
            reply = await endpoint.link.heartbeat(message, interval_s)
        except errors.PeerUnavailableError as error:
            if endpoint.failures == 0:
                _log.debug("no heartbeat reply from {}: {}", address, error)
            endpoint.known_version = -1
            return False
        except Exception:
            # An unexpected error in one exchange must not end the task.
            _log.exception("a heartbeat to {} failed", address)
            endpoint.known_version = -1
            return False
        sender = _member_from(reply.sender)
        if (
            sender.name == self.name
            and sender.incarnation == message.sender.incarnation
        ):
            # The seed is this node itself, possibly under another of its addresses.
            return True
        is_new = (sender.name, sender.incarnation) != (
            endpoint.name,
            endpoint.incarnation,
        )
        endpoint.name, endpoint.incarnation = sender.name, sender.incarnation
        is_accepted = self._process_message(reply)
        if is_new or not is_accepted:
            # The node that answered may not know this one, so the next heartbeat
            # carries the full identity and the member list.
            endpoint.known_version = -1
        elif with_members:
            endpoint.known_version = version
            endpoint.listed_at = now
        elif reply.members:
            # The other node did not know this one, whose message had no endpoint.
            endpoint.known_version = -1
        peer = self._peers_by_name.get(sender.name)
        if peer is None or peer.member.incarnation != sender.incarnation:
            return True
        was_alive = self.is_alive(peer)
        peer.answered_at = asyncio.get_running_loop().time()
        if not was_alive:
            self._notify()
        return True

    async def _expire_members_periodically(self) -> None:
        """Detect dead nodes, and remove those dead for longer than FORGET_AFTER_S."""
        while True:
            await asyncio.sleep(self._settings.heartbeat_interval_s)
            cutoff = self._now_compensating_pauses() - FORGET_AFTER_S
            forgotten = [
                peer.name
                for peer in self._peers_by_name.values()
                if max(peer.mentioned_at, peer.answered_at or 0.0) < cutoff
            ]
            for name in forgotten:
                del self._peers_by_name[name]
            if forgotten:
                self._adjust_tasks()
            self._refresh_version()

    def _now_compensating_pauses(self) -> float:
        """Return the loop time; exclude a pause of this process from peers' ages.

        After a pause no replies are missing, since no heartbeats were sent. Nodes that
        were alive get the usual number of heartbeats to answer.
        """
        now = asyncio.get_running_loop().time()
        if self._checked_at is not None:
            pause_s = now - self._checked_at
            if pause_s > 2 * self._settings.heartbeat_interval_s:
                for peer in self._peers_by_name.values():
                    peer.mentioned_at += pause_s
                    peer.heartbeat_received_at += pause_s
                    if peer.answered_at is not None:
                        peer.answered_at += pause_s
        self._checked_at = now
        return now

    def _refresh_version(self) -> int:
        """Return the version of the member list, increased if the list has changed."""
        members = tuple(peer.member for peer in self.live_peers())
        if members != self._live_members:
            for member in set(members) - set(self._live_members):
                _log.info("node {} at {} is alive", member.name, member.endpoint)
            for member in set(self._live_members) - set(members):
                _log.notice("node {} at {} is dead", member.name, member.endpoint)
            self._live_members = members
            self._version += 1
            self._notify()
        return self._version

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        self._on_change()


def _is_later(member: Member, other: Member) -> bool:
    """Whether a member supersedes another one of its name.

    Equal incarnations are rare; the endpoint then decides in the same way on every
    node. A message without an endpoint comes from the member of its incarnation.
    """
    if member.incarnation != other.incarnation:
        return member.incarnation > other.incarnation
    return bool(other.endpoint) and member.endpoint > other.endpoint


def _is_valid(member: Member) -> bool:
    """Whether a received member is valid; its endpoint may be missing."""
    if not options.is_name(member.name):
        return False
    try:
        return not member.endpoint or bool(options.check_endpoint(member.endpoint))
    except ValueError:
        return False


def _member_from(message: peer_pb2.Member) -> Member:
    return Member(
        message.name, message.endpoint, message.data_centre, message.incarnation
    )
