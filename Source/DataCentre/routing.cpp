#include "DataCentre/routing.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <span>

namespace eelgrasscove {

namespace {

/// The same in every process.
std::uint64_t hashOf(const AdapterKey &adapter)
{
    const std::string &version = adapter.version_.text_;
    const std::string &name = adapter.adapter_.text_;
    return XXH64(name.data(), name.size(), XXH64(version.data(), version.size(), 0));
}

/// Time until a batch slot is free for one more request.
Duration expectedWait(const RoutedTarget &target, const RoutingPolicy &policy)
{
    const TargetView &view = target.view_;
    const std::int64_t slots = std::max<std::int64_t>(1, view.batchSlots_);
    const std::int64_t ahead = std::int64_t{view.queued_} + view.running_ + target.sentSinceReport_;
    const std::int64_t excess = std::max<std::int64_t>(0, ahead - slots + 1);
    return policy.serviceTime_ * excess / slots;
}

/// The rings that a target stands in; null where it is only in one.
std::array<RoutingRing *, 2> ringsOf(TargetRings &rings, const TargetView &view)
{
    if (view.sameDataCentre_)
        return {&rings.region_, &rings.dataCentre_};
    return {view.sameRegion_ ? &rings.region_ : &rings.beyond_, nullptr};
}

using RingChange = void (*)(RoutingRing &, const RingPlace &, Duration);

void change(TargetRings &rings, const RoutedTarget &target, Duration wait, RingChange how)
{
    for (RoutingRing *ring : ringsOf(rings, target.view_)) {
        if (ring != nullptr)
            how(*ring, target.place_, wait);
    }
}

void eraseFromRing(RoutingRing &ring, const RingPlace &place, Duration /*wait*/)
{
    erasePlace(ring, place);
}

bool isEmpty(const TargetRings &rings)
{
    return rings.region_.places_.empty() && rings.beyond_.places_.empty();
}

/// An adapter that is being loaded has its load still to be waited for.
Duration loadingWait(const RoutedTarget &target, const RoutingPolicy &policy)
{
    return std::max(expectedWait(target, policy), policy.loadTime_);
}

void changeEverywhere(RoutingTable &table, const RoutedTarget &target, RingChange how)
{
    const Duration wait = expectedWait(target, table.policy_);
    change(table.all_, target, wait, how);
    for (const ResidentAdapter &resident : target.view_.residents_)
        change(table.holders_[resident.adapter_], target, wait, how);
    const Duration loaded = loadingWait(target, table.policy_);
    for (const AdapterKey &adapter : target.loading_)
        change(table.holders_[adapter], target, loaded, how);
}

void forgetHolder(RoutingTable &table, const AdapterKey &adapter)
{
    const auto found = table.holders_.find(adapter);
    if (found != table.holders_.end() && isEmpty(found->second))
        table.holders_.erase(found);
}

/// Takes a target out of all rings.
void erase(RoutingTable &table, const RoutedTarget &target)
{
    changeEverywhere(table, target, eraseFromRing);
    for (const ResidentAdapter &resident : target.view_.residents_)
        forgetHolder(table, resident.adapter_);
    for (const AdapterKey &adapter : target.loading_)
        forgetHolder(table, adapter);
}

bool sameResidents(const RoutedTarget &target, const TargetView &view)
{
    const auto sameAdapter = [](const ResidentAdapter &left, const ResidentAdapter &right) {
        return left.adapter_ == right.adapter_;
    };
    const std::vector<ResidentAdapter> &residents = target.view_.residents_;
    return target.loading_.empty()
        && std::equal(residents.begin(), residents.end(), view.residents_.begin(),
                      view.residents_.end(), sameAdapter);
}

bool samePlace(const TargetView &left, const TargetView &right)
{
    return left.sameDataCentre_ == right.sameDataCentre_ && left.sameRegion_ == right.sameRegion_;
}

/// A report of a target that holds what it held: only its waits change.
void refresh(RoutingTable &table, RoutedTarget &target, const TargetView &view)
{
    const Duration before = expectedWait(target, table.policy_);
    target.view_ = view;
    target.sentSinceReport_ = 0;
    if (expectedWait(target, table.policy_) != before)
        changeEverywhere(table, target, setPlaceWait);
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

/// The places of the tried targets, in room that needs no allocation for a usual number of tries.
class TriedPlaces
{
public:
    TriedPlaces(const RoutingTable &table, const std::vector<VmName> &tried)
    {
        if (tried.size() > few_.size())
            many_.reserve(tried.size());
        for (const VmName &vm : tried) {
            const auto number = table.numbers_.find(vm);
            if (number != table.numbers_.end())
                add(table.targets_.at(number->second).place_);
        }
    }

    std::span<const RingPlace> places() const
    {
        return many_.capacity() > 0 ? std::span<const RingPlace>(many_)
                                    : std::span<const RingPlace>(few_.data(), count_);
    }

private:
    void add(const RingPlace &place)
    {
        if (many_.capacity() > 0)
            many_.push_back(place);
        else
            few_[count_++] = place;
    }

    std::array<RingPlace, 8> few_;
    std::size_t count_ = 0;
    std::vector<RingPlace> many_;
};

struct Candidate
{
    std::uint32_t target_ = 0;
    Duration wait_ = Duration(0);
};

/// What is searched for.
struct Search
{
    std::uint64_t subject_ = 0;
    std::span<const RingPlace> leftOut_;
};

std::optional<Duration> leastWait(const TargetRings &rings, const Search &search)
{
    const std::optional<Duration> near = leastWait(rings.region_, search.leftOut_);
    const std::optional<Duration> far = leastWait(rings.beyond_, search.leftOut_);
    if (!near || !far)
        return near ? near : far;
    return std::min(*near, *far);
}

/// The nearest of those that start a request soonest.
std::optional<Candidate> soonest(const TargetRings &rings, const Search &search)
{
    const std::optional<Duration> least = leastWait(rings, search);
    if (!least)
        return std::nullopt;
    for (const RoutingRing *ring : {&rings.dataCentre_, &rings.region_, &rings.beyond_}) {
        if (const auto target = ringTarget(*ring, search.subject_, *least, search.leftOut_))
            return Candidate{*target, *least};
    }
    return std::nullopt;
}

/// The adapter's own target among those whose wait doesn't exceed the least one by more than a
/// load; in the region if one is there.
std::optional<Candidate> homeTarget(const RoutingTable &table, const Search &search,
                                    Duration leastWait)
{
    const Duration bound = leastWait + table.policy_.loadTime_;
    for (const RoutingRing *ring : {&table.all_.region_, &table.all_.beyond_}) {
        const auto target = ringTarget(*ring, search.subject_, bound, search.leftOut_);
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

/// The targets that need no load; null where there are none.
const TargetRings *holdersOf(const RoutingTable &table, const AdapterKey &adapter)
{
    if (adapter.empty())
        return &table.all_;
    const auto found = table.holders_.find(adapter);
    return found == table.holders_.end() ? nullptr : &found->second;
}

} // namespace

void setTarget(RoutingTable &table, const TargetView &view)
{
    const auto known = table.numbers_.find(view.vm_);
    const bool isNew = known == table.numbers_.end();
    const std::uint32_t number = isNew ? table.nextNumber_++ : known->second;
    RoutedTarget &target = table.targets_[number];
    if (!isNew && sameResidents(target, view) && samePlace(target.view_, view)) {
        refresh(table, target, view);
        return;
    }
    if (!isNew)
        erase(table, target);
    target = {.view_ = view, .place_ = {ringPoint(view.vm_), number}};
    table.numbers_[view.vm_] = number;
    changeEverywhere(table, target, insertPlace);
}

void dropTarget(RoutingTable &table, const VmName &vm)
{
    const auto known = table.numbers_.find(vm);
    if (known == table.numbers_.end())
        return;
    erase(table, table.targets_.at(known->second));
    table.targets_.erase(known->second);
    table.numbers_.erase(known);
}

void noteSent(RoutingTable &table, const VmName &vm, const AdapterKey &adapter)
{
    const auto known = table.numbers_.find(vm);
    if (known == table.numbers_.end())
        return;
    RoutedTarget &target = table.targets_.at(known->second);
    const Duration before = expectedWait(target, table.policy_);
    ++target.sentSinceReport_;
    if (expectedWait(target, table.policy_) != before)
        changeEverywhere(table, target, setPlaceWait);
    if (adapter.empty() || holds(target, adapter))
        return;
    target.loading_.push_back(adapter);
    change(table.holders_[adapter], target, loadingWait(target, table.policy_), insertPlace);
}

/// A further copy is worth its load where that much is saved. All targets may be searched for the
/// home, as one that has the adapter can't be so much sooner than the soonest copy.
std::optional<RoutingDecision> chooseTarget(const RoutingTable &table, const RouteNeeds &needs)
{
    const TriedPlaces tried(table, needs.tried_);
    const Search search = {hashOf(needs.adapter_), tried.places()};
    const TargetRings *holders = holdersOf(table, needs.adapter_);
    const std::optional<Candidate> copy =
        holders == nullptr ? std::nullopt : soonest(*holders, search);
    if (needs.adapter_.empty()) {
        if (!copy)
            return std::nullopt;
        return decide(table, *copy, RoutingChoice::Resident);
    }
    const std::optional<Duration> least = leastWait(table.all_, search);
    if (!least)
        return std::nullopt;
    if (copy && copy->wait_ <= *least + table.policy_.loadTime_)
        return decide(table, *copy, RoutingChoice::Resident);
    const std::optional<Candidate> home = homeTarget(table, search, *least);
    if (copy && (!home || copy->wait_ <= home->wait_ + table.policy_.loadTime_))
        return decide(table, *copy, RoutingChoice::Resident);
    return decide(table, *home, RoutingChoice::Load);
}

std::optional<RoutingDecision> chooseTarget(const std::vector<TargetView> &targets,
                                            const RouteNeeds &needs, const RoutingPolicy &policy)
{
    RoutingTable table;
    table.policy_ = policy;
    for (const TargetView &target : targets)
        setTarget(table, target);
    return chooseTarget(table, needs);
}

std::uint64_t adapterDistance(const AdapterKey &adapter, const VmName &vm)
{
    return ringDistance(hashOf(adapter), ringPoint(vm));
}

} // namespace eelgrasscove
