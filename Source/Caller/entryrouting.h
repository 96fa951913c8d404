#pragma once

/// The entry's routing tables, one for each group of targets, kept with what it knows of the fleet.

#include "Caller/entry.h"

namespace eelgrasscove {

/// Takes in a peer's latest report.
void updateRouting(Entry &entry, const VmName &vm, Time now);

/// Takes in a change of the list or of links, after which other targets take new work.
void syncRouting(Entry &entry, Time now);

/// The target for the request's next attempt; empty where none is left. A target that has fallen
/// silent is dropped on the way, until it reports again.
std::optional<RoutingDecision> routeRequest(Entry &entry, const PendingRequest &request, Time now);

} // namespace eelgrasscove
