#include "Agent/pacefit.h"

#include "Peer/pacecode.h"

#include <cmath>
#include <cstdlib>

namespace eelgrasscove {

namespace {

/// Weight of earlier streams after each new one: about the last 100 count, which an engine with
/// seven requests a second gets in 15 s.
constexpr double retention = 0.99;

/// Minimum number of streams for a pace.
constexpr double minStreams = 10;

/// Steps of the code by which the average has to differ from the reported pace to replace it, as
/// every change may move adapters.
constexpr int maxDeviationSteps = 2;

/// Upper limit of the mean of an entry's streams: clients leave after shorter pauses.
constexpr double maxMeanMillis = 60'000;

/// Whether the sum is positive and within the limit; also false for numbers that are not finite.
bool isValid(const EventIntervalSums &sums)
{
    return sums.streams_ > 0 && sums.millis_ > 0 && sums.millis_ <= sums.streams_ * maxMeanMillis;
}

} // namespace

bool addEventIntervals(PaceFit &fit, const EventIntervalSums &sums)
{
    if (!isValid(sums))
        return false;
    const double kept = std::pow(retention, sums.streams_);
    fit.streams_ = fit.streams_ * kept + sums.streams_;
    fit.millis_ = fit.millis_ * kept + sums.millis_;
    if (fit.streams_ < minStreams)
        return true;
    constexpr double microsPerMilli = 1000;
    const std::uint8_t pace = encodePace(fit.millis_ / fit.streams_ * microsPerMilli);
    const int deviation = std::abs(static_cast<int>(pace) - fit.reported_);
    if (pace != 0 && (fit.reported_ == 0 || deviation > maxDeviationSteps))
        fit.reported_ = pace;
    return true;
}

} // namespace eelgrasscove
