#pragma once

/// Which versions of an adapter may be used after newer ones have been named. Pure functions: no
/// clock, I/O or threads.

#include <eelgrasscove/time.h>

#include <cstdint>
#include <vector>

namespace eelgrasscove {

struct NamedVersion
{
    std::uint64_t version_ = 0;
    /// Earliest time at which the version may have been named.
    Time namedAt_;
};

/// The versions of one adapter that the operator has named.
struct AdapterVersionHistory
{
    /// 0 before the first name.
    std::uint64_t newest_ = 0;
    /// The newest version whose predecessors may no longer be used; 0 if there is none.
    std::uint64_t required_ = 0;
    /// Versions above required_, in ascending order.
    std::vector<NamedVersion> recent_;
};

/// Returns the oldest version that may be used. The predecessors of each version may be used for
/// the given period after that version was named, whatever has been named since.
std::uint64_t minUsableVersion(const AdapterVersionHistory &history, Duration overlap, Time now);

/// Returns the time until which requests may begin on the version: the given bound after the first
/// newer version was named. Time::max() if there is no newer one.
Time beginDeadline(const AdapterVersionHistory &history, std::uint64_t version, Duration bound);

/// Records a version. Returns false, without effect, if it is not newer than all before.
bool recordVersion(AdapterVersionHistory &history, const NamedVersion &named, Duration overlap,
                   Time now);

} // namespace eelgrasscove
