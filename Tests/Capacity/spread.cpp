#include "ruledistributionsim.h"
#include "sections.h"
#include "topologies.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>

namespace eelgrasscove::capacity {

namespace {

using sim::RuleDistributionSim;
using sim::SimOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t routes = 100;
/// Heartbeats of the large size.
constexpr Duration heartbeatPeriod = seconds(2);

struct Way
{
    const char *name_;
    PushChoice choice_;
};

constexpr Way ways[] = {
    {"tree by data centre", treePushPeers},
    {"flat tree", flatTreePushTargets},
    {"random peers", randomPushTargets},
    {"small world", smallWorldPushTargets},
};

std::vector<std::size_t> sizesUpTo(std::size_t most)
{
    std::vector<std::size_t> sizes = {10, 50, 100, 200, 400, 860, 1720};
    std::erase_if(sizes, [most](std::size_t size) { return size > most; });
    return sizes;
}

RuleDistributionSim settled(const SimOptions &options)
{
    RuleDistributionSim spreadSim(options);
    for (std::size_t process = 0; process < options.processes_; ++process)
        spreadSim.start(process);
    spreadSim.preload(sim::rulesText(routes, 0));
    spreadSim.runFor(seconds(1));
    spreadSim.resetCounts();
    return spreadSim;
}

double millis(Duration span)
{
    return static_cast<double>(span.count()) / 1000;
}

/// Time from the accept to the last process that holds it.
Duration lastReached(RuleDistributionSim &spreadSim, Time accepted)
{
    Time last = accepted;
    for (const sim::SimProcess &process : spreadSim.processes())
        last = std::max(last, process.newestRevisionAt_.value_or(accepted));
    return last - accepted;
}

struct SpreadRow
{
    double messages_ = 0;
    double across_ = 0;
    double bytes_ = 0;
    double busiestBytes_ = 0;
    double last_ = 0;
    double reached_ = 0;
};

void addRow(SpreadRow &sum, RuleDistributionSim &spreadSim, Time accepted)
{
    double busiest = 0;
    for (const sim::SimProcess &process : spreadSim.processes())
        busiest = std::max(busiest, static_cast<double>(process.bytesIn_ + process.bytesOut_));
    sum.messages_ += static_cast<double>(spreadSim.counts().messages_);
    sum.across_ += static_cast<double>(spreadSim.counts().crossDataCentreMessages_);
    sum.bytes_ += static_cast<double>(spreadSim.counts().bytes_);
    sum.busiestBytes_ = std::max(sum.busiestBytes_, busiest);
    sum.last_ = std::max(sum.last_, millis(lastReached(spreadSim, accepted)));
    sum.reached_ += static_cast<double>(spreadSim.countHolders(spreadSim.newestRevision()));
}

/// Pushes alone, so that the ways are compared without the anti-entropy that mends them.
SpreadRow pushesAlone(std::size_t size, const Way &way, double loss, std::size_t seeds)
{
    SpreadRow sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SimOptions options;
        options.processes_ = size;
        options.hasHeartbeats_ = false;
        options.tickPeriod_ = seconds(20);
        options.notifiedWatchers_ = 1;
        options.seed_ = seed;
        options.policy_.pushChoice_ = way.choice_;
        RuleDistributionSim spreadSim = settled(options);
        spreadSim.setLoss(loss);
        const Time accepted = spreadSim.now();
        spreadSim.publishRevision(sim::rulesText(routes, 1));
        spreadSim.runFor(seconds(3));
        addRow(sum, spreadSim, accepted);
    }
    return sum;
}

struct FaultCase
{
    const char *name_;
    double loss_;
    bool outage_;
};

constexpr FaultCase faultCases[] = {
    {"none", 0, false},
    {"5% of messages lost", 0.05, false},
    {"20% of messages lost", 0.2, false},
    {"platform down, one watcher told", 0, true},
    {"the same with 5% lost", 0.05, true},
};

SpreadRow withAntiEntropy(std::size_t size, const FaultCase &fault, std::size_t seeds)
{
    SpreadRow sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SimOptions options;
        options.processes_ = size;
        options.heartbeatPeriod_ = heartbeatPeriod;
        options.hasSparseHeartbeats_ = true;
        options.seed_ = seed;
        options.notifiedWatchers_ = fault.outage_ ? 1 : SIZE_MAX;
        RuleDistributionSim spreadSim = settled(options);
        spreadSim.setLoss(fault.loss_);
        const Time accepted = spreadSim.now();
        spreadSim.publishRevision(sim::rulesText(routes, 1));
        spreadSim.runUntilAllHoldNewest(seconds(60));
        addRow(sum, spreadSim, accepted);
    }
    return sum;
}

/// A region loses all others and the platform for an hour, with a change every 43 s. The time is
/// that from the healing to the last process.
void printCutThatHeals(std::size_t size)
{
    SimOptions options;
    options.processes_ = size;
    options.heartbeatPeriod_ = heartbeatPeriod;
    options.hasSparseHeartbeats_ = true;
    options.tickPeriod_ = seconds(1);
    RuleDistributionSim spreadSim = settled(options);
    for (std::size_t dataCentre = 0; dataCentre < options.dataCentres_; ++dataCentre) {
        if (spreadSim.regionOf(dataCentre) == 0)
            spreadSim.setDataCentrePartitioned(dataCentre, true);
    }
    for (std::uint64_t change = 1; change <= 83; ++change) {
        spreadSim.publishRevision(sim::rulesText(routes, change));
        spreadSim.runFor(seconds(43));
    }
    const std::size_t cutOff = size - spreadSim.countHolders(spreadSim.newestRevision());
    spreadSim.resetCounts();
    for (std::size_t dataCentre = 0; dataCentre < options.dataCentres_; ++dataCentre)
        spreadSim.setDataCentrePartitioned(dataCentre, false);
    const Time healed = spreadSim.now();
    const bool all = spreadSim.runUntilAllHoldNewest(seconds(60));
    fmt::print("| region 1 of 5 cut off for an hour, 83 changes | {} | {} of {} behind | {:.0f} "
               "after the heal{} | {} | {:.0f} | {} |\n",
               size, cutOff, size, millis(spreadSim.now() - healed), all ? "" : " (not all)",
               spreadSim.counts().messages_, static_cast<double>(spreadSim.counts().bytes_) / 1000,
               spreadSim.counts().platformReads_);
}

} // namespace

void measureSpread(const SectionOptions &options)
{
    fmt::print("| way | loss | processes | reached by pushes alone | last, ms | messages | across "
               "data centres | KB in all | busiest process, KB |\n");
    fmt::print("|---|---|---|---|---|---|---|---|---|\n");
    const auto seeds = static_cast<double>(options.seeds_);
    for (const double loss : {0.0, 0.05}) {
        for (const Way &way : ways) {
            for (const std::size_t size : sizesUpTo(options.mostProcesses_)) {
                const SpreadRow row = pushesAlone(size, way, loss, options.seeds_);
                fmt::print("| {} | {:.0f}% | {} | {:.1f}% | {:.0f} | {:.0f} | {:.0f} | {:.0f} | "
                           "{:.1f} |\n",
                           way.name_, loss * 100, size,
                           100 * row.reached_ / seeds / static_cast<double>(size), row.last_,
                           row.messages_ / seeds, row.across_ / seeds, row.bytes_ / seeds / 1000,
                           row.busiestBytes_ / 1000);
            }
        }
    }
}

void measureSpreadFaults(const SectionOptions &options)
{
    fmt::print("| fault | processes | have it | last, ms | messages | KB | platform calls |\n");
    fmt::print("|---|---|---|---|---|---|---|\n");
    const auto seeds = static_cast<double>(options.seeds_);
    for (const FaultCase &fault : faultCases) {
        for (const std::size_t size : sizesUpTo(options.mostProcesses_)) {
            const SpreadRow row = withAntiEntropy(size, fault, options.seeds_);
            fmt::print("| {} | {} | {:.1f}% | {:.0f} | {:.0f} | {:.0f} | 0 |\n", fault.name_, size,
                       100 * row.reached_ / seeds / static_cast<double>(size), row.last_,
                       row.messages_ / seeds, row.bytes_ / seeds / 1000);
        }
    }
    for (const std::size_t size : {std::size_t(50), std::size_t(200)})
        printCutThatHeals(size);
}

void measureStart(const SectionOptions &options)
{
    fmt::print("| processes | platform | all have rules after, s | platform calls | most in one "
               "second | calls a process |\n|---|---|---|---|---|---|\n");
    for (const bool up : {true, false}) {
        for (const std::size_t size : sizesUpTo(options.mostProcesses_)) {
            SimOptions simOptions;
            simOptions.processes_ = size;
            simOptions.heartbeatPeriod_ = heartbeatPeriod;
            simOptions.hasSparseHeartbeats_ = true;
            RuleDistributionSim spreadSim(simOptions);
            spreadSim.publishRevision(sim::rulesText(routes, 1));
            spreadSim.setPlatformUp(up);
            const Time started = spreadSim.now();
            for (std::size_t process = 0; process < size; ++process)
                spreadSim.start(process);
            if (!up) {
                spreadSim.runFor(seconds(60));
                spreadSim.setPlatformUp(true);
            }
            const bool all = spreadSim.runUntilAllHoldNewest(seconds(120));
            const auto calls = static_cast<double>(spreadSim.counts().platformReads_);
            fmt::print("| {} | {} | {:.1f}{} | {:.0f} | {} | {:.2f} |\n", size,
                       up ? "up" : "down for the first 60 s",
                       millis(spreadSim.now() - started) / 1000, all ? "" : " (not all)", calls,
                       spreadSim.counts().maxPlatformReadsPerSecond_,
                       calls / static_cast<double>(size));
        }
    }
}

} // namespace eelgrasscove::capacity
