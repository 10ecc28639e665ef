"""Tests of logs, metrics and traces."""

import io
import json
import logging

import logbook
import pytest
from opentelemetry import trace
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace.export import in_memory_span_exporter
from prometheus_client import parser

from clementinespar import codes, options
from clementinespar.requests import model
from clementinespar.telemetry import logs, metrics, traces


def _logged_lines(settings: options.TelemetrySettings) -> list[dict[str, object]]:
    stream = io.StringIO()
    with logs.logging_to(settings, "n1", stream):
        log = logbook.Logger("test")
        log.debug("hidden")
        log.warning("line {}\nbreak", 1, extra={"code": 7, "api_token": "s3cret"})
        logging.getLogger("library").error("from %s", "the standard module")
        try:
            raise ValueError("bad")
        except ValueError:
            log.exception("failed")
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_each_record_is_one_json_line_without_secrets() -> None:
    """Guards against records that span lines, leak secrets or lack fields."""
    warning, library, failure = _logged_lines(
        options.TelemetrySettings(log_level="info")
    )
    assert warning["message"] == "line 1\nbreak"
    assert warning["node"] == "n1"
    assert warning["level"] == "warning"
    assert warning["code"] == 7
    assert warning["api_token"] == "[redacted]"
    assert library["message"] == "from the standard module"
    assert failure["error"] == "ValueError: bad"


def test_records_below_the_configured_level_are_not_written() -> None:
    """Guards against a log level that is not applied to all loggers."""
    lines = _logged_lines(options.TelemetrySettings(log_level="error"))
    assert [line["level"] for line in lines] == ["error", "error"]


def test_outcomes_are_counted_in_the_registry() -> None:
    """Guards against an outcome that is counted twice or under wrong labels."""
    outcome = model.Outcome(model.OutcomeKind.NOT_RUN, codes.ResultCode.QUEUE_FULL)
    metrics.count_outcome("metered", outcome, 0.02)
    samples = [
        sample
        for family in parser.text_string_to_metric_families(metrics.render().decode())
        for sample in family.samples
        if sample.labels.get("service") == "metered"
    ]
    counted = {
        (sample.labels["outcome"], sample.labels["code"]): sample.value
        for sample in samples
        if sample.name == "clementinespar_requests_total"
    }
    assert counted == {("not-run", "303"): 1.0}


_PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


def test_hop_continues_the_trace_of_the_caller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a span outside the caller's trace, or without its attributes."""
    exporter = in_memory_span_exporter.InMemorySpanExporter()
    provider = sdk_trace.TracerProvider(shutdown_on_exit=False)
    provider.add_span_processor(export.SimpleSpanProcessor(exporter))
    monkeypatch.setattr(traces, "_TRACER", provider.get_tracer("test"))
    with traces.hop_span("hop", _PARENT, ingress="n2") as span:
        span.set("outcome", "answered")
    (finished,) = exporter.get_finished_spans()
    assert finished.parent is not None
    assert f"{finished.parent.span_id:016x}" == "b7ad6b7169203331"
    assert finished.attributes is not None
    assert finished.attributes["clementinespar.ingress"] == "n2"
    assert finished.attributes["clementinespar.outcome"] == "answered"
    span_context = finished.get_span_context()
    assert span_context is not None
    assert (
        span.traceparent
        == f"00-{span_context.trace_id:032x}-{span_context.span_id:016x}-01"
    )


@pytest.mark.parametrize("text", [None, "", "00-zz", "00-" + "0" * 32 + "-1-01"])
def test_invalid_trace_context_begins_a_new_trace(text: str | None) -> None:
    """Guards against an error, or a malformed context sent to the next hop."""
    with traces.hop_span("hop", text) as span:
        assert span.traceparent != text or text is None


def test_trace_context_is_unchanged_without_an_exporter() -> None:
    """Guards against a trace that breaks at a node which exports no spans."""
    with (
        traces.tracing(options.TelemetrySettings(), "n1"),
        traces.hop_span("hop", _PARENT) as span,
    ):
        assert span.traceparent == _PARENT


def test_log_exporter_writes_spans_as_log_lines() -> None:
    """Guards against log lines that lack attributes or the duration of a span."""
    stream = io.StringIO()
    provider = sdk_trace.TracerProvider(shutdown_on_exit=False)
    provider.add_span_processor(export.SimpleSpanProcessor(traces.make_log_exporter()))
    with logs.logging_to(options.TelemetrySettings(), "n1", stream):
        tracer: trace.Tracer = provider.get_tracer("test")
        with tracer.start_as_current_span("hop", attributes={"service": "orders"}):
            pass
    line = json.loads(stream.getvalue())
    assert line["message"] == "span hop"
    assert line["service"] == "orders"
    assert line["duration_ms"] >= 0
