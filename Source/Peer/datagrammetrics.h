#pragma once

/// Counts the datagrams that a process sends, for the share of each kind of message in its traffic.

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace eelgrasscove {

/// Counts datagrams of the given size in bytes, without IP and UDP headers. isWithinDataCentre says
/// whether they stay in the sender's data centre.
void countDatagrams(std::string_view message, bool isWithinDataCentre, std::uint64_t datagrams,
                    std::size_t bytes);

} // namespace eelgrasscove
