#include "Edge/adapterversions.h"

#include <algorithm>

namespace eelgrasscove {

std::uint64_t minUsableVersion(const AdapterVersionHistory &history, Duration overlap, Time now)
{
    std::uint64_t version = history.required_;
    for (const NamedVersion &named : history.recent_) {
        if (now - named.namedAt_ > overlap)
            version = std::max(version, named.version_);
    }
    return version;
}

Time beginDeadline(const AdapterVersionHistory &history, std::uint64_t version, Duration bound)
{
    // When the required version was named is no longer known.
    if (version < history.required_)
        return Time{};
    for (const NamedVersion &named : history.recent_) {
        if (named.version_ > version)
            return named.namedAt_ + bound;
    }
    return Time::max();
}

bool recordVersion(AdapterVersionHistory &history, const NamedVersion &named, Duration overlap,
                   Time now)
{
    if (named.version_ <= history.newest_)
        return false;
    history.newest_ = named.version_;
    history.recent_.push_back(named);
    history.required_ = minUsableVersion(history, overlap, now);
    std::erase_if(history.recent_,
                  [&](const NamedVersion &each) { return each.version_ <= history.required_; });
    return true;
}

} // namespace eelgrasscove
