#pragma once

/// 32-bit hashes that represent names in datagrams and in the local state of targets.

#include <cstdint>
#include <string_view>

namespace eelgrasscove {

/// A hash of a name. A collision of two names costs at most one send that the target refuses, as a
/// request states its names in full.
using NameHash = std::uint32_t;

NameHash nameHash(std::string_view name);

} // namespace eelgrasscove
