#include "Edge/rulesage.h"

#include <algorithm>

namespace eelgrasscove {

void recordUnreadableRules(RulesAge &age, Time writtenAfter)
{
    // A later version that can't be decoded either doesn't make the rules newer.
    age.unreadableSince_ = std::min(age.unreadableSince_.value_or(writtenAfter), writtenAfter);
}

void recordReadableRules(RulesAge &age)
{
    age.unreadableSince_.reset();
}

Time confirmedByStoreAt(const RulesAge &age, std::optional<Time> feedConfirmedAt)
{
    const Time confirmed = feedConfirmedAt.value_or(Time{});
    return std::min(confirmed, age.unreadableSince_.value_or(confirmed));
}

Time confirmedAt(const RulesAge &age, std::optional<Time> feedConfirmedAt)
{
    const Time byPeer = age.confirmedByPeerAt_.value_or(Time{});
    return std::max(confirmedByStoreAt(age, feedConfirmedAt),
                    std::min(byPeer, age.unreadableSince_.value_or(byPeer)));
}

} // namespace eelgrasscove
