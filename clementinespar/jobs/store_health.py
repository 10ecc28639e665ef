"""Whether calls that append commands are answered, and which commands were sent.

Plain state without input or output, filled by `command_routes`.
"""

import collections
import dataclasses
import math

# Calls on a route that were without an answer for this long mean that the route is
# silent, and calls are given up after the same time. A slow store may need most of it
# to answer.
STORE_UNAVAILABLE_S = 1.0
# A call without an answer says nothing about a call that begins this much later. A node
# gets a submission every 3 s, so a shorter time would let each find out by itself.
EVIDENCE_MAX_AGE_S = 10.0
# Time between two probes of a silent route. The interval doubles with each probe that
# has no answer: its caller may not repeat an unsafe job.
PROBE_INTERVAL_S = 0.3
PROBE_INTERVAL_MAX_S = 1.2
# The fate of a sent command is kept for longer than callers repeat a submission (four
# attempts of 3 s, and the pauses between them).
FATE_RETENTION_S = 120.0
MAX_FATES = 10_000  # about 3 MB


class RouteHealth:
    """Answers to the calls on one route to the store.

    Attributes
    ----------
    latency_s : float
        How long the last call took, or remained without an answer.
    stored_at : float
        Event-loop time of the last call that was answered with success.
    has_stored_last : bool
        Whether the last call was answered with success.
    """

    latency_s: float
    stored_at: float
    has_stored_last: bool
    _pending: dict[int, float]  # call number: event-loop time at which it was sent
    _next_call: int
    _unanswered_since: float | None  # sending of the first call without an answer
    _unanswered_until: float  # latest time at which that call or a later one had none
    _is_probed: bool
    _probed_at: float
    _probe_interval_s: float

    def __init__(self) -> None:
        self.latency_s = 0.0
        self.stored_at = -math.inf
        self.has_stored_last = False
        self._pending = {}
        self._next_call = 0
        self._unanswered_since = None
        self._unanswered_until = -math.inf
        self._is_probed = False
        self._probed_at = -math.inf
        self._probe_interval_s = PROBE_INTERVAL_S

    def begin(self, now: float) -> int:
        """Record that a call is sent; returns its number."""
        is_old = now - self._unanswered_until > EVIDENCE_MAX_AGE_S
        is_silent = self.silent_since(now, STORE_UNAVAILABLE_S) is not None
        if is_old and not is_silent and not self._pending:
            self._unanswered_since = None
        self._next_call += 1
        self._pending[self._next_call] = now
        return self._next_call

    def note_answer(self, call: int, now: float, is_stored: bool) -> None:
        """Record that a call was answered, by success or by a refusal."""
        sent_at = self._pending.pop(call)
        self._unanswered_since = None
        self._unanswered_until = -math.inf
        self._probe_interval_s = PROBE_INTERVAL_S
        self.has_stored_last = is_stored
        if is_stored:
            self.latency_s = now - sent_at
            self.stored_at = now

    def note_loss(self, call: int, now: float) -> None:
        """Record that a call was given up without an answer."""
        sent_at = self._pending.pop(call)
        self.latency_s = now - sent_at
        self.has_stored_last = False
        if self._unanswered_since is None:
            self._unanswered_since = sent_at
        self._unanswered_until = now

    def note_effect(self) -> None:
        """Record that calls without an answer have had their effect.

        What is lost are the answers, so the route is not silent.
        """
        self._unanswered_since = None

    def silent_since(self, now: float, limit_s: float) -> float | None:
        """Return since when the route is silent, or None if it is not.

        It is if calls had no answer for `limit_s`, and none was answered in between.
        """
        since = self._unanswered_since
        until = self._unanswered_until
        if self._pending:
            oldest = next(iter(self._pending.values()))
            since = oldest if since is None else min(since, oldest)
            until = now
        if since is None or until - since < limit_s:
            return None
        return since

    def pending_s(self, now: float) -> float:
        """Return how long the oldest call in flight has had no answer."""
        return now - next(iter(self._pending.values()), now)

    def is_losing(self, now: float, pending_s: float) -> bool:
        """Whether the last call had no answer, or one waits longer than `pending_s`."""
        if self.pending_s(now) > pending_s:
            return True
        return now - self._unanswered_until <= EVIDENCE_MAX_AGE_S

    def may_probe(self, now: float) -> bool:
        """Whether a call may find out now if the silent route is back."""
        is_due = now - self._probed_at >= self._probe_interval_s
        return is_due and not self._is_probed

    def begin_probe(self, now: float) -> None:
        """Let no other probe begin until this one has ended."""
        self._is_probed = True
        self._probed_at = now
        self._probe_interval_s = min(PROBE_INTERVAL_MAX_S, 2 * self._probe_interval_s)

    def end_probe(self) -> None:
        """Let the next probe begin once it is due."""
        self._is_probed = False


@dataclasses.dataclass(slots=True)
class _Fate:
    """What is known of the appends of one command."""

    sent_at: float
    pending: int = 0
    is_lost: bool = False  # an append had no answer
    stored_in: set[int] = dataclasses.field(default_factory=set)  # partitions


class SentCommands:
    """The commands for which this node has sent an append, by their keys.

    A command may be called refused only if no append of it was sent, or each was
    refused.
    """

    _fates: "collections.OrderedDict[str, _Fate]"

    def __init__(self) -> None:
        self._fates = collections.OrderedDict()

    def begin(self, key: str, now: float) -> None:
        """Record that an append of the command is sent."""
        fate = self._fates.setdefault(key, _Fate(now))
        fate.sent_at = now
        fate.pending += 1
        self._fates.move_to_end(key)
        self._drop_old(now)

    def note_outcome(
        self, key: str, partition: int, is_stored: bool, is_refused: bool
    ) -> None:
        """Record what is known of an append; neither of both: it may have an effect."""
        fate = self._fates.get(key)
        if fate is None:
            return
        fate.pending -= 1
        if is_stored:
            fate.stored_in.add(partition)
        fate.is_lost |= not is_stored and not is_refused
        if not (fate.pending or fate.is_lost or fate.stored_in):
            del self._fates[key]

    def may_be_stored(self, key: str) -> bool:
        """Whether an append was sent that was not refused."""
        return key in self._fates

    def find_stored(self, key: str) -> frozenset[int]:
        """Return the partitions in which the command is certainly stored."""
        fate = self._fates.get(key)
        return frozenset() if fate is None else frozenset(fate.stored_in)

    def _drop_old(self, now: float) -> None:
        while self._fates:
            fate = next(iter(self._fates.values()))
            is_old = now - fate.sent_at > FATE_RETENTION_S
            if not is_old and len(self._fates) <= MAX_FATES:
                return
            self._fates.popitem(last=False)
