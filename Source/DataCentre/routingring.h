#pragma once

/// Assigns subjects to targets by multi-probe consistent hashing, limited to targets whose expected
/// wait is within a bound. Each target has one point on the ring; a subject belongs to the target
/// that follows one of its several probes at the least distance. Processes with the same targets
/// choose identically, the targets' shares are nearly equal, and adding or removing a target moves
/// only its own subjects. A search takes time logarithmic in the number of targets and allocates
/// nothing. Pure functions: no clock, I/O or threads.

#include <eelgrasscove/names.h>
#include <eelgrasscove/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace eelgrasscove {

struct RingPlace
{
    std::uint64_t point_ = 0;
    std::uint32_t target_ = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const RingPlace &) const = default;
};

struct RoutingRing
{
    /// Sorted by point.
    std::vector<RingPlace> places_;
    /// Binary tree over the places: each node holds the least wait of its leaves. The leaves are
    /// the second half.
    std::vector<Duration> least_;
};

/// Returns the point of a target.
std::uint64_t ringPoint(const VmName &vm);

/// Returns the distance from the nearest preceding probe of the subject to the point; the least
/// distance wins.
std::uint64_t ringDistance(std::uint64_t subject, std::uint64_t point);

/// Adds the place, or sets its wait if it is already on the ring.
void insertPlace(RoutingRing &ring, const RingPlace &place, Duration wait);
void erasePlace(RoutingRing &ring, const RingPlace &place);
/// The place must be on the ring.
void setPlaceWait(RoutingRing &ring, const RingPlace &place, Duration wait);

/// Returns the least wait among targets that are not excluded; empty if there are none.
std::optional<Duration> leastWait(const RoutingRing &ring, std::span<const RingPlace> excluded);

/// Returns the subject's target among those whose wait is within the bound.
std::optional<std::uint32_t> findRingTarget(const RoutingRing &ring, std::uint64_t subject,
                                            Duration bound, std::span<const RingPlace> excluded);

} // namespace eelgrasscove
