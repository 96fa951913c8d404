#pragma once

/// Traces: W3C traceparent on every hop, spans in the OTLP/JSON shape, to standard error
/// or a collector.

#include <eelgrasscove/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasscove {

/// Where a span stands: its trace (32 hex digits) and itself (16 hex digits).
struct TraceContext
{
    std::string traceId_;
    std::string spanId_;

    bool empty() const { return traceId_.empty(); }
};

/// Reads "00-<trace>-<span>-<flags>"; empty where the text isn't one.
TraceContext parseTraceparent(std::string_view text);

std::string formatTraceparent(const TraceContext &context);

/// A new span below parent, or a new trace where parent is empty.
TraceContext childOf(const TraceContext &parent);

struct SpanAttribute
{
    std::string_view name_;
    std::string value_;
};

/// One hop's part in a request.
struct Span
{
    std::string_view name_;
    TraceContext context_;
    /// Span id of the hop before; empty for a trace's first span.
    std::string parentSpanId_;
    Time start_;
    Time end_;
    std::vector<SpanAttribute> attributes_;
};

/// Takes spans on their way to a collector. Must not block.
using SpanSink = std::function<void(Span &&)>;

/// Where spans go: to standard error, to the sink where there is one, or nowhere, as at start. Not
/// while other threads emit spans.
void configureTrace(std::string_view process, bool standardError, SpanSink sink = {});

/// The spans as one resource, in the OTLP/JSON resourceSpans shape.
std::string spansJson(const std::vector<Span> &spans);

/// Hands the span on; to standard error as one line of that shape.
void emitSpan(Span span);

} // namespace eelgrasscove
