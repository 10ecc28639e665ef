"""A node's decision whether a job would wait too long to be worth its work.

The estimates come from the owners, with answers that they give anyway. Without a recent
one, every job is accepted.
"""

import dataclasses

from clementinespar import decoding
from clementinespar.jobs import model, placement, retry_after, wait_estimate

ESTIMATE_MAX_AGE_S = 1.5
# A job that ends later than this many times its objective is worth nothing.
WORTHLESS_AFTER = 3.0
# Share of the estimate that counts, since estimates of run times are off by half.
ESTIMATE_SHARE = 0.7
# Work that stays ahead of the workers while jobs are rejected, for the time until nodes
# know a newer estimate and the jobs that they accept are ready to start. Without it,
# the replayed overload by half had 182 instead of 185 jobs in time.
RESERVE_MS = 300
PROBE_SHARE = 1 / 16  # of the ids, which are accepted in any case


@dataclasses.dataclass(frozen=True, slots=True)
class LoadView:
    """What an owner told about a pool.

    Attributes
    ----------
    made_at : float
        Event-loop time at which the owner made the estimate.
    """

    waits: wait_estimate.PoolWaits
    made_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Why a job is not accepted, and when to return."""

    wait_ms: float
    age_s: float  # of the estimate
    return_s: int
    is_team: bool  # whether the team's cap is what the job would wait for


class LoadViews:
    """The newest estimates of all owners, by partition and pool."""

    _views: dict[int, dict[str, LoadView]]

    def __init__(self) -> None:
        self._views = {}

    def note_answer(self, partition: int, load: object, now: float) -> None:
        """Take over the estimates in an answer of an owner.

        An answer without any says that no wait is long in the partition. One that
        cannot be read does so too.
        """
        views = {}
        if isinstance(load, dict):
            try:
                for pool, fields in load.items():
                    made_at = now - float(fields["at_age_ms"]) / 1000
                    views[pool] = LoadView(wait_estimate.decode(fields), made_at)
            except decoding.ERRORS:
                views = {}
        known = self._views.get(partition, {})
        if not all(
            pool not in known or known[pool].made_at <= view.made_at
            for pool, view in views.items()
        ):
            return  # an older answer that was slower
        if views:
            self._views[partition] = views
        else:
            self._views.pop(partition, None)

    def find(self, partition: int, pool: str) -> LoadView | None:
        """Return the newest estimate for a pool, or None."""
        return self._views.get(partition, {}).get(pool)


def decide(
    spec: model.JobSpec, view: LoadView | None, now: float, is_sent: bool
) -> Rejection | None:
    """Return why a job is not accepted now, or None if it is.

    Parameters
    ----------
    is_sent : bool
        Whether this node has sent an append of the job, which may be stored.
    """
    if view is None or is_sent:
        return None
    age_s = now - view.made_at
    if age_s > ESTIMATE_MAX_AGE_S:
        return None
    if spec.occurrences or spec.first_due_ms or any(s.is_lasting for s in spec.steps):
        return None
    if retry_after.spread(spec.job_id) < PROBE_SHARE:
        return None
    chain_ms = _find_chain_ms(spec)
    objective_ms = spec.stretch * chain_ms + spec.objective_ms
    slack_ms = objective_ms - chain_ms
    if slack_ms <= 0:
        return None  # the queue has no objective
    team = view.waits.by_team.get(spec.team) if spec.team else None
    for wait, is_team in ((team, True), (view.waits.find(spec.priority), False)):
        if wait is None:
            continue
        # The pool has worked on since the estimate was made.
        ahead_ms = ESTIMATE_SHARE * wait.find_ahead_ms(slack_ms) - age_s * 1000
        window_ms = slack_ms - placement.NEW_MARGIN * chain_ms
        starts_in_time = ahead_ms - RESERVE_MS <= window_ms
        ends_ms = ESTIMATE_SHARE * wait.wait_ms + chain_ms
        if not starts_in_time and ends_ms > WORTHLESS_AFTER * objective_ms:
            excess_s = (wait.wait_ms - objective_ms) / 1000
            return Rejection(
                wait.wait_ms,
                age_s,
                retry_after.after_overload(spec.job_id, excess_s),
                is_team,
            )
    return None


def _find_chain_ms(spec: model.JobSpec) -> float:
    """Return the estimated duration of the longest chain of steps."""
    lengths: list[float] = []
    for step in spec.steps:
        before = max((lengths[i] for i in step.after), default=0.0)
        lengths.append(before + step.estimate_ms)
    return max(lengths, default=0.0)
