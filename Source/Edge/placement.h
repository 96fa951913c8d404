#pragma once

/// Chooses the target of a request: the one that has the required model and adapter and serves the
/// request soonest, or the one that is to load the adapter. Pure functions: no clock, I/O or
/// threads.
///
/// Few adapters are requested all the time and very many only occasionally. A rarely requested
/// adapter has one preferred target, which all entries compute without communication; a frequently
/// requested one gets another replica before its target is full.

#include "Edge/adapterversions.h"
#include "Edge/homes.h"
#include "Edge/targetstate.h"

#include <set>
#include <string>
#include <vector>

namespace eelgrasscove {

struct PlacementQuery
{
    std::string dataCentre_;
    /// The regions in which the request may run, and those of the data centres; null for none.
    RequestHomes homes_;
    const RegionTable *regions_ = nullptr;
    /// Empty for plain services.
    std::string model_;
    /// "MODEL/NAME"; empty where the request is for the model itself.
    std::string adapter_;
    /// The oldest adapter version that may be used.
    std::uint64_t minVersion_ = 0;
    /// The newest adapter version; 0 where not specified.
    std::uint64_t newestVersion_ = 0;
    /// Named versions of the adapter, or null, and the time after the naming of a newer version
    /// until which requests may begin on an older one.
    const AdapterVersionHistory *versions_ = nullptr;
    Duration versionBound_{};
    /// Tokens of the request's prompt, and the operator's aims for the time to the first event and
    /// for the pauses between events.
    double promptTokens_ = 0;
    Duration objective_ = std::chrono::seconds(1);
    Duration pauseObjective_ = std::chrono::milliseconds(300);
    /// Time that is left until the first event is late.
    Duration objectiveLeft_ = std::chrono::seconds(1);
    /// What has been learned of all engines of the service together; null for plain services.
    const EngineModel *serviceModel_ = nullptr;
    /// Requests for the adapter per second, at all entries together.
    double requestsPerSecond_ = 0;
    /// Ids of the targets to which this request has been sent already.
    std::set<std::string> tried_;
    /// Number of entries, including this one.
    std::size_t entries_ = 1;
};

enum class PlacementKind {
    /// The request is to be sent to the target.
    Send,
    /// The adapter is to be loaded, or is being loaded, at the target.
    AwaitAdapter,
    /// All targets that could serve the request are full.
    AwaitRoom,
    /// The targets that could serve the request have enough prompts to read for now.
    AwaitReading,
    /// There are targets, but none accepts requests now: they are starting, loading the model or
    /// avoided after faults.
    AwaitTarget,
    /// Every target pauses or leaves.
    AwaitPauseEnd,
    /// This entry may send no request to the targets now, as they are cold.
    AwaitQuota,
    /// No target can serve the request.
    None,
};

constexpr NameTable<PlacementKind, 8> placementKindNames = {{
    {PlacementKind::Send, "send"},
    {PlacementKind::AwaitAdapter, "await_adapter"},
    {PlacementKind::AwaitRoom, "await_room"},
    {PlacementKind::AwaitReading, "await_reading"},
    {PlacementKind::AwaitTarget, "await_target"},
    {PlacementKind::AwaitPauseEnd, "await_pause_end"},
    {PlacementKind::AwaitQuota, "await_quota"},
    {PlacementKind::None, "none"},
}};

struct Placement
{
    PlacementKind kind_ = PlacementKind::None;
    TargetState *target_ = nullptr;
    /// The target that is to load another replica of the adapter, or its newer version, in advance;
    /// null if none is.
    TargetState *replicaTarget_ = nullptr;
    /// Load of target_: of its slots, its memory or the prompts that it has to read, as a fraction,
    /// whichever is highest.
    double load_ = 0;
    /// Predicted time from sending to target_ to the first event; zero where not known.
    Duration firstEvent_{};
    /// Time until the first pause ends, for AwaitPauseEnd, or until the first target may get a
    /// request of this entry, for AwaitQuota.
    Duration pauseLeft_{};
};

/// Chooses among the targets of one service.
Placement choosePlacement(const std::vector<TargetState *> &targets, const PlacementQuery &query,
                          Time now);

/// Returns the number of requests that the target may have at most, running and waiting.
double requestCapacity(const TargetState &target);

} // namespace eelgrasscove
