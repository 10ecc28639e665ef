"""All metrics of a node, in a separate registry."""

import time

import prometheus_client
from prometheus_client import exposition

from clementinespar.requests import model

REGISTRY = prometheus_client.CollectorRegistry()

# Seconds; deadlines of callers range from tens of milliseconds to minutes.
_DURATION_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)

REQUESTS = prometheus_client.Counter(
    "clementinespar_requests_total",
    "Requests of callers by service, outcome and result code, at the ingress node",
    ("service", "outcome", "code"),
    registry=REGISTRY,
)
REQUEST_SECONDS = prometheus_client.Histogram(
    "clementinespar_request_seconds",
    "Time from the arrival of a request to its outcome, at the ingress node",
    ("service",),
    buckets=_DURATION_BUCKETS,
    registry=REGISTRY,
)
QUEUE_WAIT_SECONDS = prometheus_client.Histogram(
    "clementinespar_queue_wait_seconds",
    "Time that requests wait in the owner's queue",
    ("service",),
    buckets=_DURATION_BUCKETS,
    registry=REGISTRY,
)
TARGET_ATTEMPTS = prometheus_client.Counter(
    "clementinespar_target_attempts_total",
    "Attempts sent to targets",
    ("service",),
    registry=REGISTRY,
)
FORWARDED_REQUESTS = prometheus_client.Counter(
    "clementinespar_forwarded_requests_total",
    "Requests that other nodes forwarded to this one as the owner of their queue",
    ("service", "outcome"),
    registry=REGISTRY,
)
IN_FLIGHT_REQUESTS = prometheus_client.Gauge(
    "clementinespar_requests_in_flight",
    "Requests of callers without an outcome yet",
    registry=REGISTRY,
)
APPLIED_OFFSET = prometheus_client.Gauge(
    "clementinespar_applied_offset",
    "Offset of the last log entry that this node has applied",
    registry=REGISTRY,
)
RECORDS = prometheus_client.Counter(
    "clementinespar_records_total",
    "Log records applied, by result code",
    ("code",),
    registry=REGISTRY,
)
DOCUMENT_REVISION = prometheus_client.Gauge(
    "clementinespar_document_revision",
    "Revision of the document in force on this node",
    ("environment",),
    registry=REGISTRY,
)
LIVE_PEERS = prometheus_client.Gauge(
    "clementinespar_live_peers",
    "Other entry nodes that answer heartbeats",
    registry=REGISTRY,
)
HEARTBEAT_BYTES = prometheus_client.Counter(
    "clementinespar_heartbeat_bytes_total",
    "Bytes of encoded heartbeat messages sent and received, without framing",
    ("direction",),
    registry=REGISTRY,
)
HOST_LIST_AGE = prometheus_client.Gauge(
    "clementinespar_host_list_age_seconds",
    "Age of the newest host list",
    registry=REGISTRY,
)
DUTY_HELD = prometheus_client.Gauge(
    "clementinespar_duty_held",
    "Whether this node is the lease holder of a duty",
    ("duty",),
    registry=REGISTRY,
)
READY = prometheus_client.Gauge(
    "clementinespar_ready",
    "Whether this node accepts work",
    registry=REGISTRY,
)
PLANNER_ROUNDS = prometheus_client.Counter(
    "clementinespar_planner_rounds_total",
    "Rounds of the planners by duty and result code",
    ("duty", "result"),
    registry=REGISTRY,
)
START_TIME = prometheus_client.Gauge(
    "clementinespar_start_time_seconds",
    "Wall time at which the process started",
    registry=REGISTRY,
)
START_TIME.set(time.time())
prometheus_client.ProcessCollector(registry=REGISTRY)

CONTENT_TYPE: str = exposition.CONTENT_TYPE_LATEST


def count_outcome(service: str, outcome: model.Outcome, seconds: float) -> None:
    """Count one outcome returned to a caller, and the seconds that it took."""
    REQUESTS.labels(service, outcome.kind.value, str(int(outcome.code))).inc()
    REQUEST_SECONDS.labels(service).observe(seconds)


def render() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return exposition.generate_latest(REGISTRY)
