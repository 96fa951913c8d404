#include "Vm/servingprogram.h"

#include "Observe/buildidentity.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "Vm/exitcode.h"

#include <docopt/docopt.h>
#include <map>
#include <vector>

namespace eelgrasscove {

namespace {

constexpr const char *usage = R"(Usage:
  {0} [--check-settings] FILE
  {0} --help
  {0} --version

Options:
  --check-settings  Check the settings in FILE, say what is wrong, and exit.
  --help            Show this text.
  --version         Show the version and the identity of the build.

Exit codes: 0 stopped as asked; 2 wrong command line or settings; 3 an address
can't be had.
)";

} // namespace

int runServingProgram(const std::string &name, int argc, char **argv, const StartServing &start)
{
    const std::string text = fmt::format(fmt::runtime(usage), name);
    std::map<std::string, docopt::value> options;
    try {
        options = docopt::docopt_parse(text, {argv + 1, argv + argc}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        fmt::print("{}", text);
        return ExitStopped;
    } catch (const docopt::DocoptExitVersion &) {
        fmt::print("{} {}\n", name, versionText());
        return ExitStopped;
    } catch (const docopt::DocoptArgumentError &) {
        fmt::print(stderr, "{}", text);
        return ExitUsage;
    }
    const std::string file = options["FILE"].asString();
    const Result<ServingSettings, std::vector<SettingsError>> settings = readServingSettings(file);
    if (!ok(settings)) {
        fmt::print(stderr, "{}", settingsFaultsText(errorOf(settings)));
        return ExitUsage;
    }
    if (options["--check-settings"].asBool())
        return ExitStopped;
    eventLog().open(valueOf(settings).vm_);
    setGauge("eelgrasscove_build_info", metricLabel("build", buildIdentity()), 1);
    EventLoop loop;
    const std::shared_ptr<void> parts = start(loop, valueOf(settings), file);
    if (parts)
        loop.run();
    eventLog().flush();
    return parts ? ExitStopped : ExitAddress;
}

} // namespace eelgrasscove
