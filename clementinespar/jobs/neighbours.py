"""Evidence of interference between tasks, from the reports and ends of their runs.

The evidence stays in the memory of the owner. It is forgotten within seconds of
evidence anyway, so the next owner starts without any.
"""

import collections
import json

from clementinespar import codes, explanation
from clementinespar.jobs import (
    interference,
    model,
    services,
    telemetry,
    worker_run,
    worker_session,
)

# One observation costs 12 to 33 microseconds beside one to eight images, measured on a
# busy machine. With 50, a third fewer verdicts are reached on synthetic workers.
OBSERVATIONS_PER_S = 70.0  # further ones are skipped
OBSERVATION_BURST = 50.0
REPORT_INTERVAL_S = 0.45  # workers measure tail latencies about twice a second
# A tail latency covers half a second, and is up to a half second old.
TAIL_WINDOW_S = 0.6
MIN_SHARE = 0.1  # of its time that another task must run beside a short one
ENDED_RUNS = 16  # of each worker that may have run beside one that ends now
MAX_WORKERS = 500
SUMMARY_INTERVAL_S = 5.0
SUMMARY_PAIRS = 16
SUMMARY_BYTES = 1_700  # of the pairs in one line; longer lines may be cut
EXPLAINED_PAIRS = 20

_UNIT_BY_MEASURE = {
    interference.Measure.RUN_TIME: "of the logarithm of its run time",
    interference.Measure.TAIL: "of its target, in its tail latency",
}


class Neighbours:
    """Collects the evidence of one partition; one model for each pool."""

    models_by_pool: dict[str, interference.InterferenceModel]
    _log_event: services.EventLog
    _metrics: telemetry.JobMetrics
    # Image, start, end and pace of the last runs that ended on a worker, and whether
    # they were fillers.
    _ended_by_worker: "collections.OrderedDict[str, collections.deque[_EndedRun]]"
    _tails_at: dict[str, float]  # worker id: time of the last tail that was taken
    _tokens: float  # observations that may be taken now
    _refilled_at: float
    _summary_at: float

    def __init__(
        self, log_event: services.EventLog, metrics: telemetry.JobMetrics
    ) -> None:
        self.models_by_pool = {}
        self._log_event = log_event
        self._metrics = metrics
        self._ended_by_worker = collections.OrderedDict()
        self._tails_at = {}
        self._tokens = OBSERVATION_BURST
        self._refilled_at = 0.0
        self._summary_at = 0.0

    def find_model(self, pool: str) -> interference.InterferenceModel | None:
        """Return the model of a pool if it has reached any verdict."""
        found = self.models_by_pool.get(pool)
        return found if found is not None and found.has_verdicts else None

    # Evidence.

    def add_report(self, session: worker_session.WorkerSession, now: float) -> None:
        """Add the tail latencies in a report, with the fillers beside them."""
        serving = [
            run
            for run in session.runs.values()
            if run.spec.latency_target_ms and run.usage > 0 and run.spec.image
        ]
        if not serving:
            return
        worker_id = session.entry.worker_id
        if now - self._tails_at.get(worker_id, 0.0) < REPORT_INTERVAL_S:
            return
        job_by_image: dict[str, str] = {}
        for run in session.runs.values():
            if not run.spec.is_filler:
                continue
            if run.pace < 0 or run.paced_at and now - run.paced_at < TAIL_WINDOW_S:
                return  # the tail latency is that of another pace, in part
            job_by_image[run.spec.image] = run.key.job_id
        self._tails_at[worker_id] = now
        if not self._take_token(now):
            return
        exposures = _find_exposures(
            session, self._find_ended(worker_id), now - TAIL_WINDOW_S, now, True
        )
        pool_model = self._make_model(session.entry.pool)
        for run in serving:
            if run.status is not worker_run.RunStatus.RUNNING:
                continue
            pool_model.add_tail(
                run.spec.image,
                worker_id,
                run.usage / run.spec.latency_target_ms,
                exposures,
                {
                    image: f"{run.key.job_id}/{job_by_image.get(image)}"
                    for image in exposures
                },
                now,
            )

    def add_end(
        self,
        session: worker_session.WorkerSession,
        run: worker_run.Run,
        kind: model.EndKind,
        now: float,
    ) -> None:
        """Add the run time of a run that ended as done, with the runs beside it."""
        image = run.spec.image
        if not image or run.spec.is_lasting:
            return
        worker_id = session.entry.worker_id
        ended = self._find_ended(worker_id)
        started_at = run.started_at
        if (
            kind is model.EndKind.DONE
            and now > started_at
            and not run.spec.is_filler
            and not run.is_adopted
            and self._take_token(now)
        ):
            exposures = _find_exposures(session, ended, started_at, now, False)
            self._make_model(session.entry.pool).add_run_time(
                image,
                worker_id,
                run.key.job_id,
                (now - started_at) * 1000,
                exposures,
                now,
            )
        weight = max(0, run.pace) / 100
        ended.append((image, started_at, now, weight, run.spec.is_filler))

    def _find_ended(self, worker_id: str) -> "collections.deque[_EndedRun]":
        ended = self._ended_by_worker.get(worker_id)
        if ended is None:
            ended = collections.deque(maxlen=ENDED_RUNS)
            self._ended_by_worker[worker_id] = ended
            if len(self._ended_by_worker) > MAX_WORKERS:
                dropped, _ = self._ended_by_worker.popitem(last=False)
                self._tails_at.pop(dropped, None)
        return ended

    def _make_model(self, pool: str) -> interference.InterferenceModel:
        found = self.models_by_pool.get(pool)
        if found is None:
            found = self.models_by_pool[pool] = interference.InterferenceModel()
        return found

    def _take_token(self, now: float) -> bool:
        """Whether one more observation may be taken now."""
        if now > self._refilled_at:
            refill = (now - self._refilled_at) * OBSERVATIONS_PER_S
            self._tokens = min(OBSERVATION_BURST, self._tokens + refill)
            self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    # Verdicts.

    def refresh(self, now: float) -> None:
        """Reach and withdraw verdicts, and log them and the evidence."""
        is_summary_due = now - self._summary_at >= SUMMARY_INTERVAL_S
        if is_summary_due:
            self._summary_at = now
        for pool, pool_model in self.models_by_pool.items():
            for change in pool_model.refresh(now):
                self._metrics.count_verdict(change.is_verdict)
                self._log_event(
                    "interference",
                    pool=pool,
                    is_verdict=change.is_verdict,
                    measure=change.measure.value,
                    victim=change.victim,
                    neighbour=change.neighbour,
                    effect=round(change.effect, 3),
                    deviation=round(change.deviation, 3),
                    exposure=round(change.exposure, 1),
                    workers=change.workers,
                    jobs=change.jobs,
                )
            if is_summary_due:
                self._log_summary(pool, pool_model)

    def close(self) -> None:
        """Take the verdicts out of the metrics of the node."""
        for pool_model in self.models_by_pool.values():
            self._metrics.forget_verdicts(pool_model.count_verdicts())

    def _log_summary(
        self, pool: str, pool_model: interference.InterferenceModel
    ) -> None:
        """Log the pairs with most observations since the last line."""
        rows: list[list[object]] = []
        size = 0
        for summary in pool_model.pop_summaries(SUMMARY_PAIRS):
            row: list[object] = [
                summary.measure.value,
                summary.victim,
                summary.neighbour,
                summary.count,
                round(summary.ratio, 3),
                round(summary.exposure, 2),
                round(summary.effect, 3),
            ]
            size += len(json.dumps(row)) + 2
            if size > SUMMARY_BYTES:
                break
            rows.append(row)
        if rows:
            self._log_event(
                "interference_evidence",
                pool=pool,
                verdicts=pool_model.count_verdicts(),
                pairs=rows,
            )

    def explain_image(self, image: str) -> explanation.Explanation | None:
        """Return what an image causes and suffers; None if nothing is known."""
        because = []
        verdict_count = 0
        for pool, pool_model in self.models_by_pool.items():
            estimates = pool_model.find_estimates(image)
            verdict_count += sum(estimate.is_verdict for estimate in estimates)
            because += [_describe(pool, item) for item in estimates[:EXPLAINED_PAIRS]]
            if estimates:
                because += [
                    f"{pool}: worker {worker_id} runs all its tasks {factor:.2f} times"
                    " as long as the others, so no image is blamed for it"
                    for worker_id, factor in pool_model.find_slow_workers().items()
                ]
        if not because:
            return None
        return explanation.Explanation(
            subject=f"image {image}",
            state=f"verdicts: {verdict_count}",
            waits_for=None,
            because=tuple(because),
            code=codes.ResultCode.OK,
        )


_EndedRun = tuple[str, float, float, float, bool]


def _find_exposures(
    session: worker_session.WorkerSession,
    ended: "collections.deque[_EndedRun]",
    started_at: float,
    now: float,
    only_fillers: bool,
) -> dict[str, float]:
    """Return the number of tasks in a time by image, weighted by time and pace."""
    took_s = now - started_at
    exposures: dict[str, float] = {}
    for other in session.runs.values():
        spec = other.spec
        if not spec.image or only_fillers and not spec.is_filler:
            continue
        since = other.started_at
        share = 1.0 if since <= started_at else (now - since) / took_s
        if other.pace != 100:
            share *= max(0, other.pace) / 100
        if share >= MIN_SHARE:
            exposures[spec.image] = exposures.get(spec.image, 0.0) + share
    for image, since, until, weight, is_filler in ended:
        if until <= started_at or only_fillers and not is_filler:
            continue
        begin = since if since > started_at else started_at
        share = (until - begin) / took_s * weight
        if share >= MIN_SHARE:
            exposures[image] = exposures.get(image, 0.0) + share
    return exposures


def _describe(pool: str, estimate: interference.Estimate) -> str:
    verdict = "verdict" if estimate.is_verdict else "no verdict"
    return (
        f"{pool}: each task of {estimate.neighbour} beside one of {estimate.victim}"
        f" adds {estimate.effect:.2f} +- {estimate.deviation:.2f}"
        f" {_UNIT_BY_MEASURE[estimate.measure]} ({verdict}; {estimate.exposure:.1f}"
        f" observations, {estimate.workers} workers, {estimate.jobs} jobs)"
    )
