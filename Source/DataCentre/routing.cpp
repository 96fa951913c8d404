#include "DataCentre/routing.h"

#include <xxhash.h>

#include <algorithm>
#include <compare>

namespace eelgrasscove {

namespace {

/// One target as the choice weighs it.
struct Candidate
{
    const TargetView *target_ = nullptr;
    /// 0 in the data centre, 1 in the region, 2 beyond.
    int distance_ = 0;
    std::uint64_t hash_ = 0;
    Duration wait_ = Duration(0);
    bool resident_ = false;
};

int distanceOf(const TargetView &target)
{
    if (target.sameDataCentre_)
        return 0;
    return target.sameRegion_ ? 1 : 2;
}

std::uint64_t rendezvousHash(const VmName &vm, std::uint64_t adapterHash)
{
    return XXH3_64bits_withSeed(vm.text_.data(), vm.text_.size(), adapterHash);
}

std::uint64_t hashOf(const AdapterKey &adapter)
{
    const std::string name = engineModelName(adapter);
    return XXH3_64bits(name.data(), name.size());
}

/// Time until a batch slot is free for one more request.
Duration expectedWait(const TargetView &target, const RoutingPolicy &policy)
{
    const std::int64_t slots = std::max<std::int64_t>(1, target.batchSlots_);
    const std::int64_t ahead =
        std::int64_t{target.queued_} + target.running_ + target.sentSinceReport_;
    const std::int64_t excess = std::max<std::int64_t>(0, ahead - slots + 1);
    return policy.serviceTime_ * excess / slots;
}

bool holds(const TargetView &target, const AdapterKey &adapter)
{
    const auto found = std::find_if(
        target.residents_.begin(), target.residents_.end(),
        [&adapter](const ResidentAdapter &resident) { return resident.adapter_ == adapter; });
    return found != target.residents_.end();
}

bool wasTried(const TargetView &target, const RouteNeeds &needs)
{
    const auto found = std::find(needs.tried_.begin(), needs.tried_.end(), target.vm_);
    return found != needs.tried_.end();
}

/// A target that this entry has just sent the adapter to counts as resident, its load still to be
/// waited for.
Candidate weigh(const TargetView &target, const RouteNeeds &needs, const RoutingPolicy &policy,
                std::uint64_t adapterHash)
{
    Candidate candidate;
    candidate.target_ = &target;
    candidate.distance_ = distanceOf(target);
    candidate.hash_ = rendezvousHash(target.vm_, adapterHash);
    candidate.wait_ = expectedWait(target, policy);
    const bool loaded = needs.adapter_.empty() || holds(target, needs.adapter_);
    const bool loading = !loaded && target.sentSameAdapter_ > 0;
    candidate.resident_ = loaded || loading;
    if (loading)
        candidate.wait_ = std::max(candidate.wait_, policy.loadTime_);
    return candidate;
}

bool startsSooner(const Candidate &left, const Candidate &right)
{
    if (left.wait_ != right.wait_)
        return left.wait_ < right.wait_;
    if (left.distance_ != right.distance_)
        return left.distance_ < right.distance_;
    return left.hash_ > right.hash_;
}

/// Data centres of one region share their adapters, so that each is loaded in few of them.
bool ranksHigher(const Candidate &left, const Candidate &right)
{
    const bool leftFar = left.distance_ > 1;
    const bool rightFar = right.distance_ > 1;
    if (leftFar != rightFar)
        return rightFar;
    return left.hash_ > right.hash_;
}

const Candidate *leastWait(const std::vector<Candidate> &candidates)
{
    const auto found = std::min_element(candidates.begin(), candidates.end(), startsSooner);
    return found == candidates.end() ? nullptr : &*found;
}

/// The highest-ranked target whose wait doesn't exceed the least one by more than a load.
const Candidate *homeTarget(const std::vector<Candidate> &candidates, const RoutingPolicy &policy)
{
    const Candidate *soonest = leastWait(candidates);
    if (soonest == nullptr)
        return nullptr;
    const Duration bound = soonest->wait_ + policy.loadTime_;
    const Candidate *best = nullptr;
    for (const Candidate &candidate : candidates) {
        if (candidate.wait_ > bound)
            continue;
        if (best == nullptr || ranksHigher(candidate, *best))
            best = &candidate;
    }
    return best;
}

RoutingDecision decisionFor(const Candidate &candidate, const RoutingPolicy &policy)
{
    RoutingDecision decision;
    decision.vm_ = candidate.target_->vm_;
    decision.choice_ = candidate.resident_ ? RoutingChoice::Resident : RoutingChoice::Load;
    const Duration load = candidate.resident_ ? Duration(0) : policy.loadTime_;
    decision.expectedWait_ = std::max(candidate.wait_, load);
    return decision;
}

} // namespace

std::optional<RoutingDecision> chooseTarget(const std::vector<TargetView> &targets,
                                            const RouteNeeds &needs, const RoutingPolicy &policy)
{
    const std::uint64_t adapterHash = hashOf(needs.adapter_);
    std::vector<Candidate> resident;
    std::vector<Candidate> others;
    for (const TargetView &target : targets) {
        if (wasTried(target, needs))
            continue;
        const Candidate candidate = weigh(target, needs, policy, adapterHash);
        (candidate.resident_ ? resident : others).push_back(candidate);
    }
    const Candidate *copy = leastWait(resident);
    const Candidate *home = homeTarget(others, policy);
    if (copy == nullptr && home == nullptr)
        return std::nullopt;
    if (copy == nullptr)
        return decisionFor(*home, policy);
    if (home == nullptr)
        return decisionFor(*copy, policy);
    const bool worthAnotherCopy = copy->wait_ > home->wait_ + policy.loadTime_;
    return decisionFor(worthAnotherCopy ? *home : *copy, policy);
}

} // namespace eelgrasscove
