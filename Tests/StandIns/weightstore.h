#pragma once

/// The weight store stand-in. GET /weights/ADAPTER/VERSION?load_ms=N answers once the weights have
/// been fetched, with how long the adapter still takes to load; GET /counters.
///
/// Fetches begin at the store's rate; two run at full speed, more share it. A load takes load_ms
/// in all while no more than 16 are in flight across all runners, proportionally longer beyond.

#include "StandIns/http.h"

#include <cstdint>

namespace standins {

struct WeightStoreOptions
{
    double loadsPerSecond_ = 3.5;
    std::int64_t fetchMillis_ = 100;
};

class WeightStore
{
public:
    WeightStore(EventLoop &loop, const WeightStoreOptions &options);
    void handle(const HttpRequest &request, const ExchangePtr &exchange);

private:
    void beginFetch(const HttpRequest &request, const ExchangePtr &exchange);
    Micros waitForRate();
    void fetch(std::int64_t loadMillis, const ExchangePtr &exchange);
    void finishFetch(std::int64_t loadMillis, Micros fetched, const ExchangePtr &exchange);

    EventLoop &loop_;
    WeightStoreOptions options_;
    /// When the next fetch is due at an even rate.
    std::int64_t nextFetchMicros_ = 0;
    std::int64_t inFlight_ = 0;
    std::int64_t fetching_ = 0;
    std::int64_t mostInFlight_ = 0;
    std::uint64_t loads_ = 0;
};

} // namespace standins
