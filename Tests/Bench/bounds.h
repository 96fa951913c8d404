#pragma once

/// What no policy can beat on a workload: all adapter slots of the fleet as one, on demand.

#include "workload.h"

#include <cstdint>
#include <vector>

namespace eelgrasscove {

/// The figures of one perfect fleet, which has no limit on batch and no lag. docs/MEASURES.md says
/// how they are defined.
struct FleetBound
{
    std::int64_t requests_ = 0;
    /// Requests whose adapter isn't there when they arrive.
    std::int64_t misses_ = 0;
    /// Times to first token of the interactive requests, the store's loads first come first served.
    std::vector<Duration> firstTokens_;
    /// Interactive requests that miss the first token's goal in whatever order the store serves.
    std::int64_t late_ = 0;
};

struct FleetBounds
{
    /// The best replacement (Belady's), which knows the future.
    FleetBound clairvoyant_;
    /// Keeps the adapters whose true popularity is highest, and knows it at once when it shifts.
    FleetBound informed_;
    /// Requests that are the first for their adapter.
    std::int64_t firstRequests_ = 0;
};

FleetBounds fleetBounds(const Workload &workload, std::uint64_t seed,
                        const std::vector<BenchRequest> &requests);

} // namespace eelgrasscove
