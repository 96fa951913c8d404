#include "Edge/adapterdemand.h"

#include <algorithm>
#include <cmath>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Time in which a request's weight falls to 1/e: several runs long, and short enough to follow
/// demand that moves within seconds.
constexpr std::chrono::duration<double> memory = 3s;

/// Adapters told to the peers, so that a message fits a datagram; a frequent one is among the first
/// of most entries.
constexpr std::size_t mostTold = 8;
/// An adapter that is asked for less often here is not told.
constexpr double leastTold = 0.25;
/// A count below this is forgotten.
constexpr double leastCount = 0.05;

/// Peers tell each 0.6 s; three may be lost.
constexpr Duration toldGoodFor = 2500ms;

double countAt(const AdapterDemand::Asked &asked, Time now)
{
    return asked.count_ * std::exp(-std::chrono::duration<double>(now - asked.at_) / memory);
}

void addTold(AdapterDemand &demand, const std::vector<AdapterRate> &rates, double sign)
{
    for (const AdapterRate &rate : rates) {
        double &sum = demand.told_[rate.adapter_];
        sum += sign * rate.perSecond_;
        // What is left after the last peer's rate was taken off is a rounding error.
        if (sum < leastTold / 2)
            demand.told_.erase(rate.adapter_);
    }
}

} // namespace

void noteAsked(AdapterDemand &demand, NameMark adapter, Time now)
{
    AdapterDemand::Asked &asked = demand.own_[adapter];
    asked = {countAt(asked, now) + 1, now};
}

double askedPerSecond(const AdapterDemand &demand, NameMark adapter, Time now)
{
    const auto own = demand.own_.find(adapter);
    const auto told = demand.told_.find(adapter);
    return (own == demand.own_.end() ? 0 : countAt(own->second, now) / memory.count())
        + (told == demand.told_.end() ? 0 : told->second);
}

std::vector<AdapterRate> mostAsked(AdapterDemand &demand, Time now)
{
    std::erase_if(demand.own_,
                  [now](const auto &each) { return countAt(each.second, now) < leastCount; });
    std::vector<AdapterRate> rates;
    for (const auto &[adapter, asked] : demand.own_) {
        const double perSecond = countAt(asked, now) / memory.count();
        if (perSecond >= leastTold)
            rates.push_back({adapter, static_cast<float>(perSecond)});
    }
    std::sort(rates.begin(), rates.end(), [](const AdapterRate &left, const AdapterRate &right) {
        return left.perSecond_ > right.perSecond_;
    });
    rates.resize(std::min(rates.size(), mostTold));
    return rates;
}

void hearMostAsked(AdapterDemand &demand, const std::string &vm, std::vector<AdapterRate> rates,
                   Time now)
{
    AdapterDemand::Told &told = demand.peers_[vm];
    addTold(demand, told.rates_, -1);
    addTold(demand, rates, 1);
    told = {now, std::move(rates)};
}

void forgetSilentPeers(AdapterDemand &demand, Time now)
{
    std::erase_if(demand.peers_, [&](const auto &peer) {
        const bool silent = now - peer.second.at_ > toldGoodFor;
        if (silent)
            addTold(demand, peer.second.rates_, -1);
        return silent;
    });
}

} // namespace eelgrasscove
