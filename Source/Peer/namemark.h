#pragma once

/// Short stand-ins for names in datagrams and beliefs.

#include <cstdint>
#include <string_view>

namespace eelgrasscove {

/// A hash of a name. Two names with the same mark cost a send that the target refuses, no more, as
/// what runs is named in full.
using NameMark = std::uint32_t;

NameMark markOf(std::string_view name);

} // namespace eelgrasscove
