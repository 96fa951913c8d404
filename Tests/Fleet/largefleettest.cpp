#include "fleetsim.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <set>

using namespace eelgrasscove;
using namespace eelgrasscove::sim;
using namespace std::chrono_literals;

namespace {

/// Runs the simulation with increasing load numbers and returns the greatest age that the load an
/// entry knows for a target of its data centre reaches.
Duration maxLoadAge(FleetSim &sim, const std::string &entry, Duration span)
{
    std::vector<Time> loadSetAt;
    Duration oldest{};
    for (const Time end = sim.now() + span; sim.now() < end;) {
        const auto count = static_cast<std::uint32_t>(loadSetAt.size());
        for (auto &[name, node] : sim.nodes())
            node.load_.queued_ = count;
        loadSetAt.push_back(sim.now());
        const Time now = sim.now();
        sim.runFor(FleetSim::stepTime);
        for (const auto &[vm, peer] : sim.node(entry).entry_.fleet_.peers_) {
            const bool isLocalTarget = peer.listed_.role_ == Role::Target
                && peer.listed_.dataCentre_ == sim.node(entry).vm_.dataCentre_;
            if (isLocalTarget)
                oldest = std::max(oldest, now - loadSetAt.at(peer.heartbeat_.queued_));
        }
    }
    return oldest;
}

std::size_t countAcceptingTargets(FleetSim &sim, const std::string &entry,
                                  const std::string &dataCentre)
{
    const Fleet &fleet = sim.node(entry).entry_.fleet_;
    std::size_t count = 0;
    for (const auto &[vm, peer] : fleet.peers_) {
        if (peer.listed_.dataCentre_.text_ == dataCentre && acceptsWork(fleet, peer, sim.now()))
            ++count;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_CASE(target_load_in_large_fleet_is_no_older_than_one_report_period)
{
    FleetSimOptions options;
    options.oldEntry_ = "d0-e2";
    FleetSim sim(options);
    sim.runFor(10s);
    const Duration bound = reportPeriod(options.firstCentreTargets_, {}) + FleetSim::stepTime;
    for (const std::string entry : {"d0-e0", "d0-e2"}) {
        for (auto &[name, node] : sim.nodes())
            node.load_.queued_ = 0;
        sim.runFor(2s);
        const Duration oldest = maxLoadAge(sim, entry, 60s);
        BOOST_TEST_MESSAGE(entry << ": oldest load " << oldest.count() << " us");
        BOOST_TEST((oldest <= bound), entry << " " << oldest.count());
        BOOST_TEST(countAcceptingTargets(sim, entry, "d0") == options.firstCentreTargets_);
    }
}

BOOST_AUTO_TEST_CASE(residents_stay_correct_under_message_loss)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FleetSimOptions options;
        options.lossProbability_ = 0.1;
        options.seed_ = seed;
        FleetSim sim(options);
        std::mt19937_64 random(seed);
        for (std::uint32_t round = 0; round < 40; ++round) {
            for (auto &[name, node] : sim.nodes()) {
                const std::uint64_t adapter = random() % 6;
                node.load_.residents_ = {{{{fmt::format("a{}", adapter)}, {"1"}}, round}};
            }
            sim.runFor(1s);
        }
        sim.runFor(20s);
        for (auto &[name, node] : sim.nodes()) {
            if (node.vm_.role_ != Role::Target || node.vm_.dataCentre_.text_ != "d0")
                continue;
            const Peer &peer = sim.node("d0-e0").entry_.fleet_.peers_.at({name});
            BOOST_REQUIRE_MESSAGE(peer.heartbeat_.residents_.size() == 1U, "seed " << seed);
            BOOST_REQUIRE_MESSAGE(peer.heartbeat_.residents_[0].adapter_
                                      == node.load_.residents_[0].adapter_,
                                  "seed " << seed << " " << name);
        }
    }
}

BOOST_AUTO_TEST_CASE(load_report_traffic_stays_below_bound)
{
    FleetSimOptions options;
    options.countsBytes_ = true;
    FleetSim sim(options);
    sim.runFor(20s);
    sim.traffic_.clear();
    sim.runFor(60s);
    const double entry = static_cast<double>(sim.traffic_["d0-e0"].bytes_) / 60;
    BOOST_TEST_MESSAGE("entry " << entry << " B/s of " << sim.nodes().size() << " processes");
    BOOST_TEST(entry > 0);
    BOOST_TEST(entry < 23000);
}

BOOST_AUTO_TEST_CASE(remote_spares_accept_work_while_summaries_list_them)
{
    FleetSim sim({});
    sim.runFor(10s);
    BOOST_TEST(countAcceptingTargets(sim, "d1-e0", "d0") == LoadReportPolicy().maxSparesPerGroup_);
    BOOST_TEST(countAcceptingTargets(sim, "d1-e0", "d1") == FleetSimOptions().otherCentreTargets_);
    Fleet &fleet = sim.node("d1-e0").entry_.fleet_;
    for (const ListedVm &vm : sim.list_.vms_)
        applyLinkChange(fleet, vm.address_, vm.dataCentre_.text_ == "d1");
    BOOST_TEST(countAcceptingTargets(sim, "d1-e0", "d0") == 0U);
    BOOST_TEST(unlinkedSpares(fleet, {"advice"}, sim.now()).size() == 4U);
    BOOST_TEST(unlinkedSpares(fleet, {"records"}, sim.now()).empty());
    for (const ListedVm &vm : sim.list_.vms_)
        applyLinkChange(fleet, vm.address_, true);
    for (auto &[name, node] : sim.nodes())
        node.isUp_ = node.vm_.dataCentre_.text_ == "d1";
    sim.runFor(10s);
    BOOST_TEST(countAcceptingTargets(sim, "d1-e0", "d0") == 0U);
}

BOOST_AUTO_TEST_CASE(leaving_target_is_reported_at_once)
{
    FleetSim sim({});
    sim.runFor(10s);
    sim.node("d0-t3").load_.leaving_ = true;
    sim.runFor(FleetSim::stepTime);
    BOOST_TEST(countAcceptingTargets(sim, "d0-e0", "d0")
               == FleetSimOptions().firstCentreTargets_ - 1);
}

BOOST_AUTO_TEST_CASE(listed_leaving_reaches_all_within_five_seconds_despite_long_list_period)
{
    Duration worst{};
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        FleetSimOptions options;
        options.seed_ = seed;
        options.dataCentres_ = 1;
        options.entriesPerCentre_ = 8;
        options.firstCentreTargets_ = 32;
        FleetSim sim(options);
        // VMs of other data centres that exist only in the list, so that the fleet counts as large.
        for (std::size_t other = 0; other < 480; ++other)
            sim.list_.vms_.push_back({{fmt::format("x{}", other)}, {"r"}, {"x"}, Role::Target});
        sim.runFor(60s);
        sim.setListedLeaving("d0-t1", true);
        const Time markedAt = sim.now();
        const auto allKnow = [&] {
            for (auto &[name, node] : sim.nodes()) {
                const Fleet &fleet = sim.fleetOf(node);
                if (name != "d0-t1" && !fleet.peers_.at({"d0-t1"}).listed_.leaving_)
                    return false;
            }
            return true;
        };
        while (!allKnow() && sim.now() < markedAt + 60s)
            sim.runFor(FleetSim::stepTime);
        worst = std::max(worst, sim.now() - markedAt);
        BOOST_TEST((sim.node("d0-e0").listPeriod_ > 20s));
        BOOST_TEST((sim.now() - markedAt <= 5s), "seed " << seed);
    }
    BOOST_TEST_MESSAGE("known to all processes after " << worst.count() << " us at most");
}

BOOST_AUTO_TEST_CASE(drain_marks_and_their_removal_reach_entries_without_watch)
{
    for (const std::size_t targets : {3U, 20U}) {
        FleetSimOptions options;
        options.entriesPerCentre_ = 4;
        options.firstCentreTargets_ = targets;
        options.otherCentreTargets_ = targets == 3 ? 1 : 5;
        FleetSim sim(options);
        sim.runFor(20s);
        std::vector<std::string> notWatching;
        for (auto &[name, node] : sim.nodes()) {
            if (!node.isWatching_ && node.vm_.dataCentre_.text_ == "d0"
                && node.vm_.role_ == Role::Entry)
                notWatching.push_back(name);
        }
        BOOST_REQUIRE(notWatching.size() == 2U);
        FleetNode &entryWithoutWatch = sim.node(notWatching[0]);
        const auto isSeenLeaving = [&] {
            return sim.fleetOf(entryWithoutWatch).peers_.at({"d0-t1"}).listed_.leaving_;
        };
        sim.setDrained("d0-t1", true);
        BOOST_TEST(isSeenLeaving());
        sim.runFor(5min);
        BOOST_TEST(isSeenLeaving());
        sim.setDrained("d0-t1", false);
        sim.runFor(25s);
        BOOST_TEST(!isSeenLeaving());
    }
}

BOOST_AUTO_TEST_CASE(large_fleet_distributes_rules_from_two_watchers_per_data_centre)
{
    FleetSimOptions options;
    options.lossProbability_ = 0.05;
    FleetSim sim(options);
    sim.runFor(10s);
    std::map<std::string, std::size_t> watching;
    for (auto &[name, node] : sim.nodes())
        watching[node.vm_.dataCentre_.text_] += node.isWatching_ ? 1 : 0;
    for (const auto &[dataCentre, count] : watching)
        BOOST_TEST(count == 2U, dataCentre << ": " << count);
    const std::string watcher = [&] {
        for (auto &[name, node] : sim.nodes()) {
            if (node.isWatching_)
                return name;
        }
        return std::string();
    }();
    for (std::uint64_t revision = 1; revision <= 5; ++revision) {
        sim.deliverRules(
            watcher,
            {{revision}, fmt::format("account shop rate {} burst 5 # J. Smit\n", revision)});
        sim.runFor(18s);
        for (auto &[name, node] : sim.nodes())
            BOOST_TEST(sim.spreadOf(node).revision_.value_ == revision, name);
    }
}

BOOST_AUTO_TEST_CASE(small_fleet_targets_watch_rules_and_keep_short_list_period)
{
    FleetSimOptions options;
    options.firstCentreTargets_ = 4;
    options.otherCentreTargets_ = 1;
    FleetSim sim(options);
    sim.runFor(5s);
    for (auto &[name, node] : sim.nodes()) {
        BOOST_TEST((node.listPeriod_ == Duration(0)), name);
        if (node.vm_.role_ == Role::Target)
            BOOST_TEST(node.isWatching_, name);
    }
}
