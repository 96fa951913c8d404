#include "Edge/crashsuspects.h"

#include <algorithm>
#include <xxhash.h>

namespace eelgrasscove {

namespace {

/// Crashes at which a request is refused: two unrelated crashes during the same request are rare,
/// and the operator's limit applies from the third.
constexpr std::uint32_t crashLimit = 2;

/// Longer than the longest client deadline, after which a client does not retry a request.
constexpr Duration retentionPeriod = std::chrono::seconds(60);

} // namespace

std::uint64_t requestHash(std::string_view path, std::string_view caller, std::string_view body)
{
    const std::uint64_t seed =
        XXH3_64bits_withSeed(path.data(), path.size(), XXH3_64bits(caller.data(), caller.size()));
    return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

void recordCrash(CrashSuspects &counts, std::uint64_t request, Time now)
{
    CrashCount &count = counts.requests_[request];
    ++count.localCrashes_;
    count.lastAt_ = now;
}

void recordPeerCrashes(CrashSuspects &counts, std::uint64_t request, std::uint32_t crashes,
                       Time now)
{
    CrashCount &count = counts.requests_[request];
    count.peerCrashes_ = std::max(count.peerCrashes_, crashes);
    count.lastAt_ = now;
}

bool hasReachedCrashLimit(const CrashSuspects &counts, std::uint64_t request)
{
    const auto found = counts.requests_.find(request);
    return found != counts.requests_.end()
        && found->second.localCrashes_ + found->second.peerCrashes_ >= crashLimit;
}

void removeExpiredCrashSuspects(CrashSuspects &counts, Time now)
{
    std::erase_if(counts.requests_,
                  [&](const auto &each) { return now - each.second.lastAt_ > retentionPeriod; });
}

} // namespace eelgrasscove
