#define BOOST_TEST_MODULE RuleSpread
#include "DataCentre/ruledistribution.h"
#include "DataCentre/rulesdelta.h"
#include "ruledistributionsim.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace eelgrasscove;
using namespace eelgrasscove::sim;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const Time start = Time(hours(1));

DistributionView viewOf(std::size_t entries)
{
    DistributionView view;
    for (std::size_t entry = 0; entry < entries; ++entry)
        view.members_.push_back({{"entry" + std::to_string(entry)}, {"utrecht"}, Role::Entry});
    view.members_.push_back({{"target"}, {"utrecht"}, Role::Target});
    return view;
}

RuleDistribution spreadOf(const std::string &name)
{
    RuleDistribution spread;
    spread.self_ = {name};
    spread.dataCentre_ = {"utrecht"};
    spread.lastSourceContactAt_ = start;
    return spread;
}

template <class T>
std::size_t countOf(const DistributionActions &actions)
{
    return static_cast<std::size_t>(
        std::count_if(actions.begin(), actions.end(), [](const DistributionAction &action) {
            return std::holds_alternative<T>(action);
        }));
}

std::size_t watchersAmong(const DistributionView &view)
{
    std::size_t watchers = 0;
    for (const DistributionMember &member : view.members_) {
        RuleDistribution spread = spreadOf(member.vm_.text_);
        tickRuleDistribution(spread, view, start);
        watchers += spread.watching_ ? 1 : 0;
    }
    return watchers;
}

void startAll(RuleDistributionSim &sim)
{
    for (std::size_t process = 0; process < sim.processes().size(); ++process)
        sim.start(process);
}

/// Returns a simulation in which all processes run and hold revision 1.
RuleDistributionSim settledSim(const SimOptions &options)
{
    RuleDistributionSim sim(options);
    startAll(sim);
    sim.preload(rulesText(50, 0));
    sim.runFor(seconds(3));
    return sim;
}

} // namespace

BOOST_AUTO_TEST_CASE(only_higher_revisions_are_adopted)
{
    const DistributionView view = viewOf(2);
    RuleDistribution spread = spreadOf("entry0");
    BOOST_TEST(countOf<AdoptRules>(handleStoredRules(spread, view, {{5}, "five"}, start)) == 1U);
    BOOST_TEST(handleStoredRules(spread, view, {{4}, "four"}, start).empty());
    BOOST_TEST(handleStoredRules(spread, view, {{5}, "other"}, start).empty());
    BOOST_TEST(handleRulesText(spread, view, {"entry1"}, {{3}, "three"}, start).empty());
    const RulesDelta back = makeRulesDelta("five", "two", {5}, {2});
    BOOST_TEST(handleRulesDelta(spread, view, {"entry1"}, back, start).empty());
    RulesPart part;
    part.revision_ = {4};
    part.parts_ = 1;
    part.bytes_ = "four";
    part.digest_ = textDigest("four");
    BOOST_TEST(handleRulesPart(spread, view, {"entry1"}, part, start).empty());
    BOOST_TEST(spread.revision_.value_ == 5U);
    BOOST_TEST(spread.text_ == "five");
}

BOOST_AUTO_TEST_CASE(damaged_delta_is_not_adopted)
{
    const DistributionView view = viewOf(2);
    RuleDistribution spread = spreadOf("entry0");
    handleStoredRules(spread, view, {{5}, "a\nb\n"}, start);
    RulesDelta delta = makeRulesDelta("a\nb\n", "a\nc\n", {5}, {6});
    delta.edits_.front().lines_.front() = "d";
    const DistributionActions actions = handleRulesDelta(spread, view, {"entry1"}, delta, start);
    BOOST_TEST(countOf<AdoptRules>(actions) == 0U);
    BOOST_TEST(countOf<SendToPeer>(actions) == 1U);
    BOOST_TEST(spread.revision_.value_ == 5U);
}

BOOST_AUTO_TEST_CASE(next_entry_in_order_replaces_a_removed_watcher)
{
    DistributionView view = viewOf(5);
    BOOST_TEST(watchersAmong(view) == 2U);
    const std::vector<VmName> order = distributionOrder(view, {"utrecht"});
    RuleDistribution next = spreadOf(order[2].text_);
    tickRuleDistribution(next, view, start);
    BOOST_TEST(!next.watching_);
    std::erase_if(view.members_,
                  [&](const DistributionMember &each) { return each.vm_ == order[0]; });
    BOOST_TEST(countOf<WatchPlatformRules>(tickRuleDistribution(next, view, start)) == 1U);
    BOOST_TEST(next.watching_);
    BOOST_TEST(watchersAmong(viewOf(0)) == 1U);
}

BOOST_AUTO_TEST_CASE(process_with_lower_revision_requests_and_applies_deltas)
{
    const DistributionView view = viewOf(2);
    RuleDistribution high = spreadOf("entry0");
    RuleDistribution low = spreadOf("entry1");
    handleStoredRules(high, view, {{1}, "a\n"}, start);
    handleStoredRules(low, view, {{1}, "a\n"}, start);
    handleStoredRules(high, view, {{2}, "a\nb\n"}, start);
    handleStoredRules(high, view, {{3}, "c\nb\n"}, start);
    const DistributionActions requests = handlePeerRevision(low, {"entry0"}, {3}, start);
    BOOST_REQUIRE(requests.size() == 1U);
    BOOST_TEST(handlePeerRevision(low, {"entry0"}, {3}, start).empty());
    const auto &request = std::get<RulesRequest>(std::get<SendToPeer>(requests[0]).message_);
    const DistributionActions replies = handleRulesRequest(high, {"entry1"}, request, start);
    BOOST_TEST(replies.size() == 2U);
    for (const DistributionAction &reply : replies) {
        const auto &delta = std::get<RulesDelta>(std::get<SendToPeer>(reply).message_);
        handleRulesDelta(low, view, {"entry0"}, delta, start);
    }
    BOOST_TEST(low.revision_.value_ == 3U);
    BOOST_TEST(low.text_ == "c\nb\n");
}

BOOST_AUTO_TEST_CASE(keyed_routes_stop_only_after_the_limit_without_contact_to_any_source)
{
    const DistributionView view = viewOf(2);
    RuleDistribution spread = spreadOf("entry0");
    BOOST_TEST(!canServeKeyedRoutes(spread, start));
    handleStoredRules(spread, view, {{1}, "a"}, start);
    recordPlatformReachable(spread, true, start);
    recordPlatformReachable(spread, false, start + hours(1));
    const Time late = start + hours(1) + spread.policy_.staleAfter_;
    BOOST_TEST(canServeKeyedRoutes(spread, late));
    BOOST_TEST(!canServeKeyedRoutes(spread, late + Duration(1)));
    handlePeerRevision(spread, {"entry1"}, {1}, late);
    BOOST_TEST(canServeKeyedRoutes(spread, late + hours(1)));
}

BOOST_AUTO_TEST_CASE(rules_settle_after_peer_replies_or_the_maximum_wait)
{
    const DistributionView view = viewOf(3);
    RuleDistribution asking = spreadOf("entry0");
    startRuleDistribution(asking, view, start);
    handleStoredRules(asking, view, {{1}, "stale"}, start);
    tickRuleDistribution(asking, view, start);
    BOOST_TEST(!areRulesSettled(asking));
    RuleDistribution alone = asking;
    tickRuleDistribution(alone, view, start + alone.policy_.startMaximumWait_);
    BOOST_TEST(areRulesSettled(alone));
    handlePeerRevision(asking, {"entry1"}, {2}, start);
    tickRuleDistribution(asking, view, start + asking.policy_.startMaximumWait_);
    BOOST_TEST(!areRulesSettled(asking));
    handleRulesText(asking, view, {"entry1"}, {{2}, "fresh"}, start);
    tickRuleDistribution(asking, view, start + asking.policy_.startMaximumWait_);
    BOOST_TEST(areRulesSettled(asking));
}

BOOST_AUTO_TEST_CASE(parts_with_a_digest_mismatch_are_not_adopted)
{
    const DistributionView view = viewOf(3);
    RuleDistribution spread = spreadOf("entry0");
    RulesPart part;
    part.revision_ = {9};
    part.parts_ = 1;
    part.digest_ = textDigest("route");
    part.bytes_ = "rout";
    BOOST_TEST(handleRulesPart(spread, view, {"entry1"}, part, start).empty());
    BOOST_TEST(spread.revision_.value_ == 0U);
    part.bytes_ = "route";
    BOOST_TEST(countOf<AdoptRules>(handleRulesPart(spread, view, {"entry1"}, part, start)) == 1U);
}

BOOST_AUTO_TEST_CASE(fetch_without_progress_is_abandoned)
{
    const DistributionView view = viewOf(3);
    RuleDistribution spread = spreadOf("entry0");
    RulesPart part;
    part.revision_ = {9};
    part.parts_ = 2;
    part.digest_ = "0";
    handleRulesPart(spread, view, {"entry1"}, part, start);
    BOOST_TEST(handlePeerRevision(spread, {"entry2"}, {8}, start).empty());
    tickRuleDistribution(spread, view, start + minutes(1));
    BOOST_TEST(!handlePeerRevision(spread, {"entry2"}, {8}, start + minutes(1)).empty());
}

BOOST_AUTO_TEST_CASE(stale_read_at_start_is_corrected_by_peers_before_rules_settle)
{
    SimOptions options;
    options.processes_ = 20;
    options.dataCentres_ = 2;
    RuleDistributionSim sim = settledSim(options);
    sim.publishRevision(rulesText(50, 1));
    BOOST_REQUIRE(sim.runUntilAllHoldNewest(seconds(5)));
    sim.setStaleReads(Revision{1});
    for (std::size_t process = 0; process < sim.processes().size(); ++process) {
        sim.start(process);
        for (int step = 0; step < 600; ++step) {
            sim.runFor(milliseconds(10));
            const RuleDistribution &spread = sim.processes()[process].spread_;
            BOOST_REQUIRE(!areRulesSettled(spread) || spread.revision_.value_ == 2U);
        }
        BOOST_TEST(areRulesSettled(sim.processes()[process].spread_));
    }
    BOOST_TEST(sim.fault().text_ == "");
}

BOOST_AUTO_TEST_CASE(one_notified_watcher_before_an_outage_suffices_for_all_to_converge)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SimOptions options;
        options.processes_ = 60;
        options.dataCentres_ = 6;
        options.notifiedWatchers_ = 1;
        options.lossFraction_ = 0.05;
        options.seed_ = seed;
        RuleDistributionSim sim = settledSim(options);
        sim.publishRevision(rulesText(50, 1));
        BOOST_REQUIRE_MESSAGE(sim.runUntilAllHoldNewest(seconds(18)), "seed " << seed);
        BOOST_TEST(!sim.platformUp());
        sim.runFor(seconds(30));
        BOOST_TEST(sim.countHolders({2}) == 60U);
        BOOST_TEST(sim.fault().text_ == "", "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(large_file_is_fetched_in_parts_despite_message_loss)
{
    SimOptions options;
    options.processes_ = 12;
    options.dataCentres_ = 3;
    options.lossFraction_ = 0.1;
    RuleDistributionSim sim(options);
    startAll(sim);
    sim.preload(rulesText(4000, 0));
    sim.runFor(seconds(3));
    sim.start(5);
    BOOST_TEST(sim.runUntilAllHoldNewest(minutes(5)));
    BOOST_TEST(sim.fault().text_ == "");
}

BOOST_AUTO_TEST_CASE(simultaneous_start_stays_within_the_platform_read_limit)
{
    SimOptions options;
    options.processes_ = 200;
    RuleDistributionSim sim(options);
    sim.publishRevision(rulesText(50, 1));
    startAll(sim);
    BOOST_TEST(sim.runUntilAllHoldNewest(seconds(18)));
    // Two watchers in each of 13 data centres, with one watch and one read each.
    BOOST_TEST(sim.counts().platformReads_ <= 2U * 2U * 13U + 26U);
}

BOOST_AUTO_TEST_CASE(simultaneous_start_in_an_outage_backs_off)
{
    SimOptions options;
    options.processes_ = 200;
    RuleDistributionSim sim(options);
    sim.publishRevision(rulesText(50, 1));
    sim.setPlatformUp(false);
    startAll(sim);
    sim.runFor(minutes(10));
    BOOST_TEST(sim.counts().maxPlatformReadsPerSecond_ <= 150U);
    // With a backoff window of one minute, each process reads about once per 31 seconds.
    BOOST_TEST(sim.counts().platformReads_ <= 200U * 30U);
    sim.setPlatformUp(true);
    BOOST_TEST(sim.runUntilAllHoldNewest(minutes(2)));
}

BOOST_AUTO_TEST_CASE(vm_list_reads_stay_within_the_byte_rate)
{
    const RuleDistributionPolicy policy;
    BOOST_TEST((vmListReadPeriod(20, policy, seconds(1)) == seconds(1)));
    for (std::size_t listed = 100; listed <= 4000; listed *= 2) {
        const Duration period = vmListReadPeriod(listed, policy, seconds(1));
        const double bytes = static_cast<double>(listed * policy.vmListRowBytes_)
            / std::chrono::duration<double>(period).count();
        BOOST_TEST(bytes <= static_cast<double>(policy.listBytesPerSecond_) * 1.001);
    }
}

namespace {

/// Applies one random change to the rules, the platform, the network or the processes.
void applyRandomChange(RuleDistributionSim &sim, std::mt19937_64 &random, std::size_t dataCentres)
{
    const std::size_t process = random() % sim.processes().size();
    switch (random() % 9) {
    case 0:
    case 1:
        if (sim.platformUp())
            sim.publishRevision(rulesText(20, sim.newestRevision().value_));
        break;
    case 2:
        sim.setPlatformUp(random() % 2 == 0);
        break;
    case 3:
        sim.setDataCentrePartitioned(random() % dataCentres, random() % 2 == 0);
        break;
    case 4:
        sim.stop(process);
        break;
    case 5:
        sim.start(process);
        break;
    case 6:
        sim.setStaleReads(Revision{1 + random() % sim.newestRevision().value_});
        break;
    case 7:
        sim.setStaleReads(std::nullopt);
        break;
    default:
        sim.setLoss(static_cast<double>(random() % 30) / 100);
    }
    sim.refreshView();
}

void removeFaults(RuleDistributionSim &sim, std::size_t dataCentres)
{
    for (std::size_t dataCentre = 0; dataCentre < dataCentres; ++dataCentre)
        sim.setDataCentrePartitioned(dataCentre, false);
    for (std::size_t process = 0; process < sim.processes().size(); ++process) {
        if (!sim.processes()[process].up_)
            sim.start(process);
    }
    sim.setStaleReads(std::nullopt);
    sim.setLoss(0.02);
    sim.setPlatformUp(true);
    sim.refreshView();
}

} // namespace

BOOST_AUTO_TEST_CASE(revisions_never_decrease_and_all_converge_under_random_faults)
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        std::mt19937_64 random(seed);
        SimOptions options;
        options.processes_ = 4 + random() % 30;
        options.dataCentres_ = 1 + random() % 5;
        options.seed_ = seed;
        options.policy_.partBytes_ = 512;
        options.hasSparseHeartbeats_ = seed % 2 == 0;
        RuleDistributionSim sim = settledSim(options);
        for (int step = 0; step < 40; ++step) {
            applyRandomChange(sim, random, options.dataCentres_);
            sim.runFor(milliseconds(random() % 3000));
            BOOST_REQUIRE_MESSAGE(sim.fault().text_.empty(),
                                  "seed " << seed << ": " << sim.fault().text_);
        }
        removeFaults(sim, options.dataCentres_);
        BOOST_REQUIRE_MESSAGE(sim.runUntilAllHoldNewest(minutes(2)),
                              "seed " << seed << ": a live process lacks the newest revision");
        BOOST_REQUIRE_MESSAGE(sim.fault().text_.empty(),
                              "seed " << seed << ": " << sim.fault().text_);
    }
}
