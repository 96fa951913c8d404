#pragma once

#include <string_view>

namespace eelgrasscove {

/// Identifies the sources that this build was made from, in hexadecimal digits. Builds of the same
/// sources have the same identity on all machines.
std::string_view buildIdentity();

/// Version of the project, followed by the identity of the build.
std::string_view versionText();

} // namespace eelgrasscove
