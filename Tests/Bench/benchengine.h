#pragma once

/// A small fake of a model engine behind the target scheduler's interface, and of the weight store
/// that all engines share.

#include "workload.h"

#include "Target/engineevents.h"

#include <cstdint>
#include <map>
#include <vector>

namespace eelgrasscove {

/// One token of each running request.
constexpr Duration benchStep = std::chrono::milliseconds(30);
constexpr Duration benchLoadTime = std::chrono::milliseconds(250);
/// Loads in flight beyond so many take proportionally longer.
constexpr double benchLoadsAtFullSpeed = 16;
/// Loads that the weight store starts without regard to its rate.
constexpr std::int64_t benchLoadsAtOnce = 2;
/// Prompt tokens that an engine reads in a second.
constexpr std::int64_t benchPromptTokensPerSecond = 8000;

struct WeightStore
{
    double loadsPerSecond_ = 1;
    /// When the next load may start by the rate alone.
    Time nextStart_ = benchStart;
    std::uint32_t inFlight_ = 0;
};

/// When a load that is ordered now ends.
Time orderLoad(WeightStore &store, Time now);

/// Time from a request's start to its first token.
Duration promptTime(std::int64_t promptTokens);

struct BenchEngine
{
    std::uint32_t incarnation_ = 1;
    std::vector<AdapterKey> adapters_;
    std::map<AttemptId, EngineRun> running_;
    /// For the batch measures, in microseconds.
    Time countedAt_ = benchStart;
    std::int64_t runningTime_ = 0;
    std::int64_t busyTime_ = 0;
};

EngineState stateOf(const BenchEngine &engine);
void startRun(BenchEngine &engine, const StartRun &start, Time now);
void endRun(BenchEngine &engine, const AttemptId &attempt, Time now);

/// Forgets adapters and runs; gives the runs that broke off.
std::vector<AttemptId> restart(BenchEngine &engine, Time now);

} // namespace eelgrasscove
