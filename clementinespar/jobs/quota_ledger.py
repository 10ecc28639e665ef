"""The ledger of the teams' caps: decisions about the share of each partition.

What a partition holds is never more than the share that is recorded for it here, and
the sum of the recorded shares of a team exceeds its cap only after the cap was lowered.
So the running tasks of a team fit its cap, whatever messages are lost or late.

A record is lowered only by what its owner says that it holds. While a recall has no
answer, requests of the same partition for the same team change nothing: it would be
open which of the two answers the owner has seen last.
"""

from collections.abc import Collection, Iterable, Mapping

from clementinespar.jobs import quota_messages, resources


class _PartitionRecord:
    """What the ledger knows about one partition."""

    __slots__ = ("epoch", "number", "granted_epoch", "shares", "recalled", "wanted")

    epoch: int  # highest epoch of its owners that was seen
    number: int  # of the last request under this epoch
    granted_epoch: int  # of the owner to which the shares belong
    shares: dict[str, resources.Resources]  # missing: not known yet
    recalled: set[str]  # teams whose recall has no answer yet
    wanted: set[str]  # teams of the request that is being handled

    def __init__(self) -> None:
        self.epoch = 0
        self.number = 0
        self.granted_epoch = 0
        self.shares = {}
        self.recalled = set()
        self.wanted = set()


class QuotaLedger:
    """Shares of all partitions under one epoch of the ledger."""

    epoch: int
    version: int  # of the configuration in force
    caps: Mapping[str, resources.Resources]  # of the teams that have one
    partitions: frozenset[int]  # those that have pools
    is_frozen: bool  # nothing is granted, since the caps may be outdated
    _records: dict[int, _PartitionRecord]

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.version = 0
        self.caps = {}
        self.partitions = frozenset()
        self.is_frozen = False
        self._records = {}

    def set_policy(
        self, caps: Mapping[str, resources.Resources], partitions: frozenset[int]
    ) -> None:
        """Apply the configuration in force.

        Recorded shares say nothing about a resource that had no limit, so they are
        asked for again after the cap of a team limits one more resource.
        """
        for team, old_cap in self.caps.items():
            cap = caps.get(team)
            if cap is None or any(
                new and not old for new, old in zip(cap, old_cap, strict=True)
            ):
                for record in self._records.values():
                    record.shares.pop(team, None)
        self.caps = dict(caps)
        self.partitions = partitions

    def share_by_partition(self, team: str) -> dict[int, resources.Resources]:
        """Return the recorded shares of a team."""
        return {
            partition: record.shares[team]
            for partition, record in self._records.items()
            if team in record.shares
        }

    # Recalls.

    def find_unknown(self, partition: int) -> list[str]:
        """Return the teams of which the share of a partition is not known yet."""
        record = self._record(partition)
        return [team for team in self.caps if team not in record.shares]

    def find_excess(self) -> dict[int, list[str]]:
        """Return by partition the teams whose shares exceed a lowered cap."""
        found: dict[int, list[str]] = {}
        for team in self.caps:
            if min(self._free(team)) >= 0:
                continue
            for partition, share in self.share_by_partition(team).items():
                if any(amount > 0 for amount in share):
                    found.setdefault(partition, []).append(team)
        return found

    def find_sources(self, request: quota_messages.Request) -> dict[int, list[str]]:
        """Return by partition the teams to recall for a request.

        Partitions that ask for the same team at this moment have nothing to give.
        """
        found: dict[int, list[str]] = {}
        for team in self._find_lacking(request):
            for partition, record in self._records.items():
                if (
                    partition != request.partition
                    and team not in record.wanted
                    and any(amount > 0 for amount in record.shares.get(team, ()))
                ):
                    found.setdefault(partition, []).append(team)
        return found

    def begin_recall(self, partition: int, teams: Iterable[str]) -> list[str]:
        """Return the teams to name in a recall: those without one in flight."""
        record = self._record(partition)
        begun = [team for team in teams if team not in record.recalled]
        record.recalled.update(begun)
        return begun

    def end_recall(
        self,
        partition: int,
        teams: Collection[str],
        response: quota_messages.RecallResponse | None,
    ) -> None:
        """Record the response to a recall; None if there was none."""
        record = self._record(partition)
        record.recalled.difference_update(teams)
        if response is None or response.epoch < record.epoch:
            return
        self._set_epoch(record, response.epoch)
        may_lower = response.is_settled or response.epoch == record.granted_epoch
        for team in teams:
            share = response.shares.get(team)
            cap = self.caps.get(team)
            if share is None or cap is None or not _covers(share, cap):
                continue
            share = share.restrict(cap, 0)
            recorded = record.shares.get(team)
            if recorded is None:
                record.granted_epoch = response.epoch
            elif not may_lower:
                share = share.max_with(recorded)
            record.shares[team] = share

    # Requests.

    def accept(self, request: quota_messages.Request) -> bool:
        """Record what the partition holds; False if the request is outdated."""
        record = self._record(request.partition)
        if request.epoch < record.epoch:
            return False
        if request.epoch == record.epoch and request.number <= record.number:
            return False
        self._set_epoch(record, request.epoch)
        record.number = request.number
        record.wanted = set(request.wanted)
        for team, held in (request.held or {}).items():
            recorded = record.shares.get(team)
            cap = self.caps.get(team)
            if (
                recorded is None
                or cap is None
                or team in record.recalled
                or not _covers(held, cap)
            ):
                continue
            held = held.restrict(cap, 0)
            if request.epoch != record.granted_epoch:
                held = held.max_with(recorded)
            record.shares[team] = held
        return True

    def is_satisfied(self, request: quota_messages.Request) -> bool:
        """Whether the free parts of the caps are enough for a request."""
        return not self._find_lacking(request)

    def grant(self, request: quota_messages.Request) -> quota_messages.Response | None:
        """Give the partition all that is free of what it asks for.

        Returns None if the request is outdated, since its owner has sent another one or
        has been replaced meanwhile.
        """
        record = self._record(request.partition)
        if (request.epoch, request.number) != (record.epoch, record.number):
            return None
        for team in request.wanted:
            if not self._may_grant(request.partition, team):
                continue
            free = self._free(team).without_negative()
            record.shares[team] = record.shares[team].plus(free)
        record.granted_epoch = request.epoch
        teams = request.wanted if request.held is not None else record.shares
        return quota_messages.Response(
            self.epoch,
            self.version,
            {
                team: record.shares[team].restrict(self.caps[team], resources.UNLIMITED)
                for team in teams
                if team in record.shares and self._is_confirmed(request.partition, team)
            },
        )

    def end_request(self, request: quota_messages.Request) -> None:
        """Record that a request is no longer being handled."""
        record = self._record(request.partition)
        if (request.epoch, request.number) == (record.epoch, record.number):
            record.wanted.clear()

    # State.

    def _record(self, partition: int) -> _PartitionRecord:
        record = self._records.get(partition)
        if record is None:
            record = self._records[partition] = _PartitionRecord()
        return record

    def _set_epoch(self, record: _PartitionRecord, epoch: int) -> None:
        if epoch > record.epoch:
            record.epoch = epoch
            record.number = 0
            record.wanted.clear()

    def _may_grant(self, partition: int, team: str) -> bool:
        return not self.is_frozen and self._is_known(partition, team)

    def _is_confirmed(self, partition: int, team: str) -> bool:
        """Whether the shares of a team certainly fit its cap in sum."""
        return self._is_known(partition, team) and min(self._free(team)) >= 0

    def _is_known(self, partition: int, team: str) -> bool:
        """Whether the shares of a team are known, and no answer is outstanding."""
        return (
            team in self.caps
            and team not in self._record(partition).recalled
            and all(
                team in self._record(other).shares
                for other in self.partitions | {partition}
            )
        )

    def _find_lacking(self, request: quota_messages.Request) -> list[str]:
        lacking = []
        for team, wanted in request.wanted.items():
            cap = self.caps.get(team)
            if cap is None or not self._may_grant(request.partition, team):
                continue
            if min(self._free(team).minus(wanted).restrict(cap, 0)) < 0:
                lacking.append(team)
        return lacking

    def _free(self, team: str) -> resources.Resources:
        """Return the free part of a cap; 0 for what it does not limit."""
        cap = self.caps[team]
        free = cap
        for record in self._records.values():
            share = record.shares.get(team)
            if share is not None:
                free = free.minus(share)
        return free.restrict(cap, 0)


def _covers(share: resources.Resources, cap: resources.Resources) -> bool:
    """Whether a share says how much of each limited resource is held."""
    return min(share.restrict(cap, 0)) >= 0
