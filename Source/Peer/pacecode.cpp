#include "Peer/pacecode.h"

#include <algorithm>
#include <cmath>

namespace eelgrasscove {

namespace {

constexpr double stepsPerDoubling = 16;
/// Time of code 0. Engines in use write an event every 5 to 200 ms, the upper half of the range.
constexpr double baseMicros = 16;

} // namespace

std::uint8_t encodePace(double microsPerEvent)
{
    if (!std::isfinite(microsPerEvent) || microsPerEvent <= 0)
        return 0;
    const double steps = std::round(stepsPerDoubling * std::log2(microsPerEvent / baseMicros));
    return static_cast<std::uint8_t>(std::clamp(steps, 1.0, 255.0));
}

double decodePace(std::uint8_t pace)
{
    return pace == 0 ? 0 : baseMicros * std::exp2(pace / stepsPerDoubling);
}

} // namespace eelgrasscove
