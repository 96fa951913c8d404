#include "DataCentre/routingring.h"

#include "DataCentre/rendezvous.h"

#include <algorithm>
#include <bit>

namespace eelgrasscove {

namespace {

/// With this number of probes, the largest target's share exceeds the mean by about 5 %.
constexpr std::uint64_t probeCount = 21;
constexpr Duration infiniteWait = Duration::max();

/// The finalizer of SplitMix64.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::uint64_t probePoint(std::uint64_t subject, std::uint64_t probe)
{
    constexpr std::uint64_t oddStep = 0x9e3779b97f4a7c15ULL;
    return mix(subject + probe * oddStep);
}

std::size_t leafCount(const RoutingRing &ring)
{
    return ring.least_.size() / 2;
}

std::size_t indexOf(const RoutingRing &ring, const RingPlace &place)
{
    const auto found = std::lower_bound(ring.places_.begin(), ring.places_.end(), place);
    return static_cast<std::size_t>(found - ring.places_.begin());
}

bool hasPlace(const RoutingRing &ring, const RingPlace &place)
{
    const std::size_t index = indexOf(ring, place);
    return index < ring.places_.size() && ring.places_[index] == place;
}

bool isExcluded(const RingPlace &place, std::span<const RingPlace> excluded)
{
    return std::find(excluded.begin(), excluded.end(), place) != excluded.end();
}

/// Rebuilds the tree from the waits of the places.
void buildTree(RoutingRing &ring, const std::vector<Duration> &waits)
{
    const std::size_t count = std::bit_ceil(std::max<std::size_t>(1, waits.size()));
    ring.least_.assign(2 * count, infiniteWait);
    std::copy(waits.begin(), waits.end(), ring.least_.begin() + static_cast<std::ptrdiff_t>(count));
    for (std::size_t node = count - 1; node > 0; --node)
        ring.least_[node] = std::min(ring.least_[2 * node], ring.least_[2 * node + 1]);
}

std::vector<Duration> waitsOf(const RoutingRing &ring)
{
    const auto first = ring.least_.begin() + static_cast<std::ptrdiff_t>(leafCount(ring));
    return {first, first + static_cast<std::ptrdiff_t>(ring.places_.size())};
}

/// Returns the first leaf at or after an index whose wait is within the bound, or the number of
/// places if there is none.
std::size_t nextWithin(const RoutingRing &ring, std::size_t from, Duration bound)
{
    if (from >= ring.places_.size())
        return ring.places_.size();
    std::size_t node = leafCount(ring) + from;
    while (ring.least_[node] > bound) {
        while ((node & 1) == 1)
            node /= 2;
        if (node == 0)
            return ring.places_.size();
        ++node;
    }
    while (node < leafCount(ring)) {
        node *= 2;
        if (ring.least_[node] > bound)
            ++node;
    }
    return node - leafCount(ring);
}

/// Like nextWithin, but skips excluded places.
std::size_t nextAllowed(const RoutingRing &ring, std::size_t from, Duration bound,
                        std::span<const RingPlace> excluded)
{
    std::size_t index = nextWithin(ring, from, bound);
    while (index < ring.places_.size() && isExcluded(ring.places_[index], excluded))
        index = nextWithin(ring, index + 1, bound);
    return index;
}

/// Returns the least wait among the places in [first, last).
Duration leastBetween(const RoutingRing &ring, std::size_t first, std::size_t last)
{
    Duration least = infiniteWait;
    std::size_t left = first + leafCount(ring);
    std::size_t right = last + leafCount(ring);
    for (; left < right; left /= 2, right /= 2) {
        if ((left & 1) == 1)
            least = std::min(least, ring.least_[left++]);
        if ((right & 1) == 1)
            least = std::min(least, ring.least_[--right]);
    }
    return least;
}

/// Returns the first index at or after an index that holds an excluded place, or the number of
/// places if there is none.
std::size_t nextExcluded(const RoutingRing &ring, std::size_t from,
                         std::span<const RingPlace> excluded)
{
    std::size_t next = ring.places_.size();
    for (const RingPlace &place : excluded) {
        const std::size_t index = indexOf(ring, place);
        if (index >= from && hasPlace(ring, place))
            next = std::min(next, index);
    }
    return next;
}

} // namespace

std::uint64_t ringPoint(const VmName &vm)
{
    return rendezvousWeight("", vm);
}

std::uint64_t ringDistance(std::uint64_t subject, std::uint64_t point)
{
    std::uint64_t least = ~std::uint64_t{0};
    for (std::uint64_t probe = 0; probe < probeCount; ++probe)
        least = std::min(least, point - probePoint(subject, probe));
    return least;
}

void insertPlace(RoutingRing &ring, const RingPlace &place, Duration wait)
{
    if (hasPlace(ring, place)) {
        setPlaceWait(ring, place, wait);
        return;
    }
    std::vector<Duration> waits = waitsOf(ring);
    const auto index = static_cast<std::ptrdiff_t>(indexOf(ring, place));
    waits.insert(waits.begin() + index, wait);
    ring.places_.insert(ring.places_.begin() + index, place);
    buildTree(ring, waits);
}

void erasePlace(RoutingRing &ring, const RingPlace &place)
{
    if (!hasPlace(ring, place))
        return;
    std::vector<Duration> waits = waitsOf(ring);
    const auto index = static_cast<std::ptrdiff_t>(indexOf(ring, place));
    waits.erase(waits.begin() + index);
    ring.places_.erase(ring.places_.begin() + index);
    buildTree(ring, waits);
}

void setPlaceWait(RoutingRing &ring, const RingPlace &place, Duration wait)
{
    std::size_t node = leafCount(ring) + indexOf(ring, place);
    ring.least_[node] = wait;
    for (node /= 2; node > 0; node /= 2)
        ring.least_[node] = std::min(ring.least_[2 * node], ring.least_[2 * node + 1]);
}

std::optional<Duration> leastWait(const RoutingRing &ring, std::span<const RingPlace> excluded)
{
    Duration least = infiniteWait;
    for (std::size_t from = 0; from < ring.places_.size();) {
        const std::size_t until = nextExcluded(ring, from, excluded);
        least = std::min(least, leastBetween(ring, from, until));
        from = until + 1;
    }
    if (least == infiniteWait)
        return std::nullopt;
    return least;
}

std::optional<std::uint32_t> findRingTarget(const RoutingRing &ring, std::uint64_t subject,
                                            Duration bound, std::span<const RingPlace> excluded)
{
    std::optional<std::uint32_t> target;
    std::uint64_t least = 0;
    for (std::uint64_t probe = 0; probe < probeCount; ++probe) {
        const std::uint64_t point = probePoint(subject, probe);
        std::size_t index = nextAllowed(ring, indexOf(ring, {point, 0}), bound, excluded);
        if (index == ring.places_.size())
            index = nextAllowed(ring, 0, bound, excluded);
        if (index == ring.places_.size())
            return std::nullopt;
        const std::uint64_t distance = ring.places_[index].point_ - point;
        if (target && distance >= least)
            continue;
        least = distance;
        target = ring.places_[index].target_;
    }
    return target;
}

} // namespace eelgrasscove
