#pragma once

/// Base64 with padding, as protobuf's JSON form writes bytes.

#include <optional>
#include <string>
#include <string_view>

namespace standins {

std::string encodeBase64(std::string_view bytes);
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace standins
