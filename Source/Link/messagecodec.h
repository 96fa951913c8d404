#pragma once

/// Envelopes as MessagePack. Unknown fields are skipped and missing ones keep their defaults, so
/// that processes of neighbouring versions understand each other.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/result.h>

#include <string>
#include <string_view>

namespace eelgrasscove {

/// Why bytes are no envelope.
struct CodecError
{
    std::string message_;
};

std::string encodeEnvelope(const Envelope &envelope);

Result<Envelope, CodecError> decodeEnvelope(std::string_view bytes);

} // namespace eelgrasscove
