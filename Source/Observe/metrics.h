#pragma once

/// Counters, gauges and histograms of the process, written as Prometheus text.

#include <eelgrasscove/time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrasscove {

/// Returns a label as Prometheus text. The value may have any characters.
std::string metricLabel(std::string_view name, std::string_view value);

/// Adds to a counter. labels is Prometheus text without braces, such as `code="not_found"`; it
/// never holds a caller's key.
void countMetric(std::string_view name, std::string_view labels = {}, std::uint64_t by = 1);

void setGauge(std::string_view name, std::string_view labels, double value);

/// Takes a duration into a histogram in seconds, 100 us to 100 s in logarithmic steps.
void observeDuration(std::string_view name, std::string_view labels, Duration duration);

/// All metrics in the Prometheus text format 0.0.4.
std::string metricsText();

} // namespace eelgrasscove
