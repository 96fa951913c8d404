#pragma once

/// Targets on a ring of hashes, each at one point, with the time that each makes a request wait.
/// A subject belongs to the target that lies closest behind one of its several probes (multi-probe
/// consistent hashing): every process that sees the same targets chooses alike, the parts are
/// nearly equal, and a target that comes or goes moves only its own subjects. A search costs the
/// logarithm of the number of targets and allocates nothing. Pure.

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
    /// By point.
    std::vector<RingPlace> places_;
    /// The least wait below each node of a binary tree over the places; the leaves are the second
    /// half.
    std::vector<Duration> least_;
};

/// The point of a target.
std::uint64_t ringPoint(const VmName &vm);

/// How far a point lies behind the nearest probe of the subject; the least distance wins.
std::uint64_t ringDistance(std::uint64_t subject, std::uint64_t point);

/// Of a place that is there already, sets the wait.
void insertPlace(RoutingRing &ring, const RingPlace &place, Duration wait);
void erasePlace(RoutingRing &ring, const RingPlace &place);
/// The place is on the ring.
void setPlaceWait(RoutingRing &ring, const RingPlace &place, Duration wait);

/// The least wait among targets that aren't left out; empty where there is none.
std::optional<Duration> leastWait(const RoutingRing &ring, std::span<const RingPlace> leftOut);

/// The subject's target among those that make it wait no longer than the bound.
std::optional<std::uint32_t> ringTarget(const RoutingRing &ring, std::uint64_t subject,
                                        Duration bound, std::span<const RingPlace> leftOut);

} // namespace eelgrasscove
