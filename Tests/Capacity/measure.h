#pragma once

/// Clocks and memory of the measuring process itself.

#include <cstddef>
#include <functional>

namespace eelgrasscove::capacity {

/// Processor time of one call in microseconds: the least of several rounds.
double microsPerCall(std::size_t calls, const std::function<void()> &call);

/// Bytes handed out by the allocator now.
std::size_t allocatedBytes();

} // namespace eelgrasscove::capacity
