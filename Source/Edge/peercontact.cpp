#include "Edge/peercontact.h"

#include <algorithm>

namespace eelgrasscove {

std::int64_t stampOf(const StampClock &clock, Time at)
{
    return at.time_since_epoch().count() + clock.offsetMicros_;
}

std::optional<Time> sentAfter(const StampClock &clock, const PeerEcho &echo, Time now)
{
    // In this order no sum can overflow, whatever the peer sent.
    if (echo.timestampMicros_ < stampOf(clock, clock.startedAt_)
        || echo.timestampMicros_ > stampOf(clock, now) || echo.holdTimeMicros_ < 0)
        return std::nullopt;
    const Time stamped{Duration(echo.timestampMicros_ - clock.offsetMicros_)};
    if (echo.holdTimeMicros_ > (now - stamped).count())
        return std::nullopt;
    return stamped + Duration(echo.holdTimeMicros_);
}

bool recordMessage(PeerContact &contact, const EntryState &message, Time now)
{
    if (message.startedAtMicros_ != contact.startedAtMicros_) {
        if (contact.dataCentre_ != 0 && message.startedAtMicros_ == contact.earlierStartMicros_)
            return false;
        contact.earlierStartMicros_ = contact.startedAtMicros_;
        contact.startedAtMicros_ = message.startedAtMicros_;
        contact.peerReceivedOursAt_ = {};
    } else if (message.timestampMicros_ <= contact.timestampMicros_) {
        return false;
    }
    contact.timestampMicros_ = message.timestampMicros_;
    contact.dataCentre_ = message.dataCentre_;
    contact.receivedAt_ = now;
    return true;
}

} // namespace eelgrasscove
