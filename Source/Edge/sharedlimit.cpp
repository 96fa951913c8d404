#include "Edge/sharedlimit.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace eelgrasscove {

namespace {

/// Sends in each window of an entry with a quota, as far as the limit allows. With a single one,
/// the request after it would have to wait for the whole window.
constexpr double preferredQuota = 2;

/// Limit on the limit itself, beyond which it restricts nothing.
constexpr double maxPerSecond = 1e9;

XXH64_hash_t rankHash(std::string_view entry, XXH64_hash_t resourceHash)
{
    return XXH3_64bits_withSeed(entry.data(), entry.size(), resourceHash);
}

} // namespace

LimitShare limitShareOf(std::string_view self, const std::vector<std::string> &entries,
                        std::string_view resource)
{
    const XXH64_hash_t resourceHash = XXH3_64bits(resource.data(), resource.size());
    const XXH64_hash_t own = rankHash(self, resourceHash);
    const auto before = std::count_if(entries.begin(), entries.end(), [&](const auto &entry) {
        const XXH64_hash_t hash = rankHash(entry, resourceHash);
        return hash < own || (hash == own && entry < self);
    });
    return {static_cast<std::size_t>(before), entries.size()};
}

std::size_t quotaOf(const LimitShare &share, double perSecond)
{
    if (share.entries_ == 0 || !(perSecond > 0))
        return 0;
    const double limit = std::min(perSecond, maxPerSecond);
    const auto holders = std::min(
        share.entries_,
        std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(limit / preferredQuota))));
    if (share.rank_ >= holders)
        return 0;
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(std::floor(limit / static_cast<double>(holders))));
}

void recordRecentSend(RecentSends &sends, Time now)
{
    while (!sends.empty() && now - sends.front() >= quotaWindow)
        sends.pop_front();
    sends.push_back(now);
}

void removeRecentSend(RecentSends &sends, Time sentAt)
{
    const auto send = std::find(sends.begin(), sends.end(), sentAt);
    if (send != sends.end())
        sends.erase(send);
}

Time nextSendAt(const RecentSends &sends, std::size_t quota, Time now)
{
    if (sends.size() < quota)
        return now;
    return std::max(now, sends[sends.size() - quota] + quotaWindow);
}

} // namespace eelgrasscove
