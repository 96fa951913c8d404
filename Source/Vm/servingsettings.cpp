#include "Vm/servingsettings.h"

#include "Vm/inifile.h"
#include "Vm/settingstable.h"

#include <algorithm>
#include <array>
#include <fmt/core.h>
#include <fstream>
#include <iterator>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;
using Row = SettingRow<ServingSettings>;

bool always(const ServingSettings &)
{
    return true;
}

ValueResult readText(const std::string &value, std::string &text)
{
    text = value;
    return std::nullopt;
}

/// Removes blanks at both ends.
std::string_view trimmed(std::string_view text)
{
    const std::size_t begin = std::min(text.find_first_not_of(" \t"), text.size());
    text.remove_prefix(begin);
    return text.substr(0, text.find_last_not_of(" \t") + 1);
}

/// Reads "DATA_CENTRE:REGION,...". A comma may follow the last pair, as templates write one after
/// each; an empty value is an empty table.
ValueResult readRegions(const std::string &value, std::map<std::string, std::string> &regions)
{
    const auto fault = [](std::string_view pair, std::string_view problem) {
        return ValueFault{fmt::format("\"{}\" {}", pair, problem),
                          "write DATA_CENTRE:REGION,DATA_CENTRE:REGION"};
    };
    std::map<std::string, std::string> read;
    std::string_view rest = value;
    while (!trimmed(rest).empty()) {
        const std::size_t end = std::min(rest.find(','), rest.size());
        const std::string_view pair = trimmed(rest.substr(0, end));
        rest.remove_prefix(std::min(end + 1, rest.size()));
        const std::size_t colon = std::min(pair.find(':'), pair.size());
        std::string dataCentre;
        std::string region;
        if (readIdentifier(std::string(trimmed(pair.substr(0, colon))), dataCentre)
            || colon == pair.size()
            || readIdentifier(std::string(trimmed(pair.substr(colon + 1))), region))
            return fault(pair, "isn't a data centre and its region");
        const auto [known, isNew] = read.emplace(dataCentre, region);
        if (!isNew && known->second != region)
            return fault(pair, "names a second region of this data centre");
    }
    regions = std::move(read);
    return std::nullopt;
}

const std::array<Row, 22> rows = {{
    {"vm", "name", [](auto &value, auto &out) { return readIdentifier(value, out.vm_); }, always},
    {"vm", "data_centre",
     [](auto &value, auto &out) { return readIdentifier(value, out.dataCentre_); }, always},
    {"vm", "ip", [](auto &value, auto &out) { return readText(value, out.ip_); }, always},
    {"vm", "regions", [](auto &value, auto &out) { return readRegions(value, out.regions_); }},
    {"vm", "memory_mb",
     [](auto &value, auto &out) { return readDecimal(value, 16, 1e6, out.memoryMb_); }},
    {"listen", "callers",
     [](auto &value, auto &out) { return readEndpoint(value, out.callersListen_); }},
    {"listen", "readiness",
     [](auto &value, auto &out) { return readEndpoint(value, out.readinessListen_); }},
    {"listen", "peers",
     [](auto &value, auto &out) { return readEndpoint(value, out.peersListen_); }, always},
    {"listen", "metrics",
     [](auto &value, auto &out) { return readEndpoint(value, out.metricsListen_); }},
    {"platform", "store", [](auto &value, auto &out) { return readEndpoint(value, out.store_); },
     always},
    {"engine", "address", [](auto &value, auto &out) { return readEndpoint(value, out.engine_); }},
    {"engine", "service",
     [](auto &value, auto &out) { return readText(value, out.engineService_); }},
    {"bounds", "revoke",
     [](auto &value, auto &out) { return readDuration(value, 100ms, 1h, out.bounds_.revoke_); }},
    {"bounds", "drain",
     [](auto &value, auto &out) { return readDuration(value, 10ms, 1h, out.bounds_.drain_); }},
    {"bounds", "grace",
     [](auto &value, auto &out) { return readDuration(value, 100ms, 1h, out.bounds_.grace_); }},
    {"bounds", "adapter_version",
     [](auto &value, auto &out) { return readDuration(value, 100ms, 1h, out.bounds_.version_); }},
    {"bounds", "retry_share",
     [](auto &value, auto &out) { return readDecimal(value, 0, 10, out.bounds_.retryShare_); }},
    {"bounds", "retry_window",
     [](auto &value, auto &out) { return readDuration(value, 1s, 1h, out.bounds_.retryWindow_); }},
    {"bounds", "retry_slack",
     [](auto &value, auto &out) { return readDecimal(value, 0, 1e6, out.bounds_.retrySlack_); }},
    {"bounds", "evacuation",
     [](auto &value, auto &out) {
         Duration bound{};
         ValueResult refused = readDuration(value, 500ms, 1h, bound);
         if (!refused)
             out.bounds_.evacuation_ = bound;
         return refused;
     }},
    {"bounds", "allowance_window",
     [](auto &value, auto &out) {
         return readDuration(value, 100ms, 1h, out.bounds_.allowanceWindow_);
     }},
    {"bounds", "allowance_slack",
     [](auto &value, auto &out) {
         return readDecimal(value, 0, 1e9, out.bounds_.allowanceSlack_);
     }},
}};

} // namespace

Result<ServingSettings, std::vector<SettingsError>> parseServingSettings(const std::string &text,
                                                                         const std::string &file)
{
    ServingSettings settings;
    std::vector<SettingsError> faults = readSettings(text, file, rows, settings);
    if (!faults.empty())
        return faults;
    return settings;
}

Result<ServingSettings, std::vector<SettingsError>> readServingSettings(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        return std::vector<SettingsError>{
            {file, 0, "can't be read", "name a settings file that this user may read"}};
    }
    const std::string text((std::istreambuf_iterator<char>(stream)), {});
    return parseServingSettings(text, file);
}

std::string settingsFaultsText(const std::vector<SettingsError> &faults)
{
    std::string text;
    for (const SettingsError &fault : faults) {
        text +=
            fmt::format("{}:{}: {}; {}\n", fault.file_, fault.line_, fault.message_, fault.remedy_);
    }
    return text;
}

} // namespace eelgrasscove
