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

void recordRestoredStore(RulesAge &age, Time confirmedAt)
{
    age.confirmedBeforeRestore_ = confirmedAt;
    age.lostSince_ = std::min(age.lostSince_.value_or(confirmedAt), confirmedAt);
}

void recordLostRules(RulesAge &age)
{
    const Time confirmed = age.confirmedBeforeRestore_.value_or(Time{});
    age.lostSince_ = std::min(age.lostSince_.value_or(confirmed), confirmed);
}

void recordRulesWrittenAgain(RulesAge &age)
{
    age.lostSince_.reset();
}

namespace {

/// The time up to which confirmations of the rules count.
Time lastCounted(const RulesAge &age)
{
    return std::min(age.unreadableSince_.value_or(Time::max()),
                    age.lostSince_.value_or(Time::max()));
}

} // namespace

Time confirmedByStoreAt(const RulesAge &age, std::optional<Time> feedConfirmedAt)
{
    return std::min(feedConfirmedAt.value_or(Time{}), lastCounted(age));
}

Time confirmedAt(const RulesAge &age, std::optional<Time> feedConfirmedAt)
{
    return std::max(confirmedByStoreAt(age, feedConfirmedAt),
                    std::min(age.confirmedByPeerAt_.value_or(Time{}), lastCounted(age)));
}

} // namespace eelgrasscove
