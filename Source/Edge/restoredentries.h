#pragma once

/// Entries of the target list that are out of date in a restored store: of targets whose removal
/// was known, and that the copy still lists. Pure functions: no clock, I/O or threads.

#include "Edge/targetnotice.h"
#include "platform/storewire.h"

#include <eelgrasscove/time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasscove {

/// The removed targets and the entries that are held back.
struct RestoredEntries
{
    /// Targets that were removed from the list, with the time of the removal.
    std::map<TargetInstance, Time> removed_;
    /// Time of the last restoration; empty before the first one.
    std::optional<Time> restoredAt_;
    /// Entries of targets that were removed before it, by id.
    std::map<std::string, wire::StoreItem> held_;
};

void recordRemovedTarget(RestoredEntries &entries, const TargetInstance &instance, Time now);

void recordRestoration(RestoredEntries &entries, Time now);

/// Returns whether an entry that lists a target anew is held back, and keeps it if so. An entry
/// that was written after the store's first list since the restoration, at listRevision, is of a
/// target that lives.
bool holdIfRemovedBefore(RestoredEntries &entries, const TargetInstance &instance,
                         const wire::StoreItem &item, std::uint64_t listRevision, Time now);

/// Forgets the held entry of a target that was removed or listed otherwise.
void releaseEntry(RestoredEntries &entries, const std::string &id);

/// Returns the entries that are still listed after the time for which they are held, to be used
/// from now on, and forgets old removals.
std::vector<wire::StoreItem> takeExpiredEntries(RestoredEntries &entries, Time now);

} // namespace eelgrasscove
