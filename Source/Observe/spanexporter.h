#pragma once

/// Sends spans to a collector over HTTP, in batches, from a thread of its own. Whoever makes a span
/// never waits: a full ring or a collector that doesn't answer drops spans, which are counted.

#include "Observe/trace.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrasscove {

/// Spans held for the collector; more are dropped.
constexpr std::size_t heldSpans = 8192;
/// A batch is sent once it has so many spans, or once its first one has waited so long.
constexpr std::size_t batchSpans = 512;
constexpr Duration batchWait = std::chrono::seconds(1);
/// Time for one call of the collector.
constexpr Duration collectorTimeout = std::chrono::seconds(1);
/// Time that a graceful stop gives to the spans still held.
constexpr Duration flushTime = std::chrono::seconds(2);

/// What becomes of spans, as counters.
constexpr std::string_view spansSentMetric = "eelgrasscove_spans_sent_total";
constexpr std::string_view spansDroppedMetric = "eelgrasscove_spans_dropped_total";

/// The collector's own path, after the address of the settings.
constexpr std::string_view collectorPath = "/v1/traces";

class SpanExporter
{
public:
    /// collector is "http://IP:PORT"; where it is empty, nothing is started or held.
    explicit SpanExporter(const std::string &collector);
    /// Drops what is held.
    ~SpanExporter();

    SpanExporter(const SpanExporter &) = delete;
    SpanExporter &operator=(const SpanExporter &) = delete;

    void start();
    /// Sends what is held, at most for flushTime.
    void flushAndStop();

    /// What takes the spans from any thread; empty where there is no collector. It may be called
    /// for as long as the exporter lives.
    SpanSink sink();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace eelgrasscove
