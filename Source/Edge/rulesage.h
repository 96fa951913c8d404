#pragma once

/// How old the rules of an entry may be: the time at which they were last known to be the newest
/// ones of the store.

#include <eelgrasscove/time.h>

#include <optional>

namespace eelgrasscove {

struct RulesAge
{
    /// Time by which peers confirmed the version of the rules that this entry has.
    std::optional<Time> confirmedByPeerAt_;
    /// Time since which the store may have held a newer version that can't be decoded. Set until
    /// it holds one that can.
    std::optional<Time> unreadableSince_;
};

/// Records that the store's rules can't be decoded. The value was not written before the given
/// time.
void recordUnreadableRules(RulesAge &age, Time writtenAfter);

void recordReadableRules(RulesAge &age);

/// The time at which the entry's rules were last known to be the newest, given the confirmation of
/// the store's feed. While a newer version can't be decoded, keys may have been withdrawn in it.
Time confirmedByStoreAt(const RulesAge &age, std::optional<Time> feedConfirmedAt);

/// The same, also by the confirmations of peers.
Time confirmedAt(const RulesAge &age, std::optional<Time> feedConfirmedAt);

} // namespace eelgrasscove
