#pragma once

/// A process's settings, read from one INI file and checked whole before anything starts.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/result.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasscove {

/// [vm]: who the process is, and where.
struct VmSettings
{
    Role role_ = Role::Entry;
    VmName vm_;
    RegionName region_;
    DataCentreName dataCentre_;
};

/// [link]: how the system's processes reach each other.
struct LinkSettings
{
    /// Where this process receives, for example "tcp://127.0.0.1:7401".
    std::string listen_;
    /// Where peers reach it; the same as listen_ where the setting is absent.
    std::string advertise_;
    /// Messages held for one peer that can't take them yet.
    std::uint32_t peerQueueMessages_ = 4096;
    Duration heartbeatPeriod_ = std::chrono::milliseconds(250);
};

/// [platform]: the key-value service and the VM list.
struct PlatformSettings
{
    /// "http://127.0.0.1:2379"
    std::string keyValueUrl_;
    /// "http://127.0.0.1:2379/vms"
    std::string vmListUrl_;
    /// Keys of this system begin with it.
    std::string prefix_ = "/eelgrasscove/";
    Duration callTimeout_ = std::chrono::seconds(2);
    Duration vmListPeriod_ = std::chrono::seconds(1);
};

/// [callers]: the HTTP front of an entry.
struct CallerSettings
{
    /// "127.0.0.1:8080"
    std::string listen_;
    std::uint32_t connections_ = 10000;
    std::uint32_t headerBytes_ = 16 * 1024;
    std::uint32_t bodyBytes_ = 1024 * 1024;
    /// Time a caller has for its header, its body, and to take the next part of an answer.
    Duration callerTimeout_ = std::chrono::seconds(30);
    /// Time a request may take as a whole.
    Duration requestTimeout_ = std::chrono::seconds(120);
    /// Requests in hand at one entry.
    std::uint32_t requests_ = 4096;
    /// Generated tokens reserved where a request doesn't state max_tokens.
    std::uint32_t defaultMaxTokens_ = 256;
};

/// [keys]: how keys are turned into digests.
struct KeySettings
{
    /// Secret of the keyed digest, the same on all entries and for the operators' tool.
    std::string digestSecret_;
};

/// [rules]: how long a process goes on without news of the rules.
struct RulesSettings
{
    /// Keyed routes stop being served after so long without any source of rules.
    Duration staleAfter_ = std::chrono::hours(4);
};

/// [target]: the target beside a target process.
struct TargetSettings
{
    TargetGroup group_;
    /// True for a model engine, false for a plain service.
    bool engine_ = true;
    /// "http://127.0.0.1:9001"
    std::string url_;
    /// Adapters that fit the engine at a time.
    std::uint32_t adapterSlots_ = 8;
    /// Requests that the target runs at a time.
    std::uint32_t batchSlots_ = 16;
    std::uint32_t queue_ = 256;
    /// Answer bytes kept for an entry that may have to resume.
    std::uint32_t answerBytes_ = 4 * 1024 * 1024;
    /// Adapter loads this process may start, per second and at once.
    double loadsPerSecond_ = 1.0;
    std::uint32_t loadsAtOnce_ = 1;
    /// Crashes after which a request that was running at each is refused, and for how long.
    std::uint32_t strikes_ = 2;
    Duration strikeMemory_ = std::chrono::minutes(10);
};

/// [observe]: logs and traces.
struct ObserveSettings
{
    std::string logLevel_ = "info";
    /// "127.0.0.1:9901" for /healthz, /readyz, /metrics and /status; an entry serves them on its
    /// callers' address too.
    std::string listen_;
    /// Spans go to standard error where true.
    bool spans_ = false;
    /// "http://127.0.0.1:4318": spans are sent there; nowhere where empty.
    std::string collector_;
};

/// [stop]: graceful shutdown.
struct StopSettings
{
    /// Time for running requests to finish after SIGTERM.
    Duration graceful_ = std::chrono::seconds(150);
    /// Time after SIGTERM in which an entry is unready but still serves, so that the platform's
    /// balancer can turn away from it first.
    Duration announce_ = std::chrono::seconds(3);
};

struct Settings
{
    VmSettings vm_;
    LinkSettings link_;
    PlatformSettings platform_;
    CallerSettings callers_;
    KeySettings keys_;
    RulesSettings rules_;
    TargetSettings target_;
    ObserveSettings observe_;
    StopSettings stop_;
};

/// One fault of a settings file, with what to do about it.
struct SettingsError
{
    std::string file_;
    /// Counted from 1; 0 where the fault has no line, such as a missing key.
    std::uint32_t line_ = 0;
    std::string message_;
    std::string remedy_;
};

/// Reads the whole text and reports all faults at once. Keys are "snake_case = value"; durations
/// carry a unit (us, ms, s, m, h) and sizes may (KB, MB; 1 KB = 1024 bytes).
Result<Settings, std::vector<SettingsError>> parseSettings(const std::string &text,
                                                           const std::string &file);

/// "file:line: message; remedy" for each error, a line each.
std::string describeSettingsErrors(const std::vector<SettingsError> &errors);

} // namespace eelgrasscove
