#pragma once

/// Remembers which software version of a service's targets began a stream, so that the stream goes
/// on at that version only. Pure functions: no clock, I/O or threads.
///
/// The entry that forwards the first event of a stream reports its origin to a few agents, the
/// keepers. They follow from the hash of the stream and the hosts of the engines, so another entry
/// finds them without having known of the stream, also if all entries were stopped meanwhile.

#include "Peer/peermessages.h"

#include <eelgrasscove/time.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasscove {

/// Number of keepers to which an origin is reported. Agents end with their targets, and datagrams
/// may be lost.
constexpr std::size_t originCopies = 3;
/// Number of keepers that are queried. It is higher, as hosts may have been added since the report.
constexpr std::size_t queriedKeepers = 6;

/// Identifies a stream by the account and the id of the request that received its first event. With
/// the account in it, a request finds streams of its own account only.
StreamHash streamHash(std::string_view account, std::string_view requestId);

/// Identifies a software version of a service's targets. Versions of two services are different
/// ones. Returns 0 if the version is empty, that is, not known.
NameHash softwareVersionHash(std::string_view service, std::string_view version);

/// Returns up to count of the hosts, those that keep the origin of the stream: the same ones, in
/// the same order, for any order of the hosts.
std::vector<std::string> originKeepers(std::vector<std::string> hosts, StreamHash stream,
                                       std::size_t count);

/// The origins that an agent keeps.
struct KeptOrigins
{
    struct Origin
    {
        /// 0 if it was reported with different versions, and so is not known.
        NameHash version_ = 0;
        Time expiresAt_;
    };
    std::map<StreamHash, Origin> origins_;
};

/// Keeps a reported origin for as long as the report says. Returns false if there are too many.
bool keepOrigin(KeptOrigins &kept, const StreamOriginReport &report, Time now);

/// Returns the version that began the stream; 0 if it isn't known.
NameHash originOf(const KeptOrigins &kept, StreamHash stream, Time now);

void removeExpiredOrigins(KeptOrigins &kept, Time now);

/// An entry's query for the origin of one stream.
struct OriginLookup
{
    /// Hosts of the keepers that have not answered.
    std::vector<std::string> unanswered_;
    Time startedAt_;
    Time queriedAt_;
};

enum class LookupProgress {
    /// Answers are missing.
    Open,
    /// The keepers that have not answered are to be queried again.
    QueryDue,
    /// No keeper knows the stream, or none answers within the time for it.
    Unknown,
};

/// Records that a keeper doesn't know the stream.
void recordUnknownAt(OriginLookup &lookup, std::string_view host);

LookupProgress progressOf(const OriginLookup &lookup, Time now);

} // namespace eelgrasscove
