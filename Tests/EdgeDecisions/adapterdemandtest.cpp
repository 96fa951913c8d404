#include "Edge/adapterdemand.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const NameHash frequent = nameHash("base/frequent");

} // namespace

BOOST_AUTO_TEST_CASE(each_of_many_entries_estimates_the_total_request_rate_of_a_frequent_adapter)
{
    constexpr std::size_t count = 24;
    constexpr double perSecond = 48;
    std::vector<AdapterDemand> entries(count);
    std::minstd_rand random{5};
    Time now = Time(100s);
    for (int tick = 0; tick < 1500; ++tick, now += 10ms) {
        if (std::bernoulli_distribution(perSecond / 100)(random))
            recordAdapterRequest(entries[random() % count], frequent, now);
        // Other adapters, each requested occasionally.
        recordAdapterRequest(entries[random() % count], random() % 5000, now);
        if (tick % 60 != 0)
            continue;
        for (std::size_t from = 0; from < count; ++from) {
            const std::vector<AdapterRequestRate> rates = topAdapterRates(entries[from], now);
            for (std::size_t to = 0; to < count; ++to) {
                if (to != from)
                    applyPeerRates(entries[to], std::to_string(from), rates, now);
            }
        }
    }
    for (const AdapterDemand &entry : entries) {
        const double estimate = requestRateOf(entry, frequent, now);
        BOOST_TEST(estimate > perSecond * 0.7);
        BOOST_TEST(estimate < perSecond * 1.3);
    }
}

BOOST_AUTO_TEST_CASE(demand_is_removed_after_requests_and_peer_reports_end)
{
    AdapterDemand demand;
    Time now = Time(100s);
    for (int request = 0; request < 90; ++request, now += 100ms)
        recordAdapterRequest(demand, frequent, now);
    applyPeerRates(demand, "peer", {{frequent, 7}}, now);
    BOOST_TEST(requestRateOf(demand, frequent, now) > 15);
    // One peer reports that the adapter is no longer requested there; another sends no more
    // reports.
    applyPeerRates(demand, "silent", {{frequent, 5}}, now);
    applyPeerRates(demand, "peer", {}, now + 1s);
    removeExpiredPeerRates(demand, now + 3s);
    BOOST_TEST(demand.peerRates_.size() == 1);
    BOOST_TEST(requestRateOf(demand, frequent, now + 12s) < 0.3);
    BOOST_TEST(topAdapterRates(demand, now + 30s).empty());
    BOOST_TEST(demand.localCounts_.empty());
    BOOST_TEST(demand.peerRateSums_.empty());
}
