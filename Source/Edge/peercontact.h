#pragma once

/// The time stamps in messages between entries. Pure functions: no clock, I/O or threads.
///
/// Stamps are of the sender's boot clock, which begins anew when its VM loses power. A peer echoes
/// them, so a stamp may come back to a later process, to which it could mean a time in the future.
/// Each process adds a random offset to its stamps, by which it knows its own.

#include "Peer/peermessages.h"

#include <eelgrasscove/time.h>

#include <optional>

namespace eelgrasscove {

/// Largest offset of a process: far above any boot clock, and low enough for sums.
constexpr std::int64_t maxStampOffsetMicros = std::int64_t{1} << 61U;

/// What makes the stamps of a process its own.
struct StampClock
{
    Time startedAt_;
    /// Random, from 0 to maxStampOffsetMicros.
    std::int64_t offsetMicros_ = 0;
};

std::int64_t stampOf(const StampClock &clock, Time at);

/// Returns the earliest time at which a peer may have sent the message with this echo, by the clock
/// of this process: when the echoed message was sent, plus the time for which the peer held it.
/// Empty if the stamp is of another process or the time lies in the future.
std::optional<Time> sentAfter(const StampClock &clock, const PeerEcho &echo, Time now);

/// The newest message of a peer.
struct PeerContact
{
    /// 0 before the first message.
    NameHash dataCentre_ = 0;
    /// Stamps of the start of the peer's process, and of that before, in its messages.
    std::int64_t startedAtMicros_ = 0;
    std::int64_t earlierStartMicros_ = 0;
    /// Stamp of the message, and the time at which it was received.
    std::int64_t timestampMicros_ = 0;
    Time receivedAt_;
    /// Latest time, by this entry's clock, at which the peer's process is known to have had a
    /// message of this entry.
    Time peerReceivedOursAt_;
};

/// Records a message. Returns false if it is not newer than the last one, or if the peer has
/// started anew since.
bool recordMessage(PeerContact &contact, const EntryState &message, Time now);

} // namespace eelgrasscove
