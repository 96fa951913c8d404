#pragma once

/// What a TCP socket has accepted and its peer has not acknowledged.

#include <cstddef>

namespace eelgrasscove {

/// Returns the number of bytes written to the socket that its peer has not acknowledged; 0 if it
/// can't be read.
///
/// A response without a length is complete when its connection ends in order, but not while there
/// are such bytes: the peer did not read the whole request, and its process may have ended in the
/// middle of the response.
std::size_t unacknowledgedBytes(int descriptor);

} // namespace eelgrasscove
