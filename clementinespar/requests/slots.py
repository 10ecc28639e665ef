"""Exact count of the slots in use at each target.

A slot is in use by an attempt of this node, or it is in doubt: the target may still run
something that this node no longer follows, such as an attempt that timed out or work of
a previous owner. Doubt ends only by what the target's ``/status`` says.
"""

import dataclasses

# Attempts sent or answered within this time of a status read may or may not be part of
# it; the longest one-way latency between data centres of a region is far below.
SETTLE_S = 0.05
# Under constant short work no attempt spans a status read by SETTLE_S on both sides, so
# after this time the busy slots beyond all own attempts are taken as the doubt.
MAX_DOUBT_S = 10.0


@dataclasses.dataclass(slots=True, eq=False)
class SlotUse:
    """One attempt that holds a slot."""

    request_id: str
    started_at: float  # event-loop time
    is_long: bool = False  # of the long class, or has outlived the short one
    team: str | None = None
    is_released: bool = False
    is_borrowed: bool = False  # by a service of another pool


@dataclasses.dataclass(slots=True)
class TargetSlots:
    """Slots of one target, as its queue owner counts them."""

    host_id: str
    slots: int  # most slots in use at once
    uses: dict[int, SlotUse] = dataclasses.field(default_factory=dict)  # by identity
    reported_slots: int = 1024  # slots that the target itself stated
    doubtful: int = 0  # slots that the target may still use for something else
    doubtful_since: float = 0.0  # event-loop time of the newest doubt
    is_read: bool = False  # the target's own status was read since ownership began
    is_reading: bool = False  # a status read is in flight
    next_read_at: float = 0.0  # event-loop time before which no status is read
    last_used_at: float = 0.0  # event-loop time of the newest attempt
    read_began_at: float = 0.0  # event-loop time of the newest status read
    # Own attempts that were in flight at any moment since the status read began.
    seen_during_read: int = 0

    @property
    def in_use(self) -> int:
        """Slots in use or in doubt."""
        return len(self.uses) + self.doubtful

    @property
    def free(self) -> int:
        """Slots that new work may use."""
        return max(0, self.slots - self.in_use) if self.is_read else 0

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
        """Take a slot for an attempt."""
        use = SlotUse(request_id, now, is_long, team, is_borrowed=is_borrowed)
        self.uses[id(use)] = use
        self.last_used_at = now
        self.seen_during_read += 1
        return use

    def release(self, use: SlotUse, is_certain: bool, now: float) -> None:
        """Give a slot back; it stays in doubt unless the target is certainly done."""
        if use.is_released:
            return
        use.is_released = True
        del self.uses[id(use)]
        if not is_certain:
            self.add_doubt(1, now)

    def add_doubt(self, count: int, now: float) -> None:
        """Count slots as in use by something that this node does not follow."""
        self.doubtful = min(self.slots, self.doubtful + count)
        self.doubtful_since = now

    def begin_read(self, now: float) -> None:
        """Note that a status read starts."""
        self.is_reading = True
        self.read_began_at = now
        self.seen_during_read = len(self.uses)

    def uses_before(self, at: float) -> list[SlotUse]:
        """Return the attempts in flight that were sent before a time."""
        return [use for use in self.uses.values() if use.started_at <= at]

    def finish_read(
        self, busy_slots: int, certain_uses: int, now: float, is_first: bool
    ) -> None:
        """Bring the doubt in line with the target's own count.

        Parameters
        ----------
        busy_slots : int
            Slots in use at the target at the moment of the read.
        certain_uses : int
            Own attempts that the target certainly ran at that moment.
        now : float
            Event-loop time.
        is_first : bool
            The first read since ownership began: work of others may be running.
        """
        upper = max(0, busy_slots - certain_uses)
        if is_first:
            self.doubtful = min(self.slots, upper)
            self.doubtful_since = now
        elif self.doubtful_since >= self.read_began_at:
            # The target may have given its count before the newest doubt's attempt
            # reached it; the next read tells.
            return
        elif now - self.doubtful_since > MAX_DOUBT_S:
            self.doubtful = min(
                self.doubtful, max(0, busy_slots - self.seen_during_read)
            )
        else:
            self.doubtful = min(self.doubtful, upper)
