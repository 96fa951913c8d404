#include "Vm/settings.h"

#include "Observe/log.h"
#include "Vm/settingstable.h"
#include "Vm/sharedsettings.h"

#include <array>
#include <fmt/core.h>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;
using Row = SettingRow<Settings>;

constexpr std::uint32_t mostCount = 1000 * 1000;
constexpr std::uint32_t mostBytes = 1024 * 1024 * 1024;
constexpr std::string_view tcpScheme = "tcp://";

ValueResult readLogLevel(const std::string &value, std::string &level)
{
    LogLevel named = LogLevel::Info;
    ValueResult refused = readNamed(value, logLevelNames, named);
    if (!refused)
        level = value;
    return refused;
}

bool forEntry(const Settings &settings)
{
    return settings.vm_.role_ == Role::Entry;
}

bool forTarget(const Settings &settings)
{
    return settings.vm_.role_ == Role::Target;
}

const std::array<Row, 4> vmRows = {{
    {"vm", "role",
     [](auto &value, auto &out) { return readNamed(value, roleNames, out.vm_.role_); },
     always<Settings>},
    {"vm", "vm", [](auto &value, auto &out) { return readIdentifier(value, out.vm_.vm_.text_); },
     always<Settings>},
    {"vm", "region",
     [](auto &value, auto &out) { return readIdentifier(value, out.vm_.region_.text_); },
     always<Settings>},
    {"vm", "data_centre",
     [](auto &value, auto &out) { return readIdentifier(value, out.vm_.dataCentre_.text_); },
     always<Settings>},
}};

const std::array<Row, 4> linkRows = {{
    {"link", "listen",
     [](auto &value, auto &out) { return readUrl(value, tcpScheme, false, out.link_.listen_); },
     always<Settings>},
    {"link", "advertise",
     [](auto &value, auto &out) { return readUrl(value, tcpScheme, false, out.link_.advertise_); }},
    {"link", "peer_queue_messages",
     [](auto &value, auto &out) {
         return readNumber(value, 1, mostCount, out.link_.peerQueueMessages_);
     }},
    {"link", "heartbeat_period",
     [](auto &value, auto &out) {
         return readDuration(value, 10ms, 1min, out.link_.heartbeatPeriod_);
     }},
}};

const std::array<Row, 1> vmListRows = {{
    {"platform", "vm_list_period",
     [](auto &value, auto &out) {
         return readDuration(value, 10ms, 1h, out.platform_.vmListPeriod_);
     }},
}};

const std::array<Row, 8> callerRows = {{
    {"callers", "listen",
     [](auto &value, auto &out) { return readEndpoint(value, out.callers_.listen_); }, forEntry},
    {"callers", "connections",
     [](auto &value, auto &out) {
         return readNumber(value, 1, mostCount, out.callers_.connections_);
     }},
    {"callers", "header_bytes",
     [](auto &value, auto &out) {
         return readSize(value, 256, mostBytes, out.callers_.headerBytes_);
     }},
    {"callers", "body_bytes",
     [](auto &value, auto &out) { return readSize(value, 1, mostBytes, out.callers_.bodyBytes_); }},
    {"callers", "caller_timeout",
     [](auto &value, auto &out) {
         return readDuration(value, 10ms, 1h, out.callers_.callerTimeout_);
     }},
    {"callers", "request_timeout",
     [](auto &value, auto &out) {
         return readDuration(value, 10ms, 24h, out.callers_.requestTimeout_);
     }},
    {"callers", "requests",
     [](auto &value, auto &out) {
         return readNumber(value, 1, mostCount, out.callers_.requests_);
     }},
    {"callers", "default_max_tokens",
     [](auto &value, auto &out) {
         return readNumber(value, 1, mostCount, out.callers_.defaultMaxTokens_);
     }},
}};

const std::array<Row, 1> ruleRows = {{
    {"rules", "stale_after",
     [](auto &value, auto &out) {
         return readDuration(value, 100ms, 24 * 365h, out.rules_.staleAfter_);
     }},
}};

const std::array<Row, 11> targetRows = {{
    {"target", "group",
     [](auto &value, auto &out) { return readIdentifier(value, out.target_.group_.text_); },
     forTarget},
    {"target", "engine",
     [](auto &value, auto &out) { return readBool(value, out.target_.engine_); }},
    {"target", "url",
     [](auto &value, auto &out) { return readUrl(value, httpScheme, false, out.target_.url_); },
     forTarget},
    {"target", "adapter_slots",
     [](auto &value, auto &out) {
         return readNumber(value, 1, mostCount, out.target_.adapterSlots_);
     }},
    {"target", "batch_slots",
     [](auto &value, auto &out) {
         return readNumber(value, 1, mostCount, out.target_.batchSlots_);
     }},
    {"target", "queue",
     [](auto &value, auto &out) { return readNumber(value, 1, mostCount, out.target_.queue_); }},
    {"target", "answer_bytes",
     [](auto &value, auto &out) {
         return readSize(value, 1024, mostBytes, out.target_.answerBytes_);
     }},
    {"target", "loads_per_second",
     [](auto &value, auto &out) {
         return readDecimal(value, 0.001, 1000, out.target_.loadsPerSecond_);
     }},
    {"target", "loads_at_once",
     [](auto &value, auto &out) { return readNumber(value, 1, 1000, out.target_.loadsAtOnce_); }},
    {"target", "strikes",
     [](auto &value, auto &out) { return readNumber(value, 1, 1000, out.target_.strikes_); }},
    {"target", "strike_memory",
     [](auto &value, auto &out) {
         return readDuration(value, 1s, 24h, out.target_.strikeMemory_);
     }},
}};

const std::array<Row, 6> observeRows = {{
    {"observe", "log_level",
     [](auto &value, auto &out) { return readLogLevel(value, out.observe_.logLevel_); }},
    {"observe", "listen",
     [](auto &value, auto &out) { return readEndpoint(value, out.observe_.listen_); }},
    {"observe", "spans",
     [](auto &value, auto &out) { return readBool(value, out.observe_.spans_); }},
    {"observe", "collector",
     [](auto &value, auto &out) {
         return readUrl(value, httpScheme, false, out.observe_.collector_);
     }},
    {"stop", "announce",
     [](auto &value, auto &out) { return readDuration(value, 0s, 1h, out.stop_.announce_); }},
    {"stop", "graceful",
     [](auto &value, auto &out) { return readDuration(value, 0s, 24h, out.stop_.graceful_); }},
}};

std::vector<Row> allRows()
{
    std::vector<Row> rows;
    const auto add = [&rows](const auto &more) {
        rows.insert(rows.end(), more.begin(), more.end());
    };
    add(vmRows);
    add(linkRows);
    add(platformRows<Settings>());
    add(vmListRows);
    add(callerRows);
    add(keyRows<Settings>(forEntry));
    add(ruleRows);
    add(targetRows);
    add(observeRows);
    return rows;
}

} // namespace

Result<Settings, std::vector<SettingsError>> parseSettings(const std::string &text,
                                                           const std::string &file)
{
    Settings settings;
    std::vector<SettingsError> errors = readSettings(text, file, allRows(), settings);
    if (!errors.empty())
        return errors;
    if (settings.link_.advertise_.empty())
        settings.link_.advertise_ = settings.link_.listen_;
    return settings;
}

std::string describeSettingsErrors(const std::vector<SettingsError> &errors)
{
    std::string text;
    for (const SettingsError &error : errors) {
        const std::string line = error.line_ == 0 ? "" : fmt::format("{}:", error.line_);
        text += fmt::format("{}:{} {}; {}\n", error.file_, line, error.message_, error.remedy_);
    }
    return text;
}

} // namespace eelgrasscove
