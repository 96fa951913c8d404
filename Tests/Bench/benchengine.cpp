#include "benchengine.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

void countTime(BenchEngine &engine, Time now)
{
    const std::int64_t micros = (now - engine.countedAt_).count();
    engine.runningTime_ += micros * static_cast<std::int64_t>(engine.running_.size());
    engine.busyTime_ += engine.running_.empty() ? 0 : micros;
    engine.countedAt_ = now;
}

} // namespace

Time orderLoad(WeightStore &store, Time now)
{
    const Duration spacing = Duration(static_cast<std::int64_t>(1e6 / store.loadsPerSecond_));
    const Time earliest = now - spacing * (benchLoadsAtOnce - 1);
    store.nextStart_ = std::max(store.nextStart_, earliest);
    const Time begin = std::max(now, store.nextStart_);
    store.nextStart_ += spacing;
    ++store.inFlight_;
    const double slowdown = std::max(1.0, store.inFlight_ / benchLoadsAtFullSpeed);
    const double micros = static_cast<double>(benchLoadTime.count()) * slowdown;
    return begin + Duration(static_cast<std::int64_t>(micros));
}

Duration promptTime(std::int64_t promptTokens)
{
    return Duration(promptTokens * 1'000'000 / benchPromptTokensPerSecond);
}

EngineState stateOf(const BenchEngine &engine)
{
    EngineState state;
    state.incarnation_ = {engine.incarnation_};
    state.adapters_ = engine.adapters_;
    for (const auto &[attempt, run] : engine.running_)
        state.running_.push_back(run);
    return state;
}

void startRun(BenchEngine &engine, const StartRun &start, Time now)
{
    countTime(engine, now);
    engine.running_[start.attempt_] = {start.attempt_, start.adapter_};
}

void endRun(BenchEngine &engine, const AttemptId &attempt, Time now)
{
    countTime(engine, now);
    engine.running_.erase(attempt);
}

std::vector<AttemptId> restart(BenchEngine &engine, Time now)
{
    countTime(engine, now);
    std::vector<AttemptId> broken;
    for (const auto &[attempt, run] : engine.running_)
        broken.push_back(attempt);
    engine.running_.clear();
    engine.adapters_.clear();
    ++engine.incarnation_;
    return broken;
}

} // namespace eelgrasscove
