#include "Edge/suspects.h"

#include <algorithm>
#include <xxhash.h>

namespace eelgrasscove {

namespace {

/// Two unrelated crashes on one request are rare; the operator's bound begins at the third.
constexpr std::uint32_t crashesOfCrasher = 2;

/// Longer than the longest deadline of a client, after which it doesn't repeat a request.
constexpr Duration remembered = std::chrono::seconds(60);

} // namespace

std::uint64_t suspectHash(std::string_view path, std::string_view caller, std::string_view body)
{
    const std::uint64_t head =
        XXH3_64bits_withSeed(path.data(), path.size(), XXH3_64bits(caller.data(), caller.size()));
    return XXH3_64bits_withSeed(body.data(), body.size(), head);
}

void countCrash(Suspects &suspects, std::uint64_t request, Time now)
{
    Suspect &suspect = suspects.requests_[request];
    ++suspect.seen_;
    suspect.lastAt_ = now;
}

void hearCrashes(Suspects &suspects, std::uint64_t request, std::uint32_t crashes, Time now)
{
    Suspect &suspect = suspects.requests_[request];
    suspect.told_ = std::max(suspect.told_, crashes);
    suspect.lastAt_ = now;
}

bool isCrasher(const Suspects &suspects, std::uint64_t request)
{
    const auto found = suspects.requests_.find(request);
    return found != suspects.requests_.end()
        && found->second.seen_ + found->second.told_ >= crashesOfCrasher;
}

void expireSuspects(Suspects &suspects, Time now)
{
    std::erase_if(suspects.requests_,
                  [&](const auto &each) { return now - each.second.lastAt_ > remembered; });
}

} // namespace eelgrasscove
