"""Trace spans, one for each hop of a request, and their export.

Code that opens spans uses the OpenTelemetry API. To save memory, the SDK is imported
only if the settings name an exporter. Without one, the caller's trace context is passed
to the next hop unchanged.
"""

import contextlib
from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING, Any

import logbook
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

from clementinespar import options

if TYPE_CHECKING:
    from opentelemetry.sdk.trace import export as sdk_export

_log = logbook.Logger("traces")
_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
_TRACER = trace.get_tracer("clementinespar")
_ATTRIBUTE_PREFIX = "clementinespar."
_FLUSH_TIMEOUT_MS = 2_000  # bounds the time to stop while the collector is unavailable
_EXPORT_TIMEOUT_S = 2.0

# Value of a span attribute.
Attribute = str | int | float | bool


class HopSpan:
    """Span of one hop, for the code that runs in it.

    Parameters
    ----------
    traceparent : str or None
        W3C trace context to pass to the next hop.
    span : trace.Span
        The span of this hop.
    """

    traceparent: str | None
    _span: trace.Span

    def __init__(self, traceparent: str | None, span: trace.Span) -> None:
        self.traceparent = traceparent
        self._span = span

    def set(self, name: str, value: Attribute) -> None:
        """Set an attribute of the span."""
        self._span.set_attribute(_ATTRIBUTE_PREFIX + name, value)


@contextlib.contextmanager
def hop_span(
    name: str, traceparent: str | None, **attributes: Attribute
) -> Iterator[HopSpan]:
    """Open the span of a call from another process.

    Parameters
    ----------
    name : str
        Name of the span.
    traceparent : str or None
        W3C trace context of the previous hop; if it is invalid, a new trace begins.
    **attributes
        Attributes of the span.
    """
    with _TRACER.start_as_current_span(
        name,
        context=_PROPAGATOR.extract({"traceparent": traceparent or ""}),
        kind=trace.SpanKind.SERVER,
        attributes={_ATTRIBUTE_PREFIX + key: attributes[key] for key in attributes},
    ) as span:
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier)
        yield HopSpan(carrier.get("traceparent"), span)


@contextlib.contextmanager
def tracing(settings: options.TelemetrySettings, node: str) -> Iterator[None]:
    """Export spans as configured while the context is entered.

    The provider stays set after that, because OpenTelemetry allows setting it only once
    per process.
    """
    if settings.trace_exporter == "none":
        yield
        return
    from opentelemetry.sdk import resources
    from opentelemetry.sdk import trace as sdk_trace
    from opentelemetry.sdk.trace import export as sdk_export

    resource = resources.Resource(
        {"service.name": "clementinespar", "service.instance.id": node}
    )
    # No atexit hook: the context flushes the spans.
    provider = sdk_trace.TracerProvider(resource=resource, shutdown_on_exit=False)
    if settings.trace_exporter == "log":
        provider.add_span_processor(sdk_export.SimpleSpanProcessor(make_log_exporter()))
    else:
        from opentelemetry.exporter.otlp.proto.http import trace_exporter

        exporter = trace_exporter.OTLPSpanExporter(
            endpoint=settings.otlp_endpoint, timeout=_EXPORT_TIMEOUT_S
        )
        provider.add_span_processor(sdk_export.BatchSpanProcessor(exporter))
    trace.set_tracer_provider(provider)
    try:
        yield
    finally:
        provider.force_flush(_FLUSH_TIMEOUT_MS)
        provider.shutdown()


def make_log_exporter() -> "sdk_export.SpanExporter":
    """Return an exporter that writes each span as one log line."""
    from opentelemetry.sdk import trace as sdk_trace
    from opentelemetry.sdk.trace import export as sdk_export

    class LogExporter(sdk_export.SpanExporter):
        """Writes each span as one log line."""

        def export(
            self, spans: Sequence[sdk_trace.ReadableSpan]
        ) -> sdk_export.SpanExportResult:
            for span in spans:
                _log.info("span {}", span.name, extra=_span_fields(span))
            return sdk_export.SpanExportResult.SUCCESS

    return LogExporter()


def _span_fields(span: Any) -> dict[str, object]:
    span_context = span.get_span_context()
    duration_ns = (span.end_time or 0) - (span.start_time or 0)
    return {
        "trace_id": f"{span_context.trace_id:032x}",
        "span_id": f"{span_context.span_id:016x}",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else None,
        "duration_ms": duration_ns / 1e6,
        **dict(span.attributes or {}),
    }
