"""Counts the unanswered bytes that a node holds for callers."""

import collections
import dataclasses
import enum

FIELD_BYTES = 256  # of a parsed header field, beside its text
LINGER_S = 3.0  # a refused body is discarded for so long, so that its sender reads why


class Phase(enum.Enum):
    """What a connection is doing."""

    WAITING = "waiting"  # nothing of the next message has arrived
    HEADERS = "headers"
    BODY = "body"
    ANSWERING = "answering"  # the message is whole
    REFUSED = "refused"  # answered before it was whole; the rest is discarded


class Reason(enum.StrEnum):
    """Why a connection or its message is refused; label of the counter."""

    BODY_TOO_LARGE = "body_too_large"
    LINGERING = "lingering"  # a refused body that goes on


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of each connection."""

    max_body_bytes: int = 256 * 1024


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """State of one connection; times are those of the event loop."""

    began_at: float  # of the phase
    heard_at: float  # newest byte
    phase: Phase = Phase.WAITING
    head_bytes: int = 0  # held until the message has ended, also if it is refused
    body_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for the message."""
        return self.head_bytes + self.body_bytes


class Intake:
    """The connections of a listener, and what is held for them."""

    connections: set[Connection]
    held_bytes: int
    count_by_phase: collections.Counter[Phase]
    count_by_reason: collections.Counter[Reason]

    def __init__(self) -> None:
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
        if connection not in self.connections:
            return
        self._release(connection)
        self.connections.discard(connection)
        self.count_by_phase[connection.phase] -= 1

    def begin_message(self, connection: Connection, now: float) -> None:
        """Wait for the next message."""
        self._release(connection)
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

    def find_overdue(self, now: float) -> list[tuple[Connection, Reason]]:
        """Return the connections that have used up the time of their phase."""
        found = []
        for connection in self.connections:
            since_began = now - connection.began_at
            match connection.phase:
                case Phase.REFUSED if since_began > LINGER_S:
                    found.append((connection, Reason.LINGERING))
        return found

    def _enter(self, connection: Connection, phase: Phase, now: float) -> None:
        self.count_by_phase[connection.phase] -= 1
        self.count_by_phase[phase] += 1
        connection.phase = phase
        connection.began_at = now

    def _release(self, connection: Connection) -> None:
        self.held_bytes -= connection.held_bytes
        connection.head_bytes = connection.body_bytes = 0
