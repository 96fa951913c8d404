#include "Peer/dissemination.h"

#include <map>

namespace eelgrasscove {

namespace {

/// Returns the position of the relay among count candidates. Over successive messages all of them
/// are chosen equally often, also over every fullMessageInterval-th one.
std::size_t relayPosition(std::uint64_t messageNumber, std::size_t count)
{
    const bool sharesDivisor = count % fullMessageInterval == 0;
    return (messageNumber + (sharesDivisor ? messageNumber / count : 0)) % count;
}

} // namespace

std::vector<Recipient> chooseRecipients(const std::vector<Member> &members, NameHash sender,
                                        NameHash ownDataCentre, std::uint64_t messageNumber)
{
    // Otherwise one member would relay the messages of all senders of a period.
    const std::uint64_t position = messageNumber + sender;
    struct DataCentre
    {
        std::vector<std::size_t> all_;
        std::vector<std::size_t> inContact_;
        bool areAllDirect_ = true;
    };
    std::vector<Recipient> recipients;
    std::map<NameHash, DataCentre> others;
    for (std::size_t index = 0; index < members.size(); ++index) {
        const Member &member = members[index];
        if (member.dataCentre_ == 0 || member.dataCentre_ == ownDataCentre || member.isDirect_)
            recipients.push_back({index, false});
        if (member.dataCentre_ == 0 || member.dataCentre_ == ownDataCentre)
            continue;
        DataCentre &other = others[member.dataCentre_];
        other.all_.push_back(index);
        other.areAllDirect_ = other.areAllDirect_ && member.isDirect_;
        if (member.isInContact_)
            other.inContact_.push_back(index);
    }
    for (const auto &[dataCentre, other] : others) {
        if (other.areAllDirect_)
            continue;
        const auto &candidates = other.inContact_.empty() ? other.all_ : other.inContact_;
        const std::size_t relay = candidates[relayPosition(position, candidates.size())];
        // A single member has nobody to relay to.
        recipients.push_back({relay, other.all_.size() > 1});
    }
    return recipients;
}

} // namespace eelgrasscove
