#pragma once

/// What a target process shows of itself on /status.

#include "Target/door.h"

#include <string>

namespace eelgrasscove {

/// A JSON object: incarnation, fencing number, revision, load, resident adapters and strikes.
std::string doorStatusJson(const Door &door, const VmName &vm, Time now);

} // namespace eelgrasscove
