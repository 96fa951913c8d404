/// Measures the slopes of docs/CAPACITY.md, one section a run.

#include "sections.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <cstdio>

namespace {

constexpr char usage[] = R"(Measures one section of docs/CAPACITY.md and prints its table.

Usage:
  capacity SECTION [--processes N] [--adapters N] [--seeds N]

Sections: spread, faults, start, messages, fleet, rules, shares, budget.

Options:
  --processes N  Most processes in virtual time [default: 1720].
  --adapters N   Most adapters [default: 47000].
  --seeds N      Seeds for each row [default: 5].
)";

struct Section
{
    const char *name_;
    void (*measure_)(const eelgrasscove::capacity::SectionOptions &options);
};

constexpr Section sections[] = {
    {"spread", eelgrasscove::capacity::measureSpread},
    {"faults", eelgrasscove::capacity::measureSpreadFaults},
    {"start", eelgrasscove::capacity::measureStart},
    {"messages", eelgrasscove::capacity::measureMessages},
    {"fleet", eelgrasscove::capacity::measureFleet},
    {"rules", eelgrasscove::capacity::measureRules},
    {"shares", eelgrasscove::capacity::measureShares},
    {"budget", eelgrasscove::capacity::printBudget},
};

} // namespace

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    eelgrasscove::capacity::SectionOptions options;
    options.mostProcesses_ = static_cast<std::size_t>(arguments["--processes"].asLong());
    options.mostAdapters_ = static_cast<std::size_t>(arguments["--adapters"].asLong());
    options.seeds_ = static_cast<std::size_t>(arguments["--seeds"].asLong());
    for (const Section &section : sections) {
        if (arguments["SECTION"].asString() == section.name_) {
            section.measure_(options);
            return 0;
        }
    }
    fmt::print(stderr, "unknown section '{}'; see --help\n", arguments["SECTION"].asString());
    return 64;
}
