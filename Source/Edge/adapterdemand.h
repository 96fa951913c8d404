#pragma once

/// How often each adapter is asked for at all entries together, as one entry sees it. Pure.
///
/// It answers the load of a few adapters that take most requests: one of many entries sees too few
/// of them to tell a frequent adapter from a chance, so entries tell each other their most frequent
/// ones.

#include "Peer/peermessages.h"

#include <eelgrasscove/time.h>

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrasscove {

struct AdapterDemand
{
    struct Asked
    {
        /// Requests, of which the older ones count less.
        double count_ = 0;
        Time at_;
    };
    struct Told
    {
        Time at_;
        std::vector<AdapterRate> rates_;
    };

    std::unordered_map<NameMark, Asked> own_;
    /// By VM.
    std::map<std::string, Told> peers_;
    /// The sum of what the peers told, by adapter.
    std::unordered_map<NameMark, double> told_;
};

/// Takes note of a request for the adapter here.
void noteAsked(AdapterDemand &demand, NameMark adapter, Time now);

/// Requests for the adapter a second, here and at the peers.
double askedPerSecond(const AdapterDemand &demand, NameMark adapter, Time now);

/// The adapters most often asked for here, for the peers; forgets those that no longer are.
std::vector<AdapterRate> mostAsked(AdapterDemand &demand, Time now);

/// Takes what a peer told, in place of what it told before.
void hearMostAsked(AdapterDemand &demand, const std::string &vm, std::vector<AdapterRate> rates,
                   Time now);

/// Forgets what was told by peers that have been silent.
void forgetSilentPeers(AdapterDemand &demand, Time now);

} // namespace eelgrasscove
