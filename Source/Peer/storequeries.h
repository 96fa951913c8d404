#pragma once

/// Decides which entries query the platform's store for changes, so that not every entry does it
/// all the time. Pure functions: no clock, I/O or threads.
///
/// A few entries, the leaders, query often and report to the others in their state messages up to
/// when they know all changes. The others query if a report names a change that they do not know,
/// or if the reports are too old. Leaders follow from the names of the entries in contact, without
/// an election: where views differ, there are more of them for a while.
///
/// A waiting watch is no proof that nothing has changed, as its connection may be silent. Every
/// entry therefore bounds the age of what it knows, by the reports or by a query beside the watch.

#include "Peer/namehash.h"

#include <eelgrasscove/time.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace eelgrasscove {

/// Returns the number of entries that come before this one in querying the store. peersInContact
/// are the entries from which it has received messages recently.
std::size_t storeQueryRank(NameHash self, const std::vector<NameHash> &peersInContact);

/// Returns whether the entry is a leader.
bool leadsStoreQueries(NameHash self, const std::vector<NameHash> &peersInContact);

/// What an entry knows of a list in the store, by its own queries and by other entries.
struct ListKnowledge
{
    /// Revision up to which the entry knows all changes.
    std::uint64_t revision_ = 0;
    /// Highest revision of a change that matters, according to other entries.
    std::uint64_t peersChangeRevision_ = 0;
    /// Time up to which no such change is unknown here, according to other entries.
    Time confirmedByPeerAt_;
    /// Time of the entry's own last watch or list.
    Time queriedAt_;
    /// Time up to which all changes are known here, by the entry's own queries.
    Time confirmedAt_;
};

/// What another entry says of the list.
struct PeerListReport
{
    /// Highest revision of a change that matters to it.
    std::uint64_t changeRevision_ = 0;
    /// Revision of the last list that it read. A list doesn't show which keys were removed, so the
    /// report covers changes after this revision only.
    std::uint64_t listRevision_ = 0;
    /// Time up to which it knows all changes.
    Time confirmedAt_;
};

/// Records the report of another entry. It confirms what is known here only if this entry knows all
/// changes up to the reporter's list.
void recordPeerReport(ListKnowledge &knowledge, const PeerListReport &report);

/// Returns whether the entry may go on without a query of its own. maxAge is the longest time for
/// which a change may stay unknown.
bool mayPostponeQuery(const ListKnowledge &knowledge, Duration maxAge, Time now);

/// Returns whether the entry, whose watch is waiting, has to query the store beside it: neither a
/// query of its own nor other entries show that nothing has changed within maxAge.
bool isWatchCheckDue(const ListKnowledge &knowledge, Duration maxAge, Time now);

} // namespace eelgrasscove
