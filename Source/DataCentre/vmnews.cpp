#include "DataCentre/vmnews.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

/// Maximum wait of a started process for the list; after it, the process acts without known peers.
constexpr Duration maxListWait = std::chrono::milliseconds(500);

/// Period in which a process that watches the drain marks sends them again.
constexpr Duration drainRepeatPeriod = std::chrono::seconds(30);

bool isNewOrLeaving(const Fleet &fleet, const ListedVm &vm)
{
    if (vm.vm_ == fleet.self_)
        return false;
    const auto found = fleet.peers_.find(vm.vm_);
    if (found == fleet.peers_.end() || !found->second.isListed_)
        return true;
    return vm.leaving_ && !found->second.listed_.leaving_;
}

VmNews makeOwnDrainUpdate(Fleet &fleet, Time now)
{
    fleet.drainsSentAt_ = now;
    VmNews update;
    update.tellsDrained_ = true;
    update.drained_ = fleet.ownDrainedVms_;
    return update;
}

void applyRow(Fleet &fleet, const ListedVm &vm, Time now)
{
    if (vm.leaving_)
        fleet.reportedLeavingUntil_[vm.vm_] = now + fleet.policy_.reportedLeavingPeriod_;
    if (vm.vm_ == fleet.self_) {
        fleet.isSelfListedLeaving_ = fleet.isSelfListedLeaving_ || vm.leaving_;
        return;
    }
    const bool known = fleet.peers_.contains(vm.vm_);
    Peer &peer = fleet.peers_[vm.vm_];
    peer.isListed_ = true;
    if (!known) {
        peer.listed_ = vm;
        peer.linkUp_ = fleet.linkedAddresses_.contains(vm.address_);
    }
    peer.listed_.leaving_ = peer.listed_.leaving_ || vm.leaving_;
}

void applyReportedDrains(Fleet &fleet, const VmName &from, const std::vector<VmName> &drained,
                         Time now)
{
    fleet.reportedDrains_[from] = {drained, now};
    for (const VmName &vm : drained) {
        const auto found = fleet.peers_.find(vm);
        if (found != fleet.peers_.end())
            found->second.listed_.leaving_ = true;
    }
}

} // namespace

Duration listPeriodFor(const Fleet &fleet, const VmList &list, const RuleDistributionPolicy &policy)
{
    if (!isLarge(fleet))
        return Duration(0);
    return vmListReadPeriod(list.vms_.size(), policy, Duration(0));
}

bool mayStartRuleDistribution(const Fleet &fleet, Time createdAt, Time now)
{
    return fleet.hasReadList_ || now - createdAt >= maxListWait;
}

std::optional<VmNews> makeVmUpdate(const Fleet &fleet, const VmList &list)
{
    if (!fleet.hasReadList_ || !isLarge(fleet))
        return std::nullopt;
    VmNews update;
    for (const ListedVm &vm : list.vms_) {
        if (isNewOrLeaving(fleet, vm))
            update.vms_.push_back(vm);
    }
    if (update.vms_.empty())
        return std::nullopt;
    std::stable_partition(update.vms_.begin(), update.vms_.end(),
                          [](const ListedVm &vm) { return vm.leaving_; });
    if (update.vms_.size() > maxUpdateRows)
        update.vms_.resize(maxUpdateRows);
    return update;
}

std::optional<VmNews> updateOwnDrains(Fleet &fleet, const VmList &list, Time now)
{
    std::vector<VmName> drains;
    for (const ListedVm &vm : list.vms_) {
        if (vm.drained_)
            drains.push_back(vm.vm_);
    }
    if (drains == fleet.ownDrainedVms_)
        return std::nullopt;
    fleet.ownDrainedVms_ = std::move(drains);
    return makeOwnDrainUpdate(fleet, now);
}

std::optional<VmNews> repeatDrainUpdate(Fleet &fleet, Time now)
{
    if (fleet.ownDrainedVms_.empty() || now - fleet.drainsSentAt_ < drainRepeatPeriod)
        return std::nullopt;
    return makeOwnDrainUpdate(fleet, now);
}

void clearOwnDrains(Fleet &fleet)
{
    fleet.ownDrainedVms_.clear();
}

void applyVmUpdate(Fleet &fleet, const Envelope &envelope, const VmNews &update, Time now)
{
    for (const ListedVm &vm : update.vms_)
        applyRow(fleet, vm, now);
    if (update.tellsDrained_)
        applyReportedDrains(fleet, envelope.from_, update.drained_, now);
}

std::vector<std::string> vmUpdateAddresses(const Fleet &fleet)
{
    std::vector<std::string> addresses;
    for (const auto &[vm, peer] : fleet.peers_) {
        if (peer.listed_.dataCentre_ == fleet.dataCentre_ && !peer.listed_.address_.empty())
            addresses.push_back(peer.listed_.address_);
    }
    return addresses;
}

} // namespace eelgrasscove
