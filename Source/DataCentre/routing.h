#pragma once

/// Chooses the target of an attempt from a table of one group's targets, which is updated by their
/// load reports. A choice takes time logarithmic in the number of targets and allocates only to
/// copy a long VM name. Pure functions: no clock, I/O or threads.

#include "DataCentre/routingring.h"

#include <eelgrasscove/messages.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace eelgrasscove {

/// The last reported state of a target.
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

/// Requirements of a request.
struct RouteRequirements
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
    /// The adapter is resident or being loaded, or none is needed.
    Resident,
    /// A first or a further replica of the adapter is to be loaded.
    Load,
};

struct RoutingDecision
{
    VmName vm_;
    RoutingChoice choice_ = RoutingChoice::Resident;
    /// Estimated time until the request starts.
    Duration expectedWait_ = Duration(0);
};

/// Targets grouped by their distance from this process.
struct TargetRings
{
    RoutingRing dataCentre_;
    /// Includes the targets of the own data centre: the data centres of a region share their
    /// adapters, so that each adapter is loaded in few of them.
    RoutingRing region_;
    RoutingRing otherRegions_;
};

/// A target's record in the table.
struct RoutedTarget
{
    TargetView view_;
    RingPlace place_;
    /// Attempts that this entry has sent to the target since its last load report.
    std::uint32_t sentSinceReport_ = 0;
    /// Adapters of these attempts that were not resident by the last report.
    std::vector<AdapterKey> loading_;
};

/// The targets of one group that accept new requests.
struct RoutingTable
{
    RoutingPolicy policy_;
    /// Keyed by the target number in RingPlace.
    std::map<std::uint32_t, RoutedTarget> targets_;
    std::map<VmName, std::uint32_t> numbers_;
    std::uint32_t nextNumber_ = 0;
    TargetRings all_;
    /// For each adapter, the targets on which it is resident or being loaded.
    std::unordered_map<AdapterKey, TargetRings> holders_;
};

/// Adds a target or applies its latest report, which resets the count of attempts sent since.
void addOrUpdateTarget(RoutingTable &table, const TargetView &view);

void removeTarget(RoutingTable &table, const VmName &vm);

/// Records an attempt sent to the target, and its adapter as being loaded if it is not resident.
void recordSentAttempt(RoutingTable &table, const VmName &vm, const AdapterKey &adapter);

/// Returns the target for an attempt; empty if none is left.
std::optional<RoutingDecision> chooseTarget(const RoutingTable &table,
                                            const RouteRequirements &needs);

/// Chooses among the given targets only.
std::optional<RoutingDecision> chooseTarget(const std::vector<TargetView> &targets,
                                            const RouteRequirements &needs,
                                            const RoutingPolicy &policy);

/// Returns the hash distance between an adapter and a target; the target at the least distance is
/// the adapter's preferred one.
std::uint64_t adapterDistance(const AdapterKey &adapter, const VmName &vm);

} // namespace eelgrasscove
