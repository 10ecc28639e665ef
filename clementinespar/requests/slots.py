"""Exact count of the slots in use at each target.

A slot is in use by an attempt of this node, or it is in doubt: the target may still run
something that this node no longer follows, such as an attempt that timed out or work of
a previous owner. Doubt ends only by what the target's ``/status`` says.
"""

import dataclasses

# Attempts sent or answered within this time of a status read may or may not be part of
# it; the longest one-way latency between data centres of a region is far below.
SETTLE_S = 0.05
# Under constant short work no attempt spans a status read by SETTLE_S on both sides.
# When doubt has lasted for HOLD_AFTER_S, the target gets no new work for HOLD_S before
# a read, so that most attempts end and what it still runs can be told apart.
PAUSE_AFTER_S = 5.0
PAUSE_S = 0.2


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
    in_doubt: int = 0  # slots that the target may still use for something else
    in_doubt_since: float = 0.0  # event-loop time of the newest doubt
    is_status_known: bool = (
        False  # the target's own status was read since ownership began
    )
    is_reading: bool = False  # a status read is in flight
    next_read_at: float = 0.0  # event-loop time before which no status is read
    last_used_at: float = 0.0  # event-loop time of the newest attempt
    read_began_at: float = 0.0  # event-loop time of the newest status read
    is_paused: bool = False  # gets no new work until the status read ends
    paused_at: float = 0.0  # event-loop time of the newest hold

    @property
    def in_use(self) -> int:
        """Slots in use or in doubt."""
        return len(self.uses) + self.in_doubt

    @property
    def free(self) -> int:
        """Slots that new work may use."""
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
        """Take a slot for an attempt."""
        use = SlotUse(request_id, now, is_long, team, is_borrowed=is_borrowed)
        self.uses[id(use)] = use
        self.last_used_at = now
        return use

    def release(self, use: SlotUse, is_certain: bool, now: float) -> None:
        """Give a slot back; it stays in doubt unless the target is certainly done."""
        if use.is_released:
            return
        use.is_released = True
        del self.uses[id(use)]
        if not is_certain:
            self.add_in_doubt(1, now)

    def add_in_doubt(self, count: int, now: float) -> None:
        """Count slots as in use by something that this node does not follow."""
        self.in_doubt = min(self.slots, self.in_doubt + count)
        self.in_doubt_since = now

    def needs_pause(self, now: float) -> bool:
        """Whether ordinary reads have not ended the doubt for some time."""
        return (
            self.is_status_known
            and self.in_doubt > 0
            and now - max(self.in_doubt_since, self.paused_at) > PAUSE_AFTER_S
        )

    def uses_before(self, at: float) -> list[SlotUse]:
        """Return the attempts in flight that were sent before a time."""
        return [use for use in self.uses.values() if use.started_at <= at]

    def apply_status(
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
        max_in_doubt = max(0, busy_slots - certain_uses)
        # The target may have given its count before an attempt reached it that has been
        # in doubt since; the next read tells.
        is_newly_in_doubt = self.in_doubt_since >= self.read_began_at
        if is_first:
            min_in_doubt = self.in_doubt if is_newly_in_doubt else 0
            self.in_doubt = min(self.slots, max(max_in_doubt, min_in_doubt))
            self.in_doubt_since = now
        elif not is_newly_in_doubt:
            self.in_doubt = min(self.in_doubt, max_in_doubt)
