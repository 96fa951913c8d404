#include "DataCentre/routing.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <span>

namespace eelgrasscove {

namespace {

/// The hash must be the same in every process, so that all choose the same preferred target.
std::uint64_t adapterHash(const AdapterKey &adapter)
{
    const std::string &version = adapter.version_.text_;
    const std::string &name = adapter.adapter_.text_;
    return XXH64(name.data(), name.size(), XXH64(version.data(), version.size(), 0));
}

/// Returns the estimated time until a batch slot is free for one more request.
Duration expectedWait(const RoutedTarget &target, const RoutingPolicy &policy)
{
    const TargetView &view = target.view_;
    const std::int64_t slots = std::max<std::int64_t>(1, view.batchSlots_);
    const std::int64_t ahead = std::int64_t{view.queued_} + view.running_ + target.sentSinceReport_;
    const std::int64_t excess = std::max<std::int64_t>(0, ahead - slots + 1);
    return policy.serviceTime_ * excess / slots;
}

/// Returns the rings that contain a target; the second is null if there is only one.
std::array<RoutingRing *, 2> ringsOf(TargetRings &rings, const TargetView &view)
{
    if (view.sameDataCentre_)
        return {&rings.region_, &rings.dataCentre_};
    return {view.sameRegion_ ? &rings.region_ : &rings.otherRegions_, nullptr};
}

using RingChange = void (*)(RoutingRing &, const RingPlace &, Duration);

void changeInRings(TargetRings &rings, const RoutedTarget &target, Duration wait,
                   RingChange operation)
{
    for (RoutingRing *ring : ringsOf(rings, target.view_)) {
        if (ring != nullptr)
            operation(*ring, target.place_, wait);
    }
}

void eraseFromRing(RoutingRing &ring, const RingPlace &place, Duration /*wait*/)
{
    erasePlace(ring, place);
}

bool isEmpty(const TargetRings &rings)
{
    return rings.region_.places_.empty() && rings.otherRegions_.places_.empty();
}

/// Returns the wait for an adapter that is being loaded: at least the load time.
Duration loadingWait(const RoutedTarget &target, const RoutingPolicy &policy)
{
    return std::max(expectedWait(target, policy), policy.loadTime_);
}

void changeInAllRings(RoutingTable &table, const RoutedTarget &target, RingChange operation)
{
    const Duration wait = expectedWait(target, table.policy_);
    changeInRings(table.all_, target, wait, operation);
    for (const ResidentAdapter &resident : target.view_.residents_)
        changeInRings(table.holders_[resident.adapter_], target, wait, operation);
    const Duration loaded = loadingWait(target, table.policy_);
    for (const AdapterKey &adapter : target.loading_)
        changeInRings(table.holders_[adapter], target, loaded, operation);
}

void eraseHolderIfEmpty(RoutingTable &table, const AdapterKey &adapter)
{
    const auto found = table.holders_.find(adapter);
    if (found != table.holders_.end() && isEmpty(found->second))
        table.holders_.erase(found);
}

/// Removes a target from all rings.
void erase(RoutingTable &table, const RoutedTarget &target)
{
    changeInAllRings(table, target, eraseFromRing);
    for (const ResidentAdapter &resident : target.view_.residents_)
        eraseHolderIfEmpty(table, resident.adapter_);
    for (const AdapterKey &adapter : target.loading_)
        eraseHolderIfEmpty(table, adapter);
}

bool hasSameResidents(const RoutedTarget &target, const TargetView &view)
{
    const auto sameAdapter = [](const ResidentAdapter &left, const ResidentAdapter &right) {
        return left.adapter_ == right.adapter_;
    };
    const std::vector<ResidentAdapter> &residents = target.view_.residents_;
    return target.loading_.empty()
        && std::equal(residents.begin(), residents.end(), view.residents_.begin(),
                      view.residents_.end(), sameAdapter);
}

bool hasSameLocality(const TargetView &left, const TargetView &right)
{
    return left.sameDataCentre_ == right.sameDataCentre_ && left.sameRegion_ == right.sameRegion_;
}

/// Applies a report with unchanged resident adapters and locality: only the waits change.
void updateWaits(RoutingTable &table, RoutedTarget &target, const TargetView &view)
{
    const Duration before = expectedWait(target, table.policy_);
    target.view_ = view;
    target.sentSinceReport_ = 0;
    if (expectedWait(target, table.policy_) != before)
        changeInAllRings(table, target, setPlaceWait);
}

bool holds(const RoutedTarget &target, const AdapterKey &adapter)
{
    const auto same = [&adapter](const ResidentAdapter &resident) {
        return resident.adapter_ == adapter;
    };
    const std::vector<ResidentAdapter> &residents = target.view_.residents_;
    return std::any_of(residents.begin(), residents.end(), same)
        || std::find(target.loading_.begin(), target.loading_.end(), adapter)
        != target.loading_.end();
}

/// The places of the tried targets. Up to 8 are stored without allocation.
class TriedPlaces
{
public:
    TriedPlaces(const RoutingTable &table, const std::vector<VmName> &tried)
    {
        if (tried.size() > inlinePlaces_.size())
            heapPlaces_.reserve(tried.size());
        for (const VmName &vm : tried) {
            const auto number = table.numbers_.find(vm);
            if (number != table.numbers_.end())
                add(table.targets_.at(number->second).place_);
        }
    }

    std::span<const RingPlace> places() const
    {
        return heapPlaces_.capacity() > 0
            ? std::span<const RingPlace>(heapPlaces_)
            : std::span<const RingPlace>(inlinePlaces_.data(), count_);
    }

private:
    void add(const RingPlace &place)
    {
        if (heapPlaces_.capacity() > 0)
            heapPlaces_.push_back(place);
        else
            inlinePlaces_[count_++] = place;
    }

    std::array<RingPlace, 8> inlinePlaces_;
    std::size_t count_ = 0;
    std::vector<RingPlace> heapPlaces_;
};

struct Candidate
{
    std::uint32_t target_ = 0;
    Duration wait_ = Duration(0);
};

/// The subject of a search and the places excluded from it.
struct Search
{
    std::uint64_t subject_ = 0;
    std::span<const RingPlace> excluded_;
};

std::optional<Duration> leastWait(const TargetRings &rings, const Search &search)
{
    const std::optional<Duration> near = leastWait(rings.region_, search.excluded_);
    const std::optional<Duration> far = leastWait(rings.otherRegions_, search.excluded_);
    if (!near || !far)
        return near ? near : far;
    return std::min(*near, *far);
}

/// Returns the target with the least wait; among equals, one in the nearest ring.
std::optional<Candidate> soonestTarget(const TargetRings &rings, const Search &search)
{
    const std::optional<Duration> least = leastWait(rings, search);
    if (!least)
        return std::nullopt;
    for (const RoutingRing *ring : {&rings.dataCentre_, &rings.region_, &rings.otherRegions_}) {
        if (const auto target = findRingTarget(*ring, search.subject_, *least, search.excluded_))
            return Candidate{*target, *least};
    }
    return std::nullopt;
}

/// Returns the adapter's preferred target among those whose wait exceeds the least one by no more
/// than the load time; targets of the own region take precedence.
std::optional<Candidate> preferredTarget(const RoutingTable &table, const Search &search,
                                         Duration least)
{
    const Duration bound = least + table.policy_.loadTime_;
    for (const RoutingRing *ring : {&table.all_.region_, &table.all_.otherRegions_}) {
        const auto target = findRingTarget(*ring, search.subject_, bound, search.excluded_);
        if (target)
            return Candidate{*target, expectedWait(table.targets_.at(*target), table.policy_)};
    }
    return std::nullopt;
}

RoutingDecision decide(const RoutingTable &table, const Candidate &candidate, RoutingChoice choice)
{
    const bool load = choice == RoutingChoice::Load;
    RoutingDecision decision;
    decision.vm_ = table.targets_.at(candidate.target_).view_.vm_;
    decision.choice_ = choice;
    decision.expectedWait_ =
        std::max(candidate.wait_, load ? table.policy_.loadTime_ : Duration(0));
    return decision;
}

/// Returns the targets on which the adapter need not be loaded; null if there are none.
const TargetRings *holdersOf(const RoutingTable &table, const AdapterKey &adapter)
{
    if (adapter.empty())
        return &table.all_;
    const auto found = table.holders_.find(adapter);
    return found == table.holders_.end() ? nullptr : &found->second;
}

} // namespace

void addOrUpdateTarget(RoutingTable &table, const TargetView &view)
{
    const auto known = table.numbers_.find(view.vm_);
    const bool isNew = known == table.numbers_.end();
    const std::uint32_t number = isNew ? table.nextNumber_++ : known->second;
    RoutedTarget &target = table.targets_[number];
    if (!isNew && hasSameResidents(target, view) && hasSameLocality(target.view_, view)) {
        updateWaits(table, target, view);
        return;
    }
    if (!isNew)
        erase(table, target);
    target = {.view_ = view, .place_ = {ringPoint(view.vm_), number}};
    table.numbers_[view.vm_] = number;
    changeInAllRings(table, target, insertPlace);
}

void removeTarget(RoutingTable &table, const VmName &vm)
{
    const auto known = table.numbers_.find(vm);
    if (known == table.numbers_.end())
        return;
    erase(table, table.targets_.at(known->second));
    table.targets_.erase(known->second);
    table.numbers_.erase(known);
}

void recordSentAttempt(RoutingTable &table, const VmName &vm, const AdapterKey &adapter)
{
    const auto known = table.numbers_.find(vm);
    if (known == table.numbers_.end())
        return;
    RoutedTarget &target = table.targets_.at(known->second);
    const Duration before = expectedWait(target, table.policy_);
    ++target.sentSinceReport_;
    if (expectedWait(target, table.policy_) != before)
        changeInAllRings(table, target, setPlaceWait);
    if (adapter.empty() || holds(target, adapter))
        return;
    target.loading_.push_back(adapter);
    changeInRings(table.holders_[adapter], target, loadingWait(target, table.policy_), insertPlace);
}

/// A further replica is loaded only if it saves more waiting than the load time. The preferred
/// target is searched for among all targets, holders included, as no holder's wait is shorter than
/// that of the soonest replica by more than the load time.
std::optional<RoutingDecision> chooseTarget(const RoutingTable &table,
                                            const RouteRequirements &needs)
{
    const TriedPlaces tried(table, needs.tried_);
    const Search search = {adapterHash(needs.adapter_), tried.places()};
    const TargetRings *holders = holdersOf(table, needs.adapter_);
    const std::optional<Candidate> replica =
        holders == nullptr ? std::nullopt : soonestTarget(*holders, search);
    if (needs.adapter_.empty()) {
        if (!replica)
            return std::nullopt;
        return decide(table, *replica, RoutingChoice::Resident);
    }
    const std::optional<Duration> least = leastWait(table.all_, search);
    if (!least)
        return std::nullopt;
    if (replica && replica->wait_ <= *least + table.policy_.loadTime_)
        return decide(table, *replica, RoutingChoice::Resident);
    const std::optional<Candidate> preferred = preferredTarget(table, search, *least);
    if (replica && (!preferred || replica->wait_ <= preferred->wait_ + table.policy_.loadTime_))
        return decide(table, *replica, RoutingChoice::Resident);
    return decide(table, *preferred, RoutingChoice::Load);
}

std::optional<RoutingDecision> chooseTarget(const std::vector<TargetView> &targets,
                                            const RouteRequirements &needs,
                                            const RoutingPolicy &policy)
{
    RoutingTable table;
    table.policy_ = policy;
    for (const TargetView &target : targets)
        addOrUpdateTarget(table, target);
    return chooseTarget(table, needs);
}

std::uint64_t adapterDistance(const AdapterKey &adapter, const VmName &vm)
{
    return ringDistance(adapterHash(adapter), ringPoint(vm));
}

} // namespace eelgrasscove
