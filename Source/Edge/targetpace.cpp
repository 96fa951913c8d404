#include "Edge/targetpace.h"

#include <algorithm>
#include <cmath>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Time after which half of a stated deviation is still expected: slow spans last a few hundred
/// milliseconds.
constexpr Duration workTimeHalfLife = 200ms;

/// Lowest factor. A target that states less than half of the usual time isn't relied on to be that
/// fast for the next request.
constexpr double minTransientFactor = 0.5;

} // namespace

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
