#include "DataCentre/routingring.h"

#include "DataCentre/rendezvous.h"

#include <algorithm>
#include <bit>

namespace eelgrasscove {

namespace {

/// With so many probes, the largest part is about a twentieth above the mean.
constexpr std::uint64_t probes = 21;
constexpr Duration never = Duration::max();

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

std::size_t leaves(const RoutingRing &ring)
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

bool isLeftOut(const RingPlace &place, std::span<const RingPlace> leftOut)
{
    return std::find(leftOut.begin(), leftOut.end(), place) != leftOut.end();
}

/// Builds the tree anew over these waits of the places.
void buildTree(RoutingRing &ring, const std::vector<Duration> &waits)
{
    const std::size_t count = std::bit_ceil(std::max<std::size_t>(1, waits.size()));
    ring.least_.assign(2 * count, never);
    std::copy(waits.begin(), waits.end(), ring.least_.begin() + static_cast<std::ptrdiff_t>(count));
    for (std::size_t node = count - 1; node > 0; --node)
        ring.least_[node] = std::min(ring.least_[2 * node], ring.least_[2 * node + 1]);
}

std::vector<Duration> waitsOf(const RoutingRing &ring)
{
    const auto first = ring.least_.begin() + static_cast<std::ptrdiff_t>(leaves(ring));
    return {first, first + static_cast<std::ptrdiff_t>(ring.places_.size())};
}

/// The first leaf from here on whose wait is within the bound; the number of places where none is.
std::size_t nextWithin(const RoutingRing &ring, std::size_t from, Duration bound)
{
    if (from >= ring.places_.size())
        return ring.places_.size();
    std::size_t node = leaves(ring) + from;
    while (ring.least_[node] > bound) {
        while ((node & 1) == 1)
            node /= 2;
        if (node == 0)
            return ring.places_.size();
        ++node;
    }
    while (node < leaves(ring)) {
        node *= 2;
        if (ring.least_[node] > bound)
            ++node;
    }
    return node - leaves(ring);
}

/// As nextWithin, past those left out.
std::size_t nextAllowed(const RoutingRing &ring, std::size_t from, Duration bound,
                        std::span<const RingPlace> leftOut)
{
    std::size_t index = nextWithin(ring, from, bound);
    while (index < ring.places_.size() && isLeftOut(ring.places_[index], leftOut))
        index = nextWithin(ring, index + 1, bound);
    return index;
}

/// The least wait among the places from first to before last.
Duration leastBetween(const RoutingRing &ring, std::size_t first, std::size_t last)
{
    Duration least = never;
    std::size_t left = first + leaves(ring);
    std::size_t right = last + leaves(ring);
    for (; left < right; left /= 2, right /= 2) {
        if ((left & 1) == 1)
            least = std::min(least, ring.least_[left++]);
        if ((right & 1) == 1)
            least = std::min(least, ring.least_[--right]);
    }
    return least;
}

/// The first index of a place left out from here on.
std::size_t nextLeftOut(const RoutingRing &ring, std::size_t from,
                        std::span<const RingPlace> leftOut)
{
    std::size_t next = ring.places_.size();
    for (const RingPlace &place : leftOut) {
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
    for (std::uint64_t probe = 0; probe < probes; ++probe)
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
    std::size_t node = leaves(ring) + indexOf(ring, place);
    ring.least_[node] = wait;
    for (node /= 2; node > 0; node /= 2)
        ring.least_[node] = std::min(ring.least_[2 * node], ring.least_[2 * node + 1]);
}

std::optional<Duration> leastWait(const RoutingRing &ring, std::span<const RingPlace> leftOut)
{
    Duration least = never;
    for (std::size_t from = 0; from < ring.places_.size();) {
        const std::size_t until = nextLeftOut(ring, from, leftOut);
        least = std::min(least, leastBetween(ring, from, until));
        from = until + 1;
    }
    if (least == never)
        return std::nullopt;
    return least;
}

std::optional<std::uint32_t> ringTarget(const RoutingRing &ring, std::uint64_t subject,
                                        Duration bound, std::span<const RingPlace> leftOut)
{
    std::optional<std::uint32_t> target;
    std::uint64_t least = 0;
    for (std::uint64_t probe = 0; probe < probes; ++probe) {
        const std::uint64_t point = probePoint(subject, probe);
        std::size_t index = nextAllowed(ring, indexOf(ring, {point, 0}), bound, leftOut);
        if (index == ring.places_.size())
            index = nextAllowed(ring, 0, bound, leftOut);
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
