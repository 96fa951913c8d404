#pragma once

/// Bounds the memory that an entry's buffers take together: responses that are being read, and
/// bytes that clients have sent or not taken yet. Pure functions: no clock, I/O or threads.
///
/// Each buffer has a limit of its own, but a target in trouble can fill many at once, and a process
/// that exceeds its memory ends with all of its requests. Beyond the limit the largest buffers are
/// given up: sound responses are small, and bytes without end make a buffer large.

#include <eelgrasscove/nametable.h>

#include <cstddef>
#include <vector>

namespace eelgrasscove {

enum class BufferKind {
    /// Part of a target's response.
    Response,
    /// Bytes from or for a client.
    Client,
};

constexpr NameTable<BufferKind, 2> bufferKindNames = {{
    {BufferKind::Response, "response"},
    {BufferKind::Client, "client"},
}};

struct Buffer
{
    BufferKind kind_ = BufferKind::Response;
    /// Memory that it takes, also where a part is unused.
    std::size_t bytes_ = 0;
};

/// Returns the limit in bytes of all buffers together, for a process that may use memoryMb. A
/// buffer that grows has its old and its new memory for a moment, and a response is copied when it
/// is handed on.
std::size_t bufferLimit(double memoryMb);

std::size_t totalBytes(const std::vector<Buffer> &buffers);

/// Returns the indices of the buffers to give up, the largest ones, so that the others stay within
/// the limit.
std::vector<std::size_t> buffersToGiveUp(const std::vector<Buffer> &buffers, std::size_t limit);

} // namespace eelgrasscove
