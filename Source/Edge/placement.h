#pragma once

/// Where a request goes: which target has what it needs and serves it soonest, or which is to load
/// its adapter. Pure.
///
/// It answers the load of few adapters asked for all the time and very many now and then: a rare
/// adapter has one home that all entries agree on without asking each other, and a frequent one
/// gets a second copy before its home is full.

#include "Edge/targetbelief.h"

#include <set>
#include <string>
#include <vector>

namespace eelgrasscove {

struct PlaceQuery
{
    std::string dataCentre_;
    /// Empty for plain services.
    std::string model_;
    /// "MODEL/NAME"; empty where the request is for the model itself.
    std::string adapter_;
    /// The oldest adapter version that may still be used.
    std::uint64_t leastVersion_ = 0;
    /// The newest adapter version; 0 where none was named.
    std::uint64_t newestVersion_ = 0;
    /// Requests for the adapter a second, at all entries.
    double askedPerSecond_ = 0;
    /// Targets that this request has been sent to.
    std::set<std::string> tried_;
    std::size_t entries_ = 1;
};

enum class PlaceKind {
    /// Send the request to the target.
    Send,
    /// The adapter is to be loaded, or is on its way, at the target.
    AwaitAdapter,
    /// All that could serve it are full.
    AwaitRoom,
    /// There are targets, but none can take it now: they start, load the model or are avoided.
    AwaitTarget,
    /// No target can serve it.
    None,
};

constexpr NameTable<PlaceKind, 5> placeKindNames = {{
    {PlaceKind::Send, "send"},
    {PlaceKind::AwaitAdapter, "await_adapter"},
    {PlaceKind::AwaitRoom, "await_room"},
    {PlaceKind::AwaitTarget, "await_target"},
    {PlaceKind::None, "none"},
}};

struct Place
{
    PlaceKind kind_ = PlaceKind::None;
    TargetBelief *target_ = nullptr;
    /// Where another copy of the adapter, or its newer version, is to be loaded in advance; null
    /// for nowhere.
    TargetBelief *copyAt_ = nullptr;
    /// The best target's load, as a part of its slots.
    double load_ = 0;
};

/// targets are those of one service.
Place choosePlace(const std::vector<TargetBelief *> &targets, const PlaceQuery &query, Time now);

/// Requests that a target with so many slots may have, running and waiting.
double roomOf(const TargetBelief &target);

} // namespace eelgrasscove
