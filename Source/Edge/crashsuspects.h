#pragma once

/// Counts target crashes for each request that was running at the time, to refuse requests that
/// crash their targets. Counts are shared between entries, as a client may retry the same request
/// at any of them. Pure functions: no clock, I/O or threads.

#include <eelgrasscove/time.h>

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace eelgrasscove {

struct CrashCount
{
    /// Crashes that this entry observed.
    std::uint32_t localCrashes_ = 0;
    /// The highest count that a peer reported.
    std::uint32_t peerCrashes_ = 0;
    Time lastAt_;
};

struct CrashSuspects
{
    /// By request hash.
    std::unordered_map<std::uint64_t, CrashCount> requests_;
};

/// Returns a hash of the request's path, caller and body, which is equal for each repetition of the
/// request.
std::uint64_t requestHash(std::string_view path, std::string_view caller, std::string_view body);

/// Records a crash that this entry observed.
void recordCrash(CrashSuspects &counts, std::uint64_t request, Time now);
/// Records the crash count that a peer reported.
void recordPeerCrashes(CrashSuspects &counts, std::uint64_t request, std::uint32_t crashes,
                       Time now);

/// Returns whether the request is to be refused: it was running at more crashes than coincidence
/// explains.
bool hasReachedCrashLimit(const CrashSuspects &counts, std::uint64_t request);

/// Removes requests whose last crash is older than the retention period.
void removeExpiredCrashSuspects(CrashSuspects &counts, Time now);

} // namespace eelgrasscove
