#pragma once

/// Rows of the settings that daemon and operators' tool have in common. Both structs hold them as
/// platform_ and keys_.

#include "Vm/settingstable.h"

#include <eelgrasscove/time.h>

#include <array>
#include <string_view>

namespace eelgrasscove {

constexpr std::string_view httpScheme = "http://";

/// For settings that must always be there.
template <class Target>
bool always(const Target & /*settings*/)
{
    return true;
}

/// [platform]: what finds the key-value service and the VM list.
template <class Target>
std::array<SettingRow<Target>, 4> platformRows()
{
    using namespace std::chrono_literals;
    return {{
        {"platform", "key_value_url",
         [](const std::string &value, Target &out) {
             return readUrl(value, httpScheme, false, out.platform_.keyValueUrl_);
         },
         always<Target>},
        {"platform", "vm_list_url",
         [](const std::string &value, Target &out) {
             return readUrl(value, httpScheme, true, out.platform_.vmListUrl_);
         },
         always<Target>},
        {"platform", "prefix",
         [](const std::string &value, Target &out) {
             return readKeyPrefix(value, out.platform_.prefix_);
         }},
        {"platform", "call_timeout",
         [](const std::string &value, Target &out) {
             return readDuration(value, 1ms, 1min, out.platform_.callTimeout_);
         }},
    }};
}

/// [keys], and when they must be there; null for never.
template <class Target>
std::array<SettingRow<Target>, 1> keyRows(bool (*required)(const Target &))
{
    return {{
        {"keys", "digest_secret",
         [](const std::string &value, Target &out) {
             return readSecret(value, out.keys_.digestSecret_);
         },
         required},
    }};
}

} // namespace eelgrasscove
