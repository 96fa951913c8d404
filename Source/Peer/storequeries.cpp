#include "Peer/storequeries.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

/// Leaders among all entries: a lost one is replaced when it is out of contact, and until then the
/// others go on.
constexpr std::size_t leaderCount = 4;

/// Longest time between two queries of an entry, within the history that the store keeps.
constexpr Duration maxQueryInterval = std::chrono::seconds(10);

} // namespace

std::size_t storeQueryRank(NameHash self, const std::vector<NameHash> &peersInContact)
{
    return static_cast<std::size_t>(std::count_if(peersInContact.begin(), peersInContact.end(),
                                                  [self](NameHash peer) { return peer < self; }));
}

bool leadsStoreQueries(NameHash self, const std::vector<NameHash> &peersInContact)
{
    return storeQueryRank(self, peersInContact) < leaderCount;
}

void recordPeerReport(ListKnowledge &knowledge, const PeerListReport &report)
{
    knowledge.peersChangeRevision_ =
        std::max(knowledge.peersChangeRevision_, report.changeRevision_);
    if (std::max(report.changeRevision_, report.listRevision_) <= knowledge.revision_)
        knowledge.confirmedByPeerAt_ = std::max(knowledge.confirmedByPeerAt_, report.confirmedAt_);
}

bool mayPostponeQuery(const ListKnowledge &knowledge, Duration maxAge, Time now)
{
    return knowledge.peersChangeRevision_ <= knowledge.revision_
        && now - knowledge.confirmedByPeerAt_ <= maxAge
        && now - knowledge.queriedAt_ < maxQueryInterval;
}

bool isWatchCheckDue(const ListKnowledge &knowledge, Duration maxAge, Time now)
{
    const Time knownAt =
        std::max({knowledge.confirmedAt_, knowledge.confirmedByPeerAt_, knowledge.queriedAt_});
    return now - knownAt > maxAge;
}

} // namespace eelgrasscove
