#include "DataCentre/loadreport.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace eelgrasscove;

namespace {

const Time start = Time(std::chrono::hours(1));

Envelope envelopeOf(std::uint64_t incarnation, const Message &message)
{
    Envelope envelope;
    envelope.from_ = {"target"};
    envelope.incarnation_ = {incarnation};
    envelope.replyAddress_ = "tcp://target";
    envelope.message_ = message;
    return envelope;
}

LoadReportResult receive(Fleet &fleet, std::uint64_t incarnation, const Message &message)
{
    const Envelope envelope = envelopeOf(incarnation, message);
    if (const auto *report = std::get_if<LoadReport>(&message))
        return applyLoadReport(fleet, envelope, *report, start);
    applyHeartbeat(fleet, envelope, std::get<Heartbeat>(message), start);
    return LoadReportResult::Applied;
}

std::map<AdapterKey, std::uint32_t> residentsOf(const Heartbeat &heartbeat)
{
    std::map<AdapterKey, std::uint32_t> residents;
    for (const ResidentAdapter &resident : heartbeat.residents_)
        residents[resident.adapter_] = resident.running_;
    return residents;
}

Heartbeat randomLoad(std::mt19937_64 &random)
{
    Heartbeat load;
    load.role_ = Role::Target;
    load.queued_ = static_cast<std::uint32_t>(random() % 9);
    load.running_ = static_cast<std::uint32_t>(random() % 9);
    for (int adapter = 0; adapter < 12; ++adapter) {
        if (random() % 4 != 0)
            load.residents_.push_back(
                {{{fmt::format("a{}", adapter)}, {"1"}}, static_cast<std::uint32_t>(random() % 2)});
    }
    return load;
}

Fleet emptyFleet()
{
    Fleet fleet;
    fleet.self_ = {"entry"};
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_CASE(lost_and_reordered_reports_never_give_wrong_load)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random(seed);
        Fleet fleet = emptyFleet();
        LoadReportState sender;
        LoadReportPolicy policy;
        policy.maxReportsPerFullHeartbeat_ = 8;
        std::map<std::uint64_t, Heartbeat> sentLoads;
        std::vector<Message> delayed;
        std::size_t reports = 0;
        for (int step = 0; step < 60; ++step) {
            const Heartbeat load = randomLoad(random);
            Message message = makeNextReport(sender, load, policy);
            reports += std::holds_alternative<LoadReport>(message) ? 1 : 0;
            sentLoads[sender.number_] = load;
            if (random() % 10 == 0) {
                delayed.push_back(message);
                continue;
            }
            if (receive(fleet, 1, message) == LoadReportResult::NeedsFull) {
                receive(fleet, 1, makeFullReport(sender, load));
                sentLoads[sender.number_] = load;
            }
            if (!delayed.empty() && random() % 3 == 0
                && std::holds_alternative<LoadReport>(delayed[0])) {
                receive(fleet, 1, delayed[0]);
                delayed.clear();
            }
            const Peer &peer = fleet.peers_.at({"target"});
            const Heartbeat &expected = sentLoads.at(peer.lastReportNumber_);
            BOOST_REQUIRE_MESSAGE(residentsOf(peer.heartbeat_) == residentsOf(expected),
                                  "seed " << seed << " step " << step);
            BOOST_REQUIRE_MESSAGE(peer.heartbeat_.queued_ == expected.queued_, "seed " << seed);
        }
        BOOST_TEST(reports > 0U);
    }
}

BOOST_AUTO_TEST_CASE(report_of_new_incarnation_or_unknown_base_needs_full_report)
{
    Fleet fleet = emptyFleet();
    LoadReport report;
    report.number_ = 9;
    report.base_ = 8;
    BOOST_TEST((receive(fleet, 1, report) == LoadReportResult::NeedsFull));
    Heartbeat full;
    full.number_ = 8;
    receive(fleet, 2, full);
    BOOST_TEST((receive(fleet, 1, report) == LoadReportResult::Ignored));
    BOOST_TEST((receive(fleet, 3, report) == LoadReportResult::NeedsFull));
    BOOST_TEST((receive(fleet, 2, report) == LoadReportResult::Applied));
    BOOST_TEST((receive(fleet, 2, report) == LoadReportResult::Ignored));
}

BOOST_AUTO_TEST_CASE(leaving_in_load_report_is_final)
{
    Fleet fleet = emptyFleet();
    Heartbeat full;
    full.number_ = 1;
    receive(fleet, 1, full);
    LoadReport report;
    report.number_ = 2;
    report.base_ = 1;
    report.leaving_ = true;
    receive(fleet, 1, report);
    report.number_ = 3;
    report.leaving_ = false;
    receive(fleet, 1, report);
    BOOST_TEST(fleet.peers_.at({"target"}).heartbeat_.leaving_);
}

BOOST_AUTO_TEST_CASE(report_period_keeps_received_bytes_within_budget)
{
    const LoadReportPolicy policy;
    BOOST_TEST((reportPeriod(4, policy) == policy.minPeriod_));
    for (std::size_t senders = 1; senders <= 4000; senders *= 2) {
        const double seconds = std::chrono::duration<double>(reportPeriod(senders, policy)).count();
        const double bytes = static_cast<double>(senders * policy.maxReportBytes_) / seconds;
        BOOST_TEST(bytes <= static_cast<double>(policy.maxReceivedBytesPerSecond_) * 1.001);
    }
    BOOST_TEST((silenceTimeoutFor(std::chrono::seconds(3), policy, {}) == std::chrono::seconds(9)));
    BOOST_TEST((silenceTimeoutFor(policy.minPeriod_, policy, {}) == std::chrono::seconds(2)));
}

namespace {

ListedVm vmOf(const std::string &name, Role role, const std::string &dataCentre)
{
    return {{name}, {"r"}, {dataCentre}, role, "tcp://" + name, {}, false};
}

Fleet fleetAt(const std::string &self, const std::vector<ListedVm> &vms)
{
    Fleet fleet;
    fleet.self_ = {self};
    for (const ListedVm &vm : vms) {
        if (vm.vm_.text_ == self)
            fleet.dataCentre_ = vm.dataCentre_;
    }
    applyVmList(fleet, {vms}, start);
    for (auto &[vm, peer] : fleet.peers_)
        peer.lastContactAt_ = start;
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_CASE(every_entry_receives_one_summary_of_each_other_data_centre)
{
    std::vector<ListedVm> vms;
    vms.reserve(40);
    for (int number = 0; number < 40; ++number)
        vms.push_back(
            vmOf(fmt::format("e{}", number), Role::Entry, fmt::format("d{}", number % 5)));
    std::map<std::string, std::multiset<std::string>> received;
    std::size_t maxAddresses = 0;
    for (const ListedVm &vm : vms) {
        const std::vector<std::string> to = summaryAddresses(fleetAt(vm.vm_.text_, vms), start);
        maxAddresses = std::max(maxAddresses, to.size());
        for (const std::string &address : to)
            received[address].insert(vm.dataCentre_.text_);
    }
    BOOST_TEST(received.size() == 40U);
    for (const auto &[address, from] : received) {
        BOOST_TEST(from.size() == 4U);
        BOOST_TEST(std::set<std::string>(from.begin(), from.end()).size() == 4U);
    }
    BOOST_TEST(maxAddresses <= 16U);
}

BOOST_AUTO_TEST_CASE(summary_counts_live_targets_and_lists_those_with_most_free_slots)
{
    std::vector<ListedVm> vms = {vmOf("self", Role::Entry, "d0")};
    for (int number = 0; number < 5; ++number)
        vms.push_back(vmOf(fmt::format("t{}", number), Role::Target, "d0"));
    Fleet fleet = fleetAt("self", vms);
    std::uint32_t running = 0;
    for (auto &[vm, peer] : fleet.peers_) {
        peer.linkUp_ = true;
        peer.heartbeat_.group_ = {"advice"};
        peer.heartbeat_.batchSlots_ = 4;
        peer.heartbeat_.running_ = running++;
    }
    fleet.peers_.at({"t0"}).heartbeat_.leaving_ = true;
    const DataCentreSummary summary = makeSummary(fleet, {7}, {}, start);
    BOOST_REQUIRE(summary.groups_.size() == 1U);
    const GroupSummary &group = summary.groups_[0];
    BOOST_TEST(group.targets_ == 4U);
    BOOST_TEST(group.batchSlots_ == 16U);
    BOOST_TEST(group.running_ == 10U);
    BOOST_REQUIRE(group.spares_.size() == 2U);
    BOOST_TEST(group.spares_[0].vm_.text_ == "t1");
    BOOST_TEST(group.spares_[0].freeSlots_ == 3U);
}
