#include "Caller/entryrouting.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

TargetView viewOf(const Entry &entry, const Peer &peer)
{
    TargetView view;
    view.vm_ = peer.listed_.vm_;
    view.sameDataCentre_ = peer.listed_.dataCentre_ == entry.fleet_.dataCentre_;
    view.sameRegion_ = peer.listed_.region_ == entry.fleet_.region_;
    view.queued_ = peer.heartbeat_.queued_;
    view.running_ = peer.heartbeat_.running_;
    view.batchSlots_ = std::max(1U, peer.heartbeat_.batchSlots_);
    view.adapterSlots_ = std::max(1U, peer.heartbeat_.adapterSlots_);
    view.residents_ = peer.heartbeat_.residents_;
    return view;
}

/// The peer while it takes new work of the group.
const Peer *workerOf(const Entry &entry, const TargetGroup &group, const VmName &vm, Time now)
{
    const auto found = entry.fleet_.peers_.find(vm);
    if (found == entry.fleet_.peers_.end())
        return nullptr;
    const Peer &peer = found->second;
    const bool fits = peer.heartbeat_.role_ == Role::Target && peer.heartbeat_.group_ == group;
    return fits && acceptsWork(entry.fleet_, peer, now) ? &peer : nullptr;
}

void dropIdle(Entry &entry, const TargetGroup &group, RoutingTable &table, Time now)
{
    std::vector<VmName> idle;
    for (const auto &[vm, number] : table.numbers_) {
        if (workerOf(entry, group, vm, now) == nullptr)
            idle.push_back(vm);
    }
    for (const VmName &vm : idle)
        removeTarget(table, vm);
}

RoutingTable &tableOf(Entry &entry, const TargetGroup &group)
{
    RoutingTable &table = entry.routing_[group];
    table.policy_ = entry.policy_.routing_;
    return table;
}

} // namespace

void updateRouting(Entry &entry, const VmName &vm, Time now)
{
    for (auto &[group, table] : entry.routing_) {
        if (workerOf(entry, group, vm, now) == nullptr)
            removeTarget(table, vm);
    }
    const auto found = entry.fleet_.peers_.find(vm);
    if (found == entry.fleet_.peers_.end())
        return;
    const TargetGroup &group = found->second.heartbeat_.group_;
    if (const Peer *peer = workerOf(entry, group, vm, now))
        addOrUpdateTarget(tableOf(entry, group), viewOf(entry, *peer));
}

void syncRouting(Entry &entry, Time now)
{
    for (auto &[group, table] : entry.routing_)
        dropIdle(entry, group, table, now);
    for (const auto &[vm, peer] : entry.fleet_.peers_) {
        const TargetGroup &group = peer.heartbeat_.group_;
        if (workerOf(entry, group, vm, now) == nullptr)
            continue;
        RoutingTable &table = tableOf(entry, group);
        if (!table.numbers_.contains(vm))
            addOrUpdateTarget(table, viewOf(entry, peer));
    }
}

std::optional<RoutingDecision> routeRequest(Entry &entry, const PendingRequest &request, Time now)
{
    const auto found = entry.routing_.find(request.route_.targets_);
    if (found == entry.routing_.end())
        return std::nullopt;
    const RouteRequirements needs{request.route_.adapter_, request.call_.priority_, request.tried_};
    while (true) {
        std::optional<RoutingDecision> decision = chooseTarget(found->second, needs);
        if (!decision || workerOf(entry, found->first, decision->vm_, now) != nullptr)
            return decision;
        removeTarget(found->second, decision->vm_);
    }
}

} // namespace eelgrasscove
