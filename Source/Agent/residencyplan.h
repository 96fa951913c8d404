#pragma once

/// Which adapter an engine is to load or drop next. Pure.
///
/// It answers the load of thousands of adapters on an engine with a few dozen places: what requests
/// wait for comes first, and the place is taken from what was used longest ago.

#include "Peer/namemark.h"
#include "platform/enginewire.h"

#include <eelgrasscove/serving.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace eelgrasscove {

struct WishedAdapter
{
    /// 0 for the newest.
    std::uint64_t version_ = 0;
    std::uint32_t requests_ = 0;
    Time firstAt_;
    Time lastAt_;
};

struct ResidencyPlan
{
    /// By "MODEL/NAME".
    std::map<std::string, WishedAdapter> wishes_;
    std::map<NameMark, Time> lastUsed_;
    /// Adapters whose unload was accepted and waits for their runs, since when.
    std::map<std::string, Time> unloading_;
    /// Adapters whose replacement by a newer version was accepted and waits for their runs, since
    /// when.
    std::map<std::string, Time> replacing_;
};

/// Places for adapters beside the models held, by the engine's slots and its memory for weights.
std::uint32_t adapterPlaces(const EngineLimits &limits, const std::vector<std::string> &models);

void takeWish(ResidencyPlan &plan, const std::string &adapter, std::uint64_t version,
              std::uint32_t requests, Time now);
void noteUse(ResidencyPlan &plan, NameMark adapter, Time now);

/// Takes note of an order that the engine accepted; report is the one that it was decided by.
void noteAccepted(ResidencyPlan &plan, const wire::EngineOrder &order,
                  const wire::EngineReport &report, Time now);

/// Forgets wishes that no entry repeats or that are fulfilled, and uses long past.
void expirePlan(ResidencyPlan &plan, const wire::EngineReport &report, Time now);

/// The next order, without holder and fence; empty where nothing is to be done now.
std::optional<wire::EngineOrder> nextOrder(const ResidencyPlan &plan,
                                           const wire::EngineReport &report,
                                           const EngineLimits &limits, Time now);

} // namespace eelgrasscove
