#include "Observe/trace.h"

#include "Observe/log.h"

#include <algorithm>
#include <cstdio>
#include <fmt/core.h>
#include <random>
#include <utility>

namespace eelgrasscove {

namespace {

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;
constexpr std::size_t traceparentLength = 55;

std::string serviceName;
bool toStandardError = false;
SpanSink spanSink;

std::uint64_t randomBits()
{
    static thread_local std::mt19937_64 engine{std::random_device{}()};
    return engine();
}

bool isHex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char digit) {
        return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
    });
}

/// Nanoseconds since 1970 of a monotonic time, by the two clocks' present distance.
std::int64_t wallNanos(Time time)
{
    using namespace std::chrono;
    const auto wallNow = duration_cast<nanoseconds>(system_clock::now().time_since_epoch());
    return (wallNow + duration_cast<nanoseconds>(time - monotonicNow())).count();
}

std::string attributeJson(const SpanAttribute &attribute)
{
    return fmt::format(R"({{"key":"{}","value":{{"stringValue":"{}"}}}})", attribute.name_,
                       escapeJson(attribute.value_));
}

std::string spanJson(const Span &span)
{
    std::string attributes;
    for (const SpanAttribute &attribute : span.attributes_)
        attributes += (attributes.empty() ? "" : ",") + attributeJson(attribute);
    return fmt::format(R"({{"traceId":"{}","spanId":"{}","parentSpanId":"{}","name":"{}",)"
                       R"("startTimeUnixNano":"{}","endTimeUnixNano":"{}","attributes":[{}]}})",
                       span.context_.traceId_, span.context_.spanId_, span.parentSpanId_,
                       span.name_, wallNanos(span.start_), wallNanos(span.end_), attributes);
}

} // namespace

TraceContext parseTraceparent(std::string_view text)
{
    if (text.size() != traceparentLength || text.substr(0, 3) != "00-" || text[35] != '-'
        || text[52] != '-')
        return {};
    const std::string_view trace = text.substr(3, traceIdDigits);
    const std::string_view span = text.substr(36, spanIdDigits);
    if (!isHex(trace) || !isHex(span))
        return {};
    return {std::string(trace), std::string(span)};
}

std::string formatTraceparent(const TraceContext &context)
{
    return fmt::format("00-{}-{}-01", context.traceId_, context.spanId_);
}

TraceContext childOf(const TraceContext &parent)
{
    TraceContext child = parent;
    if (child.empty())
        child.traceId_ = fmt::format("{:016x}{:016x}", randomBits(), randomBits());
    child.spanId_ = fmt::format("{:016x}", randomBits());
    return child;
}

void configureTrace(std::string_view process, bool standardError, SpanSink sink)
{
    serviceName = process;
    toStandardError = standardError;
    spanSink = std::move(sink);
}

std::string spansJson(const std::vector<Span> &spans)
{
    std::string rows;
    for (const Span &span : spans)
        rows += (rows.empty() ? "" : ",") + spanJson(span);
    return fmt::format(
        R"({{"resourceSpans":[{{"resource":{{"attributes":[{{"key":"service.name","value":)"
        R"({{"stringValue":"{}"}}}}]}},"scopeSpans":[{{"spans":[{}]}}]}}]}})",
        escapeJson(serviceName), rows);
}

void emitSpan(Span span)
{
    if (toStandardError) {
        const std::string line = spansJson({span}) + "\n";
        std::fwrite(line.data(), 1, line.size(), stderr);
    }
    if (spanSink)
        spanSink(std::move(span));
}

} // namespace eelgrasscove
