"""Marks the jobs that a team submits above its rate, by a token bucket per team.

The rate of a team is its weight in jobs a second. The buckets follow the times of
submission, so the result does not depend on delays between a caller and the owner. They
are not stored: a new owner starts with full buckets and applies the jobs that it
restores in the order of their submission, which gives about the same marks.
"""

import dataclasses
from collections.abc import Callable, Iterable

from clementinespar.jobs import fair_share, services, state, telemetry

DEFAULT_WEIGHT = 1.0  # of a team that the configuration does not have
DEPTH_S = 5.0  # a team may submit the jobs of this time at once
MIN_DEPTH = 5.0  # jobs


def default_weight(team: str) -> float:
    """Return the weight of a team without a configuration."""
    return DEFAULT_WEIGHT


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Jobs that a team may submit now."""

    tokens: float
    filled_ms: float  # Unix ms of the newest submission

    def take(self, weight: float, submitted_ms: float) -> bool:
        """Take the token of one job; False if there is none left."""
        rate = max(fair_share.MIN_WEIGHT, weight)
        elapsed_s = max(0.0, submitted_ms - self.filled_ms) / 1000
        self.tokens = min(bucket_depth(weight), self.tokens + elapsed_s * rate)
        self.filled_ms = max(self.filled_ms, submitted_ms)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def bucket_depth(weight: float) -> float:
    """Return the number of tokens of a full bucket."""
    return max(MIN_DEPTH, DEPTH_S * weight)


class TeamRates:
    """Rates of submission of the teams of one partition.

    Parameters
    ----------
    find_weight : callable
        Returns the weight of a team.
    """

    has_teams: bool  # a job of a team was seen
    _buckets_by_team: dict[str, TokenBucket]

    def __init__(
        self,
        find_weight: Callable[[str], float],
        log_event: services.EventLog,
        metrics: telemetry.JobMetrics,
    ) -> None:
        self.find_weight = find_weight
        self._log_event = log_event
        self._metrics = metrics
        self.has_teams = False
        self._buckets_by_team = {}

    def mark_all(self, jobs: Iterable[state.JobProgress], now_ms: float) -> None:
        """Mark the jobs above the rate of their team, in the order of submission.

        Parameters
        ----------
        now_ms : float
            Unix ms; a later time of submission comes from a clock that is ahead.
        """
        for job in sorted(jobs, key=lambda job: job.spec.accepted_ms):
            self._mark(job, now_ms)

    def would_exceed(self, team: str, now_ms: float) -> bool:
        """Whether a job that a team submits now would be above its rate."""
        bucket = self._buckets_by_team.get(team)
        if not team or bucket is None:
            return False
        return not dataclasses.replace(bucket).take(self.find_weight(team), now_ms)

    def _mark(self, job: state.JobProgress, now_ms: float) -> None:
        team = job.spec.team
        if not team:
            return
        self.has_teams = True
        weight = self.find_weight(team)
        submitted_ms = min(now_ms, job.spec.accepted_ms)
        bucket = self._buckets_by_team.setdefault(
            team, TokenBucket(bucket_depth(weight), submitted_ms)
        )
        if not bucket.take(weight, submitted_ms) and not job.is_final:
            job.is_over_rate = True
            self._metrics.count_over_rate()
            self._log_event(
                "job_over_rate", job=job.spec.job_id, team=team, queue=job.spec.queue
            )
