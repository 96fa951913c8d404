#define BOOST_TEST_MODULE Fleet
#include "DataCentre/fleet.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace eelgrasscove;

namespace {

constexpr Duration second = std::chrono::seconds(1);
const Time start = Time(std::chrono::hours(1));

ListedVm listedVm(const std::string &name, Role role, const std::string &dataCentre)
{
    ListedVm vm;
    vm.vm_ = {name};
    vm.region_ = {"region-of-" + dataCentre};
    vm.dataCentre_ = {dataCentre};
    vm.role_ = role;
    vm.address_ = "tcp://" + name;
    vm.group_ = {role == Role::Target ? "advice" : ""};
    return vm;
}

Fleet fleetOf(const std::vector<ListedVm> &vms)
{
    Fleet fleet;
    fleet.self_ = {"entry-self"};
    fleet.region_ = {"region-of-utrecht"};
    fleet.dataCentre_ = {"utrecht"};
    applyVmList(fleet, {vms}, start);
    return fleet;
}

void receiveHeartbeat(Fleet &fleet, const std::string &name, std::uint64_t incarnation,
                      Heartbeat heartbeat, Time now)
{
    Envelope envelope;
    envelope.from_ = {name};
    envelope.incarnation_ = {incarnation};
    envelope.replyAddress_ = "tcp://" + name;
    heartbeat.dataCentre_ = {"utrecht"};
    heartbeat.role_ = Role::Target;
    heartbeat.group_ = {"advice"};
    applyHeartbeat(fleet, envelope, heartbeat, now);
}

bool acceptsNewWork(const Fleet &fleet, const std::string &name, Time now)
{
    return acceptsWork(fleet, fleet.peers_.at({name}), now);
}

/// Returns a fleet with one listed target whose link is up and whose heartbeat arrived at the
/// start.
Fleet fleetWithOneTarget()
{
    Fleet fleet = fleetOf({listedVm("target", Role::Target, "utrecht")});
    applyLinkChange(fleet, "tcp://target", true);
    receiveHeartbeat(fleet, "target", 1, {}, start);
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_CASE(listed_linked_target_with_heartbeat_accepts_work)
{
    const Fleet fleet = fleetWithOneTarget();
    BOOST_TEST(acceptsNewWork(fleet, "target", start));
}

BOOST_AUTO_TEST_CASE(target_without_heartbeat_accepts_no_work)
{
    Fleet fleet = fleetOf({listedVm("target", Role::Target, "utrecht")});
    applyLinkChange(fleet, "tcp://target", true);
    BOOST_TEST(!acceptsNewWork(fleet, "target", start));
}

BOOST_AUTO_TEST_CASE(entry_accepts_no_work)
{
    Fleet fleet = fleetOf({listedVm("entry", Role::Entry, "utrecht")});
    applyLinkChange(fleet, "tcp://entry", true);
    Envelope envelope;
    envelope.from_ = {"entry"};
    envelope.replyAddress_ = "tcp://entry";
    applyHeartbeat(fleet, envelope, {}, start);
    BOOST_TEST(!acceptsNewWork(fleet, "entry", start));
}

BOOST_AUTO_TEST_CASE(announced_leaving_stops_new_work_for_that_incarnation)
{
    Fleet fleet = fleetWithOneTarget();
    Heartbeat leavingHeartbeat;
    leavingHeartbeat.leaving_ = true;
    receiveHeartbeat(fleet, "target", 1, leavingHeartbeat, start);
    BOOST_TEST(!acceptsNewWork(fleet, "target", start));
    // A heartbeat that was sent before the announcement and arrives after it.
    receiveHeartbeat(fleet, "target", 1, {}, start);
    BOOST_TEST(!acceptsNewWork(fleet, "target", start));
}

BOOST_AUTO_TEST_CASE(restart_after_leaving_accepts_work_again)
{
    Fleet fleet = fleetWithOneTarget();
    Heartbeat leavingHeartbeat;
    leavingHeartbeat.leaving_ = true;
    receiveHeartbeat(fleet, "target", 1, leavingHeartbeat, start);
    receiveHeartbeat(fleet, "target", 2, {}, start + second);
    BOOST_TEST(acceptsNewWork(fleet, "target", start + second));
}

BOOST_AUTO_TEST_CASE(listed_leaving_stops_new_work_despite_newer_incarnation)
{
    Fleet fleet = fleetWithOneTarget();
    ListedVm vm = listedVm("target", Role::Target, "utrecht");
    vm.leaving_ = true;
    applyVmList(fleet, {{vm}}, start);
    BOOST_TEST(!acceptsNewWork(fleet, "target", start));
    receiveHeartbeat(fleet, "target", 2, {}, start);
    BOOST_TEST(!acceptsNewWork(fleet, "target", start));
    vm.leaving_ = false;
    applyVmList(fleet, {{vm}}, start);
    BOOST_TEST(acceptsNewWork(fleet, "target", start));
}

BOOST_AUTO_TEST_CASE(silence_timeout_stops_new_work_until_next_heartbeat)
{
    Fleet fleet = fleetWithOneTarget();
    const Time atLimit = start + fleet.policy_.silenceTimeout_;
    BOOST_TEST(acceptsNewWork(fleet, "target", atLimit));
    BOOST_TEST(!acceptsNewWork(fleet, "target", atLimit + Duration(1)));
    receiveHeartbeat(fleet, "target", 1, {}, atLimit + second);
    BOOST_TEST(acceptsNewWork(fleet, "target", atLimit + second));
}

BOOST_AUTO_TEST_CASE(link_down_or_engine_down_stops_new_work)
{
    Fleet fleet = fleetWithOneTarget();
    applyLinkChange(fleet, "tcp://target", false);
    BOOST_TEST(!acceptsNewWork(fleet, "target", start));
    applyLinkChange(fleet, "tcp://target", true);
    Heartbeat engineDown;
    engineDown.engineUp_ = false;
    receiveHeartbeat(fleet, "target", 1, engineDown, start);
    BOOST_TEST(!acceptsNewWork(fleet, "target", start));
}

BOOST_AUTO_TEST_CASE(lower_incarnation_is_ignored)
{
    Fleet fleet = fleetWithOneTarget();
    receiveHeartbeat(fleet, "target", 5, {}, start);
    Heartbeat delayed;
    delayed.leaving_ = true;
    delayed.queued_ = 9;
    receiveHeartbeat(fleet, "target", 4, delayed, start + second);
    const Peer &peer = fleet.peers_.at({"target"});
    BOOST_TEST(peer.incarnation_.value_ == 5);
    BOOST_TEST(peer.heartbeat_.queued_ == 0);
    BOOST_TEST((peer.lastContactAt_ == start));
    BOOST_TEST(acceptsNewWork(fleet, "target", start));
}

BOOST_AUTO_TEST_CASE(higher_incarnation_replaces_heartbeat)
{
    Fleet fleet = fleetWithOneTarget();
    Heartbeat fullHeartbeat;
    fullHeartbeat.residents_.push_back({{{"oak"}, {"3"}}, 2});
    receiveHeartbeat(fleet, "target", 1, fullHeartbeat, start);
    receiveHeartbeat(fleet, "target", 2, {}, start);
    BOOST_TEST(fleet.peers_.at({"target"}).heartbeat_.residents_.empty());
}

BOOST_AUTO_TEST_CASE(unlisted_peer_is_added_by_its_heartbeat)
{
    Fleet fleet = fleetOf({});
    applyLinkChange(fleet, "tcp://early", true);
    receiveHeartbeat(fleet, "early", 1, {}, start);
    BOOST_TEST(acceptsNewWork(fleet, "early", start));
    applyVmList(fleet, {}, start + second);
    BOOST_TEST(acceptsNewWork(fleet, "early", start + second));
    const Peer &peer = fleet.peers_.at({"early"});
    BOOST_TEST(!peer.isListed_);
    BOOST_TEST(peer.listed_.region_.text_ == "region-of-utrecht");
}

BOOST_AUTO_TEST_CASE(heartbeat_address_overrides_lagging_list_until_silence_timeout)
{
    Fleet fleet = fleetWithOneTarget();
    ListedVm stale = listedVm("target", Role::Target, "utrecht");
    stale.address_ = "tcp://former";
    applyVmList(fleet, {{stale}}, start);
    BOOST_TEST(fleet.peers_.at({"target"}).listed_.address_ == "tcp://target");
    applyVmList(fleet, {{stale}}, start + 3 * second);
    BOOST_TEST(fleet.peers_.at({"target"}).listed_.address_ == "tcp://former");
    BOOST_TEST(!fleet.peers_.at({"target"}).linkUp_);
}

BOOST_AUTO_TEST_CASE(unlisted_peer_is_removed_after_timeout)
{
    Fleet fleet = fleetWithOneTarget();
    applyVmList(fleet, {}, start + fleet.policy_.unlistedPeerTimeout_);
    BOOST_TEST(fleet.peers_.size() == 1);
    applyVmList(fleet, {}, start + fleet.policy_.unlistedPeerTimeout_ + Duration(1));
    BOOST_TEST(fleet.peers_.empty());
}

BOOST_AUTO_TEST_CASE(own_vm_is_no_peer_and_its_listed_leaving_is_recorded)
{
    ListedVm self = listedVm("entry-self", Role::Entry, "utrecht");
    self.leaving_ = true;
    Fleet fleet = fleetOf({self});
    BOOST_TEST(fleet.isSelfListedLeaving_);
    receiveHeartbeat(fleet, "entry-self", 1, {}, start);
    BOOST_TEST(fleet.peers_.empty());
}

BOOST_AUTO_TEST_CASE(small_fleet_sends_heartbeats_to_all_peers)
{
    std::vector<ListedVm> vms;
    for (int number = 0; number < 20; ++number) {
        vms.push_back(listedVm(fmt::format("home{}", number), Role::Target, "utrecht"));
        vms.push_back(listedVm(fmt::format("target{}", number), Role::Target, "leiden"));
        vms.push_back(listedVm(fmt::format("entry{}", number), Role::Entry, "leiden"));
    }
    Fleet fleet = fleetOf(vms);
    fleet.policy_.maxFullMeshPeers_ = vms.size();
    std::vector<std::string> addresses = heartbeatAddresses(fleet);
    std::vector<std::string> all;
    all.reserve(vms.size());
    for (const ListedVm &vm : vms)
        all.push_back(vm.address_);
    std::sort(addresses.begin(), addresses.end());
    std::sort(all.begin(), all.end());
    BOOST_TEST(addresses == all, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(large_fleet_sends_heartbeats_to_few_local_peers)
{
    std::vector<ListedVm> vms;
    vms.reserve(600);
    for (int number = 0; number < 300; ++number) {
        vms.push_back(listedVm(fmt::format("home{}", number), Role::Target, "utrecht"));
        vms.push_back(listedVm(fmt::format("entry{}", number), Role::Entry, "leiden"));
    }
    const Fleet fleet = fleetOf(vms);
    const std::vector<std::string> addresses = heartbeatAddresses(fleet);
    BOOST_TEST(addresses.size() == fleet.policy_.localHeartbeatPeers_);
    for (const std::string &address : addresses)
        BOOST_TEST(address.starts_with("tcp://home"));
}
