/// Runs every workload with every policy over several seeds and prints a table for each workload.

#include "measures.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <functional>
#include <optional>
#include <thread>
#include <vector>

using namespace eelgrasscove;

namespace {

constexpr char usage[] = R"(The decisions in virtual time, measured.

Usage:
  bench [--seeds=N] [--policy=NAME] [--threads=N] [--fault=NAME] [--exponent=X] [--variants]
  bench --help

Options:
  --seeds=N  Seeds 1 to N for each policy [default: 10].
  --policy=NAME  Only this policy.
  --threads=N  Runs at a time [default: 4].
  --fault=NAME  What fails: "engine restarts", "data centre lost" or "platform outage".
  --exponent=X  Of the popularity's Zipf distribution [default: 1.1].
  --variants  A row for each fault and several exponents, with the chosen policy.
)";

struct Options
{
    std::uint64_t seeds_ = 0;
    std::uint64_t threads_ = 0;
    /// All where it is empty.
    std::optional<BenchPolicy> policy_;
    BenchFault fault_ = BenchFault::None;
    double exponent_ = 0;
    bool variants_ = false;
};

using Field = double Measures::*;
using Reading = std::function<double(const Measures &)>;

struct Column
{
    const char *title_;
    Field field_;
    int digits_;
};

constexpr Column columns[] = {
    {"stalled %", &Measures::stalledPercent_, 1},
    {"stall p50 ms", &Measures::stallP50Millis_, 0},
    {"p95 ms", &Measures::stallP95Millis_, 0},
    {"p99 ms", &Measures::stallP99Millis_, 0},
    {"batch %", &Measures::batchPercent_, 1},
    {"tokens/step", &Measures::tokensPerStep_, 2},
    {"worst served %", &Measures::worstServedPercent_, 1},
    {"worst/median first token", &Measures::worstFirstTokenRatio_, 2},
    {"wrongful %", &Measures::wrongfulPercent_, 2},
    {"wrongful within rate %", &Measures::wrongfulWithinPercent_, 2},
    {"first token p95 ms", &Measures::firstTokenP95Millis_, 0},
    {"loads/request", &Measures::loadsPerRequest_, 3},
};

/// "mean (least to greatest)".
std::string cell(const std::vector<Measures> &runs, const Reading &reading, int digits)
{
    double sum = 0;
    double least = reading(runs.front());
    double greatest = least;
    for (const Measures &run : runs) {
        const double value = reading(run);
        sum += value;
        least = std::min(least, value);
        greatest = std::max(greatest, value);
    }
    return fmt::format("{:.{}f} ({:.{}f} to {:.{}f})", sum / static_cast<double>(runs.size()),
                       digits, least, digits, greatest, digits);
}

void printBound(std::string_view name, const std::vector<Measures> &runs,
                BoundMeasures Measures::*bound)
{
    const auto read = [bound](double BoundMeasures::*field) {
        return [bound, field](const Measures &run) { return run.*bound.*field; };
    };
    fmt::print("| {} | {} | {} | {} |\n", name,
               cell(runs, read(&BoundMeasures::stalledPercent_), 1),
               cell(runs, read(&BoundMeasures::firstTokenP95Millis_), 0),
               cell(runs, read(&BoundMeasures::latePercent_), 1));
}

void printBounds(const std::vector<Measures> &runs)
{
    fmt::print("\n| perfect fleet | stalled % | first token p95 ms | late at best % |\n"
               "|---|---|---|---|\n");
    printBound("clairvoyant, all requests", runs, &Measures::clairvoyant_);
    printBound("clairvoyant, entitled ones", runs, &Measures::clairvoyantEntitled_);
    printBound("informed online, all requests", runs, &Measures::informed_);
    printBound("informed online, entitled ones", runs, &Measures::informedEntitled_);
    fmt::print("\nFirst requests for an adapter, % of all: {}\n",
               cell(runs, &Measures::firstRequestsPercent_, 1));
}

void printRow(std::string_view name, const std::vector<Measures> &runs)
{
    fmt::print("| {} |", name);
    for (const Column &column : columns)
        fmt::print(" {} |", cell(runs, column.field_, column.digits_));
    fmt::print("\n");
    std::fflush(stdout);
}

void printHead(const Workload &workload, std::uint64_t seeds, const char *rows)
{
    fmt::print("\n### {}, seeds 1 to {}\n\n| {} |", workload.name_, seeds, rows);
    for (const Column &column : columns)
        fmt::print(" {} |", column.title_);
    fmt::print("\n|---|");
    for (std::size_t column = 0; column < std::size(columns); ++column)
        fmt::print("---|");
    fmt::print("\n");
}

std::vector<Measures> measureSeeds(const Workload &workload, BenchPolicy policy,
                                   const Options &options)
{
    std::vector<Measures> runs(options.seeds_);
    std::atomic<std::uint64_t> next = 0;
    std::vector<std::thread> workers;
    for (std::uint64_t worker = 0; worker < options.threads_; ++worker) {
        workers.emplace_back([&]() {
            for (std::uint64_t index = next++; index < options.seeds_; index = next++)
                runs[index] = measure(runBench(workload, policy, index + 1));
        });
    }
    for (std::thread &worker : workers)
        worker.join();
    return runs;
}

void printWorkload(const Workload &workload, const Options &options)
{
    printHead(workload, options.seeds_, "policy");
    std::vector<Measures> runs;
    for (const auto &policy : benchPolicyNames) {
        if (options.policy_ && *options.policy_ != policy.value_)
            continue;
        runs = measureSeeds(workload, policy.value_, options);
        printRow(policy.name_, runs);
    }
    printBounds(runs);
}

/// The perfect fleets' stalls, for a workload whose popularity is another.
void printStallBounds(std::string_view name, const std::vector<Measures> &runs)
{
    const auto clairvoyant = [](const Measures &run) { return run.clairvoyant_.stalledPercent_; };
    const auto informed = [](const Measures &run) { return run.informed_.stalledPercent_; };
    fmt::print("{}: stalled % clairvoyant {}, informed online {}\n", name,
               cell(runs, clairvoyant, 1), cell(runs, informed, 1));
}

void printVariants(const Workload &workload, const Options &options)
{
    printHead(workload, options.seeds_, "variant");
    for (const auto &fault : benchFaultNames) {
        Workload variant = workload;
        variant.fault_ = fault.value_;
        printRow(fault.name_, measureSeeds(variant, BenchPolicy::Chosen, options));
    }
    std::vector<std::string> names;
    std::vector<std::vector<Measures>> runs;
    for (const double exponent : {0.8, 1.1, 1.4}) {
        Workload variant = workload;
        variant.zipfExponent_ = exponent;
        names.push_back(fmt::format("exponent {}", exponent));
        runs.push_back(measureSeeds(variant, BenchPolicy::Chosen, options));
        printRow(names.back(), runs.back());
    }
    fmt::print("\n");
    for (std::size_t variant = 0; variant < runs.size(); ++variant)
        printStallBounds(names[variant], runs[variant]);
}

void printAll(Workload workload, const Options &options)
{
    workload.fault_ = options.fault_;
    workload.zipfExponent_ = options.exponent_;
    if (options.variants_)
        printVariants(workload, options);
    else
        printWorkload(workload, options);
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    Options options;
    options.seeds_ = static_cast<std::uint64_t>(arguments.at("--seeds").asLong());
    options.threads_ = static_cast<std::uint64_t>(arguments.at("--threads").asLong());
    if (arguments.at("--policy").isString()) {
        options.policy_ = valueNamed(benchPolicyNames, arguments.at("--policy").asString());
        if (!options.policy_) {
            fmt::print(stderr, "no policy of this name\n");
            return 2;
        }
    }
    if (arguments.at("--fault").isString()) {
        const auto fault = valueNamed(benchFaultNames, arguments.at("--fault").asString());
        if (!fault) {
            fmt::print(stderr, "no fault of this name\n");
            return 2;
        }
        options.fault_ = *fault;
    }
    options.exponent_ = std::stod(arguments.at("--exponent").asString());
    options.variants_ = arguments.at("--variants").asBool();
    printAll(associationWorkload(), options);
    printAll(cooperativeWorkload(), options);
    return 0;
}
