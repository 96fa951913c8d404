#include "Edge/adapterdemand.h"

#include <algorithm>
#include <cmath>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Time in which a request's weight decays to 1/e: several run times long, but short enough to
/// follow demand that shifts within seconds.
constexpr std::chrono::duration<double> decayTime = 3s;

/// Adapters in a report to the peers, so that the message fits a datagram. A frequently requested
/// adapter is among the first at most entries.
constexpr std::size_t maxReportedAdapters = 8;
/// Requests per second below which an adapter is left out of the report to the peers.
constexpr double minReportedRate = 0.25;
/// Decayed counts below this are removed.
constexpr double minCount = 0.05;

/// Peers report every 0.6 s; three consecutive reports may be lost.
constexpr Duration reportTimeout = 2500ms;

double decayedCount(const AdapterDemand::RequestCount &count, Time now)
{
    return count.count_
        * std::exp(-std::chrono::duration<double>(now - count.updatedAt_) / decayTime);
}

void addRates(AdapterDemand &demand, const std::vector<AdapterRequestRate> &rates, double sign)
{
    for (const AdapterRequestRate &rate : rates) {
        double &sum = demand.peerRateSums_[rate.adapter_];
        sum += sign * rate.requestsPerSecond_;
        // A sum this small is the rounding error left after the last peer's rate was subtracted.
        if (sum < minReportedRate / 2)
            demand.peerRateSums_.erase(rate.adapter_);
    }
}

} // namespace

void recordAdapterRequest(AdapterDemand &demand, NameHash adapter, Time now)
{
    AdapterDemand::RequestCount &count = demand.localCounts_[adapter];
    count = {decayedCount(count, now) + 1, now};
}

double requestRateOf(const AdapterDemand &demand, NameHash adapter, Time now)
{
    const auto localCount = demand.localCounts_.find(adapter);
    const auto peerRate = demand.peerRateSums_.find(adapter);
    return (localCount == demand.localCounts_.end()
                ? 0
                : decayedCount(localCount->second, now) / decayTime.count())
        + (peerRate == demand.peerRateSums_.end() ? 0 : peerRate->second);
}

std::vector<AdapterRequestRate> topAdapterRates(AdapterDemand &demand, Time now)
{
    std::erase_if(demand.localCounts_,
                  [now](const auto &each) { return decayedCount(each.second, now) < minCount; });
    std::vector<AdapterRequestRate> rates;
    for (const auto &[adapter, count] : demand.localCounts_) {
        const double perSecond = decayedCount(count, now) / decayTime.count();
        if (perSecond >= minReportedRate)
            rates.push_back({adapter, static_cast<float>(perSecond)});
    }
    std::sort(rates.begin(), rates.end(),
              [](const AdapterRequestRate &left, const AdapterRequestRate &right) {
                  return left.requestsPerSecond_ > right.requestsPerSecond_;
              });
    rates.resize(std::min(rates.size(), maxReportedAdapters));
    return rates;
}

void applyPeerRates(AdapterDemand &demand, const std::string &vm,
                    std::vector<AdapterRequestRate> rates, Time now)
{
    AdapterDemand::PeerRates &previous = demand.peerRates_[vm];
    addRates(demand, previous.rates_, -1);
    addRates(demand, rates, 1);
    previous = {now, std::move(rates)};
}

void removeExpiredPeerRates(AdapterDemand &demand, Time now)
{
    std::erase_if(demand.peerRates_, [&](const auto &peer) {
        const bool isExpired = now - peer.second.receivedAt_ > reportTimeout;
        if (isExpired)
            addRates(demand, peer.second.rates_, -1);
        return isExpired;
    });
}

} // namespace eelgrasscove
