#include "Peer/pacecode.h"

#include <algorithm>
#include <cmath>

namespace eelgrasscove {

namespace {

constexpr double stepsPerDoubling = 16;
/// Time of code 0. Engines in use take 10 to 200 microseconds a token, the middle of the range.
constexpr double baseNanos = 64;

} // namespace

std::uint8_t encodePace(double nanosPerToken)
{
    if (!std::isfinite(nanosPerToken) || nanosPerToken <= 0)
        return 0;
    const double steps = std::round(stepsPerDoubling * std::log2(nanosPerToken / baseNanos));
    return static_cast<std::uint8_t>(std::clamp(steps, 1.0, 255.0));
}

double decodePace(std::uint8_t pace)
{
    return pace == 0 ? 0 : baseNanos * std::exp2(pace / stepsPerDoubling);
}

} // namespace eelgrasscove
