#include "DataCentre/fleet.h"

#include "DataCentre/rendezvous.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

void setAddress(const Fleet &fleet, Peer &peer, const std::string &address)
{
    peer.listed_.address_ = address;
    peer.linkUp_ = fleet.linksUp_.contains(address);
}

void forgetOldNews(Fleet &fleet, Time now)
{
    std::erase_if(fleet.toldLeavingUntil_, [&](const auto &told) { return now > told.second; });
    std::erase_if(fleet.toldDrains_, [&](const auto &told) {
        return now - told.second.at_ > fleet.policy_.toldDrainsFor_;
    });
}

/// Whether others told lately that the VM leaves.
bool toldLeaving(const Fleet &fleet, const VmName &vm)
{
    if (fleet.toldLeavingUntil_.contains(vm))
        return true;
    return std::any_of(fleet.toldDrains_.begin(), fleet.toldDrains_.end(), [&](const auto &told) {
        const std::vector<VmName> &drained = told.second.vms_;
        return std::find(drained.begin(), drained.end(), vm) != drained.end();
    });
}

void takeListedVm(Fleet &fleet, const ListedVm &vm, Time now)
{
    Peer &peer = fleet.peers_[vm.vm_];
    peer.onList_ = true;
    peer.listed_.region_ = vm.region_;
    const bool leaving = vm.leaving_ || toldLeaving(fleet, vm.vm_);
    peer.listed_.leaving_ = leaving;
    if (knownLive(fleet, peer, now))
        return;
    peer.listed_ = vm;
    peer.listed_.leaving_ = leaving;
    setAddress(fleet, peer, vm.address_);
}

void forgetSilentPeers(Fleet &fleet, Time now)
{
    std::erase_if(fleet.peers_, [&](const auto &entry) {
        const Peer &peer = entry.second;
        if (peer.onList_)
            return false;
        return !peer.lastHeard_ || now - *peer.lastHeard_ > fleet.policy_.forgetAfter_;
    });
}

/// The region of a data centre as far as the list has told it.
RegionName regionOf(const Fleet &fleet, const DataCentreName &dataCentre)
{
    if (dataCentre == fleet.dataCentre_)
        return fleet.region_;
    for (const auto &[vm, peer] : fleet.peers_) {
        if (peer.listed_.dataCentre_ == dataCentre && !peer.listed_.region_.empty())
            return peer.listed_.region_;
    }
    return {};
}

void takeOwnWords(Fleet &fleet, Peer &peer, const Envelope &envelope, const Heartbeat &heartbeat)
{
    ListedVm &listed = peer.listed_;
    if (listed.region_.empty())
        listed.region_ = regionOf(fleet, heartbeat.dataCentre_);
    listed.vm_ = envelope.from_;
    listed.dataCentre_ = heartbeat.dataCentre_;
    listed.role_ = heartbeat.role_;
    listed.group_ = heartbeat.group_;
    setAddress(fleet, peer, envelope.replyAddress_);
}

bool leaving(const Peer &peer)
{
    return peer.listed_.leaving_ || peer.heartbeat_.leaving_;
}

std::vector<std::string> fewAtHome(const Fleet &fleet)
{
    std::vector<VmName> home;
    for (const auto &[vm, peer] : fleet.peers_) {
        const bool getsReports =
            fleet.selfRole_ == Role::Target && peer.listed_.role_ == Role::Entry;
        if (peer.listed_.dataCentre_ == fleet.dataCentre_ && !leaving(peer) && !getsReports)
            home.push_back(vm);
    }
    std::vector<std::string> addresses;
    for (const VmName &vm :
         rendezvousRank(fleet.self_.text_, std::move(home), fleet.policy_.heartbeatsHome_))
        addresses.push_back(fleet.peers_.at(vm).listed_.address_);
    return addresses;
}

} // namespace

void takeVmList(Fleet &fleet, const VmList &list, Time now)
{
    for (auto &[vm, peer] : fleet.peers_)
        peer.onList_ = false;
    forgetOldNews(fleet, now);
    fleet.listRead_ = true;
    fleet.selfListedLeaving_ = toldLeaving(fleet, fleet.self_);
    for (const ListedVm &vm : list.vms_) {
        if (vm.vm_ == fleet.self_) {
            fleet.selfListedLeaving_ = fleet.selfListedLeaving_ || vm.leaving_;
        } else {
            takeListedVm(fleet, vm, now);
        }
    }
    forgetSilentPeers(fleet, now);
}

void takeHeartbeat(Fleet &fleet, const Envelope &envelope, const Heartbeat &heartbeat, Time now)
{
    if (envelope.from_ == fleet.self_)
        return;
    Peer &peer = fleet.peers_[envelope.from_];
    if (envelope.incarnation_ < peer.incarnation_)
        return;
    const bool sameRun = envelope.incarnation_ == peer.incarnation_;
    const bool saidLeaving = sameRun && peer.heartbeat_.leaving_;
    const bool keepsBase = sameRun && heartbeat.number_ == 0;
    const std::uint64_t base = peer.heartbeat_.number_;
    peer.incarnation_ = envelope.incarnation_;
    peer.version_ = envelope.version_;
    peer.lastHeard_ = now;
    peer.heartbeat_ = heartbeat;
    peer.heartbeat_.leaving_ = heartbeat.leaving_ || saidLeaving;
    if (keepsBase) {
        peer.heartbeat_.number_ = base;
    } else {
        peer.fullResidents_ = heartbeat.residents_;
        peer.reportNumber_ = heartbeat.number_;
    }
    takeOwnWords(fleet, peer, envelope, heartbeat);
}

bool isLarge(const Fleet &fleet)
{
    return fleet.peers_.size() > fleet.policy_.fullMeshUpTo_;
}

Duration silentAfter(const Fleet &fleet)
{
    return std::max(fleet.policy_.silentAfter_, fleet.reportSilence_);
}

void noteVersion(Fleet &fleet, const Envelope &envelope)
{
    const auto found = fleet.peers_.find(envelope.from_);
    if (found != fleet.peers_.end() && envelope.incarnation_ >= found->second.incarnation_)
        found->second.version_ = envelope.version_;
}

void takeLinkChange(Fleet &fleet, const std::string &address, bool up)
{
    if (up) {
        fleet.linksUp_.insert(address);
    } else {
        fleet.linksUp_.erase(address);
    }
    for (auto &[vm, peer] : fleet.peers_) {
        if (peer.listed_.address_ != address)
            continue;
        peer.linkUp_ = up;
        // Another build may run there when the link comes back.
        if (!up)
            peer.version_ = 0;
    }
}

bool heardLately(const Fleet &fleet, const Peer &peer, Time now)
{
    return peer.lastHeard_ && now - *peer.lastHeard_ <= silentAfter(fleet);
}

bool knownLive(const Fleet &fleet, const Peer &peer, Time now)
{
    return heardLately(fleet, peer, now) || (peer.spareUntil_ && now <= *peer.spareUntil_);
}

bool acceptsWork(const Fleet &fleet, const Peer &peer, Time now)
{
    if (peer.listed_.role_ != Role::Target || !peer.linkUp_)
        return false;
    if (leaving(peer) || !peer.heartbeat_.engineUp_)
        return false;
    return knownLive(fleet, peer, now);
}

std::vector<std::string> heartbeatAddresses(const Fleet &fleet)
{
    if (isLarge(fleet))
        return fewAtHome(fleet);
    std::vector<std::string> addresses;
    for (const auto &[vm, peer] : fleet.peers_) {
        if (!peer.listed_.address_.empty())
            addresses.push_back(peer.listed_.address_);
    }
    return addresses;
}

} // namespace eelgrasscove
