"""Membership of the entry nodes, learned from seeds and heartbeats.

One task per endpoint sends a heartbeat every interval. Of two nodes, the one whose name
comes later sends only every third one while it hears the other, which tells both sides
all. A node counts as alive while it is heard and its replies arrive, so one that can be
heard but not reached is not.

Each reply names the node behind the endpoint: a different node may answer at an old
address, and a replaced node may answer at a new one. A node keeps its name across
replacement; its incarnation tells the successor from the predecessor.
"""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from typing import Protocol

import logbook

from clementinespar import errors, options
from clementinespar.capacity import demand
from clementinespar.peers import peer_pb2

_log = logbook.Logger("peers.membership")

# Heartbeats to a dead endpoint are this many intervals apart, first and after many
# failures. It bounds the cost of endpoints that never return and the time until a
# healed one is noticed.
_DEAD_ENDPOINT_INTERVALS = 4
_LONG_DEAD_ENDPOINT_INTERVALS = 20
_LONG_DEAD_FAILURES = 30
# Member lists are sent on change and, rarely, without one: two nodes that forgot each
# other while they were apart learn of each other again from a third one.
_LIST_REFRESH_INTERVALS = 60
# Regions lose contact for an hour now and then, and the seeds may be replaced
# meanwhile. Nodes that forgot each other by then would stay apart.
FORGET_AFTER_S = 7_200.0
# While the node whose name comes earlier is heard, its heartbeats take the place of two
# of three own ones. All heartbeats of nine nodes cost 0.8% of a core on each node.
_OWN_INTERVALS = 3
_HEARD_INTERVALS = 1.5  # a node heard this long ago is still heard
# Bounds what a process that invents names can make a node remember.
MAX_MEMBERS = 1_000
# A node that started within this time is a newcomer, which replaces a node of its name.
# Two newcomers of one name outbid each other until the older one is none and gives way.
_NEWCOMER_INTERVALS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Identity of an entry node."""

    name: str
    endpoint: str  # IP:port of the peer protocol
    data_centre: str
    incarnation: int  # a replaced node has a higher one under the same name


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a node last said about itself."""

    applied_offset: int = -1  # last entry applied, -1 when none
    oldest_kept_offset: int = 0  # oldest entry that the node can relay
    is_ready: bool = False
    is_draining: bool = False
    trial_revision: int = 0
    production_revision: int = 0
    demands: tuple[demand.ServiceDemand, ...] = ()  # of services that it owns
    ejected_host_ids: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class PeerState:
    """What this node knows of another one."""

    member: Member
    report: Report
    mentioned_at: float  # loop time of the last message from or list with the node
    answered_at: float | None = None  # loop time of its last reply to a heartbeat
    heard_at: float = float("-inf")  # loop time of its last own heartbeat

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

    def renew(self) -> None:
        """Use a fresh connection for the next call."""
        ...

    def close(self) -> None:
        """Close all connections."""
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
        Returns what this node says about itself now.
    on_change : callable
        Called after the set of live nodes or a peer's report changed.
    incarnation : int, optional
        Start time in milliseconds of wall time; the current time by default.
    """

    is_superseded: bool  # a later incarnation of this node's name is running
    _peers_by_name: dict[str, PeerState]
    _endpoints_by_address: dict[str, _Endpoint]
    _tasks_by_address: dict[str, asyncio.Task[None]]
    _member: Member | None  # this node, once its endpoint is known
    _incarnation: int
    _started_at: float  # loop time
    _version: int  # changes with every change of the member list
    _live_members: tuple[Member, ...]  # members of the last computed list
    _checked_at: float | None  # loop time of the last look at the clock
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
        upkeep = asyncio.create_task(self._keep_up(), name="peers-upkeep")
        try:
            yield
        finally:
            tasks = [upkeep, *self._tasks_by_address.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for endpoint_state in self._endpoints_by_address.values():
                endpoint_state.link.close()
            self._endpoints_by_address.clear()
            self._tasks_by_address.clear()

    # What other parts ask.

    @property
    def name(self) -> str:
        """Name of this node."""
        return self._node.name

    @property
    def incarnation(self) -> int:
        """Incarnation of this node."""
        return self._incarnation

    def peers(self) -> Sequence[PeerState]:
        """Return all nodes known, the dead ones included, by name."""
        return [self._peers_by_name[name] for name in sorted(self._peers_by_name)]

    def is_alive(self, peer: PeerState) -> bool:
        """Whether a node answered one of the last heartbeats."""
        return self._is_alive_at(peer, self._note_clock())

    def _is_alive_at(self, peer: PeerState, now: float) -> bool:
        if peer.answered_at is None:
            return False
        interval_s = self._settings.heartbeat_interval_s
        # The half interval lets the last of the heartbeats be answered.
        limit_s = interval_s * (self._settings.missed_heartbeats + 0.5)
        if self._is_main_sender(peer.name):
            return now - peer.answered_at < limit_s
        return now - max(
            peer.answered_at, peer.heard_at
        ) < limit_s and now - peer.answered_at < limit_s + interval_s * (
            _OWN_INTERVALS - 1
        )

    def _is_main_sender(self, name: str) -> bool:
        """Whether this one of two nodes sends heartbeats every interval."""
        return self.name < name

    def live_peers(self) -> Sequence[PeerState]:
        """Return the other live nodes by name."""
        now = self._note_clock()
        return [peer for peer in self.peers() if self._is_alive_at(peer, now)]

    async def wait_changed(self) -> None:
        """Wait until a peer's report or the set of live nodes changes."""
        await self._changed.wait()

    async def announce(self) -> None:
        """Send heartbeats to all live nodes now, and wait until each has ended.

        Takes at most about two heartbeat intervals.
        """
        addresses = [peer.member.endpoint for peer in self.live_peers()]
        # A heartbeat under way may carry the report from before the change, so one
        # that starts from now on must end: that is the second one when one is
        # under way.
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
        """Take in a heartbeat of another node and return the reply."""
        is_accepted = self._take_in(message)
        peer = self._peers_by_name.get(message.sender.name)
        # A sender that does not know of the others, or whose name has a later
        # incarnation, is told at once. A live one is told in the next heartbeat.
        is_newcomer = not is_accepted or peer is None or peer.answered_at is None
        if is_accepted and peer is not None:
            peer.heard_at = asyncio.get_running_loop().time()
        # Whoever gives its full identity may not know this node's.
        return self._message(
            with_members=is_newcomer,
            with_identity=is_newcomer or bool(message.sender.endpoint),
        )

    def _message(
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
        """Return the members to tell others of.

        Only nodes that answer this one are listed, so a dead node is not passed on for
        ever. The list also has nodes that were heard but did not answer yet, so that a
        newcomer under a name in use learns of the incarnation in use.
        """
        for peer in self.peers():
            if self._is_recent(peer):
                yield peer.member

    def _is_recent(self, peer: PeerState) -> bool:
        """Whether a node answers, or was heard or mentioned a moment ago."""
        now = self._note_clock()
        limit_s = self._settings.heartbeat_interval_s * _DEAD_ENDPOINT_INTERVALS
        return self._is_alive_at(peer, now) or now - peer.mentioned_at < limit_s

    def _take_in(self, message: peer_pb2.HeartbeatMessage) -> bool:
        """Update the members from a message; False if its sender is superseded."""
        for listed in message.members[:MAX_MEMBERS]:
            member = _member_from(listed)
            if member.endpoint and _is_valid(member):
                self._learn(member, is_direct=False)
        sender = _member_from(message.sender)
        if not _is_valid(sender):
            return False
        if sender.name == self.name:
            self._hear_own_name(sender)
            return sender.incarnation >= self._incarnation
        if not self._learn(sender, is_direct=True):
            return False
        peer = self._peers_by_name.get(sender.name)
        if peer is not None:
            self._take_report(peer, message)
        return True

    def _learn(self, member: Member, is_direct: bool) -> bool:
        """Add or update a member; False if a later incarnation is known."""
        if member.name == self.name:
            self._hear_own_name(member)
            return False
        now = asyncio.get_running_loop().time()
        known = self._peers_by_name.get(member.name)
        if known is not None and _is_later(known.member, member):
            if not is_direct or self._is_recent(known):
                return False
            # Nothing is left of the later incarnation, but this one speaks: its clock
            # was behind, or the later one is cut off and will supersede it again.
            known = None
        if known is None or _is_later(member, known.member):
            is_full = known is None and len(self._peers_by_name) >= MAX_MEMBERS
            if not member.endpoint or is_full:
                # The full identity follows: the sender sees that this node does not
                # know it by the member list in the reply.
                return False
            self._peers_by_name[member.name] = PeerState(member, Report(), now)
            self._adjust_tasks()
            self._notify()
            return True
        if is_direct or self._is_listing_fresh(known):
            known.mentioned_at = now
        return True

    def _is_listing_fresh(self, peer: PeerState) -> bool:
        return peer.answered_at is None or not self.is_alive(peer)

    def _hear_own_name(self, member: Member) -> None:
        """React to a member under this node's own name.

        A newcomer takes a higher incarnation, whatever the wall clocks say. Any other
        node was replaced while it was paused or cut off.
        """
        if self._member is None or not self._is_rival(member):
            return
        # Only a predecessor can have had this node's own port.
        if self._is_newcomer() or member.endpoint == self._member.endpoint:
            self._incarnation = member.incarnation + 1
            self._member = dataclasses.replace(
                self._member, incarnation=self._incarnation
            )
        elif _is_later(member, self._member) and not self.is_superseded:
            self.is_superseded = True
            self._notify()

    def _is_newcomer(self) -> bool:
        """Whether this node has just started."""
        interval_s = self._settings.heartbeat_interval_s
        age_s = asyncio.get_running_loop().time() - self._started_at
        return age_s < _NEWCOMER_INTERVALS * interval_s

    def _is_rival(self, member: Member) -> bool:
        """Whether a member under this node's name is another process, as new or newer.

        A listing of this node itself has its endpoint and at most its incarnation.
        """
        own = self._member
        if own is None or member.name != own.name:
            return False
        if member.incarnation == own.incarnation:
            return bool(member.endpoint) and member.endpoint != own.endpoint
        return member.incarnation > own.incarnation

    def _take_report(self, peer: PeerState, message: peer_pb2.HeartbeatMessage) -> None:
        now = asyncio.get_running_loop().time()
        old = peer.report
        # Replies and requests can cross, so what only grows is kept at its maximum,
        # and a node that drains never takes work again in this incarnation.
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

    # Tasks.

    def _adjust_tasks(self) -> None:
        """Keep one heartbeat task for each seed and each member's endpoint."""
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
            endpoint.link.close()
        # Sorted: the order of a set of texts differs between processes, and tests with
        # a paused clock must run alike each time.
        for address in sorted(wanted):
            if address not in self._tasks_by_address:
                endpoint = _Endpoint(self._link_factory(address))
                self._endpoints_by_address[address] = endpoint
                self._tasks_by_address[address] = asyncio.create_task(
                    self._exchange(address, endpoint), name=f"peer-{address}"
                )

    async def _exchange(self, address: str, endpoint: _Endpoint) -> None:
        """Send heartbeats to one endpoint for as long as it is wanted."""
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
                    endpoint.link.renew()
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
        """Whether the other node's heartbeats take the place of an own one now."""
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
            now - peer.heard_at < interval_s * _HEARD_INTERVALS
            and now - peer.answered_at < interval_s * (_OWN_INTERVALS - 0.5)
        )

    async def _heartbeat_once(self, address: str, endpoint: _Endpoint) -> bool:
        now = asyncio.get_running_loop().time()
        interval_s = self._settings.heartbeat_interval_s
        version = self._refresh_version()
        with_members = (
            endpoint.known_version != version
            or now - endpoint.listed_at > interval_s * _LIST_REFRESH_INTERVALS
        )
        message = self._message(with_members, with_identity=with_members)
        try:
            reply = await endpoint.link.heartbeat(message, interval_s)
        except errors.PeerUnavailableError as error:
            if endpoint.failures == 0:
                _log.debug("no heartbeat from {}: {}", address, error)
            endpoint.known_version = -1
            return False
        except Exception:
            # The task must outlive a fault in one exchange.
            _log.exception("a heartbeat with {} failed", address)
            endpoint.known_version = -1
            return False
        sender = _member_from(reply.sender)
        if (
            sender.name == self.name
            and sender.incarnation == message.sender.incarnation
        ):
            # A seed that is this node itself, perhaps by another of its addresses.
            return True
        is_new = (sender.name, sender.incarnation) != (
            endpoint.name,
            endpoint.incarnation,
        )
        endpoint.name, endpoint.incarnation = sender.name, sender.incarnation
        is_accepted = self._take_in(reply)
        if is_new or not is_accepted:
            # The answering node may not know this one; tell it everything next time.
            endpoint.known_version = -1
        elif with_members:
            endpoint.known_version = version
            endpoint.listed_at = now
        elif reply.members:
            # The other node did not know the sender of a message without an endpoint.
            endpoint.known_version = -1
        peer = self._peers_by_name.get(sender.name)
        if peer is None or peer.member.incarnation != sender.incarnation:
            return True
        was_alive = self.is_alive(peer)
        peer.answered_at = asyncio.get_running_loop().time()
        if not was_alive:
            self._notify()
        return True

    async def _keep_up(self) -> None:
        """Notice dead nodes, and forget those that have been dead for long."""
        while True:
            await asyncio.sleep(self._settings.heartbeat_interval_s)
            oldest = self._note_clock() - FORGET_AFTER_S
            forgotten = [
                peer.name
                for peer in self._peers_by_name.values()
                if max(peer.mentioned_at, peer.answered_at or 0.0) < oldest
            ]
            for name in forgotten:
                del self._peers_by_name[name]
            if forgotten:
                self._adjust_tasks()
            self._refresh_version()

    def _note_clock(self) -> float:
        """Return the loop time, and discount time in which this process did not run.

        A node that wakes after a pause has not missed replies: it sent nothing. Nodes
        that were alive get the usual number of heartbeats to answer.
        """
        now = asyncio.get_running_loop().time()
        if self._checked_at is not None:
            pause_s = now - self._checked_at
            if pause_s > 2 * self._settings.heartbeat_interval_s:
                for peer in self._peers_by_name.values():
                    peer.mentioned_at += pause_s
                    peer.heard_at += pause_s
                    if peer.answered_at is not None:
                        peer.answered_at += pause_s
        self._checked_at = now
        return now

    def _refresh_version(self) -> int:
        """Return the version of the member list, a new one if it has changed."""
        members = tuple(peer.member for peer in self.live_peers())
        if members != self._live_members:
            for member in set(members) - set(self._live_members):
                _log.info("node {} at {} is alive", member.name, member.endpoint)
            for member in set(self._live_members) - set(members):
                _log.notice("node {} at {} is gone", member.name, member.endpoint)
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

    Equal incarnations are rare; the endpoint then decides, alike on every node. A
    message without an endpoint is from the member whose incarnation it has.
    """
    if member.incarnation != other.incarnation:
        return member.incarnation > other.incarnation
    return bool(other.endpoint) and member.endpoint > other.endpoint


def _is_valid(member: Member) -> bool:
    """Whether a member from the network can be used; its endpoint may be missing."""
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
