"""Trace spans, one for each hop of a request.

Nothing of the OpenTelemetry SDK is imported unless an exporter is set, which keeps the
memory of a node without tracing low. The trace context of the caller is then passed on
unchanged.
"""

import contextlib
import re
from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING, Any

import logbook

from clementinespar import options

if TYPE_CHECKING:
    from opentelemetry.sdk.trace import export

_log = logbook.Logger("traces")

_TRACEPARENT = re.compile(
    r"(?P<version>[0-9a-f]{2})-(?P<trace_id>[0-9a-f]{32})-"
    r"(?P<span_id>[0-9a-f]{16})-(?P<flags>[0-9a-f]{2})(?P<rest>-.*)?"
)
_SAMPLED = 0x01
_FLUSH_TIMEOUT_MS = 2_000  # at a stop

# Attribute values of a span.
Attribute = str | int | float | bool


class Traceparent:
    """A W3C trace context.

    Parameters
    ----------
    trace_id, span_id : int
        Not zero.
    is_sampled : bool
        Whether the caller records the trace.
    """

    trace_id: int
    span_id: int
    is_sampled: bool

    def __init__(self, trace_id: int, span_id: int, is_sampled: bool) -> None:
        self.trace_id = trace_id
        self.span_id = span_id
        self.is_sampled = is_sampled

    def __str__(self) -> str:
        flags = _SAMPLED if self.is_sampled else 0
        return f"00-{self.trace_id:032x}-{self.span_id:016x}-{flags:02x}"


def parse_traceparent(text: str | None) -> Traceparent | None:
    """Parse a ``traceparent`` header; None if it is missing or not valid."""
    match = _TRACEPARENT.fullmatch(text.strip()) if text else None
    if match is None or match["version"] == "ff":
        return None
    if match["version"] == "00" and match["rest"]:
        return None
    trace_id, span_id = int(match["trace_id"], 16), int(match["span_id"], 16)
    if trace_id == 0 or span_id == 0:
        return None
    return Traceparent(trace_id, span_id, bool(int(match["flags"], 16) & _SAMPLED))


class Span:
    """One hop, as seen by the code that it covers.

    Parameters
    ----------
    traceparent : str or None
        Context to pass to the next hop.
    sdk_span : opentelemetry span or None
        None while tracing is off.
    """

    traceparent: str | None
    _sdk_span: Any

    def __init__(self, traceparent: str | None, sdk_span: Any = None) -> None:
        self.traceparent = traceparent
        self._sdk_span = sdk_span

    def set(self, name: str, value: Attribute) -> None:
        """Set an attribute."""
        if self._sdk_span is not None:
            self._sdk_span.set_attribute(name, value)


class Tracer:
    """Opens spans; without an exporter it only passes contexts on."""

    _sdk_tracer: Any

    def __init__(self, sdk_tracer: Any = None) -> None:
        self._sdk_tracer = sdk_tracer

    @contextlib.contextmanager
    def span(
        self, name: str, traceparent: str | None, **attributes: Attribute
    ) -> Iterator[Span]:
        """Open a span for one hop.

        Parameters
        ----------
        name : str
            What the hop does.
        traceparent : str or None
            Context of the previous hop; without a valid one a new trace begins.
        **attributes
            Attributes of the span.
        """
        if self._sdk_tracer is None:
            yield Span(traceparent)
            return
        from opentelemetry import trace

        context = None
        parent = parse_traceparent(traceparent)
        if parent is not None:
            flags = trace.TraceFlags(_SAMPLED if parent.is_sampled else 0)
            remote = trace.SpanContext(
                parent.trace_id, parent.span_id, is_remote=True, trace_flags=flags
            )
            context = trace.set_span_in_context(trace.NonRecordingSpan(remote))
        with self._sdk_tracer.start_as_current_span(
            name, context=context, attributes=attributes
        ) as sdk_span:
            own = sdk_span.get_span_context()
            text = str(Traceparent(own.trace_id, own.span_id, own.trace_flags.sampled))
            yield Span(text, sdk_span)


@contextlib.contextmanager
def tracing(settings: options.TelemetrySettings, node: str) -> Iterator[Tracer]:
    """Yield the tracer that the settings ask for; flush its spans at the end."""
    if settings.trace_exporter == "none":
        yield Tracer()
        return
    from opentelemetry.sdk import resources
    from opentelemetry.sdk import trace as sdk_trace
    from opentelemetry.sdk.trace import export

    resource = resources.Resource(
        {"service.name": "clementinespar", "service.instance.id": node}
    )
    # No atexit hook: the context flushes the spans.
    provider = sdk_trace.TracerProvider(resource=resource, shutdown_on_exit=False)
    exporter: export.SpanExporter
    if settings.trace_exporter == "log":
        exporter = _make_log_exporter()
        provider.add_span_processor(export.SimpleSpanProcessor(exporter))
    else:
        from opentelemetry.exporter.otlp.proto.http import trace_exporter

        exporter = trace_exporter.OTLPSpanExporter(endpoint=settings.otlp_endpoint)
        provider.add_span_processor(export.BatchSpanProcessor(exporter))
    try:
        yield Tracer(provider.get_tracer("clementinespar"))
    finally:
        provider.force_flush(_FLUSH_TIMEOUT_MS)
        provider.shutdown()


def _make_log_exporter() -> "export.SpanExporter":
    from opentelemetry.sdk import trace as sdk_trace
    from opentelemetry.sdk.trace import export

    class LogExporter(export.SpanExporter):
        """Writes each span as one log line."""

        def export(
            self, spans: Sequence[sdk_trace.ReadableSpan]
        ) -> export.SpanExportResult:
            for span in spans:
                _log.info("span {}", span.name, extra=_describe_span(span))
            return export.SpanExportResult.SUCCESS

    return LogExporter()


def _describe_span(span: Any) -> dict[str, object]:
    own = span.get_span_context()
    duration_ns = (span.end_time or 0) - (span.start_time or 0)
    return {
        "trace_id": f"{own.trace_id:032x}",
        "span_id": f"{own.span_id:016x}",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else None,
        "duration_ms": duration_ns / 1e6,
        **dict(span.attributes or {}),
    }
