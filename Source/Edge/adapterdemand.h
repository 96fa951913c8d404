#pragma once

/// Estimates the request rate of each adapter over all entries. Pure functions: no clock, I/O or
/// threads.
///
/// A few adapters receive most requests, but one of many entries handles too small a sample of
/// them to distinguish a frequently requested adapter from a random peak. Entries therefore report
/// their most requested adapters to each other.

#include "Peer/peermessages.h"

#include <eelgrasscove/time.h>

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrasscove {

struct AdapterDemand
{
    struct RequestCount
    {
        /// Number of requests with exponential decay, as of updatedAt_.
        double count_ = 0;
        Time updatedAt_;
    };
    struct PeerRates
    {
        Time receivedAt_;
        std::vector<AdapterRequestRate> rates_;
    };

    std::unordered_map<NameHash, RequestCount> localCounts_;
    /// Latest report of each peer, by VM.
    std::map<std::string, PeerRates> peerRates_;
    /// Sum of the rates reported by the peers, by adapter.
    std::unordered_map<NameHash, double> peerRateSums_;
};

/// Records a request for the adapter at this entry.
void recordAdapterRequest(AdapterDemand &demand, NameHash adapter, Time now);

/// Requests for the adapter per second, at this entry and its peers together.
double requestRateOf(const AdapterDemand &demand, NameHash adapter, Time now);

/// Returns the adapters most often requested at this entry, for its report to the peers. Removes
/// counts that have decayed to almost nothing.
std::vector<AdapterRequestRate> topAdapterRates(AdapterDemand &demand, Time now);

/// Replaces the previous report of a peer by a new one.
void applyPeerRates(AdapterDemand &demand, const std::string &vm,
                    std::vector<AdapterRequestRate> rates, Time now);

/// Removes the reports of peers that have sent no newer one within the timeout.
void removeExpiredPeerRates(AdapterDemand &demand, Time now);

} // namespace eelgrasscove
