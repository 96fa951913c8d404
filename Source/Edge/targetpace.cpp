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

/// Relative paces between this and its inverse count as 1. The fits of targets of the same pace
/// differ by up to 35 % from their median with their load, and adapters are not to move for that.
constexpr double minRelativeDifference = 1.4;

/// Exponent of the capacity by pace. Beside the streams that it runs for longer, a slow target has
/// longer pauses at the same number of streams, so its share is below the ratio of the paces.
constexpr double shareExponent = -1.5;

/// A first event that comes later than this multiple of the prediction waited for prompts that the
/// entry did not know of, which says nothing of the pace.
constexpr int maxLatenessFactor = 2;

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

void addFirstEvent(FirstEventSums &sums, double tokensAhead, Duration elapsed, Duration predicted)
{
    if (tokensAhead <= 0 || sums.count_ == std::numeric_limits<std::uint16_t>::max())
        return;
    if (predicted > Duration::zero())
        elapsed = std::min(elapsed, predicted * maxLatenessFactor);
    const double millis = std::chrono::duration<double, std::milli>(elapsed).count();
    ++sums.count_;
    sums.tokens_ += static_cast<float>(tokensAhead);
    sums.millis_ += static_cast<float>(millis);
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
