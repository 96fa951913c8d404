#pragma once

/// Which target an attempt goes to: a table of one group's targets, kept as they report, and the
/// choice from it. The choice costs the logarithm of the number of targets, and allocates nothing
/// but a long VM name's copy. Pure.

#include "DataCentre/routingring.h"

#include <eelgrasscove/messages.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace eelgrasscove {

/// What is known of one target.
struct TargetView
{
    VmName vm_;
    bool sameDataCentre_ = true;
    bool sameRegion_ = true;
    std::uint32_t queued_ = 0;
    std::uint32_t running_ = 0;
    std::uint32_t batchSlots_ = 1;
    std::uint32_t adapterSlots_ = 1;
    std::vector<ResidentAdapter> residents_;
};

/// What the request needs of a target.
struct RouteNeeds
{
    /// Empty for a plain service.
    AdapterKey adapter_;
    Priority priority_ = Priority::Interactive;
    /// Targets already tried for this request.
    std::vector<VmName> tried_;
};

struct RoutingPolicy
{
    /// Time an adapter takes to load.
    Duration loadTime_ = std::chrono::milliseconds(250);
    /// Time one request holds a batch slot.
    Duration serviceTime_ = std::chrono::milliseconds(2000);
};

enum class RoutingChoice {
    /// The adapter is there, or none is needed.
    Resident,
    /// A first or a further copy is to be loaded.
    Load,
};

struct RoutingDecision
{
    VmName vm_;
    RoutingChoice choice_ = RoutingChoice::Resident;
    /// Time until the request starts, by the choice's own reckoning.
    Duration expectedWait_ = Duration(0);
};

/// Targets by their distance from this process.
struct TargetRings
{
    RoutingRing dataCentre_;
    /// Those of the data centre too: data centres of one region share their adapters, so that each
    /// is loaded in few of them.
    RoutingRing region_;
    RoutingRing beyond_;
};

/// A target as the table holds it.
struct RoutedTarget
{
    TargetView view_;
    RingPlace place_;
    /// Attempts this entry has sent there since the load was reported.
    std::uint32_t sentSinceReport_ = 0;
    /// Adapters of those that the target doesn't hold as far as is known.
    std::vector<AdapterKey> loading_;
};

/// The targets of one group that take new work.
struct RoutingTable
{
    RoutingPolicy policy_;
    /// By the number that stands in places.
    std::map<std::uint32_t, RoutedTarget> targets_;
    std::map<VmName, std::uint32_t> numbers_;
    std::uint32_t nextNumber_ = 0;
    TargetRings all_;
    /// The targets that hold an adapter or are loading it.
    std::unordered_map<AdapterKey, TargetRings> holders_;
};

/// Takes in a target, or its latest report; what was sent before the report no longer counts.
void setTarget(RoutingTable &table, const TargetView &view);

void dropTarget(RoutingTable &table, const VmName &vm);

/// Counts an attempt that was sent to the target.
void noteSent(RoutingTable &table, const VmName &vm, const AdapterKey &adapter);

/// The target for one attempt; empty where none is left.
std::optional<RoutingDecision> chooseTarget(const RoutingTable &table, const RouteNeeds &needs);

/// The choice among these targets alone.
std::optional<RoutingDecision> chooseTarget(const std::vector<TargetView> &targets,
                                            const RouteNeeds &needs, const RoutingPolicy &policy);

/// How far a target is from being an adapter's first choice; the least distance wins.
std::uint64_t adapterDistance(const AdapterKey &adapter, const VmName &vm);

} // namespace eelgrasscove
