"""The shares of the teams' caps that one partition holds; decisions of its owner.

A task of a team with a cap starts only if the use of the team in the partition and the
task fit the share. Use counts each run from its start until its end is listed.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from clementinespar.jobs import model, quota_messages, resources, team_use

# No task that uses a limited resource fits.
_BLOCKED = resources.ZERO


class StaleLedgerError(Exception):
    """A recall of a ledger that a later one has replaced."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """Ready tasks of a team that wait.

    Attributes
    ----------
    count : int
        Their number.
    lasting : resources.Resources
        What the long-running ones among them use.
    """

    count: int
    lasting: resources.Resources


NOTHING_WAITS = Waiting(0, resources.ZERO)


class QuotaShares:
    """The owner's side of the shares of one partition."""

    shares: dict[str, resources.Resources]  # by team; missing: the share is unknown
    caps: Mapping[str, resources.Resources]  # of the teams that have one
    lack: dict[str, resources.Resources]  # what did not fit in the last round, by team
    _least_lack: dict[str, resources.Resources]  # what the smallest start of it needs
    ledger_epoch: int  # highest that was seen
    is_settled: bool  # all runs in the partition are known
    changed: set[str]  # teams whose share has changed since this was cleared last
    _use: team_use.TeamUse
    _limits: dict[str, resources.Resources]  # the lower of share and cap
    # Teams whose shares may exceed the cap in sum, since the cap was lowered or the
    # owner does not know under which cap its share was granted. Nothing of them starts
    # until the ledger has answered under this version of the configuration.
    _unconfirmed: dict[str, int]
    _version: int | None  # of the configuration; None: none was applied yet
    _is_blocked: bool
    _number: int  # of the last request
    _in_flight: int  # number of the request that awaits its response; 0: none
    _recalled: set[str]  # teams recalled since that request was made

    def __init__(self, use: team_use.TeamUse) -> None:
        self.shares = {}
        self.caps = {}
        self.lack = {}
        self._least_lack = {}
        self.ledger_epoch = 0
        self.is_settled = False
        self.changed = set()
        self._use = use
        self._limits = {}
        self._unconfirmed = {}
        self._version = None
        self._is_blocked = False
        self._number = 0
        self._in_flight = 0
        self._recalled = set()

    # Checks before starts.

    def fits(self, team: str, spec: model.StepSpec, count: int = 1) -> bool:
        """Whether the share of a team has room for `count` more tasks of a step."""
        limit = self._limits.get(team)
        if limit is None:
            return True  # no team, or no cap
        use = self._use.by_team.get(team, resources.ZERO)
        return _fit(
            count * spec.cpu_millis,
            count * spec.memory_mb,
            count * spec.gpus,
            use,
            limit,
        )

    def keeps_room(self, team: str, spec: model.StepSpec) -> bool:
        """Whether a task that is stopped could start again after its end is listed.

        The room that its end leaves is kept for it: tasks of long-running jobs are
        placed first, and a recall leaves what the waiting ones need.
        """
        limit = self._limits.get(team)
        if limit is None:
            return True
        use = self._use.by_team.get(team, resources.ZERO)
        return all(
            not need or bound < 0 or used <= bound
            for need, used, bound in zip(team_use.needs(spec), use, limit, strict=True)
        )

    def note_lack(
        self,
        team: str,
        wanted: resources.Resources,
        least: resources.Resources | None = None,
    ) -> None:
        """Record what ready tasks need that did not fit the share.

        Parameters
        ----------
        least : resources.Resources or None
            What the first of them needs to start. None: they start only together.
        """
        least = wanted if least is None else least
        self.lack[team] = self.lack.get(team, resources.ZERO).plus(wanted)
        self._least_lack[team] = self._least_lack.get(team, least).min_with(least)

    def begin_round(self) -> None:
        """Forget what was lacking before this round of placement."""
        self.lack.clear()
        self._least_lack.clear()

    # Policy and state of the owner.

    def set_caps(
        self, caps: Mapping[str, resources.Resources], version: int = 0
    ) -> None:
        """Apply the caps of a version of the configuration.

        A share says nothing about a resource that had no limit, so a share is unknown
        after the cap of its team limits one more resource. After a cap was lowered, no
        task of its team starts until the ledger has lowered the shares.
        """
        for team in {*self.caps, *caps}:
            cap = caps.get(team)
            if cap is None:
                self.shares.pop(team, None)
                self._unconfirmed.pop(team, None)
                continue
            old_cap = self.caps.get(team, resources.ZERO)
            pairs = list(zip(cap, old_cap, strict=True))
            is_new = any(new and not old for new, old in pairs)
            is_lower = any(new and new < old for new, old in pairs)
            if is_new:
                self.shares.pop(team, None)
            if self._version is not None and (is_new or is_lower):
                self._unconfirmed[team] = version
        self.caps = dict(caps)
        self._version = version
        self._update_limits()

    def set_blocked(self, is_blocked: bool) -> None:
        """Let no task of a team with a cap start, since the caps may be outdated."""
        if is_blocked != self._is_blocked:
            self._is_blocked = is_blocked
            self._update_limits()

    def settle(self) -> None:
        """Record that all runs in the partition are known.

        An owner that does not know the share of its partition holds what is running
        there: the earlier owner cannot have held less.
        """
        if not self.is_settled:
            self.is_settled = True
            self._update_limits()

    def _update_limits(self) -> None:
        if self.is_settled:
            for team, cap in self.caps.items():
                if team not in self.shares:
                    self._claim(team, cap)
        self._limits = {
            team: _BLOCKED.restrict(cap, resources.UNLIMITED)
            if self._is_blocked or team in self._unconfirmed or team not in self.shares
            else self.shares[team].min_with(cap).restrict(cap, resources.UNLIMITED)
            for team, cap in self.caps.items()
        }

    def _claim(self, team: str, cap: resources.Resources) -> resources.Resources:
        """Hold what may be running here, until the ledger has confirmed it.

        Before all runs are known, this counts what earlier owners may have started. A
        new ledger needs to know no more to give the rest of the cap to others, so one
        partition with unresponsive workers does not hold up the starts of all.
        """
        use = self._use.by_team.get(team, resources.ZERO)
        share = use.restrict(cap, resources.UNLIMITED)
        self.shares[team] = share
        self._unconfirmed[team] = self._version or 0
        self.changed.add(team)
        return share

    # Messages.

    def make_request(
        self, partition: int, epoch: int, teams: Iterable[str]
    ) -> quota_messages.Request | None:
        """Return a request for what some teams lack, or None if it is not needed.

        An earlier request is abandoned: its response has no effect any more.
        """
        held: dict[str, resources.Resources] = {}
        wanted = {}
        for team in teams:
            cap = self.caps.get(team)
            need = self.lack.get(team)
            if cap is None or need is None or self._is_blocked:
                continue
            use = self._use.by_team.get(team, resources.ZERO)
            share = self.shares.get(team)
            missing = use.plus(need).min_with(cap).minus(share or resources.ZERO)
            missing = missing.without_negative().restrict(cap, 0)
            is_confirmed = share is not None and team not in self._unconfirmed
            if is_confirmed and not any(missing):
                continue
            wanted[team] = missing
            if share is not None:
                held[team] = share
        if not wanted:
            return None
        self._number += 1
        self._in_flight = self._number
        self._recalled.clear()
        is_known = len(held) == len(wanted)
        return quota_messages.Request(
            partition, epoch, self._number, held if is_known else None, wanted
        )

    def abandon(self) -> None:
        """Give up the request that awaits its response."""
        self._in_flight = 0

    def apply_response(self, number: int, response: quota_messages.Response) -> None:
        """Apply the response to a request, unless it is abandoned or outdated."""
        if number != self._in_flight or response.ledger_epoch < self.ledger_epoch:
            return
        self._in_flight = 0
        self.ledger_epoch = response.ledger_epoch
        for team, granted in response.shares.items():
            cap = self.caps.get(team)
            # A recall was answered after the request, so the ledger does not count on
            # what it may have granted before.
            if cap is None or team in self._recalled:
                continue
            if response.version >= self._unconfirmed.get(team, 0):
                self._unconfirmed.pop(team, None)
            before = self.shares.get(team, resources.ZERO)
            share = resources.Resources(
                *(
                    resources.UNLIMITED
                    if not limit
                    else max(new, 0)
                    if new >= 0
                    else old
                    for limit, new, old in zip(cap, granted, before, strict=True)
                )
            )
            if share != self.shares.get(team):
                self.shares[team] = share
                self.changed.add(team)
        self._update_limits()

    def may_start(self, team: str) -> bool:
        """Whether a task that did not fit before may start now."""
        least = self._least_lack.get(team)
        limit = self._limits.get(team)
        if least is None or limit is None:
            return True
        return _fit(*least, self._use.by_team.get(team, resources.ZERO), limit)

    def recall(
        self,
        epoch: int,
        recall: quota_messages.Recall,
        waiting_by_team: Mapping[str, Waiting],
    ) -> quota_messages.RecallResponse:
        """Give back what is not used, or half of it if tasks of the team wait.

        Where the waiting tasks do not fit what is left, it is of no use here and given
        back as a whole. Otherwise, parts too small for a task would go to and fro
        between the partitions that lack room.

        Raises
        ------
        StaleLedgerError
            A later ledger is known.
        """
        if recall.ledger_epoch < self.ledger_epoch:
            raise StaleLedgerError
        self.ledger_epoch = recall.ledger_epoch
        shares = {}
        for team in recall.teams:
            cap = self.caps.get(team)
            share = self.shares.get(team)
            if cap is None:
                continue
            if share is None:
                share = self._claim(team, cap)
            self._recalled.add(team)
            waiting = waiting_by_team.get(team, NOTHING_WAITS)
            kept = self._use.by_team.get(team, resources.ZERO).plus(waiting.lasting)
            spare = share.minus(kept).without_negative()
            if waiting.count and team not in self.lack:
                spare = resources.Resources(*(amount // 2 for amount in spare))
            if any(spare):
                share = share.minus(spare).restrict(cap, resources.UNLIMITED)
                self.shares[team] = share
                self.changed.add(team)
            shares[team] = share
        self._update_limits()
        return quota_messages.RecallResponse(epoch, shares, self.is_settled)


def _fit(
    cpu_millis: int,
    memory_mb: int,
    gpus: int,
    use: resources.Resources,
    limit: resources.Resources,
) -> bool:
    """Whether more use fits a limit; what is not needed is not checked."""
    return (
        (not cpu_millis or limit[0] < 0 or use[0] + cpu_millis <= limit[0])
        and (not memory_mb or limit[1] < 0 or use[1] + memory_mb <= limit[1])
        and (not gpus or limit[2] < 0 or use[2] + gpus <= limit[2])
    )
