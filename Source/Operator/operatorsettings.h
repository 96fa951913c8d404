#pragma once

/// Settings of the operators' tool, an INI file of its own.

#include "Vm/settings.h"

#include <eelgrasscove/result.h>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasscove {

struct OperatorSettings
{
    /// [platform]: key_value_url, vm_list_url, prefix, call_timeout.
    PlatformSettings platform_;
    /// [keys]: digest_secret, the same as the entries'. Only needed to issue keys.
    KeySettings keys_;
    /// [operator] status_urls: where processes tell their state, joined by commas.
    std::vector<std::string> statusUrls_;
    /// [operator] status_port: the same port on every VM of the platform's list, in place of
    /// status_urls; 0 where unset.
    std::uint32_t statusPort_ = 0;
    /// [operator] who: named in the comments and the history; the user's name where unset.
    std::string who_;
};

/// Reads the whole text and reports all faults at once.
Result<OperatorSettings, std::vector<SettingsError>> parseOperatorSettings(const std::string &text,
                                                                           const std::string &file);

} // namespace eelgrasscove
