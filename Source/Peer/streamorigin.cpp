#include "Peer/streamorigin.h"

#include <algorithm>
#include <chrono>
#include <xxhash.h>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Longest time for which an origin is kept, whatever the report says.
constexpr Duration maxRetention = 5min;
/// Bound on the memory of an agent.
constexpr std::size_t maxOrigins = 50'000;

/// Agents answer within a few milliseconds; entries read datagrams every 20 ms.
constexpr Duration queryRepeatPeriod = 100ms;
constexpr Duration maxLookupTime = 300ms;

/// Joins two names that have no NUL, so that other names give another text.
std::string joined(std::string_view first, std::string_view second)
{
    std::string text(first);
    text += '\0';
    text += second;
    return text;
}

} // namespace

StreamHash streamHash(std::string_view account, std::string_view requestId)
{
    const std::string text = joined(account, requestId);
    return XXH64(text.data(), text.size(), 0);
}

NameHash softwareVersionHash(std::string_view service, std::string_view version)
{
    return version.empty() ? 0 : nameHash(joined(service, version));
}

std::vector<std::string> originKeepers(std::vector<std::string> hosts, StreamHash stream,
                                       std::size_t count)
{
    const auto weightOf = [stream](const std::string &host) {
        return XXH64(host.data(), host.size(), stream);
    };
    std::sort(hosts.begin(), hosts.end());
    hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
    std::stable_sort(hosts.begin(), hosts.end(), [&](const auto &left, const auto &right) {
        return weightOf(left) < weightOf(right);
    });
    hosts.resize(std::min(hosts.size(), count));
    return hosts;
}

bool keepOrigin(KeptOrigins &kept, const StreamOriginReport &report, Time now)
{
    const Time expiresAt =
        now + std::min<Duration>(std::chrono::milliseconds(report.validMillis_), maxRetention);
    const auto found = kept.origins_.find(report.stream_);
    if (found != kept.origins_.end() && found->second.expiresAt_ > now) {
        KeptOrigins::Origin &origin = found->second;
        if (origin.version_ != report.version_)
            origin.version_ = 0;
        origin.expiresAt_ = std::max(origin.expiresAt_, expiresAt);
        return true;
    }
    if (kept.origins_.size() >= maxOrigins)
        return false;
    kept.origins_[report.stream_] = {report.version_, expiresAt};
    return true;
}

NameHash originOf(const KeptOrigins &kept, StreamHash stream, Time now)
{
    const auto found = kept.origins_.find(stream);
    return found == kept.origins_.end() || found->second.expiresAt_ <= now ? 0
                                                                           : found->second.version_;
}

void removeExpiredOrigins(KeptOrigins &kept, Time now)
{
    std::erase_if(kept.origins_, [now](const auto &each) { return each.second.expiresAt_ <= now; });
}

void recordUnknownAt(OriginLookup &lookup, std::string_view host)
{
    std::erase(lookup.unanswered_, host);
}

LookupProgress progressOf(const OriginLookup &lookup, Time now)
{
    if (lookup.unanswered_.empty() || now - lookup.startedAt_ >= maxLookupTime)
        return LookupProgress::Unknown;
    return now - lookup.queriedAt_ >= queryRepeatPeriod ? LookupProgress::QueryDue
                                                        : LookupProgress::Open;
}

} // namespace eelgrasscove
