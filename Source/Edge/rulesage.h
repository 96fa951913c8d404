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
    /// The last confirmation before the store was restored; empty if it has not been since the
    /// start of the entry.
    std::optional<Time> confirmedBeforeRestore_;
    /// The last confirmation before the store lost rules that this entry or a peer knows. Set until
    /// it holds them again, or newer ones.
    std::optional<Time> lostSince_;
};

/// Records that the store's rules can't be decoded. The value was not written before the given
/// time.
void recordUnreadableRules(RulesAge &age, Time writtenAfter);

void recordReadableRules(RulesAge &age);

/// Records that the store has been restored from an older copy, which may hold older rules.
void recordRestoredStore(RulesAge &age, Time confirmedAt);

/// Records that a peer knows newer rules than the store holds. An entry that was started after the
/// restoration has rules that may have been replaced at any time before.
void recordLostRules(RulesAge &age);

/// Records that the store holds the newest rules that are known.
void recordRulesWrittenAgain(RulesAge &age);

/// The time at which the entry's rules were last known to be the newest, given the confirmation of
/// the store's feed. While a newer version can't be decoded or is lost, keys may have been
/// withdrawn in it.
Time confirmedByStoreAt(const RulesAge &age, std::optional<Time> feedConfirmedAt);

/// The same, also by the confirmations of peers.
Time confirmedAt(const RulesAge &age, std::optional<Time> feedConfirmedAt);

} // namespace eelgrasscove
