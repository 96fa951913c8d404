#include "Agent/pacefit.h"

#include "Peer/pacecode.h"

#include <cmath>
#include <cstdlib>

namespace eelgrasscove {

namespace {

/// Weight of earlier first events after each new one: about the last 1,000 count, which an engine
/// with seven requests a second gets in two and a half minutes.
constexpr double retention = 0.999;

/// Minimum number of first events for a pace.
constexpr double minFirstEvents = 30;

/// Steps of the code by which the fit has to differ from the reported pace to replace it, as every
/// change may move adapters.
constexpr int maxDeviationSteps = 2;

/// Upper limits of the means of an entry's first events. No context is that long, and no request
/// waits for that time.
constexpr double maxMeanTokens = 1e7;
constexpr double maxMeanMillis = 600'000;

/// Whether the numbers are positive and within the limits; also false for numbers that are not
/// finite.
bool isValid(const FirstEventSums &sums)
{
    const double count = sums.count_;
    return count > 0 && sums.tokens_ > 0 && sums.tokens_ <= count * maxMeanTokens
        && sums.millis_ >= 0 && sums.millis_ <= count * maxMeanMillis;
}

} // namespace

bool addFirstEvents(PaceFit &fit, const FirstEventSums &sums)
{
    if (!isValid(sums))
        return false;
    const double kept = std::pow(retention, sums.count_);
    fit.count_ = fit.count_ * kept + sums.count_;
    fit.tokens_ = fit.tokens_ * kept + sums.tokens_;
    fit.millis_ = fit.millis_ * kept + sums.millis_;
    if (fit.count_ < minFirstEvents)
        return true;
    constexpr double nanosPerMilli = 1e6;
    const std::uint8_t pace = encodePace(fit.millis_ / fit.tokens_ * nanosPerMilli);
    const int deviation = std::abs(static_cast<int>(pace) - fit.reported_);
    if (pace != 0 && (fit.reported_ == 0 || deviation > maxDeviationSteps))
        fit.reported_ = pace;
    return true;
}

} // namespace eelgrasscove
