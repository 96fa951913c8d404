#include "Observe/metrics.h"

#include <boost/histogram.hpp>
#include <fmt/core.h>
#include <map>
#include <mutex>

namespace eelgrasscove {

namespace {

constexpr unsigned bucketCount = 24;
constexpr double smallestSeconds = 1e-4;
constexpr double largestSeconds = 100.0;

using DurationAxis =
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

auto makeHistogram()
{
    return boost::histogram::make_histogram(
        DurationAxis(bucketCount, smallestSeconds, largestSeconds));
}

struct DurationHistogram
{
    decltype(makeHistogram()) buckets_ = makeHistogram();
    double sumSeconds_ = 0;
};

/// A metric's name with one set of labels.
struct Series
{
    std::string name_;
    std::string labels_;

    auto operator<=>(const Series &) const = default; // NOLINT(modernize-use-nullptr)
};

struct Registry
{
    std::mutex mutex_;
    std::map<Series, std::uint64_t> counters_;
    std::map<Series, double> gauges_;
    std::map<Series, DurationHistogram> histograms_;
};

Registry &registry()
{
    static Registry instance;
    return instance;
}

Series seriesOf(std::string_view name, std::string_view labels)
{
    return {std::string(name), std::string(labels)};
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

std::string bucketLine(const Series &series, std::string_view bound, double count)
{
    const std::string comma = series.labels_.empty() ? "" : ",";
    return fmt::format("{}_bucket{{{}{}le=\"{}\"}} {:.0f}\n", series.name_, series.labels_, comma,
                       bound, count);
}

std::string histogramText(const Series &series, const DurationHistogram &histogram)
{
    std::string text;
    const auto &axis = histogram.buckets_.axis();
    // Index -1 holds what was below the first bound.
    double below = histogram.buckets_.at(-1);
    for (int index = 0; index < axis.size(); ++index) {
        text += bucketLine(series, fmt::format("{:.6g}", axis.bin(index).lower()), below);
        below += histogram.buckets_.at(index);
    }
    const double all = below + histogram.buckets_.at(axis.size());
    text += bucketLine(series, fmt::format("{:.6g}", largestSeconds), below);
    text += bucketLine(series, "+Inf", all);
    text += fmt::format("{}_sum{} {:.6f}\n", series.name_, braced(series.labels_),
                        histogram.sumSeconds_);
    text += fmt::format("{}_count{} {:.0f}\n", series.name_, braced(series.labels_), all);
    return text;
}

/// The type line, once before a metric's first series.
std::string typeLine(std::string &last, const std::string &name, std::string_view type)
{
    if (last == name)
        return "";
    last = name;
    return fmt::format("# TYPE {} {}\n", name, type);
}

} // namespace

std::string metricLabel(std::string_view name, std::string_view value)
{
    std::string label(name);
    label += "=\"";
    for (const char character : value) {
        if (character == '"' || character == '\\')
            label += '\\';
        if (character == '\n')
            label += "\\n";
        else
            label += character;
    }
    label += '"';
    return label;
}

void countMetric(std::string_view name, std::string_view labels, std::uint64_t by)
{
    Registry &metrics = registry();
    const std::lock_guard guard(metrics.mutex_);
    metrics.counters_[seriesOf(name, labels)] += by;
}

void setGauge(std::string_view name, std::string_view labels, double value)
{
    Registry &metrics = registry();
    const std::lock_guard guard(metrics.mutex_);
    metrics.gauges_[seriesOf(name, labels)] = value;
}

void observeDuration(std::string_view name, std::string_view labels, Duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    Registry &metrics = registry();
    const std::lock_guard guard(metrics.mutex_);
    DurationHistogram &histogram = metrics.histograms_[seriesOf(name, labels)];
    histogram.buckets_(seconds);
    histogram.sumSeconds_ += seconds;
}

std::string metricsText()
{
    Registry &metrics = registry();
    const std::lock_guard guard(metrics.mutex_);
    std::string text;
    std::string last;
    for (const auto &[series, value] : metrics.counters_) {
        text += typeLine(last, series.name_, "counter");
        text += fmt::format("{}{} {}\n", series.name_, braced(series.labels_), value);
    }
    for (const auto &[series, value] : metrics.gauges_) {
        text += typeLine(last, series.name_, "gauge");
        text += fmt::format("{}{} {}\n", series.name_, braced(series.labels_), value);
    }
    for (const auto &[series, histogram] : metrics.histograms_) {
        text += typeLine(last, series.name_, "histogram");
        text += histogramText(series, histogram);
    }
    return text;
}

} // namespace eelgrasscove
