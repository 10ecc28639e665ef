"""Decides how many connections and unanswered bytes of callers a node holds.

A caller may open connections, send header blocks and bodies, and never finish any of
them. Under pressure, those lose that have cost most: bytes held times the time for
which they were held. A small request that arrives whole has cost next to nothing.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable

# Most that a connection takes beside its message: objects and one read buffer in the
# process, and the receive buffer of the kernel.
RECEIVE_BUFFER_BYTES = 32 * 1024
CONNECTION_BYTES = 32 * 1024 + RECEIVE_BUFFER_BYTES
FIELD_BYTES = 256  # of a parsed header field, beside its text
FILE_DESCRIPTORS = 200  # that the platform reserves for files
LINGER_S = 3.0  # a refused body is discarded for so long, so that its sender reads why

_CONNECTIONS_SHARE = 0.25  # of the memory, for connections
_MESSAGES_SHARE = 0.125  # of the memory, for messages that are not answered yet
_DESCRIPTORS_SHARE = 0.5  # of the descriptors; the rest is for the node's own calls
# Under pressure, a header block that takes more of that share is refused before the
# others: it is freed at once, theirs only when their tasks have ended.
_LARGE_HEAD_SHARE = 0.01
# Each choice frees this share of the limit, so that choices are rare beside a crowd.
_RELIEF_SHARE = 0.1


class Phase(enum.Enum):
    """What a connection is doing."""

    WAITING = "waiting"  # nothing of the next message has arrived
    HEADERS = "headers"
    BODY = "body"
    ANSWERING = "answering"  # the message is whole
    REFUSED = "refused"  # answered before it was whole; the rest is discarded
    CLOSED = "closed"  # final; its serving may end a turn of the event loop later


class Reason(enum.StrEnum):
    """Why a connection or its message is refused; label of the counter."""

    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    HEADERS_TOO_SLOW = "headers_too_slow"
    BODY_STOPPED = "body_stopped"  # nothing arrived for the idle time
    IDLE = "idle"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    LINGERING = "lingering"  # a refused body that goes on


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of all connections of a listener together."""

    connections: int
    held_bytes: int  # of messages that are not answered yet


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of each connection."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 256 * 1024
    header_timeout_s: float = 3.0  # from the first byte of a header block to its end
    idle_timeout_s: float = 15.0  # without a byte, between messages and within a body


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """State of one connection; times are those of the event loop."""

    began_at: float  # of the phase
    heard_at: float  # newest byte
    phase: Phase = Phase.WAITING
    head_bytes: int = 0  # held until the message has ended, also if it is refused
    body_bytes: int = 0
    answers: int = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for the message."""
        return self.head_bytes + self.body_bytes

    @property
    def frees_when_refused(self) -> bool:
        """Whether a refusal frees most of the message while the connection is open."""
        return self.body_bytes > self.head_bytes

    def cost(self, now: float) -> float:
        """Return the bytes held times the seconds for which they were."""
        return (self.held_bytes + CONNECTION_BYTES) * (now - self.began_at)


def derive_limits(memory_bytes: float, max_descriptors: int) -> Limits:
    """Return the limits of callers on a machine."""
    descriptors = max(0, max_descriptors - FILE_DESCRIPTORS) * _DESCRIPTORS_SHARE
    by_memory = memory_bytes * _CONNECTIONS_SHARE / CONNECTION_BYTES
    return Limits(
        connections=max(1, int(min(by_memory, descriptors))),
        held_bytes=int(memory_bytes * _MESSAGES_SHARE),
    )


def derive_node_limits(memory_bytes: float, max_descriptors: int) -> Limits:
    """Return the limits of other nodes on a machine.

    They have half of the bytes and of the descriptors of callers. Their connections are
    not limited by memory, since one that is closed may lose a command.
    """
    descriptors = max(0, max_descriptors - FILE_DESCRIPTORS) * _DESCRIPTORS_SHARE
    return Limits(
        connections=max(1, int(descriptors / 2)),
        held_bytes=int(memory_bytes * _MESSAGES_SHARE / 2),
    )


class Intake:
    """The connections of a listener, and what is held for them."""

    limits: Limits
    connections: set[Connection]
    held_bytes: int
    count_by_phase: collections.Counter[Phase]
    count_by_reason: collections.Counter[Reason]

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.connections = set()
        self.held_bytes = 0
        self.count_by_phase = collections.Counter()
        self.count_by_reason = collections.Counter()

    def open(self, now: float) -> Connection:
        """Add a connection."""
        connection = Connection(began_at=now, heard_at=now)
        self.connections.add(connection)
        self.count_by_phase[connection.phase] += 1
        return connection

    def close(self, connection: Connection) -> None:
        """Remove a connection, unless it was removed before."""
        if connection.phase is Phase.CLOSED:
            return
        self._release(connection)
        self.connections.discard(connection)
        self.count_by_phase[connection.phase] -= 1
        connection.phase = Phase.CLOSED

    def begin_message(self, connection: Connection, now: float) -> None:
        """Wait for the next message."""
        self._release(connection)
        if connection.phase is Phase.ANSWERING:
            connection.answers += 1
        self._enter(connection, Phase.WAITING, now)

    def receive(self, connection: Connection, size: int, now: float) -> None:
        """Count bytes that were read from a connection."""
        connection.heard_at = now
        if connection.phase is Phase.WAITING:
            self._enter(connection, Phase.HEADERS, now)
        if connection.phase is Phase.HEADERS:
            connection.head_bytes += size
            self.held_bytes += size
        elif connection.phase is Phase.BODY:
            connection.body_bytes += size
            self.held_bytes += size

    def begin_body(self, connection: Connection, fields: int) -> None:
        """Count a header block that is whole; the time of its message goes on."""
        if connection.phase is Phase.CLOSED:
            return
        self._enter(connection, Phase.BODY, connection.began_at)
        connection.head_bytes += fields * FIELD_BYTES
        self.held_bytes += fields * FIELD_BYTES

    def begin_answer(self, connection: Connection, now: float) -> None:
        """Count a message that is whole; it is held until it is answered."""
        self._enter(connection, Phase.ANSWERING, now)

    def refuse(self, connection: Connection, reason: Reason, now: float) -> None:
        """Count a refused message; its body is not held any more."""
        self.count_by_reason[reason] += 1
        self.held_bytes -= connection.body_bytes
        connection.body_bytes = 0
        self._enter(connection, Phase.REFUSED, now)

    def is_full(self) -> bool:
        """Whether another connection is one too many."""
        return len(self.connections) >= self.limits.connections

    def is_over_memory(self) -> bool:
        """Whether the messages hold too many bytes."""
        return self.held_bytes > self.limits.held_bytes

    def is_head_too_large(self, connection: Connection) -> bool:
        """Whether a whole header block is refused because there is no memory for it."""
        large = self.limits.held_bytes * _LARGE_HEAD_SHARE
        return self.is_over_memory() and connection.head_bytes > large

    def choose_messages(self, now: float) -> list[Connection]:
        """Return the incomplete messages that lose, so that memory is free again.

        What is left of refused messages comes first.
        """
        excess = self.held_bytes - self.limits.held_bytes * (1 - _RELIEF_SHARE)
        incomplete = (Phase.HEADERS, Phase.BODY, Phase.REFUSED)
        chosen = []
        for connection in sorted(
            _by_cost((c for c in self.connections if c.phase in incomplete), now),
            key=lambda c: c.phase is not Phase.REFUSED,
        ):
            if excess <= 0:
                break
            chosen.append(connection)
            excess -= connection.held_bytes
        return chosen

    def choose_connections(self, now: float) -> list[Connection]:
        """Return the connections that are closed so that others can be opened.

        Those with a refused message come first, those that were answered before last.
        A message that is whole is always answered.
        """
        count = int(self.limits.connections * _RELIEF_SHARE) + 1
        open_now = [c for c in self.connections if c.phase is not Phase.ANSWERING]
        ranked = sorted(
            _by_cost(open_now, now),
            key=lambda c: (c.phase is not Phase.REFUSED, c.answers > 0),
        )
        return ranked[:count]

    def find_overdue(
        self, limits: CallerLimits, now: float
    ) -> list[tuple[Connection, Reason]]:
        """Return the connections that have used up the time of their phase."""
        found = []
        for connection in self.connections:
            since_began = now - connection.began_at
            since_heard = now - connection.heard_at
            match connection.phase:
                case Phase.WAITING if since_began > limits.idle_timeout_s:
                    found.append((connection, Reason.IDLE))
                case Phase.HEADERS if since_began > limits.header_timeout_s:
                    found.append((connection, Reason.HEADERS_TOO_SLOW))
                case Phase.BODY if since_heard > limits.idle_timeout_s:
                    found.append((connection, Reason.BODY_STOPPED))
                case Phase.REFUSED if since_began > LINGER_S:
                    found.append((connection, Reason.LINGERING))
        return found

    def _enter(self, connection: Connection, phase: Phase, now: float) -> None:
        if connection.phase is Phase.CLOSED:
            return
        self.count_by_phase[connection.phase] -= 1
        self.count_by_phase[phase] += 1
        connection.phase = phase
        connection.began_at = now

    def _release(self, connection: Connection) -> None:
        self.held_bytes -= connection.held_bytes
        connection.head_bytes = connection.body_bytes = 0


def _by_cost(connections: Iterable[Connection], now: float) -> list[Connection]:
    return sorted(connections, key=lambda c: c.cost(now), reverse=True)
