"""Event log and metrics of jobs on a node."""

import json
import os
import time
import traceback
from collections.abc import Mapping

import prometheus_client

from clementinespar import codes, decoding, errors
from clementinespar.jobs import services

LINES_PER_S = 400.0  # above this rate, lines are dropped and counted
BURST_LINES = 800.0
MAX_ERROR_LINES = 12  # of a traceback
MAX_PENDING_BYTES = 256 * 1024  # buffered while the output would block

_JOB_SECONDS = (0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 8.0, 15.0, 30.0)

_TAKEOVER_SECONDS = (0.1, 0.3, 1.0, 2.0, 4.0, 6.0, 8.0, 10.0)

_ERROR_SHARES = (-2.0, -1.0, -0.5, -0.25, 0.0, 0.25, 0.5, 1.0, 2.0)

_ERROR_SECONDS = (-10.0, -3.0, -1.0, -0.5, 0.0, 0.5, 1.0, 3.0, 10.0)


def log_invalid_entry(log_event: services.EventLog, key: str, error: Exception) -> None:
    """Log an entry of the store that cannot be decoded and is skipped."""
    log_event(
        "entry_invalid",
        code=int(codes.ResultCode.ENTRY_INVALID),
        key=key,
        error=decoding.describe_error(error),
    )


def log_refused_settings(
    log_event: services.EventLog, group: ExceptionGroup[Exception]
) -> None:
    """Log one line for each setting that keeps the node from starting."""
    for problem in errors.iter_problems(group):
        if isinstance(problem, errors.ClementinesparError):
            log_event("setting_refused", code=int(problem.code), error=problem.message)


def log_unexpected(
    log_event: services.EventLog, subject: str, error: Exception, **fields: object
) -> None:
    """Log an unexpected error that ended only the work on one subject."""
    log_event("unexpected_error", subject=subject, **fields, **_describe_failure(error))


def log_failure(log_event: services.EventLog, partition: int, error: Exception) -> None:
    """Log an unexpected error that has ended the owner of a partition."""
    log_event("owner_failed", partition=partition, **_describe_failure(error))


def _describe_failure(error: Exception) -> dict[str, object]:
    """Return the fields of an unexpected error; the traceback, often cut, is last."""
    cause: BaseException = error
    while isinstance(cause, BaseExceptionGroup):
        cause = cause.exceptions[0]
    frames = traceback.extract_tb(cause.__traceback__)
    at = [f"{os.path.basename(f.filename)}:{f.lineno} {f.name}" for f in frames[-1:]]
    return {
        "cause": decoding.describe_error(cause),
        "at": at,
        "error": traceback.format_exception(error)[-MAX_ERROR_LINES:],
    }


class JobMetrics:
    """Counters and histograms of jobs on one node."""

    registry: prometheus_client.CollectorRegistry
    _starts: prometheus_client.Counter
    _ends: prometheus_client.Counter
    _ends_without_task: prometheus_client.Counter
    _runs_gone: prometheus_client.Counter
    _crashes: prometheus_client.Counter
    _quota_requests: prometheus_client.Counter
    _quota_recalls: prometheus_client.Counter
    _quota_waits: prometheus_client.Counter
    _verdicts: prometheus_client.Gauge
    _verdict_changes: prometheus_client.Counter
    _interference_moves: prometheus_client.Counter
    _over_rate: prometheus_client.Counter
    _contended_rounds: prometheus_client.Counter
    _answers: prometheus_client.Counter
    _caller_refusals: prometheus_client.Counter
    _caller_connections: prometheus_client.Gauge
    _caller_held_bytes: prometheus_client.Gauge
    _job_seconds: prometheus_client.Histogram
    _answer_seconds: prometheus_client.Histogram
    _takeover_wait_seconds: prometheus_client.Histogram
    _wait_error_seconds: prometheus_client.Histogram
    _peak_height_error: prometheus_client.Histogram
    _peak_start_error_seconds: prometheus_client.Histogram

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._starts = prometheus_client.Counter(
            "clementinespar_task_starts",
            "Starts of tasks ordered by this node.",
            registry=self.registry,
        )
        self._ends = prometheus_client.Counter(
            "clementinespar_task_ends",
            "Ends of runs by kind.",
            ["kind"],
            registry=self.registry,
        )
        self._ends_without_task = prometheus_client.Counter(
            "clementinespar_ends_without_task",
            "Ends that are acknowledged although their task is not open, by the cause.",
            ["why"],
            registry=self.registry,
        )
        self._runs_gone = prometheus_client.Counter(
            "clementinespar_runs_gone",
            "Runs that count as ended although no end was listed, by the reason.",
            ["reason"],
            registry=self.registry,
        )
        self._crashes = prometheus_client.Counter(
            "clementinespar_task_crashes",
            "Runs whose worker died under them.",
            registry=self.registry,
        )
        self._quota_requests = prometheus_client.Counter(
            "clementinespar_quota_requests",
            "Requests of this node's owners to the ledger by result.",
            ["result"],
            registry=self.registry,
        )
        self._quota_recalls = prometheus_client.Counter(
            "clementinespar_quota_recalls",
            "Recalls of shares by this node's ledger by result.",
            ["result"],
            registry=self.registry,
        )
        self._quota_waits = prometheus_client.Counter(
            "clementinespar_quota_waits",
            "Reports of a team whose ready tasks wait for its share.",
            registry=self.registry,
        )
        self._verdicts = prometheus_client.Gauge(
            "clementinespar_interference_verdicts",
            "Pairs of images of which one slows down the other.",
            registry=self.registry,
        )
        self._verdict_changes = prometheus_client.Counter(
            "clementinespar_interference_changes",
            "Verdicts on interference that were reached or are gone.",
            ["change"],
            registry=self.registry,
        )
        self._interference_moves = prometheus_client.Counter(
            "clementinespar_interference_moves",
            "Lasting tasks that were moved away because of interference.",
            registry=self.registry,
        )
        self._over_rate = prometheus_client.Counter(
            "clementinespar_jobs_over_rate",
            "Jobs submitted above the rate of their team.",
            registry=self.registry,
        )
        self._contended_rounds = prometheus_client.Counter(
            "clementinespar_contended_rounds",
            "Rounds of placement that were ordered by the shares of teams.",
            registry=self.registry,
        )
        self._answers = prometheus_client.Counter(
            "clementinespar_job_answers",
            "Answers to callers by call and status.",
            ["call", "status"],
            registry=self.registry,
        )
        self._job_seconds = prometheus_client.Histogram(
            "clementinespar_job_seconds",
            "Time from acceptance to the final state.",
            ["state"],
            buckets=_JOB_SECONDS,
            registry=self.registry,
        )
        self._caller_refusals = prometheus_client.Counter(
            "clementinespar_caller_refusals",
            "Connections and unfinished requests that were ended, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self._caller_connections = prometheus_client.Gauge(
            "clementinespar_caller_connections",
            "Open connections of callers.",
            registry=self.registry,
        )
        self._caller_held_bytes = prometheus_client.Gauge(
            "clementinespar_caller_held_bytes",
            "Bytes held for requests that are not answered.",
            registry=self.registry,
        )
        self._answer_seconds = prometheus_client.Histogram(
            "clementinespar_job_answer_seconds",
            "Time to answer a caller.",
            ["call"],
            buckets=(0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0, 3.0),
            registry=self.registry,
        )
        self._takeover_wait_seconds = prometheus_client.Histogram(
            "clementinespar_takeover_wait_seconds",
            "Time from a takeover until all workers of previous owners are settled.",
            buckets=_TAKEOVER_SECONDS,
            registry=self.registry,
        )
        self._wait_error_seconds = prometheus_client.Histogram(
            "clementinespar_wait_estimate_error_seconds",
            "Wait of a job for its first start, less the estimate at its arrival.",
            ["expected"],
            buckets=_ERROR_SECONDS,
            registry=self.registry,
        )
        self._peak_height_error = prometheus_client.Histogram(
            "clementinespar_peak_height_error",
            "Height of a pool's peak less the expected one, in home sizes.",
            buckets=_ERROR_SHARES,
            registry=self.registry,
        )
        self._peak_start_error_seconds = prometheus_client.Histogram(
            "clementinespar_peak_start_error_seconds",
            "Start of a pool's peak, or the drop of its forecast, less the forecast.",
            buckets=_ERROR_SECONDS,
            registry=self.registry,
        )

    def observe_wait_error(self, error_ms: float, was_in_time: bool) -> None:
        """Count the first start of a job, by the error of its estimated wait.

        The estimate for a job that was not expected to start in time is an upper bound:
        it counts all work that waits, and such a job may still be the one that starts.
        """
        expected = "in_time" if was_in_time else "late"
        self._wait_error_seconds.labels(expected).observe(error_ms / 1000)

    def observe_peak_error(self, subject: str, error: float) -> None:
        """Count an error of the expected ``height`` or ``start`` of a peak."""
        if subject == "height":
            self._peak_height_error.observe(error)
        else:
            self._peak_start_error_seconds.observe(error)

    def count_verdict(self, is_reached: bool) -> None:
        """Count a verdict on interference that was reached, or else is gone."""
        self._verdict_changes.labels("reached" if is_reached else "gone").inc()
        self._verdicts.inc(1 if is_reached else -1)

    def forget_verdicts(self, count: int) -> None:
        """Count off the verdicts of an owner that has stopped."""
        self._verdicts.dec(count)

    def count_interference_move(self) -> None:
        """Count a lasting task that is moved away because of interference."""
        self._interference_moves.inc()

    def count_over_rate(self) -> None:
        """Count a job that was submitted above the rate of its team."""
        self._over_rate.inc()

    def count_contended_round(self) -> None:
        """Count a round of placement that was ordered by the shares of teams."""
        self._contended_rounds.inc()

    def count_start(self) -> None:
        """Count an ordered start of a task."""
        self._starts.inc()

    def count_end(self, kind: str) -> None:
        """Count the end of a run."""
        self._ends.labels(kind).inc()

    def count_end_without_task(self, why: str) -> None:
        """Count an end whose task is not open."""
        self._ends_without_task.labels(why).inc()

    def count_run_gone(self, reason: str) -> None:
        """Count a run that counts as ended although no end was listed."""
        self._runs_gone.labels(reason).inc()

    def observe_takeover_wait(self, seconds: float) -> None:
        """Count a settled takeover, by the time since previous owners are fenced."""
        self._takeover_wait_seconds.observe(seconds)

    def count_crash(self) -> None:
        """Count a run whose worker died under it."""
        self._crashes.inc()

    def count_quota_request(self, result: str) -> None:
        """Count a request to the ledger."""
        self._quota_requests.labels(result).inc()

    def count_quota_recall(self, result: str) -> None:
        """Count a recall of shares."""
        self._quota_recalls.labels(result).inc()

    def count_quota_wait(self) -> None:
        """Count a report of a team that waits for its share."""
        self._quota_waits.inc()

    def observe_job(self, state: str, age_ms: float) -> None:
        """Count a job that reached a final state, by the time since acceptance."""
        self._job_seconds.labels(state).observe(age_ms / 1000)

    def observe_answer(self, call: str, status: int, seconds: float) -> None:
        """Count an answer to a caller, by the time that it took."""
        self._answers.labels(call, str(status)).inc()
        self._answer_seconds.labels(call).observe(seconds)

    def observe_callers(
        self, connections: int, held_bytes: int, refusals: Mapping[str, int]
    ) -> None:
        """Set what is held for callers; `refusals` are those since the last call."""
        self._caller_connections.set(connections)
        self._caller_held_bytes.set(held_bytes)
        for reason, count in refusals.items():
            self._caller_refusals.labels(reason).inc(count)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)


class JsonEventLog:
    """`services.EventLog` that writes JSON lines and never blocks.

    Lines above the rate are dropped; the next line has their number.
    """

    _descriptor: int
    _node: str
    _tokens: float
    _refilled_at: float
    _dropped: int
    _pending: bytearray

    def __init__(self, node: str, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._node = node
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._dropped = 0
        self._pending = bytearray()
        os.set_blocking(descriptor, False)

    def __call__(self, event: str, **fields: object) -> None:
        """Write one line, or count it as dropped."""
        now = time.monotonic()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S
        )
        self._refilled_at = now
        if self._tokens < 1 or len(self._pending) > MAX_PENDING_BYTES:
            self._dropped += 1
            return
        self._tokens -= 1
        line: dict[str, object] = {"t": round(time.time(), 3), "node": self._node}
        line["event"] = event
        line.update(fields)
        if self._dropped:
            line["dropped_lines"] = self._dropped
            self._dropped = 0
        self._pending += json.dumps(line, default=str).encode() + b"\n"
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return  # written with the next line
        except OSError:
            self._pending.clear()  # the output is closed
            return
        del self._pending[:written]
