#pragma once

/// Formats the status of a target process for /status.

#include "Target/scheduler.h"

#include <string>

namespace eelgrasscove {

/// Returns a JSON object: incarnation, fencing number, rules revision, load, queues, resident
/// adapters, crash counts and number of tombstones.
std::string schedulerStatusJson(const TargetScheduler &scheduler, const VmSettings &vm, Time now);

} // namespace eelgrasscove
