#include "DataCentre/vmnews.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

/// Time that a started process waits for the list before it acts as if it were alone.
constexpr Duration listWait = std::chrono::milliseconds(500);

/// Each teller repeats its drain marks so often.
constexpr Duration drainsRepeat = std::chrono::seconds(30);

bool isNews(const Fleet &fleet, const ListedVm &vm)
{
    if (vm.vm_ == fleet.self_)
        return false;
    const auto found = fleet.peers_.find(vm.vm_);
    if (found == fleet.peers_.end() || !found->second.onList_)
        return true;
    return vm.leaving_ && !found->second.listed_.leaving_;
}

VmNews drainsOf(Fleet &fleet, Time now)
{
    fleet.drainsToldAt_ = now;
    VmNews news;
    news.tellsDrained_ = true;
    news.drained_ = fleet.ownDrains_;
    return news;
}

void takeRow(Fleet &fleet, const ListedVm &vm, Time now)
{
    if (vm.leaving_)
        fleet.toldLeavingUntil_[vm.vm_] = now + fleet.policy_.toldLeavingFor_;
    if (vm.vm_ == fleet.self_) {
        fleet.selfListedLeaving_ = fleet.selfListedLeaving_ || vm.leaving_;
        return;
    }
    const bool known = fleet.peers_.contains(vm.vm_);
    Peer &peer = fleet.peers_[vm.vm_];
    peer.onList_ = true;
    if (!known) {
        peer.listed_ = vm;
        peer.linkUp_ = fleet.linksUp_.contains(vm.address_);
    }
    peer.listed_.leaving_ = peer.listed_.leaving_ || vm.leaving_;
}

void takeDrains(Fleet &fleet, const VmName &from, const std::vector<VmName> &drained, Time now)
{
    fleet.toldDrains_[from] = {drained, now};
    for (const VmName &vm : drained) {
        const auto found = fleet.peers_.find(vm);
        if (found != fleet.peers_.end())
            found->second.listed_.leaving_ = true;
    }
}

} // namespace

Duration listPeriodFor(const Fleet &fleet, const VmList &list, const RuleSpreadPolicy &policy)
{
    if (!isLarge(fleet))
        return Duration(0);
    return vmListPeriod(list.vms_.size(), policy, Duration(0));
}

bool mayStartSpread(const Fleet &fleet, Time createdAt, Time now)
{
    return fleet.listRead_ || now - createdAt >= listWait;
}

std::optional<VmNews> newsOf(const Fleet &fleet, const VmList &list)
{
    if (!fleet.listRead_ || !isLarge(fleet))
        return std::nullopt;
    VmNews news;
    for (const ListedVm &vm : list.vms_) {
        if (isNews(fleet, vm))
            news.vms_.push_back(vm);
    }
    if (news.vms_.empty())
        return std::nullopt;
    std::stable_partition(news.vms_.begin(), news.vms_.end(),
                          [](const ListedVm &vm) { return vm.leaving_; });
    if (news.vms_.size() > mostNewsRows)
        news.vms_.resize(mostNewsRows);
    return news;
}

std::optional<VmNews> drainNews(Fleet &fleet, const VmList &list, Time now)
{
    std::vector<VmName> drains;
    for (const ListedVm &vm : list.vms_) {
        if (vm.drained_)
            drains.push_back(vm.vm_);
    }
    if (drains == fleet.ownDrains_)
        return std::nullopt;
    fleet.ownDrains_ = std::move(drains);
    return drainsOf(fleet, now);
}

std::optional<VmNews> drainNewsAgain(Fleet &fleet, Time now)
{
    if (fleet.ownDrains_.empty() || now - fleet.drainsToldAt_ < drainsRepeat)
        return std::nullopt;
    return drainsOf(fleet, now);
}

void forgetOwnDrains(Fleet &fleet)
{
    fleet.ownDrains_.clear();
}

void takeVmNews(Fleet &fleet, const Envelope &envelope, const VmNews &news, Time now)
{
    for (const ListedVm &vm : news.vms_)
        takeRow(fleet, vm, now);
    if (news.tellsDrained_)
        takeDrains(fleet, envelope.from_, news.drained_, now);
}

std::vector<std::string> newsAddresses(const Fleet &fleet)
{
    std::vector<std::string> addresses;
    for (const auto &[vm, peer] : fleet.peers_) {
        if (peer.listed_.dataCentre_ == fleet.dataCentre_ && !peer.listed_.address_.empty())
            addresses.push_back(peer.listed_.address_);
    }
    return addresses;
}

} // namespace eelgrasscove
