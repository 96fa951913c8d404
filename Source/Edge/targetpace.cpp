#include "Edge/targetpace.h"

#include "Peer/pacecode.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Time after which half of a stated deviation is still expected: slow spans last a few hundred
/// milliseconds.
constexpr Duration workTimeHalfLife = 200ms;

/// Lowest factor. A target that states less than half of the usual time isn't relied on to be that
/// fast for the next request.
constexpr double minTransientFactor = 0.5;

/// Relative paces between this and its inverse count as 1. Targets of the same pace differ by up to
/// a fifth with the number of their streams, and adapters are not to move for that.
constexpr double minRelativeDifference = 1.25;

/// Exponent of the capacity by pace. Beside the streams that it runs for longer, a slow target has
/// longer pauses at the same number of streams, so its share is below the ratio of the paces.
constexpr double shareExponent = -1.5;

/// Minimum number of intervals for a quartile.
constexpr std::size_t minIntervals = 8;

} // namespace

std::vector<double> relativePaces(const std::vector<std::uint8_t> &reported)
{
    std::vector<std::uint8_t> known;
    std::copy_if(reported.begin(), reported.end(), std::back_inserter(known),
                 [](std::uint8_t pace) { return pace != 0; });
    std::vector<double> relative(reported.size(), 1.0);
    if (known.empty())
        return relative;
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    const double median = decodePace(*middle);
    for (std::size_t at = 0; at < reported.size(); ++at) {
        const double ratio = reported[at] == 0 ? 1 : decodePace(reported[at]) / median;
        if (ratio >= minRelativeDifference || ratio <= 1 / minRelativeDifference)
            relative[at] = ratio;
    }
    return relative;
}

double capacityShare(double relativePace)
{
    return relativePace == 1 ? 1 : std::pow(relativePace, shareExponent);
}

void addStream(EventIntervalSums &sums, std::vector<float> intervals)
{
    if (intervals.size() < minIntervals
        || sums.streams_ == std::numeric_limits<std::uint16_t>::max())
        return;
    const auto quartile = intervals.begin() + static_cast<std::ptrdiff_t>(intervals.size() / 4);
    std::nth_element(intervals.begin(), quartile, intervals.end());
    ++sums.streams_;
    sums.millis_ += *quartile;
}

Duration usualTime(Duration elapsed, const WorkTime &workTime, Time now)
{
    return std::chrono::duration_cast<Duration>(elapsed / transientFactor(workTime, now));
}

double transientFactor(const WorkTime &workTime, Time now)
{
    if (workTime.percent_ == 0)
        return 1;
    const Duration age = std::max(now - workTime.statedAt_, Duration::zero());
    const double halfLives =
        std::chrono::duration<double>(age) / std::chrono::duration<double>(workTimeHalfLife);
    const double deviation = static_cast<double>(workTime.percent_) / 100 - 1;
    return std::max(1 + deviation * std::exp2(-halfLives), minTransientFactor);
}

} // namespace eelgrasscove
