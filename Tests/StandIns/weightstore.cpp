#include "StandIns/weightstore.h"

#include <algorithm>
#include <charconv>
#include <fmt/core.h>

namespace standins {

namespace {

constexpr std::int64_t fetchesAtFullSpeed = 2;
constexpr std::int64_t loadsAtFullSpeed = 16;
constexpr double microsPerSecond = 1e6;
constexpr std::int64_t microsPerMilli = 1000;
constexpr std::string_view weightsPath = "/weights/";

std::int64_t queryNumber(std::string_view target, std::string_view name)
{
    const std::size_t at = target.find(std::string(name) + "=");
    std::int64_t number = 0;
    if (at == std::string_view::npos)
        return number;
    const std::string_view digits = target.substr(at + name.size() + 1);
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return std::max<std::int64_t>(0, number);
}

Micros inProportion(std::int64_t millis, std::int64_t count, std::int64_t countAtFullSpeed)
{
    const double factor =
        std::max(1.0, static_cast<double>(count) / static_cast<double>(countAtFullSpeed));
    return Micros(static_cast<std::int64_t>(static_cast<double>(millis * microsPerMilli) * factor));
}

} // namespace

WeightStore::WeightStore(EventLoop &loop, const WeightStoreOptions &options)
    : loop_(loop), options_(options)
{ }

void WeightStore::handle(const HttpRequest &request, const ExchangePtr &exchange)
{
    const std::string_view path = pathOf(request);
    if (path == "/counters") {
        exchange->send({.body_ = fmt::format(
                            R"({{"loads":{},"in_flight":{},"fetching":{},"most_in_flight":{}}})",
                            loads_, inFlight_, fetching_, mostInFlight_)});
    } else if (request.method_ == "GET" && path.substr(0, weightsPath.size()) == weightsPath) {
        beginFetch(request, exchange);
    } else {
        exchange->send({.status_ = 404, .body_ = R"({"error":"no such path"})"});
    }
}

void WeightStore::beginFetch(const HttpRequest &request, const ExchangePtr &exchange)
{
    loads_ += 1;
    inFlight_ += 1;
    mostInFlight_ = std::max(mostInFlight_, inFlight_);
    const std::int64_t loadMillis = queryNumber(request.target_, "load_ms");
    loop_.after(waitForRate(), [this, loadMillis, exchange] { fetch(loadMillis, exchange); });
}

Micros WeightStore::waitForRate()
{
    if (options_.loadsPerSecond_ <= 0)
        return Micros(0);
    const auto interval = static_cast<std::int64_t>(microsPerSecond / options_.loadsPerSecond_);
    const std::int64_t now = monotonicMicros();
    // An idle store lets two begin at once.
    nextFetchMicros_ = std::max(nextFetchMicros_, now - (fetchesAtFullSpeed - 1) * interval);
    const std::int64_t wait = std::max<std::int64_t>(0, nextFetchMicros_ - now);
    nextFetchMicros_ += interval;
    return Micros(wait);
}

void WeightStore::fetch(std::int64_t loadMillis, const ExchangePtr &exchange)
{
    fetching_ += 1;
    const Micros fetchTime = inProportion(options_.fetchMillis_, fetching_, fetchesAtFullSpeed);
    loop_.after(fetchTime, [this, loadMillis, fetchTime, exchange] {
        finishFetch(loadMillis, fetchTime, exchange);
    });
}

void WeightStore::finishFetch(std::int64_t loadMillis, Micros fetched, const ExchangePtr &exchange)
{
    fetching_ -= 1;
    const Micros whole = inProportion(loadMillis, inFlight_, loadsAtFullSpeed);
    const Micros rest = std::max(Micros(0), whole - fetched);
    loop_.after(rest, [this] { inFlight_ -= 1; });
    exchange->send(
        {.body_ = fmt::format(R"({{"rest_us":{},"in_flight":{}}})", rest.count(), inFlight_)});
}

} // namespace standins
