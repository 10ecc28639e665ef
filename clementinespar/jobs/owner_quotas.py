"""Quotas of teams as the owner of one partition keeps to them.

It connects the owner's decisions (`quota_shares.py`) with its sessions, its jobs and
the ledger. Without a team that has a cap, it sends nothing and stops no start.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple, Protocol

from clementinespar import errors
from clementinespar.jobs import (
    quota_messages,
    quota_shares,
    resources,
    services,
    state,
    team_use,
    telemetry,
    worker_session,
)

MIN_REQUEST_INTERVAL_S = 0.02  # while requests obtain something
MAX_REQUEST_INTERVAL_S = 0.2  # while they obtain nothing
# A response that arrives later than this after its request was made has no effect. A
# ledger may answer until half a second before another one can begin, so no owner takes
# an answer that was given under an earlier ledger and is unknown to the next one.
RESPONSE_MAX_AGE_S = 0.45
BOUND_INTERVAL_S = 0.2  # between updates of what earlier owners may have started
WAIT_LOG_INTERVAL_S = 2.0  # between two lines about one team
SHARE_LOG_INTERVAL_S = 0.5


class QuotaLink(Protocol):
    """What an owner needs of its node for quotas."""

    def find_caps(self) -> Mapping[str, resources.Resources]:
        """Return the caps in force; the same object until they change."""
        ...

    def find_version(self) -> int:
        """Return the version of the configuration in force."""
        ...

    def has_fresh_caps(self) -> bool:
        """Whether the caps were read recently enough to rely on them."""
        ...

    def may_act(self, confirmed_at: float | None) -> bool:
        """Whether ownership confirmed at a time certainly lasts for a while."""
        ...

    async def request(self, request: quota_messages.Request) -> quota_messages.Response:
        """Ask the ledger; raises `errors.ClementinesparError` without an answer."""
        ...


class NoQuotas:
    """`QuotaLink` of a node without quotas."""

    _caps: Mapping[str, resources.Resources]

    def __init__(self) -> None:
        self._caps = {}

    def find_caps(self) -> Mapping[str, resources.Resources]:
        """Return no caps."""
        return self._caps

    def find_version(self) -> int:
        """Return 0, as there is no configuration."""
        return 0

    def has_fresh_caps(self) -> bool:
        """Return True."""
        return True

    def may_act(self, confirmed_at: float | None) -> bool:
        """Return False, as there is no ledger."""
        return False

    async def request(self, request: quota_messages.Request) -> quota_messages.Response:
        """Wait forever; it is never called without caps."""
        await asyncio.Event().wait()
        raise AssertionError


class _Pause(NamedTuple):
    """A time in which a team is not asked for again."""

    until: float  # event-loop time
    length_s: float


class OwnerQuotas:
    """The quotas of one owner.

    Parameters
    ----------
    is_settled : callable
        Whether all runs in the partition are known.
    confirmed_at : callable
        When ownership was last confirmed, as `PoolOwner.confirmed_at`.
    request_round : callable
        Requests a round of placement.
    """

    shares: quota_shares.QuotaShares
    use: team_use.TeamUse
    _caps: Mapping[str, resources.Resources] | None  # as the link has returned them
    _lack_noted: asyncio.Event
    _pauses: dict[str, _Pause]  # by team
    _bounds_updated_at: float  # event-loop time, as are the following
    _waits_logged_at: dict[str, float]  # by team
    _shares_logged_at: float

    def __init__(
        self,
        partition: int,
        epoch: int,
        link: QuotaLink,
        jobs_by_id: Mapping[str, state.JobProgress],
        active: Mapping[str, state.JobProgress],
        sessions_by_id: Mapping[str, worker_session.WorkerSession],
        is_settled: Callable[[], bool],
        confirmed_at: Callable[[], float | None],
        request_round: Callable[[], None],
        log_event: services.EventLog,
        metrics: telemetry.JobMetrics,
    ) -> None:
        self.use = team_use.TeamUse()
        self.shares = quota_shares.QuotaShares(self.use)
        self._partition = partition
        self._epoch = epoch
        self._link = link
        self._jobs_by_id = jobs_by_id
        self._active = active
        self._sessions_by_id = sessions_by_id
        self._is_settled = is_settled
        self._confirmed_at = confirmed_at
        self._request_round = request_round
        self._log_event = log_event
        self._metrics = metrics
        self._caps = None
        self._lack_noted = asyncio.Event()
        self._pauses = {}
        self._bounds_updated_at = -BOUND_INTERVAL_S
        self._waits_logged_at = {}
        self._shares_logged_at = -SHARE_LOG_INTERVAL_S

    # Placement.

    def begin_round(self) -> None:
        """Bring caps and bounds up to date before a round of placement."""
        self.shares.begin_round()
        self._update()

    def note_lack(
        self,
        team: str,
        wanted: resources.Resources,
        least: resources.Resources | None = None,
    ) -> None:
        """Record what ready tasks of a team lack, and ask the ledger for it."""
        self.shares.note_lack(team, wanted, least)
        pause = self._pauses.get(team)
        if pause is None or asyncio.get_running_loop().time() >= pause.until:
            self._lack_noted.set()

    def _update(self) -> None:
        if not self.shares.is_settled:
            self._update_bounds()
        caps = self._link.find_caps()
        if caps is not self._caps:
            self._caps = caps
            self.shares.set_caps(caps, self._link.find_version())
            self._pauses.clear()
            self._waits_logged_at.clear()
        self.shares.set_blocked(bool(caps) and not self._link.has_fresh_caps())

    def _update_bounds(self) -> None:
        """Count what earlier owners may have started, until all runs are known."""
        now = asyncio.get_running_loop().time()
        is_settled = self._is_settled()
        if not is_settled and now - self._bounds_updated_at < BOUND_INTERVAL_S:
            return
        self._bounds_updated_at = now
        now_ms = time.time() * 1000
        bounds: dict[str, tuple[str, resources.Resources]] = {}
        if not is_settled:
            for job_id, job in self._jobs_by_id.items():
                if not job.is_adopted or job.adopted_epoch == self._epoch:
                    continue
                if job.is_final and any(job.leftover):
                    bounds[job_id] = (job.leftover_team, job.leftover)
                elif not job.is_final and job.spec.team:
                    bound = team_use.bound_running(job, now_ms)
                    bounds[job_id] = (job.spec.team, bound)
        self.use.rebuild(
            (
                run
                for session in self._sessions_by_id.values()
                for run in session.runs.values()
            ),
            bounds,
        )
        if is_settled:
            self.shares.settle()

    def find_caps(self) -> Mapping[str, resources.Resources]:
        """Return the caps in force."""
        return self._link.find_caps()

    def find_room(self, teams: Collection[str]) -> dict[str, resources.Resources]:
        """Return what the caps let teams start beside what they use here.

        Teams without a cap are left out, and a negative amount has no limit.
        """
        return {
            team: cap.minus(self.use.by_team.get(team, resources.ZERO))
            .without_negative()
            .restrict(cap, resources.UNLIMITED)
            for team in teams
            if (cap := self.shares.caps.get(team)) is not None
        }

    # Jobs.

    def record_leftover(self, job: state.JobProgress) -> None:
        """Record what the runs of a job use that may go on after its final state.

        The next owner counts it until it knows all runs.
        """
        team = job.spec.team
        if not team:
            return
        use = resources.ZERO
        for session in self._sessions_by_id.values():
            for run in session.runs.values():
                if run.key.job_id == job.spec.job_id:
                    use = use.plus(team_use.needs(run.spec))
        bound = self.use.bounds_by_job.get(job.spec.job_id, (team, use))[1]
        job.leftover = use.max_with(bound)
        job.leftover_team = team

    def find_unended(self, job_ids: Collection[str]) -> set[str]:
        """Return the jobs of teams of which a run may still execute.

        Their commands are kept, since they tell the next owner the team of the run.
        """
        candidates = {
            job_id
            for job_id in job_ids
            if (job := self._jobs_by_id.get(job_id)) is not None and job.spec.team
        }
        if not candidates:
            return candidates
        running = {
            run.key.job_id
            for session in self._sessions_by_id.values()
            for run in session.runs.values()
        }
        return candidates & (running | set(self.use.bounds_by_job))

    def _find_waiting(self, teams: Collection[str]) -> dict[str, quota_shares.Waiting]:
        wanted = frozenset(teams)
        counts: dict[str, int] = {}
        lasting: dict[str, resources.Resources] = {}
        for job in self._active.values():
            team = job.spec.team
            if team not in wanted:
                continue
            for occurrence in job.occurrences.values():
                for step in occurrence.ready_steps():
                    count = len(step.waiting)
                    counts[team] = counts.get(team, 0) + count
                    if step.spec.is_lasting:
                        lasting[team] = lasting.get(team, resources.ZERO).plus(
                            team_use.needs(step.spec).times(count)
                        )
        return {
            team: quota_shares.Waiting(count, lasting.get(team, resources.ZERO))
            for team, count in counts.items()
        }

    # Messages.

    async def run(self) -> None:
        """Ask the ledger while ready tasks lack room, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._wait_until_due()
            self._update()
            self._log_waits(loop.time())
            teams = self._find_due(loop.time())
            request = self.shares.make_request(self._partition, self._epoch, teams)
            if request is not None:
                await self._send(request)
            self._set_pauses(teams, loop.time())
            self._log_shares(loop.time())
            await asyncio.sleep(MIN_REQUEST_INTERVAL_S)

    def _find_due(self, now: float) -> list[str]:
        return [
            team
            for team in self.shares.lack
            if team not in self._pauses or now >= self._pauses[team].until
        ]

    async def _wait_until_due(self) -> None:
        """Wait until a team lacks room whose last request is long enough ago."""
        loop = asyncio.get_running_loop()
        while not self._find_due(loop.time()):
            self._lack_noted.clear()
            ends = [self._pauses[team].until for team in self.shares.lack]
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(min(ends, default=None)):
                    await self._lack_noted.wait()

    def _set_pauses(self, teams: Collection[str], now: float) -> None:
        """Set when each team is asked for again, and place what may start now."""
        may_start = False
        for team in teams:
            last = self._pauses.get(team)
            length_s = MIN_REQUEST_INTERVAL_S
            if self.shares.may_start(team):
                may_start = True
            elif last is not None and now - last.until < MAX_REQUEST_INTERVAL_S:
                length_s = min(2 * last.length_s, MAX_REQUEST_INTERVAL_S)
            self._pauses[team] = _Pause(now + length_s, length_s)
        if may_start:
            self._request_round()

    async def _send(self, request: quota_messages.Request) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            response = await self._link.request(request)
        except errors.ClementinesparError:
            self.shares.abandon()
            self._metrics.count_quota_request("unanswered")
            return
        if loop.time() - sent_at > RESPONSE_MAX_AGE_S:
            self.shares.abandon()
            self._metrics.count_quota_request("late")
            return
        self.shares.apply_response(request.number, response)
        self._metrics.count_quota_request("answered")

    def answer_recall(
        self, recall: quota_messages.Recall
    ) -> quota_messages.RecallResponse | None:
        """Give back what is not used; None if this node may not be the owner any more.

        Raises
        ------
        quota_shares.StaleLedgerError
            A later ledger is known.
        """
        if not self._link.may_act(self._confirmed_at()):
            return None
        self._update()
        response = self.shares.recall(
            self._epoch, recall, self._find_waiting(recall.teams)
        )
        self._log_shares(asyncio.get_running_loop().time())
        return response

    # Reports.

    def describe(self, team: str) -> dict[str, object]:
        """Return the use, share and waiting tasks of a team in this partition."""
        self._update()
        waiting = self._find_waiting([team]).get(team, quota_shares.NOTHING_WAITS)
        return {
            "use": self.use.by_team.get(team, resources.ZERO),
            "share": self.shares.shares.get(team),
            "waiting": waiting.count,
            "is_settled": self.shares.is_settled,
        }

    def _log_waits(self, now: float) -> None:
        """Log the teams that begin to wait for a share, and those that go on."""
        for team, wanted in self.shares.lack.items():
            logged_at = self._waits_logged_at.get(team)
            if logged_at is not None and now - logged_at < WAIT_LOG_INTERVAL_S:
                continue
            self._waits_logged_at[team] = now
            self._metrics.count_quota_wait()
            self._log_event(
                "quota_wait",
                partition=self._partition,
                team=team,
                cap=self.shares.caps.get(team),
                share=self.shares.shares.get(team),
                use=self.use.by_team.get(team, resources.ZERO),
                wanted=wanted,
            )

    def _log_shares(self, now: float) -> None:
        changed = self.shares.changed
        if not changed or now - self._shares_logged_at < SHARE_LOG_INTERVAL_S:
            return
        self._shares_logged_at = now
        self._log_event(
            "quota_share",
            partition=self._partition,
            ledger_epoch=self.shares.ledger_epoch,
            shares={team: self.shares.shares.get(team) for team in sorted(changed)},
        )
        changed.clear()
