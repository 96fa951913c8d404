#pragma once

/// Which target an attempt goes to.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace eelgrasscove {

/// What the choice knows of one target.
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
    /// Attempts this entry has sent there since the load was reported.
    std::uint32_t sentSinceReport_ = 0;
    /// Those of them for the adapter wanted.
    std::uint32_t sentSameAdapter_ = 0;
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

/// The target for one attempt; empty where none is left.
std::optional<RoutingDecision> chooseTarget(const std::vector<TargetView> &targets,
                                            const RouteNeeds &needs, const RoutingPolicy &policy);

} // namespace eelgrasscove
