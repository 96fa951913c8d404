#pragma once

/// One run of a workload through the product's own decisions (admission, loans, waiting, routing,
/// the doors of the targets) in virtual time, with fakes only for the engines, the weight store
/// and the links.

#include "bounds.h"

#include <eelgrasscove/nametable.h>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasscove {

/// What is compared.
enum class BenchPolicy {
    Chosen,
    RoundRobin,
    LeastLoaded,
    PlainHash,
    BoundedHash,
    StaticSplit,
};

constexpr NameTable<BenchPolicy, 6> benchPolicyNames = {{
    {BenchPolicy::Chosen, "chosen"},
    {BenchPolicy::RoundRobin, "round robin"},
    {BenchPolicy::LeastLoaded, "least loaded"},
    {BenchPolicy::PlainHash, "plain hashing"},
    {BenchPolicy::BoundedHash, "hash, bounded load"},
    {BenchPolicy::StaticSplit, "static split"},
}};

/// What became of one request.
struct RequestOutcome
{
    bool admitted_ = false;
    /// A perfect bucket for the whole fleet, with the same contract, admits it.
    bool entitled_ = false;
    bool refusedByTarget_ = false;
    bool finished_ = false;
    /// It waited at its target for a load.
    bool stalled_ = false;
    Time queuedAt_;
    /// When its adapter was there, if it had to be waited for.
    Time loadedAt_;
    Time firstTokenAt_;
};

struct BenchRun
{
    std::vector<BenchRequest> requests_;
    std::vector<RequestOutcome> outcomes_;
    std::int64_t loads_ = 0;
    FleetBounds bounds_;
    /// The same for the entitled requests alone.
    FleetBounds entitledBounds_;
    /// Over all engines, in microseconds.
    std::int64_t runningTime_ = 0;
    std::int64_t busyTime_ = 0;
    std::uint32_t batchSlots_ = 1;
};

BenchRun runBench(const Workload &workload, BenchPolicy policy, std::uint64_t seed);

} // namespace eelgrasscove
