#pragma once

/// Decides which adapter an engine loads or unloads next. Pure functions: no clock, I/O or threads.
///
/// Thousands of adapters share the few dozen slots of an engine. Adapters with the most waiting
/// requests are loaded first, and the least recently used adapter is unloaded to free a slot.

#include "Peer/namehash.h"
#include "platform/enginewire.h"

#include <eelgrasscove/serving.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace eelgrasscove {

struct RequestedAdapter
{
    /// 0 means the newest version.
    std::uint64_t version_ = 0;
    std::uint32_t requests_ = 0;
    Time firstAt_;
    Time lastAt_;
};

struct ResidencyPlan
{
    /// Requested adapters by "MODEL/NAME".
    std::map<std::string, RequestedAdapter> requestedAdapters_;
    std::map<NameHash, Time> lastUsed_;
    /// Adapters whose unload was accepted and waits for their running requests, with the time of
    /// the acceptance.
    std::map<std::string, Time> unloading_;
    /// Adapters whose replacement by a newer version was accepted and waits for their running
    /// requests, with the time of the acceptance.
    std::map<std::string, Time> replacing_;
};

/// Returns the number of adapters that fit beside the loaded models, bounded by the engine's
/// adapter slots and its memory for weights.
std::uint32_t adapterCapacity(const EngineLimits &limits, const std::vector<std::string> &models);

void addLoadRequest(ResidencyPlan &plan, const std::string &adapter, std::uint64_t version,
                    std::uint32_t requests, Time now);
void recordUse(ResidencyPlan &plan, NameHash adapter, Time now);

/// Records an order that the engine accepted; report is the one on which the order was based.
void recordAccepted(ResidencyPlan &plan, const wire::EngineOrder &order,
                    const wire::EngineReport &report, Time now);

/// Removes load requests that are fulfilled or no longer repeated, finished or expired unloads and
/// replacements, and expired times of last use.
void expirePlan(ResidencyPlan &plan, const wire::EngineReport &report, Time now);

/// Returns the next order, without holder and fencing number; empty if there is none at present.
std::optional<wire::EngineOrder> nextOrder(const ResidencyPlan &plan,
                                           const wire::EngineReport &report,
                                           const EngineLimits &limits, Time now);

} // namespace eelgrasscove
