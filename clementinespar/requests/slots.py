"""Exact count of the slots in use at each target.

A slot is in use by an attempt of this node, or it is in doubt: the target may still run
work that this node does not track, such as an attempt that timed out or work of a
previous owner. Only the target's ``/status`` resolves slots in doubt.
"""

import dataclasses

# Attempts sent or answered within this time of a status read may or may not be included
# in it. The longest one-way latency between data centres of a region is far below this.
SETTLE_S = 0.05
# Under constant short work, no attempt spans a status read by SETTLE_S on both sides,
# so reads cannot resolve slots in doubt. If some remain for PAUSE_AFTER_S, the target
# gets no new work for PAUSE_S before a read: most attempts then end, and the busy slots
# that it still reports are mostly those of untracked work.
PAUSE_AFTER_S = 5.0
PAUSE_S = 0.2


@dataclasses.dataclass(slots=True, eq=False)
class SlotUse:
    """One attempt that occupies a slot."""

    request_id: str
    started_at: float  # event-loop time
    is_long: bool = False  # in the long class, or has exceeded the limit of short work
    team: str | None = None
    is_released: bool = False
    is_borrowed: bool = False  # by a service of another pool


@dataclasses.dataclass(slots=True)
class TargetSlots:
    """Slots of one target, as counted by the owner of its queue."""

    host_id: str
    slots: int  # limit on the slots in use at once
    uses: dict[int, SlotUse] = dataclasses.field(default_factory=dict)  # by identity
    reported_slots: int = 1024  # slots that the target itself reported
    in_doubt: int = 0  # slots that may be occupied by work this node does not track
    in_doubt_since: float = 0.0  # event-loop time at which slots were last added to it
    is_status_known: bool = False  # the status was read since ownership began
    is_reading: bool = False  # a status read is in flight
    next_read_at: float = 0.0  # event-loop time before which no status is read
    last_used_at: float = 0.0  # event-loop time of the newest attempt
    read_began_at: float = 0.0  # event-loop time of the newest status read
    is_paused: bool = False  # gets no new work until the status read ends
    pause_ended_at: float = 0.0  # event-loop time at which the newest pause ended

    @property
    def in_use(self) -> int:
        """Slots in use or in doubt."""
        return len(self.uses) + self.in_doubt

    @property
    def free(self) -> int:
        """Slots that are free for new work."""
        if self.is_paused or not self.is_status_known:
            return 0
        return max(0, self.slots - self.in_use)

    @property
    def borrowed(self) -> int:
        """Slots in use by services of other pools."""
        return sum(use.is_borrowed for use in self.uses.values())

    def acquire(
        self,
        request_id: str,
        is_long: bool,
        team: str | None,
        now: float,
        is_borrowed: bool = False,
    ) -> SlotUse:
        """Acquire a slot for an attempt."""
        use = SlotUse(request_id, now, is_long, team, is_borrowed=is_borrowed)
        self.uses[id(use)] = use
        self.last_used_at = now
        return use

    def release(self, use: SlotUse, is_certain: bool, now: float) -> None:
        """Release a slot; it becomes in doubt unless the target certainly finished."""
        if use.is_released:
            return
        use.is_released = True
        del self.uses[id(use)]
        if not is_certain:
            self.add_in_doubt(1, now)

    def add_in_doubt(self, count: int, now: float) -> None:
        """Count slots as occupied by work that this node does not track."""
        self.in_doubt = min(self.slots, self.in_doubt + count)
        self.in_doubt_since = now

    def needs_pause(self, now: float) -> bool:
        """Whether status reads without a pause have not resolved the slots in doubt."""
        return (
            self.is_status_known
            and self.in_doubt > 0
            and now - max(self.in_doubt_since, self.pause_ended_at) > PAUSE_AFTER_S
        )

    def uses_before(self, at: float) -> list[SlotUse]:
        """Return the attempts in flight that were sent before a time."""
        return [use for use in self.uses.values() if use.started_at <= at]

    def apply_status(
        self, busy_slots: int, certain_uses: int, now: float, is_first: bool
    ) -> None:
        """Update the slots in doubt from the target's own count.

        Parameters
        ----------
        busy_slots : int
            Slots in use at the target at the moment of the read.
        certain_uses : int
            Own attempts that the target certainly ran at that moment.
        now : float
            Event-loop time.
        is_first : bool
            Whether this is the first read since ownership began or the slots were
            invalidated, so that the target may run work of other nodes.
        """
        max_in_doubt = max(0, busy_slots - certain_uses)
        # The target's count may precede the arrival of an attempt whose slot came into
        # doubt during the read; the next read includes it.
        is_newly_in_doubt = self.in_doubt_since >= self.read_began_at
        if is_first:
            min_in_doubt = self.in_doubt if is_newly_in_doubt else 0
            self.in_doubt = min(self.slots, max(max_in_doubt, min_in_doubt))
            self.in_doubt_since = now
        elif not is_newly_in_doubt:
            self.in_doubt = min(self.in_doubt, max_in_doubt)
