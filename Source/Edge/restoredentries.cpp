#include "Edge/restoredentries.h"

#include <utility>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// The store removes the entry of a target that is silent for three of its heartbeats, which are
/// about 1.2 s apart.
constexpr Duration holdTime = 5s;
/// A copy of the store is some seconds old.
constexpr Duration removalRetention = 2min;
/// Ids come from the store, and a writer in trouble may name any number of them.
constexpr std::size_t maxRemovals = 10'000;

} // namespace

void recordRemovedTarget(RestoredEntries &entries, const TargetInstance &instance, Time now)
{
    if (entries.removed_.size() < maxRemovals)
        entries.removed_[instance] = now;
}

void recordRestoration(RestoredEntries &entries, Time now)
{
    entries.restoredAt_ = now;
    entries.held_.clear();
}

bool holdIfRemovedBefore(RestoredEntries &entries, const TargetInstance &instance,
                         const wire::StoreItem &item, std::uint64_t listRevision, Time now)
{
    const auto removal = entries.removed_.find(instance);
    if (removal == entries.removed_.end() || !entries.restoredAt_
        || removal->second > *entries.restoredAt_ || now - *entries.restoredAt_ >= holdTime
        || item.revision_ > listRevision)
        return false;
    entries.held_[instance.id_] = item;
    return true;
}

void releaseEntry(RestoredEntries &entries, const std::string &id)
{
    entries.held_.erase(id);
}

std::vector<wire::StoreItem> takeExpiredEntries(RestoredEntries &entries, Time now)
{
    std::erase_if(entries.removed_,
                  [now](const auto &each) { return now - each.second > removalRetention; });
    std::vector<wire::StoreItem> expired;
    if (!entries.restoredAt_ || now - *entries.restoredAt_ < holdTime)
        return expired;
    for (auto &[id, item] : std::exchange(entries.held_, {}))
        expired.push_back(std::move(item));
    return expired;
}

} // namespace eelgrasscove
