#pragma once

/// Standard base64 with padding.

#include <optional>
#include <string>
#include <string_view>

namespace eelgrasscove {

std::string encodeBase64(std::string_view bytes);

/// Empty where the text isn't base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace eelgrasscove
