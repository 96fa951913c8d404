#include "DataCentre/fleet.h"

#include "DataCentre/rendezvous.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

void setAddress(const Fleet &fleet, Peer &peer, const std::string &address)
{
    peer.listed_.address_ = address;
    peer.linkUp_ = fleet.linkedAddresses_.contains(address);
}

void removeExpiredReports(Fleet &fleet, Time now)
{
    std::erase_if(fleet.reportedLeavingUntil_,
                  [&](const auto &reported) { return now > reported.second; });
    std::erase_if(fleet.reportedDrains_, [&](const auto &reported) {
        return now - reported.second.at_ > fleet.policy_.reportedDrainsPeriod_;
    });
}

/// Returns whether an unexpired report of another process shows the VM as leaving or drained.
bool isReportedLeaving(const Fleet &fleet, const VmName &vm)
{
    if (fleet.reportedLeavingUntil_.contains(vm))
        return true;
    return std::any_of(fleet.reportedDrains_.begin(), fleet.reportedDrains_.end(),
                       [&](const auto &reported) {
                           const std::vector<VmName> &drained = reported.second.vms_;
                           return std::find(drained.begin(), drained.end(), vm) != drained.end();
                       });
}

void applyListedVm(Fleet &fleet, const ListedVm &vm, Time now)
{
    Peer &peer = fleet.peers_[vm.vm_];
    peer.isListed_ = true;
    peer.listed_.region_ = vm.region_;
    const bool leaving = vm.leaving_ || isReportedLeaving(fleet, vm.vm_);
    peer.listed_.leaving_ = leaving;
    if (isKnownLive(fleet, peer, now))
        return;
    peer.listed_ = vm;
    peer.listed_.leaving_ = leaving;
    setAddress(fleet, peer, vm.address_);
}

void removeSilentUnlistedPeers(Fleet &fleet, Time now)
{
    std::erase_if(fleet.peers_, [&](const auto &entry) {
        const Peer &peer = entry.second;
        if (peer.isListed_)
            return false;
        return !peer.lastContactAt_
            || now - *peer.lastContactAt_ > fleet.policy_.unlistedPeerTimeout_;
    });
}

/// Returns the region of a data centre, or an empty name if it is not known from the list yet.
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

void applyPeerIdentity(Fleet &fleet, Peer &peer, const Envelope &envelope,
                       const Heartbeat &heartbeat)
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

bool isLeaving(const Peer &peer)
{
    return peer.listed_.leaving_ || peer.heartbeat_.leaving_;
}

std::vector<std::string> localHeartbeatAddresses(const Fleet &fleet)
{
    std::vector<VmName> localVms;
    for (const auto &[vm, peer] : fleet.peers_) {
        const bool receivesReports =
            fleet.selfRole_ == Role::Target && peer.listed_.role_ == Role::Entry;
        if (peer.listed_.dataCentre_ == fleet.dataCentre_ && !isLeaving(peer) && !receivesReports)
            localVms.push_back(vm);
    }
    std::vector<std::string> addresses;
    for (const VmName &vm :
         rendezvousRank(fleet.self_.text_, std::move(localVms), fleet.policy_.localHeartbeatPeers_))
        addresses.push_back(fleet.peers_.at(vm).listed_.address_);
    return addresses;
}

} // namespace

void applyVmList(Fleet &fleet, const VmList &list, Time now)
{
    for (auto &[vm, peer] : fleet.peers_)
        peer.isListed_ = false;
    removeExpiredReports(fleet, now);
    fleet.hasReadList_ = true;
    fleet.isSelfListedLeaving_ = isReportedLeaving(fleet, fleet.self_);
    for (const ListedVm &vm : list.vms_) {
        if (vm.vm_ == fleet.self_) {
            fleet.isSelfListedLeaving_ = fleet.isSelfListedLeaving_ || vm.leaving_;
        } else {
            applyListedVm(fleet, vm, now);
        }
    }
    removeSilentUnlistedPeers(fleet, now);
}

void applyHeartbeat(Fleet &fleet, const Envelope &envelope, const Heartbeat &heartbeat, Time now)
{
    if (envelope.from_ == fleet.self_)
        return;
    Peer &peer = fleet.peers_[envelope.from_];
    if (envelope.incarnation_ < peer.incarnation_)
        return;
    const bool isSameIncarnation = envelope.incarnation_ == peer.incarnation_;
    const bool hasAnnouncedLeaving = isSameIncarnation && peer.heartbeat_.leaving_;
    const bool keepsReportBase = isSameIncarnation && heartbeat.number_ == 0;
    const std::uint64_t reportBase = peer.heartbeat_.number_;
    peer.incarnation_ = envelope.incarnation_;
    peer.version_ = envelope.version_;
    peer.lastContactAt_ = now;
    peer.heartbeat_ = heartbeat;
    peer.heartbeat_.leaving_ = heartbeat.leaving_ || hasAnnouncedLeaving;
    if (keepsReportBase) {
        peer.heartbeat_.number_ = reportBase;
    } else {
        peer.baseResidents_ = heartbeat.residents_;
        peer.lastReportNumber_ = heartbeat.number_;
    }
    applyPeerIdentity(fleet, peer, envelope, heartbeat);
}

bool isLarge(const Fleet &fleet)
{
    return fleet.peers_.size() > fleet.policy_.maxFullMeshPeers_;
}

Duration silenceTimeout(const Fleet &fleet)
{
    return std::max(fleet.policy_.silenceTimeout_, fleet.reportSilenceTimeout_);
}

void recordMessageVersion(Fleet &fleet, const Envelope &envelope)
{
    const auto found = fleet.peers_.find(envelope.from_);
    if (found != fleet.peers_.end() && envelope.incarnation_ >= found->second.incarnation_)
        found->second.version_ = envelope.version_;
}

void applyLinkChange(Fleet &fleet, const std::string &address, bool up)
{
    if (up) {
        fleet.linkedAddresses_.insert(address);
    } else {
        fleet.linkedAddresses_.erase(address);
    }
    for (auto &[vm, peer] : fleet.peers_) {
        if (peer.listed_.address_ != address)
            continue;
        peer.linkUp_ = up;
        // A different build may be running there when the link is up again.
        if (!up)
            peer.version_ = 0;
    }
}

bool hasRecentContact(const Fleet &fleet, const Peer &peer, Time now)
{
    return peer.lastContactAt_ && now - *peer.lastContactAt_ <= silenceTimeout(fleet);
}

bool isKnownLive(const Fleet &fleet, const Peer &peer, Time now)
{
    return hasRecentContact(fleet, peer, now)
        || (peer.spareExpiresAt_ && now <= *peer.spareExpiresAt_);
}

bool acceptsWork(const Fleet &fleet, const Peer &peer, Time now)
{
    if (peer.listed_.role_ != Role::Target || !peer.linkUp_)
        return false;
    if (isLeaving(peer) || !peer.heartbeat_.engineUp_)
        return false;
    return isKnownLive(fleet, peer, now);
}

std::vector<std::string> heartbeatAddresses(const Fleet &fleet)
{
    if (isLarge(fleet))
        return localHeartbeatAddresses(fleet);
    std::vector<std::string> addresses;
    for (const auto &[vm, peer] : fleet.peers_) {
        if (!peer.listed_.address_.empty())
            addresses.push_back(peer.listed_.address_);
    }
    return addresses;
}

} // namespace eelgrasscove
