#include "Vm/daemon.h"

#include "Caller/entryprocess.h"
#include "Observe/log.h"
#include "Observe/spanexporter.h"
#include "Observe/trace.h"
#include "Target/targetprocess.h"
#include "Vm/exitcode.h"
#include "Vm/settings.h"
#include "Vm/stopsignal.h"

#include <docopt/docopt.h>
#include <fmt/core.h>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace eelgrasscove {

namespace {

constexpr const char *usage = R"(eelgrasscoved serves one role of eelgrasscove on this VM.

Usage:
  eelgrasscoved --settings FILE [--check-settings]
  eelgrasscoved --help
  eelgrasscoved --version

Options:
  --settings FILE   The INI file of this process; see docs/OPERATING.md.
  --check-settings  Check the file, say what is wrong with it, and exit.
  --help            Show this text.
  --version         Show the version.

Exit codes: 0 stopped as asked; 2 wrong command line or settings; 3 an address
can't be had; 4 the graceful stop was cut short.
)";

constexpr const char *version = "eelgrasscoved 0.1.0";

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

LogLevel logLevelFrom(const std::string &name)
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warning")
        return LogLevel::Warning;
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

/// The checked settings; empty where they were faulty, which has then been said.
std::optional<Settings> loadSettings(const std::string &path)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        fmt::print(stderr, "{}: can't be read; name a readable file with --settings\n", path);
        return std::nullopt;
    }
    Result<Settings, std::vector<SettingsError>> settings = parseSettings(*text, path);
    if (!ok(settings)) {
        fmt::print(stderr, "{}", describeSettingsErrors(errorOf(settings)));
        return std::nullopt;
    }
    return valueOf(std::move(settings));
}

int runRole(const Settings &settings)
{
    configureLog(settings.vm_.vm_.text_, logLevelFrom(settings.observe_.logLevel_));
    StopSignal &stop = installStopSignal();
    SpanExporter exporter(settings.observe_.collector_);
    configureTrace(settings.vm_.vm_.text_, settings.observe_.spans_, exporter.sink());
    exporter.start();
    const int code = settings.vm_.role_ == Role::Entry ? runEntryProcess(settings, stop)
                                                       : runTargetProcess(settings, stop);
    if (code == ExitStopped)
        exporter.flushAndStop();
    return code;
}

} // namespace

int runDaemon(int argc, const char *const *argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(usage, words, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        fmt::print("{}", usage);
        return ExitStopped;
    } catch (const docopt::DocoptExitVersion &) {
        fmt::print("{}\n", version);
        return ExitStopped;
    } catch (const std::exception &error) {
        fmt::print(stderr, "the command line doesn't fit: {}; see eelgrasscoved --help\n",
                   error.what());
        return ExitUsage;
    }
    const std::optional<Settings> settings = loadSettings(arguments.at("--settings").asString());
    if (!settings)
        return ExitUsage;
    if (arguments.at("--check-settings").asBool())
        return ExitStopped;
    return runRole(*settings);
}

} // namespace eelgrasscove
