#pragma once

/// The two deployments' traffic, seeded: skewed popularity that shifts half way, a few large
/// accounts, one of them above its rate for a while, callers that keep to their entry.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/nametable.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasscove {

constexpr Time benchStart = Time(std::chrono::hours(1));

/// What fails during a run.
enum class BenchFault {
    None,
    /// One engine after the other restarts without its adapters and runs.
    EngineRestarts,
    /// The first data centre goes with its entry and its targets.
    DataCentreLost,
    /// Shares stay as they are, and an entry is replaced that so gets none until it is over.
    PlatformOutage,
};

constexpr NameTable<BenchFault, 4> benchFaultNames = {{
    {BenchFault::None, "none"},
    {BenchFault::EngineRestarts, "engine restarts"},
    {BenchFault::DataCentreLost, "data centre lost"},
    {BenchFault::PlatformOutage, "platform outage"},
}};

struct Workload
{
    std::string name_;
    BenchFault fault_ = BenchFault::None;
    std::uint32_t dataCentres_ = 1;
    std::uint32_t runners_ = 1;
    std::uint32_t entries_ = 3;
    std::uint32_t adapters_ = 3000;
    std::uint32_t adapterSlots_ = 8;
    std::uint32_t batchSlots_ = 16;
    double loadsPerSecond_ = 1;
    double requestsPerSecond_ = 1;
    double zipfExponent_ = 1.1;
    /// Part of the requests that are long summaries.
    double batchPart_ = 0;
    Duration length_ = std::chrono::seconds(300);
    /// Contracts are so many times what the accounts ask for on average.
    double contractFactor_ = 1.3;
    Duration burstLength_ = std::chrono::seconds(30);
};

Workload associationWorkload();
Workload cooperativeWorkload();

constexpr std::uint32_t benchAccounts = 5;

struct BenchRequest
{
    Time at_;
    std::uint32_t entry_ = 0;
    std::uint32_t account_ = 0;
    std::uint32_t adapter_ = 0;
    std::int64_t promptTokens_ = 0;
    std::int64_t outputTokens_ = 0;
    std::int64_t maxTokens_ = 0;
    Priority priority_ = Priority::Interactive;
    /// Sent above the account's usual traffic.
    bool excess_ = false;
};

/// The requests in the order of their times.
std::vector<BenchRequest> makeRequests(const Workload &workload, std::uint64_t seed);

/// Tokens a second that each account's contract allows.
std::vector<std::int64_t> contractRates(const Workload &workload,
                                        const std::vector<BenchRequest> &requests);

/// The chance of each adapter to be asked for, up to a factor.
struct Popularity
{
    std::vector<double> before_;
    /// From the shift on.
    std::vector<double> after_;
};

/// What the requests of this seed are drawn from.
Popularity popularityOf(const Workload &workload, std::uint64_t seed);

/// Whether popularity has shifted by then.
bool isAfterShift(const Workload &workload, Time time);

} // namespace eelgrasscove
