#pragma once

/// Several envelopes in one message of the link. Alone, an envelope is the message; a batch begins
/// with a byte that MessagePack never uses, and gives each envelope's length (4 bytes, big endian)
/// before it.

#include <string>
#include <string_view>
#include <vector>

namespace eelgrasscove {

/// Adds an encoded envelope to a link message, which is a batch from the second one on.
void addEnvelope(std::string &message, std::string_view envelope);

/// The encoded envelopes of a link message, in order. Of a batch that is cut off, the whole ones.
std::vector<std::string_view> splitEnvelopes(std::string_view message);

} // namespace eelgrasscove
