#pragma once

/// Chooses the members to which a state message is sent so that it reaches all of them with one
/// datagram to each other data centre. Pure functions: no clock, I/O or threads.
///
/// A member of another data centre relays the message to the members of its own. The relay changes
/// with each message, so no election is needed, and the loss of a member costs other data centres
/// one message in as many as it has members there. Relaying does not change a message: receivers
/// compare its sender's number or time stamp, so a late or repeated datagram has no effect.

#include "Net/tcpstream.h"
#include "Peer/namehash.h"

#include <cstdint>
#include <vector>

namespace eelgrasscove {

struct Member
{
    Endpoint endpoint_;
    /// Hash of the name of its data centre; 0 while not known.
    NameHash dataCentre_ = 0;
    /// Messages of the member have been received recently.
    bool isInContact_ = false;
    /// Waits for the message, so that it is not to depend on a relay.
    bool isDirect_ = false;
};

struct Recipient
{
    /// Index of the member.
    std::size_t member_ = 0;
    /// The member is to relay the message within its data centre.
    bool isRelay_ = false;

    bool operator==(const Recipient &) const = default;
};

/// Returns the recipients of the sender's message with the given number. Members of the sender's
/// own data centre, and those whose data centre is not known, get it directly; of each other data
/// centre one member in contact gets it as a relay, or any member if none is in contact. Senders
/// that count their messages alike choose different relays at the same time.
std::vector<Recipient> chooseRecipients(const std::vector<Member> &members, NameHash sender,
                                        NameHash ownDataCentre, std::uint64_t messageNumber);

/// Every how manieth message contains what need not be in each of them. All relays get such a
/// message in turn.
constexpr std::uint64_t fullMessageInterval = 3;

} // namespace eelgrasscove
